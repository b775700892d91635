use rstest::rstest;

use super::*;

#[rstest]
#[case("/pay/1?x=2", "/pay/1")]
#[case("http://app.svc/pay?x=2", "/pay")]
#[case("http://app.svc", "")]
#[case("/pay?to=http://x/look", "/pay")]
fn the_path_excludes_host_and_query(#[case] target: &str, #[case] expected: &str) {
    assert_eq!(target_path(target), expected);
}

#[rstest]
#[case("480", Some(480_000))]
#[case("0", Some(0))]
#[case("99999999999999999999", Some(1000 * MAX_REMAINING_MS))]
#[case("", None)]
#[case("4.5", None)]
#[case("+4", None)]
fn remaining_time_is_in_whole_milliseconds(#[case] text: &str, #[case] expected: Option<Micros>) {
    let fields = [Header {
        name: "X-Remaining-Ms",
        value: text.as_bytes(),
    }];
    assert_eq!(remaining_time(&fields), expected);
}
