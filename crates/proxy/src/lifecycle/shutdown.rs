//! An orderly stop: not ready at once, accepting a little longer, every request answered.

use calloop::signals::Signal;
use pinefront_policy::Micros;
use slog::info;

use crate::close_reason::CloseReason;
use crate::state::client_connection::ClientConnection;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// How long new connections are taken after the signal: they go on coming until the front has noticed.
const ACCEPT_ON: Micros = 500_000;
/// How long connections are then still served: clients go on sending on those that stay open, and for the only balancer
/// of a zone there is no other to go to. What is taken by then has its answer within its own time, and whoever ends
/// us allows 0.7 s more than the longest of those. Who opens a connection last has this much to send its request.
const SERVE_ON: Micros = 600_000;
/// How long requests of which part is here are then read on.
const REST_WITHIN: Micros = 500_000;
/// How often we look whether all is answered.
const LOOK_EVERY: Micros = 20_000;
/// When we end whatever is left but requests: those have deadlines of their own, which other customers set longer.
const GIVE_UP: Micros = 10_000_000;

impl Proxy {
    pub fn signalled(&mut self, signal: Signal) {
        let mut state = self.state.borrow_mut();
        if signal == Signal::SIGUSR1 {
            return state.log_counters();
        }
        if state.stopping.is_some() {
            return;
        }
        info!(state.log, "shutdown started"; "requests" => state.requests.len(), "clients" => state.clients.len());
        state.stopping = Some(state.now());
        drop(state);
        self.continue_shutdown();
    }

    /// Looks how far the stop has come.
    pub fn continue_shutdown(&mut self) {
        let (now, stopping) = {
            let state = self.state.borrow();
            (state.now(), state.stopping)
        };
        let Some(began) = stopping else { return };
        let since = now.saturating_sub(began);
        if since >= ACCEPT_ON {
            // What lies in the backlog counts as taken: where there is no room now, it waits for some.
            while self.accept() {}
            let mut state = self.state.borrow_mut();
            if !state.backlog_has_connections() {
                state.close_listener();
            }
        }
        // What came in meanwhile is served, not closed.
        let keys: Vec<_> = self.state.borrow().clients.keys().collect();
        keys.into_iter().for_each(|key| self.client_ready(key));
        let mut state = self.state.borrow_mut();
        if since >= SERVE_ON {
            state.closing = true;
            state.close_idle_clients();
        }
        if since >= SERVE_ON + REST_WITHIN {
            state.reject_partial_requests();
        }
        // Those whose end is under way have little time left, and close by themselves.
        let waits = |client: &ClientConnection| {
            client.awaits_response()
                || client.is_lingering
                || !client.read_buffer.bytes().is_empty()
        };
        let waiting = state.clients.values().any(waits);
        let unanswered = state.requests.is_any_awaited();
        let done = since >= SERVE_ON && !waiting && state.listener.is_none();
        if done || (since >= GIVE_UP && !unanswered) {
            info!(state.log, "shutdown complete"; "in_flight" => state.requests.len());
            self.is_finished = true;
            return;
        }
        state
            .timers
            .schedule(now + LOOK_EVERY, TimerEvent::Shutdown);
    }
}

impl ProxyState {
    /// The counters, a line each.
    pub fn log_counters(&self) {
        for line in self.counters.to_string().lines() {
            info!(self.log, "counter"; "name" => line.split(' ').next().unwrap_or(""),
                "value" => line.split(' ').next_back().unwrap_or(""));
        }
    }

    /// Ends what is still open when the program ends.
    pub fn end_all(&mut self) {
        let clients: Vec<_> = self.clients.keys().collect();
        clients
            .into_iter()
            .for_each(|key| self.close_client(key, CloseReason::Shutdown));
        let endpoint_connections: Vec<_> = self.endpoint_connections.keys().collect();
        endpoint_connections
            .into_iter()
            .for_each(|key| self.close_endpoint_connection(key, CloseReason::Shutdown));
        self.end_all_discovery(CloseReason::Shutdown);
    }
}
