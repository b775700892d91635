//! The table `[duties]` of the operator file.

use std::rc::Rc;

use pinefront_cluster::Micros;
use pinefront_cluster::leases::{
    DEFAULT_LEASE_DURATION_US, Lease, LeaseConfig, MAX_LEASE_DURATION_US, MAX_LEASES, MAX_VOTERS,
    MIN_LEASE_DURATION_US,
};
use toml::Spanned;

use super::error::{FieldError, Result};
use super::schema::LeaseTable;
use super::{FileReader, FleetLeases, SharedListZones};

/// The contents of the table; empty if the file has no such table.
#[derive(Default)]
pub struct LeaseSettings {
    pub leases: Option<FleetLeases>,
    pub shared_list_zones: SharedListZones,
}

impl FileReader<'_> {
    pub(super) fn lease_settings(&self, table: &LeaseTable) -> Result<LeaseSettings> {
        let config = LeaseConfig {
            voters: self.voters(&table.voters)?,
            duration: self.lease_duration(table.duration.as_ref())?,
        };
        let mut leases = self.own_leases(&table.own)?;
        let mut shared_list_zones = SharedListZones::new();
        for value in &table.shared_list_zones {
            let zone: Rc<str> = self.name(value, "duties.roster")?.into();
            let lease = Lease::new(&format!("roster/{zone}"), Some(Rc::clone(&zone)));
            if leases.iter().any(|known| known.id == lease.id) {
                let reason = FieldError::DuplicateZone(zone.to_string());
                return Err(self.error(value.span(), "duties.roster", reason));
            }
            shared_list_zones.insert(lease.id, zone);
            leases.push(lease);
        }
        Ok(LeaseSettings {
            leases: Some(FleetLeases { config, leases }),
            shared_list_zones,
        })
    }

    fn voters(&self, values: &Spanned<Vec<Spanned<String>>>) -> Result<Vec<Rc<str>>> {
        let field = "duties.voters";
        let mut voters: Vec<Rc<str>> = Vec::new();
        for value in values.get_ref() {
            let voter: Rc<str> = self.name(value, field)?.into();
            if voters.contains(&voter) {
                let reason = FieldError::DuplicateVoter(voter.to_string());
                return Err(self.error(value.span(), field, reason));
            }
            voters.push(voter);
        }
        if voters.len().is_multiple_of(2) || voters.len() > MAX_VOTERS {
            let reason = FieldError::VoterCount(voters.len());
            return Err(self.error(values.span(), field, reason));
        }
        Ok(voters)
    }

    fn lease_duration(&self, value: Option<&Spanned<String>>) -> Result<Micros> {
        let field = "duties.lease";
        let duration = self.duration(value, field, DEFAULT_LEASE_DURATION_US)?;
        match value {
            Some(value) if !(MIN_LEASE_DURATION_US..=MAX_LEASE_DURATION_US).contains(&duration) => {
                let reason = FieldError::InvalidLeaseDuration(value.get_ref().clone());
                Err(self.error(value.span(), field, reason))
            }
            _ => Ok(duration),
        }
    }

    fn own_leases(&self, values: &[Spanned<String>]) -> Result<Vec<Lease>> {
        let field = "duties.own";
        let mut leases: Vec<Lease> = Vec::new();
        for value in values {
            let lease = Lease::new(&self.name(value, field)?, None);
            let is_duplicate = leases.iter().any(|known| known.id == lease.id);
            if is_duplicate || leases.len() >= MAX_LEASES {
                let reason = FieldError::DuplicateLease(lease.name.to_string());
                return Err(self.error(value.span(), field, reason));
            }
            leases.push(lease);
        }
        Ok(leases)
    }
}
