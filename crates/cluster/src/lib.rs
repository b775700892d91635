//! What balancers agree on. At the bottom stands membership: who is there, and what can't be known of who is not heard.
//! No I/O, no clock, no thread: [`Accord`] is told datagrams and times and gives datagrams, one next deadline and
//! events. The same events and seed give the same datagrams to the byte. Times are whole microseconds of any clock
//! that never goes back and goes on while the process is stopped.

pub mod datagram;
pub mod leases;
pub mod membership;
pub mod messages;
pub mod shared_list;
mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use nanorand::{Rng, WyRand};

use datagram::{Datagram, DropReason, Incarnation, Key, MAX_DATAGRAM_BYTES, ReplayFilter};
use leases::assignment::Candidate;
use leases::term::LeaseId;
use leases::{AddressedMessage, Lease, LeaseConfig, LeaseEvent, Leases};
use membership::dissemination::Dissemination;
use membership::failure_detector::{FailureDetector, Probe};
use membership::table::{
    MAX_MEMBERS, Member, MemberTable, MembershipEvent, MergeOutcome, own_record,
};
use messages::{MAX_NAME_BYTES, MemberRecord, MemberState, Message};
use timers::{Timer, Timers};

#[cfg(test)]
mod tests;

/// Microseconds.
pub type Micros = u64;

/// Late by more than this, a process was stopped or starved, and what it waited for may lie in its socket.
const PAUSE_THRESHOLD: Micros = 300_000;
/// Members that are asked to probe for us.
const PROBE_REQUESTS: usize = 3;
/// How often news is sent where there is any, and to how many.
const GOSSIP_INTERVAL: Micros = 100_000;
const GOSSIP_FANOUT: usize = 3;
/// How often a part of the table goes to somebody, so that what was lost on all ways arrives some day.
const SYNC_INTERVAL: Micros = 1_000_000;
/// How often seeds are asked while nobody is known, and else while one of them is not among the members.
const SEED_INTERVAL_ALONE: Micros = 300_000;
const SEED_INTERVAL: Micros = 2_000_000;
/// How often somebody who is gone is probed: halves that were cut apart find each other by it.
const DEAD_PROBE_INTERVAL: Micros = 500_000;
/// Parts of the table that go to one who is new or came back, at once.
const MAX_PARTS_AT_ONCE: usize = 8;
/// A doubt's longest span over its shortest: several doubters bring it from the one to the other.
const SUSPICION_RANGE: f64 = 3.0;
const FULL_SUSPECTERS: f64 = 3.0;
/// How often at most one name is answered that comes back with an incarnation of before.
const OLD_REPLY_INTERVAL: Micros = 500_000;
/// Leaving is told to so many at once; one that hears it tells it on.
const LEAVE_FANOUT: usize = 12;
/// How long one whose name is taken keeps quiet.
const NAME_CONFLICT_SILENCE: Micros = 30_000_000;

/// How this process takes part.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub fleet: String,
    pub name: String,
    pub zone: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Where others may be at the start.
    pub seeds: Vec<SocketAddr>,
    /// Unix time of the start, as far as is known.
    pub started_at_us: u64,
    /// How often one member is probed.
    pub probe_interval: Micros,
    /// Within what a member answers, there and back.
    pub probe_timeout: Micros,
    /// The shortest span in which a doubt may be refuted.
    pub min_suspicion: Micros,
    /// Processes, by name and life, that have ended by the operators' word.
    pub confirmed_dead: BTreeSet<(Rc<str>, Incarnation)>,
}

impl MemberConfig {
    /// Spans for members that reach one another within some tens of milliseconds.
    pub const DEFAULT_PROBE_INTERVAL: Micros = 400_000;
    pub const DEFAULT_PROBE_TIMEOUT: Micros = 100_000;
    pub const DEFAULT_MIN_SUSPICION: Micros = 800_000;
}

/// Faults planted by tests. Without the feature `planted` nothing ever asks for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    NoRefutation,
    RefutationCounterDecreases,
    UnresponsiveCountsAsStopped,
    AcceptsReplays,
    SuspectsWithoutProbeRequests,
    LeavesUnannounced,
    AcceptsOldRecords,
    PauseUnnoticed,
}

