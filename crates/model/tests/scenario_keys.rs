//! The keys of a scenario file, held in place: every key of every table, every kind of fault, and the texts that refuse
//! a file are compared byte for byte with what is recorded.
//!
//! `RECORD_SCENARIO=1 cargo test -p pinefront-model` writes the recordings anew; only a change that is meant to alter
//! the file format may do so. `recorded/every_key.toml` is written by hand.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use pinefront_model::check;
use pinefront_model::day::{Day, Effect, Fault, Group, Kind, Span};
use pinefront_model::faults::Timeline;
use pinefront_model::fleet;

const EVERY_KEY: &str = include_str!("recorded/every_key.toml");
const HEAD: &str = "name = \"d\"\nlength = \"60s\"\nbalancers = 3\n";

fn compare(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/recorded")
        .join(name);
    if std::env::var_os("RECORD_SCENARIO").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    let recorded = std::fs::read_to_string(&path).expect("the recording is there");
    for (number, (line, recorded)) in text.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(line, recorded, "{name}:{}", number + 1);
    }
    assert_eq!(text, recorded, "{name}");
}

/// Lines of `key = value`, by the keys of the file.
#[derive(Default)]
struct Values(String);

impl Values {
    fn add(&mut self, key: &str, value: impl std::fmt::Display) {
        writeln!(self.0, "{key} = {value}").unwrap();
    }

    fn span(&mut self, key: &str, span: Span) {
        self.add(key, format!("{} us", span.0));
    }

    fn optional<T>(&mut self, key: &str, value: Option<T>, text: impl Fn(T) -> String) {
        self.add(key, value.map_or("none".to_owned(), text));
    }
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Redoable => "redoable",
        Effect::Labelled => "labelled",
        Effect::Irreversible => "irreversible",
    }
}

fn group_name(group: Group) -> &'static str {
    match group {
        Group::All => "all",
        Group::Zone => "zone",
        Group::Cell => "cell",
    }
}

fn add_head(values: &mut Values, day: &Day) {
    values.add("name", &day.name);
    values.add("about", &day.about);
    values.span("length", *day.length.get_ref());
    values.add("seed", day.seed);
    values.add("balancers", day.balancers.get_ref());
    values.add("duties", day.duties);
    values.add("roster", day.roster);
}

fn add_rules(values: &mut Values, day: &Day) {
    let rules = &day.rules;
    values.span("rules.drain_grace", rules.drain_grace);
    values.span("rules.slack", rules.slack);
    values.span("rules.late", rules.late);
    values.add("rules.cold_from", rules.cold_from);
    values.span("rules.warm_after", rules.warm_after);
    values.add("rules.cold_multiple", rules.cold_multiple);
    values.span("rules.cold_span", rules.cold_span);
    values.add("rules.most_dispatches", rules.most_dispatches);
    values.add("rules.second_copies", rules.second_copies);
    values.span("rules.come_back", rules.come_back);
}

fn add_fleet(values: &mut Values, day: &Day) {
    let fleet = &day.fleet;
    values.add("fleet.servers", fleet.servers.get_ref());
    values.add("fleet.zones", fleet.zones.join(" "));
    values.add("fleet.cell", fleet.cell);
    values.add("fleet.queue", fleet.queue);
    values.add("fleet.connections", fleet.connections);
    values.span("fleet.handshake", fleet.handshake);
    values.span("fleet.idle", fleet.idle);
    values.add("fleet.flooded_by", fleet.flooded_by);
    values.span("fleet.flooded_after", fleet.flooded_after);
    values.add("fleet.flooded_slower", fleet.flooded_slower);
    values.span("fleet.flooded_rest", fleet.flooded_rest);
    values.span("fleet.reports", fleet.reports);
    values.span("fleet.keeps_keys", fleet.keeps_keys);
    values.add("fleet.keys_save", fleet.keys_save);
    values.add("fleet.stops_work", fleet.stops_work);
    for machine in &day.machines {
        let machine = machine.get_ref();
        values.add("machines.name", &machine.name);
        values.add("machines.share", machine.share);
        values.add("machines.cores", machine.cores);
        values.add("machines.speed[0]", machine.speed[0]);
        values.add("machines.speed[1]", machine.speed[1]);
    }
}

fn add_discovery(values: &mut Values, day: &Day) {
    let discovery = &day.discovery;
    values.span("discovery.ask_within", discovery.ask_within);
    values.span("discovery.delay[0]", discovery.delay[0]);
    values.span("discovery.delay[1]", discovery.delay[1]);
    values.add("discovery.calls_per_second", discovery.calls_per_second);
    values.span("discovery.longest_queue", discovery.longest_queue);
}

