//! The accord on a UDP socket of the loop.

use std::cell::RefCell;
use std::io;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use pinefront_cluster::datagram::MAX_DATAGRAM_BYTES;
use pinefront_cluster::leases::LeaseEvent;
use pinefront_cluster::leases::term::Term;
use pinefront_cluster::membership::events::MembershipEvent;
use pinefront_cluster::{Cluster, Micros, OutgoingDatagram};
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, info, warn};

use crate::fleet::operator::FleetTerms;
use crate::fleet::shared_list::SharedLists;

#[cfg(test)]
mod tests;

/// Datagrams taken in one turn: tickets wait no longer than these take, whoever floods the socket.
const A_TURN: usize = 128;

/// Time that goes on while the process is stopped and while the machine sleeps, and never steps.
pub fn now() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}

/// A lease that this process holds.
pub struct HeldStatus {
    /// The term under which it is held.
    pub term: Term,
    /// How long it has been held.
    pub held_for: Micros,
    /// How long it may still be acted on.
    pub remaining: Micros,
}

/// The state of a lease as far as this process knows.
pub struct LeaseStatus {
    /// Where this process holds it.
    pub held: Option<HeldStatus>,
    /// The greatest known term.
    pub known_term: Option<Term>,
}

/// A term as others may compare it: it rises with each turn, as text too.
pub fn format_term(term: Term) -> String {
    format!("{:016x}-{:016x}", term.number, term.incarnation_id)
}

/// This balancer's part in its fleet.
pub struct Fleet {
    pub cluster: Cluster,
    pub terms: FleetTerms,
    pub shared_lists: SharedLists,
    socket: Rc<UdpSocket>,
    log: Logger,
    /// Datagrams that the socket did not take.
    pub unsent: u64,
}

