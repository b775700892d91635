//! The accord on a UDP socket of the loop.

use std::cell::RefCell;
use std::io;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use pinefront_cluster::duties::DutyEvent;
use pinefront_cluster::duties::term::Term;
use pinefront_cluster::envelope::DATAGRAM_MOST;
use pinefront_cluster::membership::table::Event;
use pinefront_cluster::{Accord, Micros};
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, info, warn};

use crate::fleet::operator::FleetTerms;
use crate::fleet::roster::Rosters;

#[cfg(test)]
mod tests;

/// Datagrams taken in one turn: tickets wait no longer than these take, whoever floods the socket.
const A_TURN: usize = 128;

/// Time that goes on while the process is stopped and while the machine sleeps, and never steps.
pub fn now() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}

/// How one duty stands as far as this process knows.
pub struct DutyState {
    /// Its term here, for how long it has been held and how long it may be acted on, in microseconds.
    pub held: Option<(Term, Micros, Micros)>,
    pub known: Option<Term>,
}

/// A term as others may compare it: it rises with each turn, as text too.
pub fn term_text(term: Term) -> String {
    format!("{:016x}-{:016x}", term.number, term.life)
}

/// This balancer's part in its fleet.
pub struct Fleet {
    pub accord: Accord,
    pub terms: FleetTerms,
    pub rosters: Rosters,
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
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        terms.part.born = born.as_micros() as u64;
        // Processes of one file would else draw alike, and a restarted one as before.
        let seed = seed ^ terms.part.born ^ u64::from(std::process::id()).rotate_left(32);
        let mut accord = Accord::new(terms.part.clone(), terms.key.clone(), seed, now());
        if let Some((duty_terms, duties)) = &terms.duties {
            accord.take_duties(now(), duty_terms.clone(), duties.clone());
        }
        info!(log, "in the fleet"; "fleet" => &terms.part.fleet, "member" => &terms.part.name,
            "address" => %terms.part.address, "seeds" => terms.part.seeds.len());
        let rosters = Rosters::new(terms.rosters.clone(), &terms.part.zone);
        let fleet = Rc::new(RefCell::new(Self {
            accord,
            terms,
            rosters,
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
        let mut bytes = [0; DATAGRAM_MOST + 1];
        for _ in 0..A_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.accord.heard(now(), &bytes[..length]),
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => break,
                // A report of an earlier send that nobody took; the next one may be a datagram.
                Err(_) => {}
            }
        }
        self.carry();
    }

    /// How long the loop may wait for it.
    pub fn wait(&self) -> Micros {
        self.accord
            .next_due()
            .min(self.rosters.next_due())
            .saturating_sub(now())
    }

    /// Does what is due.
    pub fn turn(&mut self) {
        let now = now();
        if self.accord.next_due() <= now {
            self.accord.due(now);
            self.carry();
        }
        if self.rosters.next_due() <= now {
            self.rosters.turn(now, &mut self.accord);
            self.carry();
        }
    }

    /// Discovery told this balancer itself, or failed it.
    pub fn listed(&mut self, list: Option<&serde_json::Value>) {
        match list {
            Some(list) => self.rosters.listed(now(), &mut self.accord, list),
            None => self.rosters.failed(),
        }
        self.carry();
    }

    /// For how long discovery need not be asked, as another tells what it says.
    pub fn fed_for(&self) -> Option<Micros> {
        let now = now();
        self.rosters
            .fed_until(now)
            .map(|until| until.saturating_sub(now))
    }

    /// This process serves no more.
    pub fn leave(&mut self) {
        self.accord.leave(now());
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
        self.accord.renew(&new.part, new.key.clone());
        match &new.duties {
            Some((duty_terms, duties)) => {
                self.accord
                    .take_duties(now(), duty_terms.clone(), duties.clone());
            }
            None => self.accord.leave_duties(now()),
        }
        (self.terms.via, self.terms.duties) = (new.via, new.duties);
        if self.terms.rosters != new.rosters {
            self.rosters = Rosters::new(new.rosters.clone(), &self.terms.part.zone);
            self.terms.rosters = new.rosters;
        }
        otherwise
            .into_iter()
            .filter(|field| field.1)
            .map(|field| field.0)
            .collect()
    }

