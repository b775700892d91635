use std::time::{Duration, Instant};

use calloop::EventLoop;
use pinefront_cluster::MemberConfig;
use pinefront_cluster::datagram::Key;
use pinefront_cluster::leases::{DEFAULT_LEASE_DURATION_US, Lease, LeaseConfig};

use super::*;
use crate::cluster::operator_file::FleetLeases;

const LONG: Duration = Duration::from_secs(20);

fn open(
    event_loop: &EventLoop<'static, ()>,
    name: &str,
    seeds: Vec<std::net::SocketAddr>,
) -> Rc<RefCell<ClusterNode>> {
    open_with(event_loop, name, seeds, false)
}

/// Opens a member, with a shared list of zone a where wanted, on whose lease b0 alone votes.
fn open_with(
    event_loop: &EventLoop<'static, ()>,
    name: &str,
    seeds: Vec<std::net::SocketAddr>,
    shared_list: bool,
) -> Rc<RefCell<ClusterNode>> {
    let free = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let config = MemberConfig {
        fleet: "f".into(),
        name: name.into(),
        zone: "a".into(),
        address: free,
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
        listen: free,
        member: config,
        key,
        leases,
        shared_list_zones,
        address_overrides: Default::default(),
    };
    let log = Logger::root(slog::Discard, slog::o!());
    ClusterNode::open(&event_loop.handle(), settings, 1, &log).unwrap()
}

fn until(
    event_loop: &mut EventLoop<'static, ()>,
    all: &[Rc<RefCell<ClusterNode>>],
    seen: impl Fn() -> bool,
) {
    let began = Instant::now();
    while !seen() {
        assert!(began.elapsed() < LONG, "it never came");
        event_loop
            .dispatch(Some(Duration::from_millis(5)), &mut ())
            .unwrap();
        all.iter().for_each(|fleet| fleet.borrow_mut().run_timers());
    }
}

/// Also while a stranger sends: each of its datagrams costs a hash, and is counted.
#[test]
fn members_discover_each_other_by_their_sockets_and_announce_leaving() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let first = open(&event_loop, "b0", Vec::new());
    let seed = first.borrow().settings.member.address;
    let second = open(&event_loop, "b1", vec![seed]);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    (0..50).for_each(|_| _ = stranger.send_to(&[7; 200], seed).unwrap());
    let all = [Rc::clone(&first), Rc::clone(&second)];
    let knows = |one: &Rc<RefCell<ClusterNode>>| one.borrow().cluster.table.alive().count() == 1;
    until(&mut event_loop, &all, || knows(&first) && knows(&second));
    let page = first.borrow().fleet_page();
    assert!(
        page.contains("\"member\":\"b0\"") && page.contains("\"name\":\"b1\""),
        "{page}"
    );
    second.borrow_mut().leave();
    until(&mut event_loop, &all[..1], || {
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

/// One member follows discovery; the other receives the full list and then its changes, and polls
/// nothing meanwhile.
#[test]
fn lease_holder_publishes_the_shared_list() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let first = open_with(&event_loop, "b0", Vec::new(), true);
    let seed = first.borrow().settings.member.address;
    let second = open_with(&event_loop, "b1", vec![seed], true);
    let all = [Rc::clone(&first), Rc::clone(&second)];
    let is_publishing = |one: &Rc<RefCell<ClusterNode>>| one.borrow().shared_lists.is_publishing();
    until(&mut event_loop, &all, || {
        is_publishing(&first) || is_publishing(&second)
    });
    let (holder, reader) = if is_publishing(&first) {
        (&first, &second)
    } else {
        (&second, &first)
    };
    assert!(
        holder.borrow_mut().shared_lists.take_full_list_request()
            && !reader.borrow_mut().shared_lists.take_full_list_request()
    );
    let entry = |n: usize| serde_json::json!({"uid": format!("s{n}"), "state": "active", "note": "x".repeat(90)});
    let whole = serde_json::json!({"rev": 4, "all": true, "targets": (0..40).map(entry).collect::<Vec<_>>()});
    let change = serde_json::json!({"rev": 5, "all": false, "targets": [entry(77)]});
    holder.borrow_mut().publish_list(&whole);
    holder.borrow_mut().publish_list(&change);
    let taken = RefCell::new(Vec::new());
    until(&mut event_loop, &all, || {
        taken
            .borrow_mut()
            .extend(reader.borrow_mut().shared_lists.take_pages());
        taken.borrow().len() == 2 && reader.borrow().list_fresh_for().is_some()
    });
    let lists: Vec<serde_json::Value> = taken
        .borrow()
        .iter()
        .map(|page| serde_json::from_slice(page).unwrap())
        .collect();
    let named = |list: &serde_json::Value| list["targets"].as_array().unwrap().len();
    assert_eq!(
        (lists[0]["rev"].as_u64(), named(&lists[0]), named(&lists[1])),
        (Some(4), 40, 1)
    );
    assert!(holder.borrow().list_fresh_for().is_none());
    // A failed poll: heartbeats no longer say that the list is fresh, and each member polls itself.
    holder.borrow_mut().record_poll_failure();
    until(&mut event_loop, &all, || {
        reader.borrow().list_fresh_for().is_none()
    });
}
