//! Jobs that are not over, as their shard's holder knows them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::{
    moment::{Moment, millis},
    revision::Revision,
};

use super::{
    input::{AcceptedJob, Queue, ServerId},
    run_time_model::Learning,
};
use crate::job::{
    Id, Job, State,
    progress::{Progress, TaskPosition, TaskProgress},
    task,
};

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It may be started once its turn has come.
    #[default]
    Waiting,
    /// It may run on this server.
    On(ServerId),
    /// A run has ended well.
    Done,
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) phase: Phase,
    pub(super) note: TaskProgress,
    /// The server where the last run failed or was lost.
    pub(super) avoid: Option<ServerId>,
}

/// One time that the steps run.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) steps: Vec<Vec<Task>>,
}

impl Occurrence {
    fn new(job: &Job) -> Occurrence {
        let tasks = |count| vec![Task::default(); usize::try_from(count).unwrap_or_default()];
        Occurrence { steps: job.steps.iter().map(|step| tasks(step.count)).collect() }
    }

    /// Tells whether every task of a step has ended well.
    pub(super) fn is_step_done(&self, step: usize) -> bool {
        self.steps[step].iter().all(|task| task.phase == Phase::Done)
    }

    /// Tells whether a step waits for no other step.
    pub(super) fn is_open(&self, job: &Job, step: usize) -> bool {
        job.steps[step].depends_on.iter().all(|&earlier| self.is_step_done(earlier))
    }

    fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_step_done(step))
    }

    fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.steps.iter().flatten()
    }
}

/// A job that is not over.
#[derive(Clone, Debug)]
pub(super) struct Active {
    pub(super) id: Id,
    pub(super) queue: Arc<str>,
    pub(super) job: Arc<Job>,
    pub(super) revision: Revision,
    pub(super) progress_revision: Revision,
    pub(super) accepted: Moment,
    /// Servers on which an earlier holder may have started tasks.
    pub(super) doubtful: BTreeSet<ServerId>,
    /// Servers on which this holder may start tasks, as it has stored them.
    pub(super) noted: BTreeSet<ServerId>,
    /// Whether a server has begun a task; one that was only told to may not have.
    pub(super) has_run: bool,
    pub(super) outcome: Option<State>,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
}

impl Active {
    pub(super) fn new(now: Moment, accepted: AcceptedJob) -> Active {
        let mut active = Active {
            id: accepted.id,
            queue: accepted.queue,
            job: accepted.job,
            revision: accepted.revision,
            progress_revision: accepted.progress_revision,
            accepted: now - accepted.age,
            doubtful: BTreeSet::new(),
            noted: BTreeSet::new(),
            has_run: false,
            outcome: None,
            occurrences: BTreeMap::new(),
        };
        if active.job.schedule.is_none() {
            active.open(0);
        }
        active.restore(accepted.progress);
        active
    }

    /// Opens an occurrence whose time has come.
    pub(super) fn open(&mut self, occurrence: u32) {
        let job = Arc::clone(&self.job);
        self.occurrences.entry(occurrence).or_insert_with(|| Occurrence::new(&job));
    }

    fn restore(&mut self, progress: Progress) {
        self.has_run |= !progress.tasks.is_empty();
        self.doubtful.extend(progress.servers.into_iter().map(ServerId));
        for (place, note) in progress.tasks {
            self.open(place.occurrence);
            let Some(task) = self.task_mut(place) else {
                continue;
            };
            if note.is_done {
                task.phase = Phase::Done;
            }
            task.note = note;
        }
    }

    /// Returns the first occurrence that was never opened.
    pub(super) fn next_occurrence(&self) -> u32 {
        self.occurrences.keys().next_back().map_or(0, |last| last + 1)
    }

    /// Adds what another holder has stored of the tasks.
    pub(super) fn absorb(&mut self, other: &Progress) {
        let mut progress = Progress { servers: BTreeSet::new(), ..self.progress() };
        progress.merge(other);
        self.noted.clear();
        self.restore(progress);
    }

    /// Returns a task by its place.
    pub(super) fn task_mut(&mut self, place: TaskPosition) -> Option<&mut Task> {
        self.occurrences.get_mut(&place.occurrence)?.steps.get_mut(place.step)?.get_mut(place.index)
    }

    /// Returns a task by its place.
    pub(super) fn task(&self, place: TaskPosition) -> Option<&Task> {
        self.occurrences.get(&place.occurrence)?.steps.get(place.step)?.get(place.index)
    }

    /// Notes that a gang has ended well: the end of one member stands for all, as
    /// they end together and the ends of the others may be lost with their servers.
    pub(super) fn finish_gang(&mut self, place: TaskPosition) {
        let occurrence = self.occurrences.get_mut(&place.occurrence);
        let members = occurrence.and_then(|occurrence| occurrence.steps.get_mut(place.step));
        for (index, member) in members.into_iter().flatten().enumerate() {
            if index != place.index {
                member.phase = Phase::Done;
                member.note.is_done = true;
            }
        }
    }

