//! Metrics of an entry.

use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_catalog::RequestKind;
use sparscale_intake::{Intake, Port};
use sparscale_mesh::Mesh;
use sparscale_telemetry::{Counter, Histogram, Registry};

use crate::refusal::Reason;

/// Metrics that are updated by requests.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    response_times: [Arc<Histogram>; 3],
    request_times: [Arc<Histogram>; 3],
    pub(crate) retries: Arc<Counter>,
    pub(crate) denied_retries: Arc<Counter>,
    pub(crate) resumed_streams: Arc<Counter>,
}

impl Metrics {
    pub(crate) fn new(registry: Arc<Registry>) -> Self {
        let histograms = |name, help| KIND_LABELS.map(|kind| registry.histogram(name, help, &[("kind", kind)]));
        Self {
            response_times: histograms(
                "sparscale_first_seconds",
                "Time from a request's head to its answer or first event.",
            ),
            request_times: histograms(
                "sparscale_whole_seconds",
                "Time from a request's head to the end of its answer.",
            ),
            retries: registry.counter("sparscale_repeats_total", "Sends beyond the first of a request.", &[]),
            denied_retries: registry.counter(
                "sparscale_repeats_refused_total",
                "Retries that the budget did not allow.",
                &[],
            ),
            resumed_streams: registry.counter(
                "sparscale_resumed_total",
                "Streams that were resumed at another target.",
                &[],
            ),
            registry,
        }
    }

    /// Records that the response, or the first event of a stream, has arrived, `elapsed` after the head of the request.
    pub(crate) fn record_response(&self, kind: RequestKind, elapsed: Duration) {
        self.response_times[kind_index(kind)].record(elapsed);
    }

    /// Records the end of a request.
    pub(crate) fn record_end(&self, kind: RequestKind, outcome: &str, elapsed: Duration) {
        self.request_times[kind_index(kind)].record(elapsed);
        let labels = [("kind", KIND_LABELS[kind_index(kind)]), ("outcome", outcome)];
        let help = "Completed requests, by outcome.";
        self.registry
            .counter("sparscale_requests_total", help, &labels)
            .increment();
    }

    /// Records a request that was rejected before it was sent to any target.
    pub(crate) fn record_refusal(&self, reason: Reason) {
        let help = "Requests rejected at admission, by reason.";
        let labels = [("reason", reason.name())];
        self.registry
            .counter("sparscale_refused_total", help, &labels)
            .increment();
    }
}

/// Values of the label `kind`, in the order of [`kind_index`].
const KIND_LABELS: [&str; 3] = ["repeatable", "once", "stream"];

fn kind_index(kind: RequestKind) -> usize {
    match kind {
        RequestKind::Idempotent => 0,
        RequestKind::AtMostOnce => 1,
        RequestKind::Stream { .. } => 2,
    }
}

/// Registers the gauges, which read their values from the components of the entry.
pub(crate) fn register_gauges(registry: &Arc<Registry>, board: &Arc<Board>, mesh: &Arc<Mesh>, intake: &Arc<Intake>) {
    let gauge = |name, help| registry.gauge(name, help, &[]);
    let catalog_age = gauge(
        "sparscale_catalog_age_seconds",
        "Age of the catalog; -1 if there is none.",
    );
    let roster_age = gauge(
        "sparscale_roster_age_seconds",
        "Age of the roster; -1 if there is none.",
    );
    let version = gauge("sparscale_catalog_version", "Version of the active catalog.");
    let reader_index = gauge(
        "sparscale_line_place",
        "Index among the entries that read the store; 0 is the first.",
    );
    let entries = gauge(
        "sparscale_entries",
        "Entries that share the headroom of groups, including this one.",
    );
    let connections = gauge("sparscale_caller_connections", "Connections from callers.");
    let held_responses = gauge(
        "sparscale_held_response_bytes",
        "Bytes of responses that callers have not read yet.",
    );
    let held = gauge(
        "sparscale_held_bytes",
        "Bytes of request bodies and responses that are held for callers.",
    );
    let (board, mesh_status, intake) = (Arc::clone(board), mesh.status(), Arc::clone(intake));
    registry.before_render(move || {
        let seconds = |age: Option<Duration>| age.map_or(-1.0, |age| age.as_secs_f64());
        catalog_age.set(seconds(board.catalog_age()));
        roster_age.set(seconds(board.roster_age()));
        version.set(
            board
                .catalog()
                .map_or(0.0, |observation| observation.position.offset as f64),
        );
        reader_index.set(mesh_status.borrow().index as f64);
        entries.set(mesh_status.borrow().entries as f64);
        held_responses.set(intake.held_responses() as f64);
        held.set(intake.held() as f64);
        connections.set(intake.connections(Port::Callers) as f64);
    });
}
