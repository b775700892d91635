//! Checks the views of all members against the actual history of their processes, at regular
//! intervals and at the end of a run.

use std::collections::BTreeSet;

use pinefront_cluster::membership::events::MembershipEvent;
use pinefront_cluster::membership::member::ServingStatus;
use pinefront_cluster::messages::{MemberRecord, MemberState};
use pinefront_cluster::{Cluster, Incarnation};
use pinefront_model::process_history::{ClaimedStatus, ProcessHistory, ViewEntry};
use pinefront_model::{Micros, SECOND};

use super::fault_plan::{FaultPlan, PlanKind};
use super::process::{Process, member_name};

/// Number of leading bytes that identify a datagram: its keyed hash.
const DATAGRAM_ID_BYTES: usize = 32;

/// A version of a member: the incarnation of its process, and its refutation counter.
type MemberVersion = (Incarnation, u64);

fn member_version(record: &MemberRecord) -> MemberVersion {
    (record.incarnation, record.refutation_counter)
}

/// The checker of one run.
pub struct Checker {
    /// Descriptions of the violations, each with its time in seconds.
    pub violations: Vec<String>,
    /// Times from the crash of a process until each other member detected it, in milliseconds.
    pub detection_times_ms: Vec<f64>,
    /// Time from the end of the last fault until all views agreed, in milliseconds; `None` if the
    /// views differed at the last check.
    pub views_agree_after_ms: Option<f64>,
    /// Number of versions of members that were suspected while their process ran and was not
    /// paused.
    pub wrong_suspicions: u64,
    kind: PlanKind,
    last_fault_end: Micros,
    process_history: ProcessHistory<Incarnation>,
    /// Versions of members that at least one member suspected.
    suspected: BTreeSet<MemberVersion>,
    /// Versions of members that at least one member declared dead.
    declared_dead: BTreeSet<MemberVersion>,
    /// Refutation counter that each process had at the last check.
    refutation_counters: Vec<u64>,
    /// Keyed hashes of the distinct datagrams that arrived at each process.
    arrived_datagrams: Vec<BTreeSet<Vec<u8>>>,
    /// Time since which all views have agreed after the end of the last fault.
    agreed_since: Option<Micros>,
}

impl Checker {
    /// Creates the checker of a run with that number of members.
    pub fn new(members: usize, plan: &FaultPlan) -> Self {
        Self {
            violations: Vec::new(),
            detection_times_ms: Vec::new(),
            views_agree_after_ms: None,
            wrong_suspicions: 0,
            kind: plan.kind,
            last_fault_end: plan.last_fault_end(),
            process_history: ProcessHistory::new(members),
            suspected: BTreeSet::new(),
            declared_dead: BTreeSet::new(),
            refutation_counters: vec![0; members],
            arrived_datagrams: vec![BTreeSet::new(); members],
            agreed_since: None,
        }
    }

    fn add_violation(&mut self, now: Micros, description: &str) {
        let seconds = now as f64 / SECOND as f64;
        self.violations
            .push(format!("{seconds:.3} s: {description}"));
    }

    /// Records that a process of a member started.
    pub fn record_start(&mut self, now: Micros, member: usize, incarnation: Option<Incarnation>) {
        if let Some(incarnation) = incarnation {
            self.process_history
                .process_started(now, member, incarnation);
        }
        self.arrived_datagrams[member].clear();
        self.refutation_counters[member] = 0;
    }

    /// Records that the process of a member was killed.
    pub fn record_kill(&mut self, now: Micros, member: usize) {
        self.process_history.process_stopped(now, member, false);
    }

    /// Records that the process of a member left the cluster and stopped.
    pub fn record_leave(&mut self, now: Micros, member: usize) {
        self.process_history.process_stopped(now, member, true);
    }

    /// Records that a datagram arrived at a process.
    pub fn record_arrival(&mut self, member: usize, bytes: &[u8]) {
        let id = &bytes[..bytes.len().min(DATAGRAM_ID_BYTES)];
        self.arrived_datagrams[member].insert(id.to_vec());
    }

