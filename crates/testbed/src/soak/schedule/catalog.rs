//! The kinds of faults that schedules contain, with the ranges from which their parameters are
//! drawn.

use pinefront_model::scenario::FaultKind;

/// The smallest and the largest value of a parameter.
#[derive(Clone, Copy)]
pub(super) struct Range<T> {
    pub(super) min: T,
    pub(super) max: T,
}

/// A kind of fault, and the ranges of its parameters.
pub(super) struct FaultTemplate {
    /// The name in a scenario file.
    pub(super) name: &'static str,
    pub(super) kind: FaultKind,
    pub(super) duration_ms: Range<u64>,
    /// The range of the parameter `factor`; none where the kind has no such parameter.
    pub(super) factor: Option<Range<f64>>,
    /// The range of the parameter `by`, in milliseconds; none where the kind has no such parameter.
    pub(super) by_ms: Option<Range<u64>>,
    /// The largest fraction of the candidate servers that the fault affects; none where it affects
    /// no servers.
    pub(super) max_server_fraction: Option<f64>,
    /// The largest fraction of the balancers that the fault affects; none where it affects no
    /// balancers.
    pub(super) max_balancer_fraction: Option<f64>,
}

impl FaultTemplate {
    const fn new(name: &'static str, kind: FaultKind, min_ms: u64, max_ms: u64) -> Self {
        Self {
            name,
            kind,
            duration_ms: Range {
                min: min_ms,
                max: max_ms,
            },
            factor: None,
            by_ms: None,
            max_server_fraction: None,
            max_balancer_fraction: None,
        }
    }

    const fn factor(mut self, min: f64, max: f64) -> Self {
        self.factor = Some(Range { min, max });
        self
    }

    const fn by_ms(mut self, min: u64, max: u64) -> Self {
        self.by_ms = Some(Range { min, max });
        self
    }

    const fn servers(mut self, max_fraction: f64) -> Self {
        self.max_server_fraction = Some(max_fraction);
        self
    }

    const fn balancers(mut self, max_fraction: f64) -> Self {
        self.max_balancer_fraction = Some(max_fraction);
        self
    }

    /// Whether the affected servers are drained, crash or restart.
    pub(super) fn removes_servers(&self) -> bool {
        matches!(
            self.kind,
            FaultKind::Drain | FaultKind::Crash | FaultKind::Cold
        )
    }

    /// Whether the affected balancer processes exit.
    fn ends_balancers(&self) -> bool {
        matches!(
            self.kind,
            FaultKind::BalancerStopped | FaultKind::BalancerKilled
        )
    }

    /// Whether a schedule must not contain both faults.
    pub(super) fn conflicts_with(&self, other: &Self) -> bool {
        self.kind == other.kind
            || (self.removes_servers() && other.removes_servers())
            || (self.ends_balancers() && other.ends_balancers())
    }
}

/// Templates of faults that only `--with` adds. They are not drawn, so that the schedules of all
/// seeds stay as they are.
pub(super) const ADDITIONAL_TEMPLATES: [FaultTemplate; 1] = [FaultTemplate::new(
    "clients_misbehave",
    FaultKind::ClientsMisbehave,
    4_000,
    8_000,
)
.factor(10.0, 60.0)];

/// All templates that are drawn. They are drawn by index, so a change of their order changes the schedule of each
/// seed.
pub(super) const TEMPLATES: [FaultTemplate; 29] = [
    FaultTemplate::new("balancer_stopped", FaultKind::BalancerStopped, 3_000, 6_000).balancers(0.5),
    FaultTemplate::new("balancer_killed", FaultKind::BalancerKilled, 300, 3_000).balancers(0.5),
    FaultTemplate::new("balancer_stalled", FaultKind::BalancerStalled, 100, 2_000).balancers(0.3),
    FaultTemplate::new("balancer_reloaded", FaultKind::BalancerReloaded, 0, 0).balancers(1.0),
    FaultTemplate::new("drain", FaultKind::Drain, 3_000, 6_000).servers(0.5),
    FaultTemplate::new("crash", FaultKind::Crash, 500, 4_000).servers(0.4),
    FaultTemplate::new("cold", FaultKind::Cold, 1_000, 1_000).servers(0.4),
    FaultTemplate::new("freeze", FaultKind::Freeze, 300, 4_000).servers(0.5),
    FaultTemplate::new("silent", FaultKind::Silent, 300, 4_000).servers(0.4),
    FaultTemplate::new("lost", FaultKind::Lost, 2_000, 5_000)
        .servers(0.5)
        .factor(0.1, 0.6),
    FaultTemplate::new("errors", FaultKind::Errors, 2_000, 5_000)
        .servers(0.6)
        .factor(0.1, 0.8),
    FaultTemplate::new("spoilt", FaultKind::Corrupted, 2_000, 5_000)
        .servers(0.6)
        .factor(0.1, 0.8),
    FaultTemplate::new("reset", FaultKind::Reset, 2_000, 5_000)
        .servers(0.6)
        .factor(0.1, 0.8),
    FaultTemplate::new("slow", FaultKind::Slow, 2_000, 5_000)
        .servers(0.5)
        .factor(2.0, 8.0),
    FaultTemplate::new(
        "discovery_gone",
        FaultKind::DiscoveryUnreachable,
        1_000,
        6_000,
    ),
    FaultTemplate::new("discovery_stale", FaultKind::DiscoveryStale, 2_000, 5_000)
        .by_ms(500, 4_000),
    FaultTemplate::new("watches_silent", FaultKind::WatchesSilent, 500, 3_000),
    FaultTemplate::new("burst", FaultKind::Burst, 1_000, 4_000).factor(1.3, 2.5),
    FaultTemplate::new(
        "clients_in_pieces",
        FaultKind::ClientsInPieces,
        2_000,
        6_000,
    )
    .factor(0.2, 1.0),
    FaultTemplate::new("clients_stop", FaultKind::ClientsStop, 2_000, 6_000).factor(1.0, 5.0),
    FaultTemplate::new("clients_pipeline", FaultKind::ClientsPipeline, 2_000, 6_000)
        .factor(0.2, 1.0),
    FaultTemplate::new(
        "answers_in_pieces",
        FaultKind::AnswersInPieces,
        2_000,
        6_000,
    )
    .factor(0.2, 1.0),
    FaultTemplate::new("answers_unended", FaultKind::AnswersUnended, 2_000, 6_000).factor(0.2, 1.0),
    FaultTemplate::new("answers_twice", FaultKind::AnswersTwice, 2_000, 6_000).factor(0.05, 0.5),
    FaultTemplate::new("idle_closed", FaultKind::IdleClosed, 2_000, 6_000).by_ms(5, 300),
    FaultTemplate::new("system_fails", FaultKind::SystemFails, 2_000, 6_000).factor(0.01, 0.3),
    FaultTemplate::new("calls_short", FaultKind::CallsShort, 2_000, 6_000).factor(0.05, 0.5),
    FaultTemplate::new(
        "connections_break",
        FaultKind::ConnectionsBreak,
        2_000,
        6_000,
    )
    .factor(0.001, 0.02),
    FaultTemplate::new("held_up", FaultKind::HeldUp, 2_000, 6_000)
        .factor(0.001, 0.02)
        .by_ms(50, 150),
];
