//! The judge: a ledger fed with what was seen outside the balancer, that finds breaks of the four rules.
//!
//! 1. Every ticket taken gets one final answer before its hard stop, and nothing after.
//! 2. No effect twice: an irreversible ticket is dispatched again or dismissed only when each earlier dispatch is
//!    proven not run; a labelled one only within its group and window.
//! 3. Nothing new past the grace to a server that is told to drain or gone.
//! 4. No cold server is sent more than the multiple of what it can do.
//!
//! Whoever sees something notes it with its time. The order of notes need not be that of time, as on sockets it is
//! not known exactly; what is compared is the times, with the slack of the day's rules.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::Micros;
use crate::SECOND;
use crate::day::{Day, Effect, Group, Rules, UseCase};

/// A ticket is kept for so long after its hard stop, in case something comes late.
const KEPT: Micros = 15 * SECOND;
/// How often the ledger is cleared of what is over, in notes.
const CLEARED_EVERY: u64 = 4096;
/// How long after its client left an attempt may still begin, and how much more time it may tell than is left.
const LEFT_SLACK: Micros = 100_000;
const TOLD_SLACK: Micros = 150_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Dismissed,
    Abandoned,
}

/// A server as rule 2 and rule 4 look at it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    pub server: usize,
    pub zone: usize,
    pub cell: usize,
    /// What it can do a microsecond while cold; nothing where it is warm.
    pub cold: Option<f64>,
}

/// What was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// The ticket's last byte was written to a balancer; the answer must come by `hard_stop`.
    Taken {
        ticket: u64,
        balancer: usize,
        use_case: usize,
        hard_stop: Micros,
    },
    /// A dispatch whose first byte was seen at `began` came whole to a server.
    Sent {
        ticket: u64,
        place: Place,
        began: Micros,
        work: f64,
    },
    /// What an attempt that began then tells its server of the time that is left.
    ToldTime {
        ticket: u64,
        began: Micros,
        told: Micros,
    },
    /// The server proved that a dispatch did not run.
    NotRun { ticket: u64, server: usize },
    /// The effect took place.
    Ran { ticket: u64, server: usize },
    /// The final answer's last byte; whether a server made it for this ticket.
    Answered {
        ticket: u64,
        outcome: Outcome,
        genuine: bool,
    },
    /// The connection ended without a whole answer.
    Lost { ticket: u64 },
    /// The client left.
    Left { ticket: u64 },
    /// A balancer was told that a server drains or is gone, or serves.
    Told {
        balancer: usize,
        server: usize,
        drains: bool,
    },
    /// A balancer was killed: what it had is nobody's fault.
    Killed { balancer: usize },
    /// It is stopped, or goes on: what it had taken can't be answered in time by anybody.
    Stalled { balancer: usize },
    /// A server fell over while cold.
    Fell { server: usize },
}

impl Seen {
    fn ticket(&self) -> Option<u64> {
        match *self {
            Self::Taken { ticket, .. }
            | Self::Sent { ticket, .. }
            | Self::ToldTime { ticket, .. }
            | Self::NotRun { ticket, .. }
            | Self::Ran { ticket, .. }
            | Self::Answered { ticket, .. }
            | Self::Lost { ticket }
            | Self::Left { ticket } => Some(ticket),
            _ => None,
        }
    }
}

impl fmt::Display for Seen {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Taken {
                balancer,
                hard_stop,
                ..
            } => {
                write!(
                    out,
                    "taken by balancer {balancer}, hard stop {}",
                    seconds(*hard_stop)
                )
            }
            Self::Sent { place, began, .. } => {
                write!(out, "whole at s{}, begun {}", place.server, seconds(*began))
            }
            Self::ToldTime { told, .. } => write!(out, "told {told} us"),
            Self::NotRun { server, .. } => write!(out, "turned away unrun by s{server}"),
            Self::Ran { server, .. } => write!(out, "ran at s{server}"),
            Self::Answered {
                outcome, genuine, ..
            } => {
                write!(
                    out,
                    "{outcome:?}{}",
                    if *genuine {
                        ""
                    } else {
                        " with what no server made for it"
                    }
                )
            }
            Self::Lost { .. } => write!(out, "connection ended without an answer"),
            Self::Left { .. } => write!(out, "client left"),
            Self::Told {
                balancer,
                server,
                drains,
            } => {
                write!(
                    out,
                    "balancer {balancer} told that s{server} {}",
                    if *drains { "drains" } else { "serves" }
                )
            }
            Self::Killed { balancer } => write!(out, "balancer {balancer} killed"),
            Self::Stalled { balancer } => write!(out, "balancer {balancer} stopped or going on"),
            Self::Fell { server } => write!(out, "s{server} fell over"),
        }
    }
}

