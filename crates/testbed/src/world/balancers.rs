//! What the testbed knows of balancer processes: whether they run, and what excuses them from
//! rules.

use std::collections::HashMap;

use pinefront_model::Micros;

/// State of one balancer's process.
#[derive(Clone, Copy, Debug, Default)]
struct BalancerState {
    /// Number of starts so far.
    incarnation: u64,
    is_running: bool,
    /// When it was last started, stopped, killed or suspended.
    disturbed_at: Option<Micros>,
    /// Until when a watch that fell silent excuses it from knowing the endpoint list.
    excused_until: Micros,
}

/// The states of all balancers, by number.
#[derive(Debug, Default)]
pub(super) struct BalancerStates {
    states: HashMap<usize, BalancerState>,
}

impl BalancerStates {
    fn state(&self, balancer: usize) -> BalancerState {
        self.states.get(&balancer).copied().unwrap_or_default()
    }

    pub(super) fn set_running(&mut self, balancer: usize, is_running: bool, now: Micros) {
        let state = self.states.entry(balancer).or_default();
        state.incarnation += u64::from(is_running);
        state.is_running = is_running;
        state.disturbed_at = Some(now);
    }

    /// The incarnation of a balancer that runs.
    pub(super) fn running_incarnation(&self, balancer: usize) -> Option<u64> {
        let state = self.state(balancer);
        state.is_running.then_some(state.incarnation)
    }

    pub(super) fn disturb(&mut self, balancer: usize, now: Micros) {
        self.states.entry(balancer).or_default().disturbed_at = Some(now);
    }

    pub(super) fn undisturbed_since(&self, balancer: usize, since: Micros) -> bool {
        self.state(balancer)
            .disturbed_at
            .is_none_or(|at| at < since)
    }

    /// Extends the time until which a balancer is excused.
    pub(super) fn excuse(&mut self, balancer: usize, until: Micros) {
        let state = self.states.entry(balancer).or_default();
        state.excused_until = state.excused_until.max(until);
    }

    pub(super) fn excused_until(&self, balancer: usize) -> Micros {
        self.state(balancer).excused_until
    }
}
