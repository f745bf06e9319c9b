//! The admission queue of one entry for one group of engines: admits requests, lets them wait, or rejects them with a
//! retry time.
//!
//! Load pattern: overload. All entries share the headroom of the group, and each learns with a delay what the others
//! have admitted. A request admitted beyond the headroom makes every stream of the group late, and one that waits
//! without a chance of being on time delays its caller, who could have retried when there is headroom. A standing
//! backlog makes every request that joins it late: while arrivals keep up with departures, each one is admitted only
//! after all of its time has passed.
//!
//! So a first attempt that can't be on time by waiting is rejected at once, or soon after its arrival if the places
//! that it waits for do not become free as expected. Its caller gets a retry time of its own, after those of earlier
//! callers and spread over the places that will become free, so that the backlog stays as short as the time of the
//! requests in it. A caller that retries has already waited: its request is not rejected again and may wait for as long
//! as callers accept.
//!
//! At the end of its wait a first attempt is admitted only if there is headroom for late requests, or if less than a
//! share of the places that become free went to late requests beyond the headroom.

use std::time::{Duration, Instant};

use sparscale_catalog::EngineProfile;
use sparscale_wire::group;

use crate::backlog::{Backlog, Entry, Ticket};
use crate::caller_timeout;
use crate::claim::Claim;
use crate::fair_share::Workspace;
use crate::headroom::{self, Headroom};

/// Smallest fraction of the latency objective for which a request may wait and still count as on time.
const MIN_WAIT_FRACTION: f64 = 0.4;
/// Weight of the newest sample in the running mean of the time to the first event.
const FIRST_EVENT_SAMPLE_WEIGHT: f64 = 0.1;
/// Factor on that mean: the times vary, and most requests must still be on time after the wait.
const FIRST_EVENT_MARGIN: f64 = 1.5;
/// Age from which reported loads are ignored; the headroom then follows from the requests that this entry has in
/// flight.
const MAX_LOAD_AGE: Duration = Duration::from_millis(900);
/// Number of requests that each rank is filled with while no loads are reported: a group that starts assigns its
/// experts round-robin at first, and with more requests its passes would exceed the allowed pauses of streams.
const UNREPORTED_REQUESTS_PER_RANK: f64 = 6.0;
/// Time after its admission for which a request may be missing from the group leader's reports.
const REPORT_DELAY: Duration = Duration::from_millis(120);
/// Shortest delay after which a rejected caller should retry; the delay grows with the backlog.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest such delay for a caller that does not send how long it still waits.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Fraction of the time that a caller still waits after which it retries at the latest, whatever delay it is given.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;
/// Places that become free for each scheduled retry: the others go to callers that arrive in the meantime.
const PLACES_PER_RETRY: f64 = 4.0;
/// Time spent on earlier attempts from which a request counts as a retry.
const MIN_RETRY_AGE: Duration = Duration::from_millis(150);
/// Fraction of the latency objective within which a rejection is useful: its caller can still be served by a retry for
/// more than a late response is worth. A request whose places do not become free as expected is rejected then.
const USEFUL_REJECTION_FRACTION: f64 = 0.25;
/// Fraction of the time until the caller's deadline for which a request may wait; the remainder is for its response. A
/// request that waited until the deadline would be rejected with no time left for a retry.
const MAX_DEADLINE_FRACTION: f64 = 0.6;
/// Share of the places that become free which late requests may take beyond the headroom at the end of their wait.
const LATE_PLACE_SHARE: f64 = 0.125;
/// Maximum number of such places that are kept for later.
const MAX_LATE_PLACES: f64 = 2.0;
/// Assumed residence time of a request before any has left.
const INITIAL_RESIDENCE: Duration = Duration::from_secs(1);

/// The properties of a request that matter for its admission.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Its arrival.
    pub arrived_at: Instant,
    /// Time within which its first event is due.
    pub objective: Duration,
    /// Longest pause between events that its route allows.
    pub max_pause: Duration,
    /// Time that its caller spent on earlier attempts; the worth of a response counts from the first one.
    pub retry_age: Duration,
    /// How long its caller still waits, if the caller sent that.
    pub remaining: Option<Duration>,
    /// Its workspace.
    pub workspace: Workspace,
}

impl Request {
    /// Whether its caller was rejected before.
    fn is_retry(&self) -> bool {
        self.retry_age >= MIN_RETRY_AGE
    }

