//! What is observed outside the balancers, and violations of rules with the observations that show
//! them.

use std::fmt;

use crate::{Micros, SECOND};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server's response arrived.
    Succeeded,
    /// The balancer rejected the request, which no server processed.
    Rejected,
    /// The balancer gave up, and a server may have processed the request.
    Failed,
}

/// The server of an attempt, as the rules on idempotency and slow start need it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTarget {
    /// The server's number.
    pub server: usize,
    /// The server's zone.
    pub zone: usize,
    /// The server's cell.
    pub cell: usize,
    /// Work that the server can process per microsecond, while it is in slow start.
    pub slow_start_capacity: Option<f64>,
}

/// One observation. Requests are identified by their number, balancers and servers by theirs.
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
        /// When the final response is due.
        deadline: Micros,
    },
    /// The last byte of an attempt arrived at a server.
    AttemptReceived {
        /// The request.
        request: u64,
        /// The server.
        target: AttemptTarget,
        /// When its first byte arrived.
        started_at: Micros,
        /// The work of the attempt.
        work: f64,
    },
    /// The remaining time that an attempt states to its server.
    TimeoutAdvertised {
        /// The request.
        request: u64,
        /// When the attempt's first byte arrived.
        started_at: Micros,
        /// The stated time.
        remaining: Micros,
    },
    /// The server proved that it did not process an attempt.
    AttemptNotProcessed {
        /// The request.
        request: u64,
        /// The server.
        server: usize,
    },
    /// The server processed an attempt.
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
        /// How the request ended.
        outcome: Outcome,
        /// Whether the response is the one that a server made for this request.
        is_genuine: bool,
    },
    /// The client's connection ended without a complete response.
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
        /// Whether the server drains or is removed.
        is_draining: bool,
    },
    /// A balancer was killed, which excuses its open requests.
    BalancerKilled {
        /// The balancer.
        balancer: usize,
    },
    /// A balancer was suspended or resumed, which excuses its open requests.
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
    /// The request that it is about, if it is about one.
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
            } => write!(
                out,
                "received by balancer {number}, deadline {}",
                Seconds(*due)
            ),
            Self::AttemptReceived {
                target: AttemptTarget { server, .. },
                started_at: start,
                ..
            } => write!(out, "complete at s{server}, started {}", Seconds(*start)),
            Self::TimeoutAdvertised { remaining, .. } => {
                write!(out, "advertised {remaining} us remaining")
            }
            Self::AttemptNotProcessed { server, .. } => write!(out, "rejected unrun by s{server}"),
            Self::AttemptProcessed { server, .. } => write!(out, "ran at s{server}"),
            Self::ResponseReceived {
                outcome,
                is_genuine,
                ..
            } => write!(out, "{outcome:?}{}", genuineness(*is_genuine)),
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

fn genuineness(is_genuine: bool) -> &'static str {
    if is_genuine {
        ""
    } else {
        " with a response that no server made for it"
    }
}

/// A time that is displayed in seconds.
struct Seconds(Micros);

impl fmt::Display for Seconds {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:.3} s", self.0 as f64 / SECOND as f64)
    }
}

/// A violated rule, with everything that was observed of the request.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Number of the rule.
    pub rule: u8,
    /// When it was violated.
    pub at: Micros,
    /// The request, where the violation is about one.
    pub request: Option<u64>,
    /// What happened.
    pub what: String,
    /// All observations of the request, in the order in which they were recorded.
    pub history: Vec<(Micros, Observation)>,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "rule {} at {}", self.rule, Seconds(self.at))?;
        if let Some(request) = self.request {
            write!(out, ", request {request}")?;
        }
        write!(out, ": {}", self.what)?;
        self.history
            .iter()
            .try_for_each(|(at, observation)| write!(out, "; {} {observation}", Seconds(*at)))
    }
}
