//! A new configuration while serving: SIGHUP has the file read anew, and all of it holds from then on but for the
//! name, the address that clients connect to and the seed. Tickets that are open go on under the use case that they
//! came with; nothing is sent because of it.

use pinefront_policy::Micros;
use slog::{info, warn};

use crate::life::place::{Variables, read, variables};
use crate::life::serve::Node;
use crate::life::start::fleet_terms;
use crate::memory::deadlines::Due;
use crate::memory::desk::Desk;
use crate::wire::peers::Ear;

#[cfg(test)]
mod tests;

/// Further tries to read a file where the system failed for the moment, and the time between them. What a new
/// configuration moves counts four seconds after the signal.
const TRIES: u32 = 40;
const TRIES_APART: Micros = 50_000;

/// A file to be read again.
#[derive(Clone)]
pub struct Again {
    path: Option<String>,
    tries: u32,
}

impl Node {
    /// Reads the operator file anew, where there is one. What can't be read changes nothing.
    pub fn reread_operator(&mut self, path: Option<&str>) {
        let desk = self.desk.borrow();
        let Some((path, fleet)) = path.zip(desk.fleet.as_ref()) else {
            return;
        };
        match fleet_terms(path, &desk.place, self.balancer.settings()) {
            Ok(terms) => {
                let kept = fleet.borrow_mut().renew(terms);
                info!(desk.log, "operator file read anew"; "file" => path);
                if !kept.is_empty() {
                    warn!(desk.log, "waits for the next start"; "fields" => kept.join(","));
                }
            }
            Err(problem) => warn!(desk.log, "new operator file not taken"; "problem" => problem),
        }
    }

    /// The file could not be read a moment ago.
    pub fn reread_due(&mut self) {
        let again = self.desk.borrow().reread_again.clone();
        if let Some(again) = again {
            self.reread(again.path.as_deref(), &variables());
        }
    }

    /// Reads the file anew. What can't be read changes nothing.
    pub fn reread(&mut self, path: Option<&str>, variables: &Variables) {
        let mut variables = variables.clone();
        // It was set once for the whole life of the process; the file was replaced since.
        variables.remove("DISCOVERY");
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        desk.counters.rereads += 1;
        let discovery_before = desk.place.discovery;
        let taken = read(path, &variables).and_then(|(_, place, terms)| {
            let own = place.peers.get(place.own_index).copied();
            let ear = Ear::moved(desk.ear.as_ref(), &desk.handle, own)
                .map_err(|problem| format!("cannot hear other balancers at {own:?}: {problem}"))?;
            let kept = desk.place.kept_of(&place);
            let renewed = desk.place.renew(place, terms, self.balancer.settings());
            match renewed {
                Ok(_) => {
                    desk.hear_at(ear);
                    if !kept.is_empty() {
                        warn!(desk.log, "waits for the next start"; "fields" => kept.join(","));
                    }
                }
                Err(_) => ear.into_iter().for_each(|ear| ear.close(&desk.handle)),
            }
            Ok(renewed?)
        });
        match taken {
            Ok(terms) => {
                desk.reread_again = None;
                let place = &desk.place;
                let changed = terms != *self.balancer.settings();
                info!(desk.log, "configuration read anew"; "discovery" => %place.discovery,
                    "clients_most" => place.clients_most, "links_most" => place.links_most,
                    "settings_changed" => changed, "use_cases" => place.classes.join(","));
                desk.counters.settings_changed += u64::from(changed);
                if place.discovery != discovery_before {
                    desk.ask_elsewhere();
                }
                if changed {
                    self.balancer.settings_changed(terms);
                }
            }
            Err(unread) => {
                desk.counters.rereads_failed += 1;
                warn!(desk.log, "new configuration not taken"; "problem" => &unread.problem);
                desk.reread_later(path, unread.passes);
            }
        }
    }
}

impl Desk {
    fn reread_later(&mut self, path: Option<&str>, passes: bool) {
        let tries = self
            .reread_again
            .as_ref()
            .map_or(0, |again| again.tries + 1);
        let again = Again {
            path: path.map(str::to_owned),
            tries,
        };
        self.reread_again = Some(again).filter(|_| passes && tries < TRIES);
        if self.reread_again.is_some() {
            self.deadlines
                .hang(self.clock.now() + TRIES_APART, Due::Reread);
        }
    }
}
