//! Exhaustive search, random walks, and shrinking of the traces that lead to a violation.

use std::collections::HashMap;

use pinefront_model::random::RandomSource;

use super::Options;
use super::state::{State, Step};

/// The number of distinct states at which the exhaustive search stops.
const MAX_STATES: usize = 60_000_000;
/// The largest number of steps of a random walk.
const WALK_STEPS: u64 = 400;
/// The number of steps of a walk after which its allowance of restarts and repeated messages is
/// renewed.
const ALLOWANCE_RENEWAL_STEPS: u64 = 40;
/// The probability that a step of a walk is one without faults, if such a step is possible. With
/// more faults hardly any protocol round would complete.
const FAULT_FREE_STEP_PROBABILITY: f64 = 0.85;

/// The hashes of the visited states, each with the largest remaining depth at which the state was
/// visited. Another visit with the same or a smaller remaining depth reaches no new states.
type VisitedStates = HashMap<u64, u8>;

/// The result of an exhaustive search.
pub(super) struct SearchResult {
    /// The first violation with its trace.
    pub violation: Option<String>,
    /// The number of distinct states visited at the last depth.
    pub states: u64,
    /// Whether the search was neither cancelled nor stopped at [`MAX_STATES`].
    pub is_complete: bool,
}

/// A violation and the steps that lead to it.
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

/// Searches all paths from a state, to increasing depths of up to `depth` steps.
pub(super) fn search_to_depth(root: &State, depth: u8, options: &Options) -> SearchResult {
    let mut search = Search {
        visited: VisitedStates::new(),
        path: Vec::new(),
        options,
    };
    let mut violation = None;
    for depth in 1..=depth {
        search.visited.clear();
        search.path.clear();
        if let Some(description) = search.descend(root, depth) {
            let trace = Trace {
                steps: search.path.clone(),
                violation: description,
            };
            violation = Some(trace.describe());
            break;
        }
    }
    SearchResult {
        violation,
        states: search.visited.len() as u64,
        is_complete: search.visited.len() < MAX_STATES && !options.is_cancelled(),
    }
}

/// A depth-first search to one depth.
struct Search<'a> {
    visited: VisitedStates,
    /// The steps from the root to the current state.
    path: Vec<Step>,
    options: &'a Options,
}

impl Search<'_> {
    /// Applies all possible steps to a state, down to `depth_left` further steps. Returns the first
    /// violation found; `path` then holds the steps that lead to it.
    fn descend(&mut self, state: &State, depth_left: u8) -> Option<String> {
        if depth_left == 0 || self.visited.len() >= MAX_STATES || self.options.is_cancelled() {
            return None;
        }
        for step in state.steps() {
            let mut next = state.clone();
            self.path.push(step.clone());
            if let Some(violation) = next.apply(&step, self.options) {
                return Some(violation);
            }
            let visited_depth = self.visited.entry(next.fingerprint()).or_insert(0);
            if *visited_depth < depth_left {
                *visited_depth = depth_left;
                if let Some(violation) = self.descend(&next, depth_left - 1) {
                    return Some(violation);
                }
            }
            self.path.pop();
        }
        None
    }
}

/// The result of a random walk.
pub(super) struct Walk {
    /// The number of steps before the end or the violation.
    pub steps: u64,
    /// The violation with its shrunk trace.
    pub violation: Option<String>,
}

/// Makes a random walk from the initial state.
pub(super) fn walk(seed: u64, options: &Options) -> Walk {
    let mut random = RandomSource::split(seed, "walk", 0);
    let mut state = State::initial(options);
    let mut steps = Vec::new();
    for number in 0..WALK_STEPS {
        if number % ALLOWANCE_RENEWAL_STEPS == 0 {
            state.restarts = 0;
            state.repeats = 0;
        }
        let step = random_step(&state, &mut random);
        steps.push(step.clone());
        if let Some(violation) = state.apply(&step, options) {
            let length = steps.len();
            let trace = shrink(Trace { steps, violation }, options);
            let description = trace.describe();
            return Walk {
                steps: number,
                violation: Some(format!(
                    "random walk {seed}, shrunk from {length} steps: {description}"
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
    let fault_free: Vec<&Step> = steps.iter().filter(|step| step.is_fault_free()).collect();
    if !fault_free.is_empty() && random.happens(FAULT_FREE_STEP_PROBABILITY) {
        fault_free[random.below(fault_free.len())].clone()
    } else {
        steps[random.below(steps.len())].clone()
    }
}

/// Applies steps to the initial state, skipping those that are not possible. Returns the trace up
/// to the first violation, or `None` if there is no violation.
fn replay(steps: &[Step], options: &Options) -> Option<Trace> {
    let mut state = State::initial(options);
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

/// Removes single steps from a trace for as long as the remaining steps still lead to a violation.
fn shrink(trace: Trace, options: &Options) -> Trace {
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
