//! The states of a few members that share one lease, and the steps between these states.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use pinefront_cluster::leases::assignment::Candidate;
use pinefront_cluster::leases::messages::LeaseMessage;
use pinefront_cluster::leases::term::{LeaseId, Term};
use pinefront_cluster::leases::{
    AddressedMessage, Lease, LeaseConfig, LeaseEvent, LeaseManager, MAX_LEASE_DURATION_US,
};
use pinefront_model::Micros;

use super::Options;

/// The name of the lease.
const LEASE_NAME: &str = "d";
/// The number of voters. Voters are not candidates for the lease.
pub(super) const VOTERS: usize = 3;
/// The largest number of messages in flight. If there are more, the oldest one is lost.
const MAX_MESSAGES: usize = 7;
/// Durations of [`Step::Wait`]: shorter than a protocol round, longer than a round, and longer than
/// any lease.
const WAITS_US: [Micros; 3] = [100_000, 300_000, 1_100_000];
/// Time before the expiry of a held lease at which a further [`Step::Wait`] ends.
const BEFORE_EXPIRY_US: Micros = 4_000;
/// Duration of the lease: half of the longest, so that it expires within a few steps.
const LEASE_DURATION_US: Micros = MAX_LEASE_DURATION_US / 2;
/// Rate of a slow clock, in thousandths of true time.
const SLOW_RATE_PER_MILLE: u64 = 990;
/// Rate of a fast clock, in thousandths of true time.
const FAST_RATE_PER_MILLE: u64 = 1_010;
/// The largest number of restarts on a path.
const MAX_RESTARTS: u8 = 1;
/// The largest number of orderly stops on a path.
const MAX_STOPS: u8 = 1;
/// The largest number of repeated messages on a path.
const MAX_REPEATS: u8 = 1;

/// One member, which is a voter or a candidate.
#[derive(Clone, Hash, PartialEq, Eq)]
struct Node {
    name: Rc<str>,
    leases: LeaseManager,
    /// The rate of the member's clock, in thousandths of true time.
    clock_rate_per_mille: u64,
    /// The number of processes that the member has started.
    process_count: u64,
    /// The greatest term under which this process acquired the lease or accepted a command.
    accepted_term: Option<Term>,
}

/// A message in flight.
#[derive(Clone, Hash, PartialEq, Eq)]
struct MessageInFlight {
    from: usize,
    to: usize,
    /// The id of the process that sent the message.
    sender_id: u64,
    /// Whether the message has been delivered and remains in flight to arrive again.
    was_delivered: bool,
    message: LeaseMessage,
}

/// The state of all members and of the network between them.
#[derive(Clone, Hash, PartialEq, Eq)]
pub(super) struct State {
    now: Micros,
    /// The voters, followed by the candidates.
    nodes: Vec<Node>,
    messages: Vec<MessageInFlight>,
    /// The greatest term under which a member has held the lease.
    greatest_term: Option<Term>,
    /// The number of restarts on the path to this state.
    pub restarts: u8,
    /// The number of orderly stops on the path to this state.
    stops: u8,
    /// The number of repeated messages on the path to this state.
    pub repeats: u8,
}

/// A step from one state to another.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// Runs the expired timers of a member.
    RunTimers { member: usize },
    /// Delivers a message. If `stays_in_flight` is set, the message can arrive again.
    Deliver { index: usize, stays_in_flight: bool },
    /// Advances the time by that duration.
    Wait(Micros),
    /// Restarts a member, which loses all its state.
    Restart { member: usize },
    /// Stops a holder in order; it releases its lease.
    Stop { member: usize },
    /// Sends a command from the holder to another candidate.
    Command { from: usize, to: usize },
}

impl Step {
    /// Whether the step also occurs without faults of the network or of a process.
    pub fn is_fault_free(&self) -> bool {
        matches!(
            self,
            Self::RunTimers { .. }
                | Self::Deliver {
                    stays_in_flight: false,
                    ..
                }
        )
    }
}

impl Node {
    fn start(
        member: usize,
        now: Micros,
        clock_rate_per_mille: u64,
        process: u64,
        options: &Options,
    ) -> Self {
        let voters: Vec<Rc<str>> = (0..VOTERS).map(|n| Rc::from(format!("v{n}"))).collect();
        let name = voters
            .get(member)
            .cloned()
            .unwrap_or_else(|| format!("c{}", member - VOTERS).into());
        let config = LeaseConfig {
            voters,
            duration: LEASE_DURATION_US,
        };
        let at = now * clock_rate_per_mille / 1_000;
        // The wall clocks of all members agree to the millisecond. Since terms derive from them,
        // terms do not decrease even if members restart without their state.
        let wall_clock_offset_ms = 1_000_000 + now / 1_000 - at / 1_000;
        let own_id = process_id(member, process);
        let mut leases =
            LeaseManager::new(at, config, Rc::clone(&name), own_id, wall_clock_offset_ms)
                .with_fault(at, options.injected_fault);
        if member >= VOTERS {
            leases.set_leases(at, vec![Lease::new(LEASE_NAME, None)]);
        }
        Self {
            name,
            leases,
            clock_rate_per_mille,
            process_count: process,
            accepted_term: None,
        }
    }

