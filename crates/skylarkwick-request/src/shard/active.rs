//! Unfinished jobs, as the shard's holder knows them.

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
    hold::Hold,
    input::{AcceptedJob, Queue, ServerId},
    occurrence::{Occurrence, StepTasks, Task, TaskState},
    run_time_model::Estimate,
};
use crate::job::{
    Id, Job, Key, State,
    progress::{Progress, TaskPosition},
    ranges::Ranges,
    task,
};

/// A moment, and the time of day then.
#[derive(Clone, Copy, Debug)]
pub(super) struct Time {
    pub(super) now: Moment,
    /// Time of day, in Unix milliseconds.
    pub(super) unix_ms: u64,
}

/// A job that is not stored as finished: what was submitted, the revisions of
/// its stored rows, the servers on which its tasks may already have been
/// started or may be started now, its outcome once decided, and its open
/// occurrences by number. An occurrence opens when it is due and its turn has come, see
/// [`ActiveJob::open_due`], or when an earlier holder has started tasks of it; it is closed once
/// its tasks are done.
#[derive(Clone, Debug)]
pub(super) struct ActiveJob {
    pub(super) id: Id,
    pub(super) queue: Arc<str>,
    /// Settings of its queue, see [`Queues`](super::queues::Queues); `None` if they are unknown.
    pub(super) queue_settings: Option<Arc<Queue>>,
    pub(super) workspace: Option<Arc<str>>,
    /// Whether its workspace had submitted more jobs lately than its weight allowed when it came.
    pub(super) is_beyond_weight: bool,
    pub(super) job: Arc<Job>,
    pub(super) revision: Revision,
    pub(super) progress_revision: Revision,
    pub(super) accepted_at: Moment,
    /// Servers on which an earlier holder may have started tasks; those that
    /// have answered this holder are dropped at the next write.
    pub(super) unverified_servers: BTreeSet<ServerId>,
    /// Servers that are recorded with the job in the store, so that the next
    /// holder asks them; this holder may start tasks there.
    pub(super) recorded_servers: BTreeSet<ServerId>,
    /// Number of writes in a row that may not have been stored.
    pub(super) failed_writes: u32,
    /// Whether a server has started a task. A server that was only sent a start
    /// may not have.
    pub(super) has_started: bool,
    /// When the last run of a task that has ended was known to be in progress, by this holder.
    pub(super) last_run: Option<Moment>,
    /// What held its tasks back at the last decision.
    pub(super) hold: Option<Hold>,
    pub(super) outcome: Option<State>,
    /// Open occurrences, none of which is done.
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences that are done.
    pub(super) done_occurrences: Ranges,
    /// Occurrences that are stored as done although they have long-running tasks, which an
    /// earlier release did not restart; they open again in their turn.
    pub(super) reopening: Ranges,
    /// All occurrences with lower numbers are open or done.
    pub(super) first_unopened: u32,
    /// Number of occurrences that are due by this holder's time of day. Later
    /// ones may be open, because an earlier holder whose clock was ahead has
    /// started tasks of them; their other tasks wait.
    pub(super) due_occurrences: u32,
}

impl ActiveJob {
    /// Creates a job from its stored row and progress, with the occurrences
    /// open that the progress names. Without a schedule, the only occurrence is
    /// open in any case. The outcome is not computed.
    pub(super) fn new(now: Moment, accepted: AcceptedJob) -> ActiveJob {
        let mut active = ActiveJob {
            id: accepted.id,
            queue: accepted.queue,
            queue_settings: accepted.queue_settings.map(Arc::new),
            workspace: accepted.workspace,
            is_beyond_weight: false,
            job: accepted.job,
            revision: accepted.revision,
            progress_revision: accepted.progress_revision,
            accepted_at: now - accepted.age,
            unverified_servers: BTreeSet::new(),
            recorded_servers: BTreeSet::new(),
            failed_writes: 0,
            has_started: false,
            last_run: None,
            hold: None,
            outcome: None,
            occurrences: BTreeMap::new(),
            done_occurrences: Ranges::default(),
            reopening: Ranges::default(),
            first_unopened: 0,
            due_occurrences: 0,
        };
        if active.job.schedule.is_none() {
            active.open_occurrence(0);
            active.due_occurrences = 1;
        }
        active.restore_progress(accepted.progress);
        active
    }

    /// Returns the identity of the job.
    pub(super) fn key(&self) -> Key {
        Key::new(Arc::clone(&self.queue), self.id.plain())
    }

