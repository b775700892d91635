use rstest::rstest;

use super::*;

#[rstest]
#[case("http://127.0.0.1:8080/look/1?x=2", Ok(("127.0.0.1:8080", "/look/1?x=2")))]
#[case("http://[::1]:81", Ok(("[::1]:81", "/")))]
#[case("http://127.0.0.1", Ok(("127.0.0.1:80", "/")))]
#[case("https://127.0.0.1/", Err("no http://"))]
#[case("http://192.0.2.7:80/", Err("not on this machine"))]
#[case("http://127.0.0.1:x/", Err("invalid"))]
fn only_this_machine_is_loaded(#[case] url: &str, #[case] wanted: Result<(&str, &str), &str>) {
    match (parse_url(url), wanted) {
        (Ok((address, path)), Ok(wanted)) => {
            assert_eq!((address.to_string().as_str(), path.as_str()), wanted);
        }
        (Err(problem), Err(wanted)) => assert!(problem.to_string().contains(wanted), "{problem}"),
        (found, _) => panic!("{found:?}"),
    }
}

#[test]
fn poisson_arrivals_have_their_rate_and_end_in_time() {
    let duration = Duration::from_secs(2);
    let count = arrivals(5000.0, duration, 1).count();
    assert!((9_500..10_500).contains(&count), "{count}");
}
