//! The faults of one seed: which members are stopped, killed, restarted or cut off when, and the
//! faults of the network.

use pinefront_model::network::{LinkFault, NetworkLinks};
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::FaultKind;
use pinefront_model::{Micros, SECOND};

/// When faults begin at the earliest, by which time all members know each other.
const FAULTS_FROM: Micros = 8 * SECOND;
/// When drawn faults begin at the latest.
const FAULTS_TO: Micros = 24 * SECOND;
/// How long after the last fault all views must agree.
const SETTLING_TIME: Micros = 20 * SECOND;
/// How long a plan without faults lasts.
const CALM_TIME: Micros = 60 * SECOND;
/// The delays of a link without faults, in microseconds.
const BASE_DELAY_US: [Micros; 2] = [500, 3_000];
/// Rates of loss that are drawn.
const LOSS_RATES: [f64; 4] = [0.05, 0.1, 0.2, 0.3];
const MIXED_LOSS_RATES: [f64; 4] = [0.02, 0.1, 0.2, 0.3];

/// The kind of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum PlanKind {
    /// Up to four faults of any kind, overlapping, in a network that loses, repeats and delays.
    Any,
    /// Two members can't reach each other; all others can reach both.
    Pair,
    /// A member is paused for long while it suspects another, in a calm network.
    #[value(name = "sleep")]
    Pause,
    /// A member leaves in order, in a calm network.
    Leave,
    /// A member is killed, in a calm network.
    Death,
    /// Two halves are cut apart for 20 s.
    Halves,
    /// Nothing but lost datagrams, up to 30 %.
    Lossy,
    /// A member is cut off and connected again and again.
    #[value(name = "flaps")]
    Flapping,
    /// No faults for a minute.
    Calm,
}

/// The kinds drawn from a seed.
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

/// What is done to a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Starts a process of the member at its usual address.
    Start { member: usize },
    /// Starts a process of the member at the address with that index.
    StartAt { member: usize, address: usize },
    /// Kills its process.
    Kill { member: usize },
    /// Makes it leave in order.
    Leave { member: usize },
    /// Pauses its process.
    Pause { member: usize },
    /// Resumes its process.
    Resume { member: usize },
}

/// An action with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledAction {
    pub at: Micros,
    pub action: Action,
}

/// The faults of one seed.
pub struct FaultPlan {
    pub kind: PlanKind,
    pub links: NetworkLinks,
    /// In order of time.
    pub actions: Vec<ScheduledAction>,
    /// The probability that a datagram is recorded and a recorded one replayed.
    pub replay_probability: f64,
    pub ends_at: Micros,
}

/// A fault of all links of `side`, or of those between `side` and `against`.
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

/// A fault of every link until the drawn faults are over.
fn fault_everywhere(kind: FaultKind, members: usize) -> LinkFault {
    let all: Vec<usize> = (0..members).collect();
    LinkFault {
        against: Some(all.clone()),
        ..link_fault(kind, 0, FAULTS_TO, all)
    }
}

impl FaultPlan {
    /// Draws the plan of a seed, of the given kind and rate of loss if there are any.
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
            plan.lose_everywhere(members, loss);
        }
        plan.actions.sort_by_key(|scheduled| scheduled.at);
        let remaining = match kind {
            PlanKind::Calm => CALM_TIME,
            _ => SETTLING_TIME,
        };
        plan.ends_at = plan.last_fault_end().max(FAULTS_FROM) + remaining;
        plan
    }

    /// When the last action or fault of the network is over.
    pub fn last_fault_end(&self) -> Micros {
        let last_action = self.actions.last().map_or(0, |scheduled| scheduled.at);
        last_action.max(self.links.last_fault_end())
    }

    fn schedule(&mut self, at: Micros, action: Action) {
        self.actions.push(ScheduledAction { at, action });
    }

    fn lose_everywhere(&mut self, members: usize, loss: f64) {
        self.links.faults.push(LinkFault {
            factor: loss,
            ..fault_everywhere(FaultKind::LinkLossy, members)
        });
    }

    fn cut(&mut self, from: Micros, to: Micros, side: Vec<usize>) {
        self.links
            .faults
            .push(link_fault(FaultKind::LinkCut, from, to, side));
    }

    fn draw_faults(&mut self, random: &mut RandomSource, members: usize) {
        let from = FAULTS_FROM + random.duration_below(SECOND);
        match self.kind {
            PlanKind::Any => self.draw_mixed_faults(random, members),
            PlanKind::Pair => {
                let pair = random.sample_indices(2, members);
                self.links.faults.push(LinkFault {
                    against: Some(vec![pair[1]]),
                    one_way: random.happens(0.5),
                    ..link_fault(FaultKind::LinkCut, from, FAULTS_TO, vec![pair[0]])
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
                self.lose_everywhere(members, loss);
            }
        }
    }

    fn draw_mixed_faults(&mut self, random: &mut RandomSource, members: usize) {
        if random.happens(0.5) {
            let loss = MIXED_LOSS_RATES[random.below(MIXED_LOSS_RATES.len())];
            self.lose_everywhere(members, loss);
        }
        if random.happens(0.3) {
            self.links.faults.push(LinkFault {
                factor: 0.1,
                ..fault_everywhere(FaultKind::LinkRepeats, members)
            });
        }
        if random.happens(0.3) {
            self.links.faults.push(LinkFault {
                factor: 0.05,
                ..fault_everywhere(FaultKind::LinkCorrupts, members)
            });
        }
        if random.happens(0.3) {
            self.links.faults.push(LinkFault {
                by: 1_000 + random.duration_below(200_000),
                ..fault_everywhere(FaultKind::LinkSlow, members)
            });
        }
        self.replay_probability = if random.happens(0.5) { 0.05 } else { 0.0 };
        for _ in 0..random.below(5) {
            self.draw_one_fault(random, members);
        }
    }

    /// The first member is paused while it suspects the second, which resumes and refutes
    /// meanwhile.
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
        self.cut(from, from + 20 * SECOND, half.clone());
        // Deaths on both sides of the cut.
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
            self.cut(at, at + duration, vec![member]);
            at += duration + 200_000 + random.duration_below(2 * SECOND);
        }
    }

    /// Draws one fault of any kind; none where it would pause or end a process that another fault
    /// does.
    fn draw_one_fault(&mut self, random: &mut RandomSource, members: usize) {
        let from = FAULTS_FROM + random.duration_below(FAULTS_TO - FAULTS_FROM);
        let to = from + 200_000 + random.duration_below(10 * SECOND);
        let member = random.below(members);
        match random.below(8) {
            0 => {
                let count = 1 + random.below(members / 2);
                let side = random.sample_indices(count, members);
                self.cut(from, to, side);
            }
            1 => self.links.faults.push(LinkFault {
                one_way: true,
                ..link_fault(FaultKind::LinkCut, from, to, vec![member])
            }),
            2 => self.links.faults.push(LinkFault {
                factor: 0.3,
                ..link_fault(FaultKind::LinkLossy, from, to, vec![member])
            }),
            _ if self.is_hit(member) => {}
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

    /// Whether a fault pauses or ends the process of a member.
    fn is_hit(&self, member: usize) -> bool {
        self.actions.iter().any(|scheduled| match scheduled.action {
            Action::Kill { member: other }
            | Action::Leave { member: other }
            | Action::Pause { member: other } => other == member,
            _ => false,
        })
    }
}
