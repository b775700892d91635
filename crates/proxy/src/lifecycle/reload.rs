//! Reload: SIGHUP has both files read anew while serving. All of the configuration takes effect but
//! for the name, the address for clients and the seed. Requests in flight keep their class; nothing
//! is sent because of a reload.

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

/// Further attempts to read a file that cannot be read for the moment. Together they take 2 s: what
/// a reload moves counts from 4 s after the signal on.
const MAX_RETRIES: u32 = 40;
/// The time between them.
const RETRY_INTERVAL_US: Micros = 50_000;

impl Proxy {
    /// Reloads the operator file, where there is one. A file that cannot be used changes nothing.
    pub fn reload_operator_file(&mut self, path: Option<&str>) {
        let state = self.state.borrow();
        let Some((path, cluster)) = path.zip(state.cluster.as_ref()) else {
            return;
        };
        match read_operator_file(path, &state.config, self.balancer.settings()) {
            Ok(fleet_settings) => {
                let unchangeable = cluster.borrow_mut().reload(fleet_settings);
                info!(state.log, "operator file reloaded"; "file" => path);
                state.log_unchangeable(&unchangeable);
            }
            Err(error) => {
                warn!(state.log, "operator file reload failed"; "error" => %error);
            }
        }
    }

    /// Repeats a reload whose file could not be read a moment ago.
    pub fn retry_reload(&mut self) {
        let pending = self.state.borrow().pending_reload.clone();
        if let Some(pending) = pending {
            self.reload(pending.path.as_deref(), &variables());
        }
    }

    /// Reloads the configuration. A file that cannot be used changes nothing.
    pub fn reload(&mut self, path: Option<&str>, variables: &Variables) {
        let mut variables = variables.clone();
        // The variable was set when the process started; the file was replaced since.
        variables.remove("DISCOVERY");
        let mut state = self.state.borrow_mut();
        state.counters.reloads += 1;
        let former_discovery = state.config.discovery;
        match state.load_and_replace(path, &variables, self.balancer.settings()) {
            Ok(settings) => {
                state.pending_reload = None;
                let is_changed = settings != *self.balancer.settings();
                state.log_reload(is_changed);
                state.counters.settings_changed += u64::from(is_changed);
                if state.config.discovery != former_discovery {
                    state.restart_polling();
                }
                drop(state);
                if is_changed {
                    self.balancer.settings_changed(settings);
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
    /// Loads the configuration and replaces the present one. Returns the new settings of the
    /// policy.
    fn load_and_replace(
        &mut self,
        path: Option<&str>,
        variables: &Variables,
        old: &Settings,
    ) -> Result<Settings, ReloadError> {
        let loaded = load(path, variables)?;
        let gossip_socket = self.open_gossip_socket(&loaded.config)?;
        let unchangeable = self.config.unchangeable_fields(&loaded.config);
        match self.config.replace(loaded.config, loaded.settings, old) {
            Ok(settings) => {
                self.replace_gossip_socket(gossip_socket);
                self.log_unchangeable(&unchangeable);
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

    /// Opens the gossip socket of a new configuration, if its address differs.
    fn open_gossip_socket(&self, config: &Config) -> Result<Option<GossipSocket>, ReloadError> {
        let address = config.peers.get(config.own_index).copied();
        let current = self.gossip_socket.as_ref();
        GossipSocket::open_if_changed(current, &self.handle, address, Proxy::gossip_ready)
            .map_err(|source| ReloadError::Gossip { address, source })
    }

    fn log_unchangeable(&self, fields: &[&str]) {
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
