//! The bound at the definition of [`Schedule`], on a virtual clock: discovery that is cut off, refuses, turns calls away,
//! cuts its answers and lets watches fall silent, in any order. The schedule is driven as `wire/discovery` drives it.

use rstest::rstest;

use super::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const TICK: Micros = 5 * MS;
const WITHIN: Micros = 10 * SECOND;
/// How long a call may wait for its turn for the bound to hold.
const TURN: Micros = 1_700 * MS;
/// Within this a call for changes goes on where the last such ended, and waits for no turn.
const GOES_ON: Micros = 200 * MS;

/// For tests on sockets too.
impl Schedule {
    /// As if the call that is awaited had been made so much earlier.
    pub fn made_before(&mut self, micros: Micros) {
        self.awaited.iter_mut().for_each(|call| call.sent -= micros);
    }

    /// When the awaited call was made.
    pub fn asked(&self) -> Micros {
        self.awaited.map_or(0, |call| call.sent)
    }
}

fn settings(balancers: usize) -> ScheduleSettings {
    ScheduleSettings {
        max_poll_interval: Some(WITHIN),
        balancers,
    }
}

fn changes(version: u64, has_entries: bool) -> ListSummary {
    ListSummary {
        version,
        is_whole: false,
        has_entries,
    }
}

fn whole_list(version: u64) -> ListSummary {
    ListSummary {
        version,
        is_whole: true,
        has_entries: true,
    }
}

/// What becomes of calls at discovery.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Way {
    Open,
    /// Turned away: too many wait.
    Crowded,
    /// It is down, and its machine says so.
    Refused,
    /// Nothing comes through, and nothing says so.
    Cut,
}

/// A connection as discovery sees it.
struct Line {
    id: ConnectionId,
    connected: bool,
    /// It never comes about, or nothing comes on it any more.
    lost: bool,
    call: Option<Arrival>,
}

struct Arrival {
    query: Query,
    sent: Micros,
    /// When its turn came, once it has arrived there.
    turn: Option<Micros>,
}

impl Arrival {
    fn since(&self) -> Option<u64> {
        match self.query {
            Query::WholeList => None,
            Query::Changes { since, .. } => Some(since),
        }
    }

    fn wait(&self) -> Micros {
        match self.query {
            Query::WholeList => 0,
            Query::Changes { wait, .. } => wait,
        }
    }
}

/// One balancer before a discovery of its own.
struct World {
    now: Micros,
    schedule: Schedule,
    settings: ScheduleSettings,
    chance: WyRand,
    way: Way,
    /// Since when calls are taken, and when the way changes next.
    open_since: Option<Micros>,
    turns: Micros,
    silence: Micros,
    change: Micros,
    /// One answer in so many is cut.
    cuts: Option<u64>,
    /// Connections come about so late, at most.
    late: Micros,
    version: u64,
    here: Option<u64>,
    /// When the oldest change that is not here was made.
    stale: Option<Micros>,
    /// Until when a watch that fell silent excuses us.
    excused: Micros,
    lines: Vec<Line>,
    /// When the last call for changes was answered.
    answered: Option<Micros>,
    calls: usize,
    longest: Micros,
    most_lines: usize,
}

impl World {
    fn new(seed: u64, balancers: usize) -> Self {
        let mut schedule = Schedule::new(seed);
        schedule.knows(0);
        schedule.follow(0);
        Self {
            now: 0,
            schedule,
            settings: settings(balancers),
            chance: WyRand::new_seed(seed),
            way: Way::Open,
            open_since: Some(0),
            turns: Micros::MAX,
            silence: Micros::MAX,
            change: Micros::MAX,
            cuts: None,
            late: TICK,
            version: 0,
            here: Some(0),
            stale: None,
            excused: 0,
            lines: Vec::new(),
            answered: None,
            calls: 0,
            longest: 0,
            most_lines: 0,
        }
    }

    fn some(&mut self, from: Micros, to: Micros) -> Micros {
        self.now + self.chance.generate_range(from..=to)
    }

