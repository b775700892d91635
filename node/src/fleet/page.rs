//! `GET /fleet`: what this balancer holds of the others, and what it can't know.

use pinefront_accord::envelope::Life;
use pinefront_accord::membership::table::{Member, Standing};
use serde_json::{Value, json};

use crate::fleet::carrier::{Fleet, now};

/// A process as others may compare it.
fn life_text(life: Life) -> String {
    format!("{:x}-{:016x}", life.born, life.chance)
}

fn member(fleet_now: u64, member: &Member) -> Value {
    let record = &member.record;
    let ago = |at: u64| fleet_now.saturating_sub(at) / 1_000;
    let standing = match member.standing() {
        Standing::MayServe(why) => json!({"may_serve": why}),
        Standing::ProvenGone(proof) => json!({"proven_gone": proof}),
    };
    json!({
        "name": &*record.name, "address": record.address.to_string(), "zone": &*record.zone,
        "life": life_text(record.life),
        "incarnation": record.incarnation, "version": record.version,
        "state": record.state, "standing": standing,
        "since_ms": ago(member.since), "heard_ms": member.heard.map(ago),
        "earlier_may_serve": member.earlier.len() + member.earlier_uncounted,
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
            "life": life_text(accord.life()),
            "incarnation": accord.table.own.incarnation, "heard": accord.is_heard(), "slept": accord.slept(),
            "name_taken": accord.table.name_is_taken(),
            "present": accord.table.present().count() + 1, "may_be_serving": accord.table.may_be_serving() + 1,
            "members": members.into_iter().map(|one| member(at, one)).collect::<Vec<_>>(),
            "sent": tally.sent, "sent_bytes": tally.sent_bytes, "unsent": self.unsent, "taken": tally.taken,
            "dropped": tally.dropped,
        });
        page.to_string() + "\n"
    }
}
