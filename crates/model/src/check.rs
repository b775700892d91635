//! Reads a day and says all that is wrong with it, each problem with file, line and field.

use std::fmt;

use toml::Spanned;

use crate::day::{Day, Effect, Fault, Kind, Span};
use crate::faults::{self, Timeline};
use crate::{Micros, SECOND, fleet};

/// The longest day: beyond it lies a slip of the pen.
const LONGEST: Micros = 24 * 3600 * SECOND;
/// The most servers, balancers and tickets a second that one machine can be asked for.
const SERVERS_MOST: usize = 5_000;
const BALANCERS_MOST: usize = 64;
const RATE_MOST: f64 = 200_000.0;
const KEYS_MOST: usize = 1_000_000;
/// The most calls a second that a discovery can be said to carry.
const CALLS_MOST: f64 = 100_000.0;

/// One thing wrong with a day.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problem {
    pub file: String,
    /// From 1; 0 where it is about the file as a whole.
    pub line: usize,
    pub field: String,
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "{}:{}: {}: {}",
            self.file, self.line, self.field, self.reason
        )
    }
}

/// Decodes and checks a day. All problems are told at once, but for a text that cannot be decoded.
pub fn read(text: &str, file: &str) -> Result<Day, Vec<Problem>> {
    let mut problems = Problems {
        text,
        file,
        found: Vec::new(),
    };
    let day: Day = match toml::from_str(text) {
        Ok(day) => day,
        Err(problem) => {
            let at = problem.span().map_or(0, |span| span.start);
            let field = key_at(text, at);
            problems.add(at, &field, problem.message().replace('\n', " "));
            return Err(problems.found);
        }
    };
    problems.day(&day);
    if problems.found.is_empty() {
        problems.faults(&day);
    }
    if problems.found.is_empty() {
        Ok(day)
    } else {
        Err(problems.found)
    }
}

/// Puts another number of balancers in the place of what a day says, if its faults allow it.
pub fn set_balancers(day: &mut Day, balancers: usize) -> Result<(), String> {
    if balancers == 0 || balancers > BALANCERS_MOST {
        return Err(format!("must be 1 to {BALANCERS_MOST}"));
    }
    let mut named = day
        .faults
        .iter()
        .flat_map(|fault| fault.get_ref().balancers.iter().flatten());
    if let Some(named) = named.find(|number| **number >= balancers) {
        return Err(format!(
            "a fault of the day names balancer {named}, and there would be {balancers}"
        ));
    }
    *day.balancers.as_mut() = balancers;
    Ok(())
}

/// Decodes and checks one fault that is added by hand while a day is played; its `at` counts from now.
pub fn by_hand(day: &Day, text: &str, now: Micros) -> Result<Fault, String> {
    let mut fault: Fault =
        toml::from_str(text).map_err(|problem| problem.message().replace('\n', " "))?;
    let mut problems = Problems {
        text,
        file: "fault",
        found: Vec::new(),
    };
    problems.fault(day, 0, &fault);
    if let Some(problem) = problems.found.first() {
        return Err(format!("{}: {}", problem.field, problem.reason));
    }
    if !fault.kind.hits_servers()
        && !matches!(
            fault.kind,
            Kind::Grow | Kind::DiscoveryGone | Kind::DiscoveryStale
        )
    {
        return Err(format!(
            "kind: {:?} needs clients or balancers, which are not here",
            fault.kind
        ));
    }
    fault.at.0 += now;
    Ok(fault)
}

/// The key of the line that holds that place.
fn key_at(text: &str, at: usize) -> String {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let line = text[..at].rfind('\n').map_or(0, |end| end + 1);
    let line = text[line..].lines().next().unwrap_or("");
    line.split('=').next().unwrap_or("").trim().to_owned()
}

struct Problems<'a> {
    text: &'a str,
    file: &'a str,
    found: Vec<Problem>,
}

