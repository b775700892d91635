//! Polls each balancer for its view of the others, and checks the view against the actual state at
//! the time of the response: the processes that ran, were paused or had been killed.

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

use crate::fleet::FleetReport;
use crate::fleet::leases::parse_term;
use crate::fleet::view_error::ViewError;
use crate::http;
use crate::world::{World, locked};

/// Interval between two requests for the view of a balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time to wait for a response, since a paused process sends none.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// The shortest pause that the other balancers must detect, in µs.
const MIN_DETECTABLE_PAUSE_US: Micros = 4 * SECOND;
/// Time in µs after which a balancer that runs again must no longer be considered dead.
const MAX_RECOVERY_TIME_US: Micros = 10 * SECOND;
/// The largest number of violations that are described.
const MAX_DETAILS: usize = 20;
/// The largest number of wrong views that are described at the end.
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
    /// Incarnations of earlier processes of the same name that may still serve.
    earlier: Vec<String>,
}

impl MemberView {
    /// Returns the status that the view claims for each process of the member.
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
    /// Returns the entry of the balancer with that number.
    fn member(&self, number: usize) -> Option<&MemberView> {
        let name = format!("b{number}");
        self.members.iter().find(|member| member.name == name)
    }
}

/// The leases in the response to `GET /fleet`.
#[derive(Debug, Deserialize)]
struct LeasesView {
    all: Vec<LeaseView>,
}

/// A lease in the response to `GET /fleet`.
#[derive(Debug, Deserialize)]
struct LeaseView {
    name: String,
    term: Option<String>,
}

/// The actual state of a balancer.
#[derive(Clone, Debug, Default)]
struct BalancerState {
    /// The incarnation of the running process according to its view; `None` until its first view.
    incarnation: Option<String>,
    is_running: bool,
    is_paused: bool,
    /// The time at which the process last started, ended, was paused or was resumed.
    changed_at: Micros,
    /// The time since which the process has been killed, or paused for long enough to be detected.
    failed_since: Option<Micros>,
    /// The balancers that have detected the failure.
    detected_by: BTreeSet<usize>,
    /// Whether all other running balancers have detected the failure.
    is_detected_by_all: bool,
    /// Whether another balancer considered it dead while it ran.
    was_considered_dead: bool,
    /// The number of suspicions that its process has refuted.
    refutations: u64,
}

impl BalancerState {
    /// Whether the process runs and is not paused.
    fn is_responsive(&self) -> bool {
        self.is_running && !self.is_paused
    }
}

/// Checks the views of all balancers against their actual state.
pub struct ViewChecker {
    balancers: Vec<BalancerState>,
    process_history: ProcessHistory<String>,
    /// The terms of leases in the views of each process.
    lease_history: LeaseHistory,
    /// The incarnations of all processes; the index is the number of the process in
    /// `lease_history`.
    incarnations: Vec<String>,
    report: FleetReport,
    /// The end of the last fault, in µs.
    last_fault_end: Micros,
    /// The time since which all views have been correct.
    agreed_since: Option<Micros>,
    /// For each balancer, the result of the check of its latest view.
    last_results: Vec<Result<(), ViewError>>,
}

impl ViewChecker {
    /// Creates the checker of a scenario, which starts with all balancers running.
    pub fn new(world: &World, balancers: usize) -> Self {
        let timeline = world.timeline();
        let last_event = timeline
            .events
            .iter()
            .filter(|scheduled| scheduled.event.balancer().is_some())
            .map(|scheduled| scheduled.at)
            .max()
            .unwrap_or(0);
        let running = BalancerState {
            is_running: true,
            ..BalancerState::default()
        };
        Self {
            balancers: vec![running; balancers],
            process_history: ProcessHistory::new(balancers),
            lease_history: LeaseHistory::default(),
            incarnations: Vec::new(),
            report: FleetReport::default(),
            last_fault_end: last_event.max(timeline.links.last_fault_end()),
            agreed_since: None,
            last_results: (0..balancers)
                .map(|balancer| Err(ViewError::NoView { balancer }))
                .collect(),
        }
    }

