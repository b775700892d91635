//! What discovery can carry: one queue of calls, worked through in turn, and a limit on how long a call may wait in it.
//!
//! A call that was admitted takes its turn whether its caller is still there or not. A watch that goes on, its next call
//! made soon after its last answer, takes no turn.

use std::collections::BTreeMap;

use crate::day::Discovery;
use crate::{Micros, SECOND};

/// How soon after the last answer on a watch its next call continues it.
const CONTINUES_WITHIN: Micros = 200_000;

/// What becomes of a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is answered from then on.
    At(Micros),
    Refused,
}

/// The queue, and which watches may go on.
pub struct CallQueue {
    /// What a call takes; 0 where there is no limit.
    work: Micros,
    longest_wait: Micros,
    free_at: Micros,
    /// By balancer, when a watch of it was last answered.
    answered: BTreeMap<usize, Micros>,
}

impl CallQueue {
    pub fn new(discovery: &Discovery) -> Self {
        let rate = discovery.calls_per_second;
        let work = if rate > 0.0 {
            (SECOND as f64 / rate) as Micros
        } else {
            0
        };
        Self {
            work,
            longest_wait: discovery.longest_queue.0,
            free_at: 0,
            answered: BTreeMap::new(),
        }
    }

    /// A call arrives: for the whole list or on a watch. `slower` multiplies what it takes.
    pub fn admit(
        &mut self,
        now: Micros,
        balancer: usize,
        is_watch: bool,
        slower: f64,
    ) -> Admission {
        let last = self.answered.remove(&balancer);
        let goes_on = is_watch && last.is_some_and(|at| now <= at + CONTINUES_WITHIN);
        if goes_on || self.work == 0 {
            return Admission::At(now);
        }
        if self.backlog(now) > self.longest_wait {
            return Admission::Refused;
        }
        self.free_at = self.free_at.max(now) + (self.work as f64 * slower) as Micros;
        Admission::At(self.free_at)
    }

    /// A watch of a balancer was answered.
    pub fn answered(&mut self, now: Micros, balancer: usize) {
        self.answered.insert(balancer, now);
    }

    /// How long what stands in the queue takes from now on. News to watches waits behind it.
    pub fn backlog(&self, now: Micros) -> Micros {
        self.free_at.saturating_sub(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::day::Span;

    fn queue(calls_per_second: f64) -> CallQueue {
        let longest_queue = Span(SECOND);
        CallQueue::new(&Discovery {
            calls_per_second,
            longest_queue,
            ..Discovery::default()
        })
    }

    #[test]
    fn calls_take_turns_and_are_refused_once_the_queue_is_full() {
        let mut queue = queue(2.0);
        let turns = [0, 1, 2, 3].map(|balancer| queue.admit(0, balancer, true, 1.0));
        let at = |tenths: u64| Admission::At(tenths * SECOND / 10);
        assert_eq!(turns, [at(5), at(10), at(15), Admission::Refused]);
        // Room again once the backlog is down to the longest wait.
        assert_eq!(queue.admit(SECOND / 2, 3, false, 2.0), at(25));
        assert_eq!(queue.backlog(SECOND), 3 * SECOND / 2);
    }

    #[test]
    fn a_watch_that_goes_on_takes_no_turn() {
        let mut queue = queue(2.0);
        queue.admit(0, 0, true, 1.0);
        queue.answered(SECOND, 0);
        assert_eq!(
            queue.admit(SECOND + CONTINUES_WITHIN, 0, true, 1.0),
            Admission::At(SECOND + CONTINUES_WITHIN)
        );
        queue.answered(2 * SECOND, 0);
        // Later it is a new watch, and a call for the whole list is none.
        assert_eq!(
            queue.admit(2 * SECOND + CONTINUES_WITHIN + 1, 0, true, 1.0),
            Admission::At(2_700_001)
        );
        queue.answered(3 * SECOND, 0);
        assert_eq!(
            queue.admit(3 * SECOND, 0, false, 1.0),
            Admission::At(7 * SECOND / 2)
        );
    }

    #[test]
    fn without_a_limit_all_are_answered_at_once() {
        let mut queue = queue(0.0);
        assert!((0..1000).all(|balancer| queue.admit(5, balancer, false, 1.0) == Admission::At(5)));
    }
}