    /// What the world does of itself.
    fn world(&mut self) {
        if self.now >= self.change {
            self.version += 1;
            self.stale.get_or_insert(self.now);
            self.change = self.some(0, 15 * SECOND);
        }
        if self.now >= self.turns {
            self.way = [Way::Open, Way::Open, Way::Crowded, Way::Refused, Way::Cut]
                [self.chance.generate_range(0..5)];
            self.open_since = (self.way == Way::Open).then_some(self.now);
            self.turns = self.some(100 * MS, 12 * SECOND);
            if self.way == Way::Refused {
                let ended: Vec<ConnectionId> = self.lines.iter().map(|line| line.id).collect();
                ended
                    .into_iter()
                    .for_each(|id| self.fail(id, Failure::Ended));
            }
        }
        if self.now >= self.silence {
            self.silence = self.some(0, 25 * SECOND);
            for index in 0..self.lines.len() {
                if self.lines[index]
                    .call
                    .as_ref()
                    .is_some_and(|call| call.wait() > FIRST_WAIT)
                {
                    self.lose(index);
                }
            }
        }
    }

    fn lose(&mut self, index: usize) {
        let line = &mut self.lines[index];
        line.lost = true;
        if let Some(call) = line.call.as_ref().filter(|call| call.wait() > FIRST_WAIT) {
            // What it misses counts as told two seconds after its wait.
            self.excused = self
                .excused
                .max(call.turn.unwrap_or(call.sent) + call.wait() + 2 * SECOND);
        }
    }

    fn fail(&mut self, id: ConnectionId, failure: Failure) {
        self.lines.retain(|line| line.id != id);
        self.schedule.failed(id, self.now, failure, self.settings);
    }

    /// Whether a call is of a watch that goes on.
    fn goes_on(&self, call: &Arrival) -> bool {
        call.since().is_some() && self.answered.is_some_and(|at| call.sent <= at + GOES_ON)
    }

    /// What comes of the connection at that index: when its call is admitted, and when it has its turn then.
    fn serve(&mut self, index: usize, admit: &mut impl FnMut(&mut Self, bool) -> Option<Micros>) {
        let line = &self.lines[index];
        let (id, Some(call)) = (line.id, &line.call) else {
            return;
        };
        if line.lost || self.now < call.sent + if line.connected { TICK } else { self.late } {
            return;
        }
        if !line.connected {
            match self.way {
                Way::Refused => return self.fail(id, Failure::Unreached),
                Way::Cut => return self.lose(index),
                Way::Open | Way::Crowded => {}
            }
            self.lines[index].connected = true;
            return self.schedule.connected(id);
        }
        if call.turn.is_none() {
            let goes_on = self.goes_on(call);
            match self.way {
                Way::Cut => return self.lose(index),
                Way::Refused => return self.fail(id, Failure::Ended),
                Way::Crowded => return self.fail(id, Failure::Refused { retry_after: None }),
                Way::Open => {}
            }
            return match admit(self, goes_on) {
                Some(turn) => self.lines[index]
                    .call
                    .iter_mut()
                    .for_each(|call| call.turn = Some(turn)),
                None => self.fail(id, Failure::Refused { retry_after: None }),
            };
        }
        self.answer(index);
    }

    fn answer(&mut self, index: usize) {
        let line = &self.lines[index];
        let (id, Some(call)) = (line.id, &line.call) else {
            return;
        };
        let (since, turn) = (call.since(), call.turn.unwrap_or(Micros::MAX));
        let news = since.is_none_or(|since| since < self.version);
        if self.now < turn || !(news || self.now >= turn + call.wait()) {
            return;
        }
        if self.way == Way::Cut {
            return self.lose(index);
        }
        self.answered = since.map(|_| self.now);
        let cuts = self.cuts;
        if cuts.is_some_and(|one_in| self.chance.generate_range(0..one_in) == 0) {
            // The call after it waits for a turn again where it comes late.
            self.excused = self.excused.max(self.now + TURN + SECOND);
            return self.fail(id, Failure::Cut);
        }
        let told = ListSummary {
            version: self.version,
            is_whole: since.is_none(),
            has_entries: news,
        };
        if self.schedule.accepts(id, Some(told.version), told.is_whole) {
            (self.here, self.stale) = (Some(self.version), None);
        }
        self.lines[index].call = None;
        self.schedule
            .answered(id, self.now, told, true, self.settings);
    }

