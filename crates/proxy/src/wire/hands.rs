//! The module's calls, carried out at once. What fails here is told on a later turn, as we are inside a call
//! of the module.

use bytes::Bytes;
use pinefront_policy::{AttemptOutcome, Host, Micros};
use slog::info;

use crate::life::reasons;
use crate::life::serve::Hands;
use crate::memory::deadlines::Due;
use crate::memory::desk::{Desk, Errand};
use crate::memory::slots::TicketSlot;

impl Host for Hands {
    fn start_attempt(&mut self, ticket: &str, upstream: &str, expire_at: Micros) {
        self.0.borrow_mut().dispatch(ticket, upstream, expire_at);
    }

    /// Calling off closes the connection: the upstream sees that nobody waits.
    fn cancel_attempt(&mut self, ticket: &str, dispatch: usize) {
        let mut desk = self.0.borrow_mut();
        let Some(slot) = desk.by_id.get(ticket).copied() else {
            return;
        };
        let Some(ticket) = desk.tickets.get(slot) else {
            return;
        };
        if let Some(link) = ticket.dispatches.get(dispatch).copied().flatten() {
            desk.end_link(link, reasons::CALLED_OFF);
            // The module has yet to hear of it: the request would never be answered, or its key never be free.
            let now = desk.now();
            desk.deadlines
                .hang(now, Due::Unsent(slot, dispatch, AttemptOutcome::Cancelled));
        }
    }

    fn reject(&mut self, ticket: &str, retry_after: Micros) {
        let mut desk = self.0.borrow_mut();
        let Some(slot) = desk.by_id.get(ticket).copied() else {
            return;
        };
        let mut fields = Vec::new();
        if retry_after > 0 {
            fields.push(Bytes::from(format!(
                "Retry-After: {:.3}\r\n",
                retry_after as f64 / 1e6
            )));
        }
        desk.counters.tickets_dismissed += 1;
        desk.tell_given_up(slot, 503);
        desk.answer(slot, 503, fields, Vec::new());
    }

    fn fail(&mut self, ticket: &str) {
        let mut desk = self.0.borrow_mut();
        let Some(slot) = desk.by_id.get(ticket).copied() else {
            return;
        };
        desk.counters.tickets_abandoned += 1;
        desk.tell_given_up(slot, 502);
        desk.answer(slot, 502, Vec::new(), Vec::new());
    }

    fn set_timer(&mut self, after: Micros, alarm: u64) {
        let mut desk = self.0.borrow_mut();
        let at = desk.now().saturating_add(after);
        desk.deadlines.hang(at, Due::Alarm(alarm));
    }

    fn poll_endpoint_list(&mut self) {
        let mut desk = self.0.borrow_mut();
        desk.poll_endpoint_list();
    }

    fn probe(&mut self, upstream: &str) {
        self.0.borrow_mut().probe(upstream);
    }

    fn close_idle_connections(&mut self, upstream: &str) {
        let mut desk = self.0.borrow_mut();
        let Some(slot) = desk.by_name.get(upstream).copied() else {
            return;
        };
        desk.drop_idle_links(slot, reasons::STALE);
    }

    fn send_gossip(&mut self, balancer: Option<usize>, words: &str) {
        self.0.borrow_mut().tell(balancer, words);
    }
}

impl Desk {
    fn tell_given_up(&self, slot: TicketSlot, status: u16) {
        if let Some(request) = self.tickets.get(slot) {
            info!(self.log, "request given up"; "request" => &*request.id, "status" => status,
                "attempts" => request.dispatches.len());
        }
    }

    /// Asks an upstream for its load at the path in the configuration. A probe waits as long as a connection may
    /// take to come about: what tells its load later than that tells of another load.
    fn probe(&mut self, id: &str) {
        let now = self.now();
        self.counters.probes += 1;
        let Some(upstream) = self.by_name.get(id).copied() else {
            return;
        };
        let Some(path) = self.place.probe_path.clone() else {
            self.deadlines.hang(now, Due::Unprobed(upstream));
            return;
        };
        let address = self
            .upstreams
            .get(upstream)
            .and_then(|upstream| upstream.address);
        let linked = self.link_to(upstream).ok().zip(address);
        let link =
            linked.and_then(|(slot, address)| Some((slot, address, self.links.get_mut(slot)?)));
        let Some((slot, address, link)) = link else {
            self.deadlines.hang(now, Due::Unprobed(upstream));
            return;
        };
        let expire_at = now + self.place.connect_timeout;
        link.errand = Some(Errand {
            ticket: TicketSlot::default(),
            number: 0,
            sent: now,
            expire_at,
        });
        link.outbox.push(Bytes::from(format!(
            "GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        )));
        // What fails here is looked at on a later turn: we are inside a call of the module.
        if link.connected && link.outbox.drain(&link.wired.stream).is_err() {
            self.deadlines.hang(now, Due::LinkTurn(slot));
        }
        self.link_waits(slot, expire_at);
    }

    fn dispatch(&mut self, id: &str, upstream: &str, expire_at: Micros) {
        let now = self.now();
        let Some(ticket) = self.by_id.get(id).copied() else {
            return;
        };
        self.counters.dispatches += 1;
        let linked = match self.by_name.get(upstream) {
            _ if expire_at <= now => Err(AttemptOutcome::NotSent),
            Some(&upstream) => self.link_to(upstream),
            None => Err(AttemptOutcome::Unreachable),
        };
        let Some(open) = self.tickets.get_mut(ticket) else {
            return;
        };
        let number = open.dispatches.len();
        open.dispatches.push(linked.ok());
        let slot = match linked {
            Ok(slot) => slot,
            Err(ending) => {
                self.deadlines
                    .hang(now, Due::Unsent(ticket, number, ending));
                return;
            }
        };
        let connect_by = now + self.place.connect_timeout;
        let Some(link) = self.links.get_mut(slot) else {
            return;
        };
        link.errand = Some(Errand {
            ticket,
            number,
            sent: now,
            expire_at,
        });
        if !link.connected {
            self.link_waits(slot, connect_by.min(expire_at));
            return;
        }
        self.counters.links_reused += 1;
        if let Err(refusal) = self.word_attempt(slot, now) {
            self.end_link(slot, refusal.code());
            self.deadlines
                .hang(now, Due::Unsent(ticket, number, AttemptOutcome::NotSent));
            return;
        }
        let Some(link) = self.links.get_mut(slot) else {
            return;
        };
        // What fails here is looked at on a later turn: we are inside a call of the module.
        if link.outbox.drain(&link.wired.stream).is_err() {
            self.deadlines.hang(now, Due::LinkTurn(slot));
        }
        self.link_waits(slot, expire_at);
    }
}
