//! Requests each balancer's view of the others again and again, and checks it against the truth at
//! the moment of each response: which process ran, was paused or was killed.

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
use crate::fleet::leases::parse_term;
use crate::http;
use crate::world::{World, locked};

/// How often each balancer is asked for its view.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// How long a response may take; a paused process sends none.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// A pause that others must notice.
const MIN_NOTICED_PAUSE: Micros = 4 * SECOND;
/// After this long, a running balancer must not be held for dead.
const MAX_RECOVERY_TIME: Micros = 10 * SECOND;
/// How many violations are described.
const MAX_DETAILS: usize = 20;
/// How many wrong views are described at the end.
const MAX_WRONG_VIEWS: usize = 3;

/// A member in the response to `GET /fleet`.
#[derive(Debug, Deserialize)]
struct MemberView {
    name: String,
    #[serde(rename = "life")]
    incarnation: String,
    state: String,
    #[serde(rename = "standing")]
    serving_status: BTreeMap<String, String>,
    /// Earlier processes of that name that may serve.
    earlier: Vec<String>,
}

impl MemberView {
    /// What is claimed of all processes of the member.
    fn entries(&self) -> impl Iterator<Item = ViewEntry<String>> {
        let current = if self.serving_status.contains_key("proven_gone") {
            ClaimedStatus::ProvenStopped
        } else {
            ClaimedStatus::MayServe
        };
        let earlier = self
            .earlier
            .iter()
            .map(|incarnation| (incarnation, ClaimedStatus::MayServe));
        [(&self.incarnation, current)]
            .into_iter()
            .chain(earlier)
            .map(|(incarnation, claimed)| ViewEntry {
                incarnation: incarnation.clone(),
                claimed,
            })
    }
}

/// The response to `GET /fleet`.
#[derive(Debug, Deserialize)]
struct View {
    #[serde(rename = "life")]
    incarnation: String,
    #[serde(rename = "may_be_serving")]
    may_serve: usize,
    #[serde(rename = "refuted")]
    refutations: u64,
    members: Vec<MemberView>,
    #[serde(rename = "duties")]
    leases: Option<LeasesView>,
}

impl View {
    fn member(&self, number: usize) -> Option<&MemberView> {
        let name = format!("b{number}");
        self.members.iter().find(|member| member.name == name)
    }
}

#[derive(Debug, Deserialize)]
struct LeasesView {
    all: Vec<LeaseView>,
}

#[derive(Debug, Deserialize)]
struct LeaseView {
    name: String,
    term: Option<String>,
}

/// What is true of a balancer.
#[derive(Clone, Debug, Default)]
struct Truth {
    /// The running process by its own name for it; nothing until it was asked.
    incarnation: Option<String>,
    runs: bool,
    is_paused: bool,
    /// When it last started, ended, was paused or resumed.
    since: Micros,
    /// Since when it is dead, or paused for long enough to be noticed.
    away_since: Option<Micros>,
    noticed_by: BTreeSet<usize>,
    /// Whether all others that ran have noticed.
    is_noticed_by_all: bool,
    /// Whether it was held for dead while running.
    was_held_dead: bool,
    /// How often its process has refuted a suspicion.
    refutations: u64,
}

impl Truth {
    fn is_responsive(&self) -> bool {
        self.runs && !self.is_paused
    }
}

/// The views of all balancers against the truth.
pub struct Views {
    truth: Vec<Truth>,
    process_history: ProcessHistory<String>,
    /// The terms that each process knew.
    lease_history: LeaseHistory,
    /// All processes, whose index is their number in `lease_history`.
    incarnations: Vec<String>,
    known: Known,
    last_fault_end: Micros,
    /// Since when all views are right.
    right_since: Option<Micros>,
    /// For each balancer, what is wrong with its last view.
    last_views: Vec<Result<(), String>>,
}

