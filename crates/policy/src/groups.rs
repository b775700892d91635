//! Classes and tenants whose requests drag wherever they are sent. Slow at all endpoints is no sign against
//! any, and what holds places for longer than its latency objective keeps others from theirs.

use crate::fading::Fading;
use crate::known::{Balancer, Request};
use crate::{Host, Micros};

/// How long outcomes count, the late ones needed, and the late share of what the other requests leave.
const HORIZON: f64 = 4e6;
const DRAGS: (f64, f64) = (2.0, 0.5);
/// Promised times between two requests that are let through to see whether it still drags.
const TRIAL: u64 = 4;

/// How the requests of one class or tenant fared.
#[derive(Clone, Default)]
pub(crate) struct Fared {
    late: Fading,
    seen: Fading,
    trial_at: Micros,
}

impl<H: Host> Balancer<H> {
    /// Places of a request's class and tenant among the groups.
    fn groups_of(&self, request: &Request) -> [usize; 2] {
        [request.class, self.settings.classes.len() + request.tenant]
    }

    /// Whether a group is late far more often than the requests outside it.
    fn drags(&self, now: Micros, group: usize) -> bool {
        let Some(fared) = self.groups.get(group) else {
            return false;
        };
        let late = fared.late.read(now, HORIZON);
        if late < DRAGS.0 {
            return false;
        }
        let seen = fared.seen.read(now, HORIZON);
        let (all_late, all) = (
            self.fared.late.read(now, HORIZON),
            self.fared.seen.read(now, HORIZON),
        );
        // Where nothing is known of others, they may be as late.
        let others = (all_late - late + 1.0) / (all - seen + 1.0);
        late / seen > DRAGS.1 + (1.0 - DRAGS.1) * others
    }

    /// Which of its groups, if one, has a request drag at any endpoint.
    pub(crate) fn dragging(&self, now: Micros, request: &Request) -> Option<usize> {
        self.groups_of(request)
            .into_iter()
            .find(|&group| self.drags(now, group))
    }

    /// Whether a request is kept out as one that drags; now and then one is let through to see the end.
    pub(crate) fn kept_out(&mut self, now: Micros, request: &Request) -> bool {
        let Some(group) = self.dragging(now, request) else {
            return false;
        };
        let fared = &mut self.groups[group];
        let out = now < fared.trial_at;
        if !out {
            fared.trial_at = now + TRIAL * self.settings.classes[request.class].latency_objective;
        }
        out
    }

    /// Takes in whether an attempt took longer than the latency objective.
    pub(crate) fn fared(&mut self, now: Micros, request: &Request, took: Micros) {
        let late = f64::from(u8::from(
            took >= self.settings.classes[request.class].latency_objective,
        ));
        let [class, tenant] = self.groups_of(request);
        let mut count = |fared: &mut Fared| {
            fared.late.add(now, HORIZON, late);
            fared.seen.add(now, HORIZON, 1.0);
        };
        [class, tenant]
            .into_iter()
            .filter_map(|g| self.groups.get_mut(g).map(&mut count))
            .count();
        count(&mut self.fared);
    }
}

#[cfg(test)]
mod tests;
