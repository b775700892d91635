//! The turns of the loop: what sockets and deadlines bring goes to the module, and its calls come back
//! through [`Hands`].

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use calloop::EventLoop;
use pinefront_policy::{Balancer, Micros};
use slog::warn;

use crate::life::log::Pipe;
use crate::memory::deadlines::Due;
use crate::memory::desk::Desk;

/// The longest wait in a turn: one that lasts longer than asked for tells that we were not let run.
const TURN_MOST: Micros = 50_000;

/// Turns that may fail one after another: one socket's trouble must not end the others' tickets, and a loop
/// that is broken for good must not spin.
const FAILURES_MOST: u32 = 100;

/// The module's host: carries out its calls at the desk.
pub struct Hands(pub Rc<RefCell<Desk>>);

/// The module and all that is kept for it. The desk is let go before the module is called, as the module
/// calls back.
pub struct Node {
    pub balancer: Balancer<Hands>,
    pub desk: Rc<RefCell<Desk>>,
    pub over: bool,
}

impl Node {
    /// What fell due. What these bring about at once waits for the next turn.
    pub fn deadlines(&mut self) {
        let (now, mark) = {
            let desk = self.desk.borrow();
            (desk.now(), desk.deadlines.mark())
        };
        loop {
            let due = self.desk.borrow_mut().deadlines.due(now, mark);
            let Some(due) = due else { return };
            match due {
                Due::Alarm(alarm) => {
                    let now = self.desk.borrow().now();
                    self.balancer.timer_expired(now, alarm);
                }
                Due::Client(slot) => self.client_due(slot),
                Due::NextMessage(slot) => self.client_ready(slot),
                Due::Link(slot) => self.link_due(slot),
                Due::LinkTurn(slot) => self.link_ready(slot),
                Due::Unsent(ticket, number, ending) => {
                    self.dispatch_over(ticket, number, ending, now)
                }
                Due::Unprobed(upstream) => self.probe_over(upstream, false),
                Due::Discovery => self.discovery_due(),
                Due::Accept => self.desk.borrow_mut().accept_again(),
                Due::Stop => self.stop_on(),
                Due::Reread => self.reread_due(),
            }
        }
    }
}

/// Serves until told to stop and done.
pub fn serve(
    event_loop: &mut EventLoop<'static, Node>,
    node: &mut Node,
    pipe: &Pipe,
) -> Result<(), String> {
    let (mut untold, mut failures) = (0, 0);
    while !node.over {
        let wait = {
            let mut desk = node.desk.borrow_mut();
            let now = desk.now();
            let wait = desk
                .deadlines
                .next()
                .map_or(TURN_MOST, |at| at.saturating_sub(now))
                .min(TURN_MOST);
            let wait = desk
                .fleet
                .as_ref()
                .map_or(wait, |fleet| fleet.borrow().wait().min(wait));
            desk.turn.begin(now, now + wait);
            wait
        };
        match event_loop.dispatch(Some(Duration::from_micros(wait)), node) {
            Ok(()) => failures = 0,
            Err(problem) if failures < FAILURES_MOST => {
                failures += 1;
                warn!(node.desk.borrow().log, "a turn failed"; "problem" => %problem);
            }
            Err(problem) => return Err(format!("the event loop failed: {problem}")),
        }
        let began = node.desk.borrow().now();
        node.deadlines();
        node.desk
            .borrow()
            .fleet
            .iter()
            .for_each(|fleet| fleet.borrow_mut().turn());
        node.take_roster();
        let mut desk = node.desk.borrow_mut();
        let took = desk.now().saturating_sub(began);
        desk.counters.longest_turn_us = desk.counters.longest_turn_us.max(took);
        let (dropped, room) = pipe.flush();
        desk.counters.log_lines_dropped += dropped;
        untold += dropped;
        if room && untold > 0 {
            warn!(desk.log, "log lines dropped"; "count" => untold);
            untold = 0;
        }
    }
    Ok(())
}
