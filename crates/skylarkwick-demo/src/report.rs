//! The report: guarantees and measurements.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;
use skylarkwick_stand_in::ledger::{Ledger, Run};

use crate::{
    callers::{Outcome, Record},
    demand::SHORT,
    sampler::Samples,
};

/// Longest wait that the histogram records, in microseconds; longer ones count as this.
const MAX_WAIT_US: u64 = 600_000_000;
/// Longest time for which a leaving backend server may still receive new tasks, in
/// seconds.
const LEAVING_LIMIT_S: f64 = 2.0;
/// Longest time for a document to come into force on every entry host, in seconds.
const FORCE_LIMIT_S: f64 = 5.0;

/// Result of a demo run: its parameters, the counts and times on which guarantees
/// depend, and measurements; encoded by field name.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Report {
    pub(crate) site: String,
    pub(crate) seed: u64,
    pub(crate) faults: Vec<&'static str>,
    /// Requests that callers sent; each is done, not run or unknown.
    pub(crate) requests: u64,
    pub(crate) done: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    /// Requests reported done for which no run finished.
    pub(crate) lost: u64,
    /// Non-repeatable requests that ran more than once.
    pub(crate) doubled: u64,
    /// Requests whose answer belonged to another request.
    pub(crate) misdelivered: u64,
    /// Requests reported not run that did run.
    pub(crate) false_not_run: u64,
    /// Runs that a reboot interrupted.
    pub(crate) cut_requests: u64,
    /// Times that a planned disruption left more hosts unavailable than a document
    /// allows.
    pub(crate) budget_breaches: u64,
    /// Hosts that ran tasks of more than one service at the same time.
    pub(crate) two_pool_hosts: u64,
    /// Times that an entry host went back to an older document, or that both of two
    /// conflicting changes were accepted.
    pub(crate) reverted_documents: u64,
    /// Longest time from a host's leaving to a later start of a run on it, in seconds.
    pub(crate) new_work_after_leaving_s: f64,
    /// Time from a change of a document until every entry host had it in force, in
    /// seconds.
    pub(crate) document_in_force_s: f64,
    pub(crate) short_wait_p50_ms: f64,
    pub(crate) short_wait_p99_ms: f64,
    /// Idle share of the slots of the non-spare pools, from 0 to 1.
    pub(crate) buffer_cost: f64,
    /// Times that a host became active in another pool.
    pub(crate) host_moves: u64,
    /// Duration of the maintenance wave, in seconds.
    pub(crate) rollout_s: f64,
    pub(crate) hosts_maintained: u64,
    pub(crate) platform_reads_per_s: f64,
    pub(crate) platform_writes_per_s: f64,
    /// Number of requests that were not run or are unknown, by outcome and reason.
    pub(crate) reasons: BTreeMap<String, u64>,
}

