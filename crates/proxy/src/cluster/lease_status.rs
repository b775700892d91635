//! The state of a lease, for whoever acts in its name.

use pinefront_cluster::Micros;
use pinefront_cluster::leases::term::Term;

use super::node::{ClusterNode, now};

/// A lease that this process holds.
pub struct HeldLeaseStatus {
    /// The term under which it is held.
    pub term: Term,
    /// How long it has been held.
    pub held_for: Micros,
    /// How long it may still be acted on.
    pub remaining: Micros,
}

/// The state of a lease as far as this process knows.
pub struct LeaseStatus {
    /// Where this process holds it.
    pub held: Option<HeldLeaseStatus>,
    /// The greatest known term.
    pub greatest_known_term: Option<Term>,
}

impl ClusterNode {
    /// The state of a lease; nothing where the operator file names none of that name.
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

/// The text of a term. Texts compare as the terms do.
pub fn format_term(term: Term) -> String {
    format!("{:016x}-{:016x}", term.number, term.incarnation_id)
}