fn add_classes(values: &mut Values, day: &Day) {
    for class in &day.use_cases {
        let class = class.get_ref();
        values.add("use_cases.name", &class.name);
        values.add("use_cases.share", class.share);
        values.add("use_cases.effect", effect_name(class.effect));
        values.add("use_cases.group", group_name(class.group));
        values.span("use_cases.window", class.window);
        values.span("use_cases.work", class.work);
        values.add("use_cases.scatter", class.scatter);
        values.span("use_cases.waits", class.waits);
        values.span("use_cases.promised_time", class.promised_time);
        values.span("use_cases.hard_stop", class.hard_stop);
        values.add("use_cases.earnings", class.earnings);
    }
}

fn add_traffic(values: &mut Values, day: &Day) {
    let traffic = &day.traffic;
    values.add("traffic.rate", traffic.rate.get_ref());
    for point in &traffic.curve {
        values.span("traffic.curve[0]", point.0);
        values.add("traffic.curve[1]", point.1);
    }
    values.add("traffic.keys", traffic.keys);
    values.add("traffic.skew", traffic.skew);
    values.add("traffic.retries", traffic.retries);
    values.span("traffic.retry_wait", traffic.retry_wait);
    values.add("traffic.give_up", traffic.give_up);
    values.add("traffic.leaves", traffic.leaves);
    for tenant in &day.tenants {
        let tenant = tenant.get_ref();
        values.add("tenants.name", &tenant.name);
        values.add("tenants.share", tenant.share);
        values.add("tenants.allowance", tenant.allowance);
    }
}

fn add_service(values: &mut Values, day: &Day) {
    let service = &day.service;
    values.add("service.whole", service.whole);
    values.add("service.worst_10s", service.worst_10s);
    values.add("service.worst_use_case", service.worst_use_case);
    values.add("service.worst_tenant", service.worst_tenant);
    values.add("service.tail", service.tail);
    values.add("service.late_free", service.late_free);
}

fn add_fault(values: &mut Values, fault: &Fault) {
    let kind = KINDS.iter().find(|(_, kind)| *kind == fault.kind).unwrap();
    let numbers = |numbers: &Vec<usize>| {
        let texts: Vec<_> = numbers.iter().map(ToString::to_string).collect();
        texts.join(" ")
    };
    values.add("faults.kind", kind.0);
    values.span("faults.at", fault.at);
    values.span("faults.for", fault.lasts);
    values.optional("faults.servers", fault.servers.as_ref(), numbers);
    values.optional("faults.zone", fault.zone.as_ref(), String::clone);
    values.optional("faults.machine", fault.machine.as_ref(), String::clone);
    values.optional("faults.part", fault.part, |part| part.to_string());
    values.optional("faults.balancers", fault.balancers.as_ref(), numbers);
    values.optional("faults.against", fault.against.as_ref(), numbers);
    values.add("faults.one_way", fault.one_way);
    values.optional("faults.factor", fault.factor, |factor| factor.to_string());
    values.optional("faults.by", fault.by, |by| format!("{} us", by.0));
    values.span("faults.over", fault.over);
}

fn values_of(day: &Day) -> String {
    let mut values = Values::default();
    add_head(&mut values, day);
    add_rules(&mut values, day);
    add_fleet(&mut values, day);
    add_discovery(&mut values, day);
    add_classes(&mut values, day);
    add_traffic(&mut values, day);
    add_service(&mut values, day);
    for fault in &day.faults {
        add_fault(&mut values, fault.get_ref());
    }
    values.0
}

/// Every kind of fault by its name in the file.
const KINDS: [(&str, Kind); 51] = [
    ("freeze", Kind::Freeze),
    ("neighbour", Kind::Neighbour),
    ("slow", Kind::Slow),
    ("silent", Kind::Silent),
    ("lost", Kind::Lost),
    ("errors", Kind::Errors),
    ("spoilt", Kind::Spoilt),
    ("reset", Kind::Reset),
    ("drain", Kind::Drain),
    ("crash", Kind::Crash),
    ("cold", Kind::Cold),
    ("grow", Kind::Grow),
    ("reports_late", Kind::ReportsLate),
    ("reports_absent", Kind::ReportsAbsent),
    ("discovery_gone", Kind::DiscoveryGone),
    ("discovery_stale", Kind::DiscoveryStale),
    ("burst", Kind::Burst),
    ("balancer_killed", Kind::BalancerKilled),
    ("balancer_stopped", Kind::BalancerStopped),
    ("balancer_stalled", Kind::BalancerStalled),
    ("balancer_swapped", Kind::BalancerSwapped),
    ("balancer_hurt", Kind::BalancerHurt),
    ("link_cut", Kind::LinkCut),
    ("link_lossy", Kind::LinkLossy),
    ("link_slow", Kind::LinkSlow),
    ("link_repeats", Kind::LinkRepeats),
    ("link_spoils", Kind::LinkSpoils),
    ("link_flood", Kind::LinkFlood),
    ("balancer_reloaded", Kind::BalancerReloaded),
    ("watches_silent", Kind::WatchesSilent),
    ("watches_reset", Kind::WatchesReset),
    ("discovery_slow", Kind::DiscoverySlow),
    ("lists_cut", Kind::ListsCut),
    ("lists_in_pieces", Kind::ListsInPieces),
    ("lists_late", Kind::ListsLate),
    ("lists_reset", Kind::ListsReset),
    ("lists_refused", Kind::ListsRefused),
    ("lists_whole", Kind::ListsWhole),
    ("lists_strange", Kind::ListsStrange),
    ("clients_in_pieces", Kind::ClientsInPieces),
    ("clients_stop", Kind::ClientsStop),
    ("clients_pipeline", Kind::ClientsPipeline),
    ("answers_in_pieces", Kind::AnswersInPieces),
    ("answers_unended", Kind::AnswersUnended),
    ("answers_twice", Kind::AnswersTwice),
    ("idle_closed", Kind::IdleClosed),
    ("system_fails", Kind::SystemFails),
    ("calls_short", Kind::CallsShort),
    ("connections_break", Kind::ConnectionsBreak),
    ("held_up", Kind::HeldUp),
    ("clock_steps", Kind::ClockSteps),
];

