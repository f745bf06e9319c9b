//! Requests are routed only to targets that accept work, and to the one with the smallest cost for its group.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]

use std::collections::HashMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use sparscale_board::{Board, Load, Standing, TargetKey, prefix_blocks};
use sparscale_bundle::{
    Bundle, Document, Fleet, Group, Hall, KeyHash, Limits, Model, Operator, Placement, Target, Tier, Workspace, sign,
};
use sparscale_route::{Request, Rule, choose};

const RANKS: usize = 6;
const NOW: Duration = Duration::from_secs(10);

fn bundle() -> Bundle {
    let operator = |name: &str| Operator {
        name: name.to_owned(),
        key: sign::encode_public_key(&sign::generate_key()),
    };
    let names: Vec<String> = (0..RANKS).map(|rank| format!("rank-{rank}")).collect();
    let target = |name: &String| Target {
        name: name.clone(),
        hall: "derby".to_owned(),
        checks_fence: true,
    };
    let document = Document {
        version: 1,
        fleet: Fleet {
            operators: vec![operator("alice"), operator("bob")],
            halls: vec![Hall {
                name: "derby".to_owned(),
                region: "midlands".to_owned(),
            }],
            tiers: vec![Tier {
                name: "gold".to_owned(),
            }],
            models: vec![Model {
                name: "lark".to_owned(),
                version: "1".to_owned(),
            }],
            services: Vec::new(),
            groups: vec![Group {
                name: "lark-a".to_owned(),
                model: "lark".to_owned(),
                ranks: names.clone(),
                layers: 1,
                experts: 6,
                slots: 2,
                expert_bytes: 1,
            }],
            targets: names.iter().map(target).collect(),
            placement: Placement {
                weight_skew: 1.0,
                weight_move: 1.0,
                move_budget: 1,
                quiet_hours: Vec::new(),
                half_life_seconds: 1.0,
                weight_store_bytes_per_second: 1.0,
            },
            limits: Limits {
                in_flight_per_target: 100,
                queue_per_target: 100,
                floor_one_in: 2,
                deadline_ms: 1_000,
                retry_percent: 10,
                candidates: 40,
            },
        },
        workspaces: vec![Workspace {
            name: "teal".to_owned(),
            tier: "gold".to_owned(),
            weight: 1,
            key_hashes: vec![KeyHash::of("key")],
            in_flight: 1,
        }],
    };
    Bundle::try_from(document).expect("a valid bundle")
}

fn board(standings: &[Standing]) -> (Board, Vec<TargetKey>) {
    let mut board = Board::new("derby");
    board.apply_bundle(&bundle());
    let address = "127.0.0.1:1".parse().expect("an address");
    let listed: HashMap<_, _> = standings
        .iter()
        .enumerate()
        .filter(|(_, standing)| **standing != Standing::Absent)
        .map(|(rank, standing)| (format!("rank-{rank}"), (address, *standing)))
        .collect();
    board.apply_box_list(&listed);
    let keys = (0..RANKS).map(|rank| board.find(&format!("rank-{rank}")).expect("on the board"));
    let keys = keys.collect();
    (board, keys)
}

fn request() -> Request {
    Request {
        prompt_tokens: 100,
        response_tokens: 50,
        block_hashes: Vec::new(),
    }
}

/// State of each rank: standing, running requests, whether its agent is closed, and whether the last connection failed.
#[derive(Clone, Debug)]
struct RankStates(Vec<(u8, u8, bool, bool)>);

impl Arbitrary for RankStates {
    fn arbitrary(g: &mut Gen) -> Self {
        let rank = |g: &mut Gen| {
            (
                u8::arbitrary(g) % 3,
                u8::arbitrary(g) % 20,
                u8::arbitrary(g) % 4 == 0,
                u8::arbitrary(g) % 4 == 0,
            )
        };
        Self((0..RANKS).map(|_| rank(g)).collect())
    }
}

#[test]
fn only_targets_accepting_work() {
    fn property(states: RankStates) -> bool {
        let standing = |which: u8| match which {
            0 => Standing::Live,
            1 => Standing::Draining,
            _ => Standing::Absent,
        };
        let standings: Vec<Standing> = states.0.iter().map(|(which, ..)| standing(*which)).collect();
        let (mut board, keys) = board(&standings);
        let mut usable = Vec::new();
        for (key, (which, running, is_closed, has_failed)) in keys.iter().zip(&states.0) {
            let load = Load {
                incarnation: 1,
                running: u32::from(*running),
                is_closed: *is_closed,
                ..Load::default()
            };
            board.apply_load(*key, load, NOW);
            if *has_failed {
                board.record_failure(*key, NOW);
            }
            if *which == 0 && !is_closed && !has_failed {
                usable.push(*key);
            }
        }
        let rules = [Rule::GroupCost, Rule::TwoChoices, Rule::RoundRobin(7), Rule::Random];
        rules.into_iter().all(|rule| {
            let mut random = ChaCha8Rng::seed_from_u64(1);
            match choose(&board, &keys, &request(), rule, NOW, &mut random) {
                Ok(decision) => usable.contains(&decision.target),
                Err(error) => usable.is_empty() && error.retry_after > Duration::ZERO,
            }
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 61))
        .tests(3_000)
        .quickcheck(property as fn(RankStates) -> bool);
}

/// A single entry knows all loads without delay, so it always chooses the least loaded rank.
#[test]
fn own_requests_counted_without_lag() {
    fn property(states: RankStates) -> bool {
        let (mut board, keys) = board(&[Standing::Live; RANKS]);
        let mut counter = 0;
        for (key, (_, running, ..)) in keys.iter().zip(&states.0) {
            for _ in 0..*running {
                counter += 1;
                board.record_sent(*key, counter, 0, &[], NOW);
            }
        }
        let least = states.0.iter().map(|(_, running, ..)| *running).min();
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let decision = choose(&board, &keys, &request(), Rule::GroupCost, NOW, &mut random).expect("all are live");
        let index = keys
            .iter()
            .position(|key| *key == decision.target)
            .expect("a candidate");
        Some(states.0[index].1) == least
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 62))
        .tests(1_000)
        .quickcheck(property as fn(RankStates) -> bool);
}

#[test]
fn cached_prefix_wins() {
    let (mut board, keys) = board(&[Standing::Live; RANKS]);
    let blocks = prefix_blocks(&[b'p'; 4_096]);
    board.record_sent(keys[4], 1, 0, &blocks, NOW);
    board.record_end(keys[4], 1, NOW);
    let request = Request {
        prompt_tokens: 1_024,
        response_tokens: 1,
        block_hashes: blocks,
    };
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let decision = choose(&board, &keys, &request, Rule::GroupCost, NOW, &mut random).expect("all are live");
    assert_eq!(decision.target, keys[4]);
}

#[test]
fn replaced_box_resets_load() {
    let (mut board, keys) = board(&[Standing::Live; RANKS]);
    let busy = Load {
        incarnation: 5,
        running: 50,
        ..Load::default()
    };
    board.apply_load(keys[0], busy, NOW);
    let earlier = Load {
        incarnation: 4,
        ..Load::default()
    };
    board.apply_load(keys[0], earlier, NOW);
    assert_eq!(
        board.target(keys[0]).map(|target| target.load.running),
        Some(50),
        "a report of an earlier run"
    );
    let moved = "127.0.0.1:2".parse().expect("an address");
    board.apply_box_list(&HashMap::from([("rank-0".to_owned(), (moved, Standing::Live))]));
    assert_eq!(board.target(keys[0]).map(|target| target.load), Some(Load::default()));
}
