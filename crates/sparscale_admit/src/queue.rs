//! The queue of one target: higher tiers first, with weighted fair queueing among the workspaces of a tier.
//!
//! Each workspace of a tier has a virtual finish time that grows by cost over weight with each dispatch (start-time
//! fair queueing), and the smallest goes next. One in `floor_one_in` dispatches goes to the lowest tier with queued
//! requests, so that higher tiers cannot starve it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use snafu::Snafu;

/// Smoothing of the observed service time: each observation gets one part in this many of the weight.
const SERVICE_TIME_SMOOTHING: f64 = 16.0;

/// A queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct Job<K> {
    /// Identifies the request.
    pub key: K,
    /// Index of its tier; 0 is the highest.
    pub tier: u8,
    /// Workspace that the request is accounted to.
    pub workspace: String,
    /// Weight of the workspace inside its tier, at least 1.
    pub weight: u32,
    /// Expected work, in tokens.
    pub cost: f64,
    /// Time at which its caller stops waiting.
    pub deadline: Duration,
}

/// Why a request is rejected on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The queue is full and holds nothing of a lower tier that could be displaced.
    #[snafu(display("the queue is full"))]
    Full {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The request could not start before its deadline.
    #[snafu(display("the expected wait exceeds the deadline"))]
    TooLate {
        /// Delay before a retry.
        retry_after: Duration,
    },
}

/// Limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most requests that the target runs at the same time.
    pub max_running: usize,
    /// Most requests in the queue.
    pub max_queued: usize,
    /// One in this many dispatches goes to the lowest tier with queued requests; 0 disables this.
    pub floor_one_in: u32,
}

/// Outcome of admitting a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission<K> {
    /// A queued request of a lower tier that was displaced by this one and must be rejected now.
    pub displaced: Option<K>,
}

/// The queue of one target.
#[derive(Debug)]
pub struct Queue<K> {
    limits: Limits,
    tiers: BTreeMap<u8, Tier<K>>,
    queued_count: usize,
    running_count: usize,
    dispatches_since_floor: u32,
    /// Smoothed running time per unit of cost, in seconds.
    seconds_per_cost: f64,
}

#[derive(Debug)]
struct Tier<K> {
    workspaces: BTreeMap<String, WorkspaceQueue<K>>,
    /// Workspaces with queued requests, by virtual finish time.
    by_finish: BTreeSet<(VirtualTime, String)>,
    virtual_now: VirtualTime,
    queued_cost: f64,
}

#[derive(Debug)]
struct WorkspaceQueue<K> {
    jobs: VecDeque<Job<K>>,
    virtual_finish: VirtualTime,
}

/// Virtual time in thousandths of a cost unit at weight 1.
type VirtualTime = u64;

impl<K: Clone + PartialEq> Queue<K> {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            tiers: BTreeMap::new(),
            queued_count: 0,
            running_count: 0,
            dispatches_since_floor: 0,
            seconds_per_cost: 0.0,
        }
    }

    /// Replaces the limits; requests that are queued or running already are kept.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queued_count
    }

    /// Number of running requests.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Whether the target runs as many requests as it may.
    pub fn is_busy(&self) -> bool {
        self.running_count >= self.limits.max_running
    }

    /// Queues `job`, or rejects it immediately.
    pub fn enqueue(&mut self, job: Job<K>, now: Duration) -> Result<Admission<K>, Refusal> {
        let wait = self.expected_wait(job.tier, job.cost);
        if self.running_count >= self.limits.max_running && now + wait >= job.deadline {
            return Err(Refusal::TooLate { retry_after: wait });
        }
        let displaced = if self.has_headroom() {
            None
        } else {
            let removed = self.displace_lower_tier(job.tier);
            Some(removed.ok_or(Refusal::Full { retry_after: wait })?)
        };
        self.push(job);
        Ok(Admission { displaced })
    }

    /// Removes and returns the request that runs next, if the target may run another one. Requests whose deadline has
    /// passed are added to `expired`.
    pub fn dequeue(&mut self, now: Duration, expired: &mut Vec<K>) -> Option<Job<K>> {
        while self.running_count < self.limits.max_running {
            let tier = self.next_tier()?;
            let job = self.pop(tier)?;
            if job.deadline <= now {
                expired.push(job.key);
                continue;
            }
            self.count_dispatch(tier);
            self.running_count += 1;
            return Some(job);
        }
        None
    }

    /// Records the end of a request that ran for `residence` with expected work `cost`.
    pub fn record_end(&mut self, cost: f64, residence: Duration) {
        self.running_count = self.running_count.saturating_sub(1);
        let observed = residence.as_secs_f64() / cost.max(1.0);
        if self.seconds_per_cost == 0.0 {
            self.seconds_per_cost = observed;
        }
        self.seconds_per_cost += (observed - self.seconds_per_cost) / SERVICE_TIME_SMOOTHING;
    }

    /// Records that a dequeued request did not run.
    pub fn record_not_run(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }

    /// Removes a queued request; returns false if it is not queued.
    pub fn remove(&mut self, key: &K) -> bool {
        for tier in self.tiers.values_mut() {
            if let Some(cost) = tier.remove(key) {
                tier.queued_cost -= cost;
                self.queued_count -= 1;
                return true;
            }
        }
        false
    }

    /// Expected wait of a new request of `tier`: the queued work at or above that tier, divided by the number of
    /// requests that run at the same time.
    pub fn expected_wait(&self, tier: u8, cost: f64) -> Duration {
        let ahead_cost: f64 = self.tiers.range(..=tier).map(|(_, tier)| tier.queued_cost).sum();
        let wait_cost = if self.running_count >= self.limits.max_running {
            cost
        } else {
            0.0
        };
        let seconds = (ahead_cost + wait_cost) * self.seconds_per_cost / self.limits.max_running.max(1) as f64;
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }

    fn has_headroom(&self) -> bool {
        self.queued_count < self.limits.max_queued || self.running_count < self.limits.max_running
    }

    /// Removes the newest request of the lowest tier below `tier`, to make headroom for one of `tier`.
    fn displace_lower_tier(&mut self, tier: u8) -> Option<K> {
        let below = self
            .tiers
            .range(tier + 1..)
            .rev()
            .find(|(_, tier)| !tier.by_finish.is_empty());
        let lowest = below.map(|(index, _)| *index)?;
        let job = self.tiers.get_mut(&lowest)?.drop_newest()?;
        self.queued_count -= 1;
        Some(job.key)
    }

    fn push(&mut self, job: Job<K>) {
        self.queued_count += 1;
        self.tiers.entry(job.tier).or_insert_with(Tier::new).push(job);
    }

    fn pop(&mut self, tier: u8) -> Option<Job<K>> {
        let job = self.tiers.get_mut(&tier)?.pop()?;
        self.queued_count -= 1;
        Some(job)
    }

    fn next_tier(&self) -> Option<u8> {
        let mut nonempty_tiers = self.tiers.iter().filter(|(_, tier)| !tier.by_finish.is_empty());
        let highest = nonempty_tiers.next()?;
        let lowest = nonempty_tiers.next_back().unwrap_or(highest);
        let is_floor_due = self.limits.floor_one_in > 0 && self.dispatches_since_floor + 1 >= self.limits.floor_one_in;
        let chosen = if is_floor_due { lowest } else { highest };
        Some(*chosen.0)
    }

    fn count_dispatch(&mut self, tier: u8) {
        let has_lower_tier_jobs = self.tiers.range(tier + 1..).any(|(_, tier)| !tier.by_finish.is_empty());
        self.dispatches_since_floor = if has_lower_tier_jobs {
            self.dispatches_since_floor + 1
        } else {
            0
        };
    }
}

