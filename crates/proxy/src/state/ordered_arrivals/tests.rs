use nanorand::{Rng, WyRand};
use nix::sys::time::TimeSpec;
use rstest::rstest;

use super::*;

/// Plays iterations, which are separated by `|`, and returns what each of them releases, separated
/// in the same way. An iteration is a sequence of events:
///
/// - `a7`: request `a` is read, which arrived at 7 s; `a?`: no arrival was recorded,
/// - `accepts`: connections are accepted until the backlog is empty,
/// - `accepts_part`: connections are accepted, and the backlog may hold more,
/// - `many_events`: as many connections are read as the event loop reports at most.
fn play(iterations: &str) -> String {
    let mut arrivals = OrderedArrivals::default();
    let play_event = |arrivals: &mut OrderedArrivals<String>, event: &str| match event {
        "accepts" => arrivals.record_accept(),
        "accepts_part" => {
            arrivals.record_accept();
            arrivals.record_backlog(true);
        }
        "many_events" => (0..MAX_EVENTS_PER_ITERATION).for_each(|_| arrivals.record_event()),
        read => {
            let (name, at) = read.split_at(1);
            let at = at.parse().ok().map(|seconds| TimeSpec::new(seconds, 0));
            arrivals.hold(name.to_owned(), ArrivalTime::from(at));
        }
    };
    let released = iterations.split('|').map(|events| {
        for event in events.split_whitespace() {
            play_event(&mut arrivals, event);
        }
        arrivals.end_iteration().concat()
    });
    released.collect::<Vec<_>>().join("|")
}

#[rstest]
#[case::alone("a1 |", "|a")]
#[case::read_in_order("a1 b2 |", "|ab")]
#[case::read_in_reverse("b2 a1 |", "|ab")]
#[case::earlier_one_on_a_new_connection("b2 accepts | a1", "|ab")]
#[case::in_the_backlog_when_the_other_is_read("b2 | accepts | a1", "||ab")]
#[case::behind_more_connections_than_one_iteration_accepts(
    "b2 accepts_part | accepts_part | accepts | a1",
    "|||ab"
)]
#[case::not_reported_among_many_events("b2 many_events | many_events | a1", "||ab")]
#[case::new_connections_in_each_iteration("a1 accepts | accepts | accepts | accepts", "||a|")]
#[case::later_one_waits_on("a1 | b2 |", "|a|b")]
#[case::earlier_one_goes_along("b2 | a1 c3 |", "|ab|c")]
#[case::not_recorded("b? a? c9 |", "|cba")]
fn requests_are_released_in_the_order_of_their_arrival(
    #[case] iterations: &str,
    #[case] expected: &str,
) {
    assert_eq!(play(iterations), expected);
}

#[test]
fn a_backlog_that_never_empties_does_not_hold_a_request_for_ever() {
    let mut arrivals = OrderedArrivals::default();
    arrivals.hold("a", ArrivalTime::default());
    let mut iterations = 0;
    while !arrivals.is_empty() {
        arrivals.record_accept();
        arrivals.record_backlog(true);
        arrivals.end_iteration();
        iterations += 1;
        assert!(iterations <= 2 * MAX_HELD_ITERATIONS);
    }
    // A full backlog has been accepted by then.
    assert!(iterations > 1024 / 64);
}

/// Number of connections that an iteration of [`World`] accepts at most.
const ACCEPTS_PER_ITERATION: usize = 3;
/// Number of connections that an iteration of [`World`] reports as ready at most.
const EVENTS_PER_ITERATION: usize = 4;
/// Number of connections in a [`World`].
const CONNECTIONS: u64 = 40;

/// A connection with one request, which arrives in two parts.
struct Connection {
    connects_at: u64,
    first_part_at: u64,
    last_part_at: u64,
    is_accepted: bool,
    is_first_part_read: bool,
    is_last_part_read: bool,
}

impl Connection {
    /// Draws the times of a connection. One in three has been accepted from the beginning.
    fn random(random: &mut WyRand, number: u64) -> Self {
        let is_accepted = number.is_multiple_of(3);
        let connects_at = random.generate_range(0..20_000_u64);
        let first_part_at = connects_at + random.generate_range(0..2_000_u64);
        let last_part_at = first_part_at + random.generate_range(0..2_000_u64);
        Self {
            connects_at,
            first_part_at,
            // All requests arrive at different times.
            last_part_at: last_part_at.next_multiple_of(CONNECTIONS) + number,
            is_accepted,
            is_first_part_read: false,
            is_last_part_read: false,
        }
    }

