//! Requests that crash targets, as this process knows them from what it saw, its peers and the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use sparscale_clock::{Clock, Moment, unix_ms};
use sparscale_quarantine::{End, Fingerprint, Hold, News, Register, Strike};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::source::Error;

/// Time in which a process that saw a target end tells the store: after it, others that heard of the end do.
const TELL_MARGIN: Duration = Duration::from_secs(2);
/// First pause after the store did not take strikes, doubled up to [`MAX_RETRY`].
const FIRST_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_millis(1_200);
/// Pause between two looks at what is too old.
const EXPIRY_PAUSE: Duration = Duration::from_mins(10);

/// Keeps strikes outside, for processes that start later.
#[async_trait]
pub trait Archive: Send + 'static {
    /// Keeps `strikes`; the same one may come twice, and from several processes.
    async fn keep(&mut self, strikes: &[Strike]) -> Result<(), Error>;

    /// Drops `strikes`, which nobody needs any more.
    async fn forget(&mut self, strikes: &[Strike]) -> Result<(), Error>;
}

/// What this process knows.
#[derive(Debug)]
pub struct Quarantine {
    register: Mutex<Register>,
    /// Shows that something was learnt.
    learnt: watch::Sender<()>,
    /// A time before which everything that the store had taken is in the register; none before it was first read.
    as_of: Mutex<Option<Moment>>,
    /// Era of the store as last read.
    era: Mutex<Option<u64>>,
    clock: Arc<dyn Clock>,
}

impl Quarantine {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            register: Mutex::default(),
            learnt: watch::Sender::new(()),
            as_of: Mutex::default(),
            era: Mutex::default(),
            clock,
        }
    }

    /// Whether a request is held back now.
    pub fn held(&self, request: &Fingerprint) -> Option<Hold> {
        self.register().held(request, unix_ms())
    }

    /// Notes that a target ended under a request. Tells how many have.
    pub fn note_end(&self, request: Fingerprint, end: End) -> usize {
        let now_ms = unix_ms();
        let strike = Strike {
            request,
            end,
            at_ms: now_ms,
            standing: sparscale_quarantine::Standing::Counts,
        };
        let (news, ends) = {
            let mut register = self.register();
            (register.take_in(strike, News::Seen, now_ms), register.ends(&request))
        };
        log::info!(target: DECISION, decision = "strike", content = request.short().as_str(), ends, news; "a target ended under a request");
        self.tell(news);
        ends
    }

    /// Notes a whole answer to a request.
    pub fn note_answer(&self, request: &Fingerprint) {
        let cleared = self.register().note_answer(request, unix_ms());
        if cleared {
            log::info!(target: DECISION, decision = "cleared", content = request.short().as_str(); "the request is answered well: it is not what ended targets");
        }
        self.tell(cleared);
    }

    /// Takes in what the peer `source` told.
    pub fn offer(&self, strikes: &[Strike], source: &str) {
        let now_ms = unix_ms();
        let news = {
            let mut register = self.register();
            let taken = strikes
                .iter()
                .map(|strike| register.take_in(*strike, News::Told, now_ms));
            taken.filter(|news| *news).count()
        };
        if news > 0 {
            log::info!(target: DECISION, decision = "strikes", source, news; "heard of targets that ended under requests");
        }
        self.tell(news > 0);
    }

    /// Takes in all that the store held in era `era` when it was asked at `asked`. A store that came back from an older copy
    /// has lost what was written since: whoever reads that writes it again.
    pub fn offer_reading(&self, strikes: &[Strike], era: u64, asked: Moment) {
        let restored = {
            let mut known = self.era.lock().unwrap_or_else(PoisonError::into_inner);
            if known.is_some_and(|known| era < known) {
                return;
            }
            known.replace(era).is_some_and(|known| known < era)
        };
        if restored {
            self.register().doubt_store();
        }
        let now_ms = unix_ms();
        let asked_ms = now_ms.saturating_sub(self.clock.now().since(asked).as_millis() as u64);
        let news = self.register().read(strikes, asked_ms, TELL_MARGIN, now_ms);
        self.confirm(asked);
        self.tell(news);
    }

    /// Notes that everything that the store had taken at `as_of` is known here.
    pub fn confirm(&self, as_of: Moment) {
        let mut known = self.as_of.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some(known.map_or(as_of, |known| known.max(as_of)));
    }

    /// Age of what is known of the store; none before it was first read.
    pub fn age(&self) -> Option<Duration> {
        let as_of = *self.as_of.lock().unwrap_or_else(PoisonError::into_inner);
        as_of.map(|as_of| self.clock.now().since(as_of))
    }

    /// What was learnt after position `since`, and the position now.
    pub fn news(&self, since: u64) -> (Vec<Strike>, u64) {
        self.register().news(since)
    }

    /// Wakes whenever something was learnt.
    pub fn learnings(&self) -> watch::Receiver<()> {
        self.learnt.subscribe()
    }

    /// Tells the store what it does not know yet; never ends. `is_first` says whether this process is the one that drops what
    /// is too old there.
    pub async fn keep_in(&self, mut archive: Box<dyn Archive>, is_first: impl Fn() -> bool) {
        let mut learnt = self.learnings();
        learnt.mark_changed();
        let mut expiry = Instant::now() + EXPIRY_PAUSE;
        loop {
            tokio::select! {
                changed = learnt.changed() => if changed.is_err() { return },
                () = tokio::time::sleep_until(expiry) => {
                    expiry = Instant::now() + EXPIRY_PAUSE;
                    let dropped = self.register().expire(unix_ms());
                    if !dropped.is_empty() && is_first() {
                        note_failure("forget", &archive.forget(&dropped).await);
                    }
                }
            }
            self.tell_store(archive.as_mut()).await;
        }
    }

    async fn tell_store(&self, archive: &mut dyn Archive) {
        let mut pause = FIRST_RETRY;
        loop {
            let untold = self.register().untold();
            if untold.is_empty() {
                return;
            }
            if !note_failure("keep", &archive.keep(&untold).await) {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY);
                continue;
            }
            let now_ms = unix_ms();
            let mut register = self.register();
            for strike in untold {
                register.take_in(strike, News::Read, now_ms);
            }
        }
    }

    fn tell(&self, news: bool) {
        if news {
            self.learnt.send_replace(());
        }
    }

    fn register(&self) -> MutexGuard<'_, Register> {
        // A panic leaves a register whose entries are whole: each is replaced in one step.
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether it went well.
fn note_failure(what: &str, done: &Result<(), Error>) -> bool {
    if let Err(error) = done {
        log::info!(target: DECISION, decision = "strikes_not_kept", what, error = error.to_string().as_str(); "the store did not take strikes");
    }
    done.is_ok()
}
