//! Which endpoint holds an address: servers come and go under names of their own, and a name can
//! outlive its server.
//!
//! Invariant: of several endpoints that were stated for one address, the one with the greatest rank
//! holds it, and all others are replaced.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use pinefront_policy::Micros;

#[cfg(test)]
mod tests;

/// How long the claim of a departed endpoint is kept, in microseconds. An entry that repeats it in
/// this time is not a new claim.
const DEPARTED_RETENTION_US: Micros = 300_000_000;

/// An entry's statement that an endpoint has an address.
#[derive(Clone, Copy, Debug)]
pub struct StatedAddress {
    /// The address.
    pub address: SocketAddr,
    /// Start time of the endpoint's process, in microseconds of discovery's wall clock.
    pub stated_start: Micros,
}

/// How the list names an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listing {
    /// It does not, or as removed.
    Removed,
    /// As active.
    Active,
    /// As draining.
    Draining,
}

/// The claim of an endpoint to its address.
struct Claim {
    id: Rc<str>,
    /// Number of the list that first stated the address for the endpoint's present process.
    list: u64,
    stated_start: Micros,
    listing: Listing,
    is_replaced: bool,
    /// When the endpoint was removed from the list, in microseconds.
    removed_at: Option<Micros>,
}

/// The strength of a claim. A listed endpoint prevails over an unlisted one, then the one that a
/// later list stated first, then the later start, then one that is draining. Endpoints of equal
/// rank share the address.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_listed: bool,
    list: u64,
    stated_start: Micros,
    listing: Listing,
}

/// The address and the rank of a claim.
#[cfg(test)]
pub struct RankedAddress {
    pub address: SocketAddr,
    pub rank: Rank,
}

impl Claim {
    fn rank(&self) -> Rank {
        Rank {
            is_listed: self.listing != Listing::Removed,
            list: self.list,
            stated_start: self.stated_start,
            listing: self.listing,
        }
    }

    fn remove(&mut self, now: Micros) {
        self.listing = Listing::Removed;
        self.removed_at.get_or_insert(now);
    }

    /// Whether the endpoint was removed so long ago that its claim is not needed any more.
    fn is_expired(&self, now: Micros) -> bool {
        self.removed_at
            .is_some_and(|at| at + DEPARTED_RETENTION_US <= now)
    }
}

/// The claims of endpoints to their addresses.
#[derive(Default)]
pub struct AddressClaims {
    by_address: HashMap<SocketAddr, Vec<Claim>>,
    address_by_id: HashMap<Rc<str>, SocketAddr>,
    lists_applied: u64,
    /// Addresses that the present list has stated.
    stated: Vec<SocketAddr>,
    /// Endpoints that are draining or were removed.
    departing: HashSet<Rc<str>>,
}

impl AddressClaims {
    /// Begins a list. A complete list removes all endpoints; its entries list them again.
    pub fn begin_list(&mut self, now: Micros, is_complete: bool) {
        self.lists_applied += 1;
        self.stated.clear();
        if !is_complete {
            return;
        }
        for claim in self.by_address.values_mut().flatten() {
            claim.remove(now);
            self.departing.insert(Rc::clone(&claim.id));
        }
    }

    /// Records that the present list states an address for an endpoint. An entry that repeats
    /// address and start is not a new claim. Returns whether the endpoint may hold the address; it
    /// may not if it was replaced and has been listed ever since.
    pub fn state(&mut self, id: &Rc<str>, stated: StatedAddress, listing: Listing) -> bool {
        let address = stated.address;
        let previous = self.address_by_id.get(id).copied();
        if previous != Some(address) {
            self.forget(id);
            self.address_by_id.insert(Rc::clone(id), address);
        }
        self.stated.push(address);
        if listing == Listing::Active {
            self.departing.remove(id);
        } else {
            self.departing.insert(Rc::clone(id));
        }
        let claims = self.by_address.entry(address).or_default();
        let known = claims.iter_mut().find(|claim| claim.id == *id);
        let list = self.lists_applied;
        let Some(claim) = known else {
            claims.push(Claim {
                id: Rc::clone(id),
                list,
                stated_start: stated.stated_start,
                listing,
                is_replaced: false,
                removed_at: None,
            });
            return true;
        };
        if claim.stated_start == stated.stated_start {
            claim.is_replaced &= claim.listing != Listing::Removed;
        } else {
            (claim.list, claim.stated_start) = (list, stated.stated_start);
            claim.is_replaced = false;
        }
        (claim.listing, claim.removed_at) = (listing, None);
        !claim.is_replaced
    }

