//! What a balancer is told: its addresses, its limits, and the settings that the network code reads.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinefront_policy::{Idempotency, IdempotencyScope, Micros, RequestClass, Settings};
use pinefront_settings::decode_settings;
use pinefront_settings::fields::{Decoded, list, optional, part, text, whole};
use serde_json::Value;

use crate::lifecycle::retry::is_transient;

#[cfg(test)]
mod tests;

/// Descriptors kept for the rest: standard streams, listener, discovery, the loop's own, a spare few.
const KEPT_BACK: u64 = 24;
/// Part of the other descriptors for clients: several may wait for each that is with an endpoint.
const CLIENTS_PART: f64 = 0.6;
/// Part of the memory for what clients send: buffers may take twice what they hold, and answers take the like.
const MESSAGES_PART: u64 = 4;
const MEBIBYTE: u64 = 1024 * 1024;
/// Zones and machine types told apart: names beyond them, which only a broken list has, count as one.
const NAMES_MOST: usize = 64;
/// Part of all descriptors from which connections that bring requests are a crowd. Clients hold a third at most:
/// at half of that, those that only harness begin to keep others out.
const CROWD_PART: u64 = 6;
/// Fewest descriptors that serve anybody.
const FEWEST: u64 = 64;

/// Where this balancer stands: its addresses, its limits, and names as numbers.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub max_client_connections: usize,
    pub max_endpoint_connections: usize,
    /// Connections that bring requests from which each closes with its answer.
    pub crowd_threshold: usize,
    /// Bytes of clients' messages that may be kept, where a limit on memory is told.
    pub max_message_bytes: usize,
    /// Names by the module's numbers; blank for one that clients can't ask for any more.
    pub classes: Vec<String>,
    pub idempotencies: Vec<Idempotency>,
    /// All that there have been since the start, as they were first told.
    pub known_classes: Vec<(String, Idempotency)>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
    pub idle: Micros,
    pub connect_timeout: Micros,
    /// Set where the module asks for the list itself: the longest it may go without asking.
    pub max_poll_interval: Option<Micros>,
    /// Answers hold load reports.
    pub reports_load: bool,
    /// Where an endpoint tells its load when probed.
    pub probe_path: Option<String>,
    /// Where the balancers hear each other, by their numbers; none where they don't.
    pub peers: Vec<SocketAddr>,
    pub own_index: usize,
    pub balancers: usize,
}

/// What `BALANCER_*` variables say, by the rest of their names.
pub type Variables = HashMap<String, String>;

impl Config {
    /// An account that no term names is numbered beyond them.
    pub fn tenant_index(&self, name: &str) -> usize {
        self.tenants
            .iter()
            .position(|known| known == name)
            .unwrap_or(self.tenants.len())
    }

    pub fn zone(&mut self, name: &str) -> u64 {
        numbered(&mut self.zones, name)
    }

    pub fn machine_type(&mut self, name: &str) -> u64 {
        numbered(&mut self.machine_types, name)
    }

