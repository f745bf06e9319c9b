//! Measures rollouts to a hundred followers in one process: time until active, traffic and processor time of each.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sparscale_bundle::Bundle;
use sparscale_control::{Follower, FollowerSettings, HttpBoxList, Journal, serve_follower, watch_boxes};
use sparscale_fleet::{Fleet, Plan, eventually};
use sparscale_journal::{BundleContent, HttpLog, Reader, Record, SubmitOutcome, Writer};
use sparscale_standin::boxes::{BoxList, ListedBox, Role, Standing};
use sparscale_wire::{CertificateFiles, Endpoint, Frame, Identity, StreamRequest};

use crate::fold::{large_bundle, next_version};
use crate::operators::Operators;
use crate::usage::{loopback_bytes, processor_seconds, resident_mib};

const FOLLOWER_COUNT: usize = 100;
const WORKSPACE_COUNT: usize = 8_500;
/// Changes that are published as a delta.
const DELTA_COUNT: usize = 20;
/// Changes that are published as a whole bundle.
const WHOLE_BUNDLE_COUNT: usize = 3;
/// Duration of the run without changes, which gives the use of resources in the steady state.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Rate of changes for which the totals are extrapolated.
const CHANGES_PER_DAY: f64 = 4_500.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The followers' journals, and what publishes to them.
struct RolloutBench {
    journals: Vec<Arc<Journal>>,
    writer: Writer,
    operators: Operators,
    bundle: Bundle,
}

/// Traffic and processor time of one follower over `seconds`.
struct ResourceUse {
    seconds: f64,
    bytes: f64,
    processor_secs: f64,
}

