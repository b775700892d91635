//! The datagrams that members send are equal to the recorded ones, byte for byte: a sealed datagram
//! of each kind of message, and all datagrams that three members send in their first seconds. The
//! files under `recorded/` define the protocol and must not change.

// The test keeps the form that it had when the files were recorded.
#![allow(clippy::pedantic)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use pinefront_cluster::datagram::{Datagram, Key, open, seal};

use pinefront_cluster::leases::messages::{GrantStatus, LeaseMessage, TermNumber};
use pinefront_cluster::leases::term::{LeaseId, Term};
use pinefront_cluster::leases::{Lease, LeaseConfig};
use pinefront_cluster::messages::{MemberRecord, MemberState, Message};
use pinefront_cluster::shared_list::{Chunk, ListMessage, ListRequest};
use pinefront_cluster::{Cluster, Incarnation, MemberConfig, OutgoingDatagram};

const KEY: &[u8] = b"recorded key of the datagram test\n";
const INCARNATION: Incarnation = Incarnation {
    started_at_us: 1_700_000_000_123_456,
    random_id: 0x00c0_ffee_00c0_ffee,
};
const TERM: Term = Term {
    number: 1_700_000_000_789,
    incarnation_id: 0x0123_4567_89ab_cdef,
};

fn recorded(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/recorded")
        .join(name)
}

/// Compares a text with the recorded file of the given name.
fn compare(name: &str, text: &str) {
    let expected = std::fs::read_to_string(recorded(name)).unwrap();
    for (index, (line, expected_line)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected_line, "{name}, line {}", index + 1);
    }
    assert_eq!(text, expected, "{name}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).unwrap())
        .collect()
}

fn record(name: &str, state: MemberState, suspected_by: u64) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        address: "10.1.2.3:7400".parse().unwrap(),
        zone: "zone-a".into(),
        incarnation: INCARNATION,
        refutation_counter: 77,
        state,
        suspected_by,
        version: 1,
    }
}

fn status(available_in_us: u32) -> GrantStatus {
    GrantStatus {
        lease: LeaseId::from_name("roster/a"),
        term: (available_in_us > 0).then_some(TERM),
        available_in_us,
    }
}

fn membership_messages() -> Vec<(&'static str, Message)> {
    let target: Rc<str> = "b2".into();
    let address: SocketAddr = "10.9.8.7:7401".parse().unwrap();
    vec![
        ("news", Message::Gossip),
        (
            "probe",
            Message::Probe {
                number: 300,
                target: Some(Rc::clone(&target)),
            },
        ),
        (
            "probe of whoever is there",
            Message::Probe {
                number: 301,
                target: None,
            },
        ),
        ("answer", Message::Ack { number: 302 }),
        (
            "indirect probe",
            Message::ProbeRequest {
                number: 303,
                target,
                address,
            },
        ),
        (
            "indirect answer",
            Message::ProbeReport {
                number: 304,
                answered: true,
            },
        ),
        ("swap", Message::TableSync { reply_wanted: true }),
    ]
}

fn lease_messages() -> Vec<(&'static str, LeaseMessage)> {
    let lease = LeaseId::from_name("roster/a");
    let other = LeaseId::from_name("scout/3");
    let terms = vec![
        TermNumber {
            lease,
            number: TERM.number,
        },
        TermNumber {
            lease: other,
            number: 5,
        },
    ];
    vec![
        (
            "duty: ask",
            LeaseMessage::Query {
                round: 9,
                voters: 0xdead_beef,
                leases: vec![lease, other],
            },
        ),
        (
            "duty: told",
            LeaseMessage::QueryReply {
                round: 9,
                statuses: vec![status(0), status(1_400_000)],
            },
        ),
        (
            "duty: claim",
            LeaseMessage::Bid {
                round: 10,
                voters: 0xdead_beef,
                duration_us: 1_500_000,
                bids: terms.clone(),
            },
        ),
        (
            "duty: granted",
            LeaseMessage::BidReply {
                round: 10,
                granted: terms.clone(),
                refused: vec![status(3)],
            },
        ),
        ("duty: release", LeaseMessage::Release { terms }),
        (
            "duty: free",
            LeaseMessage::Vacated {
                leases: vec![other],
            },
        ),
        (
            "duty: act",
            LeaseMessage::Command {
                lease,
                term: TERM,
                body: vec![1, 2, 250],
            },
        ),
        (
            "duty: say",
            LeaseMessage::Note {
                lease,
                body: b"text".to_vec(),
            },
        ),
        ("duty: old", LeaseMessage::StaleTerm { lease, term: TERM }),
    ]
}

fn list_messages() -> Vec<(&'static str, LeaseMessage)> {
    let lease = LeaseId::from_name("roster/a");
    let command = |body: ListMessage| LeaseMessage::Command {
        lease,
        term: TERM,
        body: body.encode().unwrap(),
    };
    let note = |body: ListRequest| LeaseMessage::Note {
        lease,
        body: body.encode().unwrap(),
    };
    vec![
        (
            "roster: part",
            command(ListMessage::Chunk(Chunk {
                page: 400,
                is_full: true,
                version: 70_000,
                index: 2,
                count: 3,
                bytes: b"{\"rev\":70000}".to_vec(),
            })),
        ),
        (
            "roster: beat",
            command(ListMessage::Heartbeat {
                page: 401,
                is_watching: true,
            }),
        ),
        (
            "roster: parts wanted",
            note(ListRequest::Chunks {
                page: 400,
                is_full: false,
                indices: vec![0, 2, 300],
            }),
        ),
        ("roster: whole list wanted", note(ListRequest::FullList)),
    ]
}