    /// Fields that a new file says otherwise and that can't change while serving.
    pub fn unchangeable_fields(&self, new: &Self) -> Vec<&'static str> {
        let otherwise = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("seed", self.seed != new.seed),
        ];
        otherwise
            .into_iter()
            .filter(|field| field.1)
            .map(|field| field.0)
            .collect()
    }

    /// Takes new settings in a running program: what was told once keeps its number. Use cases that are the same as
    /// before are found again, so that going back and forth adds none. Tells the module's new settings.
    pub fn renew(
        &mut self,
        mut new: Self,
        mut settings: Settings,
        old: &Settings,
    ) -> Decoded<Settings> {
        if new.max_poll_interval.is_some() != self.max_poll_interval.is_some() {
            return Err("in 'settings': field 'registryMode' can't change while serving".into());
        }
        let mut known = self.known_classes.clone();
        let mut table: Vec<RequestClass> = old.classes.clone();
        let mut open = vec![String::new(); known.len()];
        for (class, (name, idempotency)) in table.iter_mut().zip(&known) {
            // Requests of it may be open. ListSummary otherwise now, its repeats keep to both.
            let now = new
                .classes
                .iter()
                .zip(&settings.classes)
                .find(|(now, _)| *now == name);
            class.idempotency = now.map_or(*idempotency, |(_, now)| {
                stricter(*idempotency, now.idempotency)
            });
            class.priority_weight = 0.0;
        }
        for (name, class) in new.classes.iter().zip(settings.classes) {
            let same =
                |known: &(String, Idempotency)| known.0 == *name && known.1 == class.idempotency;
            let at = known.iter().position(same).unwrap_or(known.len());
            if at == known.len() {
                known.push((name.clone(), class.idempotency));
                open.push(String::new());
                table.push(class.clone());
            }
            (table[at], open[at]) = (class, name.clone());
        }
        if known.len() > NAMES_MOST {
            return Err(format!(
                "in 'settings': more than {NAMES_MOST} use cases since the start; restart instead"
            ));
        }
        new.idempotencies = table.iter().map(|class| class.idempotency).collect();
        (settings.classes, new.classes, new.known_classes) = (table, open, known);
        let own_zone = new.zones.get(settings.zone as usize).cloned();
        (new.zones, new.machine_types) = (
            std::mem::take(&mut self.zones),
            std::mem::take(&mut self.machine_types),
        );
        if let Some(zone) = own_zone {
            settings.zone = new.zone(&zone);
        }
        (new.name, new.listen, new.seed) = (std::mem::take(&mut self.name), self.listen, self.seed);
        *self = new;
        Ok(settings)
    }

    pub fn decode(
        document: &Value,
        variables: &Variables,
        open_file_limit: u64,
    ) -> Decoded<(Self, Settings)> {
        let settings_json = part(document, "settings")?;
        let settings = decode_settings(settings_json)
            .map_err(|problem| format!("in 'settings': {problem}"))?;
        let caps = part(settings_json, "caps")?;
        let limits = optional(document, "limits", Some)?.unwrap_or(&Value::Null);
        let memory = optional(limits, "memory_mb", Value::as_u64)?;
        let open = optional(limits, "sockets", Value::as_u64)?
            .unwrap_or(open_file_limit)
            .min(open_file_limit);
        if open < FEWEST {
            return Err(format!(
                "field 'sockets' is {open}, and {FEWEST} are the fewest to serve with"
            ));
        }
        let room = (open - KEPT_BACK) as usize;
        let max_client_connections = (room as f64 * CLIENTS_PART) as usize;
        let seed = text(document, "seed")?;
        let names = |object: &Value, name: &str| -> Decoded<Vec<String>> {
            list(object, name)?
                .iter()
                .map(|entry| Ok(text(entry, "name")?.to_owned()))
                .collect()
        };
        let words = |name: &str| -> Decoded<Vec<String>> {
            let word = |entry: &Value| entry.as_str().map(str::to_owned);
            let wrong = || format!("field '{name}' holds what is no text");
            list(settings_json, name)?
                .iter()
                .map(|entry| word(entry).ok_or_else(wrong))
                .collect()
        };
        let source = text(part(settings_json, "report")?, "source")?;
        if source == "on_probe" && !settings.load_from_probes {
            return Err(
                "in 'settings': 'report.source' is 'on_probe', and 'caps.probes' is not allowed"
                    .into(),
            );
        }
        let zones = words("dcs")?;
        if settings.zone as usize >= zones.len() {
            return Err(format!(
                "in 'settings': field 'zone' is {} of {}",
                settings.zone,
                zones.len()
            ));
        }
        let idempotencies: Vec<Idempotency> = settings
            .classes
            .iter()
            .map(|class| class.idempotency)
            .collect();
        // All of the grace is left to what holds a process up, so it is checked and not kept.
        whole(part(settings_json, "rules")?, "drainGraceUs")?;
        let config = Self {
            name: named(document, variables, "name")?,
            listen: address(document, variables, "listen")?,
            discovery: address(document, variables, "discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| "field 'seed' is no hexadecimal number")?,
            max_client_connections,
            crowd_threshold: (open / CROWD_PART) as usize,
            max_endpoint_connections: room - max_client_connections,
            max_message_bytes: memory.map_or(usize::MAX, |mb| {
                (mb.saturating_mul(MEBIBYTE) / MESSAGES_PART) as usize
            }),
            classes: names(settings_json, "useCases")?,
            known_classes: names(settings_json, "useCases")?
                .into_iter()
                .zip(idempotencies.clone())
                .collect(),
            idempotencies,
            tenants: match optional(settings_json, "accounts", Value::as_array)? {
                Some(_) => names(settings_json, "accounts")?,
                None => Vec::new(),
            },
            zones,
            machine_types: words("kinds")?,
            idle: whole(caps, "connIdleUs")?,
            connect_timeout: whole(caps, "connectTimeoutUs")?,
            max_poll_interval: settings.max_poll_interval,
            reports_load: source == "inline",
            probe_path: probe_path(document, &settings)?,
            peers: peers(document, &settings)?,
            own_index: settings.own_index,
            balancers: settings.balancers,
        };
        Ok((config, settings))
    }
}

