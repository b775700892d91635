//! Keeps the truth (who ran, who left, who died) beside what each process holds of the others, and says where a promise
//! was broken: at each moment, not only at the end.

use std::collections::BTreeSet;

use pinefront_cluster::Accord;
use pinefront_cluster::envelope::Life;
use pinefront_cluster::frames::State;
use pinefront_cluster::membership::table::{Event, Standing};
use pinefront_model::presence::{Held, Presence, Said};
use pinefront_model::{Micros, SECOND};

use super::clockwork::{Process, name};
use super::scenario::{Kind, Scenario};

pub struct Judge {
    pub broken: Vec<String>,
    pub detected_ms: Vec<f64>,
    pub one_view_ms: Option<f64>,
    pub wrong_doubts: u64,
    kind: Kind,
    /// When the last fault is over.
    over: Micros,
    presence: Presence<Life>,
    /// Incarnations that somebody doubted.
    doubted: BTreeSet<(Life, u64)>,
    /// Incarnations that somebody called gone.
    gone: BTreeSet<(Life, u64)>,
    /// The last own incarnation of each process.
    incarnation: Vec<u64>,
    /// Different datagrams that came to each process.
    came: Vec<BTreeSet<Vec<u8>>>,
    agreed_since: Option<Micros>,
}

impl Judge {
    pub fn new(members: usize, scenario: &Scenario) -> Self {
        let last = scenario.deeds.last().map_or(0, |(at, _)| *at);
        Self {
            broken: Vec::new(),
            detected_ms: Vec::new(),
            one_view_ms: None,
            wrong_doubts: 0,
            kind: scenario.kind,
            over: last.max(scenario.ways.last_fault_end()),
            presence: Presence::new(members),
            doubted: BTreeSet::new(),
            gone: BTreeSet::new(),
            incarnation: vec![0; members],
            came: vec![BTreeSet::new(); members],
            agreed_since: None,
        }
    }

    fn breaks(&mut self, now: Micros, what: String) {
        self.broken
            .push(format!("{:.3} s: {what}", now as f64 / SECOND as f64));
    }

    pub fn starts(&mut self, now: Micros, member: usize, life: Option<Life>) {
        if let Some(life) = life {
            self.presence.starts(now, member, life);
        }
        self.came[member].clear();
        self.incarnation[member] = 0;
    }

    pub fn dies(&mut self, now: Micros, member: usize) {
        self.presence.ends(now, member, false);
    }

    pub fn leaves(&mut self, now: Micros, member: usize) {
        self.presence.ends(now, member, true);
    }

    /// A datagram reaches a process.
    pub fn comes(&mut self, member: usize, bytes: &[u8]) {
        self.came[member].insert(bytes[..bytes.len().min(32)].to_vec());
    }

    /// What a process said of others.
    pub fn told(
        &mut self,
        now: Micros,
        member: usize,
        events: &[Event],
        woke: bool,
        processes: &[Process],
    ) {
        let Some(accord) = processes[member].accord.as_ref() else {
            return;
        };
        for event in events {
            match event {
                Event::Doubted(other) => {
                    let Some(known) = accord.table.named(other) else {
                        continue;
                    };
                    let (life, incarnation) = (known.record.life, known.record.incarnation);
                    let new = self.doubted.insert((life, incarnation));
                    let stopped = self
                        .presence
                        .owner(&life)
                        .is_some_and(|owner| processes[owner].stopped);
                    if new && self.presence.serves(&life) && !stopped {
                        self.wrong_doubts += 1;
                        if self.kind == Kind::Pair {
                            self.breaks(
                                now,
                                format!(
                                    "b{member} doubts {other}, which all others reach and say so"
                                ),
                            );
                        }
                    }
                }
                Event::Gone(other) => {
                    let Some(known) = accord.table.named(other) else {
                        continue;
                    };
                    let (life, incarnation) = (known.record.life, known.record.incarnation);
                    if let Some(died) = self.presence.notices(member, &life) {
                        self.detected_ms.push((now - died) as f64 / 1_000.0);
                        continue;
                    }
                    // It may have heard both of the doubt and of its end.
                    if known.record.state != State::Gone {
                        continue;
                    }
                    // What others said before is theirs; a process that wakes has nothing of its own to say.
                    let first = self.gone.insert((life, incarnation));
                    if first && self.presence.serves(&life) && woke && self.kind == Kind::Sleep {
                        self.breaks(now, format!("b{member} calls {other} gone as it wakes"));
                    }
                }
                _ => {}
            }
        }
    }

