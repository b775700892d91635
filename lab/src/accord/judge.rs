//! Keeps the truth (who ran, who left, who died) beside what each process holds of the others, and says where a promise
//! was broken: at each moment, not only at the end.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pinefront_accord::envelope::Life;
use pinefront_accord::frames::State;
use pinefront_accord::membership::table::{Event, Standing};
use pinefront_model::{Micros, SECOND};

use super::clockwork::{Process, name};
use super::scenario::{Kind, Scenario};

/// A process as it truly is.
struct Truth {
    member: usize,
    life: Life,
    address: SocketAddr,
    serving: bool,
    left: bool,
    died: Option<Micros>,
    /// Who holds it for gone since.
    noticed: BTreeSet<usize>,
}

pub struct Judge {
    pub broken: Vec<String>,
    pub detected_ms: Vec<f64>,
    pub one_view_ms: Option<f64>,
    pub wrong_doubts: u64,
    kind: Kind,
    /// When the last fault is over.
    over: Micros,
    lives: Vec<Truth>,
    /// The latest process of each member, as a place in `lives`.
    latest: Vec<Option<usize>>,
    /// Incarnations that somebody doubted.
    doubted: BTreeSet<(Life, u64)>,
    /// Incarnations that somebody called gone.
    gone: BTreeSet<(Life, u64)>,
    /// The lives that each process has known, and its last own incarnation.
    knew: Vec<BTreeSet<Life>>,
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
            over: last.max(scenario.ways.over()),
            lives: Vec::new(),
            latest: vec![None; members],
            doubted: BTreeSet::new(),
            gone: BTreeSet::new(),
            knew: vec![BTreeSet::new(); members],
            incarnation: vec![0; members],
            came: vec![BTreeSet::new(); members],
            agreed_since: None,
        }
    }

    fn breaks(&mut self, now: Micros, what: String) {
        self.broken.push(format!("{:.3} s: {what}", now as f64 / SECOND as f64));
    }

    pub fn starts(&mut self, member: usize, life: Option<Life>, address: SocketAddr) {
        let Some(life) = life else { return };
        self.latest[member] = Some(self.lives.len());
        self.lives.push(Truth {
            member,
            life,
            address,
            serving: true,
            left: false,
            died: None,
            noticed: BTreeSet::new(),
        });
        self.knew[member].clear();
        self.came[member].clear();
        self.incarnation[member] = 0;
    }

    fn truth(&mut self, member: usize) -> Option<&mut Truth> {
        self.latest[member].map(|at| &mut self.lives[at])
    }

    pub fn dies(&mut self, now: Micros, member: usize) {
        if let Some(truth) = self.truth(member) {
            (truth.serving, truth.died) = (false, Some(now));
        }
    }

    pub fn leaves(&mut self, member: usize) {
        if let Some(truth) = self.truth(member) {
            (truth.serving, truth.left) = (false, true);
        }
    }

    /// A datagram reaches a process.
    pub fn comes(&mut self, member: usize, bytes: &[u8]) {
        self.came[member].insert(bytes[..bytes.len().min(32)].to_vec());
    }

    /// What a process said of others.
    pub fn told(&mut self, now: Micros, member: usize, events: &[Event], woke: bool, processes: &[Process]) {
        let Some(accord) = processes[member].accord.as_ref() else { return };
        for event in events {
            match event {
                Event::Doubted(other) => {
                    let Some(known) = accord.table.named(other) else { continue };
                    let (life, incarnation) = (known.record.life, known.record.incarnation);
                    let new = self.doubted.insert((life, incarnation));
                    let runs = self.lives.iter().find(|truth| truth.life == life);
                    let stopped = runs.is_some_and(|truth| processes[truth.member].stopped);
                    if new && runs.is_some_and(|truth| truth.serving) && !stopped {
                        self.wrong_doubts += 1;
                        if self.kind == Kind::Pair {
                            self.breaks(
                                now,
                                format!("b{member} doubts {other}, which all others reach and say so"),
                            );
                        }
                    }
                }
                Event::Gone(other) => {
                    let Some(known) = accord.table.named(other) else { continue };
                    let truth = self.lives.iter_mut().find(|truth| truth.life == known.record.life);
                    let Some(truth) = truth else { continue };
                    if let Some(died) = truth.died.filter(|_| truth.noticed.insert(member)) {
                        self.detected_ms.push((now - died) as f64 / 1_000.0);
                        continue;
                    }
                    // It may have heard both of the doubt and of its end.
                    if known.record.state != State::Gone {
                        continue;
                    }
                    let incarnation = known.record.incarnation;
                    // What others said before is theirs; a process that wakes has nothing of its own to say.
                    let first = self.gone.insert((truth.life, incarnation));
                    if first && truth.serving && woke && self.kind == Kind::Sleep {
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
            let Some(accord) = process.accord.as_ref() else { continue };
            let own = accord.table.own.incarnation;
            if own < self.incarnation[member] {
                self.breaks(now, format!("the incarnation of b{member} fell"));
            }
            self.incarnation[member] = own;
            if accord.tally().taken > self.came[member].len() as u64 {
                self.breaks(now, format!("b{member} took a datagram twice"));
            }
            let mut serving = 0;
            for other in &accord.table.members {
                let record = &other.record;
                self.knew[member].insert(record.life);
                if record.state == State::Gone && !self.doubted.contains(&(record.life, record.incarnation)) {
                    let what = format!("b{member} holds {} for gone, which nobody doubted", record.name);
                    return self.breaks(now, what);
                }
            }
            let mut wrong = None;
            for truth in self.lives.iter().filter(|truth| truth.serving && truth.member != member) {
                if !self.knew[member].contains(&truth.life) {
                    continue;
                }
                serving += 1;
                match accord.table.standing(&name(truth.member), truth.life) {
                    Some(Standing::MayServe(_)) => {}
                    Some(Standing::ProvenGone(_)) => {
                        wrong = Some(format!(
                            "wrongly gone: b{member} takes b{} for proven gone, which serves at {}",
                            truth.member, truth.address
                        ));
                    }
                    None => wrong = Some(format!("b{member} forgot b{}, which serves", truth.member)),
                }
            }
            if let Some(wrong) = wrong {
                return self.breaks(now, wrong);
            }
            let counted = accord.table.may_be_serving();
            if counted < serving {
                let what = format!("b{member} counts {counted} that may serve, and knows {serving} that do");
                return self.breaks(now, what);
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
            let Some(accord) = process.accord.as_ref().filter(|_| !process.stopped) else { continue };
            for truth in self.latest.iter().flatten().map(|at| &self.lives[*at]) {
                if truth.member == member {
                    continue;
                }
                let known = accord.table.named(&name(truth.member));
                let state =
                    known.filter(|known| known.record.life == truth.life).map(|known| known.record.state);
                let wrong = match state {
                    Some(State::Present) => !truth.serving,
                    Some(State::Left) => !truth.left,
                    Some(State::Gone) => truth.serving || (truth.left && self.kind == Kind::Leave),
                    Some(State::Doubted) => true,
                    // Of who died before it was known nobody need know.
                    None => truth.serving,
                };
                if wrong {
                    return Some(format!("b{member} holds b{} for {state:?}", truth.member));
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
            self.breaks(now, format!("no one view after all faults were over: {apart}"));
        }
        self.one_view_ms = self.agreed_since.map(|since| (since - self.over) as f64 / 1_000.0);
    }
}
