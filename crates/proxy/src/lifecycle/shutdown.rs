//! Graceful shutdown: the balancer reports not ready immediately, accepts connections for a short
//! time, and responds to every request.

use calloop::signals::Signal;
use pinefront_policy::Micros;
use slog::info;

use crate::close_reason::CloseReason;
use crate::state::client_connection::ClientConnection;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Time after the signal during which new connections are accepted, in microseconds. Clients open
/// connections until they have noticed that the balancer is not ready.
const ACCEPT_PERIOD_US: Micros = 500_000;
/// Time after the signal during which connections are served, in microseconds. Clients keep sending
/// on open connections, and clients of the only balancer of a zone have no alternative. Requests
/// that are received by then get a response within their own deadlines, and the process supervisor
/// waits 0.7 s longer than the longest of these. The connection that is opened last has to send its
/// request by then.
const SERVE_PERIOD_US: Micros = 600_000;
/// Further time during which incomplete requests are read, in microseconds.
const PARTIAL_REQUEST_PERIOD_US: Micros = 500_000;
/// Interval of the checks whether the shutdown is complete, in microseconds.
const CHECK_INTERVAL_US: Micros = 20_000;
/// Time after the signal from which the shutdown no longer waits for anything but clients that
/// await a response, in microseconds. Requests are limited by their own deadlines, which may be
/// later in some deployments.
const MAX_SHUTDOWN_US: Micros = 10_000_000;

impl Proxy {
    /// Handles SIGUSR1 by logging the counters, and starts the shutdown at other signals.
    pub fn handle_signal(&mut self, signal: Signal) {
        let mut state = self.state.borrow_mut();
        if signal == Signal::SIGUSR1 {
            return state.log_counters();
        }
        if state.shutdown_started_at.is_some() {
            return;
        }
        info!(state.log, "shutdown started"; "requests" => state.requests.len(),
            "clients" => state.clients.len());
        state.shutdown_started_at = Some(state.now());
        drop(state);
        self.continue_shutdown();
    }

    /// Carries out the next steps of the shutdown, and schedules another check unless it is
    /// complete.
    pub fn continue_shutdown(&mut self) {
        let (now, stopping) = {
            let state = self.state.borrow();
            (state.now(), state.shutdown_started_at)
        };
        let Some(started_at) = stopping else { return };
        let elapsed = now.saturating_sub(started_at);
        if elapsed >= ACCEPT_PERIOD_US {
            self.accept_backlog();
        }
        self.serve_clients();
        let mut state = self.state.borrow_mut();
        if elapsed >= SERVE_PERIOD_US {
            state.is_closing_connections = true;
            state.close_idle_clients();
        }
        if elapsed >= SERVE_PERIOD_US + PARTIAL_REQUEST_PERIOD_US {
            state.reject_partial_requests();
        }
        if state.is_shutdown_complete(elapsed) {
            info!(state.log, "shutdown complete"; "in_flight" => state.requests.len());
            self.is_finished = true;
            return;
        }
        let check_at = now + CHECK_INTERVAL_US;
        state.timers.schedule(check_at, TimerEvent::Shutdown);
    }

    /// Accepts the connections in the backlog and closes the listener once the backlog is empty.
    /// Connections for which no file descriptor is available stay in the backlog.
    fn accept_backlog(&mut self) {
        while self.accept() {}
        let mut state = self.state.borrow_mut();
        if !state.backlog_has_connections() {
            state.close_listener();
        }
    }

    /// Reads all client connections, so that requests that have arrived in the meantime are served.
    fn serve_clients(&mut self) {
        let keys: Vec<_> = self.state.borrow().clients.keys().collect();
        for key in keys {
            self.handle_client_ready(key);
        }
    }

    /// Closes all connections, leaves the cluster and logs the counters before the process exits.
    pub fn close_all(&mut self) {
        let mut state = self.state.borrow_mut();
        state.close_all_connections();
        // No request is sent to endpoints from now on, so other balancers may stop counting this
        // one.
        if let Some(cluster) = &state.cluster {
            cluster.borrow_mut().leave();
        }
        state.log_counters();
    }
}

impl ProxyState {
    fn is_shutdown_complete(&self, elapsed: Micros) -> bool {
        // Lingering connections close by themselves after a short time.
        let is_busy = |client: &ClientConnection| {
            client.awaits_response()
                || client.is_lingering
                || !client.read_buffer.bytes().is_empty()
        };
        let is_any_busy = self.clients.values().any(is_busy);
        let is_served = elapsed >= SERVE_PERIOD_US && !is_any_busy && self.listener.is_none();
        is_served || (elapsed >= MAX_SHUTDOWN_US && !self.requests.has_waiting_client())
    }

    /// Logs the counters, one line each.
    pub fn log_counters(&self) {
        for line in self.figures().lines() {
            let (name, value) = line.split_once(' ').unwrap_or((line, line));
            info!(self.log, "counter"; "name" => name, "value" => value);
        }
    }

    fn close_all_connections(&mut self) {
        let clients: Vec<_> = self.clients.keys().collect();
        for key in clients {
            self.close_client(key, CloseReason::Shutdown);
        }
        let endpoint_connections: Vec<_> = self.endpoint_connections.keys().collect();
        for key in endpoint_connections {
            self.close_endpoint_connection(key, CloseReason::Shutdown);
        }
        self.close_all_discovery(CloseReason::Shutdown);
    }
}