    fn has_unread_bytes(&self, now: u64) -> bool {
        (self.first_part_at <= now && !self.is_first_part_read)
            || (self.last_part_at <= now && !self.is_last_part_read)
    }

    fn is_in_backlog(&self, now: u64) -> bool {
        !self.is_accepted && self.connects_at <= now
    }
}

/// Connections to a proxy whose event loop may be held up between any two events.
struct World {
    random: WyRand,
    now: u64,
    connections: Vec<Connection>,
    arrivals: OrderedArrivals<u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = WyRand::new_seed(seed);
        let connections = 0..CONNECTIONS;
        let connections = connections.map(|number| Connection::random(&mut random, number));
        Self {
            connections: connections.collect(),
            random,
            now: 0,
            arrivals: OrderedArrivals::default(),
        }
    }

    /// Lets time pass between two events; now and then the process is held up.
    fn pass_time(&mut self) {
        let is_held_up = self.random.generate_range(0..6_u32) == 0;
        let longest = if is_held_up { 5_000 } else { 60 };
        self.now += self.random.generate_range(0..longest);
    }

    fn read(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        self.arrivals.record_event();
        connection.is_first_part_read = connection.first_part_at <= self.now;
        if connection.last_part_at <= self.now && !connection.is_last_part_read {
            connection.is_last_part_read = true;
            let at = connection.last_part_at;
            let recorded = ArrivalTime::from(Some(TimeSpec::new(at as i64, 0)));
            self.arrivals.hold(at, recorded);
        }
    }

    /// Accepts connections in the order in which they were made.
    fn accept(&mut self) {
        let connections = self.connections.iter_mut();
        let mut backlog: Vec<_> = connections
            .filter(|connection| connection.is_in_backlog(self.now))
            .collect();
        backlog.sort_by_key(|connection| connection.connects_at);
        let may_hold_more = backlog.len() >= ACCEPTS_PER_ITERATION;
        for connection in backlog.into_iter().take(ACCEPTS_PER_ITERATION) {
            connection.is_accepted = true;
            self.arrivals.record_accept();
        }
        self.arrivals.record_backlog(may_hold_more);
    }

    /// Returns what an iteration reports: connections with unread bytes, and `None` for the
    /// listener.
    fn ready_sockets(&mut self) -> Vec<Option<usize>> {
        let mut ready = Vec::new();
        for (index, connection) in self.connections.iter().enumerate() {
            if connection.is_accepted && connection.has_unread_bytes(self.now) {
                ready.push(Some(index));
            }
        }
        let mut connections = self.connections.iter();
        if connections.any(|connection| connection.is_in_backlog(self.now)) {
            ready.push(None);
        }
        self.random.shuffle(&mut ready);
        if ready.len() >= EVENTS_PER_ITERATION {
            ready.truncate(EVENTS_PER_ITERATION);
            (0..MAX_EVENTS_PER_ITERATION).for_each(|_| self.arrivals.record_event());
        }
        ready
    }

    /// Plays an iteration of the event loop. Returns the arrival times of the released requests.
    fn play_iteration(&mut self) -> Vec<u64> {
        for socket in self.ready_sockets() {
            self.pass_time();
            match socket {
                Some(index) => self.read(index),
                None => self.accept(),
            }
        }
        self.pass_time();
        self.arrivals.end_iteration()
    }
}

/// The order holds wherever the process is held up, in whatever order sockets are read, and however
/// few of them an iteration reports or accepts.
#[test]
fn no_request_overtakes_an_earlier_one_in_any_interleaving() {
    for seed in 0..2_000 {
        let mut world = World::new(seed);
        let mut released = Vec::new();
        while released.len() < world.connections.len() {
            released.extend(world.play_iteration());
            assert!(
                world.now < 10_000_000,
                "seed {seed}: a request is held for ever"
            );
        }
        assert!(released.is_sorted(), "seed {seed}: {released:?}");
    }
}
