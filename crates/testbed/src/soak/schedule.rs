//! Days drawn from a seed: settings, and troubles that overlap.

use std::fmt::Write as _;

use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{FaultKind, Scenario};

/// What is wanted of every day.
#[derive(Clone, Debug)]
pub struct Shape {
    pub seconds: u64,
    /// Balancers; drawn where none are named.
    pub balancers: Option<usize>,
    /// Requests a second.
    pub rate: f64,
    /// Troubles by name that each day has beside the drawn ones.
    pub with: Vec<String>,
}

/// A kind of trouble, and what is drawn for it.
struct LinkFault {
    name: &'static str,
    kind: FaultKind,
    /// Milliseconds that it lasts, at least and at most.
    lasts: [u64; 2],
    /// Its factor, at least and at most, where it takes one.
    factor: Option<[f64; 2]>,
    /// Milliseconds that it is about, where it takes a span.
    by: Option<[u64; 2]>,
    /// Part of the servers that it hits at most, where it hits any.
    servers: Option<f64>,
    /// Part of the balancers that it hits at most, where it hits any.
    balancers: Option<f64>,
}

const fn of(name: &'static str, kind: FaultKind, lasts: [u64; 2]) -> LinkFault {
    LinkFault {
        name,
        kind,
        lasts,
        factor: None,
        by: None,
        servers: None,
        balancers: None,
    }
}

const TROUBLES: [LinkFault; 29] = [
    LinkFault {
        balancers: Some(0.5),
        ..of(
            "balancer_stopped",
            FaultKind::BalancerStopped,
            [3_000, 6_000],
        )
    },
    LinkFault {
        balancers: Some(0.5),
        ..of("balancer_killed", FaultKind::BalancerKilled, [300, 3_000])
    },
    LinkFault {
        balancers: Some(0.3),
        ..of("balancer_stalled", FaultKind::BalancerStalled, [100, 2_000])
    },
    LinkFault {
        balancers: Some(1.0),
        ..of("balancer_reloaded", FaultKind::BalancerReloaded, [0, 0])
    },
    LinkFault {
        servers: Some(0.5),
        ..of("drain", FaultKind::Drain, [3_000, 6_000])
    },
    LinkFault {
        servers: Some(0.4),
        ..of("crash", FaultKind::Crash, [500, 4_000])
    },
    LinkFault {
        servers: Some(0.4),
        ..of("cold", FaultKind::Cold, [1_000, 1_000])
    },
    LinkFault {
        servers: Some(0.5),
        ..of("freeze", FaultKind::Freeze, [300, 4_000])
    },
    LinkFault {
        servers: Some(0.4),
        ..of("silent", FaultKind::Silent, [300, 4_000])
    },
    LinkFault {
        servers: Some(0.5),
        factor: Some([0.1, 0.6]),
        ..of("lost", FaultKind::Lost, [2_000, 5_000])
    },
    LinkFault {
        servers: Some(0.6),
        factor: Some([0.1, 0.8]),
        ..of("errors", FaultKind::Errors, [2_000, 5_000])
    },
    LinkFault {
        servers: Some(0.6),
        factor: Some([0.1, 0.8]),
        ..of("spoilt", FaultKind::Corrupted, [2_000, 5_000])
    },
    LinkFault {
        servers: Some(0.6),
        factor: Some([0.1, 0.8]),
        ..of("reset", FaultKind::Reset, [2_000, 5_000])
    },
    LinkFault {
        servers: Some(0.5),
        factor: Some([2.0, 8.0]),
        ..of("slow", FaultKind::Slow, [2_000, 5_000])
    },
    of(
        "discovery_gone",
        FaultKind::DiscoveryUnreachable,
        [1_000, 6_000],
    ),
    LinkFault {
        by: Some([500, 4_000]),
        ..of("discovery_stale", FaultKind::DiscoveryStale, [2_000, 5_000])
    },
    of("watches_silent", FaultKind::WatchesSilent, [500, 3_000]),
    LinkFault {
        factor: Some([1.3, 2.5]),
        ..of("burst", FaultKind::Burst, [1_000, 4_000])
    },
    LinkFault {
        factor: Some([0.2, 1.0]),
        ..of(
            "clients_in_pieces",
            FaultKind::ClientsInPieces,
            [2_000, 6_000],
        )
    },
    LinkFault {
        factor: Some([1.0, 5.0]),
        ..of("clients_stop", FaultKind::ClientsStop, [2_000, 6_000])
    },
    LinkFault {
        factor: Some([0.2, 1.0]),
        ..of(
            "clients_pipeline",
            FaultKind::ClientsPipeline,
            [2_000, 6_000],
        )
    },
    LinkFault {
        factor: Some([0.2, 1.0]),
        ..of(
            "answers_in_pieces",
            FaultKind::AnswersInPieces,
            [2_000, 6_000],
        )
    },
    LinkFault {
        factor: Some([0.2, 1.0]),
        ..of("answers_unended", FaultKind::AnswersUnended, [2_000, 6_000])
    },
    LinkFault {
        factor: Some([0.05, 0.5]),
        ..of("answers_twice", FaultKind::AnswersTwice, [2_000, 6_000])
    },
    LinkFault {
        by: Some([5, 300]),
        ..of("idle_closed", FaultKind::IdleClosed, [2_000, 6_000])
    },
    LinkFault {
        factor: Some([0.01, 0.3]),
        ..of("system_fails", FaultKind::SystemFails, [2_000, 6_000])
    },
    LinkFault {
        factor: Some([0.05, 0.5]),
        ..of("calls_short", FaultKind::CallsShort, [2_000, 6_000])
    },
    LinkFault {
        factor: Some([0.001, 0.02]),
        ..of(
            "connections_break",
            FaultKind::ConnectionsBreak,
            [2_000, 6_000],
        )
    },
    LinkFault {
        factor: Some([0.001, 0.02]),
        by: Some([50, 150]),
        ..of("held_up", FaultKind::HeldUp, [2_000, 6_000])
    },
];