pub(crate) async fn run() -> Result<(), String> {
    let mut fleet = Fleet::prepare(
        "rollout",
        Plan {
            rank_count: 1,
            service_count: 0,
            entry_count: 0,
            ..Plan::default()
        },
    )?;
    fleet.start_platform().await?;
    fleet.put_boxes(&box_list(&fleet)?).await?;
    let mut bench = start_followers(&fleet).await?;
    println!("{FOLLOWER_COUNT} followers in one process, {WORKSPACE_COUNT} workspaces, 2 halls");
    bench.first_rollout().await?;
    println!(
        "memory of all followers: {:.0} MiB, {:.1} each",
        resident_mib(std::process::id())?,
        resident_mib(std::process::id())? / FOLLOWER_COUNT as f64
    );
    let idle = measure_use(async {
        tokio::time::sleep(IDLE_TIME).await;
        Ok(())
    })
    .await?;
    idle.print("steady state");
    let mut rollout_times_ms = Vec::new();
    let deltas = measure_use(async {
        for _ in 0..DELTA_COUNT {
            rollout_times_ms.push(bench.submit_change(false).await?);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    })
    .await?;
    deltas.print("one delta every 200 ms");
    rollout_times_ms.sort_by(f64::total_cmp);
    println!(
        "roll accepted to in force everywhere: median {:.0} ms, worst {:.0} ms of {DELTA_COUNT}",
        rollout_times_ms[DELTA_COUNT / 2],
        rollout_times_ms[DELTA_COUNT - 1]
    );
    let per_delta = deltas.per_change(&idle, DELTA_COUNT);
    let whole_bundles = measure_use(async {
        for _ in 0..WHOLE_BUNDLE_COUNT {
            bench.submit_change(true).await?;
        }
        Ok(())
    })
    .await?;
    let per_whole = whole_bundles.per_change(&idle, WHOLE_BUNDLE_COUNT);
    let changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY;
    for (name, (bytes, processor_secs)) in [("deltas", per_delta), ("whole bundles", per_whole)] {
        println!(
            "{name:<14} {bytes:>9.0} B and {:>7.3} ms of processor a change and follower; at 4,500 a day: {:>7.0} B/s, {:.3} % of a core, with the steady state",
            processor_secs * 1_000.0,
            idle.bytes / idle.seconds + bytes * changes_per_second,
            (idle.processor_secs / idle.seconds + processor_secs * changes_per_second) * 100.0
        );
    }
    Ok(())
}

/// Returns the resources that each follower uses during `work`.
async fn measure_use(work: impl Future<Output = Result<(), String>>) -> Result<ResourceUse, String> {
    let own_pid = std::process::id();
    let (bytes, processor_secs, started) = (loopback_bytes()?, processor_seconds(own_pid)?, Instant::now());
    work.await?;
    Ok(ResourceUse {
        seconds: started.elapsed().as_secs_f64(),
        bytes: (loopback_bytes()? - bytes) / FOLLOWER_COUNT as f64,
        processor_secs: (processor_seconds(own_pid)? - processor_secs) / FOLLOWER_COUNT as f64,
    })
}

impl ResourceUse {
    fn print(&self, name: &str) {
        println!(
            "{name}: {:.0} B/s and {:.3} % of a core each, over {:.0} s",
            self.bytes / self.seconds,
            self.processor_secs / self.seconds * 100.0,
            self.seconds
        );
    }

    /// Returns bytes and processor seconds of one change, without those of the steady state.
    fn per_change(&self, idle: &Self, changes: usize) -> (f64, f64) {
        let per_change_above_idle =
            |total: f64, idle: f64, idle_seconds: f64| (total - idle / idle_seconds * self.seconds) / changes as f64;
        (
            per_change_above_idle(self.bytes, idle.bytes, idle.seconds),
            per_change_above_idle(self.processor_secs, idle.processor_secs, idle.seconds),
        )
    }
}

impl RolloutBench {
    async fn first_rollout(&mut self) -> Result<(), String> {
        let bodies = self.operators.rollout_records(None, &self.bundle);
        let rollout_ms = self.submit_rollout(bodies, 1).await?;
        println!("first bundle, whole: in force everywhere {rollout_ms:.0} ms after its roll was accepted");
        Ok(())
    }

    /// Publishes one change, as a delta or as a whole bundle; returns the same time as [`Self::submit_rollout`].
    async fn submit_change(&mut self, publish_whole: bool) -> Result<f64, String> {
        let next = next_version(&self.bundle)?;
        let mut bodies = self.operators.rollout_records(Some(&self.bundle), &next);
        if publish_whole {
            let content = BundleContent::Whole(next.clone());
            bodies[0] = self
                .operators
                .publish_record_with(self.bundle.version(), &next, content);
        }
        self.bundle = next;
        let version = self.bundle.version();
        self.submit_rollout(bodies, version).await
    }

    /// Submits the records of a rollout. Returns the time in milliseconds from the acceptance of the last one until
    /// `version` is active on all followers.
    async fn submit_rollout(
        &mut self,
        bodies: Vec<sparscale_journal::RecordBody>,
        version: u64,
    ) -> Result<f64, String> {
        let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
        for body in bodies {
            match self.writer.submit(&Record::new(body), deadline).await {
                SubmitOutcome::Judged(_) => {}
                other => return Err(format!("{other:?}")),
            }
        }
        let started = Instant::now();
        for journal in &self.journals {
            let mut heads = journal.subscribe_heads();
            while journal
                .active_certificate()
                .is_none_or(|certificate| certificate.bundle.version() < version)
            {
                heads.changed().await.map_err(|error| error.to_string())?;
            }
        }
        Ok(started.elapsed().as_secs_f64() * 1_000.0)
    }
}

/// Returns the address of follower `index`, on the host of the log.
fn follower_address(fleet: &Fleet, index: usize) -> Result<SocketAddr, String> {
    let log = fleet.standin_url("log")?;
    let host = log.trim_start_matches("http://").split(':').next().unwrap_or_default();
    let host: IpAddr = host.parse().map_err(|_error| format!("{host} is not an IP address"))?;
    Ok(SocketAddr::new(host, 9_000 + index as u16))
}

fn follower_hall(index: usize) -> String {
    format!("hall-{}", index % 2)
}

/// Returns the box list with all followers as targets.
fn box_list(fleet: &Fleet) -> Result<BoxList, String> {
    let boxes: Result<Vec<ListedBox>, String> = (0..FOLLOWER_COUNT)
        .map(|index| {
            Ok(ListedBox {
                name: format!("follower-{index}"),
                role: Role::Target,
                hall: follower_hall(index),
                address: follower_address(fleet, index)?.to_string(),
                standing: Standing::Live,
            })
        })
        .collect();
    Ok(BoxList {
        boxes: boxes?,
        lag_ms: 0,
    })
}

/// Starts all followers and waits until they have caught up with the log.
async fn start_followers(fleet: &Fleet) -> Result<RolloutBench, String> {
    let operators = Operators::new();
    let log_url = fleet.standin_url("log")?;
    let log = || Arc::new(HttpLog::new(&log_url, Duration::from_secs(5)));
    let mut journals = Vec::new();
    for index in 0..FOLLOWER_COUNT {
        let identity = Identity::Files(CertificateFiles {
            certificate: fleet.folder().join("agent.pem"),
            key: fleet.folder().join("agent.key"),
            authority: fleet.folder().join("authority.pem"),
        });
        let endpoint = Endpoint::bind(follower_address(fleet, index)?, identity).map_err(|error| error.to_string())?;
        let endpoint = Arc::new(endpoint);
        let journal = Arc::new(Journal::new(log(), operators.public_operators()));
        let boxes = watch_boxes(
            Box::new(HttpBoxList::new(&fleet.standin_url("boxes")?)),
            Duration::from_secs(5),
        );
        let settings = FollowerSettings {
            name: format!("follower-{index}"),
            hall: follower_hall(index),
            snapshot_every: 1_000_000,
        };
        // Waits for the box list, so that the follower follows a peer from the start.
        let mut box_list_changes = boxes.clone();
        box_list_changes.changed().await.map_err(|error| error.to_string())?;
        tokio::spawn(accept_followers(Arc::clone(&journal), Arc::clone(&endpoint)));
        tokio::spawn(Follower::new(settings, Arc::clone(&journal), endpoint, boxes).run());
        journals.push(journal);
    }
    let all_journals = &journals;
    eventually("all followers have caught up with the log", || async {
        all_journals.iter().all(|journal| journal.has_caught_up()).then_some(())
    })
    .await?;
    let bundle = large_bundle(WORKSPACE_COUNT, operators.public_operators())?;
    Ok(RolloutBench {
        journals,
        writer: Writer::new(log(), Reader::new(operators.public_operators())),
        operators,
        bundle,
    })
}

/// Serves the journal to the followers that connect to `endpoint`.
async fn accept_followers(journal: Arc<Journal>, endpoint: Arc<Endpoint>) {
    while let Ok(incoming) = endpoint.accept().await {
        let journal = Arc::clone(&journal);
        tokio::spawn(async move {
            let Ok(peer) = incoming.establish().await else { return };
            while let Ok(mut channel) = peer.accept().await {
                let journal = Arc::clone(&journal);
                tokio::spawn(async move {
                    if let Ok(Frame::Open(StreamRequest::FollowLog {
                        from_offset: head,
                        bundle_version: version,
                    })) = channel.receiver.receive().await
                    {
                        // The stream ends when the follower closes it.
                        let _closed = serve_follower(journal, head, version, channel.sender).await;
                    }
                });
            }
        });
    }
}
