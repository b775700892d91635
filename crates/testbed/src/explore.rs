//! Every order in which things can happen to a few members and one duty, to a stated depth: the state machines as they
//! ship, with losses (what is never delivered), repeats, reorder, restarts without memory, processes that are not run,
//! and clocks at the ends of the rates' bound. States are told apart by a hash of all that they hold.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use pinefront_cluster::leases::assignment::Candidate;
use pinefront_cluster::leases::messages::LeaseMessage;
use pinefront_cluster::leases::term::Term;
use pinefront_cluster::leases::{
    AddressedMessage, InjectedFault, Lease, LeaseConfig, LeaseEvent, Leases, MAX_LEASE_US,
};
use pinefront_model::Micros;
use pinefront_model::random::RandomSource;
use serde::Serialize;

const DUTY: &str = "d";
/// Frames on their way at once; the oldest is lost beyond that.
const ON_THE_WAY_MOST: usize = 7;
/// A moment within a round, one beyond it, and one beyond any lease.
const STEPS: [Micros; 3] = [100_000, 300_000, 1_100_000];
/// So long before a lease's end one looks, by the true clock.
const BEFORE: Micros = 4_000;
/// The lease explored: half the longest, so that few steps outlast it.
const LEASE: Micros = MAX_LEASE_US / 2;
/// What is counted before the exploration ends by itself.
const STATES_MOST: usize = 60_000_000;

#[derive(Clone, Hash, PartialEq, Eq)]
struct Node {
    name: Rc<str>,
    leases: Leases,
    /// How its clock runs, in thousandths of the true one.
    rate: u64,
    incarnations: u64,
    /// The greatest term of an act that it took.
    took: Option<Term>,
}

#[derive(Clone, Hash, PartialEq, Eq)]
struct State {
    now: Micros,
    nodes: Vec<Node>,
    /// From, to, the sender's life, and whether it was delivered once already.
    messages: Vec<(usize, usize, u64, bool, LeaseMessage)>,
    /// The greatest term that anybody ever held the duty by.
    highest: Option<Term>,
    restarts: u8,
    stops: u8,
    repeats: u8,
}

#[derive(Clone, Debug)]
enum Move {
    /// One that is due is run.
    Run(usize),
    /// A frame arrives; it may stay to arrive again.
    Deliver(usize, bool),
    Wait(Micros),
    /// A member starts anew, with nothing kept.
    Restart(usize),
    /// A holder lets all go.
    Stop(usize),
    /// The holder acts towards the other candidate.
    Act(usize, usize),
}

#[derive(Debug, Default, Serialize)]
pub struct Explored {
    pub states: u64,
    pub depth: u32,
    /// Whether every state up to that depth was seen.
    pub whole: bool,
    pub walks: u64,
    pub walk_steps: u64,
    pub broken: Vec<String>,
}

/// What is explored.
#[derive(Clone, Debug)]
pub struct Wish {
    pub depth: u32,
    pub walks: u64,
    pub candidates: usize,
    pub injected_fault: Option<InjectedFault>,
    /// Set from outside to end early.
    pub over: Arc<AtomicBool>,
}

const VOTERS: usize = 3;

fn local(node: &Node, now: Micros) -> Micros {
    now * node.rate / 1_000
}

fn incarnations(number: usize, incarnations: u64) -> u64 {
    number as u64 * 100 + incarnations
}

fn started(number: usize, now: Micros, rate: u64, incarnation: u64, wish: &Wish) -> Node {
    let names: Vec<Rc<str>> = (0..VOTERS).map(|n| Rc::from(format!("v{n}"))).collect();
    let name = names
        .get(number)
        .cloned()
        .unwrap_or_else(|| format!("c{}", number - VOTERS).into());
    let terms = LeaseConfig {
        voters: names,
        duration: LEASE,
    };
    let at = now * rate / 1_000;
    // A time of day that all agree on to the millisecond: terms then never fall, whoever forgets.
    let wall = 1_000_000 + now / 1_000 - at / 1_000;
    let mut leases = Leases::new(
        at,
        terms,
        Rc::clone(&name),
        incarnations(number, incarnation),
        wall,
    )
    .with_fault(at, wish.injected_fault);
    if number >= VOTERS {
        leases.track(at, vec![Lease::new(DUTY, None)]);
    }
    Node {
        name,
        leases,
        rate,
        incarnations: incarnation,
        took: None,
    }
}

