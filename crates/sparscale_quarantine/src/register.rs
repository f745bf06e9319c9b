//! What one process knows of requests that crash targets.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::strike::{End, Standing, Strike};

/// Ends under one request after which it is held back. One proves nothing: up to a whole batch of requests is at a target
/// when it ends. Of a batch that was sent elsewhere, hardly any but the cause meets a second end; and a group of ranks
/// serves nobody for seconds after each, so a third is not waited for.
const SUSPECT: usize = 2;
/// Ends after which there is no doubt left.
const CONVICTED: usize = 3;
/// Time for which a request that ended [`SUSPECT`] targets is held: a caller whose request was there by chance may have it
/// run after it.
const SUSPECT_HOLD: Duration = Duration::from_mins(1);
/// Time for which one is held that ended [`CONVICTED`]: its caller or its targets have been mended by then, or it ends one
/// more.
const CONVICTED_HOLD: Duration = Duration::from_hours(24);
/// Time for which one is held that ended more after that.
const LASTING_HOLD: Duration = Duration::from_hours(30 * 24);
/// Whole answers to a request after which it is not what ended the targets: one that many callers send is at most targets
/// when they end. A request that ends only some of those which run it seldom gets so many in a row.
const CLEARING_ANSWERS: u32 = 8;
/// Time for which an end is remembered under a request that is not held.
const SUSPICION: Duration = Duration::from_hours(1);
/// Requests that are remembered at most; 200 bytes each.
const MAX_CASES: usize = 4_096;
/// Ends that are remembered under one request at most.
const MAX_ENDS: usize = 16;

/// Where a strike came from, and so whether the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// This process saw it: the store has to be told.
    Seen,
    /// Another process told it, which tells the store as well.
    Told,
    /// The store has it.
    Read,
}

/// Why a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Targets that ended under it.
    pub ends: usize,
    /// Time for which it is held still.
    pub left: Duration,
}

/// What is known of one end under one request.
#[derive(Debug, Clone, Copy)]
struct Known {
    at_ms: u64,
    standing: Standing,
    /// Position in the order in which this process learnt things.
    learnt: u64,
    /// When this process learnt it, in milliseconds since 1970.
    learnt_ms: u64,
    source: News,
}

/// What is known of one request.
#[derive(Debug, Default)]
struct Case {
    ends: BTreeMap<End, Known>,
    /// Whole answers since the last end that this process learnt of.
    answers: u32,
}

impl Case {
    fn counting(&self) -> usize {
        let counts = |known: &&Known| known.standing == Standing::Counts;
        self.ends.values().filter(counts).count()
    }

    fn last_ms(&self) -> u64 {
        self.ends.values().map(|known| known.at_ms).max().unwrap_or(0)
    }

    fn held_until_ms(&self) -> u64 {
        let hold = match self.counting() {
            0..SUSPECT => return 0,
            SUSPECT => SUSPECT_HOLD,
            CONVICTED => CONVICTED_HOLD,
            _ => LASTING_HOLD,
        };
        self.last_ms().saturating_add(millis(hold))
    }

    /// A request that was held is remembered for longer than it is held: the next end has to count on.
    fn remembered_until_ms(&self) -> u64 {
        let memory = match self.counting() {
            0..SUSPECT => SUSPICION,
            SUSPECT => CONVICTED_HOLD,
            _ => LASTING_HOLD + SUSPICION,
        };
        self.last_ms().saturating_add(millis(memory))
    }
}

/// All requests that were at targets which ended.
#[derive(Debug, Default)]
pub struct Register {
    cases: HashMap<Fingerprint, Case>,
    learnt: u64,
}

impl Register {
    /// Takes in a strike at `now_ms`. Tells whether it was news.
    pub fn take_in(&mut self, strike: Strike, source: News, now_ms: u64) -> bool {
        self.make_room(strike.request);
        let case = self.cases.entry(strike.request).or_default();
        if let Some(known) = case.ends.get_mut(&strike.end) {
            if source == News::Read && strike.standing == known.standing {
                known.source = News::Read;
            }
            if strike.standing <= known.standing {
                return false;
            }
            known.standing = strike.standing;
            known.source = source;
            self.learnt += 1;
            known.learnt = self.learnt;
            known.learnt_ms = now_ms;
            return true;
        }
        if case.ends.len() >= MAX_ENDS {
            return false;
        }
        self.learnt += 1;
        let known = Known {
            // A clock that is ahead must not hold a request for longer than others do.
            at_ms: strike.at_ms.min(now_ms),
            standing: strike.standing,
            learnt: self.learnt,
            learnt_ms: now_ms,
            source,
        };
        case.ends.insert(strike.end, known);
        case.answers = 0;
        true
    }

