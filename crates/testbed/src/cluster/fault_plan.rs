//! The faults of one seed: the times at which members leave, are killed, restarted, paused or cut
//! off, and the faults of the network.

use pinefront_model::network::{LinkFault, NetworkLinks};
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::FaultKind;
use pinefront_model::{Micros, SECOND};

/// Earliest start of a fault of a member or of its links, in µs. All members have joined by then.
const EARLIEST_FAULT_US: Micros = 8 * SECOND;
/// Latest start of a fault of a member or of its links, in µs, and the end of the faults that
/// affect the whole network.
const LATEST_FAULT_US: Micros = 24 * SECOND;
/// Time in µs after the end of the last fault within which all views must agree.
const SETTLING_TIME_US: Micros = 20 * SECOND;
/// Duration of the fault-free part of a plan of kind [`PlanKind::Calm`], in µs.
const CALM_TIME_US: Micros = 60 * SECOND;
/// The shortest and the longest delay of a link without faults, in µs.
const BASE_DELAY_US: [Micros; 2] = [500, 3_000];
/// Loss rates of plans of kind [`PlanKind::Lossy`], as fractions of 1.
const LOSS_RATES: [f64; 4] = [0.05, 0.1, 0.2, 0.3];
/// Loss rates of plans of kind [`PlanKind::Any`], as fractions of 1.
const MIXED_LOSS_RATES: [f64; 4] = [0.02, 0.1, 0.2, 0.3];

/// The kind of a fault plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum PlanKind {
    /// Up to four overlapping faults of any kind, in a network that may lose, duplicate, corrupt,
    /// delay and replay datagrams.
    Any,
    /// Two members cannot reach each other, while all other members reach both
    Pair,
    /// A member is paused for 3 s to 15 s while it suspects another one, in a network without
    /// faults.
    #[value(name = "sleep")]
    Pause,
    /// A member leaves the cluster, in a network without faults.
    Leave,
    /// A member is killed, in a network without faults.
    Death,
    /// The network is partitioned into two halves for 20 s.
    Halves,
    /// Datagrams are lost at a rate of 5 % to 30 %.
    Lossy,
    /// A member is repeatedly cut off and reconnected.
    #[value(name = "flaps")]
    Flapping,
    /// No faults for one minute.
    Calm,
}

/// The kinds of which one is drawn for a seed; a repeated kind is drawn more often.
const DRAWN_KINDS: [PlanKind; 9] = [
    PlanKind::Any,
    PlanKind::Any,
    PlanKind::Any,
    PlanKind::Pair,
    PlanKind::Pause,
    PlanKind::Leave,
    PlanKind::Halves,
    PlanKind::Lossy,
    PlanKind::Flapping,
];

/// A change to the process of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Starts a process of the member at the member's usual address.
    Start { member: usize },
    /// Starts a process of the member at the address with that index.
    StartAt { member: usize, address: usize },
    /// Kills the process of the member.
    Kill { member: usize },
    /// Makes the process of the member leave the cluster and stop.
    Leave { member: usize },
    /// Pauses the process of the member.
    Pause { member: usize },
    /// Resumes the process of the member.
    Resume { member: usize },
}

/// An action and the time at which it is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledAction {
    pub at: Micros,
    pub action: Action,
}

/// The faults of one seed.
pub struct FaultPlan {
    pub kind: PlanKind,
    pub links: NetworkLinks,
    /// The actions in order of time.
    pub actions: Vec<ScheduledAction>,
    /// The probability that a datagram is recorded and a recorded datagram is replayed.
    pub replay_probability: f64,
    pub ends_at: Micros,
}

/// Returns a fault of all links between the members in `side` and the other members.
fn link_fault(kind: FaultKind, from: Micros, to: Micros, side: Vec<usize>) -> LinkFault {
    LinkFault {
        kind,
        from,
        to,
        balancers: side,
        against: None,
        one_way: false,
        factor: 0.0,
        by: 0,
    }
}

