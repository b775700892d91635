//! Keeps the truth (who ran, who left, who died) beside what each process holds of the others, and says where a promise
//! was broken: at each moment, not only at the end.

use std::collections::BTreeSet;

use pinefront_cluster::membership::events::MembershipEvent;
use pinefront_cluster::membership::member::ServingStatus;
use pinefront_cluster::messages::MemberState;
use pinefront_cluster::{Cluster, Incarnation};
use pinefront_model::process_history::{ClaimedStatus, ProcessHistory, ViewEntry};
use pinefront_model::{Micros, SECOND};

use super::scenario::{Kind, Scenario};
use super::simulation::{Process, name};

pub struct Judge {
    pub broken: Vec<String>,
    pub detected_ms: Vec<f64>,
    pub one_view_ms: Option<f64>,
    pub wrong_doubts: u64,
    kind: Kind,
    /// When the last fault is over.
    over: Micros,
    process_history: ProcessHistory<Incarnation>,
    /// Incarnations that somebody doubted.
    doubted: BTreeSet<(Incarnation, u64)>,
    /// Incarnations that somebody called gone.
    gone: BTreeSet<(Incarnation, u64)>,
    /// The last own incarnation of each process.
    refutation_counters: Vec<u64>,
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
            process_history: ProcessHistory::new(members),
            doubted: BTreeSet::new(),
            gone: BTreeSet::new(),
            refutation_counters: vec![0; members],
            came: vec![BTreeSet::new(); members],
            agreed_since: None,
        }
    }

    fn breaks(&mut self, now: Micros, what: String) {
        self.broken
            .push(format!("{:.3} s: {what}", now as f64 / SECOND as f64));
    }

    pub fn starts(&mut self, now: Micros, member: usize, incarnation: Option<Incarnation>) {
        if let Some(incarnation) = incarnation {
            self.process_history.starts(now, member, incarnation);
        }
        self.came[member].clear();
        self.refutation_counters[member] = 0;
    }

    pub fn dies(&mut self, now: Micros, member: usize) {
        self.process_history.ends(now, member, false);
    }

    pub fn leaves(&mut self, now: Micros, member: usize) {
        self.process_history.ends(now, member, true);
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
        events: &[MembershipEvent],
        woke: bool,
        processes: &[Process],
    ) {
        let Some(cluster) = processes[member].cluster.as_ref() else {
            return;
        };
        for event in events {
            match event {
                MembershipEvent::Suspected(other) => {
                    let Some(known) = cluster.table.named(other) else {
                        continue;
                    };
                    let (incarnation, refutation_counter) =
                        (known.record.incarnation, known.record.refutation_counter);
                    let new = self.doubted.insert((incarnation, refutation_counter));
                    let stopped = self
                        .process_history
                        .owner(&incarnation)
                        .is_some_and(|owner| processes[owner].stopped);
                    if new && self.process_history.serves(&incarnation) && !stopped {
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
                MembershipEvent::Dead(other) => {
                    let Some(known) = cluster.table.named(other) else {
                        continue;
                    };
                    let (incarnation, refutation_counter) =
                        (known.record.incarnation, known.record.refutation_counter);
                    if let Some(died) = self.process_history.notices(member, &incarnation) {
                        self.detected_ms.push((now - died) as f64 / 1_000.0);
                        continue;
                    }
                    // It may have heard both of the doubt and of its end.
                    if known.record.state != MemberState::Dead {
                        continue;
                    }
                    // What others said before is theirs; a process that wakes has nothing of its own to say.
                    let first = self.gone.insert((incarnation, refutation_counter));
                    if first
                        && self.process_history.serves(&incarnation)
                        && woke
                        && self.kind == Kind::Sleep
                    {
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
            let Some(cluster) = process.cluster.as_ref() else {
                continue;
            };
            let own = cluster.table.own.refutation_counter;
            if own < self.refutation_counters[member] {
                self.breaks(now, format!("the incarnation of b{member} fell"));
            }
            self.refutation_counters[member] = own;
            if cluster.traffic().accepted > self.came[member].len() as u64 {
                self.breaks(now, format!("b{member} took a datagram twice"));
            }
            for other in &cluster.table.members {
                let record = &other.record;
                if record.state == MemberState::Dead
                    && !self
                        .doubted
                        .contains(&(record.incarnation, record.refutation_counter))
                {
                    let what = format!(
                        "b{member} holds {} for gone, which nobody doubted",
                        record.name
                    );
                    return self.breaks(now, what);
                }
            }
            let wrong = self.process_history.view(
                member,
                [now, now],
                &held(cluster),
                cluster.table.count_may_serve(),
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
            let Some(cluster) = process.cluster.as_ref().filter(|_| !process.stopped) else {
                continue;
            };
            for (other, incarnation, serving, left) in self.process_history.latest() {
                if other == member {
                    continue;
                }
                let known = cluster.table.named(&name(other));
                let state = known
                    .filter(|known| known.record.incarnation == *incarnation)
                    .map(|known| known.record.state);
                let wrong = match state {
                    Some(MemberState::Alive) => !serving,
                    Some(MemberState::Left) => !left,
                    Some(MemberState::Dead) => serving || (left && self.kind == Kind::Leave),
                    Some(MemberState::Suspected) => true,
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
fn held(cluster: &Cluster) -> Vec<ViewEntry<Incarnation>> {
    let table = &cluster.table;
    let incarnations = table.members.iter().flat_map(|member| {
        let earlier = member.earlier.iter().map(|earlier| earlier.incarnation);
        [member.record.incarnation]
            .into_iter()
            .chain(earlier)
            .map(|incarnation| (&member.record.name, incarnation))
    });
    let claimed = |serving_status| match serving_status {
        ServingStatus::MayServe(_) => ClaimedStatus::MayServe,
        ServingStatus::ProvenStopped(_) => ClaimedStatus::ProvenStopped,
    };
    incarnations
        .filter_map(|(name, incarnation)| {
            Some(ViewEntry {
                incarnation,
                claimed: claimed(table.serving_status(name, incarnation)?),
            })
        })
        .collect()
}
