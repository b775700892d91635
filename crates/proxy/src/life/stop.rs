//! An orderly stop: not ready at once, accepting a little longer, every ticket answered.

use calloop::signals::Signal;
use pinefront_policy::Micros;
use slog::info;

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::deadlines::Due;
use crate::memory::desk::{Client, Desk};

#[cfg(test)]
mod tests;

/// How long new connections are taken after the signal: they go on coming until the front has noticed.
const ACCEPT_ON: Micros = 500_000;
/// How long connections are then still served: clients go on sending on those that stay open, and for the only balancer
/// of a zone there is no other to go to. What is taken by then has its answer within its own time, and whoever ends
/// us allows 0.7 s more than the longest of those. Who opens a connection last has this much to send its request.
const SERVE_ON: Micros = 600_000;
/// How long requests of which part is here are then read on.
const REST_WITHIN: Micros = 500_000;
/// How often we look whether all is answered.
const LOOK_EVERY: Micros = 20_000;
/// When we end whatever is left but requests: those have deadlines of their own, which other customers set longer.
const GIVE_UP: Micros = 10_000_000;

impl Node {
    pub fn signalled(&mut self, signal: Signal) {
        let mut desk = self.desk.borrow_mut();
        if signal == Signal::SIGUSR1 {
            return desk.tell_counters();
        }
        if desk.stopping.is_some() {
            return;
        }
        info!(desk.log, "told to stop"; "tickets" => desk.tickets.len(), "clients" => desk.clients.len());
        desk.stopping = Some(desk.now());
        drop(desk);
        self.stop_on();
    }

    /// Looks how far the stop has come.
    pub fn stop_on(&mut self) {
        let (now, stopping) = {
            let desk = self.desk.borrow();
            (desk.now(), desk.stopping)
        };
        let Some(began) = stopping else { return };
        let since = now.saturating_sub(began);
        if since >= ACCEPT_ON {
            // What lies in the backlog counts as taken: where there is no room now, it waits for some.
            while self.accept() {}
            let mut desk = self.desk.borrow_mut();
            if !desk.backlog_waits() {
                desk.close_listener();
            }
        }
        // What came in meanwhile is served, not closed.
        let slots: Vec<_> = self.desk.borrow().clients.keys().collect();
        slots.into_iter().for_each(|slot| self.client_ready(slot));
        let mut desk = self.desk.borrow_mut();
        if since >= SERVE_ON {
            desk.closing = true;
            desk.close_idle_clients();
        }
        if since >= SERVE_ON + REST_WITHIN {
            desk.turn_off_unfinished();
        }
        // Those whose end is under way have little time left, and close by themselves.
        let waits =
            |client: &Client| client.is_owed() || client.lingers || !client.inbox.kept().is_empty();
        let waiting = desk.clients.values().any(waits);
        let unanswered = desk.tickets.values().any(|ticket| ticket.client.is_some());
        let done = since >= SERVE_ON && !waiting && desk.listener.is_none();
        if done || (since >= GIVE_UP && !unanswered) {
            info!(desk.log, "stopped"; "unanswered" => desk.tickets.len());
            self.over = true;
            return;
        }
        desk.deadlines.hang(now + LOOK_EVERY, Due::Stop);
    }
}

impl Desk {
    /// The counters, a line each.
    pub fn tell_counters(&self) {
        for line in self.counters.to_string().lines() {
            info!(self.log, "counter"; "of" => line.split(' ').next().unwrap_or(""),
                "is" => line.split(' ').next_back().unwrap_or(""));
        }
    }

    /// Ends what is still open when the program ends.
    pub fn end_all(&mut self) {
        let clients: Vec<_> = self.clients.keys().collect();
        clients
            .into_iter()
            .for_each(|slot| self.end_client(slot, reasons::STOPPED));
        let links: Vec<_> = self.links.keys().collect();
        links
            .into_iter()
            .for_each(|slot| self.end_link(slot, reasons::STOPPED));
        self.end_all_discovery(reasons::STOPPED);
    }
}