fn datagram(sequence_number: u64, message: Message) -> Datagram {
    Datagram {
        fleet: "shop".into(),
        sender: "b1".into(),
        incarnation: INCARNATION,
        refutation_counter: 77,
        sequence_number,
        message,
        records: vec![
            record("b1", MemberState::Alive, 0),
            record("b2", MemberState::Suspected, 0xffff_ffff_ffff),
            record("b3", MemberState::Dead, 0),
            record("b4", MemberState::Left, 0),
        ],
    }
}

#[test]
fn each_kind_of_message_is_sealed_to_the_recorded_bytes_and_opened_again() {
    let key = Key::new(KEY).unwrap();
    let leases = lease_messages().into_iter().chain(list_messages());
    let all = membership_messages()
        .into_iter()
        .chain(leases.map(|(name, message)| (name, Message::Lease(message))));
    let datagrams: Vec<_> = (0u64..)
        .zip(all)
        .map(|(number, (name, message))| (name, datagram(1_000 + number, message)))
        .collect();
    let text: String = datagrams
        .iter()
        .map(|(name, datagram)| format!("{name} = {}\n", hex(&seal(&key, datagram).unwrap())))
        .collect();
    compare("sealed-datagrams.txt", &text);
    let expected = std::fs::read_to_string(recorded("sealed-datagrams.txt")).unwrap();
    assert_eq!(expected.lines().count(), 20);
    for ((name, datagram), line) in datagrams.iter().zip(expected.lines()) {
        let bytes = from_hex(line.split_once(" = ").unwrap().1);
        assert_eq!(open(&key, "shop", &bytes).as_ref(), Ok(datagram), "{name}");
    }
}

#[test]
fn bodies_of_shared_list_messages_are_decoded_and_encoded_to_the_same_bytes() {
    for (name, message) in list_messages() {
        match message {
            LeaseMessage::Command { body, .. } => {
                assert_eq!(
                    ListMessage::decode(&body).unwrap().encode().unwrap(),
                    body,
                    "{name}"
                );
            }
            LeaseMessage::Note { body, .. } => {
                assert_eq!(
                    ListRequest::decode(&body).unwrap().encode().unwrap(),
                    body,
                    "{name}"
                );
            }
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn texts_of_incarnations_and_identifiers_of_leases_do_not_change() {
    assert_eq!(INCARNATION.to_string(), "60a2418202240-00c0ffee00c0ffee");
    assert_eq!("60a2418202240-00c0ffee00c0ffee".parse(), Ok(INCARNATION));
    assert_eq!(LeaseId::from_name("roster/a").0, 2_156_073_173);
}

/// Three members exchange datagrams over a virtual network that delivers each within 3 ms. One
/// member starts late, and another leaves early. The same seeds and times produce the same
/// datagrams.
#[test]
fn three_members_send_the_recorded_datagrams() {
    let address = |n: usize| SocketAddr::from(([127, 0, 0, 1], 7400 + n as u16));
    let lease_config = LeaseConfig {
        voters: vec!["b0".into(), "b1".into(), "b2".into()],
        duration: 1_500_000,
    };
    let leases = vec![
        Lease::new("roster/a", Some("a".into())),
        Lease::new("nightly", None),
    ];
    let start = |n: usize, now: u64| {
        let config = MemberConfig {
            fleet: "shop".into(),
            name: format!("b{n}"),
            zone: ["a", "b"][n % 2].into(),
            address: address(n),
            seeds: vec![address(0)],
            started_at_us: INCARNATION.started_at_us + now,
            probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
            probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
            min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
            confirmed_dead: Default::default(),
        };
        let mut member = Cluster::new(config, Key::new(KEY).unwrap(), 40 + n as u64, now);
        member.configure_leases(now, lease_config.clone(), leases.clone());
        member
    };
    let mut members = vec![start(0, 1_000_000), start(1, 1_000_000)];
    let mut network: Vec<(u64, SocketAddr, Vec<u8>)> = Vec::new();
    let (mut lines, mut hasher, mut sent) = (Vec::new(), blake3::Hasher::new(), 0);
    for now in (1_000_000..9_000_000).step_by(1_000) {
        if now == 2_000_000 {
            members.push(start(2, now));
        }
        let (arrived, in_transit): (Vec<_>, Vec<_>) =
            network.into_iter().partition(|datagram| datagram.0 <= now);
        network = in_transit;
        for (_, to, bytes) in arrived {
            if let Some(n) = (0..members.len()).find(|&n| address(n) == to) {
                members[n].receive(now, &bytes);
            }
        }
        for (n, member) in members.iter_mut().enumerate() {
            if member.next_timer() <= now {
                member.run_timers(now);
            }
            if n == 1 && now == 7_000_000 {
                member.leave(now);
            }
            for OutgoingDatagram { to, bytes } in member.take_datagrams() {
                sent += 1;
                hasher.update(&bytes);
                if sent % 16 == 1 {
                    lines.push(format!("{sent} {now} b{n} {to} {}\n", hex(&bytes)));
                }
                network.push((now + 1_000 + 1_000 * (sent % 3), to, bytes));
            }
        }
    }
    lines.push(format!("{sent} datagrams {}\n", hasher.finalize().to_hex()));
    compare("three-members.txt", &lines.concat());
}
