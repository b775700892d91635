//! A day: fleet, traffic, faults and how service is weighed, decoded from TOML. What it may hold is checked in
//! [`crate::check`].

use serde::{Deserialize, Deserializer, de};
use toml::Spanned;

use crate::{Micros, SECOND};

/// A span written as `"300ms"`, `"5s"` or `"2m"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let span = humantime::parse_duration(&text).map_err(|problem| {
            de::Error::custom(format!("'{text}' is no span such as \"300ms\": {problem}"))
        })?;
        Micros::try_from(span.as_micros())
            .map(Span)
            .map_err(|_| de::Error::custom("the span is too long"))
    }
}

/// A whole day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    pub name: String,
    #[serde(default)]
    pub about: String,
    pub length: Spanned<Span>,
    #[serde(default = "one")]
    pub seed: u64,
    /// How many balancers the traffic is dealt out among.
    #[serde(default = "two")]
    pub balancers: Spanned<usize>,
    /// Duties that the balancers of a fleet hold, one at a time.
    #[serde(default)]
    pub duties: usize,
    /// Whether one balancer of a zone asks discovery and tells the others.
    #[serde(default)]
    pub roster: bool,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default = "machine")]
    pub machines: Vec<Spanned<Machine>>,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default = "use_cases")]
    pub use_cases: Vec<Spanned<UseCase>>,
    #[serde(default)]
    pub traffic: Traffic,
    #[serde(default)]
    pub tenants: Vec<Spanned<Tenant>>,
    #[serde(default)]
    pub faults: Vec<Spanned<Fault>>,
    #[serde(default)]
    pub service: Service,
}

/// The figures of the four rules, and what balancers may do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after it was told of a drain a balancer may still send.
    pub drain_grace: Span,
    /// Added to each time limit, for what sockets and the machine take.
    pub slack: Span,
    /// How late a final answer may be without being lost, where that is more: it only earns nothing.
    pub late: Span,
    /// A fresh server starts at this part of its capacity and rises evenly to all of it.
    pub cold_from: f64,
    pub warm_after: Span,
    /// Work sent within `cold_span` beyond this multiple of what a cold server can do pushes it over.
    pub cold_multiple: f64,
    pub cold_span: Span,
    pub most_dispatches: usize,
    pub second_copies: bool,
    /// The longest time that a dismissal may ask to come back after.
    pub come_back: Span,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace: Span(400_000),
            slack: Span(50_000),
            late: Span(0),
            cold_from: 0.3,
            warm_after: Span(8 * SECOND),
            cold_multiple: 3.0,
            cold_span: Span(SECOND),
            most_dispatches: 4,
            second_copies: true,
            come_back: Span(SECOND),
        }
    }
}

impl Rules {
    /// How late a final answer may be.
    pub fn answer_late(&self) -> Micros {
        self.slack.0.max(self.late.0)
    }
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub servers: Spanned<usize>,
    pub zones: Vec<String>,
    /// Servers of one cell drop each other's repeats: so many make one.
    pub cell: usize,
    /// Tickets that may wait at a server beyond those at work.
    pub queue: usize,
    /// Connections that a server holds.
    pub connections: usize,
    /// Core time that a new connection takes, and what its first ticket waits.
    pub handshake: Span,
    /// A server closes a connection that stood idle so long.
    pub idle: Span,
    /// More than `flooded_by` waiting for each core over `flooded_after` makes a server `flooded_slower` times slower,
    /// until it was mostly idle for `flooded_rest`. 0: it never happens.
    pub flooded_by: f64,
    pub flooded_after: Span,
    pub flooded_slower: f64,
    pub flooded_rest: Span,
    /// How often the load that answers tell is read anew; 0: answers tell none.
    pub reports: Span,
    /// A key met within this time takes `keys_save` less work; 0: servers keep no keys.
    pub keeps_keys: Span,
    pub keys_save: f64,
    /// Part of the work done on a called off ticket that stops at once.
    pub stops_work: bool,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            servers: Spanned::new(0..0, 12),
            zones: vec!["a".into(), "b".into()],
            cell: 4,
            queue: 40,
            connections: 256,
            handshake: Span(300),
            idle: Span(15 * SECOND),
            flooded_by: 4.0,
            flooded_after: Span(2 * SECOND),
            flooded_slower: 2.5,
            flooded_rest: Span(3 * SECOND),
            reports: Span(500_000),
            keeps_keys: Span(0),
            keys_save: 0.5,
            stops_work: true,
        }
    }
}

/// A machine type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub name: String,
    /// Its part of the fleet, against the others' shares.
    #[serde(default = "all")]
    pub share: f64,
    #[serde(default = "one_core")]
    pub cores: usize,
    /// The least and the greatest speed of a core; work is given for speed 1.
    #[serde(default = "usual_speed")]
    pub speed: [f64; 2],
}

