//! Rollouts to a hundred followers in one process: time to in force, bytes and processor time of each.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sparscale_bundle::Bundle;
use sparscale_control::{Follower, HttpBoxes, Journal, Settings, serve_follower, watch_boxes};
use sparscale_fleet::{Fleet, Plan, eventually};
use sparscale_journal::{Content, HttpLog, Reader, Record, Settled, Writer};
use sparscale_standin::boxes::{List, Listed, Role, Standing};
use sparscale_wire::{Ask, Endpoint, Files, Frame, Identity};

use crate::fold::{large_bundle, next_version};
use crate::operators::Operators;
use crate::usage::{loopback_bytes, processor_seconds, resident_mib};

const FOLLOWERS: usize = 100;
const WORKSPACES: usize = 8_500;
const CHANGES: usize = 20;
const WHOLE_CHANGES: usize = 3;
const IDLE: Duration = Duration::from_secs(20);
const CHANGES_A_DAY: f64 = 4_500.0;
const DAY_SECONDS: f64 = 86_400.0;

struct Site {
    journals: Vec<Arc<Journal>>,
    writer: Writer,
    operators: Operators,
    bundle: Bundle,
}

/// What a span of time cost one follower.
struct Cost {
    seconds: f64,
    bytes: f64,
    processor: f64,
}

