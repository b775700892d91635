//! The states of a few members with one lease, and the steps between them.

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
/// The number of voters, which are no candidates.
pub(super) const VOTERS: usize = 3;
/// The largest number of messages on their way; the oldest is lost beyond that.
const MAX_MESSAGES: usize = 7;
/// Waits that are tried: within a round, beyond one, and beyond any lease.
const WAITS_US: [Micros; 3] = [100_000, 300_000, 1_100_000];
/// A wait that ends this long before a lease expires is tried as well.
const BEFORE_EXPIRY_US: Micros = 4_000;
/// The duration of the lease: half the longest, so that few steps outlast it.
const LEASE_DURATION_US: Micros = MAX_LEASE_DURATION_US / 2;
/// Rates of slow and fast clocks, in thousandths of the true one.
const SLOW_RATE: u64 = 990;
const FAST_RATE: u64 = 1_010;
/// How many restarts, stops and repeated messages a path may have.
const MAX_RESTARTS: u8 = 1;
const MAX_STOPS: u8 = 1;
const MAX_REPEATS: u8 = 1;

/// One member: the voters first, then the candidates.
#[derive(Clone, Hash, PartialEq, Eq)]
struct Node {
    name: Rc<str>,
    leases: LeaseManager,
    /// The rate of its clock, in thousandths of the true one.
    rate: u64,
    /// How many processes it has had.
    processes: u64,
    /// The greatest term of a command that it accepted.
    accepted: Option<Term>,
}

/// A message on its way.
#[derive(Clone, Hash, PartialEq, Eq)]
struct MessageInFlight {
    from: usize,
    to: usize,
    sender_id: u64,
    was_delivered: bool,
    message: LeaseMessage,
}

/// The state of all members and of the network between them.
#[derive(Clone, Hash, PartialEq, Eq)]
pub(super) struct State {
    now: Micros,
    nodes: Vec<Node>,
    messages: Vec<MessageInFlight>,
    /// The greatest term under which anybody held the lease.
    highest: Option<Term>,
    pub restarts: u8,
    stops: u8,
    pub repeats: u8,
}

/// A step from one state to another.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// Runs the expired timers of a member.
    Run { member: usize },
    /// Delivers a message, which may stay to arrive again.
    Deliver { index: usize, stays: bool },
    /// Lets time pass.
    Wait(Micros),
    /// Restarts a member without memory.
    Restart { member: usize },
    /// Stops a holder, which releases its lease.
    Stop { member: usize },
    /// The holder sends a command to another candidate.
    Command { from: usize, to: usize },
}

impl Step {
    /// Whether it is a step of a network without faults.
    pub fn is_usual(&self) -> bool {
        matches!(self, Self::Run { .. } | Self::Deliver { stays: false, .. })
    }
}

impl Node {
    fn start(member: usize, now: Micros, rate: u64, process: u64, options: &Options) -> Self {
        let voters: Vec<Rc<str>> = (0..VOTERS).map(|n| Rc::from(format!("v{n}"))).collect();
        let name = voters
            .get(member)
            .cloned()
            .unwrap_or_else(|| format!("c{}", member - VOTERS).into());
        let config = LeaseConfig {
            voters,
            duration: LEASE_DURATION_US,
        };
        let at = now * rate / 1_000;
        // All members agree on the time of day to the millisecond, so that terms never decrease,
        // whoever forgets.
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
            rate,
            processes: process,
            accepted: None,
        }
    }

    fn local_time(&self, now: Micros) -> Micros {
        now * self.rate / 1_000
    }
}

fn process_id(member: usize, process: u64) -> u64 {
    member as u64 * 100 + process
}