    /// All views against the truth, at one moment.
    pub fn look(&mut self, now: Micros, processes: &[Process]) {
        for (member, process) in processes.iter().enumerate() {
            let Some(accord) = process.accord.as_ref() else {
                continue;
            };
            let own = accord.table.own.incarnation;
            if own < self.incarnation[member] {
                self.breaks(now, format!("the incarnation of b{member} fell"));
            }
            self.incarnation[member] = own;
            if accord.tally().taken > self.came[member].len() as u64 {
                self.breaks(now, format!("b{member} took a datagram twice"));
            }
            for other in &accord.table.members {
                let record = &other.record;
                if record.state == State::Gone
                    && !self.doubted.contains(&(record.life, record.incarnation))
                {
                    let what = format!(
                        "b{member} holds {} for gone, which nobody doubted",
                        record.name
                    );
                    return self.breaks(now, what);
                }
            }
            let wrong = self.presence.view(
                member,
                [now, now],
                &held(accord),
                accord.table.may_be_serving(),
            );
            if let Some(wrong) = wrong.into_iter().next() {
                return self.breaks(now, wrong);
            }
        }
        let agrees = now >= self.over && self.apart(processes).is_none();
        match (agrees, self.agreed_since) {
            (true, None) => self.agreed_since = Some(now),
            (false, _) => self.agreed_since = None,
            _ => {}
        }
    }

    /// Where a view differs from the truth.
    fn apart(&self, processes: &[Process]) -> Option<String> {
        for (member, process) in processes.iter().enumerate() {
            let Some(accord) = process.accord.as_ref().filter(|_| !process.stopped) else {
                continue;
            };
            for (other, life, serving, left) in self.presence.latest() {
                if other == member {
                    continue;
                }
                let known = accord.table.named(&name(other));
                let state = known
                    .filter(|known| known.record.life == *life)
                    .map(|known| known.record.state);
                let wrong = match state {
                    Some(State::Present) => !serving,
                    Some(State::Left) => !left,
                    Some(State::Gone) => serving || (left && self.kind == Kind::Leave),
                    Some(State::Doubted) => true,
                    // Of who died before it was known nobody need know.
                    None => serving,
                };
                if wrong {
                    return Some(format!("b{member} holds b{other} for {state:?}"));
                }
            }
        }
        None
    }

    /// At the end all views have to agree with the truth.
    pub fn ends(&mut self, now: Micros, processes: &[Process]) {
        if !self.broken.is_empty() {
            return;
        }
        if let Some(apart) = self.apart(processes) {
            self.breaks(
                now,
                format!("no one view after all faults were over: {apart}"),
            );
        }
        self.one_view_ms = self
            .agreed_since
            .map(|since| (since - self.over) as f64 / 1_000.0);
    }
}

/// All that one says of the processes of others, earlier ones with them.
fn held(accord: &Accord) -> Vec<Held<Life>> {
    let table = &accord.table;
    let lives = table.members.iter().flat_map(|member| {
        let earlier = member.earlier.iter().map(|earlier| earlier.life);
        [member.record.life]
            .into_iter()
            .chain(earlier)
            .map(|life| (&member.record.name, life))
    });
    let said = |standing| match standing {
        Standing::MayServe(_) => Said::MayServe,
        Standing::ProvenGone(_) => Said::ProvenGone,
    };
    lives
        .filter_map(|(name, life)| {
            Some(Held {
                life,
                said: said(table.standing(name, life)?),
            })
        })
        .collect()
}
