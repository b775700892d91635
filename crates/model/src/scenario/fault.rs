//! Faults of a scenario: their kinds, what each kind affects, and the parameters that it takes.

use serde::Deserialize;

use super::Span;

/// A kind of fault. Unless stated otherwise, `factor` and `by` are the keys of [`Fault`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers pause and later continue where they stopped.
    Freeze,
    /// Another program takes `factor` of a server's cores.
    Neighbour,
    /// Servers are `factor` times slower.
    Slow,
    /// Servers accept requests and send no responses; work in progress continues.
    Silent,
    /// Servers process requests, and `factor` of the responses are lost.
    Lost,
    /// Servers fail `factor` of the requests at once.
    Errors,
    /// Servers corrupt `factor` of the responses: truncated, malformed, or with a wrong length.
    #[serde(rename = "spoilt")]
    Corrupted,
    /// Servers reset `factor` of the connections in the middle of a request.
    Reset,
    /// The endpoint list marks servers as draining; at the end they are removed and replaced by new
    /// servers in slow start.
    Drain,
    /// Servers crash, and restart in slow start at the end.
    Crash,
    /// Servers restart at once, in slow start.
    Cold,
    /// New servers join in slow start: `factor` times the fleet.
    Grow,
    /// Load reports are older by `by`.
    ReportsLate,
    /// Responses carry no load report.
    ReportsAbsent,
    /// Discovery is unreachable.
    #[serde(rename = "discovery_gone")]
    DiscoveryUnreachable,
    /// Discovery serves the list as it was `by` ago.
    DiscoveryStale,
    /// Traffic is `factor` times the usual rate.
    Burst,
    /// Balancers are killed, and restarted at the end without state.
    #[serde(alias = "balancer_restarted")]
    BalancerKilled,
    /// Balancers are asked to stop, and restarted at the end.
    BalancerStopped,
    /// Balancers are suspended (SIGSTOP), and resumed at the end.
    BalancerStalled,
    /// Balancers are killed, and each is restarted at the cluster address of the next one listed.
    BalancerSwapped,
    /// Balancers are suspended for `factor` of each tenth of a second.
    BalancerHurt,
    /// Nothing passes between the balancers listed and those of `against`, or all others.
    LinkCut,
    /// `factor` of the datagrams on those links is lost.
    LinkLossy,
    /// Datagrams are delayed by up to `by`, and reordered.
    LinkSlow,
    /// `factor` of the datagrams arrives twice.
    LinkRepeats,
    /// A bit is flipped in `factor` of the datagrams.
    #[serde(rename = "link_spoils")]
    LinkCorrupts,
    /// Strangers send the balancers listed `factor` datagrams a second: noise, replayed and
    /// corrupted datagrams.
    LinkFlood,
    /// Balancers reload their configuration (SIGHUP), which names another address of discovery.
    BalancerReloaded,
    /// Watches that are open at the start of the fault deliver no more events and stay open.
    WatchesSilent,
    /// Watches that are open at the start of the fault are reset.
    WatchesReset,
    /// Discovery takes `factor` times as long for each call.
    DiscoverySlow,
    /// `factor` of discovery's responses are truncated at a random byte and their connection
    /// closed.
    ListsCut,
    /// `factor` of its responses are sent in pieces with pauses, over up to `by` in total.
    ListsInPieces,
    /// `factor` of its responses are sent up to `by` late.
    ListsLate,
    /// The connection is reset after `factor` of its responses.
    ListsReset,
    /// `factor` of the calls are rejected with status 503.
    ListsRefused,
    /// `factor` of the watches are answered with the complete list.
    #[serde(rename = "lists_whole")]
    ListsComplete,
    /// `factor` of its responses contain a malformed entry.
    ListsStrange,
    /// `factor` of the clients write their requests in pieces.
    ClientsInPieces,
    /// Clients stop in the middle of a request and stay connected, `factor` of them a second for
    /// each balancer.
    ClientsStop,
    /// `factor` of the clients pipeline a second request.
    ClientsPipeline,
    /// Servers write `factor` of their responses in pieces.
    AnswersInPieces,
    /// `factor` of the responses state no length; a third of these are reset on the way.
    AnswersUnended,
    /// A second, unsolicited response follows `factor` of the responses after some milliseconds.
    AnswersTwice,
    /// Servers close or reset connections that are idle for `by`.
    IdleClosed,
    /// `factor` of the balancers' calls to accept, open or connect a socket fail temporarily.
    SystemFails,
    /// `factor` of their reads and writes are interrupted, and as many are short.
    CallsShort,
    /// `factor` of their writes to servers break the connection.
    ConnectionsBreak,
    /// Balancers are delayed before `factor` of their writes, by up to `by`.
    HeldUp,
    /// Their wall clock is ahead by `by`, or behind where `factor` is below 0.
    ClockSteps,
}

