//! Exhaustive search, random walks, and shortening of what they find.

use std::collections::HashMap;

use pinefront_model::random::RandomSource;

use super::Options;
use super::state::{State, Step};

/// How many states are kept before the search ends by itself.
const MAX_STATES: usize = 60_000_000;
/// The length of a random walk.
const WALK_STEPS: u64 = 400;
/// After so many steps of a walk, restarts and repeats are allowed anew.
const ALLOWANCE_STEPS: u64 = 40;
/// The probability of a step without faults where there is one; otherwise hardly any round would
/// end.
const USUAL_STEP_PROBABILITY: f64 = 0.85;

/// The hashes of the states seen, each with the depth that was left; seen with no more left,
/// nothing new follows.
type SeenStates = HashMap<u64, u8>;

/// The result of an exhaustive search.
pub(super) struct SearchResult {
    pub violation: Option<String>,
    pub states: u64,
    pub is_complete: bool,
}

/// A violation with the steps that led to it.
struct Trace {
    steps: Vec<Step>,
    violation: String,
}

impl Trace {
    fn describe(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(|step| format!("{step:?}")).collect();
        format!(
            "{}; after {}: {}",
            self.violation,
            steps.len(),
            steps.join(", ")
        )
    }
}

/// Searches all paths from a state to increasing depths.
pub(super) fn search_to_depth(root: &State, depth: u8, options: &Options) -> SearchResult {
    let mut search = Search {
        seen: SeenStates::new(),
        path: Vec::new(),
        options,
    };
    let mut violation = None;
    for depth in 1..=depth {
        search.seen.clear();
        search.path.clear();
        if let Some(violated) = search.descend(root, depth) {
            let trace = Trace {
                steps: search.path.clone(),
                violation: violated,
            };
            violation = Some(trace.describe());
            break;
        }
    }
    SearchResult {
        violation,
        states: search.seen.len() as u64,
        is_complete: search.seen.len() < MAX_STATES && !options.is_cancelled(),
    }
}

struct Search<'a> {
    seen: SeenStates,
    path: Vec<Step>,
    options: &'a Options,
}

impl Search<'_> {
    /// Tries all steps from a state. Returns the first violation, to which `path` then leads.
    fn descend(&mut self, state: &State, depth_left: u8) -> Option<String> {
        if depth_left == 0 || self.seen.len() >= MAX_STATES || self.options.is_cancelled() {
            return None;
        }
        for step in state.steps() {
            let mut next = state.clone();
            self.path.push(step.clone());
            if let Some(violation) = next.apply(&step, self.options) {
                return Some(violation);
            }
            let seen_with = self.seen.entry(next.hash_value()).or_insert(0);
            if *seen_with < depth_left {
                *seen_with = depth_left;
                if let Some(violation) = self.descend(&next, depth_left - 1) {
                    return Some(violation);
                }
            }
            self.path.pop();
        }
        None
    }
}

/// A random walk.
pub(super) struct Walk {
    pub steps: u64,
    pub violation: Option<String>,
}

/// Walks from the first state by random steps.
pub(super) fn walk(seed: u64, options: &Options) -> Walk {
    let mut random = RandomSource::split(seed, "walk", 0);
    let mut state = State::first(options);
    let mut steps = Vec::new();
    for number in 0..WALK_STEPS {
        if number % ALLOWANCE_STEPS == 0 {
            state.restarts = 0;
            state.repeats = 0;
        }
        let step = random_step(&state, &mut random);
        steps.push(step.clone());
        if let Some(violation) = state.apply(&step, options) {
            let length = steps.len();
            let trace = shortened(Trace { steps, violation }, options);
            let description = trace.describe();
            return Walk {
                steps: number,
                violation: Some(format!(
                    "walk {seed}, shrunk from {length} moves: {description}"
                )),
            };
        }
    }
    Walk {
        steps: WALK_STEPS,
        violation: None,
    }
}

fn random_step(state: &State, random: &mut RandomSource) -> Step {
    let steps = state.steps();
    let usual: Vec<&Step> = steps.iter().filter(|step| step.is_usual()).collect();
    if !usual.is_empty() && random.happens(USUAL_STEP_PROBABILITY) {
        usual[random.below(usual.len())].clone()
    } else {
        steps[random.below(steps.len())].clone()
    }
}

/// Applies steps to the first state, and returns the trace up to the first violation.
fn replay(steps: &[Step], options: &Options) -> Option<Trace> {
    let mut state = State::first(options);
    for (index, step) in steps.iter().enumerate() {
        if !state.allows(step) {
            continue;
        }
        if let Some(violation) = state.apply(step, options) {
            let steps = steps[..=index].to_vec();
            return Some(Trace { steps, violation });
        }
    }
    None
}

/// Leaves out steps as long as a violation remains without them.
fn shortened(trace: Trace, options: &Options) -> Trace {
    let mut shortest = replay(&trace.steps, options).unwrap_or(trace);
    loop {
        let length = shortest.steps.len();
        let mut index = 0;
        while index < shortest.steps.len() {
            let mut fewer = shortest.steps.clone();
            fewer.remove(index);
            match replay(&fewer, options) {
                Some(shorter) => shortest = shorter,
                None => index += 1,
            }
        }
        if shortest.steps.len() == length {
            return shortest;
        }
    }
}