    /// Whether `request` is held back at `now_ms`.
    pub fn held(&self, request: &Fingerprint, now_ms: u64) -> Option<Hold> {
        let case = self.cases.get(request)?;
        let left = case.held_until_ms().checked_sub(now_ms).filter(|left| *left > 0)?;
        Some(Hold {
            ends: case.counting(),
            left: Duration::from_millis(left),
        })
    }

    /// Targets that ended under `request`.
    pub fn ends(&self, request: &Fingerprint) -> usize {
        self.cases.get(request).map_or(0, Case::counting)
    }

    /// Notes a whole answer to `request`. Tells whether that cleared it.
    pub fn note_answer(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        let Some(case) = self.cases.get_mut(request) else {
            return false;
        };
        case.answers += 1;
        if case.answers < CLEARING_ANSWERS || case.counting() == 0 {
            return false;
        }
        self.learnt += 1;
        for known in case.ends.values_mut() {
            known.standing = Standing::Cleared;
            known.source = News::Seen;
            known.learnt = self.learnt;
            known.learnt_ms = now_ms;
        }
        true
    }

    /// What was learnt after position `since`, and the position now.
    pub fn news(&self, since: u64) -> (Vec<Strike>, u64) {
        let news = self.strikes().filter(|(_, known)| known.learnt > since);
        (news.map(|(strike, _)| strike).collect(), self.learnt)
    }

    /// What the store has to be told.
    pub fn untold(&self) -> Vec<Strike> {
        let seen = self.strikes().filter(|(_, known)| known.source == News::Seen);
        seen.map(|(strike, _)| strike).collect()
    }

    /// Takes in all that the store holds, as it was asked for at `asked_ms`. What others told well before and the store does
    /// not show was never written: its process may be gone. Tells whether anything was news.
    pub fn read(&mut self, strikes: &[Strike], asked_ms: u64, margin: Duration, now_ms: u64) -> bool {
        let mut news = false;
        for strike in strikes {
            news |= self.take_in(*strike, News::Read, now_ms);
        }
        let known = self.cases.values_mut().flat_map(|case| case.ends.values_mut());
        for known in known.filter(|known| known.source == News::Told) {
            if known.learnt_ms + millis(margin) < asked_ms {
                known.source = News::Seen;
                news = true;
            }
        }
        news
    }

    /// The store may have lost what it had: whatever its next reading does not show is told to it again.
    pub fn doubt_store(&mut self) {
        let known = self.cases.values_mut().flat_map(|case| case.ends.values_mut());
        for known in known.filter(|known| known.source == News::Read) {
            known.source = News::Told;
        }
    }

    /// Forgets what is too old to matter, and tells what that was.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Strike> {
        let old = |case: &Case| case.remembered_until_ms() <= now_ms;
        let dropped = self
            .strikes()
            .filter(|(strike, _)| self.cases.get(&strike.request).is_some_and(old));
        let dropped = dropped.map(|(strike, _)| strike).collect();
        self.cases.retain(|_, case| !old(case));
        dropped
    }

    fn strikes(&self) -> impl Iterator<Item = (Strike, &Known)> {
        self.cases.iter().flat_map(|(request, case)| {
            case.ends.iter().map(|(end, known)| {
                let strike = Strike {
                    request: *request,
                    end: *end,
                    at_ms: known.at_ms,
                    standing: known.standing,
                };
                (strike, known)
            })
        })
    }

    /// Makes room for a new request: of those that ended the fewest targets the oldest go, many at once, so that a flood of
    /// new ones costs little each.
    fn make_room(&mut self, request: Fingerprint) {
        if self.cases.len() < MAX_CASES || self.cases.contains_key(&request) {
            return;
        }
        let weigh = |(request, case): (&Fingerprint, &Case)| (case.counting(), case.last_ms(), *request);
        let mut lightest: Vec<(usize, u64, Fingerprint)> = self.cases.iter().map(weigh).collect();
        lightest.sort_unstable();
        for (_, _, request) in &lightest[..MAX_CASES / 8] {
            self.cases.remove(request);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
