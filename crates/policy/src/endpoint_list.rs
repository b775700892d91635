//! The list, when it is asked for and as it was told, and the loads: taken down, no request decided.

use std::rc::Rc;

use nanorand::Rng;

use crate::arithmetic::mixed;
use crate::decaying::DecayingAverage;
use crate::decide::LIST_POLL_TIMER;
use crate::known::{Balancer, Endpoint};
use crate::{Host, Micros};

/// Part of the time to ask for the list that a huge fleet spreads over, and balancers that take half of it.
const FOLLOW: (f64, f64) = (0.8, 32.0);
/// How long a machine that left is known: one that comes back from a crash is as quick as before.
const KNOWN_FOR: Micros = 60_000_000;

impl<H: Host> Balancer<H> {
    /// Asks for the list for the first time, where it has to be asked for.
    pub(crate) fn start_polling_list(&mut self) {
        match self.list_poll_spread() {
            Some(0) => self.host.poll_endpoint_list(),
            Some(spread) => self
                .host
                .set_timer(self.random.generate_range(0..=spread), LIST_POLL_TIMER),
            None => {}
        }
    }

    /// Over how long the balancers spread asking for the list, or they would crowd the roster.
    pub(crate) fn list_poll_spread(&self) -> Option<Micros> {
        let others = self.settings.balancers as f64 - 1.0;
        self.settings
            .max_poll_interval
            .map(|w| (FOLLOW.0 * w as f64 * others / (others + FOLLOW.1)) as Micros)
    }

    /// The list failed or broke: the previous one stands, and we ask anew after a growing, scattered wait.
    pub fn endpoint_list_failed(&mut self) {
        let Some((within, spread)) = self.settings.max_poll_interval.zip(self.list_poll_spread())
        else {
            return;
        };
        let wait = spread.max((within / 64) << self.failed_list_polls.min(4)) as f64;
        self.failed_list_polls += 1;
        self.host.set_timer(
            (wait * (0.5 + self.random.generate::<f64>() / 2.0)) as Micros,
            LIST_POLL_TIMER,
        );
    }

    /// What a complete list does not name is gone.
    pub fn endpoint_list_begins(&mut self, now: Micros, complete: bool) {
        let stays = self.settings.unlisted_stay_usable;
        self.endpoints
            .iter_mut()
            .filter(|_| complete)
            .for_each(|endpoint| endpoint.unlist(now, stays));
    }

    /// It is listed as gone.
    pub fn endpoint_removed(&mut self, now: Micros, id: &str) {
        if let Some(&u) = self.index_by_id.get(id) {
            self.endpoints[u].unlist(now, self.settings.unlisted_stay_usable);
        }
    }

    /// It drains: nothing more, at once.
    pub fn endpoint_draining(&mut self, id: &str) {
        if let Some(&u) = self.index_by_id.get(id) {
            self.endpoints[u].ready = false;
        }
    }

    pub fn endpoint_listed(
        &mut self,
        id: &str,
        zone: u64,
        machine_type: u64,
        cell: u64,
        weight: f64,
        started_at: Micros,
    ) {
        let blank = self.free_slot();
        let at = *self.index_by_id.entry(Rc::from(id)).or_insert(blank);
        if at == blank {
            let hash = id
                .bytes()
                .fold(0, |hash, byte| mixed(hash, u64::from(byte)));
            self.endpoints[at] = Endpoint {
                id: Rc::from(id),
                hash,
                ..Endpoint::default()
            };
        }
        let endpoint = &mut self.endpoints[at];
        (
            endpoint.zone,
            endpoint.machine_type,
            endpoint.cell,
            endpoint.ready,
        ) = (zone, machine_type, cell, true);
        endpoint.unlisted_since = None;
        if started_at > endpoint.started_at && at != blank {
            // A new process has nothing to do with what was held against the old one.
            endpoint.recent_latency = DecayingAverage::default();
            (endpoint.unanswered_since, endpoint.backoff_until) = (None, 0);
        }
        endpoint.started_at = started_at;
        // Weights may be late readings, alike at all balancers: following each they would swing together.
        endpoint.weight.total.sum = endpoint.weight.total.sum * 0.9 + weight;
        endpoint.weight.weight.sum = endpoint.weight.weight.sum * 0.9 + 1.0;
    }

    /// The load that an endpoint reports: late.
    pub fn load_reported(
        &mut self,
        now: Micros,
        id: &str,
        busy: Option<f64>,
        queue: Option<f64>,
        held: Option<f64>,
    ) {
        if let Some(&u) = self.index_by_id.get(id) {
            let endpoint = &mut self.endpoints[u];
            endpoint.reported_utilisation = busy.filter(|busy| *busy >= 0.0);
            endpoint.reported_in_flight = held.filter(|held| *held >= 0.0);
            endpoint.reported_queue = queue
                .filter(|queue| *queue >= 0.0)
                .or(endpoint.reported_in_flight);
            endpoint.reported_at = now;
        }
    }

    pub fn endpoint_list_ends(&mut self, now: Micros) {
        self.failed_list_polls = 0;
        self.evict_unlisted(now);
        self.rebuild_preference_order();
        self.process_queue(now);
    }

    /// Forgets endpoints that left long ago and that no open request can have been sent to: the list names
    /// ever new ones.
    fn evict_unlisted(&mut self, now: Micros) {
        for endpoint in &mut self.endpoints {
            let out = endpoint.has_in_flight();
            endpoint.ready &= endpoint
                .unlisted_since
                .is_none_or(|left| now < left + KNOWN_FOR);
            if !endpoint.ready
                && !endpoint.id.is_empty()
                && !out
                && endpoint.latest_deadline + KNOWN_FOR < now
            {
                self.index_by_id.remove(&endpoint.id);
                *endpoint = Endpoint::default();
            }
        }
    }
}
