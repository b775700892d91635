//! Requests that are ordered by key, held until every request that arrived before them has been
//! read.
//!
//! An iteration of the event loop reads sockets one after the other, and connections that it
//! accepts only in the next iteration. So a request may be read before one that arrived earlier.
//! Invariant: a request is released only when all connections that existed when it was read have
//! been read since, those in the backlog included, and in the order of the arrival times that the
//! kernel recorded.

use crate::state::arrival_time::ArrivalTime;

#[cfg(test)]
mod tests;

/// Number of sockets that the event loop reports in one iteration at most.
const MAX_EVENTS_PER_ITERATION: usize = 1024;
/// Number of events that are not counted: of the listener, discovery, gossip, the cluster and
/// signals.
const MAX_UNCOUNTED_EVENTS: usize = 24;
/// Maximum number of iterations for which a request is held. A full backlog of 1,024 connections
/// takes 16 iterations.
const MAX_HELD_ITERATIONS: u64 = 32;

/// A held request.
struct Held<T> {
    request: T,
    arrived_at: ArrivalTime,
    /// The iteration in which it was read.
    read_in: u64,
}

/// The held requests, in the order in which they were read, and what the present iteration of the
/// event loop has read so far.
pub struct OrderedArrivals<T> {
    held: Vec<Held<T>>,
    iteration: u64,
    events: usize,
    has_accepted: bool,
    may_backlog_hold_more: bool,
    /// The last iteration that accepted connections and left the backlog empty.
    backlog_emptied_in: Option<u64>,
}

impl<T> Default for OrderedArrivals<T> {
    fn default() -> Self {
        Self {
            held: Vec::new(),
            iteration: 0,
            events: 0,
            has_accepted: false,
            may_backlog_hold_more: false,
            backlog_emptied_in: None,
        }
    }
}

impl<T> OrderedArrivals<T> {
    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Records an event of a connection.
    pub fn record_event(&mut self) {
        self.events += 1;
    }

    /// Records that a connection was accepted. Its bytes are read in the next iteration.
    pub fn record_accept(&mut self) {
        self.has_accepted = true;
    }

    /// Records whether the backlog may hold more connections that can be accepted now.
    pub fn record_backlog(&mut self, may_hold_more: bool) {
        self.may_backlog_hold_more = may_hold_more;
    }

    /// Holds a request that was read in this iteration.
    pub fn hold(&mut self, request: T, arrived_at: ArrivalTime) {
        self.held.push(Held {
            request,
            arrived_at,
            read_in: self.iteration,
        });
    }

    /// Ends the iteration. Returns the requests that no earlier one can follow, in the order of
    /// their arrival.
    pub fn end_iteration(&mut self) -> Vec<T> {
        let settled_before = self.settled_before();
        let has_accepted = std::mem::take(&mut self.has_accepted);
        let is_backlog_left = std::mem::take(&mut self.may_backlog_hold_more);
        if has_accepted && !is_backlog_left {
            self.backlog_emptied_in = Some(self.iteration);
        }
        self.iteration += 1;
        self.events = 0;
        self.release(settled_before)
    }

    /// Returns the iteration before which all requests were read whose predecessors have been read
    /// too.
    fn settled_before(&self) -> u64 {
        let overdue = self.iteration.saturating_sub(MAX_HELD_ITERATIONS);
        if self.events + MAX_UNCOUNTED_EVENTS >= MAX_EVENTS_PER_ITERATION {
            // Sockets may have been ready that were not reported.
            return overdue;
        }
        let settled = if self.has_accepted || self.may_backlog_hold_more {
            // Connections that were in the backlog when it was emptied have been read by now.
            self.backlog_emptied_in.unwrap_or(0)
        } else {
            self.iteration
        };
        settled.max(overdue)
    }

    /// Releases the requests that were read before an iteration, and those that arrived before one
    /// of them.
    fn release(&mut self, settled_before: u64) -> Vec<T> {
        let settled = self
            .held
            .iter()
            .filter(|held| held.read_in < settled_before);
        let Some(latest) = settled.map(|held| held.arrived_at).max() else {
            return Vec::new();
        };
        let is_released =
            |held: &mut Held<T>| held.read_in < settled_before || held.arrived_at < latest;
        let mut released: Vec<_> = self.held.extract_if(.., is_released).collect();
        // The sort is stable: requests without a recorded time keep the order in which they were
        // read.
        released.sort_by_key(|held| held.arrived_at);
        released.into_iter().map(|held| held.request).collect()
    }
}
