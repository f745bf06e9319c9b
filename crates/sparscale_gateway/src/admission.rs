//! Decides whether a request may be served, from what this entry has observed of the catalog and the quarantine.
//!
//! Limits, route, key and deadline are checked here, before a request reaches a queue or a target.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body as _, Incoming};
use sparscale_belief::{Board, MAX_HISTORY_WAIT};
use sparscale_catalog::{Access, Catalog, Limits};
use sparscale_clock::Timestamp;
use sparscale_intake::{
    Body, BodyError, BodyReader, Connection, Handler, Owner, Phase, RequestBody, RequestSpan, STALL_TIME,
};
use sparscale_quarantine::{Content, Fingerprint};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::attempt::Outbound;
use crate::exchange::{Gateway, Job, workspace_header};
use crate::exit::stopping_refusal;
use crate::head::{Head, head_bytes};
use crate::refusal::{Reason, Refusal};

/// `Retry-After` of a rejection for missing or outdated state of this entry.
const INCOMPLETE_STATE_RETRY_DELAY: Duration = Duration::from_millis(400);

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

impl Handler for Admission {
    /// Current limits for requests from callers.
    fn limits(&self) -> Limits {
        let catalog = self.gateway.board.catalog();
        catalog
            .map(|observation| *observation.value.limits())
            .unwrap_or_default()
    }

    /// Checks, reads and serves one request.
    async fn handle(&self, request: Request<Incoming>, span: &Arc<RequestSpan>) -> Response<Body> {
        let arrived_at = Instant::now();
        let (parts, mut incoming) = request.into_parts();
        let limits = self.limits();
        let head_bytes = head_bytes(&parts);
        let waits_for_decision = parts.headers.contains_key(http::header::EXPECT);
        let head = Head::new(parts, &self.gateway.target_client.header_names);
        let read = if head_bytes > limits.max_header_bytes {
            Err(Refusal::new(Reason::HeadTooLong))
        } else {
            tokio::select! {
                biased;
                read = self.read_admitted(&head, &mut incoming, &limits, span.connection(), arrived_at) => read,
                () = self.gateway.exit.responses_due() => Err(stopping_refusal()),
            }
        };
        let job = match read {
            Ok((grant, body)) => grant.into_job(head, body, Arc::clone(span.connection()), arrived_at),
            Err(refusal) => {
                // A caller that waits for the decision has not sent the body.
                if !incoming.is_end_stream() && !waits_for_decision {
                    Arc::clone(span).discard(incoming, limits.max_body_bytes);
                }
                return self.reject(&head, refusal);
            }
        };
        match self.gateway.quarantine_refusal(&job.outbound.content) {
            Some(refusal) => self.reject(&job.outbound.head, refusal),
            None => self.gateway.serve(job).await,
        }
    }
}

impl Admission {
    /// Decides about a request by its head, before its body costs anything, and again once the body has arrived.
    async fn read_admitted(
        &self,
        head: &Head,
        incoming: &mut Incoming,
        limits: &Limits,
        connection: &Arc<Connection>,
        arrived_at: Instant,
    ) -> Result<(Grant, RequestBody), Refusal> {
        let grant = self.admit(head, arrived_at)?;
        if incoming.is_end_stream() {
            return Ok((grant, RequestBody::default()));
        }
        let reader = BodyReader {
            connection,
            owner: grant.owner(),
            limits,
            deadline: grant.deadline,
        };
        let body = reader.read(incoming).await.map_err(body_refusal)?;
        Ok((self.admit(head, arrived_at)?, body))
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
            return Err(stopping_refusal());
        }
        if let Some(refusal) = self.gateway.exit.refusal(head, route, arrived_at) {
            return Err(refusal);
        }
        let deadline = self.gateway.exit.limit(arrived_at + head.timeout(route));
        Ok(Grant {
            workspace,
            deadline,
            deadline_timestamp: self.gateway.board.now() + deadline.saturating_duration_since(Instant::now()),
            tier: tier.unwrap_or(route.tier),
            retryable: route.kind.is_retryable(),
            is_stream: route.kind.is_stream(),
            route: route_key,
            catalog,
        })
    }
}

/// The refusal of a request whose body was not read.
fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLong => Refusal::new(Reason::BodyTooLong),
        BodyError::NoRoom => Refusal::with_retry_after(Reason::NoRoom, STALL_TIME),
        BodyError::Stalled => Refusal::with_retry_after(Reason::BodyStalled, STALL_TIME),
        BodyError::Late => Refusal::retry_immediately(Reason::BodyTimeout),
        BodyError::Unreadable => Refusal::new(Reason::BodyUnreadable),
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
    is_stream: bool,
}

impl Grant {
    /// Whose room the body takes.
    fn owner(&self) -> Owner {
        self.workspace.as_deref().map_or(Owner::Public, Owner::of_workspace)
    }

    fn into_job(self, head: Head, body: RequestBody, connection: Arc<Connection>, arrived_at: Instant) -> Job {
        let workspace = self.workspace.as_deref();
        let (method, path) = (head.method.as_str(), head.path.as_str());
        let fingerprint = Fingerprint::of_segments(method, path, workspace, body.as_slice());
        let shared_parts = head.shared_parts.iter().map(|id| Fingerprint::of_part(id.as_bytes()));
        let content = Content::new(fingerprint, shared_parts);
        Job {
            outbound: Outbound {
                head,
                body,
                connection,
                content,
                workspace: workspace.and_then(workspace_header),
                deadline: self.deadline,
                deadline_timestamp: self.deadline_timestamp,
                retryable: self.retryable,
                is_stream: self.is_stream,
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
