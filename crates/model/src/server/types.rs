//! Types of the server model: specification, condition, jobs and load reports.

use crate::Micros;

/// Identity and capacity of a server.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Name in the endpoint list.
    pub id: String,
    /// Number of the server, starting at 0. A server that replaces another one has a new number.
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
    /// Time of the start, from which slow start counts; `None` if the server was running long
    /// before the scenario.
    pub started_at: Option<Micros>,
}

/// The combined effect of faults on a server. Probabilities and fractions are from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Whether the server is suspended.
    pub frozen: bool,
    /// Whether the server sends no responses.
    pub silent: bool,
    /// Probability that a response is lost.
    pub lost: f64,
    /// Fraction of the usual speed at which the server works.
    pub rate: f64,
    /// Probability that a request fails immediately.
    pub errors: f64,
    /// Probability that a response is corrupted.
    pub corrupted: f64,
    /// Probability that the connection is reset.
    pub reset: f64,
    /// Minimum age of the measurements that responses report, in microseconds.
    pub report_delay: Micros,
    /// Whether responses contain no load report.
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

/// An attempt of a request that a server processes.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the job, assigned by the caller.
    pub id: u64,
    /// Core time at speed 1, in microseconds.
    pub work: f64,
    /// Time spent waiting for other services without using a core, in microseconds.
    pub off_core_time: Micros,
    /// Key of the entity to which the request refers.
    pub key: Option<u64>,
}

/// How a job ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job was processed, and a response is sent.
    Succeeded,
    /// The job was processed, and a corrupted response is sent.
    Corrupted,
    /// The job was rejected without processing because the queue was full.
    Rejected,
    /// The job was not processed, and an error is sent immediately. The error does not prove to the
    /// balancer that the job was not processed.
    Failed,
    /// The job was processed, and no response is sent.
    Unanswered,
    /// The job was processed, and its connection is reset.
    ConnectionReset,
    /// The server crashed before the job ended.
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
    /// Number of the job, assigned by the caller.
    pub id: u64,
    /// Outcome of the job.
    pub outcome: JobOutcome,
}

/// Load of a server as reported in responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Jobs at the server.
    pub in_flight: usize,
    /// Jobs that wait for a core.
    pub queue: usize,
    /// Fraction of the core time used since the previous measurement.
    pub utilisation: f64,
}
