//! The turns of the loop: what sockets and timers bring goes to the module, and its calls come back
//! through [`ProxyHost`].

use std::time::Duration;

use calloop::EventLoop;
use pinefront_policy::Micros;
use slog::warn;

use crate::logging::LogBuffer;
use crate::state::proxy::Proxy;
use crate::state::timers::TimerEvent;

/// The longest wait in a turn: one that lasts longer than asked for tells that we were not let run.
const TURN_MOST: Micros = 50_000;

/// Turns that may fail one after another: one socket's trouble must not end the others' requests, and a loop
/// that is broken for good must not spin.
const FAILURES_MOST: u32 = 100;

impl Proxy {
    /// What fell due. What these bring about at once waits for the next turn.
    pub fn timers(&mut self) {
        let (now, mark) = {
            let state = self.state.borrow();
            (state.now(), state.timers.mark())
        };
        loop {
            let due = self.state.borrow_mut().timers.due(now, mark);
            let Some(due) = due else { return };
            match due {
                TimerEvent::PolicyTimer(timer_id) => {
                    let now = self.state.borrow().now();
                    self.balancer.timer_expired(now, timer_id);
                }
                TimerEvent::ClientConnection(key) => self.client_timer_expired(key),
                TimerEvent::NextRequest(key) => self.client_ready(key),
                TimerEvent::EndpointConnection(key) => self.endpoint_connection_timer_expired(key),
                TimerEvent::EndpointConnectionReady(key) => self.endpoint_connection_ready(key),
                TimerEvent::AttemptEnded {
                    request,
                    number,
                    outcome,
                } => self.attempt_finished(request, number, outcome, now),
                TimerEvent::ProbeNotSent(endpoint) => self.probe_finished(endpoint, false),
                TimerEvent::Discovery => self.discovery_due(),
                TimerEvent::ResumeAccepting => self.state.borrow_mut().resume_accepting(),
                TimerEvent::Shutdown => self.continue_shutdown(),
                TimerEvent::RetryReload => self.retry_reload(),
            }
        }
    }
}

/// Serves until told to stop and done.
pub fn serve(
    event_loop: &mut EventLoop<'static, Proxy>,
    proxy: &mut Proxy,
    log_buffer: &LogBuffer,
) -> Result<(), String> {
    let (mut untold, mut failures) = (0, 0);
    while !proxy.is_finished {
        let wait = {
            let mut state = proxy.state.borrow_mut();
            let now = state.now();
            let wait = state
                .timers
                .next()
                .map_or(TURN_MOST, |at| at.saturating_sub(now))
                .min(TURN_MOST);
            let wait = state
                .fleet
                .as_ref()
                .map_or(wait, |fleet| fleet.borrow().wait().min(wait));
            state.loop_iteration.begin(now, now + wait);
            wait
        };
        match event_loop.dispatch(Some(Duration::from_micros(wait)), proxy) {
            Ok(()) => failures = 0,
            Err(problem) if failures < FAILURES_MOST => {
                failures += 1;
                warn!(proxy.state.borrow().log, "event loop iteration failed"; "error" => %problem);
            }
            Err(problem) => return Err(format!("the event loop failed: {problem}")),
        }
        let began = proxy.state.borrow().now();
        proxy.timers();
        proxy
            .state
            .borrow()
            .fleet
            .iter()
            .for_each(|fleet| fleet.borrow_mut().turn());
        proxy.take_roster();
        let mut state = proxy.state.borrow_mut();
        let took = state.now().saturating_sub(began);
        state.counters.longest_loop_iteration_us =
            state.counters.longest_loop_iteration_us.max(took);
        let (dropped, room) = log_buffer.flush();
        state.counters.log_lines_dropped += dropped;
        untold += dropped;
        if room && untold > 0 {
            warn!(state.log, "log lines dropped"; "count" => untold);
            untold = 0;
        }
    }
    Ok(())
}
