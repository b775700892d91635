//! The one guard that every attempt passes in the moment in which its bytes go out, and the bytes themselves.
//!
//! The module decides on an attempt; a connection may come up much later, or the process be held up meanwhile. What the
//! rules ask of a send is therefore asked again here, and what is refused was proven never sent.

use bytes::Bytes;
use pinefront_policy::{Idempotency, Micros, begin_before};
use slog::{info, warn};

use crate::memory::desk::{Desk, Errand, Ticket};
use crate::memory::slots::LinkSlot;
use crate::wire::clients::hung_up;

#[cfg(test)]
mod tests;

/// How long a request may have been under way to us, unseen, and the part of a short time left that this takes at most.
const WAY_HERE: Micros = 10_000;
const WAY_HERE_PART: Micros = 10;

/// Why nothing of an attempt is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nobody waits for the answer any more.
    ClientLeft,
    /// Its time is over.
    TimeOver,
    /// Its upstream was told to drain, or is gone.
    Drained,
    /// Its upstream is now at another address.
    Moved,
    /// An earlier attempt may have run, and upstreams no longer drop the repeat.
    WindowOver,
    /// An earlier attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// Another attempt of the request is out.
    SecondOut,
}

impl Refusal {
    /// Whether time alone can't bring it about: the decision itself was wrong.
    pub fn is_violation(self) -> bool {
        matches!(self, Self::MayHaveRun | Self::SecondOut)
    }

    /// Its code in the log.
    pub fn code(self) -> &'static str {
        match self {
            Self::ClientLeft => "client_left",
            Self::TimeOver => "time_over",
            Self::Drained => "drained",
            Self::Moved => "moved",
            Self::WindowOver => "window_over",
            Self::MayHaveRun => "may_have_run",
            Self::SecondOut => "second_out",
        }
    }
}

impl Desk {
    /// Puts the bytes of the attempt that a connection carries into its outbox, unless it must not be sent any more.
    /// They are worded now: what the upstream is told is the time that is left when they go.
    pub fn word_attempt(&mut self, slot: LinkSlot, now: Micros) -> Result<(), Refusal> {
        match self.may_send(slot, now) {
            Ok(()) => {
                self.push_attempt(slot, now);
                Ok(())
            }
            Err(refusal) => {
                self.tell_refusal(slot, refusal);
                Err(refusal)
            }
        }
    }

    /// Every question that the rules ask of a send.
    fn may_send(&self, slot: LinkSlot, now: Micros) -> Result<(), Refusal> {
        let link = self.links.get(slot).ok_or(Refusal::TimeOver)?;
        let errand = link.errand.as_ref().ok_or(Refusal::TimeOver)?;
        if now >= errand.expire_at {
            return Err(Refusal::TimeOver);
        }
        let request = self.tickets.get(errand.ticket).ok_or(Refusal::ClientLeft)?;
        self.client_waits_still(request, errand, now)?;
        let upstream = self.upstreams.get(link.upstream).ok_or(Refusal::Drained)?;
        // The grace is left to what holds the process up, before it read the notice and before it writes.
        if upstream.drains.is_some() {
            return Err(Refusal::Drained);
        }
        if upstream.address != Some(link.address) {
            return Err(Refusal::Moved);
        }
        may_repeat(request, now)?;
        let others_out = request
            .dispatches
            .iter()
            .enumerate()
            .any(|(number, out)| number != errand.number && out.is_some());
        if others_out {
            Err(Refusal::SecondOut)
        } else {
            Ok(())
        }
    }

    /// A client may have left without our having read it: where the decision is not of this very moment, its
    /// connection is asked.
    fn client_waits_still(
        &self,
        request: &Ticket,
        errand: &Errand,
        now: Micros,
    ) -> Result<(), Refusal> {
        let client = request
            .client
            .and_then(|slot| self.clients.get(slot))
            .ok_or(Refusal::ClientLeft)?;
        let old = errand.number > 0 || errand.sent < now || now > self.turn.until;
        if old && hung_up(&client.wired.stream) {
            Err(Refusal::ClientLeft)
        } else {
            Ok(())
        }
    }

    fn push_attempt(&mut self, slot: LinkSlot, now: Micros) {
        let Some(link) = self.links.get_mut(slot) else {
            return;
        };
        let Some(errand) = link.errand.as_ref() else {
            return;
        };
        let Some(request) = self.tickets.get(errand.ticket) else {
            return;
        };
        request
            .head
            .iter()
            .for_each(|slice| link.outbox.push(slice.clone()));
        let length: usize = request.body.iter().map(Bytes::len).sum();
        let mut added = format!("X-Remaining-Ms: {}\r\n", told_ms(errand.expire_at - now));
        if !request.has_host {
            added += &format!("Host: {}\r\n", link.address);
        }
        if length > 0 || request.has_body {
            added += &format!("Content-Length: {length}\r\n");
        }
        link.outbox.push(Bytes::from(added + "\r\n"));
        request
            .body
            .iter()
            .for_each(|slice| link.outbox.push(slice.clone()));
    }

    fn tell_refusal(&mut self, slot: LinkSlot, refusal: Refusal) {
        self.counters.attempts_refused += 1;
        let errand = self.links.get(slot).and_then(|link| link.errand.as_ref());
        let number = errand.map_or(0, |errand| errand.number);
        let request = errand.and_then(|errand| self.tickets.get(errand.ticket));
        let id = request.map_or("", |request| &request.id);
        if refusal.is_violation() {
            self.counters.violations += 1;
            warn!(self.log, "violation"; "request" => id, "attempt" => number, "reason" => refusal.code());
        } else {
            info!(self.log, "attempt not sent"; "request" => id, "attempt" => number,
                "reason" => refusal.code());
        }
    }
}

/// What an upstream is told of the time that is left: a little less, for what the request was under way to us.
fn told_ms(left: Micros) -> Micros {
    (left - WAY_HERE.min(left / WAY_HERE_PART)).div_ceil(1000)
}

/// Whether a request may be sent once more, as far as earlier attempts go.
fn may_repeat(request: &Ticket, now: Micros) -> Result<(), Refusal> {
    let Some(first) = request.may_have_run_since else {
        return Ok(());
    };
    match request.idempotency {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NonIdempotent => Err(Refusal::MayHaveRun),
        Idempotency::IdempotencyKey { window, .. } if now >= begin_before(first, window) => {
            Err(Refusal::WindowOver)
        }
        Idempotency::IdempotencyKey { .. } => Ok(()),
    }
}
