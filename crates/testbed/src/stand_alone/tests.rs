use rstest::rstest;

use super::*;

#[rstest]
#[case(
    "kind=freeze&servers=0%2C1&for=5s",
    Ok("kind = \"freeze\"\nservers = [0,1]\nfor = \"5s\"\nat = \"0s\"\n")
)]
#[case("kind=slow&factor=&at=1s", Ok("kind = \"slow\"\nat = \"1s\"\n"))]
#[case(
    "kind=slow%0Aat&for=1s",
    Ok("kind = \"slow\\nat\"\nfor = \"1s\"\nat = \"0s\"\n")
)]
#[case("factor=1%0Azone%3D2", Err("field 'factor' holds a line break"))]
#[case("length=9", Err("no field 'length'"))]
fn a_form_becomes_a_fault_and_nothing_else(#[case] form: &str, #[case] wanted: Result<&str, &str>) {
    assert_eq!(
        fault_toml(form).map_err(|problem| problem.to_string()),
        wanted.map(str::to_owned).map_err(str::to_owned)
    );
}
