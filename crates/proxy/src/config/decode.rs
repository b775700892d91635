//! Decodes a configuration from JSON.

use std::net::SocketAddr;

use pinefront_policy::{Idempotency, Settings};
use pinefront_settings::decode_settings;
use pinefront_settings::fields::{list, object, optional, text, unsigned};
use serde_json::Value;

use super::classes::KnownClass;
use super::error::ConfigError;
use super::load::Variables;
use super::proxy_config::Config;
use crate::state::memory::MemoryLimits;

/// Number of file descriptors reserved for standard streams, the listener, discovery, the event
/// loop and a few spare ones.
pub(super) const RESERVED_SOCKETS: u64 = 24;
/// Minimum number of file descriptors that a balancer needs.
const MIN_SOCKETS: u64 = 64;
/// Fraction of the remaining file descriptors for client connections. Clients get the larger part,
/// as several may be waiting for each request that is in flight to an endpoint.
const CLIENT_FRACTION: f64 = 0.6;
/// Number of file descriptors per client in [`Config::active_client_threshold`]. Clients that send
/// requests hold at most a third of the descriptors. At half of that, their idle connections start
/// to keep other clients out.
const SOCKETS_PER_ACTIVE_CLIENT: u64 = 6;

/// Limits on the system resources that the proxy uses.
struct Limits {
    max_client_connections: usize,
    reduced_from: Option<usize>,
    max_endpoint_connections: usize,
    active_client_threshold: usize,
    memory: MemoryLimits,
}

impl Limits {
    fn decode(document: &Value, open_file_limit: u64) -> Result<Self, ConfigError> {
        let limits = optional(document, "limits", Some)?.unwrap_or(&Value::Null);
        let memory_mb = optional(limits, "memory_mb", Value::as_u64)?;
        let stated_sockets = optional(limits, "sockets", Value::as_u64)?;
        let sockets = stated_sockets
            .unwrap_or(open_file_limit)
            .min(open_file_limit);
        if sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets {
                sockets,
                min: MIN_SOCKETS,
            });
        }
        let connections = (sockets - RESERVED_SOCKETS) as usize;
        let max_client_connections = (connections as f64 * CLIENT_FRACTION) as usize;
        let max_endpoint_connections = connections - max_client_connections;
        let memory =
            MemoryLimits::divide(memory_mb, max_client_connections, max_endpoint_connections);
        Ok(Self {
            max_client_connections: memory.client_connections,
            reduced_from: stated_sockets
                .map(|_| max_client_connections)
                .filter(|wanted| memory.client_connections < *wanted),
            max_endpoint_connections: memory.endpoint_connections,
            active_client_threshold: (sockets / SOCKETS_PER_ACTIVE_CLIENT) as usize,
            memory,
        })
    }
}

impl Config {
    /// Decodes a configuration and the settings of the policy that it contains. Variables take
    /// precedence over fields. `open_file_limit` is the system's limit on open file descriptors.
    ///
    /// # Errors
    ///
    /// Fails at the first field that is missing, has the wrong type or conflicts with another
    /// field.
    pub fn decode(
        document: &Value,
        variables: &Variables,
        open_file_limit: u64,
    ) -> Result<(Self, Settings), ConfigError> {
        let settings_json = object(document, "settings")?;
        let settings = decode_settings(settings_json)?;
        let caps = object(settings_json, "caps")?;
        let limits = Limits::decode(document, open_file_limit)?;
        let seed = text(document, "seed")?;
        let reports_load = decode_reports_load(settings_json, &settings)?;
        let zones = decode_zones(settings_json, &settings)?;
        // The value is only validated: the whole drain grace period is a margin for delays of this
        // process.
        unsigned(object(settings_json, "rules")?, "drainGraceUs")?;
        let name = variable_or_field(document, variables, "name")?;
        let listen = decode_address(document, variables, "listen")?;
        let discovery = decode_address(document, variables, "discovery")?;
        let config = Self {
            name,
            listen,
            discovery,
            seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed(seed.to_owned()))?,
            max_client_connections: limits.max_client_connections,
            reduced_from: limits.reduced_from,
            max_endpoint_connections: limits.max_endpoint_connections,
            active_client_threshold: limits.active_client_threshold,
            memory: limits.memory,
            classes: names(settings_json, "useCases")?,
            known_classes: known_classes(settings_json, &settings)?,
            idempotencies: idempotencies(&settings),
            tenants: tenants(settings_json)?,
            zones,
            machine_types: strings(settings_json, "kinds")?,
            endpoint_idle_timeout: unsigned(caps, "connIdleUs")?,
            connect_timeout: unsigned(caps, "connectTimeoutUs")?,
            max_poll_interval: settings.max_poll_interval,
            reports_load,
            probe_path: probe_path(document, &settings)?,
            peers: peers(document, &settings)?,
            own_index: settings.own_index,
            balancers: settings.balancers,
        };
        Ok((config, settings))
    }
}

