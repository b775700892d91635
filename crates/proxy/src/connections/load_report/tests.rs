use rstest::rstest;

use super::*;

fn report(utilisation: Option<f64>, queue: Option<f64>, in_flight: Option<f64>) -> LoadReport {
    LoadReport {
        utilisation,
        queue,
        in_flight,
    }
}

#[rstest]
#[case(
    "TEXT inflight=7, queue=2, util=0.61",
    report(Some(0.61), Some(2.0), Some(7.0))
)]
#[case("busy=0.5,q=1", report(Some(0.5), Some(1.0), None))]
#[case("TEXT inflight=7", report(None, None, Some(7.0)))]
#[case("TEXT util=NaN, queue=inf", report(None, None, None))]
#[case("nonsense", report(None, None, None))]
fn valid_values_of_a_report_are_parsed(#[case] text: &str, #[case] expected: LoadReport) {
    assert_eq!(parse_load_report(text), expected);
}

#[rstest]
#[case::none(&[], None)]
#[case::malformed(&["%%%"], None)]
#[case::valid_after_malformed(&["{", "TEXT util=0.5"], Some(report(Some(0.5), None, None)))]
fn the_first_valid_report_is_used(
    #[case] texts: &[&'static str],
    #[case] expected: Option<LoadReport>,
) {
    let field = |text: &&'static str| Header {
        name: "X-Pressure",
        value: text.as_bytes(),
    };
    assert_eq!(
        load_report(&texts.iter().map(field).collect::<Vec<_>>()),
        expected
    );
}