    fn local_time(&self, now: Micros) -> Micros {
        now * self.clock_rate_per_mille / 1_000
    }
}

/// Returns the id of a process of a member.
fn process_id(member: usize, process: u64) -> u64 {
    member as u64 * 100 + process
}

impl State {
    /// The initial state: voters that started two maximum lease durations ago, and candidates that
    /// start now. The clock of the first candidate is as slow as allowed, the clocks of all others
    /// are as fast as allowed.
    pub fn initial(options: &Options) -> Self {
        let clock_rate = |member: usize| {
            if member == VOTERS {
                SLOW_RATE_PER_MILLE
            } else {
                FAST_RATE_PER_MILLE
            }
        };
        let mut nodes: Vec<Node> = (0..VOTERS + options.candidates)
            .map(|member| Node::start(member, 0, clock_rate(member), 1, options))
            .collect();
        let now = MAX_LEASE_DURATION_US * 2;
        for node in &mut nodes[VOTERS..] {
            let at = node.local_time(now);
            node.leases
                .set_leases(at, vec![Lease::new(LEASE_NAME, None)]);
        }
        Self {
            now,
            nodes,
            messages: Vec::new(),
            greatest_term: None,
            restarts: 0,
            stops: 0,
            repeats: 0,
        }
    }

    /// The state in which the first candidate holds the lease and all messages have been delivered.
    pub fn with_holder(options: &Options) -> Self {
        let mut state = Self::initial(options);
        state.apply(&Step::RunTimers { member: VOTERS }, options);
        let deliver = Step::Deliver {
            index: 0,
            stays_in_flight: false,
        };
        while !state.messages.is_empty() {
            state.apply(&deliver, options);
        }
        state
    }

    fn candidates(&self) -> Vec<Candidate> {
        self.nodes[VOTERS..]
            .iter()
            .map(|node| Candidate {
                name: Rc::clone(&node.name),
                zone: "".into(),
            })
            .collect()
    }

    /// Returns the members that hold the lease according to their own clocks.
    fn holders(&self) -> Vec<usize> {
        let lease = LeaseId::from_name(LEASE_NAME);
        let holds = |member: &usize| {
            let node = &self.nodes[*member];
            let at = node.local_time(self.now);
            node.leases.holds(at, lease, 0).is_some()
        };
        (VOTERS..self.nodes.len()).filter(holds).collect()
    }