    /// Checks the membership events of a member. `has_resumed` is set for the events that follow
    /// directly on a pause of its process.
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
            let Some(entry) = cluster.table.member(other) else {
                continue;
            };
            match event {
                MembershipEvent::Suspected(_) => {
                    self.check_suspicion(now, member, &entry.record, processes);
                }
                _ => self.check_death(now, member, &entry.record, has_resumed),
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
        let is_new = self.suspected.insert(member_version(record));
        let is_paused = self
            .process_history
            .member_of(&record.incarnation)
            .is_some_and(|owner| processes[owner].is_paused);
        if is_new && self.process_history.is_running(&record.incarnation) && !is_paused {
            self.wrong_suspicions += 1;
            if self.kind == PlanKind::Pair {
                let other = &record.name;
                let text = format!(
                    "b{member} suspects {other}, although all other members reach it and report so"
                );
                self.add_violation(now, &text);
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
        let crashed_at = self
            .process_history
            .death_detected(member, &record.incarnation);
        if let Some(crashed_at) = crashed_at {
            self.detection_times_ms
                .push((now - crashed_at) as f64 / 1_000.0);
            return;
        }
        // The declaration of death and its refutation may have arrived together.
        if record.state != MemberState::Dead {
            return;
        }
        // A process that resumes may repeat a declaration of death that another member made before,
        // but must not be the first to declare a running process dead.
        let is_first = self.declared_dead.insert(member_version(record));
        let is_running = self.process_history.is_running(&record.incarnation);
        if is_first && is_running && has_resumed && self.kind == PlanKind::Pause {
            let other = &record.name;
            self.add_violation(
                now,
                &format!("b{member} declares {other} dead on resuming, although {other} runs"),
            );
        }
    }

    /// Checks the views of all members at time `now`.
    pub fn check_views(&mut self, now: Micros, processes: &[Process]) {
        for (member, process) in processes.iter().enumerate() {
            let Some(cluster) = process.cluster.as_ref() else {
                continue;
            };
            self.check_counters(now, member, cluster);
            if let Some(violation) = self.find_wrong_entry(now, member, cluster) {
                return self.add_violation(now, &violation);
            }
        }
        let is_agreed = now >= self.last_fault_end && self.find_disagreement(processes).is_none();
        self.agreed_since = if is_agreed {
            self.agreed_since.or(Some(now))
        } else {
            None
        };
    }

    fn check_counters(&mut self, now: Micros, member: usize, cluster: &Cluster) {
        let own = cluster.table.own_record.refutation_counter;
        let previous = self.refutation_counters[member];
        if own < previous {
            let text =
                format!("the refutation counter of b{member} decreased from {previous} to {own}");
            self.add_violation(now, &text);
        }
        self.refutation_counters[member] = own;
        let accepted = cluster.traffic().accepted;
        let distinct = self.arrived_datagrams[member].len() as u64;
        if accepted > distinct {
            let text = format!(
                "b{member} accepted a datagram twice: {accepted} accepted, {distinct} distinct ones"
            );
            self.add_violation(now, &text);
        }
    }

    /// Returns a violation in the view of a member, if there is one.
    fn find_wrong_entry(
        &mut self,
        now: Micros,
        member: usize,
        cluster: &Cluster,
    ) -> Option<String> {
        for other in &cluster.table.members {
            let record = &other.record;
            if record.state == MemberState::Dead
                && !self.suspected.contains(&member_version(record))
            {
                let name = &record.name;
                return Some(format!(
                    "b{member} considers {name} dead, although no member suspected it"
                ));
            }
        }
        let counted = cluster.table.count_possibly_serving();
        let errors = self
            .process_history
            .check_view(member, now..=now, &view_of(cluster), counted);
        errors.into_iter().next()
    }

    /// Returns a difference between a view and the actual history, if there is one.
    fn find_disagreement(&self, processes: &[Process]) -> Option<String> {
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
                    .filter(|entry| entry.record.incarnation == *other.incarnation)
                    .map(|entry| entry.record.state);
                let is_wrong = match state {
                    Some(MemberState::Alive) => !other.is_running,
                    Some(MemberState::Left) => !other.has_left,
                    Some(MemberState::Dead) => {
                        other.is_running || (other.has_left && self.kind == PlanKind::Leave)
                    }
                    Some(MemberState::Suspected) => true,
                    // A process that crashed before a view contained it may remain absent.
                    None => other.is_running,
                };
                if is_wrong {
                    let view = state.map_or("unknown", state_name);
                    let actual = if other.is_running {
                        "runs"
                    } else if other.has_left {
                        "left the cluster"
                    } else {
                        "was killed"
                    };
                    return Some(format!(
                        "b{member} considers b{} {view}, but its process {actual}",
                        other.member
                    ));
                }
            }
        }
        None
    }

    /// Checks at the end of the run that all views agree with the actual history.
    pub fn finish(&mut self, now: Micros, processes: &[Process]) {
        if !self.violations.is_empty() {
            return;
        }
        if let Some(difference) = self.find_disagreement(processes) {
            self.add_violation(
                now,
                &format!("the views still differ after the end of all faults: {difference}"),
            );
        }
        self.views_agree_after_ms = self
            .agreed_since
            .map(|since| (since - self.last_fault_end) as f64 / 1_000.0);
    }
}

/// Returns the name of a member's state for a violation.
fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

/// The entries of a member's view: all processes of the other members, earlier ones included.
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