/// A clock that steps holds to the end of the day, or its step back would be a second one.
const CLOCK_STEPS_MS: [u64; 4] = [2_000, 9_000, 60_000, 3_600_000];

/// Servers at least and at most.
const SERVERS: [usize; 2] = [8, 16];

/// The name of a trouble in a schedule.
pub fn name(kind: FaultKind) -> String {
    let known = TROUBLES
        .iter()
        .find(|trouble| trouble.kind == kind)
        .map(|trouble| trouble.name);
    known
        .unwrap_or(if kind == FaultKind::ClockSteps {
            "clock_steps"
        } else {
            "other"
        })
        .to_owned()
}

/// The troubles of a day by name.
pub fn troubles(scenario: &Scenario) -> Vec<String> {
    scenario
        .faults
        .iter()
        .map(|fault| name(fault.get_ref().kind))
        .collect()
}

/// Draws a day as a file would hold it.
pub fn draw(seed: u64, shape: &Shape) -> String {
    let mut chance = RandomSource::split(seed, "soak", 0);
    let balancers = shape.balancers.unwrap_or_else(|| 4 + chance.below(9));
    let mut text = head(seed, shape, balancers, &mut chance);
    let mut taken: Vec<&str> = Vec::new();
    let length_ms = shape.seconds * 1000;
    // Two knots of troubles, each with two or three that overlap.
    for (knot, from) in [length_ms / 8, length_ms / 2].into_iter().enumerate() {
        let count = 2 + chance.below(2);
        for _ in 0..count {
            let trouble = &TROUBLES[chance.below(TROUBLES.len())];
            let away = |name: &str| matches!(name, "drain" | "crash" | "cold");
            let processes = |name: &str| matches!(name, "balancer_stopped" | "balancer_killed");
            let clashes = |other: &&str| {
                *other == trouble.name
                    || (away(other) && away(trouble.name))
                    || (processes(other) && processes(trouble.name))
            };
            if !taken.iter().any(clashes) {
                taken.push(trouble.name);
                let at = from + chance.below(1_500) as u64;
                let most = length_ms / 2 - 2_000;
                // What has drained is gone: only others can be hit later.
                let all = 0..SERVERS[0];
                let servers: Vec<usize> = match (away(trouble.name), knot) {
                    (true, _) => all.step_by(2).collect(),
                    (false, 0) => all.collect(),
                    (false, _) => all.skip(1).step_by(2).collect(),
                };
                write_trouble(
                    &mut text,
                    trouble,
                    [at, most],
                    balancers,
                    &servers,
                    &mut chance,
                );
            }
        }
        if knot == 0 && chance.happens(0.25) {
            let by = CLOCK_STEPS_MS[chance.below(CLOCK_STEPS_MS.len())];
            let factor = if chance.happens(0.5) { 1.0 } else { -1.0 };
            let lasts = length_ms - from;
            let _ = write!(
                text,
                "[[faults]]\nkind = \"clock_steps\"\nat = \"{from}ms\"\nfor = \"{lasts}ms\"\nby = \"{by}ms\"\nfactor = {factor:.1}\n"
            );
        }
    }
    for wanted in shape
        .with
        .iter()
        .filter(|wanted| !taken.contains(&wanted.as_str()))
    {
        if let Some(trouble) = TROUBLES.iter().find(|trouble| trouble.name == wanted) {
            let odd: Vec<usize> = (1..SERVERS[0]).step_by(2).collect();
            write_trouble(
                &mut text,
                trouble,
                [length_ms / 8, length_ms / 2],
                balancers,
                &odd,
                &mut chance,
            );
        }
    }
    text
}

