use rstest::rstest;

use super::*;

/// A key file of one test, which is deleted when the value is dropped.
struct KeyFile(std::path::PathBuf);

impl KeyFile {
    fn new(test: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("pinefront-key-{}-{test}", std::process::id()));
        std::fs::write(&path, "0123456789abcdef\n").unwrap();
        Self(path)
    }

    fn text(&self, more: &str) -> String {
        format!(
            "[fleet]\nname = 'f'\nkey_file = '{}'\n{more}",
            self.0.display()
        )
    }
}

impl Drop for KeyFile {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).unwrap();
    }
}

fn settings(text: &str) -> std::result::Result<FleetSettings, String> {
    FileReader {
        path: "o.toml",
        text,
    }
    .settings("b1", "a")
    .map_err(|error| error.to_string())
}

#[test]
fn missing_fields_have_the_defaults_of_the_configuration() {
    let key = KeyFile::new("defaults");
    let settings =
        settings(&key.text("listen = '127.0.0.1:7400'\nseeds = ['127.0.0.1:7401']")).unwrap();
    let member = &settings.member;
    assert_eq!(
        (member.name.as_str(), member.zone.as_str(), member.address),
        ("b1", "a", settings.listen)
    );
    assert_eq!(
        (member.probe_interval, member.seeds.len()),
        (MemberConfig::DEFAULT_PROBE_INTERVAL, 1)
    );
}