/// How the list of servers reaches balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Balancers must ask, and at least so often; 0: they follow a watch.
    pub ask_within: Span,
    /// Between a change and the list that tells it, at least and at most.
    pub delay: [Span; 2],
    /// Calls that all balancers together may make a second, worked through in turn; 0: as many as come.
    pub calls_per_second: f64,
    /// A call that would wait longer for its turn is refused.
    pub longest_queue: Span,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            ask_within: Span(10 * SECOND),
            delay: [Span(200_000), Span(800_000)],
            calls_per_second: 0.0,
            longest_queue: Span(2 * SECOND),
        }
    }
}

/// What a second run would do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Redoable,
    Labelled,
    Irreversible,
}

/// Which servers drop the repeats of a labelled ticket.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// One kind of ticket.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UseCase {
    pub name: String,
    #[serde(default = "all")]
    pub share: f64,
    pub effect: Effect,
    #[serde(default = "cell")]
    pub group: Group,
    #[serde(default = "window")]
    pub window: Span,
    /// Mean core time at speed 1, and how widely it scatters (of its logarithm).
    pub work: Span,
    #[serde(default = "scatter")]
    pub scatter: f64,
    /// Time spent beside that on others, which keeps no core busy.
    #[serde(default)]
    pub waits: Span,
    pub promised_time: Span,
    pub hard_stop: Span,
    #[serde(default = "all")]
    pub earnings: f64,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Tickets a second.
    pub rate: Spanned<f64>,
    /// Multiples of the rate over the day, as `[time, multiple]`, evenly in between.
    pub curve: Vec<(Span, f64)>,
    pub keys: usize,
    /// A key's popularity falls with its rank to this power.
    pub skew: f64,
    /// A client tries so often again after a dismissal or an abandonment, after such a wait (0: at once).
    pub retries: usize,
    pub retry_wait: Span,
    /// Part of the hard stop after which a try is given up.
    pub give_up: f64,
    /// Part of the clients that leave before.
    pub leaves: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            rate: Spanned::new(0..0, 200.0),
            curve: Vec::new(),
            keys: 500,
            skew: 1.0,
            retries: 1,
            retry_wait: Span(200_000),
            give_up: 1.0,
            leaves: 0.0,
        }
    }
}

/// A tenant, its share of the traffic and what it may send a second.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    #[serde(default = "all")]
    pub share: f64,
    pub allowance: f64,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Servers do nothing, and go on where they were.
    Freeze,
    /// Another program takes `factor` of a server's cores.
    Neighbour,
    /// Servers are `factor` times slower.
    Slow,
    /// Servers take tickets and answer none; what was in work goes on being worked on.
    Silent,
    /// Servers do their work, and `factor` of their answers never come.
    Lost,
    /// Servers fail `factor` of their tickets at once.
    Errors,
    /// Servers spoil `factor` of their answers: cut short, garbled, or the wrong length.
    Spoilt,
    /// Servers reset `factor` of their connections in the middle of a ticket.
    Reset,
    /// The list says that servers drain; those that drained to the end are gone, and others come, cold, in their place.
    Drain,
    /// Servers die, and come back cold at the end.
    Crash,
    /// Servers start anew, cold.
    Cold,
    /// So many new servers come, cold: `factor` times the fleet.
    Grow,
    /// Load reports are older by `by`.
    ReportsLate,
    /// Answers tell no load.
    ReportsAbsent,
    /// Discovery answers nothing.
    DiscoveryGone,
    /// Discovery tells what was true `by` ago.
    DiscoveryStale,
    /// Traffic is `factor` times the usual.
    Burst,
    /// Balancers are killed, and started again at the end, with nothing kept.
    #[serde(alias = "balancer_restarted")]
    BalancerKilled,
    /// Balancers are told to stop, and started again at the end.
    BalancerStopped,
    /// Balancers are not run for the span (SIGSTOP), then go on.
    BalancerStalled,
    /// Balancers are killed, and started again at the end, each at the fleet address of the next one named.
    BalancerSwapped,
    /// Balancers are not run for `factor` of each tenth of a second: slow, not dead.
    BalancerHurt,
    /// Nothing passes between the balancers named and those of `against`, or all others.
    LinkCut,
    /// `factor` of what balancers tell one another is lost on those ways.
    LinkLossy,
    /// It takes up to `by` longer, and overtakes.
    LinkSlow,
    /// `factor` of it comes twice.
    LinkRepeats,
    /// In `factor` of it a bit is turned.
    LinkSpoils,
    /// Strangers send the balancers named `factor` datagrams a second: noise, what was sent before, and that spoilt.
    LinkFlood,
    /// Balancers have their configuration read anew (SIGHUP), which names another address of discovery.
    BalancerReloaded,
    /// Watches that are open at the beginning fall silent: nothing comes on them any more, and nothing says so.
    WatchesSilent,
    /// Watches that are open at the beginning are reset.
    WatchesReset,
    /// Discovery takes `factor` times as long for each call.
    DiscoverySlow,
    /// `factor` of discovery's answers are cut at any byte, and their connection ends.
    ListsCut,
    /// `factor` of its answers come in pieces with pauses, over up to `by` in all.
    ListsInPieces,
    /// `factor` of its answers are written up to `by` late.
    ListsLate,
    /// `factor` of its answers are followed by a reset at once.
    ListsReset,
    /// `factor` of the calls are answered 503.
    ListsRefused,
    /// `factor` of the watches are answered with the whole list.
    ListsWhole,
    /// `factor` of its answers hold an entry that cannot be understood.
    ListsStrange,
    /// `factor` of the clients write their requests in pieces.
    ClientsInPieces,
    /// Clients stop in the middle of a request and stay, `factor` of them a second for each balancer.
    ClientsStop,
    /// `factor` of the clients send a further request behind the first at once.
    ClientsPipeline,
    /// Servers write `factor` of their answers in pieces.
    AnswersInPieces,
    /// `factor` of the answers state no length; a third of these are reset on the way.
    AnswersUnended,
    /// Behind `factor` of the answers comes a second one, some milliseconds late.
    AnswersTwice,
    /// Servers close or reset connections that stand idle for `by`.
    IdleClosed,
    /// `factor` of the balancers' calls to accept, open or connect a socket fail for the moment.
    SystemFails,
    /// `factor` of their reads and writes are interrupted, and as many are short.
    CallsShort,
    /// `factor` of their writes to upstreams break, as the network may.
    ConnectionsBreak,
    /// Balancers are held up before `factor` of their writes, for up to `by`.
    HeldUp,
    /// Their wall clock is ahead by `by`, or behind where `factor` is below 0.
    ClockSteps,
}