    /// Returns all steps that are possible in this state.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (member, node) in self.nodes.iter().enumerate().skip(VOTERS) {
            if node.leases.next_timer() <= node.local_time(self.now) {
                steps.push(Step::RunTimers { member });
            }
        }
        self.add_deliveries(&mut steps);
        self.add_waits(&mut steps);
        if self.restarts < MAX_RESTARTS {
            steps.extend((0..self.nodes.len()).map(|member| Step::Restart { member }));
        }
        for holder in self.holders() {
            if self.stops < MAX_STOPS {
                steps.push(Step::Stop { member: holder });
            }
            let others = (VOTERS..self.nodes.len()).filter(|other| *other != holder);
            steps.extend(others.map(|to| Step::Command { from: holder, to }));
        }
        steps
    }

    fn add_deliveries(&self, steps: &mut Vec<Step>) {
        for (index, message) in self.messages.iter().enumerate() {
            if self.messages[..index].contains(message) {
                continue;
            }
            steps.push(Step::Deliver {
                index,
                stays_in_flight: false,
            });
            if !message.was_delivered && self.repeats < MAX_REPEATS {
                steps.push(Step::Deliver {
                    index,
                    stays_in_flight: true,
                });
            }
        }
    }

    fn add_waits(&self, steps: &mut Vec<Step>) {
        steps.extend(WAITS_US.map(Step::Wait));
        for node in &self.nodes[VOTERS..] {
            for held in node.leases.acquired_not_reported_lost() {
                let expires_at = held.expires_at * 1_000 / node.clock_rate_per_mille;
                let at = expires_at.saturating_sub(BEFORE_EXPIRY_US);
                if at > self.now {
                    steps.push(Step::Wait(at - self.now));
                }
            }
        }
    }

    /// Whether a step that was taken on another path is possible in this state.
    pub fn allows(&self, step: &Step) -> bool {
        match step {
            Step::Deliver { index, .. } => *index < self.messages.len(),
            _ => true,
        }
    }

    /// Applies a step, and returns the violation that it causes, if any.
    pub fn apply(&mut self, step: &Step, options: &Options) -> Option<String> {
        let now = self.now;
        match *step {
            Step::RunTimers { member } => {
                let candidates = self.candidates();
                let node = &mut self.nodes[member];
                let at = node.local_time(now);
                node.leases.run_timers(at, &candidates, true);
                self.process_output(member)
            }
            Step::Deliver {
                index,
                stays_in_flight,
            } => self.deliver(index, stays_in_flight),
            Step::Wait(duration) => {
                self.now += duration;
                self.check_holders()
            }
            Step::Restart { member } => {
                self.restarts += 1;
                let node = &self.nodes[member];
                let process = node.process_count + 1;
                let clock_rate = node.clock_rate_per_mille;
                self.nodes[member] = Node::start(member, now, clock_rate, process, options);
                self.check_holders()
            }
            Step::Stop { member } => {
                self.stops += 1;
                let node = &mut self.nodes[member];
                let at = node.local_time(now);
                node.leases.stop(at);
                self.process_output(member)
            }
            Step::Command { from, to } => {
                let to = Rc::clone(&self.nodes[to].name);
                let node = &mut self.nodes[from];
                let at = node.local_time(now);
                let lease = LeaseId::from_name(LEASE_NAME);
                node.leases.send_command(at, lease, &to, 0, Vec::new());
                self.process_output(from)
            }
        }
    }

    fn deliver(&mut self, index: usize, stays_in_flight: bool) -> Option<String> {
        let delivered = if stays_in_flight {
            self.repeats += 1;
            self.messages[index].was_delivered = true;
            self.messages[index].clone()
        } else {
            self.messages.remove(index)
        };
        let sender = &self.nodes[delivered.from];
        // A real member rejects messages of an earlier process from the time at which it has a
        // later process of the sender in its table. The exploration always rejects them.
        if delivered.sender_id != process_id(delivered.from, sender.process_count) {
            return None;
        }
        let name = Rc::clone(&sender.name);
        let node = &mut self.nodes[delivered.to];
        let at = node.local_time(self.now);
        node.leases
            .receive(at, &name, delivered.sender_id, &delivered.message);
        self.process_output(delivered.to)
    }

    /// Sends a member's messages and checks its events.
    fn process_output(&mut self, member: usize) -> Option<String> {
        let node = &mut self.nodes[member];
        let sender_id = process_id(member, node.process_count);
        let messages = node.leases.take_messages();
        let events = node.leases.take_events();
        for AddressedMessage { to, message } in messages {
            if let Some(to) = self.nodes.iter().position(|node| node.name == to) {
                self.messages.push(MessageInFlight {
                    from: member,
                    to,
                    sender_id,
                    was_delivered: false,
                    message,
                });
            }
        }
        while self.messages.len() > MAX_MESSAGES {
            self.messages.remove(0);
        }
        for event in events {
            if let Some(violation) = self.check_event(member, &event) {
                return Some(violation);
            }
        }
        self.check_holders()
    }

    fn check_event(&mut self, member: usize, event: &LeaseEvent) -> Option<String> {
        let node = &mut self.nodes[member];
        let name = &node.name;
        match event {
            LeaseEvent::Acquired { term, .. } => {
                if let Some(greatest) = self.greatest_term.filter(|greatest| term <= greatest) {
                    return Some(format!(
                        "{name} acquired the lease under {term:?}, which is not after {greatest:?}"
                    ));
                }
                self.greatest_term = Some(*term);
                node.accepted_term = node.accepted_term.max(Some(*term));
            }
            LeaseEvent::CommandReceived { term, .. } => {
                if let Some(accepted) = node.accepted_term.filter(|accepted| term < accepted) {
                    return Some(format!(
                        "{name} accepted a command under {term:?}, which is before {accepted:?}"
                    ));
                }
                node.accepted_term = Some(*term);
            }
            _ => {}
        }
        None
    }

    fn check_holders(&self) -> Option<String> {
        let holders = self.holders();
        let names: Vec<&str> = holders.iter().map(|n| &*self.nodes[*n].name).collect();
        (holders.len() > 1).then(|| {
            let names = names.join(", ");
            format!(
                "more than one holder of the lease at {} us: {names}",
                self.now
            )
        })
    }

    /// Returns the hash by which states are distinguished.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