impl InjectedFault {
    pub const ALL: [(&str, Self); 8] = [
        ("no-refutation", Self::NoRefutation),
        ("incarnation-goes-back", Self::RefutationCounterDecreases),
        ("silent-counts-as-gone", Self::UnresponsiveCountsAsStopped),
        ("takes-replays", Self::AcceptsReplays),
        ("doubts-without-asking", Self::SuspectsWithoutProbeRequests),
        ("leaves-untold", Self::LeavesUnannounced),
        ("keeps-old-incarnation", Self::AcceptsOldRecords),
        ("sleep-unnoticed", Self::PauseUnnoticed),
    ];
}

/// What was sent and heard since the start.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub dropped: BTreeMap<DropReason, u64>,
}

/// One process's part in what all agree on.
pub struct Cluster {
    config: MemberConfig,
    key: Key,
    incarnation: Incarnation,
    rng: WyRand,
    pub table: MemberTable,
    failure_detector: FailureDetector,
    dissemination: Dissemination,
    timers: Timers,
    replay_filter: ReplayFilter,
    /// Local time when it began.
    began: Micros,
    counter: u64,
    out: Vec<(SocketAddr, Vec<u8>)>,
    traffic: TrafficCounters,
    /// The latest time told.
    now: Micros,
    /// Doubts nobody until a probe with this number or a later one is answered.
    unheard_until: Option<u32>,
    /// How often it was stopped.
    pauses_seen: u64,
    /// Where in the table the next part to swap begins.
    cursor: usize,
    /// Its part in what only one member does at a time, where the file names voters.
    leases: Option<Leases>,
    leases_due_at: Micros,
    /// When names were last told that they came back with too small an incarnation.
    old_replies: BTreeMap<String, Micros>,
    quiet_until: Micros,
}

