//! The true history of processes, against which the views of balancers are checked: which process
//! ran, left or died when. A view on the virtual clock is of one moment; one of a real process was
//! true at some moment of a span.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::Micros;

/// What a view says of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimedStatus {
    /// It may serve.
    MayServe,
    /// It is proven to have stopped.
    ProvenStopped,
}

/// What a view says of one process.
#[derive(Clone, Debug)]
pub struct ViewEntry<Id> {
    /// The process.
    pub incarnation: Id,
    /// Its status.
    pub claimed: ClaimedStatus,
}

/// A process as it truly was.
#[derive(Clone, Debug)]
struct Process<Id> {
    member: usize,
    incarnation: Id,
    from: Micros,
    /// When it stopped serving for whatever reason.
    to: Option<Micros>,
    /// Whether it announced so.
    has_left: bool,
    /// The members that have noticed its death.
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
    /// The process.
    pub incarnation: &'a Id,
    /// Whether it runs.
    pub is_running: bool,
    /// Whether it left in order.
    pub has_left: bool,
}

/// All processes that there were, and which members knew of them.
#[derive(Clone, Debug)]
pub struct ProcessHistory<Id> {
    processes: Vec<Process<Id>>,
    /// The latest process of each member, as an index.
    latest: Vec<Option<usize>>,
    /// For each member, the processes that its running process has known of, as indices.
    known_by: Vec<BTreeSet<usize>>,
}

impl<Id: PartialEq + Clone> ProcessHistory<Id> {
    /// Creates the history of so many members without processes.
    pub fn new(members: usize) -> Self {
        Self {
            processes: Vec::new(),
            latest: vec![None; members],
            known_by: vec![BTreeSet::new(); members],
        }
    }

    /// Records that a process of a member serves from now on, and knows of nobody.
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

    /// Records that the latest process of a member stopped serving: it was killed or left in order.
    pub fn process_stopped(&mut self, now: Micros, member: usize, has_left: bool) {
        let latest = self.latest[member].map(|index| &mut self.processes[index]);
        if let Some(process) = latest.filter(|process| process.is_running()) {
            process.to = Some(now);
            process.has_left = has_left;
        }
    }

    /// Records that a member noticed the death of a process. Returns when the process died, once
    /// for each member; nothing if it runs or left in order.
    pub fn death_detected(&mut self, member: usize, incarnation: &Id) -> Option<Micros> {
        let process = self
            .processes
            .iter_mut()
            .find(|process| process.incarnation == *incarnation)?;
        let died = process.to.filter(|_| !process.has_left)?;
        process.detected_by.insert(member).then_some(died)
    }

    /// The member of a process.
    pub fn member_of(&self, incarnation: &Id) -> Option<usize> {
        self.processes
            .iter()
            .find(|process| process.incarnation == *incarnation)
            .map(|process| process.member)
    }

    /// Whether a process serves.
    pub fn is_running(&self, incarnation: &Id) -> bool {
        self.processes
            .iter()
            .any(|process| process.incarnation == *incarnation && process.is_running())
    }

    /// The latest process of each member that has had one.
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

    /// Checks a view that a member had at some moment of a span. Returns an error for each process
    /// that served throughout and is claimed to have stopped, forgotten, or not among the `counted`
    /// that may serve.
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
                    "b{member} takes b{other} for proven gone, which serves"
                )),
                None => errors.push(format!("b{member} forgot b{other}, which serves")),
            }
        }
        if counted < serving {
            errors.push(format!(
                "b{member} counts {counted} that may serve, and knows {serving} that do"
            ));
        }
        errors
    }
}

#[cfg(test)]
mod tests;