/// The factor of a kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FactorRange {
    /// The value where a fault names none.
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
    /// Whether it affects the servers that the fault names.
    pub fn affects_servers(self) -> bool {
        self != Self::Grow
            && !self.is_global()
            && !self.affects_balancers()
            && !self.affects_links()
    }

    /// Whether it applies to all servers, clients or balancers alike while it lasts.
    pub fn is_global(self) -> bool {
        matches!(
            self,
            Self::DiscoveryUnreachable | Self::DiscoveryStale | Self::Burst
        ) || self.affects_clients()
            || self.affects_server_responses()
            || self.affects_operating_system()
            || self.affects_discovery_responses()
    }

    /// Whether it changes how discovery responds.
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

    /// Whether it changes what clients send.
    pub fn affects_clients(self) -> bool {
        matches!(
            self,
            Self::ClientsInPieces | Self::ClientsStop | Self::ClientsPipeline
        )
    }

    /// Whether it changes how servers write responses and close connections.
    pub fn affects_server_responses(self) -> bool {
        matches!(
            self,
            Self::AnswersInPieces | Self::AnswersUnended | Self::AnswersTwice | Self::IdleClosed
        )
    }

    /// Whether it changes the operating system that balancers run on.
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

    /// Whether it affects the network links between balancers.
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

    /// Whether it affects the processes of the balancers that the fault names.
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

    /// Whether the server is dead or removed from the list during or after the fault.
    pub fn removes_server(self) -> bool {
        matches!(self, Self::Drain | Self::Crash)
    }

    /// Whether the fault is a single event that needs no duration.
    pub fn is_instant(self) -> bool {
        matches!(self, Self::Cold | Self::Grow | Self::BalancerReloaded)
    }

    /// Default and valid range of the factor, for the kinds that take one.
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

    /// Whether it needs the duration `by`.
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

/// One fault of the scenario. Servers are selected by number, zone, machine type or fraction of the
/// fleet; without any of these, all servers are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it starts.
    pub at: Span,
    /// How long it lasts.
    #[serde(default, rename = "for")]
    pub duration: Span,
    /// Numbers of the servers that it affects.
    pub servers: Option<Vec<usize>>,
    /// Zone of the servers that it affects.
    pub zone: Option<String>,
    /// Machine type of the servers that it affects.
    pub machine: Option<String>,
    /// Fraction of the selected servers that it affects, drawn at random.
    pub part: Option<f64>,
    /// Numbers of the balancers that it affects.
    pub balancers: Option<Vec<usize>>,
    /// Balancers at the other end of a link; all others where none are named.
    pub against: Option<Vec<usize>>,
    /// Whether only what `balancers` send is affected.
    #[serde(default)]
    pub one_way: bool,
    /// Strength of the fault, in the unit of its kind.
    pub factor: Option<f64>,
    /// Duration parameter of its kind.
    pub by: Option<Span>,
    /// Servers or balancers are affected one after the other, evenly over this time.
    #[serde(default)]
    pub over: Span,
}
