//! `GET /fleet` and `GET /duty/NAME` as recorded. Masked are the process's own address and life and what depends on
//! the clock, each by its key.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use pinefront_cluster::Part;
use pinefront_cluster::duties::{Duty, DutyTerms};
use pinefront_cluster::envelope::{Drop, Key, Letter, Life, seal};
use pinefront_cluster::frames::{Frame, Record, State};
use pinefront_cluster::membership::table::{Proof, Unknown, own_record};
use slog::Logger;

use super::*;
use crate::fleet::operator::FleetTerms;

const KEY: &[u8] = b"0123456789abcdef";
/// Values of these keys depend on the clock or on chance.
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

/// Opens a fleet of one on a free port; with duties, it is the only voter.
fn open(event_loop: &EventLoop<'static, ()>, with_duties: bool) -> Rc<RefCell<Fleet>> {
    let free = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let struck = [(Rc::from("b4"), life(4))].into_iter().collect();
    let part = Part {
        fleet: "shop".into(),
        name: "b0".into(),
        zone: "a".into(),
        address: free,
        seeds: Vec::new(),
        born: 0,
        probe_every: Part::PROBE_EVERY,
        answer_within: Part::ANSWER_WITHIN,
        doubt_least: Part::DOUBT_LEAST,
        struck,
    };
    let roster = Duty::new("roster/a", Some("a".into()));
    let duties = vec![roster.clone(), Duty::new("nightly", None)];
    let duty_terms = DutyTerms {
        voters: vec!["b0".into()],
        lease: 1_500_000,
    };
    let terms = FleetTerms {
        listen: free,
        part,
        key: Key::new(KEY).unwrap(),
        duties: with_duties.then_some((duty_terms, duties)),
        rosters: with_duties
            .then(|| (roster.id, Rc::from("a")))
            .into_iter()
            .collect(),
        via: Default::default(),
    };
    let log = Logger::root(slog::Discard, slog::o!());
    Fleet::open(&event_loop.handle(), terms, 1, &log).unwrap()
}

fn life(number: u64) -> Life {
    Life {
        born: 1_700_000_000_000_000 + number,
        chance: 0xabc0 + number,
    }
}

fn record(number: u64, state: State) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16));
    let own = own_record(&format!("b{number}"), "z", address, life(number));
    Record { state, ..own }
}

/// The text with the values of masked keys and of the process's own address and life left out.
fn masked(fleet: &Fleet, text: &str) -> String {
    let own = fleet.accord.life();
    let mut text = text
        .replace(&fleet.terms.part.address.to_string(), "OWN-ADDRESS")
        .replace(&own.to_string(), "OWN-LIFE")
        .replace(&format!(":{}", own.born), ":OWN-BORN");
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
    let letter = Letter {
        fleet: fleet.into(),
        sender: format!("b{sender}"),
        life: life(sender),
        incarnation: life(sender).born,
        counter,
        frame: Frame::News,
        records: vec![record(sender, State::Present)],
    };
    seal(&Key::new(key).unwrap(), &letter).unwrap()
}

#[test]
fn fleet_page_shows_members_of_each_standing_as_recorded() {
    let event_loop = EventLoop::try_new().unwrap();
    let fleet = open(&event_loop, false);
    let mut fleet = fleet.borrow_mut();
    let at = now();
    for (number, state) in [
        (1, State::Present),
        (2, State::Doubted),
        (3, State::Gone),
        (4, State::Gone),
        (5, State::Left),
        (6, State::Present),
    ] {
        fleet.accord.table.merge(at, &record(number, state));
    }
    // A later process of b6 at another address: the earlier one may still serve.
    let mut followed = record(6, State::Present);
    followed.life.born += 1;
    followed.incarnation += 1;
    followed.address.set_port(9_106);
    fleet.accord.table.merge(at, &followed);
    fleet
        .accord
        .heard(at, &datagram(b"another key of length", "shop", 1, 1));
    fleet.accord.heard(at, &datagram(KEY, "other", 1, 1));
    fleet.accord.heard(at, &datagram(KEY, "shop", 1, 1));
    fleet.accord.heard(at, &datagram(KEY, "shop", 1, 1));
    fleet.accord.heard(at, &[0; 5]);
    let page = masked(&fleet, &fleet.page());
    assert_eq!(page, include_str!("../recorded/fleet.json"));
}

#[test]
fn duty_pages_are_as_recorded_before_and_while_it_is_held() {
    let mut event_loop = EventLoop::try_new().unwrap();
    let fleet = open(&event_loop, true);
    let page = |name: &str| {
        let (status, text) = fleet.borrow().duty_page(name);
        format!("{status} {}", masked(&fleet.borrow(), &text))
    };
    let before = page("nightly") + &page("unknown");
    assert_eq!(before, include_str!("../recorded/duty-before.txt"));
    let began = Instant::now();
    while fleet.borrow().accord.duties().unwrap().held(now()).count() < 2 {
        assert!(began.elapsed() < Duration::from_secs(20), "never held");
        event_loop
            .dispatch(Some(Duration::from_millis(5)), &mut ())
            .unwrap();
        fleet.borrow_mut().turn();
    }
    assert_eq!(page("nightly"), include_str!("../recorded/duty-held.txt"));
    let whole = masked(&fleet.borrow(), &fleet.borrow().page());
    assert_eq!(whole, include_str!("../recorded/fleet-duties.json"));
}

#[test]
fn words_of_states_and_causes_are_as_recorded() {
    let drops = [
        Drop::Size,
        Drop::Hash,
        Drop::Version,
        Drop::Form,
        Drop::Fleet,
        Drop::Replayed,
        Drop::Old,
        Drop::Full,
        Drop::Own,
    ];
    let states = [State::Present, State::Doubted, State::Gone, State::Left];
    let unknown = [
        Unknown::Present,
        Unknown::Doubted,
        Unknown::Silent,
        Unknown::Followed,
    ];
    let proofs = [Proof::SaidSo, Proof::Struck];
    let text = serde_json::to_string(&json!([drops, states, unknown, proofs])).unwrap() + "\n";
    assert_eq!(text, include_str!("../recorded/words.json"));
}
