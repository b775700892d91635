use rstest::rstest;

use super::*;

const HEAD: &str = "name = 'test'\nlength = '20s'\n";

#[rstest]
#[case::unknown_field("speed = 3", "scenario.toml:3: speed: unknown field `speed`")]
#[case::unknown_fault(
    "[[faults]]\nkind = 'flood'\nat = '1s'",
    "scenario.toml:4: kind: unknown variant `flood`"
)]
#[case::invalid_duration(
    "[traffic]\nretry_wait = 'soon'",
    "scenario.toml:4: retry_wait: invalid duration 'soon'"
)]
#[case::rate_0(
    "[traffic]\nrate = 0.0",
    "scenario.toml:4: traffic.rate: must be above 0 and at most 200000, but is 0"
)]
#[case::no_servers(
    "[fleet]\nservers = 0",
    "scenario.toml:4: fleet.servers: must be 1 to 5000, but is 0"
)]
#[case::unknown_server(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\nservers = [12]",
    "scenario.toml:3: faults.servers: unknown server 12"
)]
#[case::no_selected_server(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\nservers = []",
    "scenario.toml:3: faults: 'freeze' selects no server"
)]
#[case::unknown_zone(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\nzone = 'q'",
    "unknown zone 'q'"
)]
#[case::after_the_end(
    "[[faults]]\nkind = 'cold'\nat = '20s'",
    "scenario.toml:3: faults.at: must be before the end"
)]
#[case::overlapping_faults_of_one_kind(
    "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '3s'\n\
     [[faults]]\nkind = 'freeze'\nat = '2s'\nfor = '3s'",
    "scenario.toml:7: faults: 'freeze' and 'freeze' conflict on server 0"
)]
#[case::crash_of_a_draining_server(
    "[[faults]]\nkind = 'drain'\nat = '1s'\nfor = '3s'\n\
     [[faults]]\nkind = 'crash'\nat = '2s'\nfor = '3s'",
    "'drain' and 'crash' conflict"
)]
#[case::fault_of_a_removed_server(
    "[[faults]]\nkind = 'drain'\nat = '1s'\nfor = '3s'\n\
     [[faults]]\nkind = 'freeze'\nat = '9s'\nfor = '3s'",
    "'drain' and 'freeze' conflict"
)]
#[case::unknown_balancer(
    "[[faults]]\nkind = 'balancer_killed'\nat = '1s'\nfor = '1s'\nbalancers = [2]",
    "unknown balancer 2"
)]
#[case::balancer_killed_twice(
    "[[faults]]\nkind = 'balancer_killed'\nat = '1s'\nfor = '5s'\nbalancers = [0, 0]",
    "balancer 0 is killed or stopped at 1 s but does not run"
)]
#[case::factor_out_of_range(
    "[[faults]]\nkind = 'errors'\nat = '1s'\nfor = '1s'\nfactor = 2.0",
    "must be 0 to 1, but is 2"
)]
#[case::unexpected_factor(
    "[[faults]]\nkind = 'silent'\nat = '1s'\nfor = '1s'\nfactor = 2.0",
    "'silent' accepts no factor"
)]
#[case::missing_duration(
    "[[faults]]\nkind = 'reports_late'\nat = '1s'\nfor = '1s'",
    "'reports_late' requires a duration above 0"
)]
#[case::duplicate_name(
    "[[tenants]]\nname = 'x'\nallowance = 1.0\n[[tenants]]\nname = 'x'\nallowance = 1.0",
    "invalid name 'x': expected a unique name"
)]
#[case::deadline_before_latency_objective(
    "[[use_cases]]\nname = 'x'\neffect = 'redoable'\nwork = '1ms'\npromised_time = '1s'\n\
     hard_stop = '1ms'",
    "must be above 0 and not shorter than promised_time"
)]
#[case::too_many_attempts(
    "[rules]\nmost_dispatches = 6",
    "scenario.toml:4: rules.most_dispatches: must be 1 to 5, but is 6"
)]
fn invalid_scenario_is_rejected_with_line_and_field(#[case] rest: &str, #[case] expected: &str) {
    let errors = decode_scenario(&format!("{HEAD}{rest}"), "scenario.toml").unwrap_err();
    assert!(errors[0].to_string().contains(expected), "{}", errors[0]);
}

#[rstest]
#[case(
    "name = 'test'\nlength = '25h'",
    "scenario.toml:2: length: must be above 0 and at most 24h"
)]
#[case("length = '1s'", "missing field `name`")]
#[case("name = 't\u{e9}", "scenario.toml:1:")]
fn invalid_top_level_key_is_rejected(#[case] text: &str, #[case] expected: &str) {
    assert!(
        decode_scenario(text, "scenario.toml").unwrap_err()[0]
            .to_string()
            .contains(expected)
    );
}

#[rstest]
#[case(0, Some("must be 1 to 64, but is 0"))]
#[case(65, Some("must be 1 to 64, but is 65"))]
#[case(1, Some("selects balancer 1: expected a number below 1"))]
#[case(5, None)]
fn balancer_count_is_rejected_if_a_fault_selects_a_balancer_beyond_it(
    #[case] balancers: usize,
    #[case] expected: Option<&str>,
) {
    let fault = "[[faults]]\nkind = 'balancer_killed'\nat = '1s'\nfor = '1s'\nbalancers = [1]";
    let mut scenario = decode_scenario(&format!("{HEAD}{fault}"), "scenario.toml").unwrap();
    let set = set_balancer_count(&mut scenario, balancers);
    assert_eq!(set.is_ok(), expected.is_none());
    assert!(expected.is_none_or(|expected| set.unwrap_err().to_string().contains(expected)));
    assert_eq!(
        *scenario.balancers.get_ref(),
        if expected.is_none() { balancers } else { 2 }
    );
}

#[test]
fn all_errors_of_a_scenario_are_reported() {
    let text = format!("{HEAD}balancers = 0\n[fleet]\nservers = 0\n[traffic]\nrate = -1.0");
    assert_eq!(
        decode_scenario(&text, "scenario.toml").unwrap_err().len(),
        3
    );
}
