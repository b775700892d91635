//! The operator file: what an installation switches on beside the balancer's own configuration. TOML, a table for each
//! subsystem; unknown fields are refused, and each problem names file, line and field.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

use pinefront_cluster::datagram::Key;
use pinefront_cluster::leases::term::LeaseId;
use pinefront_cluster::leases::{
    DEFAULT_LEASE_US, Lease, LeaseConfig, MAX_LEASE_US, MAX_LEASES, MAX_VOTERS, MIN_LEASE_US,
};
use pinefront_cluster::membership::table::MAX_MEMBERS;
use pinefront_cluster::messages::{MAX_NAME_BYTES, is_valid_name};
use pinefront_cluster::{Incarnation, MemberConfig, Micros};
use serde::Deserialize;
use toml::Spanned;

#[cfg(test)]
mod tests;

/// Seeds at most: a file that names more is a slip of the pen.
const MAX_SEEDS: usize = 64;
/// Processes struck at most: as many as a table holds.
const MAX_CONFIRMED_DEAD: usize = MAX_MEMBERS;
/// Shortest and longest spans that make sense between processes.
const SPANS: (Micros, Micros) = (5_000, 60_000_000);

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: Spanned<FleetTable>,
    #[serde(rename = "duties")]
    leases: Option<Spanned<LeasesTable>>,
}

/// `[fleet]`: which fleet, and how its members reach one another.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetTable {
    name: Spanned<String>,
    key_file: Spanned<String>,
    listen: Spanned<String>,
    advertise: Option<Spanned<String>>,
    #[serde(default)]
    seeds: Vec<Spanned<String>>,
    member: Option<Spanned<String>>,
    zone: Option<Spanned<String>>,
    probe_every: Option<Spanned<String>>,
    answer_within: Option<Spanned<String>>,
    doubt_least: Option<Spanned<String>>,
    #[serde(default)]
    struck: Vec<Spanned<String>>,
    #[serde(default)]
    via: BTreeMap<Spanned<String>, Spanned<String>>,
}

/// `[duties]`: who votes on what only one member does at a time, and duties of the operators' own.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeasesTable {
    voters: Spanned<Vec<Spanned<String>>>,
    lease: Option<Spanned<String>>,
    #[serde(default)]
    own: Vec<Spanned<String>>,
    /// Zones in which one member asks discovery for all.
    #[serde(default, rename = "roster")]
    shared_list: Vec<Spanned<String>>,
}

/// What the operator file says of the fleet.
pub struct FleetTerms {
    pub listen: SocketAddr,
    pub part: MemberConfig,
    pub key: Key,
    /// Where it names voters.
    pub leases: Option<(LeaseConfig, Vec<Lease>)>,
    /// Zones with a roster, by its duty.
    pub shared_lists: BTreeMap<LeaseId, Rc<str>>,
    /// For members reached at another address than the one they tell: where to send instead.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
}

type Zones = BTreeMap<LeaseId, Rc<str>>;

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
}

