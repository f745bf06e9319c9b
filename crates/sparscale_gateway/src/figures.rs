//! The figures of an entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_catalog::Kind;
use sparscale_mesh::Mesh;
use sparscale_telemetry::{Counter, Histogram, Registry};

use crate::phase::ConnectionCounter;
use crate::refusal::Reason;

/// Figures that requests change.
#[derive(Debug)]
pub(crate) struct Figures {
    registry: Arc<Registry>,
    first: [Arc<Histogram>; 3],
    whole: [Arc<Histogram>; 3],
    pub(crate) repeats: Arc<Counter>,
    pub(crate) unpaid_repeats: Arc<Counter>,
    pub(crate) resumed: Arc<Counter>,
}

impl Figures {
    pub(crate) fn new(registry: Arc<Registry>) -> Self {
        let times = |name, help| KINDS.map(|kind| registry.histogram(name, help, &[("kind", kind)]));
        Self {
            first: times(
                "sparscale_first_seconds",
                "Time from a request's head to its answer or first event.",
            ),
            whole: times(
                "sparscale_whole_seconds",
                "Time from a request's head to the end of its answer.",
            ),
            repeats: registry.counter("sparscale_repeats_total", "Sends beyond the first of a request.", &[]),
            unpaid_repeats: registry.counter(
                "sparscale_repeats_refused_total",
                "Sends beyond the first that the budget did not allow.",
                &[],
            ),
            resumed: registry.counter(
                "sparscale_resumed_total",
                "Streams that went on at another target.",
                &[],
            ),
            registry,
        }
    }

    /// An answer or its first event is there.
    pub(crate) fn first(&self, kind: Kind, took: Duration) {
        self.first[index_of(kind)].note(took);
    }

    /// A request is over.
    pub(crate) fn end(&self, kind: Kind, outcome: &str, took: Duration) {
        self.whole[index_of(kind)].note(took);
        let labels = [("kind", KINDS[index_of(kind)]), ("outcome", outcome)];
        let help = "Requests that are over, by outcome.";
        self.registry
            .counter("sparscale_requests_total", help, &labels)
            .add_one();
    }

    /// A request was refused before it was given to any target.
    pub(crate) fn refused(&self, reason: Reason) {
        let help = "Requests refused at admission, by reason.";
        let labels = [("reason", reason.name())];
        self.registry
            .counter("sparscale_refused_total", help, &labels)
            .add_one();
    }
}

/// Names of the kinds of requests, in the order of [`index_of`].
const KINDS: [&str; 3] = ["repeatable", "once", "stream"];

fn index_of(kind: Kind) -> usize {
    match kind {
        Kind::Repeatable => 0,
        Kind::Once => 1,
        Kind::Stream { .. } => 2,
    }
}

/// Tells levels that are read off the entry's parts.
pub(crate) fn tell_levels(
    registry: &Arc<Registry>,
    board: &Arc<Board>,
    mesh: &Arc<Mesh>,
    progress: &Arc<ConnectionCounter>,
) {
    let gauge = |name, help| registry.gauge(name, help, &[]);
    let catalog_age = gauge(
        "sparscale_catalog_age_seconds",
        "Age of the catalog; -1 if there is none.",
    );
    let roster_age = gauge(
        "sparscale_roster_age_seconds",
        "Age of the roster; -1 if there is none.",
    );
    let version = gauge("sparscale_catalog_version", "Version of the catalog in force.");
    let place = gauge(
        "sparscale_line_place",
        "Place among the entries that read the store, 0 for the first.",
    );
    let entries = gauge(
        "sparscale_entries",
        "Entries that share the room of groups, this one included.",
    );
    let connections = gauge("sparscale_caller_connections", "Connections from callers.");
    let (board, line, progress) = (Arc::clone(board), mesh.status(), Arc::clone(progress));
    registry.before_telling(move || {
        let seconds = |age: Option<Duration>| age.map_or(-1.0, |age| age.as_secs_f64());
        catalog_age.set(seconds(board.catalog_age()));
        roster_age.set(seconds(board.roster_age()));
        version.set(board.catalog().map_or(0.0, |belief| belief.position.offset as f64));
        place.set(line.borrow().index as f64);
        entries.set(line.borrow().entries as f64);
        connections.set(progress.connections.load(Ordering::Relaxed) as f64);
    });
}
