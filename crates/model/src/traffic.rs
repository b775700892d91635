//! Traffic: tickets that arrive whatever becomes of earlier ones, and what their clients do when turned down.

use crate::Micros;
use crate::SECOND;
use crate::chance::{Chance, sums};
use crate::day::{Day, Span};
use crate::faults::Timeline;

/// One try of a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ticket {
    /// Its own number, new with each try, and that of the first try.
    pub number: u64,
    pub first: u64,
    /// When its client wants it sent, and when its first try was due.
    pub due: Micros,
    pub first_due: Micros,
    pub tries: usize,
    pub use_case: usize,
    pub tenant: usize,
    pub key: u64,
    /// Labels its effect where the use case is labelled: the same for all tries.
    pub label: u64,
    /// Core time at speed 1.
    pub work: f64,
    pub waits: Micros,
    /// How long the client waits for the answer to this try, and after what time it leaves without a word.
    pub wait: Micros,
    pub leaves_after: Option<Micros>,
    /// A draw for whoever deals tickets out, of 0 to 1.
    pub dealt: f64,
}

/// Tickets in order of time.
pub struct Arrivals<'a> {
    day: &'a Day,
    line: &'a Timeline,
    chance: Chance,
    at: f64,
    number: u64,
    /// Greatest rate of the day, in tickets a microsecond: arrivals are drawn at it and thinned.
    most: f64,
    use_cases: Vec<f64>,
    tenants: Vec<f64>,
    keys: Vec<f64>,
}

/// The multiple of the usual rate that the day's curve gives, evenly between its points.
fn curve(points: &[(Span, f64)], now: Micros) -> f64 {
    let next = points.partition_point(|(at, _)| at.0 <= now);
    let multiple = |place: usize| {
        points
            .get(place)
            .map(|(at, multiple)| (at.0 as f64, *multiple))
    };
    match (next.checked_sub(1).and_then(multiple), multiple(next)) {
        (None, None) => 1.0,
        (Some((_, only)), None) | (None, Some((_, only))) => only,
        (Some((from, before)), Some((to, after))) => {
            before + (after - before) * (now as f64 - from) / (to - from)
        }
    }
}

/// Part of a use case's hard stop, at the least, after which a client that leaves does so.
const LEAVES_FROM: f64 = 0.05;

impl<'a> Arrivals<'a> {
    pub fn new(day: &'a Day, line: &'a Timeline, seed: u64) -> Self {
        let mut greatest = day
            .traffic
            .curve
            .iter()
            .map(|(_, multiple)| *multiple)
            .fold(0.0, f64::max);
        if day.traffic.curve.is_empty() {
            greatest = 1.0;
        }
        let burst = line
            .edges_of_bursts()
            .map(|at| line.burst(at))
            .fold(1.0, f64::max);
        let most = day.traffic.rate.get_ref() * greatest * burst / SECOND as f64;
        let popularity = |rank: usize| ((rank + 1) as f64).powf(-day.traffic.skew);
        Self {
            day,
            line,
            chance: Chance::split(seed, "traffic", 0),
            at: 0.0,
            number: 0,
            most,
            use_cases: sums(
                day.use_cases
                    .iter()
                    .map(|use_case| use_case.get_ref().share),
            ),
            tenants: sums(day.tenants.iter().map(|tenant| tenant.get_ref().share)),
            keys: sums((0..day.traffic.keys).map(popularity)),
        }
    }

