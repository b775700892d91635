//! The decoded configuration of a balancer.

use std::net::SocketAddr;

use pinefront_policy::{Idempotency, Micros, Settings};

use super::classes::{ClassTable, KnownClass};
use super::error::ConfigError;
use crate::state::memory::MemoryLimits;

/// Maximum number of zones, and of machine types, that are distinguished. Further names, which only
/// occur in a broken endpoint list, share an index.
const MAX_NAMES: usize = 64;

/// The configuration of a balancer. In each list of names, the index of a name is the one that the
/// policy uses for it.
pub struct Config {
    /// Name of this balancer.
    pub name: String,
    /// Address on which client connections are accepted.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Maximum number of client connections.
    pub max_client_connections: usize,
    /// Number of client connections that the stated number of descriptors allows, if the memory limit
    /// allows fewer.
    pub reduced_from: Option<usize>,
    /// Maximum number of connections to endpoints.
    pub max_endpoint_connections: usize,
    /// Number of client connections that have carried a request above which each of them is closed
    /// after its response.
    pub active_client_threshold: usize,
    /// Division of the memory limit; messages are unlimited if the configuration sets none.
    pub memory: MemoryLimits,
    /// Names of the request classes; empty for a retired class.
    pub classes: Vec<String>,
    /// Idempotency of each request class.
    pub idempotencies: Vec<Idempotency>,
    /// All request classes since the start of the process, as they were first configured.
    pub known_classes: Vec<KnownClass>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones. Zones that only endpoint lists name are added.
    pub zones: Vec<String>,
    /// Names of the machine types. Machine types that only endpoint lists name are added.
    pub machine_types: Vec<String>,
    /// Maximum idle time of a connection to an endpoint, in microseconds.
    pub endpoint_idle_timeout: Micros,
    /// Maximum time to establish a connection to an endpoint, in microseconds.
    pub connect_timeout: Micros,
    /// Maximum time between polls of discovery, in microseconds; `None` if discovery pushes lists.
    pub max_poll_interval: Option<Micros>,
    /// Whether the responses of endpoints carry load reports.
    pub reports_load: bool,
    /// Path of the requests that probe endpoints for their load.
    pub probe_path: Option<String>,
    /// Gossip addresses of all balancers; empty if the settings do not allow gossip.
    pub peers: Vec<SocketAddr>,
    /// Index of this balancer among all balancers.
    pub own_index: usize,
    /// Number of balancers.
    pub balancers: usize,
}

impl Config {
    /// Returns the index of a tenant. All tenants that are not configured share the index after the
    /// last one.
    pub fn tenant_index(&self, name: &str) -> usize {
        let index = self.tenants.iter().position(|known| known == name);
        index.unwrap_or(self.tenants.len())
    }

    /// Returns the index of a zone, which is added if it is new.
    pub fn zone(&mut self, name: &str) -> u64 {
        index_or_add(&mut self.zones, name)
    }

    /// Returns the index of a machine type, which is added if it is new.
    pub fn machine_type(&mut self, name: &str) -> u64 {
        index_or_add(&mut self.machine_types, name)
    }

    /// Returns the fields that differ in `new` and take effect only after a restart.
    pub fn fields_requiring_restart(&self, new: &Self) -> Vec<&'static str> {
        let mut fields = Vec::new();
        if self.name != new.name {
            fields.push("name");
        }
        if self.listen != new.listen {
            fields.push("listen");
        }
        if self.seed != new.seed {
            fields.push("seed");
        }
        fields
    }

    /// Replaces the configuration of a running balancer with `new`, except for the fields that
    /// require a restart. Returns the settings for the policy, which are `settings` with classes
    /// and zones at the same indexes as in `old`.
    ///
    /// # Errors
    ///
    /// Fails without any change if the polling mode differs or if there were too many classes since
    /// the start of the process.
    pub fn replace(
        &mut self,
        mut new: Self,
        mut settings: Settings,
        old: &Settings,
    ) -> Result<Settings, ConfigError> {
        if new.max_poll_interval.is_some() != self.max_poll_interval.is_some() {
            return Err(ConfigError::PollingModeChanged);
        }
        let table = ClassTable::merge(
            &self.known_classes,
            &old.classes,
            &new.classes,
            settings.classes,
        )?;
        let classes = table.classes.iter();
        new.idempotencies = classes.map(|class| class.idempotency).collect();
        new.classes = table.names;
        new.known_classes = table.known;
        settings.classes = table.classes;
        let own_zone = new.zones.get(settings.zone as usize).cloned();
        new.zones = std::mem::take(&mut self.zones);
        new.machine_types = std::mem::take(&mut self.machine_types);
        if let Some(zone) = own_zone {
            settings.zone = new.zone(&zone);
        }
        new.name = std::mem::take(&mut self.name);
        new.listen = self.listen;
        new.seed = self.seed;
        *self = new;
        Ok(settings)
    }
}

/// Returns the index of a name, which is added if it is new. All names beyond [`MAX_NAMES`] share
/// one index.
fn index_or_add(names: &mut Vec<String>, name: &str) -> u64 {
    if let Some(index) = names.iter().position(|known| known == name) {
        return index as u64;
    }
    if names.len() >= MAX_NAMES {
        return MAX_NAMES as u64;
    }
    names.push(name.to_owned());
    (names.len() - 1) as u64
}