    fn carry(&mut self) {
        for (to, bytes) in self.accord.take_datagrams() {
            let to = self.terms.via.get(&to).copied().unwrap_or(to);
            // A full socket loses one as well as the network does.
            if self.socket.send_to(&bytes, to).is_err() {
                self.unsent += 1;
            }
        }
        for event in self.accord.take_events() {
            self.tell(&event);
        }
        let events = self.accord.take_duty_events();
        for event in &events {
            self.tell_duty(event);
        }
        if !events.is_empty() {
            self.act_on(&events);
            // What that gave to say goes out with the next turn at the latest; most of it now.
            self.carry();
        }
    }

    /// What is said and held of rosters.
    fn act_on(&mut self, events: &[DutyEvent]) {
        let now = now();
        self.rosters.held(now, &self.accord);
        for event in events {
            match event {
                DutyEvent::Acted {
                    from,
                    duty,
                    term,
                    body,
                } if self.rosters.is_roster(*duty) => {
                    let wants = self.rosters.told(now, *duty, *term, body);
                    if let Some(body) = wants.and_then(|wants| wants.bytes()) {
                        self.accord.say_of(now, *duty, from, body);
                    }
                }
                DutyEvent::Said { from, duty, body } => {
                    self.rosters
                        .wanted(now, &mut self.accord, *duty, from, body);
                }
                _ => {}
            }
        }
    }

    /// A duty's state here, for whoever acts in its name: nothing where no file names it.
    pub fn duty(&self, name: &str) -> Option<DutyState> {
        let (duties, at) = (self.accord.duties()?, now());
        let duty = duties.wanted().find(|duty| *duty.name == *name)?;
        let held = duties.held(at).find(|held| held.0.id == duty.id);
        Some(DutyState {
            held: held.map(|(_, term, from, until)| (term, at - from.min(at), until - at)),
            known: duties.known(duty.id),
        })
    }

    fn tell_duty(&self, event: &DutyEvent) {
        let log = &self.log;
        match event {
            DutyEvent::Taken { duty, term, .. } => {
                info!(log, "duty taken"; "duty" => &**duty, "term" => term_text(*term), "at_us" => now());
            }
            DutyEvent::Lost {
                duty,
                term,
                until,
                why,
            } => {
                info!(log, "duty lost"; "duty" => &**duty, "term" => term_text(*term),
                    "until_us" => until, "why" => why.word());
            }
            DutyEvent::NoMajority => warn!(log, "no majority of voters answers, duties rest"),
            DutyEvent::Majority => info!(log, "a majority of voters answers"),
            DutyEvent::VotersDiffer(name) => {
                warn!(log, "a member has other voters in its file"; "member" => &**name);
            }
            // Not worth a line: what they bring shows where it is taken.
            DutyEvent::Acted { .. } | DutyEvent::Said { .. } => {}
        }
    }

    fn tell(&self, event: &Event) {
        let log = &self.log;
        let counts = (
            self.accord.table.present().count() + 1,
            self.accord.table.may_be_serving() + 1,
        );
        let member = |word: &'static str, name: &Rc<str>| {
            info!(log, "{}", word; "member" => &**name, "present" => counts.0, "may_serve" => counts.1);
        };
        match event {
            Event::Joined(name) => member("member joined", name),
            Event::Doubted(name) => member("member doubted", name),
            Event::Returned(name) => member("member returned", name),
            Event::Gone(name) => member("member gone, may still serve", name),
            Event::Left(name) => member("member left", name),
            Event::Refuted => info!(log, "others doubted us, and were told otherwise"),
            Event::Slept(lasted) => {
                warn!(log, "was not run, doubts nobody until heard"; "ms" => lasted / 1_000)
            }
            Event::HeardAgain => info!(log, "heard again"),
            Event::NameTaken => {
                warn!(log, "another process bears our name"; "member" => &self.terms.part.name);
            }
            Event::StruckHeard(name) => {
                warn!(log, "struck and heard all the same, counts again"; "member" => &**name);
            }
            Event::TableFull => warn!(log, "no room for a further member"),
        }
    }
}