impl State {
    /// Voters that started long ago; the first candidate's clock is as slow as may be, all others as fast.
    fn first(wish: &Wish) -> Self {
        let rate = |number: usize| if number == VOTERS { 990 } else { 1_010 };
        let mut nodes: Vec<Node> = (0..VOTERS + wish.candidates)
            .map(|number| started(number, 0, rate(number), 1, wish))
            .collect();
        let now = MAX_LEASE_US * 2;
        for node in &mut nodes[VOTERS..] {
            let at = local(node, now);
            node.leases.track(at, vec![Lease::new(DUTY, None)]);
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

    fn present(&self) -> Vec<Candidate> {
        let place = |node: &Node| Candidate {
            name: Rc::clone(&node.name),
            zone: "".into(),
        };
        self.nodes[VOTERS..].iter().map(place).collect()
    }

    fn holders(&self) -> Vec<usize> {
        let lease = Lease::new(DUTY, None).id;
        let holds = |n: &usize| {
            let node = &self.nodes[*n];
            node.leases.holds(local(node, self.now), lease, 0).is_some()
        };
        (VOTERS..self.nodes.len()).filter(holds).collect()
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (number, node) in self.nodes.iter().enumerate().skip(VOTERS) {
            if node.leases.next_timer() <= local(node, self.now) {
                moves.push(Move::Run(number));
            }
        }
        for (place, message) in self.messages.iter().enumerate() {
            if self.messages[..place].contains(message) {
                continue;
            }
            moves.push(Move::Deliver(place, false));
            if !message.3 && self.repeats < 1 {
                moves.push(Move::Deliver(place, true));
            }
        }
        moves.extend(STEPS.map(Move::Wait));
        for node in &self.nodes[VOTERS..] {
            // To just before a lease runs out by its holder's clock.
            for held in node.leases.unreported() {
                let at = (held.until * 1_000 / node.rate).saturating_sub(BEFORE);
                if at > self.now {
                    moves.push(Move::Wait(at - self.now));
                }
            }
        }
        if self.restarts < 1 {
            moves.extend((0..self.nodes.len()).map(Move::Restart));
        }
        for holder in self.holders() {
            if self.stops < 1 {
                moves.push(Move::Stop(holder));
            }
            let others = (VOTERS..self.nodes.len()).filter(|other| *other != holder);
            moves.extend(others.map(|other| Move::Act(holder, other)));
        }
        moves
    }

    /// Makes a move; what it broke, if anything.
    fn make(&mut self, what: &Move, wish: &Wish) -> Option<String> {
        let present = self.present();
        let now = self.now;
        match *what {
            Move::Run(number) => {
                let node = &mut self.nodes[number];
                let at = local(node, now);
                node.leases.run_timers(at, &present, true);
                return self.after(number);
            }
            Move::Deliver(place, stays) => {
                let (from, to, incarnation, _, message) = match stays {
                    true => {
                        self.repeats += 1;
                        self.messages[place].3 = true;
                        self.messages[place].clone()
                    }
                    false => self.messages.remove(place),
                };
                let sender = Rc::clone(&self.nodes[from].name);
                // What an earlier process of a name sent is not taken once the later one was heard; here never.
                if incarnation != incarnations(from, self.nodes[from].incarnations) {
                    return None;
                }
                let node = &mut self.nodes[to];
                let at = local(node, now);
                node.leases.receive(at, &sender, incarnation, &message);
                return self.after(to);
            }
            Move::Wait(span) => self.now += span,
            Move::Restart(number) => {
                self.restarts += 1;
                let node = &self.nodes[number];
                let (rate, incarnation) = (node.rate, node.incarnations + 1);
                self.nodes[number] = started(number, now, rate, incarnation, wish);
            }
            Move::Stop(number) => {
                self.stops += 1;
                let node = &mut self.nodes[number];
                let at = local(node, now);
                node.leases.stop(at);
                return self.after(number);
            }
            Move::Act(from, to) => {
                let node = &mut self.nodes[from];
                let (at, lease) = (local(node, now), Lease::new(DUTY, None).id);
                let to = Rc::clone(&self.nodes[to].name);
                self.nodes[from]
                    .leases
                    .send_command(at, lease, &to, 0, Vec::new());
                return self.after(from);
            }
        }
        self.judge()
    }

    /// Sends what one has to say and looks at what it did.
    fn after(&mut self, number: usize) -> Option<String> {
        let incarnation = incarnations(number, self.nodes[number].incarnations);
        let (messages, events) = (
            self.nodes[number].leases.take_messages(),
            self.nodes[number].leases.take_events(),
        );
        for AddressedMessage { to, message } in messages {
            if let Some(to) = self.nodes.iter().position(|node| node.name == to) {
                self.messages
                    .push((number, to, incarnation, false, message));
            }
        }
        while self.messages.len() > ON_THE_WAY_MOST {
            self.messages.remove(0);
        }
        for event in events {
            match event {
                LeaseEvent::Acquired { term, .. } => {
                    if self.highest.is_some_and(|highest| term <= highest) {
                        return Some(format!(
                            "{} holds by {term:?} after {:?}",
                            self.nodes[number].name, self.highest
                        ));
                    }
                    self.highest = Some(term);
                    let took = &mut self.nodes[number].took;
                    *took = (*took).max(Some(term));
                }
                LeaseEvent::CommandReceived { term, .. } => {
                    let node = &mut self.nodes[number];
                    if node.took.is_some_and(|took| term < took) {
                        return Some(format!(
                            "{} takes an act of {term:?} after {:?}",
                            node.name, node.took
                        ));
                    }
                    node.took = Some(term);
                }
                _ => {}
            }
        }
        self.judge()
    }

    fn judge(&self) -> Option<String> {
        let holders = self.holders();
        let names: Vec<&str> = holders.iter().map(|n| &*self.nodes[*n].name).collect();
        (holders.len() > 1)
            .then(|| format!("two hold the duty at {} us: {}", self.now, names.join(", ")))
    }

    fn hashed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

fn told(moves: &[Move], what: &str) -> String {
    let moves: Vec<String> = moves.iter().map(|one| format!("{one:?}")).collect();
    format!("{what}; after {}: {}", moves.len(), moves.join(", "))
}

/// States seen, each with the moves that were left when it was: seen with as many left, nothing new can come of it.
type SeenStates = HashMap<u64, u8>;

/// All moves from a state on, deeper and deeper; the trace of the first broken promise.
fn descend(
    state: &State,
    left: u8,
    seen: &mut SeenStates,
    path: &mut Vec<Move>,
    wish: &Wish,
) -> Option<String> {
    if left == 0 || seen.len() >= STATES_MOST || wish.over.load(Ordering::Relaxed) {
        return None;
    }
    for one in state.moves() {
        let mut next = state.clone();
        path.push(one.clone());
        if let Some(what) = next.make(&one, wish) {
            return Some(what);
        }
        let known = seen.entry(next.hashed()).or_insert(0);
        if *known < left {
            *known = left;
            if let Some(what) = descend(&next, left - 1, seen, path, wish) {
                return Some(what);
            }
        }
        path.pop();
    }
    None
}

/// A shorter script that still breaks: moves are left out as long as some promise breaks without them.
fn shrunk(first: &State, moves: Vec<Move>, wish: &Wish) -> (Vec<Move>, String) {
    let plays = |moves: &[Move]| {
        let mut state = first.clone();
        for (place, one) in moves.iter().enumerate() {
            let possible = match one {
                Move::Deliver(message, _) => *message < state.messages.len(),
                _ => true,
            };
            if let Some(what) = possible.then(|| state.make(one, wish)).flatten() {
                return Some((place + 1, what));
            }
        }
        None
    };
    let (mut moves, mut what) = (moves, String::new());
    loop {
        let before = moves.len();
        let mut at = 0;
        while at < moves.len() {
            let mut fewer = moves.clone();
            fewer.remove(at);
            match plays(&fewer) {
                Some((length, broken)) => {
                    fewer.truncate(length);
                    (moves, what) = (fewer, broken);
                }
                None => at += 1,
            }
        }
        if moves.len() == before {
            if let (true, Some((_, broken))) = (what.is_empty(), plays(&moves)) {
                what = broken;
            }
            return (moves, what);
        }
    }
}

/// The first candidate holds the duty, and all that was on its way has come.
fn held(wish: &Wish) -> State {
    let mut state = State::first(wish);
    state.make(&Move::Run(VOTERS), wish);
    while !state.messages.is_empty() {
        state.make(&Move::Deliver(0, false), wish);
    }
    state
}

/// Every order of moves to the depth, from the start and from where one holds the duty, by a depth more each time, so
/// that the first trace found is a shortest one; then walks by chance, which go deep and are shrunk where they break.
pub fn explore(wish: &Wish) -> Explored {
    let mut found = Explored {
        depth: wish.depth,
        whole: true,
        ..Explored::default()
    };
    for (root, from) in [
        (State::first(wish), "the start"),
        (held(wish), "where c0 holds it"),
    ] {
        let mut seen = SeenStates::new();
        for depth in 1..=wish.depth.min(30) as u8 {
            let mut path = Vec::new();
            seen.clear();
            if let Some(what) = descend(&root, depth, &mut seen, &mut path, wish) {
                found
                    .broken
                    .push(format!("from {from}: {}", told(&path, &what)));
                return found;
            }
        }
        found.whole &= seen.len() < STATES_MOST && !wish.over.load(Ordering::Relaxed);
        found.states += seen.len() as u64;
    }
    for walk in 0..wish.walks {
        if !found.broken.is_empty() || wish.over.load(Ordering::Relaxed) {
            break;
        }
        found.walks += 1;
        found.walk_steps += walked(walk, wish, &mut found.broken);
    }
    found
}

const WALK_STEPS: u64 = 400;

fn walked(seed: u64, wish: &Wish, broken: &mut Vec<String>) -> u64 {
    let mut chance = RandomSource::split(seed, "walk", 0);
    let mut state = State::first(wish);
    let mut moves = Vec::new();
    for step in 0..WALK_STEPS {
        // Every so often a further restart, stop and repeat is allowed, or a long walk would see few of each.
        if step % 40 == 0 {
            (state.restarts, state.repeats) = (0, 0);
        }
        let all = state.moves();
        // Mostly what would happen on calm ways; without that hardly any round would ever end.
        let usual = |one: &&Move| matches!(one, Move::Run(_) | Move::Deliver(_, false));
        let usual: Vec<&Move> = all.iter().filter(usual).collect();
        let one = match !usual.is_empty() && chance.happens(0.85) {
            true => usual[chance.below(usual.len())].clone(),
            false => all[chance.below(all.len())].clone(),
        };
        moves.push(one.clone());
        if let Some(what) = state.make(&one, wish) {
            let long = moves.len();
            let (moves, what) = match shrunk(&State::first(wish), moves.clone(), wish) {
                (_, shorter) if shorter.is_empty() => (moves, what),
                shorter => shorter,
            };
            broken.push(format!(
                "walk {seed}, shrunk from {long} moves: {}",
                told(&moves, &what)
            ));
            return step;
        }
    }
    WALK_STEPS
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[test]
    fn never_two_hold_one_duty() {
        let found = explore(&Wish {
            depth: 4,
            walks: 200,
            candidates: 2,
            injected_fault: None,
            over: Arc::default(),
        });
        assert_eq!(found.broken, Vec::<String>::new());
        assert!(found.whole && found.states > 1_000, "{found:?}");
    }

    #[rstest]
    fn a_planted_fault_has_a_trace(#[values(0, 1, 2, 3, 4, 5)] which: usize) {
        let (name, injected_fault) = InjectedFault::ALL[which];
        let found = explore(&Wish {
            depth: 1,
            walks: 3_000,
            candidates: 2,
            injected_fault: Some(injected_fault),
            over: Arc::default(),
        });
        assert!(
            !found.broken.is_empty(),
            "{name}: not found in {} walks",
            found.walks
        );
    }
}
