use rstest::rstest;

use super::*;

const HEAD: &str = "name = 'd'\nlength = '20s'\n";

#[rstest]
#[case::unknown_field("speed = 3", "d.toml:3: speed: unknown field `speed`")]
#[case::unknown_fault(
    "[[faults]]\nkind = 'flood'\nat = '1s'",
    "d.toml:4: kind: unknown variant `flood`"
)]
#[case::no_span(
    "[traffic]\nretry_wait = 'soon'",
    "d.toml:4: retry_wait: 'soon' is no span"
)]
#[case::rate_0("[traffic]\nrate = 0.0", "d.toml:4: traffic.rate: must be over 0")]
#[case::no_servers("[fleet]\nservers = 0", "d.toml:4: fleet.servers: must be 1")]
#[case::no_such_server(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\nservers = [12]",
    "d.toml:3: faults.servers: there is no server 12"
)]
#[case::no_server(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\nservers = []",
    "d.toml:3: faults: Freeze hits no server"
)]
#[case::no_zone(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\nzone = 'q'",
    "there is no zone 'q'"
)]
#[case::too_late(
    "[[faults]]\nkind = 'cold'\nat = '20s'",
    "d.toml:3: faults.at: lies behind the end"
)]
#[case::twice(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '3s'\n[[faults]]\nkind = 'freeze'\nat = '2s'\nfor = '3s'",
    "d.toml:7: faults: Freeze and Freeze contradict each other on server 0"
)]
#[case::away_already(
    "[[faults]]\nkind = 'drain'\nat = '1s'\nfor = '3s'\n[[faults]]\nkind = 'crash'\nat = '2s'\nfor = '3s'",
    "Drain and Crash contradict"
)]
#[case::gone_already(
    "[[faults]]\nkind = 'drain'\nat = '1s'\nfor = '3s'\n[[faults]]\nkind = 'freeze'\nat = '9s'\nfor = '3s'",
    "Drain and Freeze contradict"
)]
#[case::no_balancer(
    "[[faults]]\nkind = 'balancer_killed'\nat = '1s'\nfor = '1s'\nbalancers = [2]",
    "there is no balancer 2"
)]
#[case::balancer_twice(
    "[[faults]]\nkind = 'balancer_killed'\nat = '1s'\nfor = '5s'\nbalancers = [0, 0]",
    "balancer 0 is away already"
)]
#[case::factor(
    "[[faults]]\nkind = 'errors'\nat = '1s'\nfor = '1s'\nfactor = 2.0",
    "2 is not from 0 to 1"
)]
#[case::no_factor(
    "[[faults]]\nkind = 'silent'\nat = '1s'\nfor = '1s'\nfactor = 2.0",
    "Silent takes none"
)]
#[case::no_by(
    "[[faults]]\nkind = 'reports_late'\nat = '1s'\nfor = '1s'",
    "ReportsLate needs a span"
)]
#[case::twice_named(
    "[[tenants]]\nname = 'x'\nallowance = 1.0\n[[tenants]]\nname = 'x'\nallowance = 1.0",
    "'x' is there twice"
)]
#[case::deadline(
    "[[use_cases]]\nname = 'x'\neffect = 'redoable'\nwork = '1ms'\npromised_time = '1s'\nhard_stop = '1ms'",
    "lies before the promised time"
)]
#[case::dispatches(
    "[rules]\nmost_dispatches = 6",
    "d.toml:4: rules.most_dispatches: must be 1 to 5"
)]
fn a_bad_day_is_refused_with_its_place(#[case] rest: &str, #[case] wanted: &str) {
    let errors = decode_scenario(&format!("{HEAD}{rest}"), "d.toml").unwrap_err();
    assert!(errors[0].to_string().contains(wanted), "{}", errors[0]);
}

#[rstest]
#[case(
    "name = 'd'\nlength = '25h'",
    "d.toml:2: length: must be over 0 and at most a day"
)]
#[case("length = '1s'", "missing field `name`")]
#[case("name = 'd\u{e9}", "d.toml:1:")]
fn so_is_a_bad_head(#[case] text: &str, #[case] wanted: &str) {
    assert!(
        decode_scenario(text, "d.toml").unwrap_err()[0]
            .to_string()
            .contains(wanted)
    );
}

#[rstest]
#[case(0, Some("must be 1 to 64"))]
#[case(65, Some("must be 1 to 64"))]
#[case(1, Some("names balancer 1"))]
#[case(5, None)]
fn another_number_of_balancers_must_fit_the_faults(
    #[case] balancers: usize,
    #[case] wanted: Option<&str>,
) {
    let fault = "[[faults]]\nkind = 'balancer_killed'\nat = '1s'\nfor = '1s'\nbalancers = [1]";
    let mut scenario = decode_scenario(&format!("{HEAD}{fault}"), "d.toml").unwrap();
    let set = set_balancer_count(&mut scenario, balancers);
    assert_eq!(set.is_ok(), wanted.is_none());
    assert!(wanted.is_none_or(|wanted| set.unwrap_err().to_string().contains(wanted)));
    assert_eq!(
        *scenario.balancers.get_ref(),
        if wanted.is_none() { balancers } else { 2 }
    );
}

#[test]
fn all_problems_are_told_at_once() {
    let text = format!("{HEAD}balancers = 0\n[fleet]\nservers = 0\n[traffic]\nrate = -1.0");
    assert_eq!(decode_scenario(&text, "d.toml").unwrap_err().len(), 3);
}
