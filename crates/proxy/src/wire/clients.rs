//! Clients' connections: reading, answering, closing.

use std::net::{Shutdown, TcpStream};

use bytes::Bytes;
use pinefront_policy::Micros;
use rustix::event::PollFlags;
use slog::info;

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::{Inflow, ready};
use crate::memory::deadlines::Due;
use crate::memory::desk::{Client, Desk, Partial};
use crate::memory::slots::{ClientSlot, TicketSlot};
use crate::wire::heads::MESSAGE_MOST;

#[cfg(test)]
mod tests;

/// How long a request may be under way, and an answer before the client has taken it all.
const SLOW_AFTER: Micros = 10_000_000;
/// How long a client may stop in the middle of a request, and how long after connecting the first may take to be here
/// whole: bad clients are owed their error or close within 3 s, and a look may come late.
const STOPS_FOR: Micros = 2_300_000;
/// How long a connection may stand between tickets: a client that vanished says nothing.
const IDLE_MOST: Micros = 120_000_000;
/// How long it may stand at the least. Where many stand, those that want to send need the room.
const IDLE_LEAST: Micros = 2_100_000;
/// Part of the connections that we take from which on many stand.
const MANY: f64 = 0.3;
/// How long and how much we read away of what a client still sends after our last answer.
const LINGER: Micros = 1_000_000;
const LINGER_BYTES: usize = 1024 * 1024;
/// How long while the program stops: some trips there and back: clients close when they see our end, and each moment
/// that a balancer takes to end its zone is short of one (0.2 s cost roll days 0.02 to 0.03 of G).
const LINGER_STOPPING: Micros = 50_000;
/// Read while the client's ticket is open or its answer not taken: enough to see it leave, and no second
/// message is kept beside the first.
pub const READ_AHEAD: usize = 4 * 1024;

impl Node {
    /// Something may be read from or written to a client's connection.
    pub fn client_ready(&mut self, slot: ClientSlot) {
        let looked = self.desk.borrow_mut().look(slot);
        match looked {
            Look::Nothing => {}
            Look::Gone(reason) => self.client_gone(slot, reason),
            // What it sent beyond is looked at on a later turn, or one client could keep us to itself.
            Look::Message => self.take_message(slot),
        }
    }

    /// A client went away; its ticket, if one is open, needs no answer any more.
    pub fn client_gone(&mut self, slot: ClientSlot, reason: &'static str) {
        let mut desk = self.desk.borrow_mut();
        let ticket = desk.clients.get(slot).and_then(|client| client.ticket);
        let left = ticket.and_then(|ticket| desk.release(ticket));
        desk.end_client(
            slot,
            if left.is_some() {
                reasons::CLIENT_LEFT
            } else {
                reason
            },
        );
        if let Some((id, _)) = left {
            desk.counters.tickets_left += 1;
            info!(desk.log, "client left its request"; "request" => &*id);
            let now = desk.now();
            drop(desk);
            self.balancer.client_disconnected(now, &id);
        }
    }

    /// A client's deadline came: too slow, idle for too long, or the next ticket is to be looked at.
    pub fn client_due(&mut self, slot: ClientSlot) {
        let mut desk = self.desk.borrow_mut();
        let Some(client) = desk.clients.get_mut(slot) else {
            return;
        };
        client.due = None;
        if client.lingers {
            let reason = client_reason(client);
            return desk.end_client(slot, reason);
        }
        if client.ticket.is_some() {
            return;
        }
        if !client.outbox.is_empty() {
            return desk.end_client(slot, reasons::SLOW_READER);
        }
        if !client.inbox.kept().is_empty() {
            return desk.turn_off(slot, 408, reasons::SLOW_SENDER);
        }
        let (since, fresh, now) = (client.since, client.tickets == 0, desk.clock.now());
        let stood = now.saturating_sub(since);
        let many = desk.clients.len() as f64 >= MANY * desk.place.clients_most as f64;
        if fresh || stood >= IDLE_MOST || (many && stood >= IDLE_LEAST) {
            return desk.finish(slot, reasons::CLIENT_IDLE);
        }
        let again = Some(desk.deadlines.hang(now + IDLE_LEAST, Due::Client(slot)));
        if let Some(client) = desk.clients.get_mut(slot) {
            client.due = again;
        }
    }
}

