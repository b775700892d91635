//! Draws scenarios from seeds, as the text of a scenario file: settings, and faults that overlap in
//! time.
//!
//! A change of the order in which values are drawn changes the schedule of each seed.

mod catalog;

use std::fmt::Write as _;

use catalog::{ADDITIONAL_TEMPLATES, FaultTemplate, Range, TEMPLATES};
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{FaultKind, Scenario};

/// Sizes of the steps of the wall clock, in milliseconds.
const CLOCK_STEPS_MS: [u64; 4] = [2_000, 9_000, 60_000, 3_600_000];
const CLOCK_STEP_PROBABILITY: f64 = 0.25;
const MIN_SERVERS: usize = 8;
const MAX_SERVERS: usize = 16;
const MIN_BALANCERS: usize = 4;
const MAX_BALANCERS: usize = 12;
/// The smallest number of faults that are drawn for a group; the largest is one more.
const MIN_GROUP_SIZE: usize = 2;
/// The faults of a group start within this time from the start of the group.
const GROUP_SPREAD_MS: usize = 1_500;
/// The longest time over which the start of a fault is staggered over the balancers.
const MAX_STAGGER_MS: usize = 1_500;
/// A fault lasts at most half of the run minus this time, which is meant to leave time without
/// faults at the end of each half.
const FAULT_FREE_TIME_MS: u64 = 2_000;

/// Parameters that are the same for all schedules of a soak.
#[derive(Clone, Debug)]
pub struct ScheduleParameters {
    pub length_seconds: u64,
    /// Number of balancers; drawn from the seed where none is given.
    pub balancers: Option<usize>,
    pub requests_per_second: f64,
    /// Names of faults that each schedule contains in addition to the drawn ones.
    pub required_faults: Vec<String>,
}

/// The templates of all faults that schedules may contain.
fn all_templates() -> impl Iterator<Item = &'static FaultTemplate> {
    TEMPLATES.iter().chain(&ADDITIONAL_TEMPLATES)
}

/// The name of a kind of fault in schedules.
pub fn fault_name(kind: FaultKind) -> &'static str {
    let template = all_templates().find(|template| template.kind == kind);
    match template {
        Some(template) => template.name,
        None if kind == FaultKind::ClockSteps => "clock_steps",
        None => "other",
    }
}

/// The names of the faults of a scenario.
pub fn fault_names(scenario: &Scenario) -> Vec<String> {
    let faults = scenario.faults.iter();
    faults
        .map(|fault| fault_name(fault.get_ref().kind).to_owned())
        .collect()
}

/// Draws the schedule of a seed, as the text of a scenario file.
pub fn draw(seed: u64, parameters: &ScheduleParameters) -> String {
    let mut random = RandomSource::split(seed, "soak", 0);
    let balancers = parameters
        .balancers
        .unwrap_or_else(|| MIN_BALANCERS + random.below(MAX_BALANCERS - MIN_BALANCERS + 1));
    let text = draw_settings(seed, parameters, balancers, &mut random);
    let mut schedule = Schedule {
        text,
        random,
        balancers,
        length_ms: parameters.length_seconds * 1000,
        drawn: Vec::new(),
    };
    schedule.add_group(Group::First);
    schedule.add_group(Group::Second);
    schedule.add_required_faults(&parameters.required_faults);
    schedule.text
}

/// Draws the settings of a scenario, without its faults.
fn draw_settings(
    seed: u64,
    parameters: &ScheduleParameters,
    balancers: usize,
    random: &mut RandomSource,
) -> String {
    let pick = |random: &mut RandomSource, from: &[&'static str]| from[random.below(from.len())];
    let scope = pick(random, &["all", "zone", "cell"]);
    let window = pick(random, &["500ms", "1s", "2500ms"]);
    let grace = pick(random, &["250ms", "400ms", "1s", "2s"]);
    let deadline = pick(random, &["600ms", "1s", "2500ms"]);
    let poll_interval = pick(random, &["0s", "4s", "10s"]);
    let servers = MIN_SERVERS + random.below(MAX_SERVERS - MIN_SERVERS + 1);
    let hedging = random.happens(0.5);
    let disconnects = [0.0, 0.02, 0.1][random.below(3)];
    let retries = random.below(3);
    format!(
        "name = \"soak-{seed}\"\nlength = \"{}s\"\nseed = {seed}\nbalancers = {balancers}\n\
         [rules]\ndrain_grace = \"{grace}\"\nslack = \"100ms\"\nlate = \"500ms\"\n\
         second_copies = {hedging}\n\
         [fleet]\nservers = {servers}\n[discovery]\nask_within = \"{poll_interval}\"\n\
         [traffic]\nrate = {:.1}\nleaves = {disconnects}\nretries = {retries}\n\
         [[use_cases]]\nname = \"look\"\neffect = \"redoable\"\nshare = 0.5\nwork = \"8ms\"\n\
         promised_time = \"250ms\"\nhard_stop = \"{deadline}\"\n\
         [[use_cases]]\nname = \"order\"\neffect = \"labelled\"\ngroup = \"{scope}\"\n\
         window = \"{window}\"\nshare = 0.3\nwork = \"12ms\"\npromised_time = \"300ms\"\n\
         hard_stop = \"{deadline}\"\nearnings = 2.0\n\
         [[use_cases]]\nname = \"pay\"\neffect = \"irreversible\"\nshare = 0.2\nwork = \"12ms\"\n\
         promised_time = \"300ms\"\nhard_stop = \"{deadline}\"\nearnings = 3.0\n",
        parameters.length_seconds, parameters.requests_per_second
    )
}

/// One of the two groups of overlapping faults.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Group {
    /// Starts after an eighth of the run.
    First,
    /// Starts after half of the run.
    Second,
}