/// Returns a fault of every link from the start until [`LATEST_FAULT_US`].
fn network_fault(kind: FaultKind, members: usize) -> LinkFault {
    let all: Vec<usize> = (0..members).collect();
    LinkFault {
        against: Some(all.clone()),
        ..link_fault(kind, 0, LATEST_FAULT_US, all)
    }
}

impl FaultPlan {
    /// Draws the plan of a seed. `kind` and `loss`, a loss rate as a fraction of 1, replace the
    /// drawn values.
    pub fn draw(seed: u64, members: usize, kind: Option<PlanKind>, loss: Option<f64>) -> Self {
        let mut random = RandomSource::split(seed, "scenario", 0);
        let kind = kind.unwrap_or_else(|| DRAWN_KINDS[random.below(DRAWN_KINDS.len())]);
        let mut plan = Self {
            kind,
            links: NetworkLinks {
                faults: Vec::new(),
                base_delay: BASE_DELAY_US,
            },
            actions: Vec::new(),
            replay_probability: 0.0,
            ends_at: 0,
        };
        for member in 0..members {
            let at = random.duration_below(SECOND);
            plan.schedule(at, Action::Start { member });
        }
        plan.draw_faults(&mut random, members);
        if let Some(loss) = loss {
            plan.links
                .faults
                .retain(|fault| fault.kind != FaultKind::LinkLossy);
            plan.add_network_loss(members, loss);
        }
        plan.actions.sort_by_key(|scheduled| scheduled.at);
        let remaining = match kind {
            PlanKind::Calm => CALM_TIME_US,
            _ => SETTLING_TIME_US,
        };
        plan.ends_at = plan.last_fault_end().max(EARLIEST_FAULT_US) + remaining;
        plan
    }

    /// Returns the time of the last action or of the end of the last network fault, whichever is
    /// later.
    pub fn last_fault_end(&self) -> Micros {
        let last_action = self.actions.last().map_or(0, |scheduled| scheduled.at);
        last_action.max(self.links.last_fault_end())
    }

    fn schedule(&mut self, at: Micros, action: Action) {
        self.actions.push(ScheduledAction { at, action });
    }

    fn add_network_loss(&mut self, members: usize, loss: f64) {
        self.links.faults.push(LinkFault {
            factor: loss,
            ..network_fault(FaultKind::LinkLossy, members)
        });
    }

    fn add_cut(&mut self, from: Micros, to: Micros, side: Vec<usize>) {
        self.links
            .faults
            .push(link_fault(FaultKind::LinkCut, from, to, side));
    }

    fn draw_faults(&mut self, random: &mut RandomSource, members: usize) {
        let from = EARLIEST_FAULT_US + random.duration_below(SECOND);
        match self.kind {
            PlanKind::Any => self.draw_mixed_faults(random, members),
            PlanKind::Pair => {
                let pair = random.sample_indices(2, members);
                self.links.faults.push(LinkFault {
                    against: Some(vec![pair[1]]),
                    one_way: random.happens(0.5),
                    ..link_fault(FaultKind::LinkCut, from, LATEST_FAULT_US, vec![pair[0]])
                });
            }
            PlanKind::Pause => self.draw_pause(random, members, from),
            PlanKind::Leave => {
                let member = random.below(members);
                self.schedule(from, Action::Leave { member });
            }
            PlanKind::Death => {
                let member = random.below(members);
                self.schedule(from, Action::Kill { member });
            }
            PlanKind::Halves => self.draw_halves(random, members, from),
            PlanKind::Flapping => self.draw_flapping(random, members, from),
            PlanKind::Calm => {}
            PlanKind::Lossy => {
                let loss = LOSS_RATES[random.below(LOSS_RATES.len())];
                self.add_network_loss(members, loss);
            }
        }
    }

    fn draw_mixed_faults(&mut self, random: &mut RandomSource, members: usize) {
        if random.happens(0.5) {
            let loss = MIXED_LOSS_RATES[random.below(MIXED_LOSS_RATES.len())];
            self.add_network_loss(members, loss);
        }
        if random.happens(0.3) {
            self.links.faults.push(LinkFault {
                factor: 0.1,
                ..network_fault(FaultKind::LinkRepeats, members)
            });
        }
        if random.happens(0.3) {
            self.links.faults.push(LinkFault {
                factor: 0.05,
                ..network_fault(FaultKind::LinkCorrupts, members)
            });
        }
        if random.happens(0.3) {
            self.links.faults.push(LinkFault {
                by: 1_000 + random.duration_below(200_000),
                ..network_fault(FaultKind::LinkSlow, members)
            });
        }
        self.replay_probability = if random.happens(0.5) { 0.05 } else { 0.0 };
        for _ in 0..random.below(5) {
            self.draw_one_fault(random, members);
        }
    }

