//! Asks every balancer what it holds of the others, again and again, and judges that against the truth: who ran, who
//! was stopped, who was killed, at the moment of each answer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinefront_model::lease_history::LeaseHistory;
use pinefront_model::process_history::{ClaimedStatus, ProcessHistory, ViewEntry};
use pinefront_model::timeline::TimelineEvent;
use pinefront_model::{Micros, SECOND};
use serde::Deserialize;
use tokio::net::TcpStream;

use crate::fleet::Known;
use crate::fleet::leases::turn;
use crate::http;
use crate::world::{World, locked};

/// How often each balancer is asked, and how long it may take: one that is stopped never answers.
const LOOKS_APART: Duration = Duration::from_millis(100);
const ANSWERS_WITHIN: Duration = Duration::from_millis(400);
/// A stall that others must notice.
const LONG_STALL: Micros = 4 * SECOND;
const WHYS_KEPT: usize = 20;

#[derive(Debug, Deserialize)]
struct Seen {
    name: String,
    #[serde(rename = "life")]
    incarnation: String,
    state: String,
    #[serde(rename = "standing")]
    serving_status: BTreeMap<String, String>,
    /// Earlier processes of that name that may be serving.
    earlier: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct View {
    #[serde(rename = "life")]
    incarnation: String,
    #[serde(rename = "may_be_serving")]
    may_serve: usize,
    #[serde(rename = "refuted")]
    refutations: u64,
    members: Vec<Seen>,
    #[serde(rename = "duties")]
    leases: Option<SeenDuties>,
}

#[derive(Debug, Deserialize)]
struct SeenDuties {
    all: Vec<SeenDuty>,
}

#[derive(Debug, Deserialize)]
struct SeenDuty {
    name: String,
    term: Option<String>,
}

/// What is true of one balancer.
#[derive(Clone, Debug, Default)]
struct Truth {
    /// The process that runs, as it names itself; nothing until it was asked.
    incarnation: Option<String>,
    runs: bool,
    stopped: bool,
    /// When it last came, went, stopped or went on.
    since: Micros,
    /// Since when it is dead or stalled for long, and who has noticed.
    away: Option<Micros>,
    noticed: BTreeSet<usize>,
    /// Whether all others that ran had noticed.
    by_all: bool,
    blamed: bool,
    /// How often it had to say that it is there, its earlier processes included.
    refutations: u64,
}

pub struct Views {
    truth: Vec<Truth>,
    process_history: ProcessHistory<String>,
    /// Terms of duties that each process knows, by its life.
    lease_history: LeaseHistory,
    incarnations: Vec<String>,
    known: Known,
    /// When the last fault is over, and since when all views are right.
    over: Micros,
    right_since: Option<Micros>,
    /// Whose last view was right, and why not.
    right: Vec<Result<(), String>>,
}

impl Views {
    pub fn new(world: &World, balancers: usize) -> Self {
        let line = world.timeline();
        let events = line
            .events
            .iter()
            .filter(|scheduled| scheduled.event.balancer().is_some());
        let over = events
            .map(|scheduled| scheduled.at)
            .max()
            .unwrap_or(0)
            .max(line.links.last_fault_end());
        let truth = vec![
            Truth {
                runs: true,
                ..Truth::default()
            };
            balancers
        ];
        let right = vec![Err("never asked".into()); balancers];
        let process_history = ProcessHistory::new(balancers);
        let (lease_history, incarnations) = (LeaseHistory::default(), Vec::new());
        Self {
            truth,
            process_history,
            lease_history,
            incarnations,
            known: Known::default(),
            over,
            right_since: None,
            right,
        }
    }

    /// A balancer is about to be killed, stopped, or goes on.
    pub fn happens(&mut self, now: Micros, what: TimelineEvent, stall_lasts: Micros) {
        let (number, runs, stopped, away) = match what {
            TimelineEvent::BalancerKilled(number) => (number, false, false, Some(now)),
            TimelineEvent::BalancerStopped(number) => (number, false, false, None),
            TimelineEvent::BalancerPaused(number) => (
                number,
                true,
                true,
                (stall_lasts >= LONG_STALL).then_some(now),
            ),
            TimelineEvent::BalancerResumed(number)
            | TimelineEvent::BalancerStarted(number)
            | TimelineEvent::BalancerMoved { number, .. } => (number, true, false, None),
            _ => return,
        };
        let Some(truth) = self.truth.get_mut(number) else {
            return;
        };
        if !runs
            || matches!(
                what,
                TimelineEvent::BalancerStarted(_) | TimelineEvent::BalancerMoved { .. }
            )
        {
            truth.incarnation = None;
            truth.refutations = 0;
            self.process_history
                .ends(now, number, !runs && away.is_none());
        }
        (truth.runs, truth.stopped, truth.since, truth.away) = (runs, stopped, now, away);
        truth.noticed.clear();
        truth.by_all = false;
        self.right
            .iter_mut()
            .for_each(|right| *right = Err("not asked since".into()));
    }

    fn wrong(&mut self, now: Micros, what: String) {
        self.known.wrongly_gone += 1;
        if self.known.details.len() < WHYS_KEPT {
            self.known
                .details
                .push(format!("{:.1} s: {what}", now as f64 / 1e6));
        }
    }