    /// As `Proxy::carry_out_schedule` does it.
    fn step(&mut self) {
        while let Some(action) = self.schedule.poll(self.now, self.settings) {
            let (id, query) = match action {
                Action::Close(id, _) => {
                    self.lines.retain(|line| line.id != id);
                    continue;
                }
                Action::Open(id, query) => {
                    self.lines.push(Line {
                        id,
                        connected: false,
                        lost: false,
                        call: None,
                    });
                    (id, query)
                }
                Action::Reuse(id, query) => (id, query),
            };
            self.calls += 1;
            let call = Arrival {
                query,
                sent: self.now,
                turn: None,
            };
            self.longest = self.longest.max(call.wait());
            if let Some(line) = self.lines.iter_mut().find(|line| line.id == id) {
                line.call = Some(call);
            }
        }
        self.most_lines = self.most_lines.max(self.lines.len());
        assert!(
            self.schedule.deadline().is_none_or(|at| at > self.now),
            "nothing is left undone"
        );
    }

    fn serve_all(&mut self, admit: &mut impl FnMut(&mut Self, bool) -> Option<Micros>) {
        let ids: Vec<ConnectionId> = self.lines.iter().map(|line| line.id).collect();
        for id in ids {
            if let Some(index) = self.lines.iter().position(|line| line.id == id) {
                self.serve(index, admit);
            }
            self.step();
        }
    }

    fn run(&mut self, until: Micros, mut each: impl FnMut(&mut Self)) {
        while self.now < until {
            self.world();
            self.serve_all(&mut |world, goes_on| {
                let waits = if goes_on {
                    0
                } else {
                    world.chance.generate_range(0..=TURN)
                };
                Some(world.now + waits)
            });
            self.step();
            each(self);
            self.now += TICK;
        }
    }
}

/// One discovery before many balancers: it works through calls in turn and refuses whom it would keep for too long.
struct Queue {
    work: Micros,
    longest: Micros,
    free: Micros,
    refused: usize,
}

impl Queue {
    fn admit(&mut self, now: Micros, goes_on: bool) -> Option<Micros> {
        if goes_on {
            return Some(now);
        }
        if self.free > now + self.longest {
            self.refused += 1;
            return None;
        }
        self.free = self.free.max(now) + self.work;
        Some(self.free)
    }

    /// Plays a fleet until then.
    fn serve(
        &mut self,
        fleet: &mut [World],
        until: Micros,
        mut each: impl FnMut(Micros, &mut World),
    ) {
        let mut now = 0;
        while now < until {
            for world in fleet.iter_mut() {
                world.now = now;
                each(now, world);
                world.serve_all(&mut |world, goes_on| self.admit(world.now, goes_on));
                world.step();
            }
            now += TICK;
        }
    }
}

fn fleet(seed: u64, balancers: usize) -> Vec<World> {
    let mut fleet: Vec<World> = (0..balancers)
        .map(|n| World::new(seed * 1000 + n as u64, balancers))
        .collect();
    fleet
        .iter_mut()
        .for_each(|world| world.schedule.begin(0, settings(balancers)));
    fleet
}

/// Six seconds after discovery had it and took calls, or two after the wait of a watch that fell silent.
fn in_bound(world: &World, seed: u64) {
    let Some((stale, open)) = world.stale.zip(world.open_since) else {
        return;
    };
    let by = (stale.max(open) + 6 * SECOND).max(world.excused);
    assert!(
        world.now <= by,
        "seed {seed}: at {} a change of {stale} is not here; calls taken since {open}",
        world.now
    );
}

/// Fails with answers awaited for 1.5 s beyond a watch's wait, and with a back-off before a silent one is asked anew.
#[rstest]
#[case::alone(1, None)]
#[case::handful(6, None)]
#[case::handful_cut(6, Some(3))]
#[case::large(300, None)]
fn a_change_is_here_in_time_on_every_path(#[case] balancers: usize, #[case] cuts: Option<u64>) {
    for seed in 0..400 {
        let mut world = World::new(seed, balancers);
        (world.turns, world.silence, world.change, world.cuts) = (SECOND, SECOND, SECOND, cuts);
        world.run(200 * SECOND, |world| in_bound(world, seed));
        assert!(world.longest <= WATCH_MOST, "seed {seed}");
        assert!(
            world.most_lines <= 2 + HEARD_MOST,
            "seed {seed}: {} connections",
            world.most_lines
        );
    }
}

