//! The configuration of a balancer, decoded.

use std::net::SocketAddr;

use pinefront_policy::{Idempotency, Micros, Settings};

use super::classes::{ClassTable, KnownClass};
use super::error::ConfigError;

/// Zones or machine types that are told apart: names beyond them, which only a broken list has,
/// share an index.
const MAX_NAMES: usize = 64;

/// The configuration of a balancer. Names stand at the index by which the policy knows them.
pub struct Config {
    /// This balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is polled.
    pub discovery: SocketAddr,
    /// The seed of all random sources.
    pub seed: u64,
    /// The most connections of clients.
    pub max_client_connections: usize,
    /// The most connections to endpoints.
    pub max_endpoint_connections: usize,
    /// Connections that send requests, from which on each is closed with its response.
    pub crowd_threshold: usize,
    /// The most bytes of clients' messages; unlimited where the configuration gives no limit on
    /// memory.
    pub max_message_bytes: usize,
    /// Classes; blank for one that was retired.
    pub classes: Vec<String>,
    /// Idempotency of each class.
    pub idempotencies: Vec<Idempotency>,
    /// All classes since the start, as they were first configured.
    pub known_classes: Vec<KnownClass>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones; those that only lists name are added.
    pub zones: Vec<String>,
    /// Machine types; those that only lists name are added.
    pub machine_types: Vec<String>,
    /// How long an idle connection to an endpoint may be kept, in microseconds.
    pub idle: Micros,
    /// How long a connection to an endpoint may take to be established, in microseconds.
    pub connect_timeout: Micros,
    /// The longest time between polls of discovery, in microseconds; none where it pushes lists.
    pub max_poll_interval: Option<Micros>,
    /// Responses of endpoints carry load reports.
    pub reports_load: bool,
    /// Where endpoints are probed for their load.
    pub probe_path: Option<String>,
    /// Gossip addresses of all balancers; none where gossip is not allowed.
    pub peers: Vec<SocketAddr>,
    /// This balancer's index among all.
    pub own_index: usize,
    /// How many balancers there are.
    pub balancers: usize,
}

impl Config {
    /// Returns the index of a tenant; all that are not configured share the one after the last.
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

    /// Returns the fields that differ in `new` and that cannot change while serving.
    pub fn unchangeable_fields(&self, new: &Self) -> Vec<&'static str> {
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

    /// Replaces the configuration of a running balancer by `new`, apart from the fields that cannot
    /// change, and returns the settings for the policy: `settings`, with the indexes of classes and
    /// zones as they were under `old`.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when the polling mode differs or there were too many classes
    /// since the start.
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

/// Returns the index of a name, which is added if it is new. All names beyond the most share one
/// index.
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
