//! The engines of a group, each with an address of its own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::group::Group;
use crate::layout::{Net, Size};
use crate::platform::Platform;
use crate::server::{self, Content};

const PASS_INTERVAL: Duration = Duration::from_millis(8);
/// Passes between two shifts of demand; frequent enough that most faults coincide with a map switch.
const PASSES_PER_DEMAND_SHIFT: u32 = 90;
/// Time after which an unanswered call fails; longer than any client waits.
const UNANSWERED_CALL_TIME: Duration = Duration::from_secs(1);

/// All engines of the group.
pub(crate) struct Engines {
    platform: Arc<dyn Platform>,
    group: Mutex<Group>,
}

impl Engines {
    /// Starts the engines and their passes.
    pub(crate) async fn start(platform: Arc<dyn Platform>, net: Net, size: Size) -> std::io::Result<Arc<Self>> {
        let engines = Arc::new(Self {
            platform,
            group: Mutex::new(Group::new(size.ranks, Instant::now())),
        });
        for rank in 0..size.ranks {
            let server_engines = Arc::clone(&engines);
            server::serve(net.engine_address(size.agent_index(rank)), move |request| {
                let engines = Arc::clone(&server_engines);
                async move { engines.handle(rank, request).await }
            })
            .await?;
        }
        if size.ranks > 0 {
            tokio::spawn(run_passes(Arc::clone(&engines)));
        }
        Ok(engines)
    }

    pub(crate) fn group(&self) -> MutexGuard<'_, Group> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, rank: usize, request: Request<Incoming>) -> Response<Content> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(http_body_util::Collected::to_bytes);
        let response = body.ok().and_then(|body| {
            let call = Request::from_parts(head, body);
            self.platform.handle_engine_call(&call, rank, &mut self.group())
        });
        let Some(response) = response else {
            tokio::time::sleep(UNANSWERED_CALL_TIME).await;
            return server::boxed(server::unavailable());
        };
        server::boxed(response)
    }
}

/// Runs passes at an interval; never returns.
async fn run_passes(engines: Arc<Engines>) {
    let mut interval = tokio::time::interval(PASS_INTERVAL);
    let mut pass_count = 0_u32;
    loop {
        interval.tick().await;
        pass_count += 1;
        let mut group = engines.group();
        if pass_count.is_multiple_of(PASSES_PER_DEMAND_SHIFT) {
            group.shift_demand();
        }
        group.pass(Instant::now());
    }
}
