//! The pages `GET /fleet` and `GET /duty/NAME` equal the recorded ones. The process's own address
//! and incarnation are masked, as are the values that depend on the clock, by their keys.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use pinefront_cluster::datagram::{Datagram, DropReason, Key, seal};
use pinefront_cluster::leases::{Lease, LeaseConfig};
use pinefront_cluster::membership::member::{MayServeReason, StopProof};
use pinefront_cluster::messages::{MemberRecord, MemberState, Message};
use pinefront_cluster::{Incarnation, MemberConfig};
use slog::Logger;

use super::*;
use crate::cluster::operator_file::{FleetLeases, FleetSettings};

const KEY: &[u8] = b"0123456789abcdef";
/// The keys of values that depend on the clock or on random choices.
const MASKED: [&str; 8] = [
    "since_ms",
    "heard_ms",
    "held_for_ms",
    "left_ms",
    "sent",
    "sent_bytes",
    "term",
    "unsent",
];

/// Opens a fleet with one member on a free port. With leases, the member is the only voter.
fn open(event_loop: &EventLoop<'static, ()>, with_leases: bool) -> Rc<RefCell<ClusterNode>> {
    let free_address = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let confirmed_dead = [(Rc::from("b4"), incarnation(4))].into_iter().collect();
    let config = MemberConfig {
        fleet: "shop".into(),
        name: "b0".into(),
        zone: "a".into(),
        address: free_address,
        seeds: Vec::new(),
        started_at_us: 0,
        probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
        probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
        min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
        confirmed_dead,
    };
    let shared_list = Lease::new("roster/a", Some("a".into()));
    let leases = vec![shared_list.clone(), Lease::new("nightly", None)];
    let lease_config = LeaseConfig {
        voters: vec!["b0".into()],
        duration: 1_500_000,
    };
    let settings = FleetSettings {
        listen: free_address,
        member: config,
        key: Key::new(KEY).unwrap(),
        leases: with_leases.then_some(FleetLeases {
            config: lease_config,
            leases,
        }),
        shared_list_zones: with_leases
            .then(|| (shared_list.id, Rc::from("a")))
            .into_iter()
            .collect(),
        address_overrides: Default::default(),
    };
    let log = Logger::root(slog::Discard, slog::o!());
    ClusterNode::open(&event_loop.handle(), settings, 1, &log).unwrap()
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation {
        started_at_us: 1_700_000_000_000_000 + number,
        random_id: 0xabc0 + number,
    }
}

fn record(number: u64, state: MemberState) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16));
    let own =
        MemberRecord::for_new_process(&format!("b{number}"), "z", address, incarnation(number));
    MemberRecord { state, ..own }
}

/// Replaces the values of masked keys and the process's own address and incarnation.
fn masked(fleet: &ClusterNode, text: &str) -> String {
    let own = fleet.cluster.incarnation();
    let mut text = text
        .replace(&fleet.settings.member.address.to_string(), "OWN-ADDRESS")
        .replace(&own.to_string(), "OWN-LIFE")
        .replace(&format!(":{}", own.started_at_us), ":OWN-BORN");
    for key in MASKED {
        let key = format!("\"{key}\":");
        let parts: Vec<&str> = text.split(&key).collect();
        let rest = parts[1..].iter().map(|part| {
            let end = part.find([',', '}']).unwrap();
            match &part[..end] {
                "null" => format!("{key}{part}"),
                _ => format!("{key}MASKED{}", &part[end..]),
            }
        });
        text = [parts[0].to_owned()].into_iter().chain(rest).collect();
    }
    text
}

fn datagram(key: &[u8], fleet: &str, sender: u64, counter: u64) -> Vec<u8> {
    let datagram = Datagram {
        fleet: fleet.into(),
        sender: format!("b{sender}"),
        incarnation: incarnation(sender),
        refutation_counter: incarnation(sender).started_at_us,
        sequence_number: counter,
        message: Message::Gossip,
        records: vec![record(sender, MemberState::Alive)],
    };
    seal(&Key::new(key).unwrap(), &datagram).unwrap()
}

#[test]
fn fleet_page_with_members_of_each_serving_status_is_as_recorded() {
    let event_loop = EventLoop::try_new().unwrap();
    let fleet = open(&event_loop, false);
    let mut fleet = fleet.borrow_mut();
    let at = now();
    for (number, state) in [
        (1, MemberState::Alive),
        (2, MemberState::Suspected),
        (3, MemberState::Dead),
        (4, MemberState::Dead),
        (5, MemberState::Left),
        (6, MemberState::Alive),
    ] {
        fleet.cluster.table.merge(at, &record(number, state));
    }
    // There is a later process of b6 at another address, so the earlier one may still serve.
    let mut later_process = record(6, MemberState::Alive);
    later_process.incarnation.started_at_us += 1;
    later_process.refutation_counter += 1;
    later_process.address.set_port(9_106);
    fleet.cluster.table.merge(at, &later_process);
    fleet
        .cluster
        .receive(at, &datagram(b"another key of length", "shop", 1, 1));
    fleet.cluster.receive(at, &datagram(KEY, "other", 1, 1));
    fleet.cluster.receive(at, &datagram(KEY, "shop", 1, 1));
    fleet.cluster.receive(at, &datagram(KEY, "shop", 1, 1));
    fleet.cluster.receive(at, &[0; 5]);
    let page = masked(&fleet, &fleet.fleet_page());
    assert_eq!(page, include_str!("../recorded/fleet.json"));
}

#[test]
fn lease_pages_are_as_recorded_before_and_while_the_lease_is_held() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let fleet = open(&event_loop, true);
    let page = |name: &str| {
        let (status, text) = fleet.borrow().lease_page(name);
        format!("{status} {}", masked(&fleet.borrow(), &text))
    };
    let before = page("nightly") + &page("unknown");
    assert_eq!(before, include_str!("../recorded/duty-before.txt"));
    let started_at = Instant::now();
    while fleet
        .borrow()
        .cluster
        .lease_manager()
        .unwrap()
        .held(now())
        .count()
        < 2
    {
        assert!(started_at.elapsed() < Duration::from_secs(20), "never held");
        event_loop
            .dispatch(Some(Duration::from_millis(5)), &mut ())
            .unwrap();
        fleet.borrow_mut().run_timers();
    }
    assert_eq!(page("nightly"), include_str!("../recorded/duty-held.txt"));
    let fleet_page = masked(&fleet.borrow(), &fleet.borrow().fleet_page());
    assert_eq!(fleet_page, include_str!("../recorded/fleet-duties.json"));
}

#[test]
fn serialized_states_and_reasons_are_as_recorded() {
    let drop_reasons = [
        DropReason::Size,
        DropReason::Hash,
        DropReason::Version,
        DropReason::Malformed,
        DropReason::ForeignFleet,
        DropReason::Replayed,
        DropReason::OldIncarnation,
        DropReason::TableFull,
        DropReason::OwnDatagram,
    ];
    let states = [
        MemberState::Alive,
        MemberState::Suspected,
        MemberState::Dead,
        MemberState::Left,
    ];
    let may_serve_reasons = [
        MayServeReason::Alive,
        MayServeReason::Suspected,
        MayServeReason::Unresponsive,
        MayServeReason::Superseded,
    ];
    let proofs = [StopProof::Announced, StopProof::ConfirmedDead];
    let text = serde_json::to_string(&json!([drop_reasons, states, may_serve_reasons, proofs]))
        .unwrap()
        + "\n";
    assert_eq!(text, include_str!("../recorded/words.json"));
}