impl Views {
    /// Creates the checker of a scenario in which all balancers run.
    pub fn new(world: &World, balancers: usize) -> Self {
        let timeline = world.timeline();
        let last_event = timeline
            .events
            .iter()
            .filter(|scheduled| scheduled.event.balancer().is_some())
            .map(|scheduled| scheduled.at)
            .max()
            .unwrap_or(0);
        let running = Truth {
            runs: true,
            ..Truth::default()
        };
        Self {
            truth: vec![running; balancers],
            process_history: ProcessHistory::new(balancers),
            lease_history: LeaseHistory::default(),
            incarnations: Vec::new(),
            known: Known::default(),
            last_fault_end: last_event.max(timeline.links.last_fault_end()),
            right_since: None,
            last_views: vec![Err("never asked".into()); balancers],
        }
    }

    /// Records an event of the timeline just before it happens.
    pub fn happens(&mut self, now: Micros, event: TimelineEvent, pause_duration: Micros) {
        let is_started = matches!(
            event,
            TimelineEvent::BalancerStarted(_) | TimelineEvent::BalancerMoved { .. }
        );
        let (number, runs, is_paused, away_since) = match event {
            TimelineEvent::BalancerKilled(number) => (number, false, false, Some(now)),
            TimelineEvent::BalancerStopped(number) => (number, false, false, None),
            TimelineEvent::BalancerPaused(number) => {
                let is_long = pause_duration >= MIN_NOTICED_PAUSE;
                (number, true, true, is_long.then_some(now))
            }
            TimelineEvent::BalancerResumed(number)
            | TimelineEvent::BalancerStarted(number)
            | TimelineEvent::BalancerMoved { number, .. } => (number, true, false, None),
            _ => return,
        };
        let Some(truth) = self.truth.get_mut(number) else {
            return;
        };
        if !runs || is_started {
            truth.incarnation = None;
            truth.refutations = 0;
            let has_left = !runs && away_since.is_none();
            self.process_history.process_stopped(now, number, has_left);
        }
        truth.runs = runs;
        truth.is_paused = is_paused;
        truth.since = now;
        truth.away_since = away_since;
        truth.noticed_by.clear();
        truth.is_noticed_by_all = false;
        for view in &mut self.last_views {
            *view = Err("not asked since".into());
        }
    }

    fn violation(&mut self, now: Micros, what: &str) {
        self.known.wrongly_gone += 1;
        if self.known.details.len() < MAX_DETAILS {
            let seconds = now as f64 / 1e6;
            self.known.details.push(format!("{seconds:.1} s: {what}"));
        }
    }

    /// Checks a view that was true at some moment between the request and the response.
    fn check(&mut self, number: usize, requested_at: Micros, now: Micros, view: &View) {
        self.known.looks += 1;
        let since = self.truth[number].since;
        if !self.truth[number].runs || requested_at < since {
            return;
        }
        if self.truth[number].incarnation.is_none() {
            let incarnation = view.incarnation.clone();
            self.truth[number].incarnation = Some(incarnation.clone());
            self.process_history
                .process_started(since, number, incarnation);
        }
        self.record_terms(view);
        let refutations = &mut self.truth[number].refutations;
        self.known.refutations += view.refutations.saturating_sub(*refutations);
        *refutations = view.refutations;
        let entries: Vec<_> = view.members.iter().flat_map(MemberView::entries).collect();
        // The balancer counts itself too.
        let counted = view.may_serve.saturating_sub(1);
        let span = requested_at..=now;
        let errors = self
            .process_history
            .check_view(number, span, &entries, counted);
        for error in errors {
            self.violation(now, &error);
        }
        let mut result = Ok(());
        for other in (0..self.truth.len()).filter(|other| *other != number) {
            if let Err(wrong) = self.check_member(number, other, requested_at, now, view) {
                result = Err(wrong);
            }
        }
        self.last_views[number] = result;
        self.update_agreement(now);
    }

    /// Records the terms that a process knows.
    fn record_terms(&mut self, view: &View) {
        let known = self
            .incarnations
            .iter()
            .position(|incarnation| *incarnation == view.incarnation);
        let process = known.unwrap_or_else(|| {
            self.incarnations.push(view.incarnation.clone());
            self.incarnations.len() - 1
        });
        for lease in view.leases.iter().flat_map(|leases| &leases.all) {
            if let Some(term) = lease.term.as_deref().and_then(parse_term) {
                self.lease_history
                    .command_accepted(process as u64, &lease.name, term);
            }
        }
    }

