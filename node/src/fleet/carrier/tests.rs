use std::time::{Duration, Instant};

use calloop::EventLoop;
use pinefront_accord::Part;
use pinefront_accord::envelope::Key;

use super::*;

const LONG: Duration = Duration::from_secs(20);

fn open(
    event_loop: &EventLoop<'static, ()>, name: &str, seeds: Vec<std::net::SocketAddr>,
) -> Rc<RefCell<Fleet>> {
    let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let part = Part {
        fleet: "f".into(),
        name: name.into(),
        zone: "a".into(),
        address: free,
        seeds,
        born: 0,
        probe_every: Part::PROBE_EVERY,
        answer_within: Part::ANSWER_WITHIN,
        doubt_least: Part::DOUBT_LEAST,
        struck: Default::default(),
    };
    let key = Key::new(b"0123456789abcdef").unwrap();
    let terms = FleetTerms { listen: free, part, key, duties: None, via: Default::default() };
    let log = Logger::root(slog::Discard, slog::o!());
    Fleet::open(&event_loop.handle(), terms, 1, &log).unwrap()
}

fn until(event_loop: &mut EventLoop<'static, ()>, all: &[Rc<RefCell<Fleet>>], seen: impl Fn() -> bool) {
    let began = Instant::now();
    while !seen() {
        assert!(began.elapsed() < LONG, "it never came");
        event_loop.dispatch(Some(Duration::from_millis(5)), &mut ()).unwrap();
        all.iter().for_each(|fleet| fleet.borrow_mut().turn());
    }
}

/// Also while a stranger sends: each of its datagrams costs a hash, and is counted.
#[test]
fn members_find_each_other_by_their_sockets_and_tell_of_leaving() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let first = open(&event_loop, "b0", Vec::new());
    let seed = first.borrow().terms.part.address;
    let second = open(&event_loop, "b1", vec![seed]);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    (0..50).for_each(|_| _ = stranger.send_to(&[7; 200], seed).unwrap());
    let all = [Rc::clone(&first), Rc::clone(&second)];
    let knows = |one: &Rc<RefCell<Fleet>>| one.borrow().accord.table.present().count() == 1;
    until(&mut event_loop, &all, || knows(&first) && knows(&second));
    let page = first.borrow().page();
    assert!(page.contains("\"member\":\"b0\"") && page.contains("\"name\":\"b1\""), "{page}");
    second.borrow_mut().leave();
    until(&mut event_loop, &all[..1], || first.borrow().accord.table.may_be_serving() == 0);
    assert!(first.borrow().page().contains("\"proven_gone\":\"said_so\""));
    assert!(first.borrow().page().contains("\"hash\":50"));
}
