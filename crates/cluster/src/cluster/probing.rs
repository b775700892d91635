//! Probing of members: one member in each round. A probe without a reply is repeated and relayed
//! through other members.

use std::rc::Rc;

use super::Cluster;
use crate::fault_injection::InjectedFault;
use crate::membership::events::MembershipEvent;
use crate::membership::failure_detector::Probe;
use crate::messages::{MemberRecord, MemberState, Message};
use crate::timers::Timer;

/// The number of members that are requested to relay a probe.
const PROBE_REQUESTS: usize = 3;

impl Cluster {
    /// Evaluates the probe of this round and begins the next round.
    pub(super) fn end_probe_round(&mut self) {
        if let Some(probe) = self.failure_detector.current_probe.take() {
            self.evaluate_probe(&probe);
        }
        let next_round = self.now + self.failure_detector.scaled(self.config.probe_interval);
        self.timers.schedule(next_round, Timer::ProbeRound);
        self.begin_probe();
    }

    fn begin_probe(&mut self) {
        let table = &self.table;
        let names = || {
            table
                .members
                .iter()
                .filter(|member| member.record.state < MemberState::Dead)
                .map(|member| Rc::clone(&member.record.name))
                .collect()
        };
        let target = self.failure_detector.next_target(&mut self.rng, names);
        let Some(index) = target.and_then(|name| self.table.index(&name)) else {
            return;
        };
        let record = self.table.members[index].record.clone();
        if record.state >= MemberState::Dead {
            return;
        }
        let number = self.failure_detector.next_number();
        let target = Some(Rc::clone(&record.name));
        self.send_to_member(index, Message::Probe { number, target });
        self.failure_detector.current_probe = Some(Probe {
            number,
            target: record.name,
            incarnation: record.incarnation,
            is_answered: false,
            relays_requested: 0,
            relays_reported: 0,
        });
        let retry_at = self.now + self.failure_detector.scaled(self.config.probe_timeout);
        self.timers.schedule(retry_at, Timer::ProbeRetry);
    }

    /// Repeats a probe that has had no reply, and requests other members to relay it, since the
    /// fault may be in the network path or in this process.
    pub(super) fn retry_probe(&mut self) {
        let Some(probe) = &self.failure_detector.current_probe else {
            return;
        };
        if probe.is_answered {
            return;
        }
        let number = probe.number;
        let target = Rc::clone(&probe.target);
        let Some(index) = self.table.index(&target) else {
            return;
        };
        let address = self.table.members[index].record.address;
        if self
            .table
            .has_fault(InjectedFault::SuspectsWithoutProbeRequests)
        {
            return;
        }
        let probe = Message::Probe {
            number,
            target: Some(Rc::clone(&target)),
        };
        self.send_to_member(index, probe);
        let relays = self.random_members(PROBE_REQUESTS, |member| {
            member.record.state == MemberState::Alive && *member.record.name != *target
        });
        if let Some(probe) = &mut self.failure_detector.current_probe {
            probe.relays_requested = relays.len() as u32;
        }
        for relay in relays {
            let request = Message::ProbeRequest {
                number,
                target: Rc::clone(&target),
                address,
            };
            self.send_to_member(relay, request);
        }
    }

    fn evaluate_probe(&mut self, probe: &Probe) {
        if probe.is_answered {
            return self.failure_detector.decrease_health_penalty();
        }
        // If members that were requested to relay the probe do not report a result either, the
        // fault may be in this process.
        if probe.relays_reported < probe.relays_requested {
            self.failure_detector.increase_health_penalty();
        }
        let Some(member) = self.table.member(&probe.target) else {
            return;
        };
        let known = &member.record;
        if !self.is_reachable()
            || known.incarnation != probe.incarnation
            || known.state > MemberState::Suspected
        {
            return;
        }
        let was_alive = known.state == MemberState::Alive;
        let record = MemberRecord {
            state: MemberState::Suspected,
            suspected_by: self.incarnation.random_id,
            ..known.clone()
        };
        self.merge_record(&record);
        if was_alive {
            // The suspicion is sent to the suspected member first, so that it can refute it.
            self.send(record.address, Message::Gossip, vec![record]);
        }
    }

    pub(super) fn receive_ack(&mut self, number: u32, sender: &str) {
        self.confirm_reachable(number);
        if let Some(probe) = &mut self.failure_detector.current_probe
            && probe.number == number
            && *probe.target == *sender
        {
            probe.is_answered = true;
        } else {
            self.report_relayed_probe(number, true);
        }
    }

    pub(super) fn receive_probe_report(&mut self, number: u32, answered: bool) {
        if let Some(probe) = &mut self.failure_detector.current_probe
            && probe.number == number
        {
            probe.relays_reported += 1;
            probe.is_answered |= answered;
        }
        self.confirm_reachable(number);
    }

    /// Ends a relayed probe, if there is one with that number, and reports its result to the
    /// requester.
    pub(super) fn report_relayed_probe(&mut self, number: u32, answered: bool) {
        if let Some(probe) = self.failure_detector.take_relayed_probe(number) {
            let report = Message::ProbeReport {
                number: probe.requester_number,
                answered,
            };
            self.send(probe.requester, report, Vec::new());
        }
    }

    /// Ends the time without suspicions after a pause. A reply to a probe sent after the pause
    /// shows that other members receive this one, so missing replies indicate their failure again.
    fn confirm_reachable(&mut self, number: u32) {
        // Probe numbers wrap around: a number is later if it is ahead by less than half the range.
        let is_later = |from: u32| number.wrapping_sub(from) < u32::MAX / 2;
        if self.min_confirming_probe.is_some_and(is_later) {
            self.min_confirming_probe = None;
            self.table.events.push(MembershipEvent::Reconnected);
            self.restart_suspicions();
        }
    }
}
