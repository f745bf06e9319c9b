//! Decides whether a request may be served, from what this entry has observed of the catalog and the quarantine.
//!
//! Limits, route, key and deadline are checked here, before a request reaches a queue or a target.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use sparscale_belief::Board;
use sparscale_catalog::{Access, Catalog, Limits};
use sparscale_clock::Moment;
use sparscale_quarantine::Fingerprint;
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::attempt::Outbound;
use crate::body::Body;
use crate::exchange::{Gateway, Job, header_of};
use crate::head::{Head, length_of};
use crate::incoming::read_body;
use crate::refusal::{Reason, Refusal};

/// `Retry-After` of a rejection for missing or outdated state of this entry.
const UNSURE_RETRY: Duration = Duration::from_millis(400);
/// Time after the start of the process during which requests are rejected while the list of requests that crash targets
/// has not been read. After that they are served: an unavailable store must not stop all traffic, and this entry also
/// counts the targets that terminate under a request.
const STRIKES_LIMIT: Duration = Duration::from_secs(2);

/// Maximum age of the catalog for decisions that depend on it.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// For a request with a key, because the key may have been revoked since. With [`Duration::MAX`] the last known
    /// keys stay valid until newer ones arrive, so that an outage of the store rejects no caller.
    pub keyed: Duration,
    /// For reporting that a route or key does not exist, because it may have been added since.
    pub denial: Duration,
}

/// Checks requests and passes the admitted ones on to the [`Gateway`].
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) freshness: Freshness,
}

impl Admission {
    /// Current limits for requests from callers.
    pub(crate) fn limits(&self) -> Limits {
        let catalog = self.gateway.board.catalog();
        catalog.map(|belief| *belief.value.limits()).unwrap_or_default()
    }

    /// Reads, checks and serves one request.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let began = Instant::now();
        let (parts, incoming) = request.into_parts();
        let limits = self.limits();
        let too_long = length_of(&parts) > limits.header_bytes;
        let head = Head::new(parts, &self.gateway.caller.dialect);
        let refused = match read_body(incoming, &limits).await {
            Ok(_) if too_long => Refusal::new(Reason::HeadTooLong),
            Ok(body) => match self.admit(&head, began) {
                Ok(admitted) => {
                    let job = admitted.into_job(head, body, began);
                    match self.gateway.held(job.outbound.fingerprint) {
                        Some(refusal) => return self.refuse(&job.outbound.head, refusal),
                        None => return self.gateway.serve(job).await,
                    }
                }
                Err(refusal) => refusal,
            },
            Err(refusal) => refusal,
        };
        self.refuse(&head, refused)
    }

    fn refuse(&self, head: &Head, refused: Refusal) -> Response<Body> {
        self.gateway.figures.refused(refused.reason);
        log_refusal(head, refused, &self.gateway.board);
        refused.response(&self.gateway.caller.dialect.request_id, head.id.as_ref())
    }

    fn admit(&self, head: &Head, began: Instant) -> Result<Admitted, Refusal> {
        let unsure = |reason| Refusal::retry(reason, UNSURE_RETRY);
        let belief = self.gateway.board.catalog().ok_or_else(|| unsure(Reason::NoCatalog))?;
        let age = belief.age(self.gateway.board.now());
        // A missing route or key may have been added since the catalog was read.
        let deny = |reason| {
            if age > self.freshness.denial {
                unsure(Reason::StaleCatalog)
            } else {
                Refusal::new(reason)
            }
        };
        let catalog = belief.value;
        let route = catalog.route_of(&head.host, head.path.path());
        let route = route.ok_or_else(|| deny(Reason::NoRoute))?;
        let (workspace, tier) = match catalog.access(route, head.bearer.as_deref()) {
            Access::Denied => return Err(deny(Reason::NoKey)),
            Access::Open => (None, None),
            Access::Workspace(_) if age > self.freshness.keyed => return Err(unsure(Reason::StaleCatalog)),
            Access::Workspace(workspace) => (Some(workspace.name.clone()), workspace.tier),
        };
        if self.gateway.board.quarantine.age().is_none()
            && self.gateway.board.now().since(self.gateway.started) < STRIKES_LIMIT
        {
            return Err(unsure(Reason::Starting));
        }
        let described = catalog.route(route);
        let allowed = head
            .deadline
            .map_or(described.timeout, |deadline| deadline.min(described.timeout));
        Ok(Admitted {
            workspace,
            until: began + allowed,
            due: self.gateway.board.now() + allowed.saturating_sub(began.elapsed()),
            tier: tier.unwrap_or(described.tier),
            may_repeat: described.kind.may_repeat(),
            route,
            catalog,
        })
    }
}

/// What the catalog says about an admitted request.
struct Admitted {
    catalog: Arc<Catalog>,
    route: sparscale_catalog::RouteKey,
    workspace: Option<String>,
    tier: u8,
    until: Instant,
    due: Moment,
    may_repeat: bool,
}

impl Admitted {
    fn into_job(self, head: Head, body: bytes::Bytes, began: Instant) -> Job {
        let workspace = self.workspace.as_deref();
        let fingerprint = Fingerprint::of(head.method.as_str(), head.path.as_str(), workspace, &body);
        Job {
            outbound: Outbound {
                head,
                body,
                fingerprint,
                workspace: workspace.and_then(header_of),
                until: self.until,
                due: self.due,
                may_repeat: self.may_repeat,
                last_event: None,
                urgency: Some(self.tier.min(9)),
            },
            catalog: self.catalog,
            route: self.route,
            began,
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
        version = catalog.as_ref().map(|belief| belief.position.offset),
        age_ms = catalog.map(|belief| belief.age(board.now()).as_millis() as u64);
        "request rejected"
    );
}
