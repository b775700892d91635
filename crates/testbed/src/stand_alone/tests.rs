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
#[case(
    "factor=1%0Azone%3D2",
    Err("field 'factor': expected a value without line breaks")
)]
#[case(
    "length=9",
    Err(
        "unknown field 'length': expected kind, at, for, over, servers, zone, machine, part, \
         factor or by"
    )
)]
fn a_form_is_converted_to_the_toml_of_one_fault_only(
    #[case] form: &str,
    #[case] expected: Result<&str, &str>,
) {
    assert_eq!(
        fault_toml(form).map_err(|error| error.to_string()),
        expected.map(str::to_owned).map_err(str::to_owned)
    );
}
