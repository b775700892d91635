//! A new configuration while serving: SIGHUP has the file read anew. What it says of discovery and of
//! descriptors holds from then on, the rest from the next start on.

use slog::{info, warn};

use crate::life::place::{Variables, read};
use crate::life::serve::Node;

#[cfg(test)]
mod tests;

impl Node {
    /// Reads the file anew. What can't be read changes nothing.
    pub fn reread(&mut self, path: Option<&str>, variables: &Variables) {
        let mut variables = variables.clone();
        // It was set once for the whole life of the process; the file was replaced since.
        variables.remove("DISCOVERY");
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        desk.counters.rereads += 1;
        match read(path, &variables) {
            Ok((_, place, _)) => {
                info!(desk.log, "configuration read anew"; "discovery" => %place.discovery,
                    "clients_most" => place.clients_most, "links_most" => place.links_most);
                (desk.place.clients_most, desk.place.links_most) = (place.clients_most, place.links_most);
                (desk.place.messages_most, desk.place.crowd) = (place.messages_most, place.crowd);
                desk.discovery_moved(place.discovery);
            }
            Err(problem) => {
                desk.counters.rereads_failed += 1;
                warn!(desk.log, "new configuration not taken"; "problem" => problem);
            }
        }
    }
}