fn seconds(at: Micros) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}

/// A broken rule, with all that was seen of the ticket or the server.
#[derive(Clone, Debug)]
pub struct Break {
    pub rule: u8,
    pub at: Micros,
    pub ticket: Option<u64>,
    pub what: String,
    pub history: Vec<(Micros, Seen)>,
}

impl fmt::Display for Break {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "rule {} at {}", self.rule, seconds(self.at))?;
        if let Some(ticket) = self.ticket {
            write!(out, ", ticket {ticket}")?;
        }
        write!(out, ": {}", self.what)?;
        self.history
            .iter()
            .try_for_each(|(at, seen)| write!(out, "; {} {seen}", seconds(*at)))
    }
}

#[derive(Default)]
struct History {
    seen: Vec<(Micros, Seen)>,
    taken: Option<(usize, usize, Micros)>,
    answered: Option<Micros>,
    lost: bool,
    excused: bool,
    left: Option<Micros>,
}

/// What a rule keeps of a server: what it was sent lately while cold, and what each balancer was told of it.
#[derive(Default)]
struct Kept {
    cold: VecDeque<(Micros, f64)>,
    over: bool,
    drains: BTreeMap<usize, Micros>,
}

pub struct Ledger {
    rules: Rules,
    use_cases: Vec<UseCase>,
    tickets: BTreeMap<u64, History>,
    servers: BTreeMap<usize, Kept>,
    killed: BTreeMap<usize, Micros>,
    breaks: Vec<Break>,
    notes: u64,
}

impl Ledger {
    pub fn new(day: &Day) -> Self {
        Self {
            rules: day.rules.clone(),
            use_cases: day
                .use_cases
                .iter()
                .map(|use_case| use_case.get_ref().clone())
                .collect(),
            tickets: BTreeMap::new(),
            servers: BTreeMap::new(),
            killed: BTreeMap::new(),
            breaks: Vec::new(),
            notes: 0,
        }
    }

    pub fn breaks(&self) -> &[Break] {
        &self.breaks
    }

    /// Tickets that are kept at the moment.
    pub fn kept(&self) -> usize {
        self.tickets.len()
    }

    /// Notes what was seen at that moment.
    pub fn note(&mut self, at: Micros, seen: Seen) {
        self.notes += 1;
        if self.notes.is_multiple_of(CLEARED_EVERY) {
            self.clear(at);
        }
        if let Some(ticket) = seen.ticket() {
            self.tickets
                .entry(ticket)
                .or_default()
                .seen
                .push((at, seen));
        }
        match seen {
            Seen::Taken {
                ticket,
                balancer,
                use_case,
                hard_stop,
            } => {
                let killed = self
                    .killed
                    .get(&balancer)
                    .is_some_and(|killed| *killed >= at);
                let history = self.tickets.entry(ticket).or_default();
                history.taken = Some((balancer, use_case, hard_stop));
                history.excused |= killed;
                let told: Vec<_> = history.seen.iter().map(|(_, seen)| *seen).collect();
                told.into_iter().for_each(|seen| self.told_time(at, seen));
                let history = self.tickets.entry(ticket).or_default();
                // On sockets the answer may have been noted first.
                if let Some(answered) = history.answered {
                    self.in_time(ticket, answered);
                }
            }
            Seen::Sent {
                ticket,
                place,
                began,
                work,
            } => self.sent(at, ticket, place, began, work),
            Seen::Answered {
                ticket,
                outcome,
                genuine,
            } => self.answered(at, ticket, outcome, genuine),
            Seen::Lost { ticket } => {
                if let Some(history) = self.tickets.get_mut(&ticket) {
                    history.lost = true;
                }
            }
            Seen::Left { ticket } => {
                if let Some(history) = self.tickets.get_mut(&ticket) {
                    history.excused = true;
                    history.left.get_or_insert(at);
                }
            }
            Seen::ToldTime { .. } => self.told_time(at, seen),
            Seen::Told {
                balancer,
                server,
                drains,
            } => {
                let kept = self.servers.entry(server).or_default();
                match drains {
                    true => _ = kept.drains.entry(balancer).or_insert(at),
                    false => _ = kept.drains.remove(&balancer),
                }
            }
            Seen::Killed { balancer } | Seen::Stalled { balancer } => {
                self.killed.insert(balancer, at);
                for history in self.tickets.values_mut() {
                    history.excused |= history.answered.is_none()
                        && history.taken.is_some_and(|t| t.0 == balancer);
                }
                if matches!(seen, Seen::Killed { .. }) {
                    // Its next life is told anew.
                    self.servers
                        .values_mut()
                        .for_each(|kept| _ = kept.drains.remove(&balancer));
                }
            }
            Seen::Fell { server } => {
                self.break_of(4, at, None, format!("s{server} fell over while cold"))
            }
            Seen::NotRun { .. } | Seen::Ran { .. } => {}
        }
    }