impl Problems<'_> {
    fn add(&mut self, at: usize, field: &str, reason: impl Into<String>) {
        let line = self
            .text
            .bytes()
            .take(at)
            .filter(|byte| *byte == b'\n')
            .count()
            + 1;
        let (file, field) = (self.file.to_owned(), field.to_owned());
        self.found.push(Problem {
            file,
            line,
            field,
            reason: reason.into(),
        });
    }

    /// Adds a problem about a field that has no place of its own: the first line that sets it, in its table.
    fn about(&mut self, table: &str, field: &str, reason: impl Into<String>) {
        let from = self.text.find(&format!("[{table}]")).unwrap_or(0);
        let mut at = from;
        for line in self.text[from..].split_inclusive('\n') {
            if line
                .split('=')
                .next()
                .is_some_and(|key| key.trim() == field)
            {
                return self.add(at, &format!("{table}.{field}"), reason);
            }
            at += line.len();
        }
        self.add(from, &format!("{table}.{field}"), reason);
    }

    fn share(&mut self, table: &str, field: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.about(table, field, format!("{value} is no part of 1"));
        }
    }

    fn day(&mut self, day: &Day) {
        let length = day.length.get_ref().0;
        if length == 0 || length > LONGEST {
            self.add(
                day.length.span().start,
                "length",
                "must be over 0 and at most a day (24h)",
            );
        }
        let balancers = *day.balancers.get_ref();
        if balancers == 0 || balancers > BALANCERS_MOST {
            self.add(
                day.balancers.span().start,
                "balancers",
                format!("must be 1 to {BALANCERS_MOST}"),
            );
        }
        let servers = *day.fleet.servers.get_ref();
        if servers == 0 || servers > SERVERS_MOST {
            self.add(
                day.fleet.servers.span().start,
                "fleet.servers",
                format!("must be 1 to {SERVERS_MOST}"),
            );
        }
        let rate = *day.traffic.rate.get_ref();
        if !(rate > 0.0 && rate <= RATE_MOST) {
            self.add(
                day.traffic.rate.span().start,
                "traffic.rate",
                format!("must be over 0 and at most {RATE_MOST}"),
            );
        }
        if day.fleet.zones.is_empty() {
            self.about("fleet", "zones", "names no zone");
        }
        if day.fleet.connections == 0 {
            self.about("fleet", "connections", "0 connections serve nobody");
        }
        self.share("fleet", "keys_save", day.fleet.keys_save);
        self.share("rules", "cold_from", day.rules.cold_from);
        if day.rules.cold_from <= 0.0 || day.rules.cold_multiple <= 0.0 {
            self.about(
                "rules",
                "cold_from",
                "a cold server that can do nothing never warms",
            );
        }
        if !(1..=5).contains(&day.rules.most_dispatches) {
            self.about("rules", "most_dispatches", "must be 1 to 5");
        }
        if day.discovery.delay[0] > day.discovery.delay[1] {
            self.about("discovery", "delay", "the least is above the greatest");
        }
        if !(0.0..=CALLS_MOST).contains(&day.discovery.calls_per_second) {
            self.about(
                "discovery",
                "calls_per_second",
                format!("must be 0 to {CALLS_MOST}"),
            );
        }
        if day.traffic.keys == 0 || day.traffic.keys > KEYS_MOST {
            self.about("traffic", "keys", format!("must be 1 to {KEYS_MOST}"));
        }
        if !(day.traffic.give_up > 0.0 && day.traffic.give_up <= 1.0) {
            self.about("traffic", "give_up", "must be over 0 and at most 1");
        }
        self.share("traffic", "leaves", day.traffic.leaves);
        if day
            .traffic
            .curve
            .windows(2)
            .any(|pair| pair[0].0 >= pair[1].0)
        {
            self.about("traffic", "curve", "its times must rise");
        }
        if day
            .traffic
            .curve
            .iter()
            .any(|(_, multiple)| !(0.0..=100.0).contains(multiple))
        {
            self.about("traffic", "curve", "multiples must be 0 to 100");
        }
        self.named("machines", &day.machines, |machine| {
            (&machine.name, machine.share)
        });
        self.named("use_cases", &day.use_cases, |use_case| {
            (&use_case.name, use_case.share)
        });
        if !day.tenants.is_empty() {
            self.named("tenants", &day.tenants, |tenant| {
                (&tenant.name, tenant.share)
            });
        }
        for machine in &day.machines {
            let (at, machine) = (machine.span().start, machine.get_ref());
            if machine.cores == 0
                || !(machine.speed[0] > 0.0 && machine.speed[0] <= machine.speed[1])
            {
                self.add(
                    at,
                    "machines.speed",
                    "needs a core, and speeds over 0 from the least to the greatest",
                );
            }
        }
        for use_case in &day.use_cases {
            let (at, use_case) = (use_case.span().start, use_case.get_ref());
            let ends = use_case.hard_stop.0;
            if use_case.promised_time > use_case.hard_stop || ends == 0 {
                self.add(at, "use_cases.hard_stop", "lies before the promised time");
            }
            if use_case.effect == Effect::Labelled && use_case.window.0 == 0 {
                self.add(
                    at,
                    "use_cases.window",
                    "a label that is forgotten at once labels nothing",
                );
            }
        }
        let service = &day.service;
        let weights = [
            service.whole,
            service.worst_10s,
            service.worst_use_case,
            service.worst_tenant,
            service.tail,
        ];
        if weights.iter().any(|weight| *weight < 0.0) || weights.iter().sum::<f64>() <= 0.0 {
            self.about(
                "service",
                "whole",
                "weights must not be below 0, and their sum over it",
            );
        }
    }

    /// Names that are there once, and shares of which some are left.
    fn named<T>(&mut self, table: &str, entries: &[Spanned<T>], of: impl Fn(&T) -> (&String, f64)) {
        let at = entries.first().map_or(0, |entry| entry.span().start);
        let shares: f64 = entries.iter().map(|entry| of(entry.get_ref()).1).sum();
        if entries.iter().any(|entry| of(entry.get_ref()).1 < 0.0)
            || shares.is_nan()
            || shares <= 0.0
        {
            self.add(
                at,
                &format!("{table}.share"),
                "shares must not be below 0, and their sum over it",
            );
        }
        for (place, entry) in entries.iter().enumerate() {
            let name = of(entry.get_ref()).0;
            let known = entries[..place]
                .iter()
                .any(|other| of(other.get_ref()).0 == name);
            let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
            if known || name.is_empty() || !name.bytes().all(fits) {
                let reason =
                    format!("'{name}' is there twice, or no name of letters, digits, - and _");
                self.add(entry.span().start, &format!("{table}.name"), reason);
            }
        }
    }

    fn faults(&mut self, day: &Day) {
        let specs = fleet::specs(day, day.seed);
        for fault in &day.faults {
            let (at, fault) = (fault.span().start, fault.get_ref());
            self.fault(day, at, fault);
            if fault.kind.hits_servers() {
                let unknown = fault
                    .servers
                    .iter()
                    .flatten()
                    .find(|server| **server >= specs.len());
                let mut chance = crate::chance::Chance::new(0);
                if let Some(unknown) = unknown {
                    self.add(
                        at,
                        "faults.servers",
                        format!("there is no server {unknown}"),
                    );
                } else if faults::named(day, fault, &specs, &mut chance).is_empty() {
                    self.add(at, "faults", format!("{:?} hits no server", fault.kind));
                }
            }
        }
        if self.found.is_empty() {
            self.contradictions(day, &Timeline::new(day, &specs, day.seed));
        }
    }

    fn fault(&mut self, day: &Day, at: usize, fault: &Fault) {
        let kind = fault.kind;
        let begins = fault.at;
        if begins >= *day.length.get_ref() {
            self.add(at, "faults.at", "lies behind the end of the day");
        }
        if fault.lasts == Span(0)
            && !matches!(kind, Kind::Cold | Kind::Grow | Kind::BalancerReloaded)
        {
            self.add(at, "faults.for", "a fault that lasts no time");
        }
        match (kind.factor(), fault.factor) {
            (None, Some(_)) => self.add(at, "faults.factor", format!("{kind:?} takes none")),
            (Some((_, least, most)), Some(factor)) if !(least..=most).contains(&factor) => {
                self.add(
                    at,
                    "faults.factor",
                    format!("{factor} is not from {least} to {most}"),
                );
            }
            _ => {}
        }
        if kind.takes_by() != fault.by.is_some_and(|by| by.0 > 0) {
            let needs = if kind.takes_by() {
                "needs a span over 0"
            } else {
                "takes none"
            };
            self.add(at, "faults.by", format!("{kind:?} {needs}"));
        }
        if fault.part.is_some_and(|part| !(part > 0.0 && part <= 1.0)) {
            self.add(at, "faults.part", "must be over 0 and at most 1");
        }
        if let Some(zone) = fault
            .zone
            .as_ref()
            .filter(|zone| !day.fleet.zones.contains(zone))
        {
            self.add(at, "faults.zone", format!("there is no zone '{zone}'"));
        }
        let known = |name: &&String| {
            day.machines
                .iter()
                .any(|machine| machine.get_ref().name == **name)
        };
        if let Some(machine) = fault.machine.as_ref().filter(|name| !known(name)) {
            self.add(
                at,
                "faults.machine",
                format!("there is no machine type '{machine}'"),
            );
        }
        let names_servers =
            fault.servers.is_some() || fault.zone.is_some() || fault.machine.is_some();
        if !kind.hits_servers() && (names_servers || fault.part.is_some()) {
            self.add(
                at,
                "faults.servers",
                format!("{kind:?} hits no servers in particular"),
            );
        }
        let unknown = fault
            .balancers
            .iter()
            .flatten()
            .find(|balancer| **balancer >= *day.balancers.get_ref());
        if let Some(unknown) = unknown {
            self.add(
                at,
                "faults.balancers",
                format!("there is no balancer {unknown}"),
            );
        }
        let unknown = fault
            .against
            .iter()
            .flatten()
            .find(|other| **other >= *day.balancers.get_ref());
        if let Some(unknown) = unknown {
            self.add(
                at,
                "faults.against",
                format!("there is no balancer {unknown}"),
            );
        }
        if !kind.hits_ways() && (fault.against.is_some() || fault.one_way) {
            self.add(
                at,
                "faults.against",
                format!("{kind:?} lies on no way between balancers"),
            );
        }
        if !kind.hits_balancers() && !kind.hits_ways() && fault.balancers.is_some() {
            self.add(
                at,
                "faults.balancers",
                format!("{kind:?} hits no balancers"),
            );
        }
    }

    /// The same trouble twice at once on one server, or one that is away already.
    fn contradictions(&mut self, day: &Day, line: &Timeline) {
        let hits = line.hits();
        for (place, hit) in hits.iter().enumerate() {
            let clashes = |other: &&faults::Hit| {
                let both_away = hit.kind.takes_away() && other.kind.takes_away();
                other.server == hit.server
                    && (other.kind == hit.kind || both_away)
                    && other.from < hit.to
                    && hit.from < other.to
            };
            // What drained to its end is gone; its place has another server.
            let gone = |other: &&faults::Hit| {
                other.server == hit.server && other.kind == Kind::Drain && other.to <= hit.from
            };
            if let Some(other) = hits[..place]
                .iter()
                .find(|other| clashes(other) || gone(other))
            {
                let (fault, reason) = (
                    &day.faults[hit.fault],
                    format!(
                        "{:?} and {:?} contradict each other on server {}",
                        other.kind, hit.kind, hit.server
                    ),
                );
                self.add(fault.span().start, "faults", reason);
                return;
            }
        }
        let mut away: Vec<usize> = Vec::new();
        for (at, what) in &line.events {
            match what {
                faults::What::BalancerKilled(number) | faults::What::BalancerStopped(number) => {
                    if away.contains(number) {
                        let reason =
                            format!("balancer {number} is away already at {} s", at / SECOND);
                        return self.about("faults", "balancers", reason);
                    }
                    away.push(*number);
                }
                faults::What::BalancerStarts(number)
                | faults::What::BalancerTakesPlace(number, _) => away.retain(|gone| gone != number),
                _ => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
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
    #[case::hard_stop(
        "[[use_cases]]\nname = 'x'\neffect = 'redoable'\nwork = '1ms'\npromised_time = '1s'\nhard_stop = '1ms'",
        "lies before the promised time"
    )]
    #[case::dispatches(
        "[rules]\nmost_dispatches = 6",
        "d.toml:4: rules.most_dispatches: must be 1 to 5"
    )]
    fn a_bad_day_is_refused_with_its_place(#[case] rest: &str, #[case] wanted: &str) {
        let problems = read(&format!("{HEAD}{rest}"), "d.toml").unwrap_err();
        assert!(problems[0].to_string().contains(wanted), "{}", problems[0]);
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
            read(text, "d.toml").unwrap_err()[0]
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
        let mut day = read(&format!("{HEAD}{fault}"), "d.toml").unwrap();
        let set = set_balancers(&mut day, balancers);
        assert_eq!(set.is_ok(), wanted.is_none());
        assert!(wanted.is_none_or(|wanted| set.unwrap_err().contains(wanted)));
        assert_eq!(
            *day.balancers.get_ref(),
            if wanted.is_none() { balancers } else { 2 }
        );
    }

    #[test]
    fn all_problems_are_told_at_once() {
        let text = format!("{HEAD}balancers = 0\n[fleet]\nservers = 0\n[traffic]\nrate = -1.0");
        assert_eq!(read(&text, "d.toml").unwrap_err().len(), 3);
    }
}
