//! What a balancer is told: its addresses, its limits, and the settings that the network code reads.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinefront_policy::{Idempotency, IdempotencyScope, Micros, RequestClass, Settings};
use pinefront_settings::decode_settings;
use pinefront_settings::fields::{Decoded, list, optional, part, text, whole};
use serde_json::Value;

use crate::life::start::passes;

#[cfg(test)]
mod tests;

/// Descriptors kept for the rest: standard streams, listener, discovery, the loop's own, a spare few.
const KEPT_BACK: u64 = 24;
/// Part of the other descriptors for clients: several may wait for each that is with an upstream.
const CLIENTS_PART: f64 = 0.6;
/// Part of the memory for what clients send: buffers may take twice what they hold, and answers take the like.
const MESSAGES_PART: u64 = 4;
const MEBIBYTE: u64 = 1024 * 1024;
/// Zones and machine types told apart: names beyond them, which only a broken list has, count as one.
const NAMES_MOST: usize = 64;
/// Part of all descriptors from which connections that bring tickets are a crowd. Clients hold a third at most:
/// at half of that, those that only stand begin to keep others out.
const CROWD_PART: u64 = 6;
/// Fewest descriptors that serve anybody.
const FEWEST: u64 = 64;

/// Where this balancer stands: its addresses, its limits, and names as numbers.
pub struct Place {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub clients_most: usize,
    pub links_most: usize,
    /// Connections that bring tickets from which each closes with its answer.
    pub crowd: usize,
    /// Bytes of clients' messages that may be kept, where a limit on memory is told.
    pub messages_most: usize,
    /// Names by the module's numbers; blank for one that clients can't ask for any more.
    pub classes: Vec<String>,
    pub effects: Vec<Idempotency>,
    /// All that there have been since the start, as they were first told.
    pub known_use_cases: Vec<(String, Idempotency)>,
    pub accounts: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub idle: Micros,
    pub connect_timeout: Micros,
    /// Set where the module asks for the list itself: the longest it may go without asking.
    pub max_poll_interval: Option<Micros>,
    /// Answers hold load reports.
    pub loads_told: bool,
    /// Where an upstream tells its load when probed.
    pub probe_path: Option<String>,
    /// Where the balancers hear each other, by their numbers; none where they don't.
    pub peers: Vec<SocketAddr>,
    pub own_index: usize,
    pub balancers: usize,
}

/// What `BALANCER_*` variables say, by the rest of their names.
pub type Variables = HashMap<String, String>;

impl Place {
    /// An account that no term names is numbered beyond them.
    pub fn account(&self, name: &str) -> usize {
        self.accounts
            .iter()
            .position(|known| known == name)
            .unwrap_or(self.accounts.len())
    }

    pub fn zone(&mut self, name: &str) -> u64 {
        numbered(&mut self.zones, name)
    }

    pub fn kind(&mut self, name: &str) -> u64 {
        numbered(&mut self.kinds, name)
    }

    /// Fields that a new file says otherwise and that can't change while serving.
    pub fn kept_of(&self, new: &Self) -> Vec<&'static str> {
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
    /// before are found again, so that going back and forth adds none. Tells the module's new terms.
    pub fn renew(
        &mut self,
        mut new: Self,
        mut terms: Settings,
        old: &Settings,
    ) -> Decoded<Settings> {
        if new.max_poll_interval.is_some() != self.max_poll_interval.is_some() {
            return Err("in 'settings': field 'registryMode' can't change while serving".into());
        }
        let mut known = self.known_use_cases.clone();
        let mut table: Vec<RequestClass> = old.classes.clone();
        let mut open = vec![String::new(); known.len()];
        for (use_case, (name, idempotency)) in table.iter_mut().zip(&known) {
            // Tickets of it may be open. Told otherwise now, its repeats keep to both.
            let now = new
                .classes
                .iter()
                .zip(&terms.classes)
                .find(|(now, _)| *now == name);
            use_case.idempotency = now.map_or(*idempotency, |(_, now)| {
                stricter(*idempotency, now.idempotency)
            });
            use_case.priority_weight = 0.0;
        }
        for (name, use_case) in new.classes.iter().zip(terms.classes) {
            let same =
                |known: &(String, Idempotency)| known.0 == *name && known.1 == use_case.idempotency;
            let at = known.iter().position(same).unwrap_or(known.len());
            if at == known.len() {
                known.push((name.clone(), use_case.idempotency));
                open.push(String::new());
                table.push(use_case.clone());
            }
            (table[at], open[at]) = (use_case, name.clone());
        }
        if known.len() > NAMES_MOST {
            return Err(format!(
                "in 'settings': more than {NAMES_MOST} use cases since the start; restart instead"
            ));
        }
        new.effects = table.iter().map(|use_case| use_case.idempotency).collect();
        (terms.classes, new.classes, new.known_use_cases) = (table, open, known);
        let own_zone = new.zones.get(terms.zone as usize).cloned();
        (new.zones, new.kinds) = (
            std::mem::take(&mut self.zones),
            std::mem::take(&mut self.kinds),
        );
        if let Some(zone) = own_zone {
            terms.zone = new.zone(&zone);
        }
        (new.name, new.listen, new.seed) = (std::mem::take(&mut self.name), self.listen, self.seed);
        *self = new;
        Ok(terms)
    }

