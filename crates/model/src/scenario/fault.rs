//! Faults of a scenario: their kinds, the components that each kind affects, and the parameters
//! that it accepts.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Span;

/// A kind of fault, displayed as its key in scenario files. In the descriptions, `factor` and `by`
/// are the keys of [`Fault`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers are suspended and later resume their work in progress.
    Freeze,
    /// Another program uses `factor` (a fraction) of the core time of a server.
    Neighbour,
    /// Servers process requests `factor` times slower.
    Slow,
    /// Servers accept and process requests but send no responses.
    Silent,
    /// Servers process requests, but `factor` (a fraction) of the responses are lost.
    Lost,
    /// Servers respond to `factor` (a fraction) of the requests with an immediate error.
    Errors,
    /// Servers corrupt `factor` (a fraction) of the responses: these are truncated, malformed or
    /// have a wrong length.
    #[serde(rename = "spoilt")]
    Corrupted,
    /// Servers process requests, but reset the connection instead of sending `factor` (a fraction)
    /// of the responses.
    Reset,
    /// The endpoint list marks servers as draining; at the end of the fault they are removed and
    /// replaced by new servers in slow start.
    Drain,
    /// Servers crash, and restart in slow start at the end of the fault.
    Crash,
    /// Servers restart immediately, in slow start.
    Cold,
    /// New servers join in slow start. Their number is `factor` times the size of the fleet.
    Grow,
    /// Load reports are delayed by `by`.
    ReportsLate,
    /// Responses contain no load report.
    ReportsAbsent,
    /// Discovery is unreachable.
    #[serde(rename = "discovery_gone")]
    DiscoveryUnreachable,
    /// Discovery returns the endpoint list of the time `by` ago.
    DiscoveryStale,
    /// The request rate is `factor` times the usual rate.
    Burst,
    /// Balancers are killed, and restarted without state at the end of the fault.
    #[serde(alias = "balancer_restarted")]
    BalancerKilled,
    /// Balancers receive a signal to shut down, and are restarted at the end of the fault.
    BalancerStopped,
    /// Balancers are suspended (SIGSTOP), and resumed at the end of the fault.
    BalancerStalled,
    /// Balancers are killed, and each is restarted at the cluster address of the next balancer in
    /// the list.
    BalancerSwapped,
    /// Balancers are suspended for `factor` (a fraction) of each 100 ms.
    BalancerHurt,
    /// All datagrams are lost between the balancers in `balancers` and those in `against`, or all
    /// others without `against`. The other link faults affect the same links.
    LinkCut,
    /// `factor` (a fraction) of the datagrams is lost.
    LinkLossy,
    /// Datagrams are delayed by up to `by`, and reordered.
    LinkSlow,
    /// `factor` (a fraction) of the datagrams is duplicated.
    LinkRepeats,
    /// A bit is flipped in `factor` (a fraction) of the datagrams.
    #[serde(rename = "link_spoils")]
    LinkCorrupts,
    /// Senders outside the cluster send `factor` datagrams per second to each balancer in
    /// `balancers`: random bytes, replayed and corrupted datagrams.
    LinkFlood,
    /// Balancers reload their configuration (SIGHUP), which contains another address of discovery.
    BalancerReloaded,
    /// Watches that are open at the start of the fault stay open but deliver no more events.
    WatchesSilent,
    /// Watches that are open at the start of the fault are reset.
    WatchesReset,
    /// Discovery processes each call `factor` times slower.
    DiscoverySlow,
    /// `factor` (a fraction) of the responses of discovery are truncated at a random byte and their
    /// connection is closed.
    ListsCut,
    /// `factor` (a fraction) of the responses of discovery are sent in pieces with pauses, over up
    /// to `by` in total.
    ListsInPieces,
    /// `factor` (a fraction) of the responses of discovery are delayed by up to `by`.
    ListsLate,
    /// Discovery resets the connection after `factor` (a fraction) of its responses.
    ListsReset,
    /// Discovery rejects `factor` (a fraction) of the calls with status 503.
    ListsRefused,
    /// Discovery answers `factor` (a fraction) of the watches with the complete list.
    #[serde(rename = "lists_whole")]
    ListsComplete,
    /// `factor` (a fraction) of the responses of discovery contain a malformed entry.
    ListsStrange,
    /// `factor` (a fraction) of the clients write their requests in pieces.
    ClientsInPieces,
    /// Additional clients stop sending in the middle of a request and stay connected; `factor` is
    /// their number per second and balancer.
    ClientsStop,
    /// Additional clients hold or consume more than their requests are worth; `factor` is their
    /// number for each balancer.
    ClientsMisbehave,
    /// `factor` (a fraction) of the clients pipeline a second request.
    ClientsPipeline,
    /// Servers write `factor` (a fraction) of their responses in pieces.
    AnswersInPieces,
    /// `factor` (a fraction) of the responses contain no length; the connections of a third of
    /// these are reset during the response.
    AnswersUnended,
    /// A second, unsolicited response follows `factor` (a fraction) of the responses after some
    /// milliseconds.
    AnswersTwice,
    /// Servers close or reset connections that are idle for `by`.
    IdleClosed,
    /// `factor` (a fraction) of the calls of balancers that accept, open or connect a socket fail
    /// temporarily.
    SystemFails,
    /// `factor` (a fraction) of the reads and writes of balancers are interrupted, and the same
    /// fraction transfer fewer bytes than requested.
    CallsShort,
    /// `factor` (a fraction) of the writes of balancers to servers break the connection.
    ConnectionsBreak,
    /// `factor` (a fraction) of the writes of balancers are delayed by up to `by`.
    HeldUp,
    /// The wall clock of balancers is ahead by `by`, or behind by `by` if `factor` is negative.
    ClockSteps,
}

