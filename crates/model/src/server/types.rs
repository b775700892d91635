//! What a server is, what it receives and what it reports.

use crate::Micros;

/// Identity and capacity of a server.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Name in the endpoint list.
    pub id: String,
    /// Number, from 0. A server that replaces another has a number of its own.
    pub number: usize,
    /// Index of the zone in the scenario.
    pub zone: usize,
    /// Index of the machine type in the scenario.
    pub machine: usize,
    /// Number of the cell.
    pub cell: usize,
    /// Number of cores.
    pub cores: usize,
    /// Work that a core processes per microsecond.
    pub speed: f64,
    /// When it started in slow start; none where it was running long before the scenario.
    pub started_at: Option<Micros>,
}

/// The combined effect of faults on a server. Probabilities are of 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The server does nothing.
    pub frozen: bool,
    /// It sends no responses.
    pub silent: bool,
    /// Probability that a response is lost.
    pub lost: f64,
    /// Fraction of the speed that is left.
    pub rate: f64,
    /// Probability that a request fails at once.
    pub errors: f64,
    /// Probability that a response is corrupted.
    pub corrupted: f64,
    /// Probability that the connection is reset.
    pub reset: f64,
    /// Age of the load that responses report.
    pub report_delay: Micros,
    /// Responses report no load.
    pub reports_absent: bool,
}

impl Default for Condition {
    fn default() -> Self {
        Self {
            frozen: false,
            silent: false,
            lost: 0.0,
            rate: 1.0,
            errors: 0.0,
            corrupted: 0.0,
            reset: 0.0,
            report_delay: 0,
            reports_absent: false,
        }
    }
}

/// An attempt of a request, as it reaches a server.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's number for it.
    pub id: u64,
    /// Core time at speed 1, in microseconds.
    pub work: f64,
    /// Time spent waiting for other services, without using a core.
    pub off_core_time: Micros,
    /// Key of the entity that the request is about.
    pub key: Option<u64>,
}

/// How a job ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// It ran, and a response is sent.
    Succeeded,
    /// It ran, and a corrupted response is sent.
    Corrupted,
    /// The queue is full: it never ran.
    Rejected,
    /// An error is sent at once, and it did not run, though nothing proves that to others.
    Failed,
    /// It ran, and no response is sent.
    Unanswered,
    /// It ran, and its connection is reset.
    ConnectionReset,
    /// The server crashed before it ended.
    ServerCrashed,
}

impl JobOutcome {
    /// Whether the job was processed.
    pub fn was_processed(self) -> bool {
        matches!(
            self,
            Self::Succeeded | Self::Corrupted | Self::Unanswered | Self::ConnectionReset
        )
    }
}

/// A job that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// The caller's number for it.
    pub id: u64,
    /// How it ended.
    pub outcome: JobOutcome,
}

/// Load as responses report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Jobs at the server.
    pub in_flight: usize,
    /// Jobs that wait for a core.
    pub queue: usize,
    /// Fraction of the core time used since the previous measurement.
    pub utilisation: f64,
}
