//! Ordering by key: requests with the same key, in classes that are ordered by key, run one at a
//! time in the order of their arrival. See `state/key_queue.rs` for the invariant.

use std::rc::Rc;

use crate::balancer::Balancer;
use crate::state::key_queue::KeyQueue;
use crate::state::request::Request;
use crate::state::timers::TimerPurpose;
use crate::{AttemptOutcome, Host, Micros};

impl<H: Host> Balancer<H> {
    /// Returns whether a request of this class and with this key is ordered by its key, so that the
    /// order in which requests arrive matters.
    pub fn is_ordered_by_key(&self, class: usize, key: Option<u64>) -> bool {
        let class = self.settings.classes.get(class);
        key.is_some() && class.is_some_and(|class| class.ordered_by_key)
    }

    /// Places a request, or queues it behind others with its key. A request that would wait too
    /// long is answered immediately.
    pub(crate) fn enter_key_queue(&mut self, now: Micros, request: Request) {
        let Some(key) = request.order_key else {
            return self.place_or_queue(now, request);
        };
        let expected = self.expected_latency(request.class);
        let latest_start = self.latest_start(&request);
        let queue = self.key_queues.queues.entry(key).or_default();
        if queue.is_free(now) && queue.waiting.is_empty() {
            queue.holder = Some(Rc::clone(&request.id));
            return self.place_or_queue(now, request);
        }
        let wait = (queue.requests_ahead() as f64 * expected) as Micros;
        if now.max(queue.cooldown_until) + wait >= latest_start {
            return self.reject_or_fail(now, request);
        }
        queue.waiting.push(request);
        self.schedule_key_check(now, key, latest_start);
    }

    /// Sets the timer of a key queue, unless its timer expires earlier.
    fn schedule_key_check(&mut self, now: Micros, key: u64, at: Micros) {
        let Some(queue) = self.key_queues.queues.get_mut(&key) else {
            return;
        };
        if queue.next_check_at <= now || at < queue.next_check_at {
            queue.next_check_at = at.max(now + 1);
            let after = at.saturating_sub(now);
            let purpose = TimerPurpose::KeyQueue(key);
            self.timers.schedule(&mut self.host, after, purpose);
        }
    }

    /// Places the next request of a key if no attempt of an earlier request can be running, and
    /// answers the requests that waited too long.
    pub(crate) fn advance_key_queue(&mut self, now: Micros, key: u64) {
        let Some(mut queue) = self.key_queues.queues.remove(&key) else {
            return;
        };
        let late: Vec<Request> = queue
            .waiting
            .extract_if(.., |request| self.latest_start(request) <= now)
            .collect();
        let next = queue.take_next(now);
        // The queue of a key without open requests or attempts is removed.
        if !queue.is_free(now) {
            self.restore_key_queue(now, key, queue);
        }
        for request in late {
            self.reject_or_fail(now, request);
        }
        if let Some(next) = next {
            self.place_or_queue(now, next);
        }
    }

    /// Puts a key queue back into the table after its processing, and sets the timer for the next
    /// time at which its state can change.
    fn restore_key_queue(&mut self, now: Micros, key: u64, mut queue: KeyQueue) {
        let cooldown = Some(queue.cooldown_until).filter(|_| queue.is_idle());
        let latest_starts = queue
            .waiting
            .iter()
            .map(|request| self.latest_start(request));
        let next_check = cooldown.into_iter().chain(latest_starts.min()).min();
        queue.next_check_at = 0;
        self.key_queues.queues.insert(key, queue);
        if let Some(at) = next_check {
            self.schedule_key_check(now, key, at);
        }
    }

    /// Releases the key of a closed request. An attempt in flight continues to block the key.
    pub(crate) fn release_key(&mut self, now: Micros, request: &Request) {
        let Some(key) = request.order_key else { return };
        let Some(queue) = self.key_queues.queues.get_mut(&key) else {
            return;
        };
        if queue.holder.as_ref() == Some(&request.id) {
            queue.holder = None;
            if request.outcome_pending {
                let id = Rc::clone(&request.id);
                self.key_queues.keys_of_closed_requests.insert(id, key);
            }
            self.schedule_key_check(now, key, now);
        }
    }

    /// Records for a key that one of its attempts has ended. An attempt that may still run starts a
    /// cooldown of the key.
    pub(crate) fn key_attempt_ended(&mut self, now: Micros, key: u64, outcome: AttemptOutcome) {
        let Some(queue) = self.key_queues.queues.get_mut(&key) else {
            return;
        };
        queue.in_flight = queue.in_flight.saturating_sub(1);
        if matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
        ) {
            queue.cooldown_until = queue.cooldown_until.max(now + self.settings.key_cooldown);
        }
        if queue.is_idle() {
            let at = queue.cooldown_until;
            self.schedule_key_check(now, key, at);
        }
    }

    /// Handles the end of an attempt whose request is already closed. If the request is ordered by
    /// key, the attempt no longer blocks the key, or starts a cooldown of the key if it may still
    /// run.
    pub(crate) fn closed_request_attempt_ended(
        &mut self,
        now: Micros,
        id: &str,
        outcome: AttemptOutcome,
    ) {
        if let Some(key) = self.key_queues.keys_of_closed_requests.remove(id) {
            self.key_attempt_ended(now, key, outcome);
        }
    }
}