    /// How long it may wait for admission before its caller gives up.
    fn max_wait(&self) -> Duration {
        let longest = caller_timeout::max_admission_wait(self.objective, self.max_pause);
        self.remaining.map_or(longest, |remaining| {
            longest.min(remaining.mul_f64(MAX_DEADLINE_FRACTION))
        })
    }

    /// When its caller gives up, counted from its arrival.
    fn caller_timeout(&self) -> Duration {
        let timeout = caller_timeout::stream_timeout(self.objective, self.max_pause);
        self.remaining.map_or(timeout, |remaining| timeout.min(remaining))
    }
}

/// What happens to an arriving request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is admitted.
    Admit,
    /// It joins the backlog.
    Wait {
        /// When [`Queue::review`] decides about it again, if it has not been admitted by then.
        review_at: Instant,
    },
    /// It is rejected.
    Reject {
        /// Expected time until it would have been admitted.
        expected_wait: Duration,
        /// Delay after which its caller should retry.
        retry_after: Duration,
    },
}

/// What happens to a waiting request at its review.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Review {
    /// It is admitted, and has left the backlog.
    Admit,
    /// It waits until its next review.
    Wait {
        /// Time of that review.
        review_at: Instant,
    },
    /// It has left the backlog, since this group is not expected to serve it in time. [`Queue::decide`] of the group
    /// that is then the best one decides about it.
    Leave,
}

/// The admission queue; `T` is the handle by which a waiting request is notified of its admission.
#[derive(Debug)]
pub struct Queue<T> {
    /// Position of the load report that `headroom` was computed from.
    load_order: (u64, u64),
    load_received_at: Instant,
    /// This entry's share of the headroom at that report, less its admissions since.
    headroom: Headroom,
    /// Recent admissions by this entry that the group leader's report may not include yet.
    unreported: Vec<Instant>,
    backlog: Backlog<T>,
    /// How much of the headroom this entry takes.
    claim: Claim,
    /// Places that late requests may take beyond the headroom.
    late_places: f64,
    /// Retry time of the next caller that is rejected.
    next_retry: Instant,
    /// This entry's share of the requests in the group by the latest report; 0 without a recent report.
    share_of_requests: f64,
    /// Mean time from the admission of a request to its end.
    residence: Duration,
    /// Mean time from the admission of a stream to its first event; none without a sample.
    first_event_time: Option<Duration>,
}

impl<T> Queue<T> {
    /// Creates the queue for a group without known loads.
    pub fn new(now: Instant) -> Self {
        Self {
            load_order: (0, 0),
            load_received_at: now,
            headroom: Headroom::UNLIMITED,
            unreported: Vec::new(),
            backlog: Backlog::default(),
            claim: Claim::default(),
            late_places: MAX_LATE_PLACES,
            next_retry: now,
            share_of_requests: 0.0,
            residence: INITIAL_RESIDENCE,
            first_event_time: None,
        }
    }

    /// Recomputes the headroom if `load` is a new report. Without a new report for a while, as after a restart of all
    /// processes, it follows from `in_flight`, the requests of this entry that are in flight.
    pub fn refresh(&mut self, load: Option<&group::Load>, group: &Group<'_>, in_flight: usize, now: Instant) {
        let entries = group.entry_count.max(1) as f64;
        if let Some(load) = load.filter(|load| load.sequence != self.load_order) {
            self.load_order = load.sequence;
            self.load_received_at = now;
            self.unreported.retain(|admitted_at| *admitted_at + REPORT_DELAY > now);
            let capacity = headroom::capacity_at_current_skew(load, group.engine, group.max_pause);
            let requests = headroom::reported_requests(load);
            self.share_of_requests = requests / entries;
            self.claim
                .update(capacity.timely * group.open_fraction, requests, entries);
            let own_share = self.claim.share(entries);
            let share =
                |capacity: f64| (capacity * group.open_fraction - requests) * own_share - self.unreported.len() as f64;
            self.headroom = Headroom {
                timely: share(capacity.timely),
                late: share(capacity.late),
            };
        } else if now.saturating_duration_since(self.load_received_at) > MAX_LOAD_AGE {
            self.share_of_requests = 0.0;
            self.headroom = Headroom::uniform(
                UNREPORTED_REQUESTS_PER_RANK * group.rank_count as f64 * group.open_fraction / entries
                    - in_flight as f64,
            );
        }
    }

