//! Reload: SIGHUP reloads the configuration and the operator file while the balancer keeps serving.
//! The whole configuration takes effect except for the name, the address for client connections and
//! the seed. Requests in flight keep their class, and a reload causes no request to be sent.

use pinefront_policy::{Micros, Settings};
use slog::{info, warn};

use crate::config::{Config, Variables, load, variables};
use crate::lifecycle::error::ReloadError;
use crate::lifecycle::startup::read_operator_file;
use crate::state::gossip_socket::GossipSocket;
use crate::state::proxy::{PendingReload, Proxy, ProxyState};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Maximum number of retries when a file is temporarily unreadable. Together they take 2 s, because
/// the changes of a reload have to be in effect 4 s after the signal.
const MAX_RETRIES: u32 = 40;
/// Interval between retries, in microseconds.
const RETRY_INTERVAL_US: Micros = 50_000;

impl Proxy {
    /// Reloads the operator file, if there is one. An invalid file changes nothing.
    pub fn reload_operator_file(&mut self, path: Option<&str>) {
        let state = self.state.borrow();
        let Some((path, cluster)) = path.zip(state.cluster.as_ref()) else {
            return;
        };
        match read_operator_file(path, &state.config, self.balancer.settings()) {
            Ok(fleet_settings) => {
                let fields = cluster.borrow_mut().reload(fleet_settings);
                info!(state.log, "operator file reloaded"; "file" => path);
                state.log_restart_needed(&fields);
            }
            Err(error) => {
                warn!(state.log, "operator file reload failed"; "error" => %error);
            }
        }
    }

    /// Passes new settings to the policy, which may end the use of unlisted endpoints.
    pub fn change_settings(&mut self, settings: Settings) {
        self.balancer.settings_changed(settings);
        self.remove_departed_endpoints();
    }

    /// Repeats a reload whose file was temporarily unreadable.
    pub fn retry_reload(&mut self) {
        let pending = self.state.borrow().pending_reload.clone();
        if let Some(pending) = pending {
            self.reload(pending.path.as_deref(), &variables());
        }
    }

    /// Reloads the configuration. An invalid file changes nothing.
    pub fn reload(&mut self, path: Option<&str>, variables: &Variables) {
        let mut variables = variables.clone();
        // The variable was set when the process started, and the file is more recent.
        variables.remove("DISCOVERY");
        let mut state = self.state.borrow_mut();
        state.counters.reloads += 1;
        let previous_discovery = state.config.discovery;
        match state.load_and_replace(path, &variables, self.balancer.settings()) {
            Ok(settings) => {
                state.pending_reload = None;
                let is_changed = settings != *self.balancer.settings();
                state.log_reload(is_changed);
                state.counters.settings_changed += u64::from(is_changed);
                if state.config.discovery != previous_discovery {
                    state.restart_polling();
                }
                drop(state);
                if is_changed {
                    self.change_settings(settings);
                }
            }
            Err(error) => {
                state.counters.reloads_failed += 1;
                warn!(state.log, "configuration reload failed"; "error" => %error);
                state.schedule_retry(path, error.is_transient());
            }
        }
    }
}

impl ProxyState {
    /// Loads the configuration and replaces the current one. Returns the new settings of the
    /// policy.
    fn load_and_replace(
        &mut self,
        path: Option<&str>,
        variables: &Variables,
        old: &Settings,
    ) -> Result<Settings, ReloadError> {
        let loaded = load(path, variables)?;
        let gossip_socket = self.open_gossip_socket(&loaded.config)?;
        let fields = self.config.fields_requiring_restart(&loaded.config);
        match self.config.replace(loaded.config, loaded.settings, old) {
            Ok(settings) => {
                self.memory.set_limits(&self.config.memory);
                let capacity = self.config.memory.remembered_requests;
                self.finished_requests.set_capacity(capacity);
                self.replace_gossip_socket(gossip_socket);
                self.log_restart_needed(&fields);
                Ok(settings)
            }
            Err(error) => {
                if let Some(gossip_socket) = gossip_socket {
                    gossip_socket.close(&self.handle);
                }
                Err(error.into())
            }
        }
    }

    /// Opens the gossip socket of a new configuration if its address differs.
    fn open_gossip_socket(&self, config: &Config) -> Result<Option<GossipSocket>, ReloadError> {
        let address = config.peers.get(config.own_index).copied();
        let current = self.gossip_socket.as_ref();
        GossipSocket::open_if_changed(current, &self.handle, address, Proxy::gossip_ready)
            .map_err(|source| ReloadError::Gossip { address, source })
    }

    /// Logs the fields whose changes take effect only after a restart.
    fn log_restart_needed(&self, fields: &[&str]) {
        if !fields.is_empty() {
            warn!(self.log, "change needs a restart"; "fields" => fields.join(","));
        }
    }

    fn log_reload(&self, is_changed: bool) {
        let config = &self.config;
        info!(self.log, "configuration reloaded"; "discovery" => %config.discovery,
            "max_client_connections" => config.max_client_connections,
            "max_endpoint_connections" => config.max_endpoint_connections,
            "settings_changed" => is_changed, "classes" => config.classes.join(","));
    }

    fn schedule_retry(&mut self, path: Option<&str>, is_transient: bool) {
        let pending = self.pending_reload.take();
        let failed_reads = pending.map_or(0, |pending| pending.failed_reads + 1);
        if !is_transient || failed_reads >= MAX_RETRIES {
            return;
        }
        self.pending_reload = Some(PendingReload {
            path: path.map(str::to_owned),
            failed_reads,
        });
        let retry_at = self.clock.now() + RETRY_INTERVAL_US;
        self.timers.schedule(retry_at, TimerEvent::RetryReload);
    }
}