/// Another discovery counts its versions otherwise, and its list is told four seconds later: the whole of it has to be
/// here by then.
#[test]
fn a_discovery_that_moved_is_asked_at_once_whatever_call_is_out() {
    for seed in 0..150 {
        let mut world = World::new(seed, 6);
        (world.silence, world.change) = (SECOND, SECOND);
        let at = 5 * SECOND + seed * 100 * MS;
        world.run(at, |_| {});
        world.lines.iter_mut().for_each(|line| line.lost = true);
        world.schedule.moved(world.now);
        (world.version, world.stale) = (1, Some(world.now));
        (world.silence, world.change) = (Micros::MAX, Micros::MAX);
        world.run(at + 4 * SECOND, |_| {});
        assert_eq!((world.stale, world.here), (None, Some(1)), "seed {seed}");
    }
}

/// Calls are dear: on a calm day a watch runs out each three quarters of the time for asking, as ever.
#[rstest]
#[case::alone(1, 600 / 7)]
#[case::handful(6, 600 / 7)]
#[case::large(300, 600 / 19)]
fn a_calm_day_has_no_more_calls_than_watches_that_run_out(
    #[case] balancers: usize,
    #[case] most: usize,
) {
    let mut world = World::new(7, balancers);
    world.run(600 * SECOND, |_| {});
    // Beside them: the first call, one for the whole list, and the shorter watch after each.
    assert!(world.calls <= most + 4, "{}", world.calls);
}

/// Incident "lost list changes": discovery keeps a call for up to three seconds before it answers, and balancers gave each
/// up after 2.5 s. Its turn was spent on a caller that had gone, the queue stayed full, and nobody new was ever answered.
#[test]
fn a_fleet_that_fills_the_queue_of_discovery_is_served_in_the_end() {
    for seed in 21..24 {
        let mut fleet = fleet(seed, 32);
        fleet.iter_mut().for_each(|world| world.version = 1);
        // What stands in the queue is worked through, whether its caller is still there or not.
        let mut queue = Queue {
            work: 220 * MS,
            longest: 3 * SECOND,
            free: 3 * SECOND,
            refused: 0,
        };
        queue.serve(&mut fleet, 12 * SECOND, |_, _| {});
        let deaf = fleet.iter().filter(|world| world.here != Some(1)).count();
        assert_eq!(deaf, 0, "seed {seed}: balancers that heard no list");
    }
}

/// The way out of a crowd has to be there from every start: all watches of 32 lost at one moment.
#[test]
fn a_fleet_whose_watches_end_together_hears_again_within_its_turns() {
    for seed in 0..20 {
        let mut fleet = fleet(seed, 32);
        let mut queue = Queue {
            work: 220 * MS,
            longest: 3 * SECOND,
            free: 0,
            refused: 0,
        };
        let lost_at = 20 * SECOND;
        // One turn each, and half a second beside that between a free place in the queue and the next call.
        let heard_by = lost_at + 32 * 220 * MS + 3 * SECOND;
        queue.serve(&mut fleet, heard_by, |now, world| {
            if now == lost_at {
                (world.version, world.stale) = (1, Some(now));
                let ended: Vec<ConnectionId> = world.lines.iter().map(|line| line.id).collect();
                ended
                    .into_iter()
                    .for_each(|id| world.fail(id, Failure::Ended));
            }
        });
        let deaf = fleet.iter().filter(|world| world.stale.is_some()).count();
        assert_eq!(
            deaf, 0,
            "seed {seed}: balancers that did not hear; {} calls refused",
            queue.refused
        );
        assert!(
            queue.refused <= 14 * 32,
            "seed {seed}: {} calls refused",
            queue.refused
        );
    }
}