/// One fault in the day's timeline. Which servers: by number, zone, machine type, part of the fleet, or all.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    pub at: Span,
    #[serde(default, rename = "for")]
    pub lasts: Span,
    pub servers: Option<Vec<usize>>,
    pub zone: Option<String>,
    pub machine: Option<String>,
    pub part: Option<f64>,
    pub balancers: Option<Vec<usize>>,
    /// Balancers on the other side of a way; all others where none are named.
    pub against: Option<Vec<usize>>,
    /// Only what `balancers` send is hit.
    #[serde(default)]
    pub one_way: bool,
    pub factor: Option<f64>,
    pub by: Option<Span>,
    /// Servers are hit one after the other, evenly over this time.
    #[serde(default)]
    pub over: Span,
}

/// How much each part of service weighs; see [`crate::service`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    pub whole: f64,
    pub worst_10s: f64,
    pub worst_use_case: f64,
    pub worst_tenant: f64,
    pub tail: f64,
    /// Part of the answers that may miss the promised time at no loss; at five times that the tail counts nothing.
    pub late_free: f64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            whole: 0.5,
            worst_10s: 0.1,
            worst_use_case: 0.1,
            worst_tenant: 0.1,
            tail: 0.2,
            late_free: 0.02,
        }
    }
}

fn one() -> u64 {
    1
}
fn two() -> Spanned<usize> {
    Spanned::new(0..0, 2)
}
fn all() -> f64 {
    1.0
}
fn one_core() -> usize {
    1
}
fn usual_speed() -> [f64; 2] {
    [1.0, 1.0]
}
fn cell() -> Group {
    Group::Cell
}
fn window() -> Span {
    Span(2_500_000)
}
fn scatter() -> f64 {
    0.4
}
fn machine() -> Vec<Spanned<Machine>> {
    let of = |name: &str, share, speed| Machine {
        name: name.into(),
        share,
        cores: 1,
        speed,
    };
    vec![
        Spanned::new(0..0, of("quick", 1.0, [1.2, 1.6])),
        Spanned::new(0..0, of("slow", 1.0, [0.7, 0.9])),
    ]
}
fn use_cases() -> Vec<Spanned<UseCase>> {
    let of = |name: &str, share, effect, work, promised, stop, earnings| UseCase {
        name: name.into(),
        share,
        effect,
        group: cell(),
        window: window(),
        work: Span(work),
        scatter: scatter(),
        waits: Span(5_000),
        promised_time: Span(promised),
        hard_stop: Span(stop),
        earnings,
    };
    [
        of(
            "look",
            0.6,
            Effect::Redoable,
            20_000,
            400_000,
            1_500_000,
            1.0,
        ),
        of(
            "order",
            0.25,
            Effect::Labelled,
            25_000,
            500_000,
            2_000_000,
            2.0,
        ),
        of(
            "pay",
            0.15,
            Effect::Irreversible,
            30_000,
            600_000,
            2_000_000,
            3.0,
        ),
    ]
    .map(|use_case| Spanned::new(0..0, use_case))
    .into()
}
