//! `GET /fleet`: what this balancer holds of the others, and what it can't know.

use pinefront_cluster::membership::member::{Member, ServingStatus};
use pinefront_cluster::membership::table::MemberTable;
use serde_json::{Value, json};

use crate::fleet::carrier::{Fleet, format_term, now};

fn member(fleet_now: u64, table: &MemberTable, member: &Member) -> Value {
    let record = &member.record;
    let ago = |at: u64| fleet_now.saturating_sub(at) / 1_000;
    let serving_status = match table.serving_status_of(member) {
        ServingStatus::MayServe(reason) => json!({"may_serve": reason}),
        ServingStatus::ProvenStopped(proof) => json!({"proven_gone": proof}),
    };
    json!({
        "name": &*record.name, "address": record.address.to_string(), "zone": &*record.zone,
        "life": record.incarnation.to_string(),
        "incarnation": record.refutation_counter, "version": record.version,
        "state": record.state, "standing": serving_status,
        "since_ms": ago(member.since), "heard_ms": member.last_received_at.map(ago),
        "earlier": table.earlier_of(member).map(|earlier| earlier.incarnation.to_string()).collect::<Vec<_>>(),
        "earlier_uncounted": member.earlier_uncounted,
    })
}

impl Fleet {
    pub fn page(&self) -> String {
        let (cluster, part, at) = (&self.cluster, &self.terms.part, now());
        let traffic = cluster.traffic();
        let mut members: Vec<&Member> = cluster.table.members.iter().collect();
        members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        let page = json!({
            "fleet": part.fleet, "member": part.name, "zone": part.zone, "address": part.address.to_string(),
            "life": cluster.incarnation().to_string(),
            "incarnation": cluster.table.own.refutation_counter, "heard": cluster.is_reachable(), "slept": cluster.pause_count(),
            "name_taken": cluster.table.has_name_conflict(), "refuted": cluster.table.refutations,
            "present": cluster.table.alive().count() + 1, "may_be_serving": cluster.table.count_may_serve() + 1,
            "members": members.into_iter().map(|one| member(at, &cluster.table, one)).collect::<Vec<_>>(),
            "sent": traffic.sent, "sent_bytes": traffic.sent_bytes, "unsent": self.unsent, "taken": traffic.accepted,
            "dropped": traffic.dropped, "duties": self.leases_page(),
        });
        page.to_string() + "\n"
    }

    /// Each duty: whether it is held here, by which term, and who is known to hold it.
    fn leases_page(&self) -> Value {
        let (Some(leases), Some((terms, _))) = (self.cluster.leases(), &self.terms.leases) else {
            return Value::Null;
        };
        let table = &self.cluster.table;
        let own = self.cluster.incarnation();
        let holder = |incarnation: u64| match incarnation == own.random_id {
            true => Some(&*self.terms.part.name),
            false => {
                let mut members = table.members.iter();
                members
                    .find(|member| member.record.incarnation.random_id == incarnation)
                    .map(|member| &*member.record.name)
            }
        };
        let one = |name: &str| {
            let state = self.lease(name)?;
            let term = state
                .held
                .as_ref()
                .map(|held| held.term)
                .or(state.known_term);
            Some(json!({
                "name": name, "held": state.held.is_some(), "term": term.map(format_term),
                "held_for_ms": state.held.as_ref().map(|held| held.held_for / 1_000),
                "left_ms": state.held.as_ref().map(|held| held.remaining / 1_000),
                "last_holder": term.and_then(|term| holder(term.incarnation_id)),
            }))
        };
        json!({
            "voters": terms.voters.iter().map(|voter| &**voter).collect::<Vec<_>>(),
            "lease_ms": terms.duration / 1_000, "majority": leases.has_quorum(),
            "roster": self.shared_list_page(),
            "silent_voter": leases.is_silent_voter(now()), "old_acts_refused": leases.stale_commands(),
            "all": leases.tracked().filter_map(|lease| one(&lease.name)).collect::<Vec<_>>(),
        })
    }

    /// Whether this balancer asks discovery for others, or is told what it says, and how old that is.
    fn shared_list_page(&self) -> Value {
        let (shared_lists, at) = (&self.shared_lists, now());
        json!({
            "tells": shared_lists.is_publishing(), "told": shared_lists.fresh_until(at).is_some(),
            "page": shared_lists.subscriber().applied_page(), "age_ms": shared_lists.subscriber().age(at).map(|age| age / 1_000),
        })
    }

    /// `GET /duty/NAME`: 200 where it is held here, 409 where not, 404 where no file names it.
    pub fn lease_page(&self, name: &str) -> (u16, String) {
        let Some(state) = self.lease(name) else {
            return (404, "no such duty\n".into());
        };
        let page = match &state.held {
            Some(held) => {
                json!({"duty": name, "held": true, "term": format_term(held.term), "left_ms": held.remaining / 1_000})
            }
            None => json!({"duty": name, "held": false, "term": state.known_term.map(format_term)}),
        };
        (
            if state.held.is_some() { 200 } else { 409 },
            page.to_string() + "\n",
        )
    }
}

#[cfg(test)]
mod tests;