pub(crate) async fn run() -> Result<(), String> {
    let mut fleet = Fleet::prepare(
        "rollout",
        Plan {
            ranks: 1,
            services: 0,
            entries: 0,
            ..Plan::default()
        },
    )?;
    fleet.start_platform().await?;
    fleet.put_boxes(&list(&fleet)?).await?;
    let mut site = start(&fleet).await?;
    println!("{FOLLOWERS} followers in one process, {WORKSPACES} workspaces, 2 halls");
    site.first_rollout().await?;
    println!(
        "memory of all followers: {:.0} MiB, {:.1} each",
        resident_mib(std::process::id())?,
        resident_mib(std::process::id())? / FOLLOWERS as f64
    );
    let idle = measure(async {
        tokio::time::sleep(IDLE).await;
        Ok(())
    })
    .await?;
    idle.print("steady state");
    let mut spans = Vec::new();
    let deltas = measure(async {
        for _ in 0..CHANGES {
            spans.push(site.change(false).await?);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    })
    .await?;
    deltas.print("one delta every 200 ms");
    spans.sort_by(f64::total_cmp);
    println!(
        "roll accepted to in force everywhere: median {:.0} ms, worst {:.0} ms of {CHANGES}",
        spans[CHANGES / 2],
        spans[CHANGES - 1]
    );
    let per_delta = deltas.per_change(&idle, CHANGES);
    let whole = measure(async {
        for _ in 0..WHOLE_CHANGES {
            site.change(true).await?;
        }
        Ok(())
    })
    .await?;
    let per_whole = whole.per_change(&idle, WHOLE_CHANGES);
    let rate = CHANGES_A_DAY / DAY_SECONDS;
    for (name, (bytes, processor)) in [("deltas", per_delta), ("whole bundles", per_whole)] {
        println!(
            "{name:<14} {bytes:>9.0} B and {:>7.3} ms of processor a change and follower; at 4,500 a day: {:>7.0} B/s, {:.3} % of a core, with the steady state",
            processor * 1_000.0,
            idle.bytes / idle.seconds + bytes * rate,
            (idle.processor / idle.seconds + processor * rate) * 100.0
        );
    }
    Ok(())
}

async fn measure(work: impl Future<Output = Result<(), String>>) -> Result<Cost, String> {
    let own = std::process::id();
    let (bytes, processor, began) = (loopback_bytes()?, processor_seconds(own)?, Instant::now());
    work.await?;
    Ok(Cost {
        seconds: began.elapsed().as_secs_f64(),
        bytes: (loopback_bytes()? - bytes) / FOLLOWERS as f64,
        processor: (processor_seconds(own)? - processor) / FOLLOWERS as f64,
    })
}

impl Cost {
    fn print(&self, name: &str) {
        println!(
            "{name}: {:.0} B/s and {:.3} % of a core each, over {:.0} s",
            self.bytes / self.seconds,
            self.processor / self.seconds * 100.0,
            self.seconds
        );
    }

    /// Bytes and processor seconds of one change, beyond the steady state.
    fn per_change(&self, idle: &Self, changes: usize) -> (f64, f64) {
        let beyond =
            |all: f64, idle: f64, idle_seconds: f64| (all - idle / idle_seconds * self.seconds) / changes as f64;
        (
            beyond(self.bytes, idle.bytes, idle.seconds),
            beyond(self.processor, idle.processor, idle.seconds),
        )
    }
}

impl Site {
    async fn first_rollout(&mut self) -> Result<(), String> {
        let bodies = self.operators.rollout(None, &self.bundle);
        let took = self.roll(bodies, 1).await?;
        println!("first bundle, whole: in force everywhere {took:.0} ms after its roll was accepted");
        Ok(())
    }

    /// Rolls one change and returns the time from the roll's acceptance to in force everywhere, in ms.
    async fn change(&mut self, whole: bool) -> Result<f64, String> {
        let next = next_version(&self.bundle)?;
        let mut bodies = self.operators.rollout(Some(&self.bundle), &next);
        if whole {
            let content = Content::Whole(next.clone());
            bodies[0] = self.operators.publish_content(self.bundle.version(), &next, content);
        }
        self.bundle = next;
        let version = self.bundle.version();
        self.roll(bodies, version).await
    }

    async fn roll(&mut self, bodies: Vec<sparscale_journal::Body>, version: u64) -> Result<f64, String> {
        let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
        for body in bodies {
            match self.writer.submit(&Record::new(body), deadline).await {
                Settled::Judged(_) => {}
                other => return Err(format!("{other:?}")),
            }
        }
        let began = Instant::now();
        for journal in &self.journals {
            let mut heads = journal.heads();
            while journal
                .in_force()
                .is_none_or(|certificate| certificate.bundle.version() < version)
            {
                heads.changed().await.map_err(|error| error.to_string())?;
            }
        }
        Ok(began.elapsed().as_secs_f64() * 1_000.0)
    }
}

fn address(fleet: &Fleet, index: usize) -> Result<SocketAddr, String> {
    let log = fleet.standin_url("log")?;
    let host = log.trim_start_matches("http://").split(':').next().unwrap_or_default();
    let host: IpAddr = host.parse().map_err(|_format| format!("{host} is no address"))?;
    Ok(SocketAddr::new(host, 9_000 + index as u16))
}

fn hall(index: usize) -> String {
    format!("hall-{}", index % 2)
}

fn list(fleet: &Fleet) -> Result<List, String> {
    let boxes: Result<Vec<Listed>, String> = (0..FOLLOWERS)
        .map(|index| {
            Ok(Listed {
                name: format!("follower-{index}"),
                role: Role::Target,
                hall: hall(index),
                address: address(fleet, index)?.to_string(),
                standing: Standing::Live,
            })
        })
        .collect();
    Ok(List {
        boxes: boxes?,
        lag_ms: 0,
    })
}

async fn start(fleet: &Fleet) -> Result<Site, String> {
    let operators = Operators::new();
    let log_url = fleet.standin_url("log")?;
    let log = || Arc::new(HttpLog::new(&log_url, Duration::from_secs(5)));
    let mut journals = Vec::new();
    for index in 0..FOLLOWERS {
        let identity = Identity::Files(Files {
            certificate: fleet.folder().join("agent.pem"),
            key: fleet.folder().join("agent.key"),
            authority: fleet.folder().join("authority.pem"),
        });
        let endpoint = Endpoint::bind(address(fleet, index)?, identity).map_err(|error| error.to_string())?;
        let endpoint = Arc::new(endpoint);
        let journal = Arc::new(Journal::new(log(), operators.public()));
        let boxes = watch_boxes(
            Box::new(HttpBoxes::new(&fleet.standin_url("boxes")?)),
            Duration::from_secs(5),
        );
        let settings = Settings {
            name: format!("follower-{index}"),
            hall: hall(index),
            snapshot_every: 1_000_000,
        };
        // A follower that knows the list follows a peer from the start.
        let mut listed = boxes.clone();
        listed.changed().await.map_err(|error| error.to_string())?;
        tokio::spawn(accept(Arc::clone(&journal), Arc::clone(&endpoint)));
        tokio::spawn(Follower::new(settings, Arc::clone(&journal), endpoint, boxes).run());
        journals.push(journal);
    }
    let all = &journals;
    eventually("all followers have heard from the log", || async {
        all.iter().all(|journal| journal.has_caught_up()).then_some(())
    })
    .await?;
    let bundle = large_bundle(WORKSPACES, operators.public())?;
    Ok(Site {
        journals,
        writer: Writer::new(log(), Reader::new(operators.public())),
        operators,
        bundle,
    })
}

async fn accept(journal: Arc<Journal>, endpoint: Arc<Endpoint>) {
    while let Ok(incoming) = endpoint.accept().await {
        let journal = Arc::clone(&journal);
        tokio::spawn(async move {
            let Ok(peer) = incoming.establish().await else { return };
            while let Ok(mut channel) = peer.accept().await {
                let journal = Arc::clone(&journal);
                tokio::spawn(async move {
                    if let Ok(Frame::Ask(Ask::Follow { head, version })) = channel.receiver.receive().await {
                        // A follower that goes away ends the stream.
                        let _gone = serve_follower(journal, head, version, channel.sender).await;
                    }
                });
            }
        });
    }
}