impl fmt::Display for FaultKind {
    /// Writes the key of the kind in scenario files.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(out)
    }
}

/// Default and valid range of the factor of a kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FactorRange {
    /// The value for faults without the key `factor`.
    pub default: f64,
    /// The smallest valid value.
    pub min: f64,
    /// The largest valid value.
    pub max: f64,
}

impl FactorRange {
    const fn new(default: f64, min: f64, max: f64) -> Self {
        Self { default, min, max }
    }
}

impl FaultKind {
    /// Whether the fault affects the servers that it selects.
    pub fn affects_servers(self) -> bool {
        self != Self::Grow
            && !self.is_global()
            && !self.affects_balancers()
            && !self.affects_links()
    }

    /// Whether the fault applies to all servers, clients or balancers while it is active.
    pub fn is_global(self) -> bool {
        matches!(
            self,
            Self::DiscoveryUnreachable | Self::DiscoveryStale | Self::Burst
        ) || self.affects_clients()
            || self.affects_server_responses()
            || self.affects_operating_system()
            || self.affects_discovery_responses()
    }

    /// Whether the fault changes the responses of discovery.
    pub fn affects_discovery_responses(self) -> bool {
        matches!(
            self,
            Self::WatchesSilent
                | Self::WatchesReset
                | Self::DiscoverySlow
                | Self::ListsCut
                | Self::ListsInPieces
                | Self::ListsLate
                | Self::ListsReset
                | Self::ListsRefused
                | Self::ListsComplete
                | Self::ListsStrange
        )
    }

    /// Whether the fault changes the behaviour of clients.
    pub fn affects_clients(self) -> bool {
        matches!(
            self,
            Self::ClientsInPieces
                | Self::ClientsStop
                | Self::ClientsMisbehave
                | Self::ClientsPipeline
        )
    }

    /// Whether the fault changes how servers write responses and close connections.
    pub fn affects_server_responses(self) -> bool {
        matches!(
            self,
            Self::AnswersInPieces | Self::AnswersUnended | Self::AnswersTwice | Self::IdleClosed
        )
    }

    /// Whether the fault changes the results of system calls of the balancers.
    pub fn affects_operating_system(self) -> bool {
        matches!(
            self,
            Self::SystemFails
                | Self::CallsShort
                | Self::ConnectionsBreak
                | Self::HeldUp
                | Self::ClockSteps
        )
    }

    /// Whether the fault affects the network links between balancers.
    pub fn affects_links(self) -> bool {
        matches!(
            self,
            Self::LinkCut
                | Self::LinkLossy
                | Self::LinkSlow
                | Self::LinkRepeats
                | Self::LinkCorrupts
                | Self::LinkFlood
        )
    }

