//! The state of a lease, for code that acts under it.

use pinefront_cluster::Micros;
use pinefront_cluster::leases::term::Term;

use super::node::{ClusterNode, now};

/// A lease that this process holds.
pub struct HeldLeaseStatus {
    /// The term under which the lease is held.
    pub term: Term,
    /// How long the lease has been held.
    pub held_for: Micros,
    /// How long the process may still act under the lease without a renewal.
    pub remaining: Micros,
}

/// The state of a lease in the view of this process.
pub struct LeaseStatus {
    /// The held lease, if this process holds it.
    pub held: Option<HeldLeaseStatus>,
    /// The greatest known term of the lease.
    pub greatest_known_term: Option<Term>,
}

impl ClusterNode {
    /// Returns the state of a lease, or `None` if the operator file contains no lease with this
    /// name.
    pub fn lease_status(&self, name: &str) -> Option<LeaseStatus> {
        let leases = self.cluster.lease_manager()?;
        let at = now();
        let lease = leases.tracked().find(|lease| *lease.name == *name)?;
        let held = leases.held(at).find(|held| held.lease.id == lease.id);
        Some(LeaseStatus {
            held: held.map(|held| HeldLeaseStatus {
                term: held.term,
                held_for: at.saturating_sub(held.acquired_at),
                remaining: held.expires_at - at,
            }),
            greatest_known_term: leases.greatest_known_term(lease.id),
        })
    }
}

/// Formats a term. The texts of terms have the same order as the terms.
pub fn format_term(term: Term) -> String {
    format!("{:016x}-{:016x}", term.number, term.incarnation_id)
}
