//! `GET /fleet`: what this balancer holds of the others, and what it can't know.

use pinefront_cluster::membership::table::{Member, Standing, Table};
use serde_json::{Value, json};

use crate::fleet::carrier::{Fleet, now, term_text};

fn member(fleet_now: u64, table: &Table, member: &Member) -> Value {
    let record = &member.record;
    let ago = |at: u64| fleet_now.saturating_sub(at) / 1_000;
    let standing = match table.standing_of(member) {
        Standing::MayServe(why) => json!({"may_serve": why}),
        Standing::ProvenGone(proof) => json!({"proven_gone": proof}),
    };
    json!({
        "name": &*record.name, "address": record.address.to_string(), "zone": &*record.zone,
        "life": record.life.to_string(),
        "incarnation": record.incarnation, "version": record.version,
        "state": record.state, "standing": standing,
        "since_ms": ago(member.since), "heard_ms": member.heard.map(ago),
        "earlier": table.earlier_of(member).map(|earlier| earlier.life.to_string()).collect::<Vec<_>>(),
        "earlier_uncounted": member.earlier_uncounted,
    })
}

impl Fleet {
    pub fn page(&self) -> String {
        let (accord, part, at) = (&self.accord, &self.terms.part, now());
        let tally = accord.tally();
        let mut members: Vec<&Member> = accord.table.members.iter().collect();
        members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        let page = json!({
            "fleet": part.fleet, "member": part.name, "zone": part.zone, "address": part.address.to_string(),
            "life": accord.life().to_string(),
            "incarnation": accord.table.own.incarnation, "heard": accord.is_heard(), "slept": accord.slept(),
            "name_taken": accord.table.name_is_taken(), "refuted": accord.table.refuted,
            "present": accord.table.present().count() + 1, "may_be_serving": accord.table.may_be_serving() + 1,
            "members": members.into_iter().map(|one| member(at, &accord.table, one)).collect::<Vec<_>>(),
            "sent": tally.sent, "sent_bytes": tally.sent_bytes, "unsent": self.unsent, "taken": tally.taken,
            "dropped": tally.dropped, "duties": self.duties_page(),
        });
        page.to_string() + "\n"
    }

    /// Each duty: whether it is held here, by which term, and who is known to hold it.
    fn duties_page(&self) -> Value {
        let (Some(duties), Some((terms, _))) = (self.accord.duties(), &self.terms.duties) else {
            return Value::Null;
        };
        let table = &self.accord.table;
        let own = self.accord.life();
        let holder = |life: u64| match life == own.chance {
            true => Some(&*self.terms.part.name),
            false => {
                let mut members = table.members.iter();
                members
                    .find(|member| member.record.life.chance == life)
                    .map(|member| &*member.record.name)
            }
        };
        let one = |name: &str| {
            let state = self.duty(name)?;
            let term = state.held.map(|held| held.0).or(state.known);
            Some(json!({
                "name": name, "held": state.held.is_some(), "term": term.map(term_text),
                "held_for_ms": state.held.map(|held| held.1 / 1_000),
                "left_ms": state.held.map(|held| held.2 / 1_000),
                "last_holder": term.and_then(|term| holder(term.life)),
            }))
        };
        json!({
            "voters": terms.voters.iter().map(|voter| &**voter).collect::<Vec<_>>(),
            "lease_ms": terms.lease / 1_000, "majority": duties.has_majority(),
            "roster": self.roster_page(),
            "silent_voter": duties.is_silent_voter(now()), "old_acts_refused": duties.old_refused,
            "all": duties.wanted().filter_map(|duty| one(&duty.name)).collect::<Vec<_>>(),
        })
    }

    /// Whether this balancer asks discovery for others, or is told what it says, and how old that is.
    fn roster_page(&self) -> Value {
        let (rosters, at) = (&self.rosters, now());
        json!({
            "tells": rosters.tells(), "told": rosters.fed_until(at).is_some(),
            "page": rosters.reader().page(), "age_ms": rosters.reader().age(at).map(|age| age / 1_000),
        })
    }

    /// `GET /duty/NAME`: 200 where it is held here, 409 where not, 404 where no file names it.
    pub fn duty_page(&self, name: &str) -> (u16, String) {
        let Some(state) = self.duty(name) else {
            return (404, "no such duty\n".into());
        };
        let page = match state.held {
            Some((term, _, left)) => {
                json!({"duty": name, "held": true, "term": term_text(term), "left_ms": left / 1_000})
            }
            None => json!({"duty": name, "held": false, "term": state.known.map(term_text)}),
        };
        (
            if state.held.is_some() { 200 } else { 409 },
            page.to_string() + "\n",
        )
    }
}

#[cfg(test)]
mod tests;
