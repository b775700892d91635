//! Checks the views of all members against the true history of their processes, at every moment and
//! at the end.

use std::collections::BTreeSet;

use pinefront_cluster::membership::events::MembershipEvent;
use pinefront_cluster::membership::member::ServingStatus;
use pinefront_cluster::messages::{MemberRecord, MemberState};
use pinefront_cluster::{Cluster, Incarnation};
use pinefront_model::process_history::{ClaimedStatus, ProcessHistory, ViewEntry};
use pinefront_model::{Micros, SECOND};

use super::fault_plan::{FaultPlan, PlanKind};
use super::process::{Process, member_name};

/// Bytes by which datagrams are told apart: their keyed hash.
const DATAGRAM_ID_BYTES: usize = 32;

/// The version of a member: its process and refutation counter.
type MemberVersion = (Incarnation, u64);

fn version(record: &MemberRecord) -> MemberVersion {
    (record.incarnation, record.refutation_counter)
}

/// The checker of one run.
pub struct Checker {
    /// The rules that were broken, with the time.
    pub violations: Vec<String>,
    /// From each death to each member's noticing it, in milliseconds.
    pub detected_ms: Vec<f64>,
    /// From the last fault's end until all views agreed.
    pub views_agree_after_ms: Option<f64>,
    /// Suspicions of members that ran and were not paused.
    pub wrong_suspicions: u64,
    kind: PlanKind,
    last_fault_end: Micros,
    process_history: ProcessHistory<Incarnation>,
    /// Versions of members that some member suspected.
    suspected: BTreeSet<MemberVersion>,
    /// Versions of members that some member declared dead.
    declared_dead: BTreeSet<MemberVersion>,
    /// The last own refutation counter of each process.
    refutation_counters: Vec<u64>,
    /// The distinct datagrams that arrived at each process.
    arrived: Vec<BTreeSet<Vec<u8>>>,
    agreed_since: Option<Micros>,
}

impl Checker {
    /// Creates the checker of a run.
    pub fn new(members: usize, plan: &FaultPlan) -> Self {
        Self {
            violations: Vec::new(),
            detected_ms: Vec::new(),
            views_agree_after_ms: None,
            wrong_suspicions: 0,
            kind: plan.kind,
            last_fault_end: plan.last_fault_end(),
            process_history: ProcessHistory::new(members),
            suspected: BTreeSet::new(),
            declared_dead: BTreeSet::new(),
            refutation_counters: vec![0; members],
            arrived: vec![BTreeSet::new(); members],
            agreed_since: None,
        }
    }

    fn violation(&mut self, now: Micros, what: &str) {
        let seconds = now as f64 / SECOND as f64;
        self.violations.push(format!("{seconds:.3} s: {what}"));
    }

    /// Records that a process of a member started.
    pub fn started(&mut self, now: Micros, member: usize, incarnation: Option<Incarnation>) {
        if let Some(incarnation) = incarnation {
            self.process_history
                .process_started(now, member, incarnation);
        }
        self.arrived[member].clear();
        self.refutation_counters[member] = 0;
    }

    /// Records that the process of a member was killed.
    pub fn killed(&mut self, now: Micros, member: usize) {
        self.process_history.process_stopped(now, member, false);
    }

    /// Records that the process of a member left in order.
    pub fn left(&mut self, now: Micros, member: usize) {
        self.process_history.process_stopped(now, member, true);
    }

    /// Records that a datagram arrived at a process.
    pub fn datagram_arrived(&mut self, member: usize, bytes: &[u8]) {
        let id = &bytes[..bytes.len().min(DATAGRAM_ID_BYTES)];
        self.arrived[member].insert(id.to_vec());
    }

    /// Checks the events of a member. `has_resumed` is set for those right after a pause of its
    /// process.
    pub fn check_events(
        &mut self,
        now: Micros,
        member: usize,
        events: &[MembershipEvent],
        has_resumed: bool,
        processes: &[Process],
    ) {
        let Some(cluster) = processes[member].cluster.as_ref() else {
            return;
        };
        for event in events {
            let (MembershipEvent::Suspected(other) | MembershipEvent::Dead(other)) = event else {
                continue;
            };
            let Some(known) = cluster.table.member(other) else {
                continue;
            };
            match event {
                MembershipEvent::Suspected(_) => {
                    self.check_suspicion(now, member, &known.record, processes);
                }
                _ => self.check_death(now, member, &known.record, has_resumed),
            }
        }
    }

    fn check_suspicion(
        &mut self,
        now: Micros,
        member: usize,
        record: &MemberRecord,
        processes: &[Process],
    ) {
        let is_new = self.suspected.insert(version(record));
        let is_paused = self
            .process_history
            .member_of(&record.incarnation)
            .is_some_and(|owner| processes[owner].is_paused);
        if is_new && self.process_history.is_running(&record.incarnation) && !is_paused {
            self.wrong_suspicions += 1;
            if self.kind == PlanKind::Pair {
                let other = &record.name;
                self.violation(
                    now,
                    &format!("b{member} doubts {other}, which all others reach and say so"),
                );
            }
        }
    }