    /// Checks what a balancer holds of another one.
    fn check_member(
        &mut self,
        number: usize,
        other: usize,
        requested_at: Micros,
        now: Micros,
        view: &View,
    ) -> Result<(), String> {
        let member = view.member(other);
        let truth = self.truth[other].clone();
        let current =
            member.filter(|member| truth.incarnation.as_ref() == Some(&member.incarnation));
        if let Some(current) = current {
            let is_late = requested_at > truth.since && now > truth.since + MAX_RECOVERY_TIME;
            let is_held_dead = current.state == "gone" && truth.is_responsive() && is_late;
            if is_held_dead && !truth.was_held_dead {
                self.truth[other].was_held_dead = true;
                self.known.held_gone_while_running += 1;
            }
        }
        // A process that is away is known by its former incarnation, which was forgotten with its
        // death.
        let is_noticed =
            member.is_some_and(|member| matches!(member.state.as_str(), "gone" | "left"));
        if let Some(away_since) = truth
            .away_since
            .filter(|at| is_noticed && requested_at >= *at)
        {
            self.record_noticed(number, other, now - away_since);
        }
        let state = member.map_or("unknown", |member| member.state.as_str());
        let is_right = if truth.is_responsive() {
            current.is_some() && state == "present"
        } else {
            state != "present"
        };
        if is_right {
            Ok(())
        } else {
            Err(format!("b{number} holds b{other} for {state}"))
        }
    }

    /// Records that a balancer noticed another's death or pause after that time.
    fn record_noticed(&mut self, number: usize, other: usize, after: Micros) {
        if !self.truth[other].noticed_by.insert(number) {
            return;
        }
        let after_ms = after as f64 / 1_000.0;
        self.known.detected_ms.push(after_ms);
        let noticed_by_all = (0..self.truth.len())
            .filter(|observer| *observer != other && self.truth[*observer].is_responsive())
            .all(|observer| self.truth[other].noticed_by.contains(&observer));
        if noticed_by_all && !self.truth[other].is_noticed_by_all {
            self.truth[other].is_noticed_by_all = true;
            self.known.detected_by_all_ms.push(after_ms);
        }
    }

    fn update_agreement(&mut self, now: Micros) {
        let all_right = (0..self.truth.len())
            .filter(|number| self.truth[*number].is_responsive())
            .all(|number| self.last_views[number].is_ok());
        self.right_since = if all_right {
            self.right_since.or(Some(now))
        } else {
            None
        };
    }

    /// How often the greatest term that a process knew of a lease decreased.
    pub fn terms_fallen(&self) -> u64 {
        self.lease_history.stale_commands.len() as u64
    }

    /// What was found, at the end of the scenario.
    pub fn found(&self) -> Known {
        let mut known = self.known.clone();
        known.views_agree_after_ms = self
            .right_since
            .map(|since| since.saturating_sub(self.last_fault_end) as f64 / 1_000.0);
        if known.views_agree_after_ms.is_none() {
            let wrong = self
                .last_views
                .iter()
                .filter_map(|view| view.as_ref().err());
            known.details.extend(
                wrong
                    .take(MAX_WRONG_VIEWS)
                    .map(|wrong| format!("at the end {wrong}")),
            );
        }
        known
    }
}

/// Requests and checks the view of one balancer until the runtime ends.
pub async fn watch(
    world: Arc<World>,
    views: Arc<Mutex<Views>>,
    number: usize,
    address: SocketAddr,
) {
    loop {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let requested_at = world.now();
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, request_view(address)).await;
        if let Ok(Ok(body)) = response
            && let Ok(view) = serde_json::from_slice::<View>(&body)
        {
            locked(&views).check(number, requested_at, world.now(), &view);
        }
    }
}

async fn request_view(address: SocketAddr) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let request = "GET /fleet HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await?;
    let mut buffer = Vec::new();
    let response = http::read_response(&mut stream, &mut buffer).await?;
    Ok(buffer[response.body].to_vec())
}