/// A schedule that is being drawn.
struct Schedule {
    text: String,
    random: RandomSource,
    balancers: usize,
    length_ms: u64,
    drawn: Vec<&'static FaultTemplate>,
}

impl Schedule {
    /// The time at which a group starts, in milliseconds.
    fn group_start_ms(&self, group: Group) -> u64 {
        match group {
            Group::First => self.length_ms / 8,
            Group::Second => self.length_ms / 2,
        }
    }

    /// Draws two or three faults that overlap, and adds those that conflict with no fault drawn
    /// before.
    fn add_group(&mut self, group: Group) {
        let start = self.group_start_ms(group);
        let count = MIN_GROUP_SIZE + self.random.below(2);
        for _ in 0..count {
            let template = &TEMPLATES[self.random.below(TEMPLATES.len())];
            let mut others = self.drawn.iter();
            if others.any(|other| other.conflicts_with(template)) {
                continue;
            }
            self.drawn.push(template);
            let at_ms = start + self.random.below(GROUP_SPREAD_MS) as u64;
            let max_ms = self.length_ms / 2 - FAULT_FREE_TIME_MS;
            self.add_fault(template, at_ms, max_ms, &candidate_servers(template, group));
        }
        if group == Group::First && self.random.happens(CLOCK_STEP_PROBABILITY) {
            self.add_clock_step(start);
        }
    }

    /// Adds a step of the wall clock that lasts until the end of the run, since its end would be a
    /// second step.
    fn add_clock_step(&mut self, at_ms: u64) {
        let by_ms = CLOCK_STEPS_MS[self.random.below(CLOCK_STEPS_MS.len())];
        let factor = if self.random.happens(0.5) { 1.0 } else { -1.0 };
        let duration_ms = self.length_ms - at_ms;
        // Writing to a string cannot fail.
        let _ = write!(
            self.text,
            "[[faults]]\nkind = \"clock_steps\"\nat = \"{at_ms}ms\"\nfor = \"{duration_ms}ms\"\n\
             by = \"{by_ms}ms\"\nfactor = {factor:.1}\n"
        );
    }

    /// Adds faults by name, except for those that were drawn.
    fn add_required_faults(&mut self, names: &[String]) {
        for name in names {
            if self.drawn.iter().any(|drawn| drawn.name == name) {
                continue;
            }
            if let Some(template) = all_templates().find(|template| template.name == name) {
                let at_ms = self.group_start_ms(Group::First);
                let servers = odd_servers();
                self.add_fault(template, at_ms, self.length_ms / 2, &servers);
            }
        }
    }

    /// Draws the parameters of a fault and adds it. `servers` are the servers that the fault may
    /// affect.
    fn add_fault(
        &mut self,
        template: &FaultTemplate,
        at_ms: u64,
        max_duration_ms: u64,
        servers: &[usize],
    ) {
        let duration_ms = self.draw_ms(template.duration_ms).min(max_duration_ms);
        let name = template.name;
        // Writing to a string cannot fail, in this function either.
        let _ = write!(
            self.text,
            "[[faults]]\nkind = \"{name}\"\nat = \"{at_ms}ms\"\nfor = \"{duration_ms}ms\"\n"
        );
        if let Some(range) = template.factor {
            let factor = self.random.between(range.min, range.max);
            let _ = writeln!(self.text, "factor = {factor:.4}");
        }
        if let Some(range) = template.by_ms {
            let by_ms = self.draw_ms(range);
            let _ = writeln!(self.text, "by = \"{by_ms}ms\"");
        }
        if let Some(max_fraction) = template.max_server_fraction {
            let indices = self.draw_some(max_fraction, servers.len());
            let numbers = indices.into_iter().map(|index| servers[index]);
            let _ = writeln!(self.text, "servers = [{}]", comma_separated(numbers));
        }
        if let Some(max_fraction) = template.max_balancer_fraction {
            let numbers = self.draw_some(max_fraction, self.balancers);
            let numbers = comma_separated(numbers.into_iter());
            let stagger_ms = self.random.below(MAX_STAGGER_MS);
            let _ = writeln!(
                self.text,
                "balancers = [{numbers}]\nover = \"{stagger_ms}ms\""
            );
        }
    }

    fn draw_ms(&mut self, range: Range<u64>) -> u64 {
        range.min + self.random.below((range.max - range.min + 1) as usize) as u64
    }

    /// Draws at least one of the numbers below `count`, and at most the given fraction of them.
    fn draw_some(&mut self, max_fraction: f64, count: usize) -> Vec<usize> {
        let max = (max_fraction * count as f64).ceil() as usize;
        let chosen = 1 + self.random.below(max);
        self.random.sample_indices(chosen.min(count), count)
    }
}

/// The candidate servers of a fault of a group. Faults that remove servers affect servers with
/// even numbers only. Other faults of the second group avoid those, since the first group may have
/// removed them.
fn candidate_servers(template: &FaultTemplate, group: Group) -> Vec<usize> {
    let all = 0..MIN_SERVERS;
    match group {
        _ if template.removes_servers() => all.step_by(2).collect(),
        Group::First => all.collect(),
        Group::Second => odd_servers(),
    }
}

/// The servers with odd numbers, which no fault removes.
fn odd_servers() -> Vec<usize> {
    (0..MIN_SERVERS).skip(1).step_by(2).collect()
}

fn comma_separated(numbers: impl Iterator<Item = usize>) -> String {
    let numbers: Vec<_> = numbers.map(|number| number.to_string()).collect();
    numbers.join(", ")
}