    /// Whether the fault affects the processes of the balancers that it selects.
    pub fn affects_balancers(self) -> bool {
        matches!(
            self,
            Self::BalancerKilled
                | Self::BalancerStopped
                | Self::BalancerStalled
                | Self::BalancerHurt
                | Self::BalancerSwapped
                | Self::BalancerReloaded
        )
    }

    /// Whether the server is stopped, or removed from the endpoint list, during or after the fault.
    pub fn removes_server(self) -> bool {
        matches!(self, Self::Drain | Self::Crash)
    }

    /// Whether the fault is a single event that requires no duration.
    pub fn is_instant(self) -> bool {
        matches!(self, Self::Cold | Self::Grow | Self::BalancerReloaded)
    }

    /// Default and valid range of the factor, for the kinds that accept one.
    pub fn factor_range(self) -> Option<FactorRange> {
        let range = match self {
            Self::Neighbour => FactorRange::new(0.5, 0.0, 0.99),
            Self::Slow => FactorRange::new(3.0, 1.0, 1000.0),
            Self::Errors | Self::Corrupted | Self::Reset | Self::Lost => {
                FactorRange::new(1.0, 0.0, 1.0)
            }
            Self::ClientsInPieces
            | Self::ClientsPipeline
            | Self::AnswersInPieces
            | Self::AnswersUnended
            | Self::AnswersTwice
            | Self::ListsCut
            | Self::ListsInPieces
            | Self::ListsLate
            | Self::ListsReset
            | Self::ListsRefused
            | Self::ListsComplete
            | Self::ListsStrange
            | Self::LinkLossy
            | Self::LinkRepeats
            | Self::LinkCorrupts => FactorRange::new(0.3, 0.0, 1.0),
            Self::ClientsStop => FactorRange::new(2.0, 0.0, 20.0),
            Self::ClientsMisbehave => FactorRange::new(30.0, 0.0, 600.0),
            Self::DiscoverySlow => FactorRange::new(3.0, 1.0, 100.0),
            Self::SystemFails | Self::CallsShort => FactorRange::new(0.05, 0.0, 0.5),
            Self::ConnectionsBreak | Self::HeldUp => FactorRange::new(0.003, 0.0, 0.2),
            Self::ClockSteps => FactorRange::new(1.0, -1.0, 1.0),
            Self::LinkFlood => FactorRange::new(10_000.0, 1.0, 50_000.0),
            Self::BalancerHurt => FactorRange::new(0.5, 0.0, 0.9),
            Self::Burst => FactorRange::new(2.0, 0.0, 100.0),
            Self::Grow => FactorRange::new(1.0, 0.0, 100.0),
            _ => return None,
        };
        Some(range)
    }

    /// Whether the kind requires the duration `by`. The other kinds do not accept it.
    pub fn requires_by(self) -> bool {
        matches!(
            self,
            Self::ReportsLate
                | Self::DiscoveryStale
                | Self::LinkSlow
                | Self::IdleClosed
                | Self::HeldUp
                | Self::ClockSteps
                | Self::ListsInPieces
                | Self::ListsLate
        )
    }
}

/// One fault of the scenario. Servers are selected by number, zone, machine type and fraction of
/// the fleet; without any of these, all servers are selected.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Start of the fault, since the start of the scenario.
    pub at: Span,
    /// Duration of the fault for each server or balancer.
    #[serde(default, rename = "for")]
    pub duration: Span,
    /// Numbers of the affected servers.
    pub servers: Option<Vec<usize>>,
    /// Zone of the affected servers.
    pub zone: Option<String>,
    /// Machine type of the affected servers.
    pub machine: Option<String>,
    /// Fraction of the selected servers that the fault affects, drawn at random.
    pub part: Option<f64>,
    /// Numbers of the affected balancers.
    pub balancers: Option<Vec<usize>>,
    /// Balancers at the other end of the affected links; all others if it is missing.
    pub against: Option<Vec<usize>>,
    /// Whether only datagrams sent by `balancers` are affected.
    #[serde(default)]
    pub one_way: bool,
    /// Strength of the fault, whose meaning depends on the kind; see [`FaultKind`].
    pub factor: Option<f64>,
    /// Duration whose meaning depends on the kind; see [`FaultKind`].
    pub by: Option<Span>,
    /// The starts of the fault at the selected servers or balancers are evenly distributed over
    /// this time.
    #[serde(default)]
    pub over: Span,
}