/// What a look at a client's connection found.
enum Look {
    Nothing,
    /// There may be a message to take.
    Message,
    Gone(&'static str),
}

impl Desk {
    fn look(&mut self, slot: ClientSlot) -> Look {
        let Some(client) = self.clients.get_mut(slot) else {
            return Look::Nothing;
        };
        if client.outbox.drain(&client.wired.stream).is_err() {
            return Look::Gone(reasons::CLIENT_RESET);
        }
        if client.lingers {
            client.read_away += client.inbox.kept().len();
            client.inbox.forget();
            if client.read_away >= LINGER_BYTES {
                return Look::Gone(client_reason(client));
            }
        }
        let waits = client.is_owed();
        let most = if waits { READ_AHEAD } else { MESSAGE_MOST };
        // While we close, what is here is answered and begun requests are read on, but no further one is begun: of a
        // client that always has a next one there would be no end.
        let inflow = match self.closing && !client.lingers && (waits || client.holds_unseen()) {
            true if client.ticket.is_some() && hung_up(&client.wired.stream) => Inflow::Ended,
            true => Inflow::Dry,
            false => client.inbox.fill(&client.wired.stream, most),
        };
        if client.lingers {
            return match inflow {
                Inflow::Dry => Look::Nothing,
                Inflow::Full => {
                    self.deadlines
                        .hang(self.clock.now(), Due::NextMessage(slot));
                    Look::Nothing
                }
                Inflow::Ended | Inflow::Broken => Look::Gone(client_reason(client)),
            };
        }
        match inflow {
            // Its sending is over, but it may be taking an answer; if not, writing will tell.
            Inflow::Ended if !client.outbox.is_empty() => Look::Nothing,
            Inflow::Ended if client.ticket.is_none() && !client.inbox.kept().is_empty() => {
                Look::Gone(reasons::CLIENT_CUT_SHORT)
            }
            Inflow::Ended => Look::Gone(reasons::CLIENT_CLOSED),
            // Its end lies behind what we don't read while its ticket is open.
            Inflow::Full if client.ticket.is_some() && hung_up(&client.wired.stream) => {
                Look::Gone(reasons::CLIENT_CLOSED)
            }
            Inflow::Broken => Look::Gone(reasons::CLIENT_RESET),
            Inflow::Dry | Inflow::Full if client.ending.is_some() => {
                self.settle(slot);
                Look::Nothing
            }
            // Answers that are not taken must not pile up.
            Inflow::Dry | Inflow::Full if waits => Look::Nothing,
            Inflow::Dry | Inflow::Full if client.inbox.kept().is_empty() => Look::Nothing,
            Inflow::Dry | Inflow::Full => Look::Message,
        }
    }

    pub fn client_waits(&mut self, slot: ClientSlot, how_long: Micros) {
        let now = self.clock.now();
        if let Some(client) = self.clients.get_mut(slot) {
            client.since = now;
            self.deadlines
                .move_to(&mut client.due, now + how_long, Due::Client(slot));
        }
    }

    /// A connection stands between tickets from now on. Whether it may is seen when the least time is over, and
    /// then again and again.
    pub fn client_stands(&mut self, slot: ClientSlot) {
        self.wait_for_more(slot, IDLE_LEAST);
    }

    /// Part of a request is here. Its sender may stop for so long, and take so long in all, however it trickles in.
    pub fn wait_for_rest(&mut self, slot: ClientSlot) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        let length = client.inbox.kept().len();
        let began = client.partial.map_or(now, |partial| partial.began);
        let before = client.partial.replace(Partial { length, began });
        // A connection that has brought no ticket yet gains no time by trickling.
        let goes_on = |before: Partial| before.length < length && client.tickets > 0;
        if before.is_none_or(goes_on) {
            self.wait_for_more(
                slot,
                STOPS_FOR.min((began + SLOW_AFTER).saturating_sub(now)),
            );
        }
    }

    /// A connection that has brought no ticket yet has no time but that since it was opened.
    fn wait_for_more(&mut self, slot: ClientSlot, how_long: Micros) {
        let now = self.clock.now();
        if let Some(client) = self.clients.get_mut(slot) {
            client.since = now;
            let by = if client.tickets == 0 {
                client.opened + STOPS_FOR
            } else {
                now + how_long
            };
            self.deadlines
                .move_to(&mut client.due, by, Due::Client(slot));
        }
    }

    /// The final answer to a ticket.
    pub fn answer(
        &mut self,
        ticket: TicketSlot,
        status: u16,
        fields: Vec<Bytes>,
        body: Vec<Bytes>,
    ) {
        let Some((_, slot)) = self.release(ticket) else {
            return;
        };
        // Many clients ask once and keep their connection: where there is a crowd, none is kept.
        let crowd = self
            .clients
            .values()
            .filter(|client| client.tickets > 0)
            .count()
            > self.place.crowd;
        let closes = |client: &&mut Client| crowd && client.inbox.kept().is_empty();
        if let Some(client) = self.clients.get_mut(slot).filter(closes) {
            client.ending.get_or_insert(reasons::CROWD);
        }
        self.write_answer(slot, status, fields, body);
    }