    /// Records an event of the timeline, just before it is applied.
    pub fn record_event(&mut self, now: Micros, event: TimelineEvent, pause_duration: Micros) {
        let is_started = matches!(
            event,
            TimelineEvent::BalancerStarted(_) | TimelineEvent::BalancerMoved { .. }
        );
        let (number, is_running, is_paused, failed_since) = match event {
            TimelineEvent::BalancerKilled(number) => (number, false, false, Some(now)),
            TimelineEvent::BalancerStopped(number) => (number, false, false, None),
            TimelineEvent::BalancerPaused(number) => {
                let is_long = pause_duration >= MIN_DETECTABLE_PAUSE_US;
                (number, true, true, is_long.then_some(now))
            }
            TimelineEvent::BalancerResumed(number)
            | TimelineEvent::BalancerStarted(number)
            | TimelineEvent::BalancerMoved { number, .. } => (number, true, false, None),
            _ => return,
        };
        let Some(balancer) = self.balancers.get_mut(number) else {
            return;
        };
        if !is_running || is_started {
            balancer.incarnation = None;
            balancer.refutations = 0;
            let has_left = !is_running && failed_since.is_none();
            self.process_history.process_stopped(now, number, has_left);
        }
        balancer.is_running = is_running;
        balancer.is_paused = is_paused;
        balancer.changed_at = now;
        balancer.failed_since = failed_since;
        balancer.detected_by.clear();
        balancer.is_detected_by_all = false;
        for (balancer, result) in self.last_results.iter_mut().enumerate() {
            *result = Err(ViewError::NoViewSinceEvent { balancer });
        }
    }

    fn add_violation(&mut self, now: Micros, description: &str) {
        self.report.serving_status_errors += 1;
        if self.report.details.len() < MAX_DETAILS {
            let seconds = now as f64 / 1e6;
            self.report
                .details
                .push(format!("{seconds:.1} s: {description}"));
        }
    }

    /// Checks a view that a balancer sent in response to a request. The view refers to an unknown
    /// time between the request and the response.
    fn check(&mut self, number: usize, requested_at: Micros, now: Micros, view: &View) {
        self.report.checked_views += 1;
        let changed_at = self.balancers[number].changed_at;
        if !self.balancers[number].is_running || requested_at < changed_at {
            return;
        }
        if self.balancers[number].incarnation.is_none() {
            let incarnation = view.incarnation.clone();
            self.balancers[number].incarnation = Some(incarnation.clone());
            self.process_history
                .process_started(changed_at, number, incarnation);
        }
        self.record_terms(view);
        let refutations = &mut self.balancers[number].refutations;
        self.report.refutations += view.refutations.saturating_sub(*refutations);
        *refutations = view.refutations;
        let entries: Vec<_> = view.members.iter().flat_map(MemberView::entries).collect();
        // The count in the view includes the balancer itself.
        let counted = view.may_serve.saturating_sub(1);
        let span = requested_at..=now;
        let errors = self
            .process_history
            .check_view(number, span, &entries, counted);
        for error in errors {
            self.add_violation(now, &error);
        }
        let mut result = Ok(());
        for other in (0..self.balancers.len()).filter(|other| *other != number) {
            if let Err(error) = self.check_member(number, other, requested_at, now, view) {
                result = Err(error);
            }
        }
        self.last_results[number] = result;
        self.update_agreement(now);
    }

