//! Upstreams' answers: found whole, read, and passed on.

use std::ops::Range;
use std::rc::Rc;

use httparse::{Header, Response, Status};
use pinefront_policy::{AttemptOutcome, LoadReport};

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::Inbox;
use crate::memory::slots::LinkSlot;
use crate::wire::heads::{self, BODY_MOST, Body, FIELDS_MOST, Framing, HEAD_MOST, MESSAGE_MOST};
use crate::wire::upstreams::Look;

#[cfg(test)]
mod tests;

/// Most words of an answer to come that are read over at once: a server that says nothing else never answers.
const WORDS_MOST: usize = 16;

impl Node {
    pub fn take_answer(
        &mut self,
        slot: LinkSlot,
        head: usize,
        body: &[Range<usize>],
        end: usize,
        whole: bool,
    ) {
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        let now = desk.now();
        let Some(link) = desk.links.get_mut(slot) else {
            return;
        };
        let Some(errand) = link.errand.take() else {
            return;
        };
        let (probe_completed, place) = (errand.is_probe(), link.upstream);
        let Some(upstream) = desk
            .upstreams
            .get(place)
            .map(|upstream| Rc::clone(&upstream.id))
        else {
            return;
        };
        let message = link.inbox.take(end);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut response = Response::new(&mut fields);
        // It was parsed a moment ago; if that failed now, it would be taken for a failure.
        let parsed = response.parse(&message[..head]);
        let status = response.code.filter(|_| parsed.is_ok()).unwrap_or(0);
        let turned_away = heads::field(response.headers, "x-turned-away") == Some("1");
        let ending = match status {
            200 => AttemptOutcome::Succeeded,
            503 | 504 if turned_away => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Failed,
        };
        let load = match desk.place.loads_told || probe_completed {
            true => load(response.headers),
            false => None,
        };
        link.carried += 1;
        desk.counters.loads_told += u64::from(load.is_some());
        let said_more = !link.inbox.kept().is_empty();
        match whole && link.outbox.is_empty() && link.inbox.kept().is_empty() {
            true => desk.shelve(slot),
            false => desk.end_link(slot, reasons::LINK_LAST),
        }
        if said_more {
            desk.said_unasked(place);
        }
        let told = desk.over(errand.ticket, errand.number, ending, errand.sent);
        if !probe_completed {
            desk.count_ending(ending);
        }
        let last = ending == AttemptOutcome::Succeeded;
        if last && told.as_ref().is_some_and(|(_, waits)| *waits) {
            let own = |name: &str| heads::goes_on(name) && !name.eq_ignore_ascii_case("x-pressure");
            let lines = heads::lines(&message, response.headers, own);
            let body = body
                .iter()
                .map(|range| message.slice(range.clone()))
                .collect();
            desk.counters.tickets_succeeded += 1;
            desk.answer(errand.ticket, 200, lines, body);
        }
        drop(borrowed);
        if let Some((busy, queue, held)) = load {
            self.balancer.load_reported(
                now,
                &upstream,
                LoadReport {
                    utilisation: busy,
                    queue,
                    in_flight: held,
                },
            );
        }
        if probe_completed {
            return self.probe_over(place, last);
        }
        if let Some((id, _)) = told {
            self.desk.borrow().tell_attempt(&id, errand.number, ending);
            let took = now.saturating_sub(errand.sent);
            self.balancer
                .attempt_ended(now, &id, errand.number, last, ending, took);
        }
    }
}

/// The whole answer at the front of an inbox; `Nothing` while part is missing, none for nonsense. `ended` says that the
/// connection ended in order, which is the end of an answer that states no length; a reset is none.
pub fn whole_answer(inbox: &mut Inbox, ended: bool) -> Option<Look> {
    for _ in 0..=WORDS_MOST {
        let kept = inbox.kept();
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut response = Response::new(&mut fields);
        let head = match response.parse(kept).ok()? {
            Status::Complete(head) if head <= HEAD_MOST => head,
            Status::Partial if kept.len() < HEAD_MOST => return Some(Look::Nothing),
            Status::Complete(_) | Status::Partial => return None,
        };
        match response.code? {
            101 => return None,
            // Word of an answer to come.
            100..=199 => {
                inbox.take(head);
                continue;
            }
            _ => {}
        }
        let framing = match response.code? {
            204 | 304 => Framing::Length(0),
            _ => heads::framing(response.headers).ok()?,
        };
        let lasts = heads::lasts(&response, framing);
        return match heads::body(kept, head, framing, ended, BODY_MOST) {
            Body::Whole(ranges, end) => Some(Look::Answer(head, ranges, end, lasts)),
            Body::Partial if kept.len() < MESSAGE_MOST => Some(Look::Nothing),
            Body::Partial | Body::TooLong | Body::Nonsense => None,
        };
    }
    None
}

/// What an upstream tells of its load: how busy it is, and its queue or else what it holds. A report that can't be
/// read tells nothing, not that there is no load.
fn load(fields: &[Header]) -> Option<Load> {
    heads::texts(fields, "x-pressure")
        .map(figures)
        .find(|told| *told != (None, None, None))
}

/// How busy an upstream is, its queue, and what it holds in all.
pub type Load = (Option<f64>, Option<f64>, Option<f64>);

pub fn figures(text: &str) -> Load {
    let (mut busy, mut queue, mut held) = (None, None, None);
    for part in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite());
        match name.trim() {
            "util" | "busy" => busy = value,
            "queue" | "q" => queue = value,
            "inflight" | "rif" => held = value,
            _ => {}
        }
    }
    (busy, queue, held)
}