    /// Decides about `request` while `in_flight` requests of this entry are in flight. `sample` is uniform in 0..1.
    pub fn decide(
        &mut self,
        ticket: Ticket,
        request: &Request,
        in_flight: usize,
        sample: f64,
        now: Instant,
    ) -> Decision {
        if self.backlog.is_empty() && self.headroom.timely >= 1.0 {
            self.backlog.record_admission(request.workspace, now);
            return Decision::Admit;
        }
        self.claim.record_shortage();
        let expected = self.expected_wait_of(ticket, request, in_flight, now);
        if self.is_hopeless(request, expected, now) {
            return Decision::Reject {
                expected_wait: expected,
                retry_after: self.schedule_retry(request, in_flight, expected, sample, now),
            };
        }
        Decision::Wait {
            review_at: next_review(request, now),
        }
    }

    /// Decides again about a request that has waited until its review; none if it no longer waits, because it has been
    /// admitted or displaced.
    pub fn review(&mut self, ticket: Ticket, request: &Request, in_flight: usize, now: Instant) -> Option<Review> {
        if !self.backlog.contains(ticket) {
            return None;
        }
        if now < request.arrived_at + request.max_wait() {
            let expected = self.expected_wait_of(ticket, request, in_flight, now);
            let is_late = self.entry(ticket, request).timely_until < now;
            if is_late || request.is_retry() || !self.is_hopeless(request, expected, now) {
                let review_at = next_review(request, now);
                return Some(Review::Wait { review_at });
            }
        } else if request.is_retry() || self.headroom.late.max(self.late_places) >= 1.0 {
            if self.headroom.late < 1.0 {
                self.late_places = (self.late_places - 1.0).max(0.0);
            }
            self.backlog.remove(ticket);
            self.backlog.record_admission(request.workspace, now);
            return Some(Review::Admit);
        }
        self.backlog.remove(ticket);
        Some(Review::Leave)
    }

    /// Whether waiting is not expected to serve the request. A retry is served late, for as long as its caller waits.
    /// While passes are too long for any request to be on time, only late requests are admitted: being late is then the
    /// worst that waiting can cause.
    fn is_hopeless(&self, request: &Request, expected: Duration, now: Instant) -> bool {
        let is_full = self.headroom.timely.max(self.headroom.late) < 1.0;
        let max_wait = if request.is_retry() {
            request.caller_timeout()
        } else if is_full {
            self.max_timely_wait(request.objective).min(request.max_wait())
        } else {
            request.max_wait()
        };
        now.saturating_duration_since(request.arrived_at) + expected > max_wait
    }

    /// Returns the delay after which a rejected caller should retry, later than the callers that were rejected before
    /// it.
    fn schedule_retry(
        &mut self,
        request: &Request,
        in_flight: usize,
        expected: Duration,
        sample: f64,
        now: Instant,
    ) -> Duration {
        let longest = request
            .remaining
            .map_or(MAX_RETRY_DELAY, |remaining| remaining.mul_f64(MAX_RETRY_FRACTION));
        let retry_at = self.next_retry.max(now + expected).min(now + longest);
        let place_interval = self.residence.div_f64(self.sharable_places(in_flight));
        self.next_retry = retry_at + place_interval.mul_f64(PLACES_PER_RETRY);
        // Each entry schedules retries on its own: jitter separates callers that get the same time from different
        // entries.
        let jitter = 0.75 + 0.5 * sample;
        let delay = retry_at
            .saturating_duration_since(now)
            .max(MIN_RETRY_DELAY)
            .mul_f64(jitter);
        delay.min(longest)
    }

    /// Adds a request to the backlog, until [`Queue::next`] returns its `waiter`.
    pub fn enqueue(&mut self, ticket: Ticket, request: &Request, waiter: T) {
        self.backlog.insert(self.entry(ticket, request), waiter);
    }

    /// The place of a request in the order. A retry is on time if its own attempt is: its caller's early rejection has
    /// cost a part of its worth, and a late response would cost more.
    fn entry(&self, ticket: Ticket, request: &Request) -> Entry {
        Entry {
            ticket,
            timely_until: request.arrived_at + self.max_timely_wait(request.objective),
            is_retry: request.is_retry(),
            workspace: request.workspace,
        }
    }