/// Decodes whether responses carry load reports.
fn decode_reports_load(settings_json: &Value, settings: &Settings) -> Result<bool, ConfigError> {
    let source = text(object(settings_json, "report")?, "source")?;
    if source == "on_probe" && !settings.load_from_probes {
        return Err(ConfigError::ProbesNotAllowed);
    }
    Ok(source == "inline")
}

fn decode_zones(settings_json: &Value, settings: &Settings) -> Result<Vec<String>, ConfigError> {
    let zones = strings(settings_json, "dcs")?;
    if settings.zone as usize >= zones.len() {
        return Err(ConfigError::UnknownZone {
            zone: settings.zone,
            zones: zones.len(),
        });
    }
    Ok(zones)
}

fn idempotencies(settings: &Settings) -> Vec<Idempotency> {
    let classes = settings.classes.iter();
    classes.map(|class| class.idempotency).collect()
}

fn known_classes(
    settings_json: &Value,
    settings: &Settings,
) -> Result<Vec<KnownClass>, ConfigError> {
    let known = |(name, idempotency)| KnownClass { name, idempotency };
    let names = names(settings_json, "useCases")?.into_iter();
    Ok(names.zip(idempotencies(settings)).map(known).collect())
}

fn tenants(settings_json: &Value) -> Result<Vec<String>, ConfigError> {
    match optional(settings_json, "accounts", Value::as_array)? {
        Some(_) => names(settings_json, "accounts"),
        None => Ok(Vec::new()),
    }
}

/// Returns the `name` fields of a list of objects.
fn names(object: &Value, field: &str) -> Result<Vec<String>, ConfigError> {
    let mut names = Vec::new();
    for entry in list(object, field)? {
        names.push(text(entry, "name")?.to_owned());
    }
    Ok(names)
}

/// Decodes a list of strings.
fn strings(object: &Value, field: &'static str) -> Result<Vec<String>, ConfigError> {
    let text = |entry: &Value| entry.as_str().map(str::to_owned);
    list(object, field)?
        .iter()
        .map(|entry| text(entry).ok_or(ConfigError::NotString(field)))
        .collect()
}

/// Decodes the path of probes, which is required if endpoints report their load only to probes.
fn probe_path(document: &Value, settings: &Settings) -> Result<Option<String>, ConfigError> {
    let Some(path) = optional(document, "probe_path", Value::as_str)? else {
        return if settings.load_from_probes {
            Err(ConfigError::NoProbePath)
        } else {
            Ok(None)
        };
    };
    let is_graphic = path.bytes().all(|byte| byte.is_ascii_graphic());
    if !path.starts_with('/') || !is_graphic {
        return Err(ConfigError::ProbePath(path.to_owned()));
    }
    Ok(Some(path.to_owned()))
}

/// Decodes the gossip addresses of all balancers including this one, which are required if the
/// settings allow gossip.
fn peers(document: &Value, settings: &Settings) -> Result<Vec<SocketAddr>, ConfigError> {
    let addresses = optional(document, "peers", Value::as_array)?;
    if !settings.gossip_allowed {
        return Ok(Vec::new());
    }
    let addresses = addresses.ok_or(ConfigError::NoPeers)?;
    if (1..addresses.len()).any(|index| addresses[..index].contains(&addresses[index])) {
        return Err(ConfigError::DuplicatePeer);
    }
    if addresses.len() != settings.balancers {
        return Err(ConfigError::PeerCount {
            addresses: addresses.len(),
            balancers: settings.balancers,
        });
    }
    addresses.iter().map(decode_peer_address).collect()
}

fn decode_peer_address(value: &Value) -> Result<SocketAddr, ConfigError> {
    let address = value.as_str().and_then(|address| address.parse().ok());
    address.ok_or_else(|| ConfigError::PeerAddress(value.clone()))
}

/// Returns the value of the variable if it is set, or else the value of the field.
fn variable_or_field(
    document: &Value,
    variables: &Variables,
    field: &str,
) -> Result<String, ConfigError> {
    match variables.get(&field.to_uppercase()) {
        Some(value) => Ok(value.clone()),
        None => Ok(text(document, field)?.to_owned()),
    }
}

fn decode_address(
    document: &Value,
    variables: &Variables,
    field: &'static str,
) -> Result<SocketAddr, ConfigError> {
    let value = variable_or_field(document, variables, field)?;
    match value.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(ConfigError::Address { field, value }),
    }
}