    fn ticket(&mut self, due: Micros) -> Ticket {
        let chance = &mut self.chance;
        let use_case = chance.place(&self.use_cases);
        let class = self.day.use_cases[use_case].get_ref();
        let stop = class.hard_stop.0 as f64;
        let (patient, leaves) = (self.day.traffic.give_up, self.day.traffic.leaves);
        let wait = stop * chance.between(patient, 1.0);
        let leaves = chance
            .happens(leaves)
            .then(|| chance.between(LEAVES_FROM * stop, wait) as Micros);
        self.number += 1;
        Ticket {
            number: self.number,
            first: self.number,
            due,
            first_due: due,
            tries: 1,
            use_case,
            tenant: chance.place(&self.tenants),
            key: chance.place(&self.keys) as u64,
            label: chance.whole(),
            work: chance.scattered(class.work.0 as f64, class.scatter),
            waits: class.waits.0,
            wait: wait as Micros,
            leaves_after: leaves,
            dealt: chance.unit(),
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Ticket;

    fn next(&mut self) -> Option<Ticket> {
        let length = self.day.length.get_ref().0;
        if self.most <= 0.0 {
            return None;
        }
        loop {
            self.at += self.chance.wait(1.0 / self.most);
            let now = self.at as Micros;
            if now >= length {
                return None;
            }
            let usual = self.day.traffic.rate.get_ref() / SECOND as f64;
            let rate = usual * curve(&self.day.traffic.curve, now) * self.line.burst(now);
            if self.chance.happens(rate / self.most) {
                return Some(self.ticket(now));
            }
        }
    }
}

/// The next try after one that was dismissed or abandoned, under a number of its own: nothing where the client has
/// tried often enough. `come_back` is what the answer asked for.
pub fn again(
    day: &Day,
    ticket: &Ticket,
    number: u64,
    now: Micros,
    come_back: Option<Micros>,
) -> Option<Ticket> {
    if ticket.tries > day.traffic.retries || ticket.leaves_after.is_some() {
        return None;
    }
    let due = now + come_back.unwrap_or(0).max(day.traffic.retry_wait.0);
    // A new draw for the dealing, which another number moves far.
    let dealt = (ticket.dealt + 0.618_033_988_749_895).fract();
    Some(Ticket {
        number,
        due,
        tries: ticket.tries + 1,
        dealt,
        ..ticket.clone()
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{check, fleet};

    fn day(rest: &str) -> (Day, Timeline) {
        let day = check::read(&format!("name = 'd'\nlength = '20s'\n{rest}"), "d.toml").unwrap();
        let line = Timeline::new(&day, &fleet::specs(&day, 1), 1);
        (day, line)
    }

    #[test]
    fn the_same_seed_gives_the_same_tickets_at_the_rates_told() {
        let (day, line) = day(
            "[traffic]\nrate = 500.0\ncurve = [['0s', 1.0], ['10s', 1.0], ['10001ms', 2.0]]\n\
             [[faults]]\nkind = 'burst'\nat = '4s'\nfor = '2s'\nfactor = 3.0",
        );
        let tickets: Vec<_> = Arrivals::new(&day, &line, 9).collect();
        assert_eq!(tickets, Arrivals::new(&day, &line, 9).collect::<Vec<_>>());
        assert_ne!(tickets.len(), Arrivals::new(&day, &line, 10).count());
        let within = |from: u64, to: u64| {
            tickets
                .iter()
                .filter(|t| (from * SECOND..to * SECOND).contains(&t.due))
                .count() as f64
                / (to - from) as f64
        };
        for (from, to, rate) in [
            (0, 4, 500.0),
            (4, 6, 1500.0),
            (6, 10, 500.0),
            (11, 20, 1000.0),
        ] {
            let seen = within(from, to);
            assert!(
                (seen / rate - 1.0).abs() < 0.1,
                "{seen} a second from {from} to {to} s"
            );
        }
        assert!(tickets.windows(2).all(|pair| pair[0].due <= pair[1].due));
    }

    #[test]
    fn clients_try_again_as_often_as_told_and_not_before_asked() {
        let (day, line) = day("[traffic]\nretries = 1\nretry_wait = '100ms'");
        let first = Arrivals::new(&day, &line, 1)
            .find(|ticket| ticket.leaves_after.is_none())
            .unwrap();
        let second = again(&day, &first, 99, SECOND, Some(300_000)).unwrap();
        assert_eq!(
            (second.first, second.number, second.due),
            (first.number, 99, SECOND + 300_000)
        );
        assert_eq!((second.label, second.work), (first.label, first.work));
        assert_eq!(again(&day, &second, 100, 2 * SECOND, None), None);
    }
}