    /// Adds an occurrence with all tasks waiting. Does nothing if it is open or done, or if the job
    /// has no such occurrence.
    pub(super) fn open_occurrence(&mut self, occurrence: u32) {
        if occurrence < self.job.occurrences() && !self.done_occurrences.contains(occurrence) {
            let job = &self.job;
            self.occurrences.entry(occurrence).or_insert_with(|| Occurrence::new(job));
            self.complete_reopened(occurrence);
        }
    }

    /// Closes an occurrence if it is open and done.
    fn close_if_done(&mut self, occurrence: u32) {
        if self.occurrences.get(&occurrence).is_some_and(Occurrence::is_done) {
            self.occurrences.remove(&occurrence);
            self.done_occurrences.insert(occurrence);
        }
    }

    /// Takes over stored progress in place of the progress of the tasks that it
    /// names, and opens their occurrences. Finished tasks
    /// become done unless they are long-running, and servers in it become unverified: an
    /// earlier holder may have started tasks there. Tasks that the job does not have are ignored.
    fn restore_progress(&mut self, progress: Progress) {
        let progress = progress.compacted();
        self.has_started |= !progress.tasks.is_empty()
            || !progress.done_tasks.is_empty()
            || !progress.done_occurrences.is_empty();
        self.unverified_servers.extend(progress.servers.into_iter().map(ServerId));
        self.restore_done_occurrences(&progress.done_occurrences);
        for (position, task_progress) in progress.tasks {
            self.open_occurrence(position.occurrence);
            if let Some(task) = self.task_mut(position) {
                task.progress = task_progress;
            }
        }
        for ((occurrence, step), done) in progress.done_tasks {
            self.open_occurrence(occurrence);
            let is_long_running = self.job.steps.get(step).is_some_and(|step| step.is_long_running);
            if let Some(tasks) = self.step_mut(occurrence, step).filter(|_| !is_long_running) {
                tasks.complete_all(&done);
            }
            self.close_if_done(occurrence);
        }
        self.unite_gang_checkpoints();
    }

    /// Merges the progress that another holder has stored into that of the job.
    /// Servers in it become unverified, and no server counts as recorded until
    /// a write of the job is confirmed.
    pub(super) fn merge_progress(&mut self, other: &Progress) {
        let mut progress = Progress { servers: BTreeSet::new(), ..self.progress() };
        progress.merge(other);
        self.recorded_servers.clear();
        self.restore_progress(progress);
    }

    /// Returns the tasks of a step; `None` if the occurrence is not open or the job has no such
    /// step.
    pub(super) fn step(&self, occurrence: u32, step: usize) -> Option<&StepTasks> {
        self.occurrences.get(&occurrence)?.steps.get(step)
    }

    /// Returns the tasks of a step, for changes; `None` as for [`ActiveJob::step`].
    pub(super) fn step_mut(&mut self, occurrence: u32, step: usize) -> Option<&mut StepTasks> {
        self.occurrences.get_mut(&occurrence)?.steps.get_mut(step)
    }

    /// Returns a task by its position, for changes; `None` if the occurrence is not
    /// open, the job has no such task or it is done.
    pub(super) fn task_mut(&mut self, position: TaskPosition) -> Option<&mut Task> {
        self.step_mut(position.occurrence, position.step)?.task_mut(position.index)
    }

    /// Returns a task by its position; `None` if nothing has happened to it yet, the
    /// occurrence is not open, the job has no such task or it is done.
    pub(super) fn touched(&self, position: TaskPosition) -> Option<&Task> {
        self.step(position.occurrence, position.step)?.touched(position.index)
    }

    /// Returns whether a task of an open occurrence has no server and is not done.
    pub(super) fn is_waiting(&self, position: TaskPosition) -> bool {
        let tasks = self.step(position.occurrence, position.step);
        tasks.is_some_and(|tasks| tasks.is_waiting(position.index))
    }

    /// Returns whether a task of an open occurrence is not done.
    pub(super) fn is_unfinished(&self, position: TaskPosition) -> bool {
        let tasks = self.step(position.occurrence, position.step);
        tasks.is_some_and(|tasks| tasks.is_unfinished(position.index))
    }

    /// Marks a task as done.
    pub(super) fn complete(&mut self, position: TaskPosition) {
        if let Some(tasks) = self.step_mut(position.occurrence, position.step) {
            tasks.complete(position.index);
        }
        self.close_if_done(position.occurrence);
    }

