use rstest::rstest;

use super::*;

const OWN: Life = Life { born: 1, chance: 1 };
const FIRST: Life = Life {
    born: 10,
    chance: 2,
};
const SECOND: Life = Life {
    born: 20,
    chance: 3,
};

fn record(life: Life, incarnation: u64, state: State) -> Record {
    let own = own_record("b1", "a", "127.0.0.1:9".parse().unwrap(), life);
    Record {
        incarnation,
        state,
        ..own
    }
}

fn table() -> Table {
    Table::new(own_record("b0", "a", "127.0.0.1:8".parse().unwrap(), OWN))
}

#[rstest]
#[case::older_news(record(FIRST, 9, State::Gone), Merged::Known, State::Present)]
#[case::doubt(record(FIRST, 10, State::Doubted), Merged::News, State::Doubted)]
#[case::refuted(record(FIRST, 11, State::Present), Merged::News, State::Present)]
#[case::gone(record(FIRST, 10, State::Gone), Merged::News, State::Gone)]
fn at_one_incarnation_the_heavier_state_goes_first(
    #[case] told: Record,
    #[case] merged: Merged,
    #[case] state: State,
) {
    let mut table = table();
    table.merge(0, &record(FIRST, 10, State::Present));
    assert_eq!(
        (
            table.merge(5, &told),
            table.named("b1").unwrap().record.state
        ),
        (merged, state)
    );
}

/// A cold budget or a limit must not grow because somebody fell silent.
#[rstest]
#[case::present(State::Present, 1)]
#[case::doubted(State::Doubted, 1)]
#[case::silent(State::Gone, 1)]
#[case::said_so(State::Left, 0)]
fn only_who_said_so_serves_no_more(#[case] state: State, #[case] serving: usize) {
    let mut table = table();
    table.merge(0, &record(FIRST, 10, state));
    assert_eq!(table.may_be_serving(), serving);
    let proven = matches!(
        table.standing("b1", FIRST),
        Some(Standing::ProvenGone(Proof::SaidSo))
    );
    assert_eq!(proven, serving == 0);
}

#[rstest]
#[case::same_address("127.0.0.1:9", 1, None)]
#[case::elsewhere("127.0.0.1:10", 2, Some(Standing::MayServe(Unknown::Followed)))]
fn an_earlier_process_may_serve_unless_its_address_is_taken(
    #[case] address: &str,
    #[case] serving: usize,
    #[case] earlier: Option<Standing>,
) {
    let mut table = table();
    table.merge(0, &record(FIRST, 10, State::Present));
    let address = address.parse().unwrap();
    table.merge(
        1,
        &Record {
            address,
            ..record(SECOND, 20, State::Present)
        },
    );
    assert_eq!(
        (table.may_be_serving(), table.standing("b1", FIRST)),
        (serving, earlier)
    );
}

#[test]
fn what_is_wrong_about_us_is_overtaken_and_our_leave_is_not() {
    let mut table = table();
    let wrong = Record {
        state: State::Gone,
        ..table.own.clone()
    };
    assert_eq!(table.merge(0, &wrong), Merged::Refuted);
    assert_eq!(
        (table.own.incarnation, table.events.as_slice()),
        (2, [Event::Refuted].as_slice())
    );
    assert_eq!(table.merge(0, &wrong), Merged::Known);
    table.own.state = State::Left;
    assert_eq!(
        table.merge(
            0,
            &Record {
                incarnation: 9,
                ..wrong
            }
        ),
        Merged::Known
    );
}

#[test]
fn a_name_is_taken_when_another_process_overtakes_us_again_and_again() {
    let mut table = table();
    for _ in 0..OVERTAKEN_OFTEN {
        assert!(!table.name_is_taken());
        let other = Record {
            life: SECOND,
            incarnation: table.own.incarnation + 1,
            ..table.own.clone()
        };
        assert_eq!(table.merge(0, &other), Merged::Refuted);
    }
    assert!(table.name_is_taken() && table.events == [Event::NameTaken]);
}

#[test]
fn a_full_table_takes_nobody_in_but_for_who_left() {
    let mut table = table();
    let named = |number: usize, state| {
        let name = Rc::from(format!("n{number}"));
        Record {
            name,
            ..record(FIRST, 10, state)
        }
    };
    for number in 0..MEMBERS_MOST {
        let merged = table.merge(number as Micros, &named(number, State::Gone));
        assert_eq!(
            merged,
            if number + 1 < MEMBERS_MOST {
                Merged::News
            } else {
                Merged::Full
            }
        );
    }
    table.merge(9, &named(7, State::Left));
    assert_eq!(table.merge(10, &named(5_000, State::Present)), Merged::News);
    assert!(table.named("n7").is_none() && table.members.len() == MEMBERS_MOST - 1);
}

#[test]
fn doubts_of_several_are_counted_once_each() {
    let mut table = table();
    let doubt = |by| Record {
        by,
        ..record(FIRST, 10, State::Doubted)
    };
    let merged = [5, 5, 6, 7, 8].map(|by| table.merge(0, &doubt(by)));
    use Merged::{Confirmed, Known, News};
    assert_eq!(merged, [News, Known, Confirmed, Confirmed, Known]);
    assert_eq!(
        table.named("b1").unwrap().doubt.as_ref().unwrap().doubters,
        [5, 6, 7]
    );
}
