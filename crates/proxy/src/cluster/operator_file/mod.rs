//! The operator file: the settings of an installation in addition to the balancer's own
//! configuration. It is a TOML file with a table for each subsystem. Unknown fields are rejected,
//! and each error contains the file, line and field.

mod error;
mod fields;
mod leases;
mod schema;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pinefront_cluster::datagram::Key;
use pinefront_cluster::leases::term::LeaseId;
use pinefront_cluster::leases::{Lease, LeaseConfig};
use pinefront_cluster::{Incarnation, MemberConfig};
use toml::Spanned;

pub use error::OperatorFileError;
use error::{FieldError, Result};
use leases::LeaseSettings;
use schema::{File, FleetTable};

#[cfg(test)]
mod tests;

/// The largest number of seeds; a file with more is probably a mistake.
const MAX_SEEDS: usize = 64;
/// The largest number of processes confirmed dead: the capacity of the member table.
const MAX_CONFIRMED_DEAD: usize = pinefront_cluster::membership::table::MAX_MEMBERS;

/// The zones of a fleet that share an endpoint list, by the lease of the list.
pub type SharedListZones = BTreeMap<LeaseId, Rc<str>>;

/// The leases of a fleet with their configuration.
#[derive(Clone)]
pub struct FleetLeases {
    /// The voters and the duration.
    pub config: LeaseConfig,
    /// The leases.
    pub leases: Vec<Lease>,
}

/// The contents of an operator file.
pub struct FleetSettings {
    /// The address to which this balancer's socket is bound.
    pub listen: SocketAddr,
    /// The configuration of this balancer as a member.
    pub member: MemberConfig,
    /// The key that all members share.
    pub key: Key,
    /// The leases, if the file contains voters.
    pub leases: Option<FleetLeases>,
    /// The zones with a shared endpoint list.
    pub shared_list_zones: SharedListZones,
    /// The addresses to send to for members that are reached at another address than the one they
    /// announce, by the announced address.
    pub address_overrides: BTreeMap<SocketAddr, SocketAddr>,
}

/// Reads an operator file. `name` and `zone` are the defaults if the file sets none.
pub fn read(path: &str, name: &str, zone: &str) -> Result<FleetSettings> {
    let text = std::fs::read_to_string(path).map_err(|source| OperatorFileError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    FileReader { path, text: &text }.settings(name, zone)
}

/// An operator file whose text has been read.
struct FileReader<'a> {
    path: &'a str,
    text: &'a str,
}

impl FileReader<'_> {
    fn settings(&self, name: &str, zone: &str) -> Result<FleetSettings> {
        let file = self.parse()?;
        let table = file.fleet.get_ref();
        let listen = self.address(&table.listen, "fleet.listen")?;
        let address = self.announced_address(table, listen)?;
        self.check_count(&table.seeds, MAX_SEEDS, "fleet.seeds")?;
        self.check_count(&table.confirmed_dead, MAX_CONFIRMED_DEAD, "fleet.struck")?;
        let address_overrides = self.address_overrides(table)?;
        let member = self.member(table, address, name, zone)?;
        self.check_timeouts(table, &member)?;
        let lease_settings = match &file.leases {
            Some(table) => self.lease_settings(table.get_ref())?,
            None => LeaseSettings::default(),
        };
        Ok(FleetSettings {
            listen,
            member,
            key: self.key(&table.key_file)?,
            leases: lease_settings.leases,
            shared_list_zones: lease_settings.shared_list_zones,
            address_overrides,
        })
    }

    fn parse(&self) -> Result<File> {
        toml::from_str(self.text).map_err(|error| {
            let at = error.span().unwrap_or(0..0);
            let line_start = self.text[..at.start.min(self.text.len())]
                .rfind('\n')
                .map_or(0, |end| end + 1);
            let line = self.text[line_start..].lines().next().unwrap_or("");
            let field = line.split('=').next().unwrap_or("").trim();
            let message = error.message().replace('\n', " ");
            self.error(at, field, FieldError::Syntax(message))
        })
    }

    fn member(
        &self,
        table: &FleetTable,
        address: SocketAddr,
        name: &str,
        zone: &str,
    ) -> Result<MemberConfig> {
        let name_or = |value: &Option<Spanned<String>>, field: &str, default: &str| {
            if let Some(value) = value {
                self.name(value, field)
            } else {
                let default = Spanned::new(table.name.span(), default.to_owned());
                self.name(&default, field)
            }
        };
        Ok(MemberConfig {
            fleet: self.name(&table.name, "fleet.name")?,
            name: name_or(&table.member, "fleet.member", name)?,
            zone: name_or(&table.zone, "fleet.zone", zone)?,
            address,
            seeds: self.seeds(table)?,
            started_at_us: 0,
            probe_interval: self.duration(
                table.probe_interval.as_ref(),
                "fleet.probe_every",
                MemberConfig::DEFAULT_PROBE_INTERVAL,
            )?,
            probe_timeout: self.duration(
                table.probe_timeout.as_ref(),
                "fleet.answer_within",
                MemberConfig::DEFAULT_PROBE_TIMEOUT,
            )?,
            min_suspicion: self.duration(
                table.min_suspicion.as_ref(),
                "fleet.doubt_least",
                MemberConfig::DEFAULT_MIN_SUSPICION,
            )?,
            confirmed_dead: self.confirmed_dead(table)?,
        })
    }

    /// Returns the address to which other members send.
    fn announced_address(&self, table: &FleetTable, listen: SocketAddr) -> Result<SocketAddr> {
        if let Some(advertise) = &table.advertise {
            return self.reachable_address(advertise, "fleet.advertise");
        }
        if listen.ip().is_unspecified() || listen.port() == 0 {
            let at = table.listen.span();
            return Err(self.error(at, "fleet.listen", FieldError::NoReachableAddress(listen)));
        }
        Ok(listen)
    }

    fn seeds(&self, table: &FleetTable) -> Result<Vec<SocketAddr>> {
        table
            .seeds
            .iter()
            .map(|seed| self.reachable_address(seed, "fleet.seeds"))
            .collect()
    }

    fn confirmed_dead(&self, table: &FleetTable) -> Result<BTreeSet<(Rc<str>, Incarnation)>> {
        table
            .confirmed_dead
            .iter()
            .map(|process| self.process(process, "fleet.struck"))
            .collect()
    }

    fn address_overrides(&self, table: &FleetTable) -> Result<BTreeMap<SocketAddr, SocketAddr>> {
        table
            .address_overrides
            .iter()
            .map(|(announced, used)| {
                let announced = self.address(announced, "fleet.via")?;
                Ok((announced, self.reachable_address(used, "fleet.via")?))
            })
            .collect()
    }

    /// Checks that a probe and its retry fit into the probe interval.
    fn check_timeouts(&self, table: &FleetTable, member: &MemberConfig) -> Result<()> {
        if member.probe_timeout * 2 <= member.probe_interval {
            return Ok(());
        }
        let named = table
            .probe_timeout
            .as_ref()
            .or(table.probe_interval.as_ref());
        let at = named.map_or(table.name.span(), Spanned::span);
        let reason = FieldError::TimeoutTooLong {
            timeout: Duration::from_micros(member.probe_timeout),
            interval: Duration::from_micros(member.probe_interval),
        };
        Err(self.error(at, "fleet.answer_within", reason))
    }
}