fn scenario_with_fault(kind_name: &str, kind: Kind) -> String {
    let by = if kind.takes_by() {
        "by = \"250ms\"\n"
    } else {
        ""
    };
    format!("{HEAD}[[faults]]\nkind = \"{kind_name}\"\nat = \"10s\"\nfor = \"5s\"\n{by}")
}

/// What a fault of one kind leads to, in the terms of the file.
fn effect_of(kind_name: &str, kind: Kind) -> String {
    let day = check::read(&scenario_with_fault(kind_name, kind), "d.toml").unwrap();
    assert_eq!(day.faults[0].get_ref().kind, kind);
    let specs = fleet::specs(&day, day.seed);
    let timeline = Timeline::new(&day, &specs, day.seed);
    let factor = kind.factor().map_or("no factor".to_owned(), |factor| {
        format!("factor {} from {} to {}", factor.0, factor.1, factor.2)
    });
    let condition = timeline.condition(0, 11_000_000);
    let wide = timeline.wide(kind, 11_000_000).is_some();
    format!(
        "{kind_name}: servers {}, balancers {}, links {}, wide {wide}, {factor}, by {}, away {}, \
         server hits {}, link faults {}, events {} at {:?}; \
         frozen {} silent {} lost {} rate {} errors {} spoilt {} reset {} reports {} us late, absent {}",
        kind.hits_servers(),
        kind.hits_balancers(),
        kind.hits_ways(),
        kind.takes_by(),
        kind.takes_away(),
        timeline.hits().len(),
        timeline.ways.troubles.len(),
        timeline.events.len(),
        timeline
            .events
            .iter()
            .map(|event| event.0)
            .collect::<std::collections::BTreeSet<_>>(),
        condition.frozen,
        condition.silent,
        condition.lost,
        condition.rate,
        condition.errors,
        condition.spoilt,
        condition.reset,
        condition.reports_late,
        condition.reports_absent,
    )
}