    /// Returns a task that is assigned to this server to waiting; returns whether it was assigned
    /// there. With `avoid_server`, its next run prefers another server.
    pub(super) fn unassign(
        &mut self,
        position: TaskPosition,
        server: &ServerId,
        avoid_server: bool,
    ) -> bool {
        let is_assigned = |task: &Task| task.state == TaskState::Assigned(server.clone());
        if !self.touched(position).is_some_and(is_assigned) {
            return false;
        }
        let Some(tasks) = self.step_mut(position.occurrence, position.step) else {
            return false;
        };
        if let Some(task) = tasks.task_mut(position.index) {
            task.state = TaskState::Waiting;
            if avoid_server {
                task.avoided_server = Some(server.clone());
            }
        }
        tasks.forget_untouched(position.index);
        true
    }

    /// Returns the progress to store: that of the tasks with an ended run or a
    /// checkpoint, the tasks and the occurrences that are done, and the servers
    /// that may run tasks of the job, which are those assigned and those
    /// unverified.
    pub(super) fn progress(&self) -> Progress {
        let mut done_occurrences = self.done_occurrences.clone();
        done_occurrences.extend(&self.reopening);
        let mut progress = Progress { done_occurrences, ..Progress::default() };
        progress.servers.extend(self.unverified_servers.iter().map(|server| Arc::clone(&server.0)));
        for (&number, occurrence) in &self.occurrences {
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                if !tasks.done().is_empty() {
                    progress.done_tasks.insert((number, step), tasks.done().clone());
                }
                for (index, task) in tasks.all_touched() {
                    if let TaskState::Assigned(server) = &task.state {
                        progress.servers.insert(Arc::clone(&server.0));
                    }
                    if !task.progress.is_empty() {
                        let position = TaskPosition { occurrence: number, step, index };
                        progress.tasks.insert(position, task.progress.clone());
                    }
                }
            }
        }
        progress
    }

    /// Returns whether writes of the job keep failing, so that a start that waits for
    /// one may wait for long.
    pub(super) fn is_write_failing(&self) -> bool {
        self.failed_writes >= MAX_FAILED_WRITES
    }

    /// Returns the tasks of all open occurrences that are assigned to a server
    /// and may run there, each with that server.
    pub(super) fn assigned_tasks(&self) -> Vec<(ServerId, task::Id)> {
        let mut runs = Vec::new();
        for (&number, occurrence) in &self.occurrences {
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                for (index, task) in tasks.all_touched() {
                    if let TaskState::Assigned(server) = &task.state {
                        let id = task::Id { job: self.id.clone(), occurrence: number, step, index };
                        runs.push((server.clone(), id));
                    }
                }
            }
        }
        runs
    }

    /// Returns whether any task is assigned to a server.
    pub(super) fn has_assigned_tasks(&self) -> bool {
        let mut tasks = self.occurrences.values().flat_map(Occurrence::all_touched);
        tasks.any(|task| matches!(task.state, TaskState::Assigned(_)))
    }

    /// Returns how many occurrences have begun, those that are done included.
    pub(super) fn count_begun(&self) -> usize {
        let open = self.occurrences.values().filter(|occurrence| occurrence.has_begun());
        self.done_occurrences.len() + open.count()
    }

    /// Returns when an occurrence should finish (its objective) and when its result
    /// loses its value (its expiry). Both count from acceptance, or from when the occurrence is due
    /// if that is later: the objective allows the critical path times the queue's stretch (limited
    /// to 1 to 100) plus its target, the expiry `EXPIRY_FACTOR` (3) times as much.
    pub(super) fn deadlines(
        &self,
        time: Time,
        occurrence: u32,
        queue: &Queue,
        estimate: Estimate,
    ) -> (Moment, Moment) {
        let critical_path = self.critical_path(|_| true, estimate);
        let stretch = if queue.stretch.is_nan() { 1.0 } else { queue.stretch.clamp(1.0, 100.0) };
        let objective = critical_path.mul_f64(stretch) + queue.target;
        let start = self.accepted_at.max(self.due_at(time, occurrence));
        (start + objective, start + objective * EXPIRY_FACTOR)
    }

    /// Returns when an occurrence is due; the start of the clock if the job has no schedule.
    pub(super) fn due_at(&self, time: Time, occurrence: u32) -> Moment {
        let Some(due_ms) = self.job.due_ms(occurrence) else {
            return Moment::ZERO;
        };
        match due_ms.checked_sub(time.unix_ms) {
            Some(ahead) => time.now + Duration::from_millis(ahead),
            None => time.now - Duration::from_millis(time.unix_ms - due_ms),
        }
    }

    /// Returns the run time that an occurrence still needs if no task has to
    /// wait; a step that is not done counts in full.
    pub(super) fn remaining_time(&self, occurrence: &Occurrence, estimate: Estimate) -> Duration {
        self.critical_path(|step| !occurrence.is_step_done(step), estimate)
    }

    /// Returns the critical path, the longest sum of expected run times along
    /// the dependencies of steps; steps that `is_counted` does not select count
    /// as zero.
    fn critical_path(&self, is_counted: impl Fn(usize) -> bool, estimate: Estimate) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.job.steps.len());
        for (number, step) in self.job.steps.iter().enumerate() {
            let start = step.depends_on.iter().filter_map(|&earlier| ends.get(earlier)).max();
            let own = match is_counted(number) {
                true => estimate.run_time(step),
                false => Duration::ZERO,
            };
            ends.push(start.copied().unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the processor time, in thousandths of a core, with which the
    /// open occurrences of the job end in the time planned for them;
    /// long-running tasks don't count. The planned time is `ON_TIME_SHARE`
    /// (0.7) of the time left until the objective, if that can be met, else
    /// `LATE_SHARE` (0.5) of the time left until the expiry, if that can be
    /// met, else `EXPIRED_JOB_SPAN` (10 s); it is at least the remaining
    /// critical path and `MIN_CRITICAL_PATH`.
    ///
    /// Late and expired jobs are planned apart, to leave hosts for jobs that
    /// can still finish in time.
    pub(super) fn required_millicores(&self, time: Time, queue: &Queue, estimate: Estimate) -> u64 {
        let now = time.now;
        let mut millicores = 0_u64;
        let unopened = self.count_unopened();
        let untouched = (unopened > 0).then(|| Occurrence::new(&self.job));
        let open = self.occurrences.iter().map(|(&number, occurrence)| (number, occurrence, 1));
        let unopened = untouched.iter().map(|one| (self.first_unopened, one, unopened));
        for (number, occurrence, count) in open.chain(unopened) {
            let (objective, expiry) = self.deadlines(time, number, queue, estimate);
            let critical_path = self.remaining_time(occurrence, estimate).max(MIN_CRITICAL_PATH);
            let span = match now + critical_path {
                end if end <= objective => objective.since(now).mul_f64(ON_TIME_SHARE),
                end if end <= expiry => expiry.since(now).mul_f64(LATE_SHARE),
                _ => EXPIRED_JOB_SPAN,
            };
            let work = self.remaining_work(occurrence, estimate).saturating_mul(count);
            millicores = millicores.saturating_add(work / millis(span.max(critical_path)));
        }
        millicores
    }

    /// Returns the work of all unfinished tasks that are not long-running, each
    /// with its full expected run time, in millicores times milliseconds.
    pub(super) fn remaining_work(&self, occurrence: &Occurrence, estimate: Estimate) -> u64 {
        let mut work = 0_u64;
        let finite_steps = occurrence.steps.iter().zip(&self.job.steps);
        for (tasks, step) in finite_steps.filter(|(_, step)| !step.is_long_running) {
            let each = millis(estimate.run_time(step));
            let left = u64::try_from(tasks.count_unfinished()).unwrap_or(u64::MAX);
            let millicores = step.reservation().millicores();
            work = work.saturating_add(left.saturating_mul(each).saturating_mul(millicores));
        }
        work
    }
}

/// Number of failed writes in a row after which writes count as failing; a lost
/// answer takes two.
const MAX_FAILED_WRITES: u32 = 3;
/// Shortest time over which the work of an occurrence is spread when its
/// processor time is computed.
const MIN_CRITICAL_PATH: Duration = Duration::from_millis(300);
/// Share of the time left until its objective in which a job that can meet it
/// should finish.
const ON_TIME_SHARE: f64 = 0.7;
/// Share of the time left until its expiry in which a job that misses its
/// objective should finish.
const LATE_SHARE: f64 = 0.5;
/// Time over which the remaining work of an expired job is spread.
const EXPIRED_JOB_SPAN: Duration = Duration::from_secs(10);
/// Expiry of a job, after which its result has lost its value, as a multiple of
/// its objective; both count from acceptance.
const EXPIRY_FACTOR: u32 = 3;
