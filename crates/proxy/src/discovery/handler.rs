//! Handles the events of the discovery client: its timer, its connections and the responses.

use pinefront_policy::Micros;
use pinefront_settings::fields::{flag, unsigned};
use serde_json::Value;
use slog::{info, warn};

use crate::close_reason::CloseReason;
use crate::discovery::connection::{LastResponse, PollProgress};
use crate::discovery::list_error::ListError;
use crate::discovery::partial_list::PartialList;
use crate::discovery::polling_schedule::{
    ConnectionId, ListSummary, PollAction, PollFailure, PollingSettings,
};
use crate::discovery::transport::close_reason;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::timers::TimerEvent;

/// Period in microseconds over which balancers spread their own polls when they stop receiving the
/// list from another balancer.
const POLL_RESUME_SPREAD_US: Micros = 2_000_000;

impl Proxy {
    /// Handles the expiry of the timer: a poll is due or overdue, or a partial response has to be
    /// applied.
    pub fn discovery_timer_expired(&mut self) {
        let due = self.state.borrow_mut().due_partial_reads();
        for connection in due {
            self.apply_partial_response(connection);
        }
        self.run_polling_schedule();
    }

    /// Handles a connection to discovery that became readable or writable.
    pub fn discovery_ready(&mut self, id: ConnectionId) {
        let progress = self.state.borrow_mut().read_discovery(id);
        match progress {
            PollProgress::Pending => {}
            PollProgress::Responded { body, keep_alive } => {
                self.handle_response(id, &body, keep_alive);
            }
            PollProgress::Failed(failure) => self.poll_failed(id, failure),
            PollProgress::Unsolicited => self.idle_connection_closed(id),
        }
        self.run_polling_schedule();
    }

    /// Carries out the actions that the polling schedule returns, and sets the timer for the next
    /// one.
    fn run_polling_schedule(&mut self) {
        loop {
            let action = self.state.borrow_mut().next_poll_action();
            match action {
                None => break,
                Some(PollAction::Close {
                    connection,
                    may_hold_response,
                }) => self.close_superseded(connection, may_hold_response),
                Some(PollAction::Open(id, query)) => {
                    let opened = self.state.borrow_mut().open_discovery(id, query);
                    if opened.is_err() {
                        self.poll_failed(id, PollFailure::Unreachable);
                    }
                }
                Some(PollAction::Reuse(id, query)) => self.state.borrow_mut().send_poll(id, query),
            }
        }
        if self.state.borrow().discovery.schedule.is_unreachable() {
            self.apply_cached_list();
        }
        self.state.borrow_mut().schedule_discovery_timer();
    }

    /// Handles the response to a poll: applies its list, and schedules the next poll.
    fn handle_response(&mut self, id: ConnectionId, body: &[u8], keep_alive: bool) {
        match self.apply_response(id, body) {
            Ok(summary) => {
                let mut state = self.state.borrow_mut();
                let (now, settings) = (state.now(), state.polling_settings());
                state.discovery.has_received_list = true;
                state
                    .discovery
                    .schedule
                    .response_received(id, now, summary, keep_alive, settings);
            }
            Err(error) => {
                warn!(self.state.borrow().log, "endpoint list malformed"; "error" => %error);
                self.poll_failed(id, PollFailure::Malformed);
            }
        }
    }

    /// Applies the list of a response, unless the known list is newer.
    fn apply_response(&mut self, id: ConnectionId, body: &[u8]) -> Result<ListSummary, ListError> {
        let list: Value = serde_json::from_slice(body)?;
        let (version, is_complete) = (unsigned(&list, "rev")?, flag(&list, "all")?);
        if !self.accepts(id, Some(version), is_complete) {
            info!(self.state.borrow().log, "endpoint list ignored"; "version" => version,
                "connection" => id.0);
            return Ok(ListSummary {
                version,
                is_complete,
                has_entries: false,
            });
        }
        let summary = self.apply_list(&list)?;
        if let Some(cluster) = &self.state.borrow().cluster {
            cluster.borrow_mut().publish_list(&list);
        }
        Ok(summary)
    }

    /// Whether a list with this version may be applied when it is received on this connection.
    fn accepts(&self, id: ConnectionId, version: Option<u64>, is_complete: bool) -> bool {
        let state = self.state.borrow();
        state.discovery.schedule.accepts(id, version, is_complete)
    }

    /// Applies the received part of an incomplete response.
    fn apply_partial_response(&mut self, id: ConnectionId) {
        let partial = {
            let mut state = self.state.borrow_mut();
            let connection = state.discovery.connection(id);
            connection.and_then(|connection| connection.partial_response())
        };
        let Some(partial) = partial else { return };
        let requested_changes = {
            let state = self.state.borrow();
            state.discovery.schedule.requested_changes(id)
        };
        let is_complete = partial.is_complete.unwrap_or(!requested_changes);
        if self.accepts(id, partial.version, is_complete) {
            self.apply_cached_list();
            self.apply_partial_list(&partial, requested_changes);
        }
    }