/// Files that are refused: an unknown key in each table, values of the wrong type, and what a check finds.
fn refused_files() -> Vec<String> {
    let class = "[[use_cases]]\nname = 'x'\neffect = 'redoable'\nwork = '1ms'\npromised_time = '1s'\nhard_stop = '2s'\n";
    let fault = "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\n";
    let mut files: Vec<String> = ["rules", "fleet", "discovery", "traffic", "service"]
        .iter()
        .map(|table| format!("{HEAD}[{table}]\nnobody_knows = 1\n"))
        .collect();
    let rest = [
        "nobody_knows = 1\n".to_owned(),
        "[[machines]]\nname = 'm'\nnobody_knows = 1\n".to_owned(),
        format!("{class}nobody_knows = 1\n"),
        "[[tenants]]\nname = 't'\nallowance = 1.0\nnobody_knows = 1\n".to_owned(),
        format!("{fault}nobody_knows = 1\n"),
        "seed = 'many'\n".to_owned(),
        "duties = -1\n".to_owned(),
        "roster = 'yes'\n".to_owned(),
        "[rules]\nslack = 50\n".to_owned(),
        "[rules]\nslack = 'soon'\n".to_owned(),
        "[rules]\nsecond_copies = 1\n".to_owned(),
        "[fleet]\nzones = 'a'\n".to_owned(),
        "[fleet]\nqueue = 1.5\n".to_owned(),
        "[fleet]\nservers = '12'\n".to_owned(),
        "[discovery]\ndelay = ['1s']\n".to_owned(),
        "[traffic]\nrate = 'fast'\n".to_owned(),
        "[traffic]\ncurve = [['0s']]\n".to_owned(),
        "[[tenants]]\nname = 't'\n".to_owned(),
        "[[use_cases]]\nname = 'x'\neffect = 'maybe'\n".to_owned(),
        "[[use_cases]]\nname = 'x'\neffect = 'labelled'\ngroup = 'none'\n".to_owned(),
        "[[faults]]\nkind = 'nobody_knows'\nat = '1s'\n".to_owned(),
        "[[faults]]\nkind = 'freeze'\n".to_owned(),
        format!("{fault}servers = 3\n"),
        format!("{fault}servers = [99]\n"),
        format!("{fault}zone = 'q'\n"),
        format!("{fault}machine = 'q'\n"),
        format!("{fault}part = 1.5\n"),
        format!("{fault}factor = 2.0\n"),
        format!("{fault}by = '1s'\n"),
        format!("{fault}balancers = [7]\n"),
        format!("{fault}against = [7]\none_way = true\n"),
        "[[faults]]\nkind = 'burst'\nat = '70s'\nfactor = 101.0\npart = 0.5\n".to_owned(),
        "[[faults]]\nkind = 'reports_late'\nat = '1s'\nfor = '1s'\n".to_owned(),
        format!("{fault}{fault}"),
        "[[faults]]\nkind = 'balancer_killed'\nat = '1s'\nfor = '5s'\nbalancers = [0, 0]\n".to_owned(),
        "[[faults]]\nkind = 'freeze'\nat = '1s'\nfor = '1s'\nservers = []\n".to_owned(),
        "[rules]\ncold_from = 0.0\nmost_dispatches = 6\n".to_owned(),
        "[fleet]\nservers = 0\nzones = []\nconnections = 0\nkeys_save = 1.5\n".to_owned(),
        "[discovery]\ndelay = ['2s', '1s']\ncalls_per_second = -1.0\n".to_owned(),
        "[traffic]\nrate = 0.0\nkeys = 0\ngive_up = 0.0\nleaves = 2.0\ncurve = [['2s', 1.0], ['1s', 200.0]]\n".to_owned(),
        "[service]\nwhole = -1.0\n".to_owned(),
        "[[machines]]\nname = 'm'\ncores = 0\nshare = -1.0\n".to_owned(),
        "[[machines]]\nname = 'm'\nspeed = [2.0, 1.0]\n[[machines]]\nname = 'm'\n".to_owned(),
        "[[use_cases]]\nname = 'x y'\neffect = 'labelled'\nwindow = '0s'\nwork = '1ms'\npromised_time = '1s'\nhard_stop = '1ms'\n"
            .to_owned(),
    ];
    files.extend(rest.into_iter().map(|rest| format!("{HEAD}{rest}")));
    files.push("name = 'd'\nlength = '0s'\nbalancers = 0\n".to_owned());
    files.push("name = 'd'\nlength = '25h'\nbalancers = 65\n".to_owned());
    files.push("length = '1s'\n".to_owned());
    files.push("name = 'd'\n".to_owned());
    files
}

#[test]
fn every_key_is_read_back() {
    let day = check::read(EVERY_KEY, "every_key.toml").unwrap();
    compare("every_key.txt", &values_of(&day));
}

#[test]
fn keys_that_are_left_out_have_their_defaults() {
    let day = check::read("name = 'd'\nlength = '60s'\n", "d.toml").unwrap();
    compare("defaults.txt", &values_of(&day));
}

#[test]
fn every_kind_of_fault_leads_to_the_same() {
    let lines: Vec<_> = KINDS
        .iter()
        .map(|(name, kind)| effect_of(name, *kind) + "\n")
        .collect();
    compare("fault_kinds.txt", &lines.concat());
    let alias = scenario_with_fault("balancer_restarted", Kind::BalancerKilled);
    let day = check::read(&alias, "d.toml").unwrap();
    assert_eq!(day.faults[0].get_ref().kind, Kind::BalancerKilled);
}

#[test]
fn refused_files_are_told_with_place_and_text() {
    let mut text = String::new();
    for file in refused_files() {
        let problems = check::read(&file, "d.toml").unwrap_err();
        let added = file.strip_prefix(HEAD).unwrap_or(&file);
        writeln!(text, "{added:?}").unwrap();
        for problem in problems {
            writeln!(text, "    {problem}").unwrap();
        }
    }
    compare("refused.txt", &text);
}

#[test]
fn every_file_in_scenarios_is_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let day = check::read(&text, &path.display().to_string());
        assert!(day.is_ok(), "{:?}", day.err());
        count += 1;
    }
    assert!(count >= 29, "{count} scenarios");
}
