//! Dissemination of changed records, which are piggybacked on all messages.

use std::rc::Rc;

/// The number of times a changed record is sent, for each unit of the decimal logarithm of the
/// number of members, so that all members receive it although datagrams are lost (SWIM, section
/// 4.1).
const TRANSMISSIONS_PER_LOG_MEMBERS: f64 = 5.0;
/// The smallest number of times a changed record is sent.
const MIN_TRANSMISSIONS: u32 = 3;

/// A changed record, identified by the name of its member.
struct Change {
    name: Rc<str>,
    transmissions: u32,
}

/// The changed records that are still to be sent.
#[derive(Default)]
pub struct Dissemination {
    changes: Vec<Change>,
}

impl Dissemination {
    /// Starts or restarts the dissemination of a member's record.
    pub fn add(&mut self, name: &Rc<str>) {
        self.changes.retain(|change| change.name != *name);
        self.changes.push(Change {
            name: Rc::clone(name),
            transmissions: 0,
        });
    }

    /// Whether there are no changed records to send.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Passes the names of changed records to `add_to_datagram`, least sent first, until it returns
    /// false because a record does not fit.
    pub fn offer_changes(&mut self, members: usize, mut add_to_datagram: impl FnMut(&str) -> bool) {
        self.changes.sort_by_key(|change| change.transmissions);
        for change in &mut self.changes {
            if !add_to_datagram(&change.name) {
                break;
            }
            change.transmissions += 1;
        }
        let log_members = (members as f64 + 1.0).log10();
        let max = (TRANSMISSIONS_PER_LOG_MEMBERS * log_members).ceil() as u32;
        let max = max.max(MIN_TRANSMISSIONS);
        self.changes.retain(|change| change.transmissions < max);
    }
}
