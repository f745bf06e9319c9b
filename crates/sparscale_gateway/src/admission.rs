//! Decides whether a request may be served, from what this entry has observed of the catalog and the quarantine.
//!
//! Limits, route, key and deadline are checked here, before a request reaches a queue or a target.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use sparscale_belief::{Board, MAX_HISTORY_WAIT};
use sparscale_catalog::{Access, Catalog, Limits};
use sparscale_clock::Timestamp;
use sparscale_quarantine::{Content, Fingerprint};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::attempt::Outbound;
use crate::body::Body;
use crate::exchange::{Gateway, Job, workspace_header};
use crate::head::{Head, head_bytes};
use crate::phase::Phase;
use crate::refusal::{Reason, Refusal};
use crate::request_body::read_body;

/// `Retry-After` of a rejection for missing or outdated state of this entry.
const INCOMPLETE_STATE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// `Retry-After` of a stream that could not complete before this process exits. The load balancer routes the retry to
/// another entry.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum age of the catalog for decisions that depend on it.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// For a request with a key, because the key may have been revoked since. With [`Duration::MAX`] the last known
    /// keys stay valid until newer ones arrive, so that an outage of the store rejects no caller.
    pub max_age_with_key: Duration,
    /// For reporting that a route or key does not exist, because it may have been added since.
    pub max_age_for_denial: Duration,
}

/// Checks requests and forwards the admitted ones to the [`Gateway`].
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) freshness: Freshness,
    pub(crate) phases: watch::Receiver<Phase>,
}

impl Admission {
    /// Current limits for requests from callers.
    pub(crate) fn limits(&self) -> Limits {
        let catalog = self.gateway.board.catalog();
        catalog
            .map(|observation| *observation.value.limits())
            .unwrap_or_default()
    }

    /// Reads, checks and serves one request.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived_at = Instant::now();
        let (parts, incoming) = request.into_parts();
        let limits = self.limits();
        let head_too_long = head_bytes(&parts) > limits.max_header_bytes;
        let head = Head::new(parts, &self.gateway.target_client.header_names);
        let refusal = match read_body(incoming, &limits).await {
            Ok(_) if head_too_long => Refusal::new(Reason::HeadTooLong),
            Ok(body) => match self.admit(&head, arrived_at) {
                Ok(admitted) => {
                    let job = admitted.into_job(head, body, arrived_at);
                    match self.gateway.quarantine_refusal(&job.outbound.content) {
                        Some(refusal) => return self.reject(&job.outbound.head, refusal),
                        None => return self.gateway.serve(job).await,
                    }
                }
                Err(refusal) => refusal,
            },
            Err(refusal) => refusal,
        };
        self.reject(&head, refusal)
    }

    fn reject(&self, head: &Head, refusal: Refusal) -> Response<Body> {
        self.gateway.metrics.record_refusal(refusal.reason);
        log_refusal(head, refusal, &self.gateway.board);
        refusal.response(&self.gateway.target_client.header_names.request_id, head.id.as_ref())
    }

    fn admit(&self, head: &Head, arrived_at: Instant) -> Result<Grant, Refusal> {
        let retry_later = |reason| Refusal::with_retry_after(reason, INCOMPLETE_STATE_RETRY_DELAY);
        let observation = self
            .gateway
            .board
            .catalog()
            .ok_or_else(|| retry_later(Reason::NoCatalog))?;
        let age = observation.age(self.gateway.board.now());
        // A missing route or key may have been added since the catalog was read.
        let deny = |reason| {
            if age > self.freshness.max_age_for_denial {
                retry_later(Reason::StaleCatalog)
            } else {
                Refusal::new(reason)
            }
        };
        let catalog = observation.value;
        let route_key = catalog.route_of(&head.host, head.path.path());
        let route_key = route_key.ok_or_else(|| deny(Reason::NoRoute))?;
        let (workspace, tier) = match catalog.access(route_key, head.bearer_key.as_deref()) {
            Access::Denied => return Err(deny(Reason::UnknownKey)),
            Access::Open => (None, None),
            Access::Workspace(_) if age > self.freshness.max_age_with_key => {
                return Err(retry_later(Reason::StaleCatalog));
            }
            Access::Workspace(workspace) => (Some(workspace.name.clone()), workspace.tier),
        };
        if self.gateway.board.quarantine.age().is_none()
            && self.gateway.board.now().since(self.gateway.started_at) < MAX_HISTORY_WAIT
        {
            return Err(retry_later(Reason::Starting));
        }
        let route = catalog.route(route_key);
        let is_stopping = matches!(*self.phases.borrow(), Phase::Refusing | Phase::Closing);
        if is_stopping && route.kind.is_stream() {
            return Err(Refusal::with_retry_after(Reason::Stopping, STOPPING_RETRY_DELAY));
        }
        let timeout = head
            .remaining
            .map_or(route.timeout, |remaining| remaining.min(route.timeout));
        Ok(Grant {
            workspace,
            deadline: arrived_at + timeout,
            deadline_timestamp: self.gateway.board.now() + timeout.saturating_sub(arrived_at.elapsed()),
            tier: tier.unwrap_or(route.tier),
            retryable: route.kind.is_retryable(),
            route: route_key,
            catalog,
        })
    }
}

/// What the catalog says about an admitted request.
struct Grant {
    catalog: Arc<Catalog>,
    route: sparscale_catalog::RouteKey,
    workspace: Option<String>,
    tier: u8,
    deadline: Instant,
    deadline_timestamp: Timestamp,
    retryable: bool,
}

impl Grant {
    fn into_job(self, head: Head, body: bytes::Bytes, arrived_at: Instant) -> Job {
        let workspace = self.workspace.as_deref();
        let fingerprint = Fingerprint::of(head.method.as_str(), head.path.as_str(), workspace, &body);
        let shared_parts = head.shared_parts.iter().map(|id| Fingerprint::of_part(id.as_bytes()));
        let content = Content::new(fingerprint, shared_parts);
        Job {
            outbound: Outbound {
                head,
                body,
                content,
                workspace: workspace.and_then(workspace_header),
                deadline: self.deadline,
                deadline_timestamp: self.deadline_timestamp,
                retryable: self.retryable,
                last_event_id: None,
                urgency: Some(self.tier.min(9)),
            },
            catalog: self.catalog,
            route: self.route,
            arrived_at,
        }
    }
}

fn log_refusal(head: &Head, refusal: Refusal, board: &Board) {
    let catalog = board.catalog();
    log::warn!(
        target: DECISION,
        decision = "refuse",
        request = head.id_text(),
        reason = refusal.reason.name(),
        version = catalog.as_ref().map(|observation| observation.position.offset),
        age_ms = catalog.map(|observation| observation.age(board.now()).as_millis() as u64);
        "request rejected"
    );
}
