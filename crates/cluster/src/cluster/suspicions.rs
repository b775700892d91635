//! Suspicions: their duration and their expiry.

use std::rc::Rc;

use super::Cluster;
use crate::Micros;
use crate::messages::{MemberRecord, MemberState};
use crate::timers::Timer;

/// The ratio of the longest suspicion to the shortest one. Independent suspicions shorten a
/// suspicion from the longest to the shortest.
const MAX_TO_MIN_SUSPICION_RATIO: f64 = 3.0;
/// The number of processes that must suspect a member independently for the shortest suspicion.
const SUSPICIONS_FOR_MIN_TIMEOUT: f64 = 3.0;

impl Cluster {
    /// Returns how long a suspicion lasts: shorter if more processes share it, and longer in a
    /// larger fleet, where a refutation takes longer to arrive.
    fn suspicion_timeout(&self, suspecting_count: usize) -> Micros {
        let members = self.table.members.len() as f64 + 1.0;
        let min = self.config.min_suspicion as f64 * members.log10().max(1.0);
        let confirmed_ratio =
            (suspecting_count.max(1) as f64).ln() / SUSPICIONS_FOR_MIN_TIMEOUT.ln();
        let factor = MAX_TO_MIN_SUSPICION_RATIO
            - (MAX_TO_MIN_SUSPICION_RATIO - 1.0) * confirmed_ratio.min(1.0);
        (min * factor) as Micros
    }

    /// Schedules the expiry of the suspicion of a member, if there is one.
    pub(super) fn schedule_suspicion_timer(&mut self, name: &Rc<str>) {
        let member = self.table.member(name);
        let Some(suspicion) = member.and_then(|member| member.suspicion.as_ref()) else {
            return;
        };
        let timeout = self.suspicion_timeout(suspicion.suspecting_ids.len());
        let at = (suspicion.started_at + timeout).max(self.now);
        self.timers.schedule(at, Timer::Suspicion(Rc::clone(name)));
    }

    /// Restarts all suspicions, since refutations may have been missed.
    pub(super) fn restart_suspicions(&mut self) {
        let mut names = Vec::new();
        for member in &mut self.table.members {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.started_at = self.now;
                names.push(Rc::clone(&member.record.name));
            }
        }
        for name in names {
            self.schedule_suspicion_timer(&name);
        }
    }

    /// Declares a member dead if its suspicion has lasted for the timeout.
    pub(super) fn expire_suspicion(&mut self, name: &str) {
        let Some(member) = self.table.member(name) else {
            return;
        };
        let Some(suspicion) = &member.suspicion else {
            return;
        };
        let ends_at = suspicion.started_at + self.suspicion_timeout(suspicion.suspecting_ids.len());
        // After a pause of this process no member is declared dead until one has replied.
        // Suspicions restart with the first reply.
        if !self.is_reachable() || ends_at > self.now {
            return;
        }
        let record = MemberRecord {
            state: MemberState::Dead,
            suspected_by: 0,
            ..member.record.clone()
        };
        self.merge_record(&record);
    }
}