    pub fn decode(
        told: &Value,
        variables: &Variables,
        most_open: u64,
    ) -> Decoded<(Self, Settings)> {
        let settings = part(told, "settings")?;
        let terms =
            decode_settings(settings).map_err(|problem| format!("in 'settings': {problem}"))?;
        let caps = part(settings, "caps")?;
        let limits = optional(told, "limits", Some)?.unwrap_or(&Value::Null);
        let memory = optional(limits, "memory_mb", Value::as_u64)?;
        let open = optional(limits, "sockets", Value::as_u64)?
            .unwrap_or(most_open)
            .min(most_open);
        if open < FEWEST {
            return Err(format!(
                "field 'sockets' is {open}, and {FEWEST} are the fewest to serve with"
            ));
        }
        let room = (open - KEPT_BACK) as usize;
        let clients_most = (room as f64 * CLIENTS_PART) as usize;
        let seed = text(told, "seed")?;
        let names = |object: &Value, name: &str| -> Decoded<Vec<String>> {
            list(object, name)?
                .iter()
                .map(|entry| Ok(text(entry, "name")?.to_owned()))
                .collect()
        };
        let words = |name: &str| -> Decoded<Vec<String>> {
            let word = |entry: &Value| entry.as_str().map(str::to_owned);
            let wrong = || format!("field '{name}' holds what is no text");
            list(settings, name)?
                .iter()
                .map(|entry| word(entry).ok_or_else(wrong))
                .collect()
        };
        let source = text(part(settings, "report")?, "source")?;
        if source == "on_probe" && !terms.load_from_probes {
            return Err(
                "in 'settings': 'report.source' is 'on_probe', and 'caps.probes' is not allowed"
                    .into(),
            );
        }
        let zones = words("dcs")?;
        if terms.zone as usize >= zones.len() {
            return Err(format!(
                "in 'settings': field 'zone' is {} of {}",
                terms.zone,
                zones.len()
            ));
        }
        let effects: Vec<Idempotency> = terms
            .classes
            .iter()
            .map(|use_case| use_case.idempotency)
            .collect();
        // All of the grace is left to what holds a process up, so it is checked and not kept.
        whole(part(settings, "rules")?, "drainGraceUs")?;
        let place = Self {
            name: named(told, variables, "name")?,
            listen: address(told, variables, "listen")?,
            discovery: address(told, variables, "discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| "field 'seed' is no hexadecimal number")?,
            clients_most,
            crowd: (open / CROWD_PART) as usize,
            links_most: room - clients_most,
            messages_most: memory.map_or(usize::MAX, |mb| {
                (mb.saturating_mul(MEBIBYTE) / MESSAGES_PART) as usize
            }),
            classes: names(settings, "useCases")?,
            known_use_cases: names(settings, "useCases")?
                .into_iter()
                .zip(effects.clone())
                .collect(),
            effects,
            accounts: match optional(settings, "accounts", Value::as_array)? {
                Some(_) => names(settings, "accounts")?,
                None => Vec::new(),
            },
            zones,
            kinds: words("kinds")?,
            idle: whole(caps, "connIdleUs")?,
            connect_timeout: whole(caps, "connectTimeoutUs")?,
            max_poll_interval: terms.max_poll_interval,
            loads_told: source == "inline",
            probe_path: probe_path(told, &terms)?,
            peers: peers(told, &terms)?,
            own_index: terms.own_index,
            balancers: terms.balancers,
        };
        Ok((place, terms))
    }
}

/// What holds for a ticket that was taken under one effect and may be repeated under another. Scopes of two kinds
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
fn probe_path(told: &Value, terms: &Settings) -> Decoded<Option<String>> {
    let path = optional(told, "probe_path", Value::as_str)?;
    match path {
        None if terms.load_from_probes => {
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
fn peers(told: &Value, terms: &Settings) -> Decoded<Vec<SocketAddr>> {
    let Some(named) = optional(told, "peers", Value::as_array)?.filter(|_| terms.gossip_allowed)
    else {
        return match terms.gossip_allowed {
            true => Err("field 'peers' is missing, and balancers may send messages".into()),
            false => Ok(Vec::new()),
        };
    };
    if (1..named.len()).any(|n| named[..n].contains(&named[n])) {
        return Err("field 'peers' names an address twice".into());
    }
    if named.len() != terms.balancers {
        return Err(format!(
            "field 'peers' names {} balancers of {}",
            named.len(),
            terms.balancers
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
fn named(told: &Value, variables: &Variables, name: &str) -> Decoded<String> {
    match variables.get(&name.to_uppercase()) {
        Some(value) => Ok(value.clone()),
        None => Ok(text(told, name)?.to_owned()),
    }
}

fn address(told: &Value, variables: &Variables, name: &str) -> Decoded<SocketAddr> {
    let value = named(told, variables, name)?;
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
pub struct Unread {
    /// The system failed for the moment: another try may do.
    pub passes: bool,
    pub problem: String,
}

impl From<String> for Unread {
    fn from(problem: String) -> Self {
        Self {
            passes: false,
            problem,
        }
    }
}

impl From<&str> for Unread {
    fn from(problem: &str) -> Self {
        problem.to_owned().into()
    }
}

impl From<Unread> for String {
    fn from(unread: Unread) -> Self {
        unread.problem
    }
}

/// Reads the file that tells a balancer where it stands.
pub fn read(path: Option<&str>, variables: &Variables) -> Result<(Value, Place, Settings), Unread> {
    let path = path.or(variables.get("CONFIG").map(String::as_str));
    let path = path.ok_or("no file named: give --config or set BALANCER_CONFIG")?;
    let bytes = std::fs::read(path).map_err(|problem| Unread {
        passes: passes(&problem),
        problem: format!("cannot read {path}: {problem}"),
    })?;
    let told: Value = serde_json::from_slice(&bytes)
        .map_err(|problem| format!("{path} is not JSON: {problem}"))?;
    let most_open = rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX);
    let (place, terms) = Place::decode(&told, variables, most_open)
        .map_err(|problem| format!("in {path}: {problem}"))?;
    Ok((told, place, terms))
}