    fn check_death(
        &mut self,
        now: Micros,
        member: usize,
        record: &MemberRecord,
        has_resumed: bool,
    ) {
        let died_at = self
            .process_history
            .death_detected(member, &record.incarnation);
        if let Some(died_at) = died_at {
            self.detected_ms.push((now - died_at) as f64 / 1_000.0);
            return;
        }
        // The death and its refutation may have arrived together.
        if record.state != MemberState::Dead {
            return;
        }
        // What others declared before is theirs; a process that resumes must not declare anybody
        // dead by itself.
        let is_first = self.declared_dead.insert(version(record));
        let runs = self.process_history.is_running(&record.incarnation);
        if is_first && runs && has_resumed && self.kind == PlanKind::Pause {
            let other = &record.name;
            self.violation(now, &format!("b{member} calls {other} gone as it wakes"));
        }
    }

    /// Checks all views at one moment.
    pub fn check_views(&mut self, now: Micros, processes: &[Process]) {
        for (member, process) in processes.iter().enumerate() {
            let Some(cluster) = process.cluster.as_ref() else {
                continue;
            };
            self.check_counters(now, member, cluster);
            if let Some(what) = self.wrong_view(now, member, cluster) {
                return self.violation(now, &what);
            }
        }
        let agrees = now >= self.last_fault_end && self.disagreement(processes).is_none();
        self.agreed_since = if agrees {
            self.agreed_since.or(Some(now))
        } else {
            None
        };
    }

    fn check_counters(&mut self, now: Micros, member: usize, cluster: &Cluster) {
        let own = cluster.table.own_record.refutation_counter;
        if own < self.refutation_counters[member] {
            self.violation(now, &format!("the refutation counter of b{member} fell"));
        }
        self.refutation_counters[member] = own;
        if cluster.traffic().accepted > self.arrived[member].len() as u64 {
            self.violation(now, &format!("b{member} took a datagram twice"));
        }
    }

    fn wrong_view(&mut self, now: Micros, member: usize, cluster: &Cluster) -> Option<String> {
        for other in &cluster.table.members {
            let record = &other.record;
            if record.state == MemberState::Dead && !self.suspected.contains(&version(record)) {
                let name = &record.name;
                return Some(format!(
                    "b{member} holds {name} for gone, which nobody doubted"
                ));
            }
        }
        let counted = cluster.table.count_possibly_serving();
        let errors = self
            .process_history
            .check_view(member, now..=now, &view_of(cluster), counted);
        errors.into_iter().next()
    }

    /// Where a view differs from the truth.
    fn disagreement(&self, processes: &[Process]) -> Option<String> {
        for (member, process) in processes.iter().enumerate() {
            let Some(cluster) = process.cluster.as_ref().filter(|_| !process.is_paused) else {
                continue;
            };
            for other in self.process_history.latest_processes() {
                if other.member == member {
                    continue;
                }
                let state = cluster
                    .table
                    .member(&member_name(other.member))
                    .filter(|known| known.record.incarnation == *other.incarnation)
                    .map(|known| known.record.state);
                let is_wrong = match state {
                    Some(MemberState::Alive) => !other.is_running,
                    Some(MemberState::Left) => !other.has_left,
                    Some(MemberState::Dead) => {
                        other.is_running || (other.has_left && self.kind == PlanKind::Leave)
                    }
                    Some(MemberState::Suspected) => true,
                    // A process that died before it was known need not be known.
                    None => other.is_running,
                };
                if is_wrong {
                    return Some(format!("b{member} holds b{} for {state:?}", other.member));
                }
            }
        }
        None
    }

    /// Checks at the end that all views agree with the truth.
    pub fn finish(&mut self, now: Micros, processes: &[Process]) {
        if !self.violations.is_empty() {
            return;
        }
        if let Some(what) = self.disagreement(processes) {
            self.violation(
                now,
                &format!("no one view after all faults were over: {what}"),
            );
        }
        self.views_agree_after_ms = self
            .agreed_since
            .map(|since| (since - self.last_fault_end) as f64 / 1_000.0);
    }
}

/// What a member holds of all processes of others, earlier ones included.
fn view_of(cluster: &Cluster) -> Vec<ViewEntry<Incarnation>> {
    let table = &cluster.table;
    let processes = table.members.iter().flat_map(|member| {
        let earlier = member
            .earlier_processes
            .iter()
            .map(|earlier| earlier.incarnation);
        [member.record.incarnation]
            .into_iter()
            .chain(earlier)
            .map(|incarnation| (&member.record.name, incarnation))
    });
    processes
        .filter_map(|(name, incarnation)| {
            let claimed = match table.serving_status(name, incarnation)? {
                ServingStatus::MayServe(_) => ClaimedStatus::MayServe,
                ServingStatus::ProvenStopped(_) => ClaimedStatus::ProvenStopped,
            };
            Some(ViewEntry {
                incarnation,
                claimed,
            })
        })
        .collect()
}
