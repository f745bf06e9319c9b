//! The engines of a group, each with an address of its own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::group::Group;
use crate::places::{Net, Size};
use crate::platform::Platform;
use crate::server::{self, Content};

const PASS: Duration = Duration::from_millis(8);
/// Passes between two shifts of demand; frequent enough that most faults coincide with a map switch.
const SHIFT: u32 = 90;
/// Time after which an unanswered call fails; longer than any client waits.
const UNANSWERED: Duration = Duration::from_secs(1);

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
            let serving = Arc::clone(&engines);
            server::serve(net.engine(size.agent(rank)), move |request| {
                let engines = Arc::clone(&serving);
                async move { engines.answer(rank, request).await }
            })
            .await?;
        }
        if size.ranks > 0 {
            tokio::spawn(run(Arc::clone(&engines)));
        }
        Ok(engines)
    }

    pub(crate) fn group(&self) -> MutexGuard<'_, Group> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, rank: usize, request: Request<Incoming>) -> Response<Content> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(http_body_util::Collected::to_bytes);
        let answer = body.ok().and_then(|body| {
            let call = Request::from_parts(head, body);
            self.platform.answer_of_engine(&call, rank, &mut self.group())
        });
        let Some(answer) = answer else {
            tokio::time::sleep(UNANSWERED).await;
            return server::boxed(server::unavailable());
        };
        server::boxed(answer)
    }
}

/// Runs passes at an interval; never returns.
async fn run(engines: Arc<Engines>) {
    let mut tick = tokio::time::interval(PASS);
    let mut passes = 0_u32;
    loop {
        tick.tick().await;
        passes += 1;
        let mut group = engines.group();
        if passes.is_multiple_of(SHIFT) {
            group.shift();
        }
        group.pass(Instant::now());
    }
}