    /// Removes a request that no longer waits from the backlog.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.backlog.remove(ticket);
    }

    /// Removes all requests from the backlog, for another group to serve them.
    pub fn displace(&mut self) -> Vec<T> {
        self.backlog.clear()
    }

    /// Removes the next request that the headroom allows from the backlog. [`Queue::admit`] counts it as admitted.
    pub fn next(&mut self, now: Instant) -> Option<T> {
        self.backlog.next(self.headroom, now)
    }

    /// Counts a request as admitted.
    pub fn admit(&mut self, now: Instant) {
        self.headroom.add(-1.0);
        self.unreported.retain(|admitted_at| *admitted_at + REPORT_DELAY > now);
        self.unreported.push(now);
    }

    /// Counts an admitted request as ended, `residence` after its admission.
    pub fn record_end(&mut self, residence: Duration) {
        self.headroom.add(1.0);
        self.late_places = (self.late_places + LATE_PLACE_SHARE).min(MAX_LATE_PLACES);
        self.residence = (self.residence * 9 + residence) / 10;
    }

    /// Records that a stream had its first event `elapsed` after its admission.
    pub fn record_first_event(&mut self, elapsed: Duration) {
        let mean = self.first_event_time.unwrap_or(elapsed);
        self.first_event_time =
            Some(mean.mul_f64(1.0 - FIRST_EVENT_SAMPLE_WEIGHT) + elapsed.mul_f64(FIRST_EVENT_SAMPLE_WEIGHT));
    }

    /// Expected time until a request that joins the backlog now is admitted: places become free as requests end.
    pub fn expected_wait(&self, in_flight: usize) -> Duration {
        self.expected_wait_behind(self.backlog.len(), in_flight)
    }

    /// The same for a certain request, which may wait already.
    fn expected_wait_of(&self, ticket: Ticket, request: &Request, in_flight: usize, now: Instant) -> Duration {
        let ahead = self.backlog.count_before(&self.entry(ticket, request), now);
        self.expected_wait_behind(ahead, in_flight)
    }

    fn expected_wait_behind(&self, ahead: usize, in_flight: usize) -> Duration {
        let headroom = self.headroom.timely.max(self.headroom.late);
        let ahead = ahead as f64 + 1.0 - headroom.clamp(-64.0, 0.0);
        self.residence.mul_f64(ahead / self.sharable_places(in_flight))
    }

    /// Number of requests whose places this entry may fill when they end. All entries share the places that become free
    /// anywhere in the group: an entry with few requests in flight does not have to wait for those to end.
    fn sharable_places(&self, in_flight: usize) -> f64 {
        self.share_of_requests.max(in_flight as f64).max(1.0)
    }

    /// Position of the load report that the headroom was computed from.
    pub fn load_order(&self) -> (u64, u64) {
        self.load_order
    }

    /// Time since that report was received.
    pub fn load_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.load_received_at)
    }

    /// This entry's share of the headroom.
    pub fn headroom(&self) -> Headroom {
        self.headroom
    }

    /// Number of requests in the backlog.
    pub fn backlog_len(&self) -> usize {
        self.backlog.len()
    }

    /// How long a request may wait and still have its first event within `objective`: the objective less the recent
    /// time from admission to the first event, with a margin.
    fn max_timely_wait(&self, objective: Duration) -> Duration {
        let min_wait = objective.mul_f64(MIN_WAIT_FRACTION);
        let Some(first_event_time) = self.first_event_time else {
            return min_wait;
        };
        objective
            .saturating_sub(first_event_time.mul_f64(FIRST_EVENT_MARGIN))
            .max(min_wait)
    }
}

/// When to decide about a waiting request again: while a rejection is useful, and at the end of its wait.
fn next_review(request: &Request, now: Instant) -> Instant {
    let end = request.arrived_at + request.max_wait();
    let useful_until = request.arrived_at + request.objective.mul_f64(USEFUL_REJECTION_FRACTION);
    if now < useful_until && !request.is_retry() {
        useful_until.min(end)
    } else {
        end
    }
}

/// The group that a queue admits requests to.
#[derive(Debug, Clone, Copy)]
pub struct Group<'a> {
    /// Performance model of its engines.
    pub engine: &'a EngineProfile,
    /// Longest allowed pause between the events of its streams.
    pub max_pause: Duration,
    /// Number of its ranks.
    pub rank_count: usize,
    /// Fraction of the ranks that accept requests from this entry; ranks that limit or reject its requests count as
    /// full.
    pub open_fraction: f64,
    /// Number of entries that share the headroom, including this one.
    pub entry_count: usize,
}
