//! The actual history of processes: the times at which each process started, left the cluster or
//! crashed. The views of balancers are checked against it. A view taken on a virtual clock refers
//! to one moment; a view of a real process refers to an unknown moment within a span.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::Micros;

/// The status of a process according to a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimedStatus {
    /// The process may be serving.
    MayServe,
    /// The process has provably stopped.
    ProvenStopped,
}

/// The entry of one process in a view.
#[derive(Clone, Debug)]
pub struct ViewEntry<Id> {
    /// Incarnation of the process.
    pub incarnation: Id,
    /// Status of the process according to the view.
    pub claimed: ClaimedStatus,
}

/// The actual history of one process.
#[derive(Clone, Debug)]
struct Process<Id> {
    member: usize,
    incarnation: Id,
    from: Micros,
    /// Time at which the process stopped serving, whatever the reason; `None` while it runs.
    to: Option<Micros>,
    /// Whether the process announced that it leaves the cluster.
    has_left: bool,
    /// The members that have detected the crash of the process.
    detected_by: BTreeSet<usize>,
}

impl<Id> Process<Id> {
    fn is_running(&self) -> bool {
        self.to.is_none()
    }

    fn is_running_throughout(&self, span: &RangeInclusive<Micros>) -> bool {
        self.from <= *span.start() && self.to.is_none_or(|to| to > *span.end())
    }
}

/// The latest process of a member.
#[derive(Clone, Debug)]
pub struct LatestProcess<'a, Id> {
    /// The member.
    pub member: usize,
    /// Incarnation of the process.
    pub incarnation: &'a Id,
    /// Whether the process runs.
    pub is_running: bool,
    /// Whether the process announced that it leaves the cluster.
    pub has_left: bool,
}

/// All processes that have started, and the members whose views have contained each of them.
#[derive(Clone, Debug)]
pub struct ProcessHistory<Id> {
    processes: Vec<Process<Id>>,
    /// Index of the latest process of each member.
    latest: Vec<Option<usize>>,
    /// For each member, the indices of the processes that a view of its latest process has
    /// contained.
    known_by: Vec<BTreeSet<usize>>,
}

impl<Id: PartialEq + Clone> ProcessHistory<Id> {
    /// Creates a history of `members` members without processes.
    pub fn new(members: usize) -> Self {
        Self {
            processes: Vec::new(),
            latest: vec![None; members],
            known_by: vec![BTreeSet::new(); members],
        }
    }

    /// Records that a process of a member starts to serve. Its view contains no other processes.
    pub fn process_started(&mut self, now: Micros, member: usize, incarnation: Id) {
        self.latest[member] = Some(self.processes.len());
        self.known_by[member].clear();
        self.processes.push(Process {
            member,
            incarnation,
            from: now,
            to: None,
            has_left: false,
            detected_by: BTreeSet::new(),
        });
    }

    /// Records that the latest process of a member stopped serving, because it was killed or left
    /// the cluster.
    pub fn process_stopped(&mut self, now: Micros, member: usize, has_left: bool) {
        let latest = self.latest[member].map(|index| &mut self.processes[index]);
        if let Some(process) = latest.filter(|process| process.is_running()) {
            process.to = Some(now);
            process.has_left = has_left;
        }
    }

    /// Records that a member considers a process dead. Returns the time at which the process
    /// crashed, or `None` if it runs, if it left the cluster, or if the member has already detected
    /// the crash.
    pub fn death_detected(&mut self, member: usize, incarnation: &Id) -> Option<Micros> {
        let process = self
            .processes
            .iter_mut()
            .find(|process| process.incarnation == *incarnation)?;
        let crashed_at = process.to.filter(|_| !process.has_left)?;
        process.detected_by.insert(member).then_some(crashed_at)
    }

    /// Returns the member to which a process belongs.
    pub fn member_of(&self, incarnation: &Id) -> Option<usize> {
        self.processes
            .iter()
            .find(|process| process.incarnation == *incarnation)
            .map(|process| process.member)
    }

    /// Whether a process is serving.
    pub fn is_running(&self, incarnation: &Id) -> bool {
        self.processes
            .iter()
            .any(|process| process.incarnation == *incarnation && process.is_running())
    }

    /// Returns the latest process of each member that has started one.
    pub fn latest_processes(&self) -> impl Iterator<Item = LatestProcess<'_, Id>> {
        self.latest.iter().flatten().map(|index| {
            let process = &self.processes[*index];
            LatestProcess {
                member: process.member,
                incarnation: &process.incarnation,
                is_running: process.is_running(),
                has_left: process.has_left,
            }
        })
    }

    /// Checks a view that a member had at some moment of a span. Processes that served throughout
    /// the span and that were in this or an earlier view of the member are expected in the view.
    /// Returns an error for each such process that is missing or claimed to have stopped, and one
    /// if there are more of them than `counted`, the number of processes that may serve according
    /// to the view.
    pub fn check_view(
        &mut self,
        member: usize,
        span: RangeInclusive<Micros>,
        view: &[ViewEntry<Id>],
        counted: usize,
    ) -> Vec<String> {
        let mut errors = Vec::new();
        let mut serving = 0;
        let others = self
            .processes
            .iter()
            .enumerate()
            .filter(|(_, process)| process.member != member);
        for (index, process) in others {
            let entry = view
                .iter()
                .find(|entry| entry.incarnation == process.incarnation);
            if entry.is_some() {
                self.known_by[member].insert(index);
            }
            if !process.is_running_throughout(&span) || !self.known_by[member].contains(&index) {
                continue;
            }
            serving += 1;
            let other = process.member;
            match entry.map(|entry| entry.claimed) {
                Some(ClaimedStatus::MayServe) => {}
                Some(ClaimedStatus::ProvenStopped) => errors.push(format!(
                    "b{member} considers b{other} proven stopped although it is serving"
                )),
                None => errors.push(format!(
                    "b{member} removed b{other} from its view although it is serving"
                )),
            }
        }
        if counted < serving {
            errors.push(format!(
                "b{member} counts {counted} members that may serve but {serving} known ones serve"
            ));
        }
        errors
    }
}

#[cfg(test)]
mod tests;