    /// Pauses a first member while it suspects a second one. The second member resumes during that
    /// pause and refutes the suspicion.
    fn draw_pause(&mut self, random: &mut RandomSource, members: usize, from: Micros) {
        let pair = random.sample_indices(2, members);
        let (member, suspected) = (pair[0], pair[1]);
        let paused_at = from + 900_000 + random.duration_below(SECOND);
        let duration = 3 * SECOND + random.duration_below(12 * SECOND);
        self.schedule(from, Action::Pause { member: suspected });
        self.schedule(paused_at + 200_000, Action::Resume { member: suspected });
        self.schedule(paused_at, Action::Pause { member });
        self.schedule(paused_at + duration, Action::Resume { member });
    }

    fn draw_halves(&mut self, random: &mut RandomSource, members: usize, from: Micros) {
        let half = random.sample_indices(members / 2, members);
        self.add_cut(from, from + 20 * SECOND, half.clone());
        // Members crash on both sides of the partition.
        if random.happens(0.5) {
            let other = (0..members).find(|member| !half.contains(member));
            self.schedule(from + 8 * SECOND, Action::Kill { member: half[0] });
            if let Some(member) = other {
                self.schedule(from + 9 * SECOND, Action::Kill { member });
            }
        }
    }

    fn draw_flapping(&mut self, random: &mut RandomSource, members: usize, from: Micros) {
        let member = random.below(members);
        let mut at = from;
        for _ in 0..6 + random.below(6) {
            let duration = 200_000 + random.duration_below(3 * SECOND);
            self.add_cut(at, at + duration, vec![member]);
            at += duration + 200_000 + random.duration_below(2 * SECOND);
        }
    }

    /// Draws one fault of any kind. Adds none if it would pause or end the process of a member
    /// whose process another fault already pauses or ends.
    fn draw_one_fault(&mut self, random: &mut RandomSource, members: usize) {
        let from = EARLIEST_FAULT_US + random.duration_below(LATEST_FAULT_US - EARLIEST_FAULT_US);
        let to = from + 200_000 + random.duration_below(10 * SECOND);
        let member = random.below(members);
        match random.below(8) {
            0 => {
                let count = 1 + random.below(members / 2);
                let side = random.sample_indices(count, members);
                self.add_cut(from, to, side);
            }
            1 => self.links.faults.push(LinkFault {
                one_way: true,
                ..link_fault(FaultKind::LinkCut, from, to, vec![member])
            }),
            2 => self.links.faults.push(LinkFault {
                factor: 0.3,
                ..link_fault(FaultKind::LinkLossy, from, to, vec![member])
            }),
            _ if self.has_process_fault(member) => {}
            3 => {
                self.schedule(from, Action::Pause { member });
                self.schedule(to, Action::Resume { member });
            }
            4 => self.schedule(from, Action::Kill { member }),
            5 => {
                let restart_at = if random.happens(0.5) {
                    from + 200_000
                } else {
                    to
                };
                self.schedule(from, Action::Kill { member });
                self.schedule(restart_at, Action::Start { member });
            }
            6 => {
                let address = members + member;
                self.schedule(from, Action::Kill { member });
                self.schedule(to, Action::StartAt { member, address });
            }
            _ => self.schedule(from, Action::Leave { member }),
        }
    }

    /// Whether the plan pauses or ends the process of a member.
    fn has_process_fault(&self, member: usize) -> bool {
        self.actions.iter().any(|scheduled| match scheduled.action {
            Action::Kill { member: other }
            | Action::Leave { member: other }
            | Action::Pause { member: other } => other == member,
            _ => false,
        })
    }
}
