//! The operator file: what an installation switches on beside the balancer's own configuration. TOML, a table for each
//! subsystem; unknown fields are refused, and each problem names file, line and field.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

use pinefront_cluster::duties::term::DutyId;
use pinefront_cluster::duties::{
    DUTIES_MOST, Duty, DutyTerms, LEASE_LEAST, LEASE_MOST, LEASE_USUAL, VOTERS_MOST,
};
use pinefront_cluster::envelope::{Key, Life};
use pinefront_cluster::frames::{NAME_MOST, is_name};
use pinefront_cluster::membership::table::MEMBERS_MOST;
use pinefront_cluster::{Micros, Part};
use serde::Deserialize;
use toml::Spanned;

#[cfg(test)]
mod tests;

/// Seeds at most: a file that names more is a slip of the pen.
const SEEDS_MOST: usize = 64;
/// Processes struck at most: as many as a table holds.
const STRUCK_MOST: usize = MEMBERS_MOST;
/// Shortest and longest spans that make sense between processes.
const SPANS: (Micros, Micros) = (5_000, 60_000_000);

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: Spanned<FleetTable>,
    duties: Option<Spanned<DutiesTable>>,
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
struct DutiesTable {
    voters: Spanned<Vec<Spanned<String>>>,
    lease: Option<Spanned<String>>,
    #[serde(default)]
    own: Vec<Spanned<String>>,
    /// Zones in which one member asks discovery for all.
    #[serde(default)]
    roster: Vec<Spanned<String>>,
}

/// What the operator file says of the fleet.
pub struct FleetTerms {
    pub listen: SocketAddr,
    pub part: Part,
    pub key: Key,
    /// Where it names voters.
    pub duties: Option<(DutyTerms, Vec<Duty>)>,
    /// Zones with a roster, by its duty.
    pub rosters: BTreeMap<DutyId, Rc<str>>,
    /// For members reached at another address than the one they tell: where to send instead.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
}

type Zones = BTreeMap<DutyId, Rc<str>>;

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
        match is_name(text) && !text.contains('"') {
            true => Ok(text.clone()),
            false => self.wrong(
                value.span(),
                field,
                format!(
                    "'{}' is no name of 1 to {NAME_MOST} letters, digits and signs",
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
    fn struck(&self, value: &Spanned<String>) -> Result<(Rc<str>, Life), String> {
        let field = "fleet.struck";
        let Some((name, life)) = value
            .get_ref()
            .split_once(' ')
            .filter(|(name, _)| is_name(name))
        else {
            return self.wrong(
                value.span(),
                field,
                "wants a name and a life, as /fleet shows them",
            );
        };
        match life.parse() {
            Ok(life) => Ok((name.into(), life)),
            Err(problem) => self.wrong(
                value.span(),
                field,
                format!("'{}' {problem}", life.escape_debug()),
            ),
        }
    }

    fn duties(&self, table: &DutiesTable) -> Result<(DutyTerms, Vec<Duty>, Zones), String> {
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
        if voters.len().is_multiple_of(2) || voters.len() > VOTERS_MOST {
            let reason = format!(
                "names {} members: 1, 3, 5 or {VOTERS_MOST} can have a majority",
                voters.len()
            );
            return self.wrong(table.voters.span(), "duties.voters", reason);
        }
        let lease = self.span(&table.lease, "duties.lease", LEASE_USUAL)?;
        if let Some(value) = table
            .lease
            .as_ref()
            .filter(|_| !(LEASE_LEAST..=LEASE_MOST).contains(&lease))
        {
            let reason = format!("'{}' is no span from 200ms to 2s", value.get_ref());
            return self.wrong(value.span(), "duties.lease", reason);
        }
        let mut duties: Vec<Duty> = Vec::new();
        for value in &table.own {
            let duty = Duty::new(&self.word(value, "duties.own")?, None);
            if duties.iter().any(|known| known.id == duty.id) || duties.len() >= DUTIES_MOST {
                let reason = format!(
                    "names '{}' twice, or more than {DUTIES_MOST} duties",
                    duty.name
                );
                return self.wrong(value.span(), "duties.own", reason);
            }
            duties.push(duty);
        }
        let mut rosters = Zones::new();
        for value in &table.roster {
            let zone: Rc<str> = self.word(value, "duties.roster")?.into();
            let duty = Duty::new(&format!("roster/{zone}"), Some(Rc::clone(&zone)));
            if duties.iter().any(|known| known.id == duty.id) {
                let reason = format!("names '{zone}' twice, or is one of duties.own");
                return self.wrong(value.span(), "duties.roster", reason);
            }
            rosters.insert(duty.id, zone);
            duties.push(duty);
        }
        Ok((DutyTerms { voters, lease }, duties, rosters))
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
        if table.seeds.len() > SEEDS_MOST {
            let reason = format!("names {} of {SEEDS_MOST} at most", table.seeds.len());
            return self.wrong(table.seeds[SEEDS_MOST].span(), "fleet.seeds", reason);
        }
        let seeds: Result<_, _> = table
            .seeds
            .iter()
            .map(|seed| self.reachable(seed, "fleet.seeds"))
            .collect();
        if table.struck.len() > STRUCK_MOST {
            let reason = format!("names {} of {STRUCK_MOST} at most", table.struck.len());
            return self.wrong(table.struck[STRUCK_MOST].span(), "fleet.struck", reason);
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
        let part = Part {
            fleet: self.word(&table.name, "fleet.name")?,
            name: named(&table.member, "fleet.member", name)?,
            zone: named(&table.zone, "fleet.zone", zone)?,
            address,
            seeds: seeds?,
            born: 0,
            probe_every: self.span(&table.probe_every, "fleet.probe_every", Part::PROBE_EVERY)?,
            answer_within: self.span(
                &table.answer_within,
                "fleet.answer_within",
                Part::ANSWER_WITHIN,
            )?,
            doubt_least: self.span(&table.doubt_least, "fleet.doubt_least", Part::DOUBT_LEAST)?,
            struck: struck?,
        };
        if part.answer_within * 2 > part.probe_every {
            let at = table.answer_within.as_ref().or(table.probe_every.as_ref());
            let at = at.map_or(table.name.span(), Spanned::span);
            let reason = "must be at most half of fleet.probe_every: there are two tries in it";
            return self.wrong(at, "fleet.answer_within", reason);
        }
        let duties = file
            .duties
            .as_ref()
            .map(|table| self.duties(table.get_ref()))
            .transpose()?;
        let (duties, rosters) = match duties {
            Some((terms, duties, rosters)) => (Some((terms, duties)), rosters),
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
                duties,
                rosters,
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
