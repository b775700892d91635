//! The event loop: each iteration handles sockets first, then timers, then the log.

use std::time::Duration;

use calloop::EventLoop;
use pinefront_policy::Micros;
use slog::warn;

use crate::lifecycle::error::StartupError;
use crate::logging::LogBuffer;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::timers::TimerEvent;

/// Maximum wait of an iteration, in microseconds. A wait that takes longer than requested shows
/// that the process was delayed.
const MAX_WAIT_US: Micros = 50_000;
/// Maximum number of consecutive iterations that may fail: a failure of one socket must not end the
/// requests on others, and an event loop that fails permanently must not spin.
const MAX_CONSECUTIVE_FAILURES: u32 = 100;

impl Proxy {
    /// Handles the timers that have expired. Timers that their handlers schedule for the same time
    /// wait for the next iteration.
    pub fn run_timers(&mut self) {
        let (now, last_serial) = {
            let state = self.state.borrow();
            (state.now(), state.timers.last_serial())
        };
        loop {
            let expired = self
                .state
                .borrow_mut()
                .timers
                .take_expired(now, last_serial);
            match expired {
                Some(event) => self.handle_timer(event, now),
                None => return,
            }
        }
    }

    fn handle_timer(&mut self, event: TimerEvent, now: Micros) {
        match event {
            TimerEvent::PolicyTimer(timer_id) => {
                let now = self.state.borrow().now();
                self.balancer.timer_expired(now, timer_id);
            }
            TimerEvent::ClientConnection(key) => self.handle_client_timer(key),
            TimerEvent::NextRequest(key) => self.handle_client_ready(key),
            TimerEvent::ReadingResumed(key) => self.resume_reading(key),
            TimerEvent::EndpointConnection(key) => self.handle_endpoint_connection_timer(key),
            TimerEvent::EndpointConnectionReady(key) => self.handle_endpoint_connection_ready(key),
            TimerEvent::AttemptEnded {
                request,
                number,
                outcome,
            } => self.handle_attempt_end(request, number, outcome, now),
            TimerEvent::ProbeNotSent(endpoint) => self.report_probe_result(endpoint, false),
            TimerEvent::Discovery => self.discovery_timer_expired(),
            TimerEvent::ResumeAccepting => self.state.borrow_mut().resume_accepting(),
            TimerEvent::Shutdown => self.continue_shutdown(),
            TimerEvent::RetryReload => self.retry_reload(),
        }
    }

    /// Handles the timers of the cluster and endpoint lists received from other balancers.
    fn run_cluster(&mut self) {
        if let Some(cluster) = &self.state.borrow().cluster {
            cluster.borrow_mut().run_timers();
        }
        self.receive_shared_list();
    }
}

impl ProxyState {
    /// Begins an iteration. Returns the maximum time to wait for events, in microseconds.
    fn begin_iteration(&mut self) -> Micros {
        let now = self.now();
        let next_timer = self.timers.next_expiry();
        let mut wait = next_timer.map_or(MAX_WAIT_US, |at| at.saturating_sub(now));
        if let Some(cluster) = &self.cluster {
            wait = wait.min(cluster.borrow().time_to_next_timer());
        }
        if !self.ordered_arrivals.is_empty() {
            // Held requests wait for what arrived before them, which can be read now.
            wait = 0;
        }
        let wait = wait.min(MAX_WAIT_US);
        self.loop_iteration.begin(now, now + wait);
        wait
    }

    fn record_iteration_time(&mut self, started_at: Micros) {
        let duration = self.now().saturating_sub(started_at);
        let longest = &mut self.counters.longest_loop_iteration_us;
        *longest = duration.max(*longest);
    }

    /// Writes as much of the log as the pipe accepts. `unreported` counts dropped lines that were
    /// not reported yet.
    fn flush_log(&mut self, log_buffer: &LogBuffer, unreported: &mut u64) {
        let flushed = log_buffer.flush();
        self.counters.log_lines_dropped += flushed.dropped;
        *unreported += flushed.dropped;
        if flushed.is_empty && *unreported > 0 {
            warn!(self.log, "log lines dropped"; "count" => *unreported);
            *unreported = 0;
        }
    }
}

/// Runs the event loop until the shutdown is complete.
///
/// # Errors
///
/// Fails when too many consecutive iterations have failed.
pub fn serve(
    event_loop: &mut EventLoop<'static, Proxy>,
    proxy: &mut Proxy,
    log_buffer: &LogBuffer,
) -> Result<(), StartupError> {
    let mut failures = 0;
    let mut unreported_drops = 0;
    while !proxy.is_finished {
        let wait = proxy.state.borrow_mut().begin_iteration();
        match event_loop.dispatch(Some(Duration::from_micros(wait)), proxy) {
            Ok(()) => failures = 0,
            Err(error) if failures < MAX_CONSECUTIVE_FAILURES => {
                failures += 1;
                warn!(proxy.state.borrow().log, "event loop iteration failed"; "error" => %error);
            }
            Err(error) => return Err(StartupError::Loop(error)),
        }
        let started_at = proxy.state.borrow().now();
        proxy.run_timers();
        proxy.pass_ordered_requests();
        proxy.run_cluster();
        let mut state = proxy.state.borrow_mut();
        state.resume_waiting_messages();
        state.record_iteration_time(started_at);
        state.flush_log(log_buffer, &mut unreported_drops);
    }
    Ok(())
}
