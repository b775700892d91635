use rstest::rstest;

use super::*;

#[rstest]
#[case("http://127.0.0.1:8080/look/1?x=2", Ok(("127.0.0.1:8080", "/look/1?x=2")))]
#[case("http://[::1]:81", Ok(("[::1]:81", "/")))]
#[case("http://127.0.0.1", Ok(("127.0.0.1:80", "/")))]
#[case("https://127.0.0.1/", Err("does not start with http://"))]
#[case("http://192.0.2.7:80/", Err("not a loopback address"))]
#[case("http://127.0.0.1:x/", Err("cannot resolve '127.0.0.1:x': invalid"))]
fn parse_url_accepts_http_urls_of_loopback_addresses_only(
    #[case] url: &str,
    #[case] expected: Result<(&str, &str), &str>,
) {
    match (parse_url(url), expected) {
        (Ok((address, path)), Ok(expected)) => {
            assert_eq!((address.to_string().as_str(), path.as_str()), expected);
        }
        (Err(error), Err(expected)) => {
            assert!(error.to_string().contains(expected), "{error}");
        }
        (parsed, _) => panic!("{parsed:?}"),
    }
}

#[test]
fn poisson_arrivals_have_the_rate_and_stay_within_the_duration() {
    let duration = Duration::from_secs(2);
    let count = arrivals(5000.0, duration, 1).count();
    assert!((9_500..10_500).contains(&count), "{count}");
}