    /// The end: whatever is still open by then is broken.
    pub fn finish(&mut self, now: Micros) {
        let open: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, h)| h.is_owed(now, &self.rules))
            .map(|(t, _)| *t)
            .collect();
        for ticket in open {
            self.break_of(1, now, Some(ticket), "no final answer".into());
        }
    }

    fn break_of(&mut self, rule: u8, at: Micros, ticket: Option<u64>, what: String) {
        let history = ticket
            .and_then(|ticket| self.tickets.get(&ticket))
            .map(|h| h.seen.clone())
            .unwrap_or_default();
        self.breaks.push(Break {
            rule,
            at,
            ticket,
            what,
            history,
        });
    }

    fn in_time(&mut self, ticket: u64, at: Micros) {
        let owed = self.tickets.get(&ticket).filter(|history| !history.excused);
        let Some((_, _, hard_stop)) = owed.and_then(|history| history.taken) else {
            return;
        };
        if at > hard_stop + self.rules.answer_late() {
            self.break_of(
                1,
                at,
                Some(ticket),
                format!("answered {} us after its hard stop", at - hard_stop),
            );
        }
    }

    /// An attempt tells at most what its client has left.
    fn told_time(&mut self, at: Micros, seen: Seen) {
        let Seen::ToldTime {
            ticket,
            began,
            told,
        } = seen
        else {
            return;
        };
        let taken = self.tickets.get(&ticket).and_then(|history| history.taken);
        let Some((_, _, hard_stop)) = taken else {
            return;
        };
        if began + told > hard_stop + TOLD_SLACK + self.rules.slack.0 {
            let what = format!(
                "told {told} us where {} were left",
                hard_stop.saturating_sub(began)
            );
            self.break_of(1, at, Some(ticket), what);
        }
    }

    /// A break that no ledger of requests shows.
    pub fn broken(&mut self, rule: u8, at: Micros, what: String) {
        self.break_of(rule, at, None, what);
    }

    fn answered(&mut self, at: Micros, ticket: u64, outcome: Outcome, genuine: bool) {
        let history = self.tickets.entry(ticket).or_default();
        if history.answered.replace(at).is_some() {
            return self.break_of(1, at, Some(ticket), "a second final answer".into());
        }
        let use_case = history.taken.map(|(_, use_case, _)| use_case);
        let ran = self.may_have_run(ticket);
        self.in_time(ticket, at);
        if !genuine {
            self.break_of(
                1,
                at,
                Some(ticket),
                "answered with what no server made for it".into(),
            );
        }
        let Some(use_case) = use_case.and_then(|place| self.use_cases.get(place)) else {
            return;
        };
        let harmless = match (use_case.effect, use_case.group) {
            (Effect::Redoable, _) | (Effect::Labelled, Group::All) => true,
            (Effect::Labelled | Effect::Irreversible, _) => ran.is_empty(),
        };
        if outcome == Outcome::Dismissed && !harmless {
            self.break_of(
                2,
                at,
                Some(ticket),
                "dismissed though a dispatch may have run".into(),
            );
        }
    }

    /// The dispatches of a ticket that nothing proves not to have run: where and when they came whole.
    fn may_have_run(&self, ticket: u64) -> Vec<(Micros, Place)> {
        let Some(history) = self.tickets.get(&ticket) else {
            return Vec::new();
        };
        let mut ran: Vec<(Micros, Place)> = Vec::new();
        for (at, seen) in &history.seen {
            match seen {
                Seen::Sent { place, .. } => ran.push((*at, *place)),
                Seen::NotRun { server, .. } => {
                    if let Some(found) = ran.iter().position(|(_, place)| place.server == *server) {
                        ran.remove(found);
                    }
                }
                _ => {}
            }
        }
        ran
    }

    fn sent(&mut self, at: Micros, ticket: u64, place: Place, began: Micros, work: f64) {
        let slack = self.rules.slack.0;
        let history = self.tickets.entry(ticket).or_default();
        let (taken, answered, left) = (history.taken, history.answered, history.left);
        if let Some(left) = left.filter(|left| began > *left + LEFT_SLACK + slack) {
            let what = format!("sent {} us after its client left", began - left);
            self.break_of(1, at, Some(ticket), what);
        }
        if let Some(answered) = answered.filter(|answered| began > *answered + slack) {
            let what = format!("sent {} us after its final answer", began - answered);
            self.break_of(1, at, Some(ticket), what);
        }
        // This dispatch is the last of them.
        let mut earlier = self.may_have_run(ticket);
        earlier.pop();
        let use_case = taken.and_then(|(_, use_case, _)| self.use_cases.get(use_case));
        let forbidden = use_case.and_then(|use_case| match use_case.effect {
            Effect::Redoable => None,
            Effect::Irreversible => {
                (!earlier.is_empty()).then(|| "an irreversible ticket sent again".to_owned())
            }
            Effect::Labelled => earlier.iter().find_map(|(first, other)| {
                let same = match use_case.group {
                    Group::All => true,
                    Group::Zone => other.zone == place.zone,
                    Group::Cell => other.cell == place.cell,
                };
                let late = began > first + use_case.window.0 + slack;
                let what = if same {
                    "behind its window"
                } else {
                    "outside its group"
                };
                (!same || late).then(|| format!("a labelled ticket sent again {what}"))
            }),
        });
        if let Some(what) = forbidden {
            self.break_of(2, at, Some(ticket), what);
        }
        if let Some((balancer, ..)) = taken {
            let drains = self
                .servers
                .get(&place.server)
                .and_then(|kept| kept.drains.get(&balancer).copied());
            let past = |told: &Micros| began > told + self.rules.drain_grace.0 + slack;
            if let Some(told) = drains.filter(past) {
                let what = format!(
                    "sent to s{} {} us after it was told to drain",
                    place.server,
                    began - told
                );
                self.break_of(3, at, Some(ticket), what);
            }
        }
        self.cold(at, ticket, place, work);
    }

    fn cold(&mut self, at: Micros, ticket: u64, place: Place, work: f64) {
        let (span, multiple) = (self.rules.cold_span.0, self.rules.cold_multiple);
        let kept = self.servers.entry(place.server).or_default();
        let Some(capacity) = place.cold else {
            kept.cold.clear();
            return;
        };
        while kept.cold.front().is_some_and(|(sent, _)| sent + span <= at) {
            kept.cold.pop_front();
        }
        kept.cold.push_back((at, work));
        let sent: f64 = kept.cold.iter().map(|(_, work)| work).sum();
        let over = sent > multiple * capacity * span as f64;
        let newly = over && !std::mem::replace(&mut kept.over, over);
        if newly {
            let what = format!(
                "s{} sent {:.1} times what it can do while cold",
                place.server,
                sent / (capacity * span as f64)
            );
            self.break_of(4, at, Some(ticket), what);
        }
    }

    /// Forgets what is long over, and finds what should have been answered by now.
    fn clear(&mut self, now: Micros) {
        let over = |history: &History| match history.taken {
            Some((_, _, hard_stop)) => hard_stop + KEPT < now,
            None => history
                .seen
                .last()
                .is_none_or(|(at, _)| at + 4 * KEPT < now),
        };
        let ended: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, h)| over(h))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in ended {
            if self
                .tickets
                .get(&ticket)
                .is_some_and(|history| history.is_owed(now, &self.rules))
            {
                self.break_of(1, now, Some(ticket), "no final answer".into());
            }
            self.tickets.remove(&ticket);
        }
    }
}

impl History {
    fn is_owed(&self, now: Micros, rules: &Rules) -> bool {
        let over = self
            .taken
            .is_some_and(|(_, _, hard_stop)| self.lost || now > hard_stop + rules.answer_late());
        over && self.answered.is_none() && !self.excused
    }
}

#[cfg(test)]
mod tests;