    /// Handles the failure of a poll. The known list stays valid, and the received part of the
    /// response is applied to it.
    fn poll_failed(&mut self, id: ConnectionId, failure: PollFailure) {
        self.apply_partial_response(id);
        self.apply_cached_list();
        let mut state = self.state.borrow_mut();
        let (now, settings) = (state.now(), state.polling_settings());
        state.log_failed_poll(id, failure);
        state.close_discovery(id, close_reason(failure));
        let was_current = state
            .discovery
            .schedule
            .poll_failed(id, now, failure, settings);
        if !was_current {
            return;
        }
        state.counters.list_polls_failed += 1;
        if matches!(failure, PollFailure::Rejected { .. }) {
            state.counters.list_polls_rejected += 1;
        }
        if let Some(cluster) = &state.cluster {
            cluster.borrow_mut().record_poll_failure();
        }
    }

    /// Handles a connection that was closed, or on which bytes were received, while no poll was in
    /// flight on it. The next poll may be due already, and is sent on a new connection.
    fn idle_connection_closed(&mut self, id: ConnectionId) {
        let mut state = self.state.borrow_mut();
        let (now, settings) = (state.now(), state.polling_settings());
        state.close_discovery(id, CloseReason::DiscoveryClosed);
        state
            .discovery
            .schedule
            .poll_failed(id, now, PollFailure::ConnectionLost, settings);
    }

    /// Closes a connection whose response is no longer awaited. Bytes that discovery has written to
    /// it count as delivered, so they are applied first.
    fn close_superseded(&mut self, id: ConnectionId, may_hold_response: bool) {
        if may_hold_response {
            let last = {
                let mut borrowed = self.state.borrow_mut();
                let state = &mut *borrowed;
                let connection = state.discovery.connection(id);
                connection.and_then(|connection| connection.last_response(&mut state.scratch))
            };
            match last {
                Some(LastResponse::Complete(list)) => self.apply_last_list(&list),
                Some(LastResponse::Partial(partial)) => self.apply_last_partial(&partial),
                None => {}
            }
        }
        let mut state = self.state.borrow_mut();
        state.close_discovery(id, CloseReason::DiscoveryReplaced);
    }

    fn apply_last_list(&mut self, list: &Value) {
        let (Ok(version), Ok(is_complete)) = (unsigned(list, "rev"), flag(list, "all")) else {
            return;
        };
        if self.is_newer(version, is_complete)
            && let Ok(summary) = self.apply_list(list)
        {
            let mut state = self.state.borrow_mut();
            state.discovery.schedule.received_on_close(summary);
        }
    }

    fn apply_last_partial(&mut self, partial: &PartialList) {
        let is_newer = |version| self.is_newer(version, false);
        if partial.version.is_some_and(is_newer) {
            self.apply_partial_list(partial, false);
        }
    }

    fn is_newer(&self, version: u64, is_complete: bool) -> bool {
        let state = self.state.borrow();
        state.discovery.schedule.is_newer(version, is_complete)
    }
}

impl ProxyState {
    /// Schedules the first poll of the process.
    pub fn start_polling(&mut self) {
        let (now, settings) = (self.clock.now(), self.polling_settings());
        self.discovery.schedule.start(now, settings);
        self.schedule_discovery_timer();
    }

    /// Schedules a poll of the endpoint list for a later loop iteration, as the call from the
    /// policy is still in progress.
    pub fn poll_endpoint_list(&mut self) {
        let now = self.clock.now();
        self.discovery.schedule.resume(now);
        self.schedule_discovery_timer();
    }

    /// Polls the complete list again, for example because discovery has another address and may
    /// count versions differently.
    pub fn restart_polling(&mut self) {
        let now = self.clock.now();
        self.discovery.schedule.discovery_changed(now);
        self.schedule_discovery_timer();
    }

    fn polling_settings(&self) -> PollingSettings {
        PollingSettings {
            max_poll_interval: self.config.max_poll_interval,
            balancers: self.config.balancers,
        }
    }

    fn schedule_discovery_timer(&mut self) {
        let discovery = &mut self.discovery;
        match discovery.next_event_at() {
            Some(at) if discovery.timer.is_some_and(|timer| timer.at == at) => {}
            Some(at) => self
                .timers
                .reschedule(&mut discovery.timer, at, TimerEvent::Discovery),
            None => self.timers.clear(&mut discovery.timer),
        }
    }

    /// Returns the connections whose partial responses have to be applied now.
    fn due_partial_reads(&mut self) -> Vec<ConnectionId> {
        self.discovery.timer = None;
        let now = self.now();
        let mut due = Vec::new();
        for connection in &mut self.discovery.connections {
            if connection.partial_read_at.is_some_and(|at| at <= now) {
                connection.partial_read_at = None;
                due.push(connection.id);
            }
        }
        due
    }

    fn next_poll_action(&mut self) -> Option<PollAction> {
        let (now, settings) = (self.now(), self.polling_settings());
        let cluster = self.cluster.as_ref();
        let fresh_for = cluster.and_then(|cluster| cluster.borrow().list_fresh_for());
        let schedule = &mut self.discovery.schedule;
        let may_pause = self.discovery.has_received_list && schedule.is_poll_due(now);
        if let Some(fresh_for) = fresh_for.filter(|_| may_pause) {
            // Another balancer polls for this one. All balancers that receive its updates stop
            // receiving them at the same moment, so their polls are spread.
            schedule.pause_until(now + fresh_for, POLL_RESUME_SPREAD_US);
        }
        schedule.next_action(now, settings)
    }
}
