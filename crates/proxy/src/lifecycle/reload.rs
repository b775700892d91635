//! A new configuration while serving: SIGHUP has the file read anew, and all of it holds from then on but for the
//! name, the address that clients connect to and the seed. Requests that are open go on under the use case that they
//! came with; nothing is sent because of it.

use pinefront_policy::Micros;
use slog::{info, warn};

use crate::config::{Variables, read, variables};
use crate::lifecycle::startup::fleet_terms;
use crate::state::gossip_socket::GossipSocket;
use crate::state::proxy::{PendingReload, Proxy, ProxyState};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Further tries to read a file where the system failed for the moment, and the time between them. What a new
/// configuration moves counts four seconds after the signal.
const TRIES: u32 = 40;
const TRIES_APART: Micros = 50_000;

impl Proxy {
    /// Reads the operator file anew, where there is one. What can't be read changes nothing.
    pub fn reload_operator_file(&mut self, path: Option<&str>) {
        let state = self.state.borrow();
        let Some((path, fleet)) = path.zip(state.fleet.as_ref()) else {
            return;
        };
        match fleet_terms(path, &state.config, self.balancer.settings()) {
            Ok(settings) => {
                let kept = fleet.borrow_mut().renew(settings);
                info!(state.log, "operator file reloaded"; "file" => path);
                if !kept.is_empty() {
                    warn!(state.log, "change needs a restart"; "fields" => kept.join(","));
                }
            }
            Err(problem) => warn!(state.log, "operator file reload failed"; "error" => problem),
        }
    }

    /// The file could not be read a moment ago.
    pub fn retry_reload(&mut self) {
        let again = self.state.borrow().pending_reload.clone();
        if let Some(again) = again {
            self.reload(again.path.as_deref(), &variables());
        }
    }

    /// Reads the file anew. What can't be read changes nothing.
    pub fn reload(&mut self, path: Option<&str>, variables: &Variables) {
        let mut variables = variables.clone();
        // It was set once for the whole life of the process; the file was replaced since.
        variables.remove("DISCOVERY");
        let mut borrowed = self.state.borrow_mut();
        let state = &mut *borrowed;
        state.counters.reloads += 1;
        let discovery_before = state.config.discovery;
        let taken = read(path, &variables).and_then(|(_, config, settings)| {
            let own = config.peers.get(config.own_index).copied();
            let gossip_socket = GossipSocket::open_if_changed(
                state.gossip_socket.as_ref(),
                &state.handle,
                own,
                Proxy::gossip_ready,
            )
            .map_err(|problem| format!("cannot hear other balancers at {own:?}: {problem}"))?;
            let kept = state.config.unchangeable_fields(&config);
            let renewed = state
                .config
                .renew(config, settings, self.balancer.settings());
            match renewed {
                Ok(_) => {
                    state.replace_gossip_socket(gossip_socket);
                    if !kept.is_empty() {
                        warn!(state.log, "change needs a restart"; "fields" => kept.join(","));
                    }
                }
                Err(_) => gossip_socket
                    .into_iter()
                    .for_each(|gossip_socket| gossip_socket.close(&state.handle)),
            }
            Ok(renewed?)
        });
        match taken {
            Ok(settings) => {
                state.pending_reload = None;
                let config = &state.config;
                let changed = settings != *self.balancer.settings();
                info!(state.log, "configuration reloaded"; "discovery" => %config.discovery,
                    "max_client_connections" => config.max_client_connections, "max_endpoint_connections" => config.max_endpoint_connections,
                    "settings_changed" => changed, "classes" => config.classes.join(","));
                state.counters.settings_changed += u64::from(changed);
                if config.discovery != discovery_before {
                    state.restart_polling();
                }
                if changed {
                    self.balancer.settings_changed(settings);
                }
            }
            Err(unread) => {
                state.counters.reloads_failed += 1;
                warn!(state.log, "configuration reload failed"; "error" => &unread.problem);
                state.schedule_reload(path, unread.is_transient);
            }
        }
    }
}

impl ProxyState {
    fn schedule_reload(&mut self, path: Option<&str>, is_transient: bool) {
        let tries = self
            .pending_reload
            .as_ref()
            .map_or(0, |again| again.failed_reads + 1);
        let again = PendingReload {
            path: path.map(str::to_owned),
            failed_reads: tries,
        };
        self.pending_reload = Some(again).filter(|_| is_transient && tries < TRIES);
        if self.pending_reload.is_some() {
            self.timers
                .schedule(self.clock.now() + TRIES_APART, TimerEvent::RetryReload);
        }
    }
}
