//! Records the actual history of leases in a simulation and checks it.

use pinefront_cluster::leases::term::Term;
use pinefront_cluster::leases::{LeaseEvent, LossReason};
use pinefront_model::lease_history::LeaseTerm;

use super::simulation::Simulation;

/// The largest number of violations of each kind that is reported.
const MAX_REPORTED_PER_KIND: usize = 3;

fn lease_term(term: Term) -> LeaseTerm {
    LeaseTerm {
        number: term.number,
        incarnation_id: term.incarnation_id,
    }
}

impl Simulation<'_> {
    /// Records the lease events of a process in true time.
    pub(super) fn record_lease_events(&mut self, member: usize) {
        let process = &mut self.processes[member];
        let Some(cluster) = &mut process.cluster else {
            return;
        };
        let events = cluster.take_lease_events();
        let process_number = member as u64 * 1_000 + process.start_count;
        for event in events {
            match event {
                LeaseEvent::Acquired { lease, term, .. } => {
                    self.lease_history
                        .acquired(self.now, member, &lease, lease_term(term));
                }
                LeaseEvent::Lost {
                    lease,
                    term,
                    held_until,
                    reason,
                } => {
                    let cause = match reason {
                        LossReason::Released => "let go",
                        _ => "lost",
                    };
                    let until = process.true_time(held_until);
                    self.lease_history
                        .lost(until, member, &lease, lease_term(term), cause);
                }
                LeaseEvent::CommandReceived { lease, term, .. } => {
                    let lease = format!("{lease:?}");
                    self.lease_history
                        .command_accepted(process_number, &lease, lease_term(term));
                }
                _ => {}
            }
        }
    }

    /// Ends all lease holdings at the end of the run and checks their history. A lease whose loss
    /// was not reported counts as held until it expires, since a paused process cannot report.
    pub(super) fn finish_leases(&mut self) {
        for (member, process) in self.processes.iter().enumerate() {
            let leases = process
                .cluster
                .as_ref()
                .and_then(|cluster| cluster.lease_manager());
            for held in leases
                .into_iter()
                .flat_map(pinefront_cluster::leases::LeaseManager::acquired_not_reported_lost)
            {
                let until = process.true_time(held.expires_at);
                let name = &held.lease.name;
                self.lease_history
                    .lost(until, member, name, lease_term(held.term), "open");
            }
        }
        let ends_at = self.plan.ends_at;
        let findings = self.lease_history.analyse(ends_at);
        let stale = &self.lease_history.stale_commands;
        let overlaps = findings.overlaps.iter().take(MAX_REPORTED_PER_KIND);
        self.checker.violations.extend(
            overlaps
                .chain(stale.iter().take(MAX_REPORTED_PER_KIND))
                .cloned(),
        );
        self.outcome.vacant_leases = self.lease_history.vacant_leases(ends_at).len();
        self.outcome.leases = findings;
    }
}
