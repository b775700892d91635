//! The tables and keys of the operator file.

use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

/// The operator file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub fleet: Spanned<FleetTable>,
    #[serde(rename = "duties")]
    pub leases: Option<Spanned<LeaseTable>>,
}

/// The table `[fleet]`: the fleet, and how its members reach one another.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTable {
    pub name: Spanned<String>,
    pub key_file: Spanned<String>,
    pub listen: Spanned<String>,
    pub advertise: Option<Spanned<String>>,
    #[serde(default)]
    pub seeds: Vec<Spanned<String>>,
    pub member: Option<Spanned<String>>,
    pub zone: Option<Spanned<String>>,
    #[serde(rename = "probe_every")]
    pub probe_interval: Option<Spanned<String>>,
    #[serde(rename = "answer_within")]
    pub probe_timeout: Option<Spanned<String>>,
    #[serde(rename = "doubt_least")]
    pub min_suspicion: Option<Spanned<String>>,
    #[serde(default, rename = "struck")]
    pub confirmed_dead: Vec<Spanned<String>>,
    #[serde(default, rename = "via")]
    pub address_overrides: BTreeMap<Spanned<String>, Spanned<String>>,
}

/// The table `[duties]`: the voters of leases, and the leases.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTable {
    pub voters: Spanned<Vec<Spanned<String>>>,
    #[serde(rename = "lease")]
    pub duration: Option<Spanned<String>>,
    /// Names of the operators' own leases.
    #[serde(default)]
    pub own: Vec<Spanned<String>>,
    /// Zones in which one member polls discovery for all members.
    #[serde(default, rename = "roster")]
    pub shared_list_zones: Vec<Spanned<String>>,
}