/// Brink, throng, settat-main seed 3: 32 balancers before a discovery of three and a half calls a second, which turns
/// away whom it would keep for over two seconds. With watches of 7.5 s and the whole list first, balancers were turned
/// away for 13 s, and 23 requests went to an endpoint that had gone.
#[rstest]
#[case(11)]
#[case(12)]
#[case(13)]
fn a_large_fleet_does_not_crowd_discovery(#[case] seed: u64) {
    const BALANCERS: usize = 32;
    let changes = [1_770, 4_430, 12_390, 13_280, 14_160, 15_050].map(|at| at * MS);
    let mut fleet = fleet(seed, BALANCERS);
    let mut queue = Queue {
        work: 285 * MS,
        longest: 2 * SECOND,
        free: 0,
        refused: 0,
    };
    queue.serve(&mut fleet, 25 * SECOND, |now, world| {
        let version = changes.iter().filter(|at| **at <= now).count() as u64;
        if version > world.version {
            world.version = version;
            world.stale.get_or_insert(now);
        }
        // The last that counts is what went at 12.39 s.
        assert!(
            now < 18_390 * MS || world.here >= Some(3),
            "at {now}: {:?}",
            world.here
        );
    });
    assert!(
        queue.refused <= 3 * BALANCERS,
        "{} turned away",
        queue.refused
    );
}

#[rstest]
#[case::as_long_as_may_be(None, 1, WATCH_MOST)]
#[case::no_longer_than_that(Some(60_000_000), 1, WATCH_MOST)]
#[case::asked_anew_in_time(Some(10_000_000), 6, 7_500_000)]
#[case::longer_in_a_large_fleet(Some(10_000_000), 32, 16_000_000)]
fn a_watch_waits_by_the_time_for_asking_and_the_fleet(
    #[case] max_poll_interval: Option<Micros>,
    #[case] balancers: usize,
    #[case] wait: Micros,
) {
    assert_eq!(
        ScheduleSettings {
            max_poll_interval,
            balancers
        }
        .watch_wait(),
        wait
    );
    // Where the fleet does not ask for more, the next call comes before discovery counts us as told.
    let large = |within: Micros| balancers as u64 * RUN_OUT_APART > within;
    assert!(
        max_poll_interval
            .is_none_or(|within| large(within) || wait + LATE + CONNECT_WITHIN <= within)
    );
}

/// A schedule whose first call is out, and the connection.
fn called(schedule: &mut Schedule, now: Micros, balancers: usize) -> (ConnectionId, Query) {
    match schedule.poll(now, settings(balancers)) {
        Some(Action::Open(id, query) | Action::Reuse(id, query)) => {
            schedule.connected(id);
            (id, query)
        }
        other => panic!("{other:?}"),
    }
}

/// The list that we were started with may be another discovery's: the whole of it is asked for when there is time, beside
/// the watch. Instead the watch was lost where discovery was crowded.
#[test]
fn the_known_list_is_followed_first_and_checked_beside_the_watch() {
    let mut schedule = Schedule::new(1);
    schedule.knows(41);
    schedule.follow(0);
    let (id, query) = called(&mut schedule, 0, 1);
    assert_eq!(
        query,
        Query::Changes {
            since: 41,
            wait: FIRST_WAIT
        }
    );
    schedule.answered(id, SECOND, changes(42, true), true, settings(1));
    let (id, query) = called(&mut schedule, SECOND, 1);
    assert!(matches!(query, Query::Changes { since: 42, wait } if wait > FIRST_WAIT));
    schedule.answered(id, 2 * SECOND, changes(42, false), true, settings(1));
    let mut now = 2 * SECOND;
    let check = loop {
        now += 100 * MS;
        match schedule.poll(now, settings(1)) {
            Some(Action::Open(id, Query::WholeList)) => break id,
            Some(Action::Reuse(watch, Query::Changes { since: 42, .. })) => assert_eq!(watch, id),
            Some(other) => panic!("{other:?}"),
            None if schedule
                .awaited
                .is_some_and(|call| now >= call.overdue_at() - LATE) =>
            {
                schedule.answered(id, now, changes(42, false), true, settings(1));
            }
            None => assert!(now < 30 * SECOND, "it was never checked"),
        }
    };
    schedule.connected(check);
    assert!(schedule.is_watching(), "the watch goes on");
    schedule.answered(check, now, whole_list(42), true, settings(1));
    assert!(schedule.is_watching());
    assert_eq!(
        schedule.poll(now, settings(1)),
        Some(Action::Close(check, false))
    );
}