/// What holds for a request that was taken under one effect and may be repeated under another. Scopes of two kinds
/// need not lie in each other, so nothing of both is left.
fn stricter(one: Idempotency, other: Idempotency) -> Idempotency {
    match (one, other) {
        (Idempotency::Idempotent, other) | (other, Idempotency::Idempotent) => other,
        (
            Idempotency::IdempotencyKey { scope, window },
            Idempotency::IdempotencyKey {
                scope: others,
                window: other,
            },
        ) => {
            let window = window.min(other);
            match (scope, others) {
                (IdempotencyScope::All, scope) | (scope, IdempotencyScope::All) => {
                    Idempotency::IdempotencyKey { scope, window }
                }
                (scope, others) if scope == others => Idempotency::IdempotencyKey { scope, window },
                _ => Idempotency::NonIdempotent,
            }
        }
        _ => Idempotency::NonIdempotent,
    }
}

/// Where loads are told to probes only, the file has to say at which path.
fn probe_path(document: &Value, settings: &Settings) -> Decoded<Option<String>> {
    let path = optional(document, "probe_path", Value::as_str)?;
    match path {
        None if settings.load_from_probes => {
            Err("field 'probe_path' is missing, and loads are told to probes only".into())
        }
        Some(path)
            if !path.starts_with('/') || !path.bytes().all(|byte| byte.is_ascii_graphic()) =>
        {
            Err(format!("field 'probe_path' is '{path}', no path"))
        }
        path => Ok(path.map(str::to_owned)),
    }
}

/// Where balancers may speak, the file has to name an address for each of them, its own included.
fn peers(document: &Value, settings: &Settings) -> Decoded<Vec<SocketAddr>> {
    let Some(named) =
        optional(document, "peers", Value::as_array)?.filter(|_| settings.gossip_allowed)
    else {
        return match settings.gossip_allowed {
            true => Err("field 'peers' is missing, and balancers may send messages".into()),
            false => Ok(Vec::new()),
        };
    };
    if (1..named.len()).any(|n| named[..n].contains(&named[n])) {
        return Err("field 'peers' names an address twice".into());
    }
    if named.len() != settings.balancers {
        return Err(format!(
            "field 'peers' names {} balancers of {}",
            named.len(),
            settings.balancers
        ));
    }
    let address = |value: &Value| value.as_str().and_then(|address| address.parse().ok());
    let wrong = |value| format!("field 'peers' holds {value}, no address and port");
    named
        .iter()
        .map(|value| address(value).ok_or_else(|| wrong(value)))
        .collect()
}

fn numbered(names: &mut Vec<String>, name: &str) -> u64 {
    let at = names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            if names.len() >= NAMES_MOST {
                return NAMES_MOST;
            }
            names.push(name.to_owned());
            names.len() - 1
        });
    at as u64
}

/// What a variable says, or else the file.
fn named(document: &Value, variables: &Variables, name: &str) -> Decoded<String> {
    match variables.get(&name.to_uppercase()) {
        Some(value) => Ok(value.clone()),
        None => Ok(text(document, name)?.to_owned()),
    }
}

fn address(document: &Value, variables: &Variables, name: &str) -> Decoded<SocketAddr> {
    let value = named(document, variables, name)?;
    value
        .parse()
        .map_err(|_| format!("field '{name}' is '{value}', no address and port"))
}

/// The variables that speak to a balancer.
pub fn variables() -> Variables {
    let ours =
        |(name, value): (String, String)| Some((name.strip_prefix("BALANCER_")?.to_owned(), value));
    // A variable that is no text is none of ours.
    let texts = std::env::vars_os()
        .filter_map(|(n, v)| Some((n.into_string().ok()?, v.into_string().ok()?)));
    texts.filter_map(ours).collect()
}

/// A file that was not read or not taken.
#[derive(Debug)]
pub struct LoadError {
    /// The system failed for the moment: another try may do.
    pub is_transient: bool,
    pub problem: String,
}

impl From<String> for LoadError {
    fn from(problem: String) -> Self {
        Self {
            is_transient: false,
            problem,
        }
    }
}

impl From<&str> for LoadError {
    fn from(problem: &str) -> Self {
        problem.to_owned().into()
    }
}

impl From<LoadError> for String {
    fn from(unread: LoadError) -> Self {
        unread.problem
    }
}

/// Reads the file that tells a balancer where it stands.
pub fn read(
    path: Option<&str>,
    variables: &Variables,
) -> Result<(Value, Config, Settings), LoadError> {
    let path = path.or(variables.get("CONFIG").map(String::as_str));
    let path = path.ok_or("no file named: give --config or set BALANCER_CONFIG")?;
    let bytes = std::fs::read(path).map_err(|problem| LoadError {
        is_transient: is_transient(&problem),
        problem: format!("cannot read {path}: {problem}"),
    })?;
    let document: Value = serde_json::from_slice(&bytes)
        .map_err(|problem| format!("{path} is not JSON: {problem}"))?;
    let open_file_limit = rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX);
    let (config, settings) = Config::decode(&document, variables, open_file_limit)
        .map_err(|problem| format!("in {path}: {problem}"))?;
    Ok((document, config, settings))
}
