//! Tests of gossip and the load ledger.

use super::load_probing::probing_balancer;
use proptest::prelude::*;

use super::*;
use crate::gossip_message::{GossipMessage, PeerOutcome};
use crate::state::idle_drops::IdleDrops;

#[rstest]
fn ledger_counts_reported_attempts_and_expires_lost_ones() {
    let (mut balancer, recorder) = probing_balancer(Idempotency::Idempotent, false);
    let gossip_id = balancer.endpoints[1].gossip_id();
    (0..3).for_each(|from| balancer.gossip_received(START_AT, from, &format!("+ {gossip_id:x}")));
    balancer.gossip_received(START_AT + 100 * MS, 2, &format!("- {gossip_id:x} 0 1"));
    balancer.gossip_received(START_AT + 100 * MS, 9, &format!("? {gossip_id:x}"));
    assert_eq!(recorder.count(&format!("gossip 9 = {gossip_id:x} 2 0")), 1);
    assert_eq!(
        balancer.endpoints[1].refresh_from_ledger(START_AT + 10_000 * MS),
        0
    );
}

#[rstest]
#[case("")]
#[case("=")]
#[case("= zz 0 1")]
#[case("! 1 0 1")]
#[case("- 1 ffffffffffffffff 1")]
#[case("~")]
fn malformed_message_is_ignored(#[case] message: &str) {
    let (mut balancer, recorder) = probing_balancer(Idempotency::Idempotent, false);
    balancer.gossip_received(START_AT, 0, message);
    assert_eq!(
        (balancer.idle_drops, recorder.count("gossip")),
        (IdleDrops::default(), 0)
    );
}

#[rstest]
#[case("=", "7 0")]
fn only_the_ledger_owner_reports_the_load(#[case] kind: &str, #[case] values: &str) {
    let (mut balancer, _) = probing_balancer(Idempotency::Idempotent, false);
    let (ledger_owner, gossip_id) = (balancer.ledger_owner(2), balancer.endpoints[2].gossip_id());
    let reported = |balancer: &Balancer<RecordingHost>| balancer.endpoints[2].reported_in_flight;
    balancer.gossip_received(
        START_AT,
        ledger_owner + 1,
        &format!("{kind} {gossip_id:x} {values}"),
    );
    assert_eq!(reported(&balancer), None);
    balancer.gossip_received(
        START_AT,
        ledger_owner,
        &format!("{kind} {gossip_id:x} {values}"),
    );
    assert_ne!(reported(&balancer), None);
}

#[rstest]
fn no_gossip_is_sent_if_it_is_not_allowed() {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 4);
    balancer.settings.balancers = 1;
    for n in 0..20 {
        let mut sent = request(&[1], true);
        (sent.attempts[0].in_flight, sent.attempts[0].idle_for) = (true, Some(5_000 * MS));
        balancer.record_attempt_end(
            START_AT + n * MS,
            &mut sent,
            attempt_end(0, false, AttemptOutcome::ConnectionLost, 1),
        );
    }
    assert_eq!(recorder.count("gossip"), 0);
}

proptest! {
    #[test]
    fn parsed_message_equals_the_sent_one(
        endpoint in any::<u64>(),
        number in any::<u64>(),
        class in 0usize..9,
    ) {
        let outcomes = [PeerOutcome::Neutral, PeerOutcome::Succeeded, PeerOutcome::Failed];
        let outcome = outcomes[class % 3];
        for message in [
            GossipMessage::AttemptStarted { endpoint },
            GossipMessage::AttemptEnded { endpoint, class, outcome },
            GossipMessage::LoadRequest { endpoint },
            GossipMessage::LoadReport { endpoint, in_flight: number, failure_percent: endpoint },
            GossipMessage::IdleDrops { idle_for: number },
        ] {
            prop_assert_eq!(GossipMessage::parse(&message.to_text()), Some(message));
            prop_assert!(message.to_text().len() <= 256);
        }
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,40}") {
        _ = GossipMessage::parse(&text);
    }
}
