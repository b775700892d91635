//! A new configuration while serving: SIGHUP has the file read anew, and all of it holds from then on but for the
//! name, the address that clients connect to and the seed. Tickets that are open go on under the use case that they
//! came with; nothing is sent because of it.

use slog::{info, warn};

use crate::life::place::{Variables, read};
use crate::life::serve::Node;
use crate::life::start::fleet_terms;
use crate::wire::peers::Ear;

#[cfg(test)]
mod tests;

impl Node {
    /// Reads the operator file anew, where there is one. What can't be read changes nothing.
    pub fn reread_operator(&mut self, path: Option<&str>) {
        let desk = self.desk.borrow();
        let Some((path, fleet)) = path.zip(desk.fleet.as_ref()) else { return };
        match fleet_terms(path, &desk.place, self.balancer.terms()) {
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

    /// Reads the file anew. What can't be read changes nothing.
    pub fn reread(&mut self, path: Option<&str>, variables: &Variables) {
        let mut variables = variables.clone();
        // It was set once for the whole life of the process; the file was replaced since.
        variables.remove("DISCOVERY");
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        desk.counters.rereads += 1;
        let taken = read(path, &variables).and_then(|(_, place, terms)| {
            let own = place.peers.get(place.own_number).copied();
            let ear = Ear::moved(desk.ear.as_ref(), &desk.handle, own)
                .map_err(|problem| format!("cannot hear other balancers at {own:?}: {problem}"))?;
            let kept = desk.place.kept_of(&place);
            let renewed = desk.place.renew(place, terms, self.balancer.terms());
            match renewed {
                Ok(_) => {
                    desk.hear_at(ear);
                    if !kept.is_empty() {
                        warn!(desk.log, "waits for the next start"; "fields" => kept.join(","));
                    }
                }
                Err(_) => ear.into_iter().for_each(|ear| ear.close(&desk.handle)),
            }
            renewed
        });
        match taken {
            Ok(terms) => {
                let place = &desk.place;
                let changed = terms != *self.balancer.terms();
                info!(desk.log, "configuration read anew"; "discovery" => %place.discovery,
                    "clients_most" => place.clients_most, "links_most" => place.links_most,
                    "settings_changed" => changed, "use_cases" => place.use_cases.join(","));
                desk.counters.settings_changed += u64::from(changed);
                let address = place.discovery;
                desk.discovery_moved(address);
                if changed {
                    self.balancer.terms_changed(terms);
                }
            }
            Err(problem) => {
                desk.counters.rereads_failed += 1;
                warn!(desk.log, "new configuration not taken"; "problem" => problem);
            }
        }
    }
}