impl State {
    /// Voters that started long ago, and candidates that start now. The clock of the first
    /// candidate is as slow as allowed, all others as fast.
    pub fn first(options: &Options) -> Self {
        let rate = |member: usize| {
            if member == VOTERS {
                SLOW_RATE
            } else {
                FAST_RATE
            }
        };
        let mut nodes: Vec<Node> = (0..VOTERS + options.candidates)
            .map(|member| Node::start(member, 0, rate(member), 1, options))
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
            highest: None,
            restarts: 0,
            stops: 0,
            repeats: 0,
        }
    }

    /// The state where the first candidate holds the lease and all messages have arrived.
    pub fn with_holder(options: &Options) -> Self {
        let mut state = Self::first(options);
        state.apply(&Step::Run { member: VOTERS }, options);
        let deliver = Step::Deliver {
            index: 0,
            stays: false,
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

    fn holders(&self) -> Vec<usize> {
        let lease = LeaseId::from_name(LEASE_NAME);
        let holds = |member: &usize| {
            let node = &self.nodes[*member];
            let at = node.local_time(self.now);
            node.leases.holds(at, lease, 0).is_some()
        };
        (VOTERS..self.nodes.len()).filter(holds).collect()
    }

    /// All steps that are possible here.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (member, node) in self.nodes.iter().enumerate().skip(VOTERS) {
            if node.leases.next_timer() <= node.local_time(self.now) {
                steps.push(Step::Run { member });
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
            let stays = false;
            steps.push(Step::Deliver { index, stays });
            if !message.was_delivered && self.repeats < MAX_REPEATS {
                let stays = true;
                steps.push(Step::Deliver { index, stays });
            }
        }
    }

    fn add_waits(&self, steps: &mut Vec<Step>) {
        steps.extend(WAITS_US.map(Step::Wait));
        for node in &self.nodes[VOTERS..] {
            for held in node.leases.acquired_not_reported_lost() {
                let expires_at = held.expires_at * 1_000 / node.rate;
                let at = expires_at.saturating_sub(BEFORE_EXPIRY_US);
                if at > self.now {
                    steps.push(Step::Wait(at - self.now));
                }
            }
        }
    }

    /// Whether a step of another path is possible here.
    pub fn allows(&self, step: &Step) -> bool {
        match step {
            Step::Deliver { index, .. } => *index < self.messages.len(),
            _ => true,
        }
    }

    /// Makes a step, and returns the violation it leads to, if any.
    pub fn apply(&mut self, step: &Step, options: &Options) -> Option<String> {
        let now = self.now;
        match *step {
            Step::Run { member } => {
                let candidates = self.candidates();
                let node = &mut self.nodes[member];
                let at = node.local_time(now);
                node.leases.run_timers(at, &candidates, true);
                self.process_output(member)
            }
            Step::Deliver { index, stays } => self.deliver(index, stays),
            Step::Wait(span) => {
                self.now += span;
                self.check_holders()
            }
            Step::Restart { member } => {
                self.restarts += 1;
                let node = &self.nodes[member];
                let process = node.processes + 1;
                self.nodes[member] = Node::start(member, now, node.rate, process, options);
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

    fn deliver(&mut self, index: usize, stays: bool) -> Option<String> {
        let delivered = if stays {
            self.repeats += 1;
            self.messages[index].was_delivered = true;
            self.messages[index].clone()
        } else {
            self.messages.remove(index)
        };
        let sender = &self.nodes[delivered.from];
        // Messages of an earlier process are rejected once a later one is known; here always.
        if delivered.sender_id != process_id(delivered.from, sender.processes) {
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
        let sender_id = process_id(member, node.processes);
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
                if let Some(highest) = self.highest.filter(|highest| term <= highest) {
                    return Some(format!("{name} holds by {term:?} after {highest:?}"));
                }
                self.highest = Some(*term);
                node.accepted = node.accepted.max(Some(*term));
            }
            LeaseEvent::CommandReceived { term, .. } => {
                if let Some(accepted) = node.accepted.filter(|accepted| term < accepted) {
                    return Some(format!(
                        "{name} takes an act of {term:?} after {accepted:?}"
                    ));
                }
                node.accepted = Some(*term);
            }
            _ => {}
        }
        None
    }

    fn check_holders(&self) -> Option<String> {
        let holders = self.holders();
        let names: Vec<&str> = holders.iter().map(|n| &*self.nodes[*n].name).collect();
        (holders.len() > 1)
            .then(|| format!("two hold the duty at {} us: {}", self.now, names.join(", ")))
    }

    /// The hash by which states are told apart.
    pub fn hash_value(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