    /// Records the terms of all leases in the view of a process.
    fn record_terms(&mut self, view: &View) {
        let known_index = self
            .incarnations
            .iter()
            .position(|incarnation| *incarnation == view.incarnation);
        let process = known_index.unwrap_or_else(|| {
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

    /// Checks the entry of another balancer in the view of a balancer.
    fn check_member(
        &mut self,
        number: usize,
        other: usize,
        requested_at: Micros,
        now: Micros,
        view: &View,
    ) -> Result<(), ViewError> {
        let member = view.member(other);
        let actual = self.balancers[other].clone();
        let current =
            member.filter(|member| actual.incarnation.as_ref() == Some(&member.incarnation));
        if let Some(current) = current {
            self.check_considered_dead(other, current, requested_at, now);
        }
        // The entry is looked up by name only, since the incarnation of a killed process was
        // discarded when the process ended.
        let is_detected =
            member.is_some_and(|member| matches!(member.state.as_str(), "gone" | "left"));
        if let Some(failed_since) = actual
            .failed_since
            .filter(|at| is_detected && requested_at >= *at)
        {
            self.record_detection(number, other, now - failed_since);
        }
        let state = member.map_or("unknown", |member| member.state.as_str());
        let is_responsive = actual.is_responsive();
        let is_correct = if is_responsive {
            current.is_some() && state == "present"
        } else {
            state != "present"
        };
        if is_correct {
            Ok(())
        } else {
            Err(ViewError::WrongState {
                balancer: number,
                other,
                state: state.to_owned(),
                is_responsive,
            })
        }
    }

    /// Checks whether a view considers the running process of a balancer dead although its time to
    /// recover has passed.
    fn check_considered_dead(
        &mut self,
        other: usize,
        current: &MemberView,
        requested_at: Micros,
        now: Micros,
    ) {
        let actual = &mut self.balancers[other];
        let is_recovery_overdue =
            requested_at > actual.changed_at && now > actual.changed_at + MAX_RECOVERY_TIME_US;
        let is_considered_dead =
            current.state == "gone" && actual.is_responsive() && is_recovery_overdue;
        if is_considered_dead && !actual.was_considered_dead {
            actual.was_considered_dead = true;
            self.report.considered_dead_while_running += 1;
        }
    }

    /// Records that a balancer detected the crash or the pause of another balancer after that time.
    fn record_detection(&mut self, number: usize, other: usize, after: Micros) {
        if !self.balancers[other].detected_by.insert(number) {
            return;
        }
        let after_ms = after as f64 / 1_000.0;
        self.report.detection_times_ms.push(after_ms);
        let is_detected_by_all = (0..self.balancers.len())
            .filter(|observer| *observer != other && self.balancers[*observer].is_responsive())
            .all(|observer| self.balancers[other].detected_by.contains(&observer));
        if is_detected_by_all && !self.balancers[other].is_detected_by_all {
            self.balancers[other].is_detected_by_all = true;
            self.report.detection_by_all_times_ms.push(after_ms);
        }
    }

    /// Updates the time since which the latest views of all responsive balancers have been correct.
    fn update_agreement(&mut self, now: Micros) {
        let is_agreed = (0..self.balancers.len())
            .filter(|number| self.balancers[*number].is_responsive())
            .all(|number| self.last_results[number].is_ok());
        self.agreed_since = if is_agreed {
            self.agreed_since.or(Some(now))
        } else {
            None
        };
    }

    /// Returns the number of times that the term of a lease decreased in the views of one process.
    pub fn decreased_terms(&self) -> u64 {
        self.lease_history.stale_commands.len() as u64
    }

    /// Returns the report at the end of the scenario.
    pub fn report(&self) -> FleetReport {
        let mut report = self.report.clone();
        report.views_agree_after_ms = self
            .agreed_since
            .map(|since| since.saturating_sub(self.last_fault_end) as f64 / 1_000.0);
        if report.views_agree_after_ms.is_none() {
            let errors = self
                .last_results
                .iter()
                .filter_map(|result| result.as_ref().err());
            report.details.extend(
                errors
                    .take(MAX_WRONG_VIEWS)
                    .map(|error| format!("at the end: {error}")),
            );
        }
        report
    }
}

/// Polls and checks the view of one balancer until the runtime ends.
pub async fn poll_views(
    world: Arc<World>,
    checker: Arc<Mutex<ViewChecker>>,
    number: usize,
    address: SocketAddr,
) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let requested_at = world.now();
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, request_view(address)).await;
        if let Ok(Ok(body)) = response
            && let Ok(view) = serde_json::from_slice::<View>(&body)
        {
            locked(&checker).check(number, requested_at, world.now(), &view);
        }
    }
}

/// Requests the view of the balancer at that address, and returns the body of the response.
async fn request_view(address: SocketAddr) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let request = "GET /fleet HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await?;
    let mut buffer = Vec::new();
    let response = http::read_response(&mut stream, &mut buffer).await?;
    Ok(buffer[response.body].to_vec())
}