impl Cluster {
    pub fn new(config: MemberConfig, key: Key, seed: u64, now: Micros) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let incarnation = Incarnation {
            started_at_us: config.started_at_us,
            random_id: rng.generate::<u64>().max(1),
        };
        let own = own_record(&config.name, &config.zone, config.address, incarnation);
        let mut table = MemberTable::new(own);
        table.set_confirmed_dead(config.confirmed_dead.clone());
        let mut cluster = Self {
            config,
            key,
            incarnation,
            rng,
            table,
            failure_detector: FailureDetector::default(),
            dissemination: Dissemination::default(),
            timers: Timers::default(),
            replay_filter: ReplayFilter::default(),
            began: now,
            counter: 0,
            out: Vec::new(),
            traffic: TrafficCounters::default(),
            now,
            unheard_until: None,
            pauses_seen: 0,
            cursor: 0,
            leases: None,
            leases_due_at: Micros::MAX,
            old_replies: BTreeMap::new(),
            quiet_until: 0,
        };
        for (span, due) in [
            (cluster.config.probe_interval, Timer::ProbeRound),
            (GOSSIP_INTERVAL, Timer::Gossip),
            (SYNC_INTERVAL, Timer::TableSync),
            (0, Timer::Seeds),
            (DEAD_PROBE_INTERVAL, Timer::DeadProbe),
        ] {
            // Processes that start together would else all speak at once.
            let scatter = cluster.rng.generate_range(0..=span);
            cluster.timers.schedule(now + scatter, due);
        }
        cluster
    }

    /// Plants a fault, to show that a check finds it.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: InjectedFault) {
        self.table.injected_fault = Some(fault);
        self.replay_filter.takes_replays = fault == InjectedFault::AcceptsReplays;
    }

    /// Takes part in these duties from now on. A fleet has them only where its file names voters; others than before
    /// make this process a new voter, which is silent at first.
    pub fn configure_leases(&mut self, now: Micros, config: LeaseConfig, leases: Vec<Lease>) {
        self.now = self.now.max(now);
        if self
            .leases
            .as_ref()
            .is_none_or(|known| *known.config() != config || known.is_stopping())
        {
            self.disable_leases(now);
            // Where local time began, by the time of day at the start.
            let wall_clock_offset_ms =
                (self.config.started_at_us / 1_000).saturating_sub(self.began / 1_000);
            let own_name = Rc::clone(&self.table.own.name);
            let new = Leases::new(
                self.now,
                config,
                own_name,
                self.incarnation.random_id,
                wall_clock_offset_ms,
            );
            self.leases = Some(match &self.leases {
                Some(before) => new.continuing(before),
                None => new,
            });
        }
        if let Some(known) = &mut self.leases {
            known.track(self.now, leases);
        }
        self.send_lease_messages();
    }

    /// The file names no voters any more: what is held is let go.
    pub fn disable_leases(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if let Some(leases) = &mut self.leases {
            leases.stop(self.now);
            leases.track(self.now, Vec::new());
        }
        self.send_lease_messages();
    }

    pub fn leases(&self) -> Option<&Leases> {
        self.leases.as_ref()
    }

    pub fn take_lease_events(&mut self) -> Vec<LeaseEvent> {
        self.leases
            .as_mut()
            .map(Leases::take_events)
            .unwrap_or_default()
    }

    /// Sends an act in a duty's name to a member, if this one holds it now and for so long yet.
    pub fn send_command(
        &mut self,
        now: Micros,
        lease: LeaseId,
        to: &Rc<str>,
        takes: Micros,
        body: Vec<u8>,
    ) -> bool {
        self.now = self.now.max(now);
        let done = self
            .leases
            .as_mut()
            .is_some_and(|leases| leases.send_command(now, lease, to, takes, body));
        self.send_lease_messages();
        done
    }

    /// Says something about a duty to a member.
    pub fn send_lease_note(&mut self, now: Micros, lease: LeaseId, to: &Rc<str>, body: Vec<u8>) {
        self.now = self.now.max(now);
        if let Some(leases) = &mut self.leases {
            leases.send_note(lease, to, body);
        }
        self.send_lease_messages();
    }

    /// Does what is due of duties.
    fn run_lease_timers(&mut self) {
        let own = &self.table.own;
        let of = |record: &MemberRecord| Candidate {
            name: Rc::clone(&record.name),
            zone: Rc::clone(&record.zone),
        };
        let alive: Vec<Candidate> = [own]
            .into_iter()
            .chain(self.table.alive().map(|member| &member.record))
            .map(of)
            .collect();
        let fit = self.unheard_until.is_none() && self.now >= self.quiet_until;
        if let Some(leases) = &mut self.leases {
            leases.run_timers(self.now, &alive, fit);
        }
        self.send_lease_messages();
    }

    /// Sends what duties have to say, and hangs when they are next due.
    fn send_lease_messages(&mut self) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        let (messages, next) = (
            leases.take_messages(),
            leases.next_timer().max(self.now + 1),
        );
        for AddressedMessage { to: name, message } in messages {
            if let Some(index) = self.table.index(&name) {
                self.say(index, Message::Lease(message));
            }
        }
        if next < self.leases_due_at || self.leases_due_at <= self.now {
            self.leases_due_at = next;
            self.timers.schedule(next, Timer::Leases);
        }
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }

    /// Whether it was heard since it last slept. Until then it knows of nobody whether they are there.
    pub fn is_reachable(&self) -> bool {
        self.unheard_until.is_none()
    }

    pub fn pauses_seen(&self) -> u64 {
        self.pauses_seen
    }

    /// When `due` is to be called at the latest.
    pub fn next_due(&self) -> Micros {
        self.timers.next().unwrap_or(Micros::MAX)
    }

    /// Datagrams to send, each with whom it is for.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.table.events)
    }

    /// A datagram came.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) {
        self.detect_pause(now);
        if let Err(cause) = self.take(bytes) {
            *self.traffic.dropped.entry(cause).or_default() += 1;
        }
    }

    /// Does what has fallen due.
    pub fn due(&mut self, now: Micros) {
        self.detect_pause(now);
        while let Some(due) = self.timers.due(self.now) {
            self.run_timer(due);
        }
    }

    /// The process was not run for so long: whoever carries this may know it from elsewhere too.
    pub fn paused(&mut self, now: Micros, lasted: Micros) {
        self.now = self.now.max(now);
        if self.table.injected_fault(InjectedFault::PauseUnnoticed) {
            return;
        }
        self.pauses_seen += 1;
        self.table.events.push(MembershipEvent::Paused(lasted));
        // Only an answer to what is sent from now on shows that others hear us: older ones lay in the socket.
        self.unheard_until = Some(self.failure_detector.last_number.wrapping_add(1));
        self.failure_detector.pending = None;
        self.failure_detector.degrade();
        self.restart_suspicions();
        if let Some(leases) = &mut self.leases {
            leases.record_pause(self.now);
        }
        self.send_lease_messages();
    }

    /// Takes other seeds, spans and another key. Who this process is stays as it was.
    pub fn renew(&mut self, config: &MemberConfig, key: Key) {
        self.key = key;
        self.config.seeds.clone_from(&config.seeds);
        (self.config.probe_interval, self.config.probe_timeout) =
            (config.probe_interval, config.probe_timeout);
        self.config.min_suspicion = config.min_suspicion;
        self.table.set_confirmed_dead(config.confirmed_dead.clone());
    }

    /// This process serves no more: its last ticket is answered. Said to several, who tell it on.
    pub fn leave(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if self.table.own.state == MemberState::Left {
            return;
        }
        if let Some(leases) = &mut self.leases {
            leases.stop(self.now);
        }
        self.send_lease_messages();
        self.table.own.state = MemberState::Left;
        if self.table.injected_fault(InjectedFault::LeavesUnannounced) {
            return;
        }
        for index in self.random_members(LEAVE_FANOUT, |member| {
            member.record.state != MemberState::Left
        }) {
            self.say(index, Message::Gossip);
        }
    }

    /// Notices that it was not run: all that it waited for may have come meanwhile.
    fn detect_pause(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let late = self.now.saturating_sub(self.next_due());
        if late > PAUSE_THRESHOLD {
            self.timers.postpone(self.now);
            self.paused(now, late);
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(), DropReason> {
        let datagram = datagram::open(&self.key, &self.config.fleet, bytes)?;
        let other = datagram.incarnation != self.incarnation;
        if datagram.sender == self.config.name && !other {
            return Err(DropReason::OwnDatagram);
        }
        if datagram.sender.len() > MAX_NAME_BYTES || datagram.sender.is_empty() {
            return Err(DropReason::Malformed);
        }
        if let Some(member) = self.table.named(&datagram.sender)
            && member.record.incarnation != datagram.incarnation
            && datagram.refutation_counter <= member.record.refutation_counter
        {
            self.reply_to_old_incarnation(&datagram);
            return Err(DropReason::OldIncarnation);
        }
        self.replay_filter.take(&datagram)?;
        self.traffic.taken += 1;
        let known = self.table.index(&datagram.sender).is_some();
        for record in &datagram.records {
            self.learn(record);
        }
        let Some(index) = self.table.index(&datagram.sender) else {
            return if datagram.sender == self.config.name {
                Ok(())
            } else {
                Err(DropReason::TableFull)
            };
        };
        self.sender_alive(index, &datagram, known);
        self.message(index, &datagram)
    }

    /// One that lost its memory comes with a smaller incarnation than the one before it: it is told, and takes a
    /// greater one.
    fn reply_to_old_incarnation(&mut self, datagram: &Datagram) {
        let told = self.old_replies.get(&datagram.sender).copied();
        if told.is_some_and(|told| self.now < told + OLD_REPLY_INTERVAL) {
            return;
        }
        if self.old_replies.len() >= MAX_MEMBERS {
            self.old_replies.clear();
        }
        self.old_replies.insert(datagram.sender.clone(), self.now);
        let theirs = datagram
            .records
            .iter()
            .find(|record| *record.name == *datagram.sender);
        let known = self
            .table
            .named(&datagram.sender)
            .map(|member| member.record.clone());
        if let Some((theirs, known)) = theirs.zip(known) {
            self.send(theirs.address, Message::Gossip, vec![known]);
        }
    }

    fn learn(&mut self, record: &MemberRecord) {
        let merged = self.table.merge(self.now, record);
        match merged {
            MergeOutcome::Unchanged => {}
            MergeOutcome::TableFull => {
                *self
                    .traffic
                    .dropped
                    .entry(DropReason::TableFull)
                    .or_default() += 1;
                if self.traffic.dropped[&DropReason::TableFull] == 1 {
                    self.table.events.push(MembershipEvent::TableFull);
                }
            }
            MergeOutcome::Refuted => {
                self.failure_detector.degrade();
                let own = Rc::clone(&self.table.own.name);
                self.dissemination.add(&own);
                if self.table.has_name_conflict() && record.incarnation < self.incarnation {
                    self.quiet_until = self.now + NAME_CONFLICT_SILENCE;
                }
            }
            MergeOutcome::Changed | MergeOutcome::SuspicionConfirmed => {
                self.dissemination.add(&record.name);
                self.schedule_suspicion_timer(&record.name);
            }
        }
    }

    /// A member was heard itself: whatever is held of it, it is told.
    fn sender_alive(&mut self, index: usize, datagram: &Datagram, known: bool) {
        let now = self.now;
        let name = Rc::clone(&self.table.members[index].record.name);
        self.table.receive(&name, datagram.incarnation);
        let member = &mut self.table.members[index];
        if member.record.incarnation != datagram.incarnation {
            return;
        }
        let lately = member
            .heard
            .is_some_and(|heard| now < heard + OLD_REPLY_INTERVAL);
        let away = member.record.state == MemberState::Dead && !lately;
        member.heard = Some(now);
        let (address, state) = (member.record.address, member.record.state);
        // News is not answered by news: two that hold each other for gone would never end.
        if !matches!(state, MemberState::Alive | MemberState::Left)
            && datagram.message != Message::Gossip
        {
            let record = member.record.clone();
            self.send(address, Message::Gossip, vec![record]);
        }
        if (!known || away) && state != MemberState::Left {
            self.send_whole_table(index);
        }
    }

    fn message(&mut self, index: usize, datagram: &Datagram) -> Result<(), DropReason> {
        match &datagram.message {
            Message::Gossip => {}
            Message::Probe { number, target } => {
                if target
                    .as_ref()
                    .is_none_or(|target| **target == *self.config.name)
                {
                    self.say(index, Message::Ack { number: *number });
                }
            }
            Message::Ack { number } => self.answered(*number, &datagram.sender),
            Message::ProbeRequest {
                number,
                target,
                address,
            } => {
                let for_whom = self.table.members[index].record.address;
                if let Some(mine) = self.failure_detector.relay_probe(for_whom, *number) {
                    let message = Message::Probe {
                        number: mine,
                        target: Some(Rc::clone(target)),
                    };
                    self.send(*address, message, Vec::new());
                    self.timers.schedule(
                        self.now + self.config.probe_timeout,
                        Timer::RelayedProbe(mine),
                    );
                }
            }
            Message::ProbeReport { number, answered } => {
                if let Some(probe) = self
                    .failure_detector
                    .pending
                    .as_mut()
                    .filter(|probe| probe.number == *number)
                {
                    probe.told += 1;
                    probe.answered |= answered;
                }
                self.confirm_reachable(*number);
            }
            Message::TableSync { reply_wanted } => {
                if *reply_wanted {
                    self.send_table_part(index, false);
                }
            }
            Message::Lease(message) => {
                let name = Rc::clone(&self.table.members[index].record.name);
                if let Some(leases) = &mut self.leases {
                    leases.receive(self.now, &name, datagram.incarnation.random_id, message);
                }
                self.send_lease_messages();
            }
        }
        Ok(())
    }

    fn answered(&mut self, number: u32, sender: &str) {
        self.confirm_reachable(number);
        if let Some(probe) = self.failure_detector.pending.as_mut()
            && probe.number == number
            && *probe.target == *sender
        {
            probe.answered = true;
        } else if let Some(relayed_probe) = self.failure_detector.take_relayed_probe(number) {
            let message = Message::ProbeReport {
                number: relayed_probe.their_number,
                answered: true,
            };
            self.send(relayed_probe.for_whom, message, Vec::new());
        }
    }

    /// An answer to what was sent after it slept: others hear us, and what we don't hear may be their fault again.
    fn confirm_reachable(&mut self, number: u32) {
        // Numbers go round: those within half the range after it are later.
        if self
            .unheard_until
            .is_some_and(|from| number.wrapping_sub(from) < u32::MAX / 2)
        {
            self.unheard_until = None;
            self.table.events.push(MembershipEvent::Reconnected);
            self.restart_suspicions();
        }
    }

    fn run_timer(&mut self, due: Timer) {
        match due {
            Timer::Leases => {
                // One hung before a sooner one has nothing to do.
                if self.now >= self.leases_due_at {
                    self.run_lease_timers();
                }
            }
            Timer::ProbeRound => self.end_probe_round(),
            Timer::ProbeRetry => self.retry_probe(),
            Timer::RelayedProbe(number) => {
                if let Some(relayed_probe) = self.failure_detector.take_relayed_probe(number) {
                    let message = Message::ProbeReport {
                        number: relayed_probe.their_number,
                        answered: false,
                    };
                    self.send(relayed_probe.for_whom, message, Vec::new());
                }
            }
            Timer::Suspicion(name) => self.suspicion_expired(&name),
            Timer::Gossip => {
                self.timers
                    .schedule(self.now + GOSSIP_INTERVAL, Timer::Gossip);
                if !self.dissemination.is_empty() {
                    for index in self.random_members(GOSSIP_FANOUT, |member| {
                        member.record.state < MemberState::Dead
                    }) {
                        self.say(index, Message::Gossip);
                    }
                }
            }
            Timer::TableSync => {
                self.timers
                    .schedule(self.now + SYNC_INTERVAL, Timer::TableSync);
                let index =
                    self.random_members(1, |member| member.record.state == MemberState::Alive);
                index
                    .into_iter()
                    .for_each(|index| self.send_table_part(index, true));
            }
            Timer::DeadProbe => {
                self.timers
                    .schedule(self.now + DEAD_PROBE_INTERVAL, Timer::DeadProbe);
                let index =
                    self.random_members(1, |member| member.record.state == MemberState::Dead);
                for index in index {
                    let record = self.table.members[index].record.clone();
                    let (number, target) = (
                        self.failure_detector.number(),
                        Some(Rc::clone(&record.name)),
                    );
                    self.send(
                        record.address,
                        Message::Probe { number, target },
                        vec![record],
                    );
                }
            }
            Timer::Seeds => self.ask_seeds(),
        }
    }

    /// Asks one seed that is not among the members: at the start, and where a whole half was forgotten.
    fn ask_seeds(&mut self) {
        let alone = self.table.alive().next().is_none();
        let wait = if alone {
            SEED_INTERVAL_ALONE
        } else {
            SEED_INTERVAL
        };
        let scatter = self.rng.generate_range(0..=wait / 2);
        self.timers
            .schedule(self.now + wait + scatter, Timer::Seeds);
        let known = |seed: &&SocketAddr| {
            **seed == self.config.address
                || self
                    .table
                    .alive()
                    .any(|member| member.record.address == **seed)
        };
        let unknown: Vec<_> = self
            .config
            .seeds
            .iter()
            .filter(|seed| !known(seed))
            .copied()
            .collect();
        if !unknown.is_empty() {
            let seed = unknown[self.rng.generate_range(0..unknown.len())];
            let number = self.failure_detector.number();
            self.send(
                seed,
                Message::Probe {
                    number,
                    target: None,
                },
                Vec::new(),
            );
        }
    }

    /// Judges the probe of this round, and begins the next.
    fn end_probe_round(&mut self) {
        if let Some(probe) = self.failure_detector.pending.take() {
            self.evaluate_probe(&probe);
        }
        self.timers.schedule(
            self.now + self.failure_detector.scaled(self.config.probe_interval),
            Timer::ProbeRound,
        );
        let table = &self.table;
        let names = || {
            let probed = table
                .members
                .iter()
                .filter(|member| member.record.state < MemberState::Dead);
            probed
                .map(|member| Rc::clone(&member.record.name))
                .collect()
        };
        let target = self.failure_detector.next(&mut self.rng, names);
        let Some(index) = target.and_then(|name| self.table.index(&name)) else {
            return;
        };
        let MemberRecord {
            name: target,
            incarnation,
            state,
            ..
        } = self.table.members[index].record.clone();
        if state >= MemberState::Dead {
            return;
        }
        let number = self.failure_detector.number();
        let probe = Probe {
            number,
            target,
            incarnation,
            answered: false,
            query: 0,
            told: 0,
        };
        self.say(
            index,
            Message::Probe {
                number,
                target: Some(Rc::clone(&probe.target)),
            },
        );
        self.failure_detector.pending = Some(probe);
        self.timers.schedule(
            self.now + self.failure_detector.scaled(self.config.probe_timeout),
            Timer::ProbeRetry,
        );
    }

    /// No answer in time: once more, and others are asked to try, as the fault may lie on our way or with us.
    fn retry_probe(&mut self) {
        let Some(probe) = self
            .failure_detector
            .pending
            .as_ref()
            .filter(|probe| !probe.answered)
        else {
            return;
        };
        let (number, target) = (probe.number, Rc::clone(&probe.target));
        let Some(index) = self.table.index(&target) else {
            return;
        };
        let address = self.table.members[index].record.address;
        if self
            .table
            .injected_fault(InjectedFault::SuspectsWithoutProbeRequests)
        {
            return;
        }
        self.say(
            index,
            Message::Probe {
                number,
                target: Some(Rc::clone(&target)),
            },
        );
        let others = self.random_members(PROBE_REQUESTS, |member| {
            member.record.state == MemberState::Alive && *member.record.name != *target
        });
        if let Some(probe) = self.failure_detector.pending.as_mut() {
            probe.query = others.len() as u32;
        }
        for other in others {
            self.say(
                other,
                Message::ProbeRequest {
                    number,
                    target: Rc::clone(&target),
                    address,
                },
            );
        }
    }

    fn evaluate_probe(&mut self, probe: &Probe) {
        if probe.answered {
            return self.failure_detector.improve();
        }
        // Those who were asked and don't even say that they tried are not heard either: it may be us.
        if probe.told < probe.query {
            self.failure_detector.degrade();
        }
        let Some(held) = self.table.named(&probe.target).map(|member| &member.record) else {
            return;
        };
        if self.unheard_until.is_some()
            || held.incarnation != probe.incarnation
            || held.state > MemberState::Suspected
        {
            return;
        }
        let (first, by) = (held.state == MemberState::Alive, self.incarnation.random_id);
        let record = MemberRecord {
            state: MemberState::Suspected,
            by,
            ..held.clone()
        };
        self.learn(&record);
        if first {
            // Whoever is doubted hears of it first.
            self.send(record.address, Message::Gossip, vec![record]);
        }
    }

    /// How long a doubt stands: shorter the more share it, longer in a larger fleet, where news takes longer.
    fn suspicion_timeout(&self, suspecters: usize) -> Micros {
        let members = self.table.members.len() as f64 + 1.0;
        let least = self.config.min_suspicion as f64 * members.log10().max(1.0);
        let shared = (suspecters.max(1) as f64).ln() / FULL_SUSPECTERS.ln();
        (least * (SUSPICION_RANGE - (SUSPICION_RANGE - 1.0) * shared.min(1.0))) as Micros
    }

    fn schedule_suspicion_timer(&mut self, name: &Rc<str>) {
        let Some(suspicion) = self
            .table
            .named(name)
            .and_then(|member| member.suspicion.as_ref())
        else {
            return;
        };
        let at =
            (suspicion.began + self.suspicion_timeout(suspicion.suspecters.len())).max(self.now);
        self.timers.schedule(at, Timer::Suspicion(Rc::clone(name)));
    }

    /// All doubts begin anew: those that were refuted meanwhile may not have been heard.
    fn restart_suspicions(&mut self) {
        let now = self.now;
        let mut names = Vec::new();
        for member in &mut self.table.members {
            if let Some(suspicion) = member.suspicion.as_mut() {
                suspicion.began = now;
                names.push(Rc::clone(&member.record.name));
            }
        }
        names
            .iter()
            .for_each(|name| self.schedule_suspicion_timer(name));
    }

    fn suspicion_expired(&mut self, name: &str) {
        let Some(member) = self.table.named(name) else {
            return;
        };
        let Some(suspicion) = member.suspicion.as_ref() else {
            return;
        };
        let ends = suspicion.began + self.suspicion_timeout(suspicion.suspecters.len());
        // A deaf one judges nobody; it looks again when it was heard.
        if self.unheard_until.is_some() || ends > self.now {
            return;
        }
        let record = MemberRecord {
            state: MemberState::Dead,
            by: 0,
            ..member.record.clone()
        };
        self.learn(&record);
    }

    /// Up to so many members that fit, drawn by chance.
    fn random_members(&mut self, count: usize, fits: impl Fn(&Member) -> bool) -> Vec<usize> {
        let members = &self.table.members;
        let mut indices: Vec<usize> = (0..members.len())
            .filter(|&index| fits(&members[index]))
            .collect();
        let count = count.min(indices.len());
        for at in 0..count {
            let other = self.rng.generate_range(at..indices.len());
            indices.swap(at, other);
        }
        indices.truncate(count);
        indices
    }

    fn send_whole_table(&mut self, index: usize) {
        let parts = self
            .table
            .members
            .len()
            .div_ceil(8)
            .clamp(1, MAX_PARTS_AT_ONCE);
        for number in 0..parts {
            self.send_table_part(index, number == 0);
        }
    }

    /// Sends a part of the table, as much as fits; the next part begins where this one ends.
    fn send_table_part(&mut self, index: usize, reply_wanted: bool) {
        let Some(member) = self.table.members.get(index) else {
            return;
        };
        let address = member.record.address;
        let mut datagram = self.datagram(Message::TableSync { reply_wanted }, Vec::new());
        let mut length = datagram::sealed_length(&datagram);
        let count = self.table.members.len();
        for _ in 0..count {
            self.cursor = (self.cursor + 1) % count;
            let record = &self.table.members[self.cursor].record;
            length += record_length(record);
            if length > MAX_DATAGRAM_BYTES {
                break;
            }
            datagram.records.push(record.clone());
        }
        self.post(address, &datagram);
    }

    /// Says something to a member, with what is held of it if that is wrong in its eyes.
    fn say(&mut self, index: usize, message: Message) {
        let record = self.table.members[index].record.clone();
        let doubted = matches!(record.state, MemberState::Suspected | MemberState::Dead);
        let address = record.address;
        self.send(
            address,
            message,
            if doubted { vec![record] } else { Vec::new() },
        );
    }

    fn datagram(&self, message: Message, records: Vec<MemberRecord>) -> Datagram {
        let own = self.table.own.clone();
        let records = [own].into_iter().chain(records).collect();
        Datagram {
            fleet: self.config.fleet.clone(),
            sender: self.config.name.clone(),
            incarnation: self.incarnation,
            refutation_counter: self.table.own.refutation_counter,
            counter: self.counter,
            message,
            records,
        }
    }

    /// Sends a frame with records, our own first, and as much news as fits beside them.
    fn send(&mut self, address: SocketAddr, message: Message, records: Vec<MemberRecord>) {
        let mut datagram = self.datagram(message, records);
        let mut length = datagram::sealed_length(&datagram);
        let (table, members) = (&self.table, self.table.members.len());
        self.dissemination.take(members, |name| {
            if datagram.records.iter().any(|record| *record.name == *name) {
                return true;
            }
            let Some(member) = table.named(name) else {
                return true;
            };
            length += record_length(&member.record);
            let fits = length <= MAX_DATAGRAM_BYTES;
            if fits {
                datagram.records.push(member.record.clone());
            }
            fits
        });
        self.post(address, &datagram);
    }

    fn post(&mut self, address: SocketAddr, datagram: &Datagram) {
        if self.now < self.quiet_until || address == self.config.address {
            return;
        }
        self.counter += 1;
        if let Some(bytes) = datagram::seal(&self.key, datagram) {
            self.traffic.sent += 1;
            self.traffic.sent_bytes += bytes.len() as u64;
            self.out.push((address, bytes));
        }
    }
}

/// Bytes of a record at most, as postcard writes it: names, address, life, incarnation, state and doubter.
fn record_length(record: &MemberRecord) -> usize {
    record.name.len() + record.zone.len() + 2 + 19 + 20 + 10 + 2 + 10 + 1
}
