//! Observations made outside the balancers, and violations of rules with the related observations.

use std::fmt;

use crate::{Micros, SECOND};

/// Outcome of a request from the point of view of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client received the response of a server.
    Succeeded,
    /// The balancer rejected the request; the response states that no server processed it.
    Rejected,
    /// The balancer reported a failure; a server may have processed the request.
    Failed,
}

/// The server that receives an attempt, with the data for the rules on idempotency and slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTarget {
    /// Number of the server.
    pub server: usize,
    /// Index of the server's zone.
    pub zone: usize,
    /// Number of the server's cell.
    pub cell: usize,
    /// Work that the server can process per microsecond; `None` if it is not in slow start.
    pub slow_start_capacity: Option<f64>,
}

/// One observation. Requests, balancers and servers are identified by their numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The last byte of the request was written to a balancer.
    RequestReceived {
        /// The request.
        request: u64,
        /// The balancer.
        balancer: usize,
        /// Index of the request class.
        class: usize,
        /// Time at which the final response is due.
        deadline: Micros,
    },
    /// The last byte of an attempt arrived at a server.
    AttemptReceived {
        /// The request.
        request: u64,
        /// The server.
        target: AttemptTarget,
        /// Time at which the first byte of the attempt arrived.
        started_at: Micros,
        /// Work of the attempt, in microseconds of core time at speed 1.
        work: f64,
    },
    /// An attempt advertised to its server the time that remains for the request.
    TimeoutAdvertised {
        /// The request.
        request: u64,
        /// Time at which the first byte of the attempt arrived.
        started_at: Micros,
        /// The advertised remaining time, in microseconds.
        remaining: Micros,
    },
    /// A server rejected an attempt, which proves that it did not process the attempt.
    AttemptNotProcessed {
        /// The request.
        request: u64,
        /// The server.
        server: usize,
    },
    /// A server processed an attempt.
    AttemptProcessed {
        /// The request.
        request: u64,
        /// The server.
        server: usize,
    },
    /// The last byte of the final response arrived at the client.
    ResponseReceived {
        /// The request.
        request: u64,
        /// Outcome of the request.
        outcome: Outcome,
        /// Whether a successful response contains the body that servers send for this request. A
        /// corrupted response, or the response to another request, does not.
        is_genuine: bool,
    },
    /// The connection of the client ended without a complete response.
    ConnectionLost {
        /// The request.
        request: u64,
    },
    /// The client disconnected.
    ClientDisconnected {
        /// The request.
        request: u64,
    },
    /// A balancer was notified of the state of a server.
    EndpointReported {
        /// The balancer.
        balancer: usize,
        /// The server.
        server: usize,
        /// Whether the server is draining or removed.
        is_draining: bool,
    },
    /// A balancer was killed. Its open requests require no response.
    BalancerKilled {
        /// The balancer.
        balancer: usize,
    },
    /// A balancer was suspended or resumed. Its open requests require no response.
    BalancerStalled {
        /// The balancer.
        balancer: usize,
    },
    /// A server crashed because it received too much work in slow start.
    ServerOverloaded {
        /// The server.
        server: usize,
    },
}

impl Observation {
    /// Returns the request to which the observation refers, if any.
    pub(super) fn request(&self) -> Option<u64> {
        match *self {
            Self::RequestReceived { request, .. }
            | Self::AttemptReceived { request, .. }
            | Self::TimeoutAdvertised { request, .. }
            | Self::AttemptNotProcessed { request, .. }
            | Self::AttemptProcessed { request, .. }
            | Self::ResponseReceived { request, .. }
            | Self::ConnectionLost { request }
            | Self::ClientDisconnected { request } => Some(request),
            _ => None,
        }
    }
}

impl fmt::Display for Observation {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::RequestReceived {
                balancer: number,
                deadline: due,
                ..
            } => {
                let due = Seconds(*due);
                write!(out, "received by balancer {number}, deadline {due}")
            }
            Self::AttemptReceived {
                target: AttemptTarget { server, .. },
                started_at: start,
                ..
            } => write!(out, "arrived at s{server}, started {}", Seconds(*start)),
            Self::TimeoutAdvertised { remaining, .. } => {
                write!(out, "advertised {remaining} us remaining")
            }
            Self::AttemptNotProcessed { server, .. } => write!(out, "not processed by s{server}"),
            Self::AttemptProcessed { server, .. } => write!(out, "processed by s{server}"),
            Self::ResponseReceived {
                outcome,
                is_genuine,
                ..
            } => write!(out, "{outcome:?}{}", genuineness_suffix(*is_genuine)),
            Self::ConnectionLost { .. } => write!(out, "connection ended without a response"),
            Self::ClientDisconnected { .. } => write!(out, "client disconnected"),
            Self::EndpointReported {
                balancer,
                server,
                is_draining,
            } => {
                let state = if *is_draining { "draining" } else { "active" };
                write!(
                    out,
                    "balancer {balancer} notified that s{server} is {state}"
                )
            }
            Self::BalancerKilled { balancer } => write!(out, "balancer {balancer} killed"),
            Self::BalancerStalled { balancer } => {
                write!(out, "balancer {balancer} suspended or resumed")
            }
            Self::ServerOverloaded { server } => write!(out, "s{server} overloaded in slow start"),
        }
    }
}

/// Describes whether a response is genuine, as a suffix of its outcome.
fn genuineness_suffix(is_genuine: bool) -> &'static str {
    if is_genuine {
        ""
    } else {
        " with a body that no server sent for this request"
    }
}

/// A time that is displayed in seconds.
struct Seconds(Micros);

impl fmt::Display for Seconds {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:.3} s", self.0 as f64 / SECOND as f64)
    }
}

/// A violation of a rule, with all observations of the request.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Number of the violated rule, from 1 to 4.
    pub rule: u8,
    /// Time of the violation.
    pub at: Micros,
    /// The request, if the violation concerns one.
    pub request: Option<u64>,
    /// Description of the violation.
    pub description: String,
    /// All observations of the request, in the order in which they were recorded.
    pub history: Vec<(Micros, Observation)>,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "rule {} at {}", self.rule, Seconds(self.at))?;
        if let Some(request) = self.request {
            write!(out, ", request {request}")?;
        }
        write!(out, ": {}", self.description)?;
        self.history
            .iter()
            .try_for_each(|(at, observation)| write!(out, "; {} {observation}", Seconds(*at)))
    }
}