impl Report {
    /// Adds the callers' records, compared with the runs in the ledger. `latency`, the
    /// one-way time from a caller to an entry host, is subtracted from the waits.
    pub(crate) fn add_records(&mut self, records: &[Record], ledger: &Ledger, latency: Duration) {
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in ledger.runs() {
            runs.entry(run.payload.clone()).or_default().push(run);
        }
        let mut waits = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_US, 3)
            .expect("the bounds and three digits are valid");
        for record in records {
            let record_runs =
                runs.get(&record.request.payload).map(Vec::as_slice).unwrap_or_default();
            self.add_record(record, record_runs);
            if let (Some(first), true) = (record_runs.first(), record.request.kind == SHORT) {
                let wait = first.started.saturating_duration_since(record.sent_at + latency);
                waits.saturating_record(wait.as_micros() as u64);
            }
        }
        self.cut_requests = runs.values().flatten().filter(|run| run.is_interrupted).count() as u64;
        self.two_pool_hosts = ledger.two_pool_hosts().len() as u64;
        self.new_work_after_leaving_s = ledger.max_start_delay_after_leaving().as_secs_f64();
        self.short_wait_p50_ms = waits.value_at_quantile(0.5) as f64 / 1000.0;
        self.short_wait_p99_ms = waits.value_at_quantile(0.99) as f64 / 1000.0;
    }

    /// Counts one request by its outcome, and any violation of a guarantee that `runs`,
    /// the runs of its payload, shows.
    fn add_record(&mut self, record: &Record, runs: &[Run]) {
        self.requests += 1;
        if !record.request.document.work.is_repeatable && runs.len() > 1 {
            self.doubled += 1;
        }
        match &record.outcome {
            Outcome::Done { is_own } => {
                self.done += 1;
                self.misdelivered += u64::from(!is_own);
                self.lost += u64::from(!runs.iter().any(|run| run.is_finished));
            }
            Outcome::NotRun(reason) => {
                self.not_run += 1;
                self.false_not_run += u64::from(!runs.is_empty());
                *self.reasons.entry(format!("not-run {reason}")).or_default() += 1;
            }
            Outcome::Unknown(reason) => {
                self.unknown += 1;
                *self.reasons.entry(format!("unknown {reason}")).or_default() += 1;
            }
        }
    }

    /// Adds the sampler's measurements.
    pub(crate) fn add_samples(&mut self, samples: &Samples) {
        self.budget_breaches = samples.budget_breaches;
        self.reverted_documents = samples.reverted_documents;
        self.host_moves = samples.host_moves;
        self.buffer_cost = samples.buffer_cost();
    }

    /// Returns whether all guarantees held.
    pub(crate) fn is_ok(&self) -> bool {
        self.guarantees().iter().all(|(_, _, held)| *held)
    }

    /// Returns the name of each guarantee, the measured value, and whether it held.
    fn guarantees(&self) -> Vec<(&'static str, String, bool)> {
        let zero = |name, count: u64| (name, count.to_string(), count == 0);
        vec![
            zero("answers without a run (lost)", self.lost),
            zero("unrepeatable work run twice (doubled)", self.doubled),
            zero("answers to another caller (misdelivered)", self.misdelivered),
            zero("untrue refusals (false not-run)", self.false_not_run),
            zero("requests cut by a planned stop", self.cut_requests),
            zero("budget breaches", self.budget_breaches),
            zero("hosts in two pools", self.two_pool_hosts),
            zero("reverted documents", self.reverted_documents),
            (
                "new work after leaving, s",
                format!("{:.2}", self.new_work_after_leaving_s),
                self.new_work_after_leaving_s <= LEAVING_LIMIT_S,
            ),
            (
                "document in force everywhere, s",
                format!("{:.2}", self.document_in_force_s),
                self.document_in_force_s <= FORCE_LIMIT_S,
            ),
        ]
    }

    /// Returns the report as one JSON object.
    pub(crate) fn json(&self) -> String {
        serde_json::to_string(self).expect("a report has string keys and finite numbers")
    }

    /// Returns the report as a human-readable table.
    pub(crate) fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "site {}, seed {}: {} requests, {} done, {} not run, {} unknown",
            self.site, self.seed, self.requests, self.done, self.not_run, self.unknown
        );
        for (reason, count) in &self.reasons {
            let _ = writeln!(text, "  {reason}: {count}");
        }
        for (name, value, held) in self.guarantees() {
            let verdict = if held { "held" } else { "BROKEN" };
            let _ = writeln!(text, "{name:<42} {value:>10}  {verdict}");
        }
        for (name, value) in self.measurements() {
            let _ = writeln!(text, "{name:<42} {value:>10}");
        }
        text
    }

    /// Returns the name and the value of each measurement that is no guarantee.
    fn measurements(&self) -> [(&'static str, String); 8] {
        [
            ("wait of short work, p50 ms", format!("{:.1}", self.short_wait_p50_ms)),
            ("wait of short work, p99 ms", format!("{:.1}", self.short_wait_p99_ms)),
            ("buffer cost, share of capacity idle", format!("{:.3}", self.buffer_cost)),
            ("host moves", self.host_moves.to_string()),
            ("roll-out time, s", format!("{:.2}", self.rollout_s)),
            ("hosts maintained", self.hosts_maintained.to_string()),
            ("platform reads a second", format!("{:.1}", self.platform_reads_per_s)),
            ("platform writes a second", format!("{:.1}", self.platform_writes_per_s)),
        ]
    }
}
