//! The state of the balancer processes: whether they run, when the testbed last intervened, and
//! until when they are exempt from rules about the endpoint list.

use std::collections::HashMap;

use pinefront_model::Micros;

/// The state of one balancer process.
#[derive(Clone, Copy, Debug, Default)]
struct BalancerState {
    /// Number of starts.
    incarnation: u64,
    is_running: bool,
    /// The time at which the process was last started, stopped, killed, suspended or resumed.
    last_intervention_at: Option<Micros>,
    /// Until this time the balancer may use an old endpoint list, since its watch became silent.
    exempt_until: Micros,
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
        state.last_intervention_at = Some(now);
    }

    /// The incarnation of a balancer; none if it is not running.
    pub(super) fn running_incarnation(&self, balancer: usize) -> Option<u64> {
        let state = self.state(balancer);
        state.is_running.then_some(state.incarnation)
    }

    pub(super) fn record_intervention(&mut self, balancer: usize, now: Micros) {
        self.states
            .entry(balancer)
            .or_default()
            .last_intervention_at = Some(now);
    }

    pub(super) fn has_no_intervention_since(&self, balancer: usize, since: Micros) -> bool {
        self.state(balancer)
            .last_intervention_at
            .is_none_or(|at| at < since)
    }

    /// Extends the time until which a balancer may use an old endpoint list.
    pub(super) fn exempt(&mut self, balancer: usize, until: Micros) {
        let state = self.states.entry(balancer).or_default();
        state.exempt_until = state.exempt_until.max(until);
    }

    pub(super) fn exempt_until(&self, balancer: usize) -> Micros {
        self.state(balancer).exempt_until
    }
}