impl Reader<'_> {
    fn wrong<T>(
        &self,
        at: Range<usize>,
        field: &str,
        reason: impl std::fmt::Display,
    ) -> Result<T, String> {
        let line = self
            .text
            .bytes()
            .take(at.start)
            .filter(|byte| *byte == b'\n')
            .count()
            + 1;
        Err(format!("{}:{line}: {field}: {reason}", self.file))
    }

    fn address(&self, value: &Spanned<String>, field: &str) -> Result<SocketAddr, String> {
        match value.get_ref().parse::<SocketAddr>() {
            Ok(address) if address.is_ipv4() => Ok(address),
            _ => self.wrong(
                value.span(),
                field,
                format!("'{}' is no IPv4 address and port", value.get_ref()),
            ),
        }
    }

    /// An address that others send to.
    fn reachable(&self, value: &Spanned<String>, field: &str) -> Result<SocketAddr, String> {
        let address = self.address(value, field)?;
        match address.ip().is_unspecified() || address.port() == 0 {
            true => self.wrong(value.span(), field, format!("nobody can send to {address}")),
            false => Ok(address),
        }
    }

    fn word(&self, value: &Spanned<String>, field: &str) -> Result<String, String> {
        let text = value.get_ref();
        match is_valid_name(text) && !text.contains('"') {
            true => Ok(text.clone()),
            false => self.wrong(
                value.span(),
                field,
                format!(
                    "'{}' is no name of 1 to {MAX_NAME_BYTES} letters, digits and signs",
                    text.escape_debug()
                ),
            ),
        }
    }

    fn span(
        &self,
        value: &Option<Spanned<String>>,
        field: &str,
        usual: Micros,
    ) -> Result<Micros, String> {
        let Some(value) = value else { return Ok(usual) };
        let span = humantime::parse_duration(value.get_ref()).ok();
        let span = span.and_then(|span| Micros::try_from(span.as_micros()).ok());
        match span.filter(|span| (SPANS.0..=SPANS.1).contains(span)) {
            Some(span) => Ok(span),
            None => self.wrong(
                value.span(),
                field,
                format!("'{}' is no span from 5ms to 60s", value.get_ref()),
            ),
        }
    }

    /// A process that the operators know to have ended: its name and its life, as /fleet shows them.
    fn struck(&self, value: &Spanned<String>) -> Result<(Rc<str>, Incarnation), String> {
        let field = "fleet.struck";
        let Some((name, incarnation)) = value
            .get_ref()
            .split_once(' ')
            .filter(|(name, _)| is_valid_name(name))
        else {
            return self.wrong(
                value.span(),
                field,
                "wants a name and a life, as /fleet shows them",
            );
        };
        match incarnation.parse() {
            Ok(incarnation) => Ok((name.into(), incarnation)),
            Err(problem) => self.wrong(
                value.span(),
                field,
                format!("'{}' {problem}", incarnation.escape_debug()),
            ),
        }
    }

    fn leases(&self, table: &LeasesTable) -> Result<(LeaseConfig, Vec<Lease>, Zones), String> {
        let mut voters: Vec<Rc<str>> = Vec::new();
        for value in table.voters.get_ref() {
            let voter: Rc<str> = self.word(value, "duties.voters")?.into();
            if voters.contains(&voter) {
                return self.wrong(
                    value.span(),
                    "duties.voters",
                    format!("names {voter} twice"),
                );
            }
            voters.push(voter);
        }
        if voters.len().is_multiple_of(2) || voters.len() > MAX_VOTERS {
            let reason = format!(
                "names {} members: 1, 3, 5 or {MAX_VOTERS} can have a majority",
                voters.len()
            );
            return self.wrong(table.voters.span(), "duties.voters", reason);
        }
        let lease = self.span(&table.lease, "duties.lease", DEFAULT_LEASE_US)?;
        if let Some(value) = table
            .lease
            .as_ref()
            .filter(|_| !(MIN_LEASE_US..=MAX_LEASE_US).contains(&lease))
        {
            let reason = format!("'{}' is no span from 200ms to 2s", value.get_ref());
            return self.wrong(value.span(), "duties.lease", reason);
        }
        let mut leases: Vec<Lease> = Vec::new();
        for value in &table.own {
            let lease = Lease::new(&self.word(value, "duties.own")?, None);
            if leases.iter().any(|known| known.id == lease.id) || leases.len() >= MAX_LEASES {
                let reason = format!(
                    "names '{}' twice, or more than {MAX_LEASES} duties",
                    lease.name
                );
                return self.wrong(value.span(), "duties.own", reason);
            }
            leases.push(lease);
        }
        let mut shared_lists = Zones::new();
        for value in &table.shared_list {
            let zone: Rc<str> = self.word(value, "duties.roster")?.into();
            let lease = Lease::new(&format!("roster/{zone}"), Some(Rc::clone(&zone)));
            if leases.iter().any(|known| known.id == lease.id) {
                let reason = format!("names '{zone}' twice, or is one of duties.own");
                return self.wrong(value.span(), "duties.roster", reason);
            }
            shared_lists.insert(lease.id, zone);
            leases.push(lease);
        }
        Ok((
            LeaseConfig {
                voters,
                duration: lease,
            },
            leases,
            shared_lists,
        ))
    }

    fn terms(&self, name: &str, zone: &str) -> Result<FleetTerms, String> {
        let file: File = match toml::from_str(self.text) {
            Ok(file) => file,
            Err(problem) => {
                let at = problem.span().unwrap_or(0..0);
                let line = self.text[..at.start.min(self.text.len())]
                    .rfind('\n')
                    .map_or(0, |end| end + 1);
                let line = self.text[line..].lines().next().unwrap_or("");
                let field = line.split('=').next().unwrap_or("").trim().to_owned();
                return self.wrong(at, &field, problem.message().replace('\n', " "));
            }
        };
        let table = file.fleet.get_ref();
        let listen = self.address(&table.listen, "fleet.listen")?;
        let address = match &table.advertise {
            Some(advertise) => self.reachable(advertise, "fleet.advertise")?,
            None if listen.ip().is_unspecified() || listen.port() == 0 => {
                let reason = "names no address that others can send to: give fleet.advertise";
                return self.wrong(table.listen.span(), "fleet.listen", reason);
            }
            None => listen,
        };
        if table.seeds.len() > MAX_SEEDS {
            let reason = format!("names {} of {MAX_SEEDS} at most", table.seeds.len());
            return self.wrong(table.seeds[MAX_SEEDS].span(), "fleet.seeds", reason);
        }
        let seeds: Result<_, _> = table
            .seeds
            .iter()
            .map(|seed| self.reachable(seed, "fleet.seeds"))
            .collect();
        if table.struck.len() > MAX_CONFIRMED_DEAD {
            let reason = format!(
                "names {} of {MAX_CONFIRMED_DEAD} at most",
                table.struck.len()
            );
            return self.wrong(
                table.struck[MAX_CONFIRMED_DEAD].span(),
                "fleet.struck",
                reason,
            );
        }
        let struck: Result<BTreeSet<_>, _> =
            table.struck.iter().map(|one| self.struck(one)).collect();
        let mut via = BTreeMap::new();
        for (told, used) in &table.via {
            via.insert(
                self.address(told, "fleet.via")?,
                self.reachable(used, "fleet.via")?,
            );
        }
        let named = |value: &Option<Spanned<String>>, field: &str, usual: &str| match value {
            Some(value) => self.word(value, field),
            None => self.word(&Spanned::new(table.name.span(), usual.to_owned()), field),
        };
        let part = MemberConfig {
            fleet: self.word(&table.name, "fleet.name")?,
            name: named(&table.member, "fleet.member", name)?,
            zone: named(&table.zone, "fleet.zone", zone)?,
            address,
            seeds: seeds?,
            started_at_us: 0,
            probe_interval: self.span(
                &table.probe_every,
                "fleet.probe_every",
                MemberConfig::DEFAULT_PROBE_INTERVAL,
            )?,
            probe_timeout: self.span(
                &table.answer_within,
                "fleet.answer_within",
                MemberConfig::DEFAULT_PROBE_TIMEOUT,
            )?,
            min_suspicion: self.span(
                &table.doubt_least,
                "fleet.doubt_least",
                MemberConfig::DEFAULT_MIN_SUSPICION,
            )?,
            confirmed_dead: struck?,
        };
        if part.probe_timeout * 2 > part.probe_interval {
            let at = table.answer_within.as_ref().or(table.probe_every.as_ref());
            let at = at.map_or(table.name.span(), Spanned::span);
            let reason = "must be at most half of fleet.probe_every: there are two tries in it";
            return self.wrong(at, "fleet.answer_within", reason);
        }
        let leases = file
            .leases
            .as_ref()
            .map(|table| self.leases(table.get_ref()))
            .transpose()?;
        let (leases, shared_lists) = match leases {
            Some((terms, leases, shared_lists)) => (Some((terms, leases)), shared_lists),
            None => (None, Zones::new()),
        };
        let path = table.key_file.get_ref();
        let key = std::fs::read(path).map_err(|problem| problem.to_string());
        let key = key.and_then(|bytes| Key::new(&bytes).map_err(|problem| problem.to_string()));
        match key {
            Ok(key) => Ok(FleetTerms {
                listen,
                part,
                key,
                leases,
                shared_lists,
                via,
            }),
            Err(problem) => self.wrong(
                table.key_file.span(),
                "fleet.key_file",
                format!("{path}: {problem}"),
            ),
        }
    }
}

/// Reads the operator file. `name` and `zone` stand where it names none.
pub fn read(path: &str, name: &str, zone: &str) -> Result<FleetTerms, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|problem| format!("cannot read {path}: {problem}"))?;
    Reader {
        file: path,
        text: &text,
    }
    .terms(name, zone)
}