    /// A balancer answered: what it said was true at some moment between the two times.
    fn take(&mut self, number: usize, asked: Micros, now: Micros, view: &View) {
        self.known.looks += 1;
        if !self.truth[number].runs || asked < self.truth[number].since {
            return;
        }
        let since = self.truth[number].since;
        if self.truth[number].incarnation.is_none() {
            self.truth[number].incarnation = Some(view.incarnation.clone());
            self.process_history
                .starts(since, number, view.incarnation.clone());
        }
        let place = self
            .incarnations
            .iter()
            .position(|incarnation| *incarnation == view.incarnation);
        let process = place.unwrap_or_else(|| {
            self.incarnations.push(view.incarnation.clone());
            self.incarnations.len() - 1
        });
        for lease in view.leases.iter().flat_map(|leases| &leases.all) {
            if let Some(turn) = lease.term.as_deref().and_then(turn) {
                self.lease_history.acted(process as u64, &lease.name, turn);
            }
        }
        self.known.refutations += view
            .refutations
            .saturating_sub(self.truth[number].refutations);
        self.truth[number].refutations = view.refutations;
        let held = |seen: &Seen| {
            let gone = seen.serving_status.contains_key("proven_gone");
            let claimed = if gone {
                ClaimedStatus::ProvenStopped
            } else {
                ClaimedStatus::MayServe
            };
            let earlier = seen.earlier.iter().map(|incarnation| ViewEntry {
                incarnation: incarnation.clone(),
                claimed: ClaimedStatus::MayServe,
            });
            [ViewEntry {
                incarnation: seen.incarnation.clone(),
                claimed,
            }]
            .into_iter()
            .chain(earlier)
            .collect::<Vec<_>>()
        };
        let held: Vec<_> = view.members.iter().flat_map(held).collect();
        // It counts itself too.
        let wrong = self.process_history.view(
            number,
            [asked, now],
            &held,
            view.may_serve.saturating_sub(1),
        );
        wrong.into_iter().for_each(|wrong| self.wrong(now, wrong));
        let mut right = Ok(());
        for other in (0..self.truth.len()).filter(|other| *other != number) {
            let seen = view
                .members
                .iter()
                .find(|seen| seen.name == format!("b{other}"));
            let truth = self.truth[other].clone();
            let same = seen.filter(|seen| truth.incarnation.as_ref() == Some(&seen.incarnation));
            if let Some(seen) = same
                && truth.runs
                && asked > truth.since
            {
                let blames =
                    seen.state == "gone" && !truth.stopped && now > truth.since + 10 * SECOND;
                if blames && !truth.blamed {
                    self.truth[other].blamed = true;
                    self.known.held_gone_while_running += 1;
                }
            }
            // The one that is away is known by the life before, which was forgotten with its death.
            let gone = seen.is_some_and(|seen| matches!(seen.state.as_str(), "gone" | "left"));
            if let Some(away) = truth.away.filter(|away| gone && asked >= *away)
                && self.truth[other].noticed.insert(number)
            {
                self.known.detected_ms.push((now - away) as f64 / 1_000.0);
                let runs =
                    |n: &usize| *n != other && self.truth[*n].runs && !self.truth[*n].stopped;
                let all = (0..self.truth.len())
                    .filter(runs)
                    .all(|n| self.truth[other].noticed.contains(&n));
                if all && !std::mem::replace(&mut self.truth[other].by_all, true) {
                    self.known
                        .detected_by_all_ms
                        .push((now - away) as f64 / 1_000.0);
                }
            }
            let state = seen.map_or("unknown", |seen| seen.state.as_str());
            let fits = match truth.runs && !truth.stopped {
                true => same.is_some() && state == "present",
                false => state != "present",
            };
            if !fits {
                right = Err(format!("b{number} holds b{other} for {state}"));
            }
        }
        self.right[number] = right;
        let running = |n: &usize| self.truth[*n].runs && !self.truth[*n].stopped;
        let all = (0..self.truth.len())
            .filter(running)
            .all(|n| self.right[n].is_ok());
        self.right_since = if all {
            self.right_since.or(Some(now))
        } else {
            None
        };
    }

    /// Times that a balancer's greatest known term of a duty fell.
    pub fn terms_fallen(&self) -> u64 {
        self.lease_history.old_taken.len() as u64
    }

    /// What was found, when the day is over.
    pub fn found(&self) -> Known {
        let mut known = self.known.clone();
        let after = |since: Micros| since.saturating_sub(self.over) as f64 / 1_000.0;
        known.views_agree_after_ms = self.right_since.map(after);
        if known.views_agree_after_ms.is_none() {
            let wrong = self
                .right
                .iter()
                .filter_map(|right| right.as_ref().err())
                .take(3);
            known
                .details
                .extend(wrong.map(|wrong| format!("at the end {wrong}")));
        }
        known
    }
}

/// Asks one balancer until the runtime ends.
pub async fn watch(
    world: Arc<World>,
    views: Arc<Mutex<Views>>,
    number: usize,
    address: SocketAddr,
) {
    loop {
        tokio::time::sleep(LOOKS_APART).await;
        let asked = world.now();
        let answer = tokio::time::timeout(ANSWERS_WITHIN, ask(address)).await;
        if let Ok(Ok(text)) = answer
            && let Ok(view) = serde_json::from_slice::<View>(&text)
        {
            locked(&views).take(number, asked, world.now(), &view);
        }
    }
}

async fn ask(address: SocketAddr) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let text = "GET /fleet HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await?;
    let mut kept = Vec::new();
    let answer = http::read_response(&mut stream, &mut kept).await?;
    Ok(kept[answer.body].to_vec())
}