/// One that counts otherwise is seen by a version that goes back.
#[test]
fn a_version_that_goes_back_has_the_whole_list_asked_for() {
    let mut schedule = Schedule::new(1);
    schedule.knows(41);
    schedule.follow(0);
    let (id, _) = called(&mut schedule, 0, 1);
    schedule.answered(id, SECOND, changes(5, true), true, settings(1));
    let (id, query) = called(&mut schedule, SECOND, 1);
    assert_eq!(query, Query::WholeList);
    // Also where the list was discovery's own: it was started anew and told what changed since a later version.
    schedule.answered(id, 2 * SECOND, whole_list(41), true, settings(1));
    let (id, query) = called(&mut schedule, 2 * SECOND, 1);
    assert!(matches!(query, Query::Changes { since: 41, .. }));
    schedule.answered(id, 3 * SECOND, changes(3, false), true, settings(1));
    assert_eq!(called(&mut schedule, 3 * SECOND, 1).1, Query::WholeList);
}

/// One that takes some seconds for each call is heard all the same; with one patience for all it never was.
#[rstest]
#[case(2_400)]
#[case(3_500)]
#[case(6_400)]
fn a_slow_discovery_is_heard(#[case] takes_ms: Micros) {
    let mut world = World::new(1, 1);
    (world.version, world.stale) = (1, Some(0));
    while world.now < takes_ms * MS + SECOND {
        world.serve_all(&mut |world, goes_on| {
            Some(world.now + if goes_on { 0 } else { takes_ms * MS })
        });
        world.step();
        world.now += TICK;
    }
    assert_eq!((world.here, world.stale), (Some(1), None));
    assert!(!world.schedule.is_unheard());
}

/// A connection that comes about after another was tried instead of it is used.
#[rstest]
#[case(900)]
#[case(1_500)]
#[case(2_900)]
fn a_connection_that_comes_about_late_is_used(#[case] late_ms: Micros) {
    let mut world = World::new(1, 1);
    (world.version, world.stale, world.late) = (1, Some(0), late_ms * MS);
    world.run(late_ms * MS + TURN + SECOND, |_| {});
    assert_eq!((world.here, world.stale), (Some(1), None));
    assert_eq!(world.lines.len(), 1, "the others were closed unused");
}

/// A watch that is overdue may still be answered, and what it tells counts: it is heard beside the call instead of it, and
/// goes on while that one waits for its turn.
#[test]
fn a_replaced_watch_is_heard_and_goes_on() {
    let mut schedule = Schedule::new(1);
    schedule.knows(41);
    schedule.follow(0);
    let (id, _) = called(&mut schedule, 0, 1);
    schedule.answered(id, 0, changes(41, false), true, settings(1));
    let (watch, _) = called(&mut schedule, ASK_APART, 1);
    let overdue = schedule.deadline().unwrap();
    let (other, query) = called(&mut schedule, overdue, 1);
    assert_eq!(
        (watch == other, query),
        (
            false,
            Query::Changes {
                since: 41,
                wait: FIRST_WAIT
            }
        )
    );
    assert!(schedule.accepts(watch, Some(42), false));
    schedule.answered(
        watch,
        overdue + SECOND,
        changes(42, true),
        true,
        settings(1),
    );
    assert_eq!(called(&mut schedule, overdue + SECOND, 1).0, watch);
    // What the other call brings is older by now, and passed over.
    assert!(!schedule.accepts(other, Some(42), false));
    schedule.answered(
        other,
        overdue + 2 * SECOND,
        changes(42, true),
        true,
        settings(1),
    );
    assert!(schedule.is_watching());
    assert_eq!(
        schedule.poll(overdue + 2 * SECOND, settings(1)),
        Some(Action::Close(other, false))
    );
}

/// What the former discovery tells counts until the new one has told its list, and no longer.
#[test]
fn a_discovery_that_moved_away_is_heard_until_the_new_one_answers() {
    let mut schedule = Schedule::new(1);
    schedule.knows(41);
    schedule.follow(0);
    let (id, _) = called(&mut schedule, 0, 1);
    schedule.answered(id, 0, changes(41, false), true, settings(1));
    let (former, _) = called(&mut schedule, ASK_APART, 1);
    schedule.moved(SECOND);
    let (new, query) = called(&mut schedule, SECOND, 1);
    assert_eq!(query, Query::WholeList);
    assert!(schedule.accepts(former, Some(42), false));
    schedule.answered(new, 2 * SECOND, whole_list(3), true, settings(1));
    assert!(!schedule.accepts(former, Some(42), false));
    assert_eq!(
        schedule.poll(2 * SECOND, settings(1)),
        Some(Action::Close(former, false))
    );
}

