//! What members send one another, byte for byte as recorded: a sealed datagram of each kind of message, and all that
//! three members send in their first seconds. The files under `recorded/` are the wire; they do not change.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use pinefront_cluster::duties::frames::DutyFrame;
use pinefront_cluster::duties::term::{DutyId, Term};
use pinefront_cluster::duties::voter::Told;
use pinefront_cluster::duties::{Duty, DutyTerms};
use pinefront_cluster::envelope::{Key, Letter, Life, open, seal};
use pinefront_cluster::frames::{Frame, Record, State};
use pinefront_cluster::roster::{RosterSaid, RosterWants};
use pinefront_cluster::{Accord, Part};

const KEY: &[u8] = b"recorded key of the datagram test\n";
const LIFE: Life = Life {
    born: 1_700_000_000_123_456,
    chance: 0x00c0_ffee_00c0_ffee,
};
const TERM: Term = Term {
    number: 1_700_000_000_789,
    life: 0x0123_4567_89ab_cdef,
};

fn recorded(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/recorded")
        .join(name)
}

/// Compares a text with the recorded file of that name.
fn compare(name: &str, text: &str) {
    let before = std::fs::read_to_string(recorded(name)).unwrap();
    for (line, (is, was)) in text.lines().zip(before.lines()).enumerate() {
        assert_eq!(is, was, "{name}, line {}", line + 1);
    }
    assert_eq!(text, before, "{name}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).unwrap())
        .collect()
}

fn record(name: &str, state: State, by: u64) -> Record {
    Record {
        name: name.into(),
        address: "10.1.2.3:7400".parse().unwrap(),
        zone: "zone-a".into(),
        life: LIFE,
        incarnation: 77,
        state,
        by,
        version: 1,
    }
}

fn told(left: u32) -> Told {
    Told {
        duty: DutyId::of("roster/a"),
        term: (left > 0).then_some(TERM),
        left,
    }
}

fn membership_messages() -> Vec<(&'static str, Frame)> {
    let target: Rc<str> = "b2".into();
    let address: SocketAddr = "10.9.8.7:7401".parse().unwrap();
    vec![
        ("news", Frame::News),
        (
            "probe",
            Frame::Probe {
                number: 300,
                target: Some(Rc::clone(&target)),
            },
        ),
        (
            "probe of whoever is there",
            Frame::Probe {
                number: 301,
                target: None,
            },
        ),
        ("answer", Frame::Answer { number: 302 }),
        (
            "indirect probe",
            Frame::Ask {
                number: 303,
                target,
                address,
            },
        ),
        (
            "indirect answer",
            Frame::Asked {
                number: 304,
                answered: true,
            },
        ),
        ("swap", Frame::Swap { wants: true }),
    ]
}

fn duty_messages() -> Vec<(&'static str, DutyFrame)> {
    let duty = DutyId::of("roster/a");
    let other = DutyId::of("scout/3");
    let turns = vec![(duty, TERM.number), (other, 5)];
    vec![
        (
            "duty: ask",
            DutyFrame::Ask {
                round: 9,
                voters: 0xdead_beef,
                duties: vec![duty, other],
            },
        ),
        (
            "duty: told",
            DutyFrame::Told {
                round: 9,
                told: vec![told(0), told(1_400_000)],
            },
        ),
        (
            "duty: claim",
            DutyFrame::Claim {
                round: 10,
                voters: 0xdead_beef,
                lease: 1_500_000,
                claims: turns.clone(),
            },
        ),
        (
            "duty: granted",
            DutyFrame::Granted {
                round: 10,
                granted: turns.clone(),
                refused: vec![told(3)],
            },
        ),
        ("duty: release", DutyFrame::Release { turns }),
        (
            "duty: free",
            DutyFrame::Free {
                duties: vec![other],
            },
        ),
        (
            "duty: act",
            DutyFrame::Act {
                duty,
                term: TERM,
                body: vec![1, 2, 250],
            },
        ),
        (
            "duty: say",
            DutyFrame::Say {
                duty,
                body: b"text".to_vec(),
            },
        ),
        ("duty: old", DutyFrame::Old { duty, term: TERM }),
    ]
}

fn roster_messages() -> Vec<(&'static str, DutyFrame)> {
    let duty = DutyId::of("roster/a");
    let act = |body: RosterSaid| DutyFrame::Act {
        duty,
        term: TERM,
        body: body.bytes().unwrap(),
    };
    let say = |body: RosterWants| DutyFrame::Say {
        duty,
        body: body.bytes().unwrap(),
    };
    vec![
        (
            "roster: part",
            act(RosterSaid::Part {
                page: 400,
                whole: true,
                version: 70_000,
                part: 2,
                of: 3,
                bytes: b"{\"rev\":70000}".to_vec(),
            }),
        ),
        (
            "roster: beat",
            act(RosterSaid::Beat {
                page: 401,
                follows: true,
            }),
        ),
        (
            "roster: parts wanted",
            say(RosterWants::Parts {
                page: 400,
                whole: false,
                parts: vec![0, 2, 300],
            }),
        ),
        ("roster: whole list wanted", say(RosterWants::Whole)),
    ]
}

fn letter(counter: u64, frame: Frame) -> Letter {
    Letter {
        fleet: "shop".into(),
        sender: "b1".into(),
        life: LIFE,
        incarnation: 77,
        counter,
        frame,
        records: vec![
            record("b1", State::Present, 0),
            record("b2", State::Doubted, 0xffff_ffff_ffff),
            record("b3", State::Gone, 0),
            record("b4", State::Left, 0),
        ],
    }
}

#[test]
fn each_kind_of_message_is_sealed_to_the_recorded_bytes_and_read_back() {
    let key = Key::new(KEY).unwrap();
    let duties = duty_messages().into_iter().chain(roster_messages());
    let all = membership_messages()
        .into_iter()
        .chain(duties.map(|(name, frame)| (name, Frame::Duty(frame))));
    let letters: Vec<_> = (0u64..)
        .zip(all)
        .map(|(number, (name, frame))| (name, letter(1_000 + number, frame)))
        .collect();
    let text: String = letters
        .iter()
        .map(|(name, letter)| format!("{name} = {}\n", hex(&seal(&key, letter).unwrap())))
        .collect();
    compare("sealed-datagrams.txt", &text);
    let before = std::fs::read_to_string(recorded("sealed-datagrams.txt")).unwrap();
    assert_eq!(before.lines().count(), 20);
    for ((name, letter), line) in letters.iter().zip(before.lines()) {
        let bytes = from_hex(line.split_once(" = ").unwrap().1);
        assert_eq!(open(&key, "shop", &bytes).as_ref(), Ok(letter), "{name}");
    }
}

#[test]
fn bodies_of_the_roster_are_read_back() {
    for (name, frame) in roster_messages() {
        match frame {
            DutyFrame::Act { body, .. } => {
                assert_eq!(
                    RosterSaid::read(&body).unwrap().bytes().unwrap(),
                    body,
                    "{name}"
                );
            }
            DutyFrame::Say { body, .. } => {
                assert_eq!(
                    RosterWants::read(&body).unwrap().bytes().unwrap(),
                    body,
                    "{name}"
                );
            }
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn texts_of_lives_and_names_of_duties_stay() {
    assert_eq!(LIFE.to_string(), "60a2418202240-00c0ffee00c0ffee");
    assert_eq!("60a2418202240-00c0ffee00c0ffee".parse(), Ok(LIFE));
    assert_eq!(DutyId::of("roster/a").0, 2_156_073_173);
}

/// Three members on a virtual network that delivers all within 3 ms, one of which starts late and leaves early. The
/// same seeds and times give the same datagrams.
#[test]
fn three_members_send_the_recorded_datagrams() {
    let address = |n: usize| SocketAddr::from(([127, 0, 0, 1], 7400 + n as u16));
    let terms = DutyTerms {
        voters: vec!["b0".into(), "b1".into(), "b2".into()],
        lease: 1_500_000,
    };
    let duties = vec![
        Duty::new("roster/a", Some("a".into())),
        Duty::new("nightly", None),
    ];
    let start = |n: usize, now: u64| {
        let part = Part {
            fleet: "shop".into(),
            name: format!("b{n}"),
            zone: ["a", "b"][n % 2].into(),
            address: address(n),
            seeds: vec![address(0)],
            born: LIFE.born + now,
            probe_every: Part::PROBE_EVERY,
            answer_within: Part::ANSWER_WITHIN,
            doubt_least: Part::DOUBT_LEAST,
            struck: Default::default(),
        };
        let mut member = Accord::new(part, Key::new(KEY).unwrap(), 40 + n as u64, now);
        member.take_duties(now, terms.clone(), duties.clone());
        member
    };
    let mut members = vec![start(0, 1_000_000), start(1, 1_000_000)];
    let mut network: Vec<(u64, SocketAddr, Vec<u8>)> = Vec::new();
    let (mut lines, mut all, mut sent) = (Vec::new(), blake3::Hasher::new(), 0);
    for now in (1_000_000..9_000_000).step_by(1_000) {
        if now == 2_000_000 {
            members.push(start(2, now));
        }
        let (arrived, rest): (Vec<_>, Vec<_>) =
            network.into_iter().partition(|datagram| datagram.0 <= now);
        network = rest;
        for (_, to, bytes) in arrived {
            if let Some(n) = (0..members.len()).find(|&n| address(n) == to) {
                members[n].heard(now, &bytes);
            }
        }
        for (n, member) in members.iter_mut().enumerate() {
            if member.next_due() <= now {
                member.due(now);
            }
            if n == 1 && now == 7_000_000 {
                member.leave(now);
            }
            for (to, bytes) in member.take_datagrams() {
                sent += 1;
                all.update(&bytes);
                if sent % 16 == 1 {
                    lines.push(format!("{sent} {now} b{n} {to} {}\n", hex(&bytes)));
                }
                network.push((now + 1_000 + 1_000 * (sent % 3), to, bytes));
            }
        }
    }
    lines.push(format!("{sent} datagrams {}\n", all.finalize().to_hex()));
    compare("three-members.txt", &lines.concat());
}
