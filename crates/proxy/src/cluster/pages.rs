//! The pages `GET /fleet` and `GET /duty/NAME`.

use pinefront_cluster::leases::LeaseManager;
use pinefront_cluster::membership::member::{Member, ServingStatus};
use pinefront_cluster::membership::table::MemberTable;
use serde_json::{Value, json};

use super::lease_status::format_term;
use super::node::{ClusterNode, now};
use super::operator_file::FleetLeases;

#[cfg(test)]
mod tests;

fn milliseconds(micros: u64) -> u64 {
    micros / 1_000
}

fn member_json(now: u64, table: &MemberTable, member: &Member) -> Value {
    let record = &member.record;
    let elapsed_ms = |since: u64| milliseconds(now.saturating_sub(since));
    let standing = match table.serving_status_of(member) {
        ServingStatus::MayServe(reason) => json!({"may_serve": reason}),
        ServingStatus::ProvenStopped(proof) => json!({"proven_gone": proof}),
    };
    let earlier: Vec<String> = table
        .possibly_serving_earlier(member)
        .map(|earlier| earlier.incarnation.to_string())
        .collect();
    json!({
        "name": &*record.name,
        "address": record.address.to_string(),
        "zone": &*record.zone,
        "life": record.incarnation.to_string(),
        "incarnation": record.refutation_counter,
        "version": record.version,
        "state": record.state,
        "standing": standing,
        "since_ms": elapsed_ms(member.state_since),
        "heard_ms": member.last_received_at.map(elapsed_ms),
        "earlier": earlier,
        "earlier_uncounted": member.unlisted_earlier_count,
    })
}

impl ClusterNode {
    /// The body of `GET /fleet`: the members and leases in the view of this balancer.
    pub fn fleet_page(&self) -> String {
        let now = now();
        let cluster = &self.cluster;
        let table = &cluster.table;
        let config = &self.settings.member;
        let traffic = cluster.traffic();
        let mut members: Vec<&Member> = table.members.iter().collect();
        members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        let members: Vec<Value> = members
            .into_iter()
            .map(|member| member_json(now, table, member))
            .collect();
        let page = json!({
            "fleet": config.fleet,
            "member": config.name,
            "zone": config.zone,
            "address": config.address.to_string(),
            "life": cluster.incarnation().to_string(),
            "incarnation": table.own_record.refutation_counter,
            "heard": cluster.is_reachable(),
            "slept": cluster.pause_count(),
            "name_taken": table.has_name_conflict(),
            "refuted": table.refutations,
            "present": table.alive().count() + 1,
            "may_be_serving": table.count_possibly_serving() + 1,
            "members": members,
            "sent": traffic.sent,
            "sent_bytes": traffic.sent_bytes,
            "unsent": self.send_failures,
            "taken": traffic.accepted,
            "dropped": traffic.dropped,
            "duties": self.leases_json(),
        });
        page.to_string() + "\n"
    }

    fn leases_json(&self) -> Value {
        match (self.cluster.lease_manager(), &self.settings.leases) {
            (Some(leases), Some(settings)) => self.active_leases_json(leases, settings),
            _ => Value::Null,
        }
    }

    fn active_leases_json(&self, leases: &LeaseManager, settings: &FleetLeases) -> Value {
        let voters: Vec<&str> = settings
            .config
            .voters
            .iter()
            .map(|voter| &**voter)
            .collect();
        let all: Vec<Value> = leases
            .tracked()
            .filter_map(|lease| self.lease_json(&lease.name))
            .collect();
        json!({
            "voters": voters,
            "lease_ms": milliseconds(settings.config.duration),
            "majority": leases.has_quorum(),
            "roster": self.shared_list_json(),
            "silent_voter": leases.is_voter_in_startup_wait(now()),
            "old_acts_refused": leases.stale_command_count(),
            "all": all,
        })
    }

    /// Returns the state of a lease: whether this balancer holds it, and the last known holder.
    fn lease_json(&self, name: &str) -> Option<Value> {
        let status = self.lease_status(name)?;
        let held = status.held.as_ref();
        let term = held.map(|held| held.term).or(status.greatest_known_term);
        Some(json!({
            "name": name,
            "held": held.is_some(),
            "term": term.map(format_term),
            "held_for_ms": held.map(|held| milliseconds(held.held_for)),
            "left_ms": held.map(|held| milliseconds(held.remaining)),
            "last_holder": term.and_then(|term| self.member_of_process(term.incarnation_id)),
        }))
    }

    /// Returns the name of the member whose current process has the given random identifier.
    fn member_of_process(&self, random_id: u64) -> Option<&str> {
        if self.cluster.incarnation().random_id == random_id {
            return Some(&self.settings.member.name);
        }
        let mut members = self.cluster.table.members.iter();
        members
            .find(|member| member.record.incarnation.random_id == random_id)
            .map(|member| &*member.record.name)
    }

    /// Returns whether this balancer publishes or receives the shared list, and the age of the
    /// list.
    fn shared_list_json(&self) -> Value {
        let now = now();
        let subscriber = self.shared_lists.subscriber();
        json!({
            "tells": self.shared_lists.is_publishing(),
            "told": self.shared_lists.fresh_until(now).is_some(),
            "page": subscriber.applied_page(),
            "age_ms": subscriber.age(now).map(milliseconds),
        })
    }

    /// Returns the status and body of `GET /duty/NAME`: 200 if this balancer holds the lease, 409
    /// if it does not, 404 if the operator file contains no such lease.
    pub fn lease_page(&self, name: &str) -> (u16, String) {
        let Some(status) = self.lease_status(name) else {
            return (404, "no such duty\n".into());
        };
        let (code, page) = match &status.held {
            Some(held) => (
                200,
                json!({
                    "duty": name,
                    "held": true,
                    "term": format_term(held.term),
                    "left_ms": milliseconds(held.remaining),
                }),
            ),
            None => (
                409,
                json!({
                    "duty": name,
                    "held": false,
                    "term": status.greatest_known_term.map(format_term),
                }),
            ),
        };
        (code, page.to_string() + "\n")
    }
}