impl<K: Clone + PartialEq> Tier<K> {
    fn new() -> Self {
        Self {
            workspaces: BTreeMap::new(),
            by_finish: BTreeSet::new(),
            virtual_now: 0,
            queued_cost: 0.0,
        }
    }

    fn push(&mut self, job: Job<K>) {
        self.queued_cost += job.cost;
        let name = job.workspace.clone();
        let workspace = self.workspaces.entry(name.clone()).or_insert_with(|| WorkspaceQueue {
            jobs: VecDeque::new(),
            virtual_finish: 0,
        });
        if workspace.jobs.is_empty() {
            // A workspace that was idle starts at the current virtual time, so that it gains no credit while idle.
            workspace.virtual_finish = workspace.virtual_finish.max(self.virtual_now);
            self.by_finish.insert((workspace.virtual_finish, name));
        }
        workspace.jobs.push_back(job);
    }

    fn pop(&mut self) -> Option<Job<K>> {
        let (finish, name) = self.by_finish.pop_first()?;
        self.virtual_now = finish;
        let workspace = self.workspaces.get_mut(&name)?;
        let job = workspace.jobs.pop_front()?;
        self.queued_cost -= job.cost;
        workspace.virtual_finish = finish + virtual_cost(&job);
        if workspace.jobs.is_empty() {
            self.evict_idle_workspaces();
        } else {
            self.by_finish.insert((workspace.virtual_finish, name));
        }
        Some(job)
    }

    /// Evicts idle workspaces whose finish time has passed: they hold no information, and evicting them bounds the
    /// memory.
    fn evict_idle_workspaces(&mut self) {
        let now = self.virtual_now;
        self.workspaces
            .retain(|_, workspace| !workspace.jobs.is_empty() || workspace.virtual_finish > now);
        if self.by_finish.is_empty() {
            self.queued_cost = 0.0;
        }
    }

    fn remove(&mut self, key: &K) -> Option<f64> {
        for (name, workspace) in &mut self.workspaces {
            let Some(index) = workspace.jobs.iter().position(|job| job.key == *key) else {
                continue;
            };
            let job = workspace.jobs.remove(index)?;
            if workspace.jobs.is_empty() {
                self.by_finish.remove(&(workspace.virtual_finish, name.clone()));
            }
            return Some(job.cost);
        }
        None
    }

    fn drop_newest(&mut self) -> Option<Job<K>> {
        let (finish, name) = self.by_finish.last()?.clone();
        let workspace = self.workspaces.get_mut(&name)?;
        let job = workspace.jobs.pop_back()?;
        if workspace.jobs.is_empty() {
            self.by_finish.remove(&(finish, name));
        }
        self.queued_cost -= job.cost;
        Some(job)
    }
}

fn virtual_cost<K>(job: &Job<K>) -> VirtualTime {
    let cost = job.cost.max(1.0) * 1_000.0 / f64::from(job.weight.max(1));
    (cost as VirtualTime).max(1)
}