#[rstest]
#[case::unknown_field("listen = '127.0.0.1:1'\nspeed = 3", "o.toml:5: speed: unknown field")]
#[case::invalid_listen_address(
    "listen = 'here'",
    "o.toml:4: fleet.listen: invalid socket address 'here': expected IPV4:PORT"
)]
#[case::unspecified_listen_address(
    "listen = '0.0.0.0:7400'",
    "o.toml:4: fleet.listen: address 0.0.0.0:7400 is unreachable for other members: expected"
)]
#[case::unspecified_advertised_address(
    "listen = '0.0.0.0:7400'\nadvertise = '0.0.0.0:1'",
    "o.toml:5: fleet.advertise: unreachable address 0.0.0.0:1: expected"
)]
#[case::seed_with_port_0(
    "listen = '127.0.0.1:1'\nseeds = ['127.0.0.1:2', '127.0.0.1:0']",
    "o.toml:5: fleet.seeds: unreachable address 127.0.0.1:0: expected"
)]
#[case::duration_without_unit(
    "listen = '127.0.0.1:1'\nprobe_every = '2'",
    "o.toml:5: fleet.probe_every: invalid duration '2': expected 5ms to 60s"
)]
#[case::timeout_longer_than_half_the_interval(
    "listen = '127.0.0.1:1'\nanswer_within = '300ms'",
    "o.toml:5: fleet.answer_within: 300ms is too long: expected at most half of \
     fleet.probe_every (400ms)"
)]
#[case::member_name_with_space(
    "listen = '127.0.0.1:1'\nmember = 'a b'",
    "o.toml:5: fleet.member: invalid name 'a b': expected 1 to 64 visible ASCII characters \
     without double quotes"
)]
#[case::confirmed_dead_without_incarnation(
    "listen = '127.0.0.1:1'\nstruck = ['b1']",
    "o.toml:5: fleet.struck: invalid process 'b1': expected a name and a life"
)]
#[case::confirmed_dead_with_invalid_incarnation(
    "listen = '127.0.0.1:1'\nstruck = ['b1 1-2', 'b1 x-y']",
    "o.toml:5: fleet.struck: invalid life 'x-y': expected a life as shown by /fleet"
)]
#[case::two_voters(
    "listen = '127.0.0.1:1'\n[duties]\nvoters = ['b1', 'b2']",
    "o.toml:6: duties.voters: 2 voters: expected 1, 3, 5 or 7"
)]
#[case::duplicate_voter(
    "listen = '127.0.0.1:1'\n[duties]\nvoters = ['b1', 'b2', 'b1']",
    "o.toml:6: duties.voters: duplicate voter 'b1'"
)]
#[case::lease_duration_over_the_maximum(
    "listen = '127.0.0.1:1'\n[duties]\nvoters = ['b1']\nlease = '3s'",
    "o.toml:7: duties.lease: invalid duration '3s': expected 200ms to 2s"
)]
#[case::duplicate_lease(
    "listen = '127.0.0.1:1'\n[duties]\nvoters = ['b1']\nown = ['x', 'x']",
    "o.toml:7: duties.own: duplicate duty 'x'"
)]
#[case::field_of_wrong_type("listen = 5", "o.toml:4: listen: invalid type")]
#[case::missing_field("", "o.toml:1: [fleet]: missing field `listen`")]
fn errors_contain_line_and_field(#[case] more: &str, #[case] expected: &str) {
    let key = KeyFile::new(&format!("{:x}", more.len() * 1_000 + expected.len()));
    let error = settings(&key.text(more)).err().unwrap();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn error_for_a_missing_key_file_contains_its_path() {
    let text = "[fleet]\nname = 'f'\nkey_file = '/nowhere/key'\nlisten = '127.0.0.1:1'";
    assert!(
        settings(text)
            .err()
            .unwrap()
            .starts_with("o.toml:3: fleet.key_file: cannot read key file /nowhere/key: ")
    );
}

/// The operator file of the distribution, with its key file replaced by that of the test. With
/// `uncommented`, the settings in comments are included.
fn distributed_file(key: &KeyFile, uncommented: bool) -> String {
    let text = include_str!("../../../../../deploy/operator.toml");
    let line = |line: &str| match line.strip_prefix("# ") {
        Some(rest) if uncommented && (rest.contains(" = ") || rest.starts_with('[')) => {
            rest.to_owned()
        }
        _ => line.to_owned(),
    };
    let text: String = text.lines().map(|text| line(text) + "\n").collect();
    text.replace("/etc/pinefront/fleet.key", &key.0.display().to_string())
}

#[test]
fn distributed_operator_file_is_valid_without_changes() {
    let key = KeyFile::new("distributed");
    let settings = settings(&distributed_file(&key, false)).unwrap();
    let member = &settings.member;
    assert_eq!(member.fleet, "shop");
    assert_eq!(settings.listen, "0.0.0.0:7400".parse().unwrap());
    assert_eq!(member.address, "10.0.0.1:7400".parse().unwrap());
    let seeds = ["10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"];
    assert_eq!(member.seeds, seeds.map(|seed| seed.parse().unwrap()));
    assert_eq!((member.name.as_str(), member.zone.as_str()), ("b1", "a"));
    assert!(
        member.confirmed_dead.is_empty()
            && settings.address_overrides.is_empty()
            && settings.shared_list_zones.is_empty()
    );
    assert!(settings.leases.is_none());
}

#[test]
fn each_commented_setting_of_the_operator_file_is_read() {
    let key = KeyFile::new("uncommented");
    let text = distributed_file(&key, true)
        .replace("\"400ms\"", "\"500ms\"")
        .replace("\"100ms\"", "\"120ms\"")
        .replace("\"800ms\"", "\"900ms\"")
        .replace("\"1500ms\"", "\"1200ms\"")
        .replace("member = \"b1\"", "member = \"b9\"")
        .replace("zone = \"a\"", "zone = \"c\"");
    let settings = settings(&text).unwrap();
    let member = &settings.member;
    assert_eq!((member.name.as_str(), member.zone.as_str()), ("b9", "c"));
    assert_eq!(member.probe_interval, 500_000);
    assert_eq!(member.probe_timeout, 120_000);
    assert_eq!(member.min_suspicion, 900_000);
    let incarnation: Incarnation = "1878a0c41c8c0-00c0ffee00c0ffee".parse().unwrap();
    assert_eq!(
        member.confirmed_dead,
        [(Rc::from("b7"), incarnation)].into_iter().collect()
    );
    let announced: SocketAddr = "10.0.0.2:7400".parse().unwrap();
    let used: SocketAddr = "192.0.2.7:7400".parse().unwrap();
    assert_eq!(
        settings.address_overrides,
        [(announced, used)].into_iter().collect()
    );
    let FleetLeases {
        config: lease_config,
        leases,
    } = settings.leases.unwrap();
    assert_eq!(lease_config.voters, ["b1", "b2", "b3"].map(Rc::from));
    assert_eq!(lease_config.duration, 1_200_000);
    let names: Vec<&str> = leases.iter().map(|lease| &*lease.name).collect();
    assert_eq!(names, ["nightly-report", "roster/a"]);
    let shared_list = (LeaseId::from_name("roster/a"), Rc::from("a"));
    assert_eq!(
        settings.shared_list_zones,
        [shared_list].into_iter().collect()
    );
}

#[rstest]
#[case::top("speed = 3\n", "", "speed")]
#[case::table("", "[other]\nx = 1\n", "[other]")]
#[case::leases("", "[duties]\nvoters = ['b1']\nspeed = 3\n", "speed")]
fn unknown_keys_outside_of_fleet_are_rejected(
    #[case] above: &str,
    #[case] below: &str,
    #[case] field: &str,
) {
    let key = KeyFile::new(&format!("unknown-{}", above.len() + below.len()));
    let text = format!("{above}{}\n{below}", key.text("listen = '127.0.0.1:1'"));
    let error = settings(&text).err().unwrap();
    assert!(
        error.contains(&format!(": {field}: unknown field")),
        "{error}"
    );
}