/// The settings of a day.
fn head(seed: u64, shape: &Shape, balancers: usize, chance: &mut RandomSource) -> String {
    let pick = |chance: &mut RandomSource, from: &[&str]| from[chance.below(from.len())].to_owned();
    let group = pick(chance, &["all", "zone", "cell"]);
    let window = pick(chance, &["500ms", "1s", "2500ms"]);
    let grace = pick(chance, &["250ms", "400ms", "1s", "2s"]);
    let stop = pick(chance, &["600ms", "1s", "2500ms"]);
    let asked = pick(chance, &["0s", "4s", "10s"]);
    let servers = SERVERS[0] + chance.below(SERVERS[1] - SERVERS[0] + 1);
    let copies = chance.happens(0.5);
    let leaves = [0.0, 0.02, 0.1][chance.below(3)];
    let retries = chance.below(3);
    format!(
        "name = \"soak-{seed}\"\nlength = \"{}s\"\nseed = {seed}\nbalancers = {balancers}\n\
         [rules]\ndrain_grace = \"{grace}\"\nslack = \"100ms\"\nlate = \"500ms\"\nsecond_copies = {copies}\n\
         [fleet]\nservers = {servers}\n[discovery]\nask_within = \"{asked}\"\n\
         [traffic]\nrate = {:.1}\nleaves = {leaves}\nretries = {retries}\n\
         [[use_cases]]\nname = \"look\"\neffect = \"redoable\"\nshare = 0.5\nwork = \"8ms\"\n\
         promised_time = \"250ms\"\nhard_stop = \"{stop}\"\n\
         [[use_cases]]\nname = \"order\"\neffect = \"labelled\"\ngroup = \"{group}\"\nwindow = \"{window}\"\n\
         share = 0.3\nwork = \"12ms\"\npromised_time = \"300ms\"\nhard_stop = \"{stop}\"\nearnings = 2.0\n\
         [[use_cases]]\nname = \"pay\"\neffect = \"irreversible\"\nshare = 0.2\nwork = \"12ms\"\n\
         promised_time = \"300ms\"\nhard_stop = \"{stop}\"\nearnings = 3.0\n",
        shape.seconds, shape.rate
    )
}

fn write_trouble(
    text: &mut String,
    trouble: &LinkFault,
    [at, most]: [u64; 2],
    balancers: usize,
    servers: &[usize],
    chance: &mut RandomSource,
) {
    let between = |chance: &mut RandomSource, [least, most]: [u64; 2]| {
        least + chance.below((most - least + 1) as usize) as u64
    };
    let lasts = between(chance, trouble.lasts).min(most);
    // Writing to a text cannot fail.
    let _ = write!(
        text,
        "[[faults]]\nkind = \"{}\"\nat = \"{at}ms\"\nfor = \"{lasts}ms\"\n",
        trouble.name
    );
    if let Some([least, most]) = trouble.factor {
        let _ = writeln!(text, "factor = {:.4}", chance.between(least, most));
    }
    if let Some(by) = trouble.by {
        let _ = writeln!(text, "by = \"{}ms\"", between(chance, by));
    }
    if let Some(part) = trouble.servers {
        let count = 1 + chance.below((part * servers.len() as f64).ceil() as usize);
        let named = chance.some_of(count.min(servers.len()), servers.len());
        let named: Vec<_> = named
            .into_iter()
            .map(|place| servers[place].to_string())
            .collect();
        let _ = writeln!(text, "servers = [{}]", named.join(", "));
    }
    if let Some(part) = trouble.balancers {
        let count = 1 + chance.below((part * balancers as f64).ceil() as usize);
        let named: Vec<_> = chance
            .some_of(count.min(balancers), balancers)
            .iter()
            .map(ToString::to_string)
            .collect();
        let _ = writeln!(
            text,
            "balancers = [{}]\nover = \"{}ms\"",
            named.join(", "),
            chance.below(1_500)
        );
    }
}