    /// Returns what has to last of the tasks.
    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        progress.servers.extend(self.doubtful.iter().map(|server| Arc::clone(&server.0)));
        for (&occurrence, steps) in &self.occurrences {
            for (step, tasks) in steps.steps.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    if let Phase::On(server) = &task.phase {
                        progress.servers.insert(Arc::clone(&server.0));
                    }
                    if task.note != TaskProgress::default() {
                        progress
                            .tasks
                            .insert(TaskPosition { occurrence, step, index }, task.note.clone());
                    }
                }
            }
        }
        progress
    }

    /// Returns the tasks that may run somewhere.
    pub(super) fn runs(&self) -> Vec<(ServerId, task::Id)> {
        let mut runs = Vec::new();
        for (&occurrence, steps) in &self.occurrences {
            for (step, tasks) in steps.steps.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    if let Phase::On(server) = &task.phase {
                        let id = task::Id { job: self.id.clone(), occurrence, step, index };
                        runs.push((server.clone(), id));
                    }
                }
            }
        }
        runs
    }

    /// Tells whether a task was told to start, or has run.
    pub(super) fn has_begun(&self) -> bool {
        self.occurrences
            .values()
            .flat_map(Occurrence::tasks)
            .any(|task| task.phase != Phase::Waiting || task.note != TaskProgress::default())
    }

    /// Decides whether the job is over, and how.
    pub(super) fn judge(&mut self, max_attempts: u32) -> Option<State> {
        let job = Arc::clone(&self.job);
        let has_failed = self.occurrences.values().any(|occurrence| {
            occurrence.steps.iter().zip(&job.steps).any(|(tasks, step)| {
                !step.is_long_running && tasks.iter().any(|task| has_failed(task, max_attempts))
            })
        });
        let done = self.occurrences.values().filter(|occurrence| occurrence.is_done()).count();
        let is_done = u32::try_from(done).is_ok_and(|done| done >= job.occurrences());
        self.outcome = match self.outcome {
            Some(outcome) => Some(outcome),
            None if has_failed => Some(State::Failed),
            None if is_done => Some(State::Completed),
            None => None,
        };
        self.outcome
    }

    /// Returns when the job should be over, and after which time it is of no more
    /// use.
    pub(super) fn objective(&self, queue: &Queue, learning: &Learning) -> (Moment, Moment) {
        let chain = self.chain(|_| true, learning);
        let objective = chain.mul_f64(queue.stretch.clamp(1.0, 100.0)) + queue.target;
        (self.accepted + objective, self.accepted + objective * USELESS_AFTER)
    }

    /// Returns how long an occurrence still takes if nothing waits.
    pub(super) fn remaining(&self, occurrence: &Occurrence, learning: &Learning) -> Duration {
        self.chain(|step| !occurrence.is_step_done(step), learning)
    }

    /// Returns the longest chain of the steps that count.
    fn chain(&self, counts: impl Fn(usize) -> bool, learning: &Learning) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.job.steps.len());
        for (number, step) in self.job.steps.iter().enumerate() {
            let start = step.depends_on.iter().filter_map(|&earlier| ends.get(earlier)).max();
            let own = match counts(number) {
                true => learning.run_time(&self.queue, step),
                false => Duration::ZERO,
            };
            ends.push(start.copied().unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the processor time that ends the job in time, if it can be.
    ///
    /// A job that is late or of no more use is given longer, because hosts that
    /// come for it are missing where work can still be in time.
    pub(super) fn millicores_in_time(
        &self,
        now: Moment,
        queue: &Queue,
        learning: &Learning,
    ) -> u64 {
        let (objective, useless) = self.objective(queue, learning);
        let mut millicores = 0;
        for occurrence in self.occurrences.values() {
            let chain = self.remaining(occurrence, learning).max(SHORTEST_CHAIN);
            let span = match now + chain {
                end if end <= objective => objective.since(now).mul_f64(USED_SLACK),
                end if end <= useless => useless.since(now).mul_f64(USED_SLACK_LATE),
                _ => USELESS_SPAN,
            };
            millicores += self.work_left(occurrence, learning) / millis(span.max(chain));
        }
        millicores
    }

    /// Returns the number of hosts over which its lasting tasks have to be spread.
    pub(super) fn spread(&self) -> usize {
        let lasting = self.job.steps.iter().filter(|step| step.is_long_running);
        let hosts = lasting.map(|step| match step.max_per_host {
            0 => 1,
            most => step.count.div_ceil(most),
        });
        hosts.max().and_then(|hosts| usize::try_from(hosts).ok()).unwrap_or_default()
    }

    /// Returns the work that is left of tasks that end, in millicores times
    /// milliseconds.
    pub(super) fn work_left(&self, occurrence: &Occurrence, learning: &Learning) -> u64 {
        let mut work = 0_u64;
        let ending = occurrence.steps.iter().zip(&self.job.steps);
        for (tasks, step) in ending.filter(|(_, step)| !step.is_long_running) {
            let left = tasks.iter().filter(|task| task.phase != Phase::Done).count();
            let each = millis(learning.run_time(&self.queue, step));
            work += u64::try_from(left).unwrap_or_default()
                * each
                * step.reserved_resources().millicores;
        }
        work
    }
}

/// Shortest chain by which work is spread over time.
const SHORTEST_CHAIN: Duration = Duration::from_millis(300);
/// Part of the time to its objective in which a job should be done.
const USED_SLACK: f64 = 0.7;
/// Part of the time in which it is still of use in which a late job should be
/// done.
const USED_SLACK_LATE: f64 = 0.5;
/// Time in which a job that is of no more use should be done.
const USELESS_SPAN: Duration = Duration::from_secs(10);
/// Objectives after which a job is of no more use to its caller.
const USELESS_AFTER: u32 = 3;

fn has_failed(task: &Task, max_attempts: u32) -> bool {
    task.phase != Phase::Done
        && task.note.failed_runs.len() >= usize::try_from(max_attempts.max(1)).unwrap_or(usize::MAX)
}
