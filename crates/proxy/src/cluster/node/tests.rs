use std::time::{Duration, Instant};

use calloop::EventLoop;
use pinefront_cluster::MemberConfig;
use pinefront_cluster::datagram::Key;
use pinefront_cluster::leases::{DEFAULT_LEASE_DURATION_US, Lease, LeaseConfig};

use super::*;
use crate::cluster::operator_file::FleetLeases;

/// How long a condition may take to become true.
const TIMEOUT: Duration = Duration::from_secs(20);

fn open(
    event_loop: &EventLoop<'static, ()>,
    name: &str,
    seeds: Vec<std::net::SocketAddr>,
) -> Rc<RefCell<ClusterNode>> {
    open_with(event_loop, name, seeds, false)
}

/// Opens a member. With `shared_list` zone a has a shared list, on whose lease only b0 votes.
fn open_with(
    event_loop: &EventLoop<'static, ()>,
    name: &str,
    seeds: Vec<std::net::SocketAddr>,
    shared_list: bool,
) -> Rc<RefCell<ClusterNode>> {
    let free_address = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let config = MemberConfig {
        fleet: "f".into(),
        name: name.into(),
        zone: "a".into(),
        address: free_address,
        seeds,
        started_at_us: 0,
        probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
        probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
        min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
        confirmed_dead: Default::default(),
    };
    let key = Key::new(b"0123456789abcdef").unwrap();
    let lease = Lease::new("roster/a", Some("a".into()));
    let lease_config = LeaseConfig {
        voters: vec!["b0".into()],
        duration: DEFAULT_LEASE_DURATION_US,
    };
    let shared_list_zones = shared_list
        .then(|| (lease.id, Rc::from("a")))
        .into_iter()
        .collect();
    let leases = shared_list.then(|| FleetLeases {
        config: lease_config,
        leases: vec![lease],
    });
    let settings = FleetSettings {
        listen: free_address,
        member: config,
        key,
        leases,
        shared_list_zones,
        address_overrides: Default::default(),
    };
    let log = Logger::root(slog::Discard, slog::o!());
    ClusterNode::open(&event_loop.handle(), settings, 1, &log).unwrap()
}

fn run_until(
    event_loop: &mut EventLoop<'static, ()>,
    all: &[Rc<RefCell<ClusterNode>>],
    condition: impl Fn() -> bool,
) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "timed out");
        event_loop
            .dispatch(Some(Duration::from_millis(5)), &mut ())
            .unwrap();
        all.iter().for_each(|node| node.borrow_mut().run_timers());
    }
}

/// Datagrams from a sender without the key are counted as dropped by their hash, and do not prevent
/// this.
#[test]
fn members_discover_each_other_over_udp_and_announce_leaving() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let first = open(&event_loop, "b0", Vec::new());
    let seed = first.borrow().settings.member.address;
    let second = open(&event_loop, "b1", vec![seed]);
    let unauthenticated_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    (0..50).for_each(|_| _ = unauthenticated_sender.send_to(&[7; 200], seed).unwrap());
    let all = [Rc::clone(&first), Rc::clone(&second)];
    let has_one_peer =
        |node: &Rc<RefCell<ClusterNode>>| node.borrow().cluster.table.alive().count() == 1;
    run_until(&mut event_loop, &all, || {
        has_one_peer(&first) && has_one_peer(&second)
    });
    let page = first.borrow().fleet_page();
    assert!(
        page.contains("\"member\":\"b0\"") && page.contains("\"name\":\"b1\""),
        "{page}"
    );
    second.borrow_mut().leave();
    run_until(&mut event_loop, &all[..1], || {
        first.borrow().cluster.table.count_possibly_serving() == 0
    });
    assert!(
        first
            .borrow()
            .fleet_page()
            .contains("\"proven_gone\":\"said_so\"")
    );
    assert!(first.borrow().fleet_page().contains("\"hash\":50"));
}

/// One member polls discovery. The other receives the full list and then its changes, and need not
/// poll discovery while the list is fresh.
#[test]
fn lease_holder_publishes_the_shared_list() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let first = open_with(&event_loop, "b0", Vec::new(), true);
    let seed = first.borrow().settings.member.address;
    let second = open_with(&event_loop, "b1", vec![seed], true);
    let all = [Rc::clone(&first), Rc::clone(&second)];
    let is_publishing =
        |node: &Rc<RefCell<ClusterNode>>| node.borrow().shared_lists.is_publishing();
    run_until(&mut event_loop, &all, || {
        is_publishing(&first) || is_publishing(&second)
    });
    let (publisher, subscriber) = if is_publishing(&first) {
        (&first, &second)
    } else {
        (&second, &first)
    };
    assert!(
        publisher.borrow_mut().shared_lists.take_full_list_request()
            && !subscriber
                .borrow_mut()
                .shared_lists
                .take_full_list_request()
    );
    let entry = |n: usize| {
        let note = "x".repeat(90);
        serde_json::json!({"uid": format!("s{n}"), "state": "active", "note": note})
    };
    let entries: Vec<_> = (0..40).map(entry).collect();
    let full_list = serde_json::json!({"rev": 4, "all": true, "targets": entries});
    let change = serde_json::json!({"rev": 5, "all": false, "targets": [entry(77)]});
    publisher.borrow_mut().publish_list(&full_list);
    publisher.borrow_mut().publish_list(&change);
    let received = RefCell::new(Vec::new());
    run_until(&mut event_loop, &all, || {
        received
            .borrow_mut()
            .extend(subscriber.borrow_mut().shared_lists.take_pages());
        received.borrow().len() == 2 && subscriber.borrow().list_fresh_for().is_some()
    });
    let lists: Vec<serde_json::Value> = received
        .borrow()
        .iter()
        .map(|page| serde_json::from_slice(page).unwrap())
        .collect();
    let entry_count = |list: &serde_json::Value| list["targets"].as_array().unwrap().len();
    assert_eq!(
        (
            lists[0]["rev"].as_u64(),
            entry_count(&lists[0]),
            entry_count(&lists[1])
        ),
        (Some(4), 40, 1)
    );
    assert!(publisher.borrow().list_fresh_for().is_none());
    // After a failed poll the heartbeats no longer confirm that the list is fresh, and each member
    // polls discovery itself.
    publisher.borrow_mut().record_poll_failure();
    run_until(&mut event_loop, &all, || {
        subscriber.borrow().list_fresh_for().is_none()
    });
}