    /// Records that an endpoint was removed from the list, which states its address as far as the
    /// entry could be read.
    pub fn removed(&mut self, id: &Rc<str>, stated: Option<StatedAddress>, now: Micros) {
        let known = self.address_by_id.get(id).copied();
        if let Some(stated) = stated.filter(|stated| known != Some(stated.address)) {
            // It was at this address for a time, so no other endpoint was.
            self.state(id, stated, Listing::Removed);
        }
        if let Some(claim) = self.claim_mut(id) {
            claim.remove(now);
            self.departing.insert(Rc::clone(id));
        }
    }

    /// Ends a list. Returns the endpoints that are replaced from now on.
    pub fn end_list(&mut self) -> Vec<Rc<str>> {
        let mut replaced = Vec::new();
        for address in std::mem::take(&mut self.stated) {
            let claims = self.by_address.get_mut(&address).into_iter().flatten();
            let mut holders: Vec<_> = claims.filter(|claim| !claim.is_replaced).collect();
            let greatest = holders.iter().map(|claim| claim.rank()).max();
            for claim in &mut holders {
                if Some(claim.rank()) < greatest {
                    claim.is_replaced = true;
                    replaced.push(Rc::clone(&claim.id));
                }
            }
        }
        replaced
    }

    /// Records that a part of a list states an address for an endpoint. Returns the endpoints that
    /// are replaced for that reason; none if the address is already known for it.
    pub fn replace_others(&mut self, id: &str, address: SocketAddr) -> Vec<Rc<str>> {
        if self.address_by_id.get(id) == Some(&address) {
            return Vec::new();
        }
        let claims = self.by_address.get_mut(&address).into_iter().flatten();
        let replaced = claims.filter(|claim| !claim.is_replaced).map(|claim| {
            claim.is_replaced = true;
            Rc::clone(&claim.id)
        });
        replaced.collect()
    }

    /// Forgets the claims of draining and removed endpoints that are not in use (`is_known`), if they
    /// were removed long ago or no other endpoint has their address.
    pub fn forget_departed(&mut self, now: Micros, is_known: impl Fn(&str) -> bool) {
        for id in std::mem::take(&mut self.departing) {
            if is_known(&id) || self.is_needed(&id, now) {
                self.departing.insert(id);
            } else {
                self.forget(&id);
            }
        }
    }

    /// Whether the claim of a departed endpoint may still have to be compared with others.
    fn is_needed(&self, id: &str, now: Micros) -> bool {
        let address = self.address_by_id.get(id);
        let claims = address.and_then(|address| self.by_address.get(address));
        claims.is_some_and(|claims| {
            let mut own = claims.iter().filter(|claim| *claim.id == *id);
            claims.len() > 1 && own.any(|claim| !claim.is_expired(now))
        })
    }

    /// Returns the address and the rank of an endpoint's claim.
    #[cfg(test)]
    pub fn claim_of(&self, id: &str) -> Option<RankedAddress> {
        let address = *self.address_by_id.get(id)?;
        let claim = self.by_address[&address]
            .iter()
            .find(|claim| *claim.id == *id)?;
        let rank = claim.rank();
        Some(RankedAddress { address, rank })
    }

    fn claim_mut(&mut self, id: &str) -> Option<&mut Claim> {
        let claims = self.by_address.get_mut(self.address_by_id.get(id)?)?;
        claims.iter_mut().find(|claim| *claim.id == *id)
    }

    fn forget(&mut self, id: &str) {
        let Some(address) = self.address_by_id.remove(id) else {
            return;
        };
        if let Some(claims) = self.by_address.get_mut(&address) {
            claims.retain(|claim| *claim.id != *id);
            if claims.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}