impl Fleet {
    /// Binds the socket, for the whole life of the process: another process at its address shows that this one ended.
    pub fn open<D: 'static>(
        handle: &LoopHandle<'static, D>,
        mut terms: FleetTerms,
        seed: u64,
        log: &Logger,
    ) -> Result<Rc<RefCell<Self>>, String> {
        let bound = UdpSocket::bind(terms.listen).and_then(|socket| {
            socket.set_nonblocking(true)?;
            Ok(Rc::new(socket))
        });
        let socket = bound
            .map_err(|problem| format!("cannot hear the fleet at {}: {problem}", terms.listen))?;
        let started_at_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        terms.part.started_at_us = started_at_us.as_micros() as u64;
        // Processes of one file would else draw alike, and a restarted one as before.
        let seed = seed ^ terms.part.started_at_us ^ u64::from(std::process::id()).rotate_left(32);
        let mut cluster = Cluster::new(terms.part.clone(), terms.key.clone(), seed, now());
        if let Some((lease_config, leases)) = &terms.leases {
            cluster.configure_leases(now(), lease_config.clone(), leases.clone());
        }
        info!(log, "joined the fleet"; "fleet" => &terms.part.fleet, "member" => &terms.part.name,
            "address" => %terms.part.address, "seeds" => terms.part.seeds.len());
        let shared_lists = SharedLists::new(terms.shared_lists.clone(), &terms.part.zone);
        let fleet = Rc::new(RefCell::new(Self {
            cluster,
            terms,
            shared_lists,
            socket,
            log: log.clone(),
            unsent: 0,
        }));
        let source = Generic::new(
            Rc::clone(&fleet.borrow().socket),
            Interest::READ,
            Mode::Level,
        );
        let carried = Rc::clone(&fleet);
        let token = handle.insert_source(source, move |_, _, _| {
            carried.borrow_mut().came();
            Ok(PostAction::Continue)
        });
        token.map_err(|problem| format!("cannot watch the fleet's socket: {problem}"))?;
        Ok(fleet)
    }

    /// Takes what came.
    fn came(&mut self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..A_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.cluster.receive(now(), &bytes[..length]),
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => break,
                // A report of an earlier send that nobody took; the next one may be a datagram.
                Err(_) => {}
            }
        }
        self.carry();
    }

    /// How long the loop may wait for it.
    pub fn wait(&self) -> Micros {
        self.cluster
            .next_timer()
            .min(self.shared_lists.next_timer())
            .saturating_sub(now())
    }

    /// Does what is due.
    pub fn turn(&mut self) {
        let now = now();
        if self.cluster.next_timer() <= now {
            self.cluster.run_timers(now);
            self.carry();
        }
        if self.shared_lists.next_timer() <= now {
            self.shared_lists.turn(now, &mut self.cluster);
            self.carry();
        }
    }

    /// Discovery told this balancer itself, or failed it.
    pub fn listed(&mut self, list: Option<&serde_json::Value>) {
        match list {
            Some(list) => self.shared_lists.listed(now(), &mut self.cluster, list),
            None => self.shared_lists.failed(),
        }
        self.carry();
    }

    /// For how long discovery need not be asked, as another tells what it says.
    pub fn fresh_for(&self) -> Option<Micros> {
        let now = now();
        self.shared_lists
            .fresh_until(now)
            .map(|until| until.saturating_sub(now))
    }

    /// This process serves no more.
    pub fn leave(&mut self) {
        self.cluster.leave(now());
        self.carry();
    }

    /// Takes a file read anew; what can't change while serving is named, and waits for the next start.
    pub fn renew(&mut self, new: FleetTerms) -> Vec<&'static str> {
        let old = &self.terms;
        let otherwise = [
            ("fleet.listen", old.listen != new.listen),
            ("fleet.advertise", old.part.address != new.part.address),
            ("fleet.name", old.part.fleet != new.part.fleet),
            ("fleet.member", old.part.name != new.part.name),
            ("fleet.zone", old.part.zone != new.part.zone),
        ];
        self.cluster.update_config(&new.part, new.key.clone());
        match &new.leases {
            Some((lease_config, leases)) => {
                self.cluster
                    .configure_leases(now(), lease_config.clone(), leases.clone());
            }
            None => self.cluster.disable_leases(now()),
        }
        (self.terms.via, self.terms.leases) = (new.via, new.leases);
        if self.terms.shared_lists != new.shared_lists {
            self.shared_lists = SharedLists::new(new.shared_lists.clone(), &self.terms.part.zone);
            self.terms.shared_lists = new.shared_lists;
        }
        otherwise
            .into_iter()
            .filter(|field| field.1)
            .map(|field| field.0)
            .collect()
    }

    fn carry(&mut self) {
        for OutgoingDatagram { to, bytes } in self.cluster.take_datagrams() {
            let to = self.terms.via.get(&to).copied().unwrap_or(to);
            // A full socket loses one as well as the network does.
            if self.socket.send_to(&bytes, to).is_err() {
                self.unsent += 1;
            }
        }
        for event in self.cluster.take_events() {
            self.log_membership_event(&event);
        }
        let events = self.cluster.take_lease_events();
        for event in &events {
            self.log_lease_event(event);
        }
        if !events.is_empty() {
            self.act_on(&events);
            // What that gave to say goes out with the next turn at the latest; most of it now.
            self.carry();
        }
    }

    /// What is said and held of rosters.
    fn act_on(&mut self, events: &[LeaseEvent]) {
        let now = now();
        self.shared_lists.held(now, &self.cluster);
        for event in events {
            match event {
                LeaseEvent::CommandReceived {
                    from,
                    lease,
                    term,
                    body,
                } if self.shared_lists.is_shared_list(*lease) => {
                    let wants = self.shared_lists.told(now, *lease, *term, body);
                    if let Some(body) = wants.and_then(|wants| wants.encode()) {
                        self.cluster.send_lease_note(now, *lease, from, body);
                    }
                }
                LeaseEvent::NoteReceived { from, lease, body } => {
                    self.shared_lists
                        .tracked(now, &mut self.cluster, *lease, from, body);
                }
                _ => {}
            }
        }
    }

    /// A duty's state here, for whoever acts in its name: nothing where no file names it.
    pub fn lease(&self, name: &str) -> Option<LeaseStatus> {
        let (leases, at) = (self.cluster.leases()?, now());
        let lease = leases.tracked().find(|lease| *lease.name == *name)?;
        let held = leases.held(at).find(|held| held.lease.id == lease.id);
        Some(LeaseStatus {
            held: held.map(|held| HeldStatus {
                term: held.term,
                held_for: at.saturating_sub(held.since),
                remaining: held.until - at,
            }),
            known_term: leases.known_term(lease.id),
        })
    }

    fn log_lease_event(&self, event: &LeaseEvent) {
        let log = &self.log;
        match event {
            LeaseEvent::Acquired { lease, term, .. } => {
                info!(log, "lease acquired"; "lease" => &**lease, "term" => format_term(*term), "at_us" => now());
            }
            LeaseEvent::Lost {
                lease,
                term,
                until,
                reason,
            } => {
                info!(log, "lease lost"; "lease" => &**lease, "term" => format_term(*term),
                    "until_us" => until, "reason" => reason.code());
            }
            LeaseEvent::QuorumLost => {
                warn!(log, "no majority of voters answers, leases are suspended")
            }
            LeaseEvent::QuorumRestored => info!(log, "a majority of voters answers"),
            LeaseEvent::VotersDiffer(name) => {
                warn!(log, "member has other voters in its file"; "member" => &**name);
            }
            // Not worth a line: what they bring shows where it is taken.
            LeaseEvent::CommandReceived { .. } | LeaseEvent::NoteReceived { .. } => {}
        }
    }

    fn log_membership_event(&self, event: &MembershipEvent) {
        let log = &self.log;
        let counts = (
            self.cluster.table.alive().count() + 1,
            self.cluster.table.count_may_serve() + 1,
        );
        let member = |word: &'static str, name: &Rc<str>| {
            info!(log, "{}", word; "member" => &**name, "alive" => counts.0, "may_serve" => counts.1);
        };
        match event {
            MembershipEvent::Joined(name) => member("member joined", name),
            MembershipEvent::Suspected(name) => member("member suspected", name),
            MembershipEvent::Recovered(name) => member("member recovered", name),
            MembershipEvent::Dead(name) => member("member dead, may still serve", name),
            MembershipEvent::Left(name) => member("member left", name),
            MembershipEvent::Refuted => info!(log, "refuted a suspicion of this member"),
            MembershipEvent::Paused(lasted) => {
                warn!(log, "process was paused, suspects nobody until reachable"; "paused_ms" => lasted / 1_000)
            }
            MembershipEvent::Reconnected => info!(log, "reachable again"),
            MembershipEvent::NameConflict => {
                warn!(log, "another process uses this member's name"; "member" => &self.terms.part.name);
            }
            MembershipEvent::ConfirmedDeadAlive(name) => {
                warn!(log, "member confirmed dead is alive, counted again"; "member" => &**name);
            }
            MembershipEvent::TableFull => warn!(log, "member table is full"),
        }
    }
}
