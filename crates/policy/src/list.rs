//! The list, when it is asked for and as it was told, and the loads: taken down, no request decided.

use std::rc::Rc;

use nanorand::Rng;

use crate::arithmetic::mixed;
use crate::decide::FOLLOW_ALARM;
use crate::fading::Mean;
use crate::known::{Balancer, Endpoint};
use crate::{Host, Micros};

/// Part of the time to ask for the list that a huge fleet spreads over, and balancers that take half of it.
const FOLLOW: (f64, f64) = (0.8, 32.0);
/// How long a machine that left is known: one that comes back from a crash is as quick as before.
const KNOWN_FOR: Micros = 60_000_000;

impl<H: Host> Balancer<H> {
    /// Asks for the list for the first time, where it has to be asked for.
    pub(crate) fn begin_following(&mut self) {
        match self.follow_spread() {
            Some(0) => self.host.poll_endpoint_list(),
            Some(spread) => self
                .host
                .set_timer(self.chance.generate_range(0..=spread), FOLLOW_ALARM),
            None => {}
        }
    }

    /// Over how long the balancers spread asking for the list, or they would crowd the roster.
    pub(crate) fn follow_spread(&self) -> Option<Micros> {
        let others = self.settings.balancers as f64 - 1.0;
        self.settings
            .max_poll_interval
            .map(|w| (FOLLOW.0 * w as f64 * others / (others + FOLLOW.1)) as Micros)
    }

    /// The list failed or broke: the previous one stands, and we ask anew after a growing, scattered wait.
    pub fn endpoint_list_failed(&mut self) {
        let Some((within, spread)) = self.settings.max_poll_interval.zip(self.follow_spread())
        else {
            return;
        };
        let wait = spread.max((within / 64) << self.failed_follows.min(4)) as f64;
        self.failed_follows += 1;
        self.host.set_timer(
            (wait * (0.5 + self.chance.generate::<f64>() / 2.0)) as Micros,
            FOLLOW_ALARM,
        );
    }

    /// What a complete list does not name is gone.
    pub fn endpoint_list_begins(&mut self, now: Micros, complete: bool) {
        let stays = self.settings.unlisted_stay_usable;
        self.endpoints
            .iter_mut()
            .filter(|_| complete)
            .for_each(|endpoint| endpoint.drop_out(now, stays));
    }

    /// It is listed as gone.
    pub fn endpoint_removed(&mut self, now: Micros, id: &str) {
        if let Some(&u) = self.by_id.get(id) {
            self.endpoints[u].drop_out(now, self.settings.unlisted_stay_usable);
        }
    }

    /// It drains: nothing more, at once.
    pub fn endpoint_draining(&mut self, id: &str) {
        if let Some(&u) = self.by_id.get(id) {
            self.endpoints[u].ready = false;
        }
    }

    pub fn endpoint_listed(
        &mut self,
        id: &str,
        zone: u64,
        kind: u64,
        cell: u64,
        weight: f64,
        launched: Micros,
    ) {
        let blank = self.blank_place();
        let at = *self.by_id.entry(Rc::from(id)).or_insert(blank);
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
        (endpoint.zone, endpoint.kind, endpoint.cell, endpoint.ready) = (zone, kind, cell, true);
        endpoint.left = None;
        if launched > endpoint.launched && at != blank {
            // A new process has nothing to do with what was held against the old one.
            endpoint.answers = Mean::default();
            (endpoint.unanswered_since, endpoint.full_until) = (None, 0);
        }
        endpoint.launched = launched;
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
        if let Some(&u) = self.by_id.get(id) {
            let endpoint = &mut self.endpoints[u];
            endpoint.utilisation = busy.filter(|busy| *busy >= 0.0);
            endpoint.held = held.filter(|held| *held >= 0.0);
            endpoint.queue = queue.filter(|queue| *queue >= 0.0).or(endpoint.held);
            endpoint.reported = now;
        }
    }

    pub fn endpoint_list_ends(&mut self, now: Micros) {
        self.failed_follows = 0;
        self.forget_left(now);
        self.draw_order();
        self.pump(now);
    }

    /// Forgets endpoints that left long ago and that no open request can have been sent to: the list names
    /// ever new ones.
    fn forget_left(&mut self, now: Micros) {
        for endpoint in &mut self.endpoints {
            let out = endpoint.any_out();
            endpoint.ready &= endpoint.left.is_none_or(|left| now < left + KNOWN_FOR);
            if !endpoint.ready
                && !endpoint.id.is_empty()
                && !out
                && endpoint.met_until + KNOWN_FOR < now
            {
                self.by_id.remove(&endpoint.id);
                *endpoint = Endpoint::default();
            }
        }
    }
}