    pub fn write_answer(
        &mut self,
        slot: ClientSlot,
        status: u16,
        fields: Vec<Bytes>,
        body: Vec<Bytes>,
    ) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        // What was read ahead is answered before we close.
        let closes = self.closing && client.inbox.kept().is_empty();
        if client.last || closes {
            let reason = if closes {
                reasons::STOPPED
            } else {
                reasons::CLIENT_LAST
            };
            client.ending.get_or_insert(reason);
        }
        let close = if client.ending.is_some() {
            "Connection: close\r\n"
        } else {
            ""
        };
        let length: usize = body.iter().map(Bytes::len).sum();
        let head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n{close}",
            phrase(status)
        );
        client.outbox.push(Bytes::from(head));
        fields
            .into_iter()
            .for_each(|slice| client.outbox.push(slice));
        client.outbox.push(Bytes::from_static(b"\r\n"));
        body.into_iter().for_each(|slice| client.outbox.push(slice));
        client.answered += 1;
        // A broken connection shows itself when it is next read.
        let _ = client.outbox.drain(&client.wired.stream);
        match client.outbox.is_empty() {
            true => self.client_stands(slot),
            false => self.client_waits(slot, SLOW_AFTER),
        }
        self.settle(slot);
    }

    /// After writing: ends the connection if that is due, or sees to what the client already sent.
    fn settle(&mut self, slot: ClientSlot) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        if client.is_owed() || client.lingers {
            return;
        }
        if let Some(reason) = client.ending {
            self.finish(slot, reason);
        } else if !client.inbox.kept().is_empty() {
            // The next request lies here already: on a later turn, as we may be inside a call of the module.
            self.deadlines
                .hang(self.clock.now(), Due::NextMessage(slot));
        }
    }

    /// Answers what is not a ticket.
    pub fn reject(&mut self, slot: ClientSlot, status: u16) {
        self.counters.malformed += 1;
        let fields = match status {
            405 => vec![Bytes::from_static(b"Allow: GET, POST\r\n")],
            _ => Vec::new(),
        };
        self.write_answer(slot, status, fields, Vec::new());
    }

    /// Answers what cannot be read on from, and closes.
    pub fn turn_off(&mut self, slot: ClientSlot, status: u16, reason: &'static str) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.ending = Some(reason);
        }
        self.reject(slot, status);
    }

    /// Answers requests of which part never came, as the stop waits for them no longer.
    pub fn turn_off_unfinished(&mut self) {
        let unfinished =
            |client: &Client| !client.is_owed() && !client.lingers && client.partial.is_some();
        let slots: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| unfinished(client))
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            self.turn_off(slot, 503, reasons::STOPPED);
        }
    }

    /// Closes connections that stand between tickets, once what they sent has been looked at.
    pub fn close_idle_clients(&mut self) {
        let idle = |client: &Client| !client.is_owed() && client.inbox.kept().is_empty();
        let slots: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| idle(client) && !client.lingers)
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            self.finish(slot, reasons::STOPPED);
        }
    }

    /// The one way in which we end a connection that may have brought requests: our sending is over, what still comes is
    /// read away and not acted on, then it is closed. A close over unread bytes would be a reset, and take the last
    /// answer with it; a request that crosses ours is the client's to send again elsewhere.
    fn finish(&mut self, slot: ClientSlot, reason: &'static str) {
        let how_long = if self.closing {
            LINGER_STOPPING
        } else {
            LINGER
        };
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        client.ending.get_or_insert(reason);
        client.lingers = true;
        client.inbox.forget();
        match client.answered > 0 && client.wired.stream.shutdown(Shutdown::Write).is_ok() {
            true => self.client_waits(slot, how_long),
            // Nothing was answered that could be lost.
            false => self.end_client(slot, reason),
        }
    }

    pub fn end_client(&mut self, slot: ClientSlot, reason: &'static str) {
        let Some(mut client) = self.clients.remove(slot) else {
            return;
        };
        self.deadlines.clear(&mut client.due);
        self.handle.remove(client.wired.token);
        self.counters.clients_ended += 1;
        info!(self.log, "client ended"; "reason" => reason, "peer" => %client.peer,
            "answered" => client.answered);
    }
}

/// Whether the other side's sending is over, also where that lies behind bytes that are not read.
pub fn hung_up(stream: &TcpStream) -> bool {
    ready(stream, PollFlags::RDHUP).intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// Why a connection that we close closes.
fn client_reason(client: &Client) -> &'static str {
    client.ending.unwrap_or(reasons::CLIENT_CLOSED)
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}
