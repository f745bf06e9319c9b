//! Sample catalogs, rosters and a controllable clock, shared by the tests of several crates.

mod suspendable_clock;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use sparscale_bundle::KeyHash;
use sparscale_catalog::{
    Document, EngineProfile, ExpertLayout, Limits, RequestKind, Roster, Route, Service, Share, Target, TargetStatus,
    Workspace,
};

pub use suspendable_clock::SuspendableClock;

/// Bearer key of the sample workspace.
pub const CALLER_KEY: &str = "sample-key";
/// Host name that every sample route matches.
pub const HOST: &str = "sample.example";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "calc";
/// Name of the model service.
pub const MODEL_SERVICE: &str = "model";

/// Returns a catalog with a route for repeatable requests (`/any/`), one for requests that run at most once (`/once/`),
/// one for resumable streams (`/stream/`), one for streams that can't be resumed (`/cut/`) and one that needs no key
/// (`/open/`).
pub fn document(version: u64) -> Document {
    let stream = |resumable| RequestKind::Stream {
        resumable,
        max_pause: Some(Duration::from_millis(120)),
    };
    Document {
        version,
        routes: vec![
            route("any", RequestKind::Idempotent, PLAIN_SERVICE, 2),
            route("once", RequestKind::AtMostOnce, PLAIN_SERVICE, 1),
            route("stream", stream(true), MODEL_SERVICE, 2),
            route("cut", stream(false), MODEL_SERVICE, 2),
            Route {
                is_public: true,
                ..route("open", RequestKind::Idempotent, PLAIN_SERVICE, 2)
            },
        ],
        services: vec![
            Service {
                name: PLAIN_SERVICE.to_owned(),
                max_connections: 100,
                engine: None,
                cold_start: None,
            },
            Service {
                name: MODEL_SERVICE.to_owned(),
                max_connections: 300,
                engine: Some(engine()),
                cold_start: None,
            },
        ],
        workspaces: vec![Workspace {
            name: "teal".to_owned(),
            tier: Some(1),
            key_hashes: vec![KeyHash::of(CALLER_KEY)],
        }],
        limits: Limits::default(),
    }
}

/// Returns a route called `name` with the prefix `/name/`.
pub fn route(name: &str, kind: RequestKind, service: &str, attempts: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(300),
        tier: 1,
        shares: vec![Share {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: attempts,
        is_public: false,
    }
}

/// Returns the engine settings of a service with a small number of experts.
pub fn engine() -> EngineProfile {
    EngineProfile {
        slots: 12,
        memory_tokens: 280_000,
        steps_per_pass: 4,
        step_ms: 4.55,
        step_ms_per_request: 0.9,
        step_ms_per_thousand_tokens: 0.018,
        prefill_tokens_per_ms: 61.4,
        prefill_ms_per_million_pairs: 0.5,
        prefill_chunk_tokens: 512,
        report_lag_ms: 200.0,
        mean_prompt_tokens: 800,
        mean_response_tokens: 97,
        experts: Some(ExpertLayout {
            set_count: 2,
            experts_per_set: 24,
            max_experts_per_rank: 9,
            spare_experts_per_rank: 3,
            expert_megabytes: 2_200.0,
            load_mbps: 180_000.0,
            expert_work_fraction: 0.85,
            group_recovery_ms: 600.0,
        }),
    }
}

/// Returns a ready target on loopback.
pub fn target(id: &str, service: &str, port: u16) -> Target {
    Target {
        id: id.to_owned(),
        born_ms: None,
        service: service.to_owned(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        hall: "derby".to_owned(),
        slots: 6,
        status: TargetStatus::Ready,
        is_cold: false,
        membership: None,
        is_superseded: false,
    }
}

/// Returns a roster with one target of the plain service and one of the model service.
pub fn roster() -> Roster {
    Roster::new(vec![
        target("c-1", PLAIN_SERVICE, 9_001),
        target("m-1", MODEL_SERVICE, 9_002),
    ])
}