/// What was lost with an answer counts as told: the next call follows while the watch can go on.
#[rstest]
#[case::cut(Failure::Cut)]
#[case::reset_with_it(Failure::Ended)]
fn a_lost_answer_is_asked_for_at_once(#[case] failure: Failure) {
    for seed in 0..50 {
        let mut schedule = Schedule::new(seed);
        schedule.knows(41);
        schedule.follow(0);
        let (id, _) = called(&mut schedule, 0, 6);
        schedule.answered(id, 0, changes(41, false), true, settings(6));
        let (watch, _) = called(&mut schedule, ASK_APART, 6);
        assert!(schedule.failed(watch, SECOND, failure, settings(6)));
        let first = schedule.deadline().unwrap();
        assert!(first <= SECOND + 40 * MS, "{first}");
        let (id, _) = called(&mut schedule, first, 6);
        schedule.failed(id, first + MS, Failure::Cut, settings(6));
        assert!(schedule.deadline().unwrap() <= first + 50 * MS);
    }
}

/// A network that cuts all answers of a large fleet is no reason to storm discovery.
#[rstest]
#[case::handful(6, 240)]
#[case::large(300, 1_200)]
fn calls_for_lost_answers_are_bounded(#[case] balancers: usize, #[case] most: usize) {
    let mut calls = 0;
    for seed in 0..balancers as u64 {
        let mut schedule = Schedule::new(seed);
        schedule.knows(41);
        schedule.follow(0);
        let (id, _) = called(&mut schedule, 0, balancers);
        schedule.answered(id, 0, changes(41, false), true, settings(balancers));
        let (watch, _) = called(&mut schedule, ASK_APART, balancers);
        schedule.failed(watch, SECOND, Failure::Cut, settings(balancers));
        let mut now = SECOND;
        while now < 2 * SECOND {
            now += MS;
            if let Some(Action::Open(id, _)) = schedule.poll(now, settings(balancers)) {
                schedule.connected(id);
                schedule.failed(id, now + MS, Failure::Cut, settings(balancers));
                calls += 1;
            }
        }
    }
    assert!(calls <= most, "{calls} calls in a second");
}

/// Join+mass of settat-main: 300 balancers had all their watches of 20 s open within 2.5 s of the start; these fell silent
/// together, and nobody heard of the release before 20 s.
#[test]
fn the_watches_of_a_fleet_that_is_started_at_one_moment_run_out_apart() {
    let mut waits: Vec<Vec<Micros>> = vec![Vec::new(); 3];
    for seed in 0..300 {
        let mut schedule = Schedule::new(seed);
        schedule.follow(0);
        let (id, _) = called(&mut schedule, 0, 300);
        schedule.answered(id, 0, whole_list(1), true, settings(300));
        let mut now = 0;
        for (turn, news) in [true, false, false].into_iter().enumerate() {
            now += ASK_APART;
            let (id, query) = called(&mut schedule, now, 300);
            let Query::Changes { wait, .. } = query else {
                panic!("{query:?}")
            };
            waits[turn].push(wait);
            schedule.answered(id, now, changes(1, news), true, settings(300));
        }
    }
    let ends = |turn: usize| {
        (
            *waits[turn].iter().min().unwrap(),
            *waits[turn].iter().max().unwrap(),
        )
    };
    let (first, second, third) = (ends(0), ends(1), ends(2));
    assert!(
        first.0 < 3 * SECOND && first.1 > 11 * SECOND && first.1 <= 12 * SECOND,
        "{first:?}"
    );
    assert!(
        second.0 >= 10 * SECOND && second.0 < 11 * SECOND && second.1 > 19 * SECOND,
        "{second:?}"
    );
    assert_eq!(third, (WATCH_MOST, WATCH_MOST));
}
