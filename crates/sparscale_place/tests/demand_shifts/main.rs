//! Replays synthetic selection counts of a group whose demand shifts often: shifts are detected against the noise of
//! the samples, and maps refined from the estimate balance the demand that there really is.

mod demand;
mod estimators;

use std::time::Duration;

use sparscale_place::{LoadLimits, Map, Trend, mean_skew, refine};

use crate::demand::{
    Demand, FLAT, Load, MIX_WINDOWS, PEAKED, Profile, Random, SHAPE, SHIFT_WINDOWS, USUAL_SELECTIONS, WINDOW, Window,
    distance, dominated_mix, is_shift, profiles_and_loads, sample, subject_mix, windows,
};
use crate::estimators::{Estimator, FixedLimit, adaptive, counts, popularity_of, sliding};

const LIMITS: LoadLimits = LoadLimits {
    loads_per_rank: 3,
    loads_per_set: 2,
};
/// Windows from the count of a sample to the first pass with a map that was refined from it.
const SWITCH_WINDOWS: usize = 2;
/// Smallest reduction of the skew for which the map is changed.
const MIN_SKEW_REDUCTION: f64 = 0.08;
/// Mean skew of the passes when maps are refined from the estimates.
fn replayed_skew(windows: &[Window], mut estimator: impl Estimator) -> f64 {
    let mut map = Map::initial(SHAPE);
    let mut next: Option<(usize, Map)> = None;
    let mut skews = Vec::new();
    for (index, window) in windows.iter().enumerate() {
        if let Some((_, active)) = next.take_if(|(at, _)| *at == index) {
            map = active;
        }
        if index >= SHIFT_WINDOWS {
            skews.push(mean_skew(&popularity_of(&scaled(&window.demand)), &map, SHAPE, &[]));
        }
        estimator.observe(&window.sample);
        if next.is_none() {
            let refined = refine(&estimator.estimate(), &map, SHAPE, LIMITS, &[]);
            if refined.skew_before - refined.skew_after >= MIN_SKEW_REDUCTION {
                next = Some((index + SWITCH_WINDOWS, refined.map));
            }
        }
    }
    skews.iter().sum::<f64>() / skews.len() as f64
}

fn scaled(shares: &[f64]) -> Vec<f64> {
    shares.iter().map(|share| share * USUAL_SELECTIONS).collect()
}

/// Mean skews with the fixed limit, the adaptive one and the sliding window.
fn compare(profile: Profile, load: Load) -> [f64; 3] {
    const SEEDS: u64 = 2;
    let mut sums = [0.0; 3];
    for seed in 1..=SEEDS {
        let windows = windows(profile, load, 4 * SHIFT_WINDOWS, seed);
        sums[0] += replayed_skew(&windows, FixedLimit::default());
        sums[1] += replayed_skew(&windows, adaptive());
        sums[2] += replayed_skew(&windows, sliding());
    }
    let means = sums.map(|sum| sum / SEEDS as f64);
    println!(
        "{} demand, {load:?}: fixed limit, adaptive, sliding window: {means:.3?}",
        profile.name
    );
    means
}

/// Fails if shifts of a quarter of the demand are missed, or found where there are none: maps then follow a mixture of
/// old and new demand, or a single noisy sample.
fn check_flat(load: Load) {
    let [fixed, adaptive, sliding] = compare(FLAT, load);
    assert!(
        adaptive <= 1.02 * fixed.min(sliding),
        "{adaptive:.3} with the adaptive limit"
    );
}

#[test]
fn flat_demand_usual_samples() {
    check_flat(Load::Usual);
}

#[test]
fn flat_demand_uneven_samples() {
    check_flat(Load::Uneven);
}

#[test]
fn flat_demand_small_samples() {
    check_flat(Load::Small);
}

/// Fails if the estimate is worse than with the fixed limit where that limit fits: a few experts have most of the
/// demand.
fn check_peaked(load: Load) {
    let [fixed, adaptive, sliding] = compare(PEAKED, load);
    assert!(
        adaptive <= 1.02 * fixed.min(sliding),
        "{adaptive:.3} with the adaptive limit"
    );
}

#[test]
fn peaked_demand_usual_samples() {
    check_peaked(Load::Usual);
}

#[test]
fn peaked_demand_uneven_samples() {
    check_peaked(Load::Uneven);
}

#[test]
fn peaked_demand_small_samples() {
    check_peaked(Load::Small);
}

/// Guards against false shifts from the noise of the samples alone.
#[test]
fn steady_demand_has_no_shift() {
    for (profile, load) in profiles_and_loads() {
        let mut random = Random(11);
        let subjects = Demand::new(profile, &mut random).subjects();
        let mut popularity = adaptive();
        let mut mix = subject_mix(&mut random);
        for index in 0..1_000 {
            if index % MIX_WINDOWS == 0 {
                mix = subject_mix(&mut random);
            }
            let size = load.selections(&mut random);
            let trend = popularity.observe(&sample(&subjects, &mix, size, &mut random), WINDOW);
            assert_eq!(trend, Trend::Steady, "window {index}, {}, {load:?}", profile.name);
        }
        assert_eq!(popularity.shift_interval(), None);
    }
}

/// Guards against series of false shifts after a true one: a part that was wrongly subtracted from the first sample as
/// recorded before the shift makes the next one look like another shift, as does the noise of a small first sample.
#[test]
fn shift_detected_once() {
    for (profile, load) in profiles_and_loads() {
        for seed in 1..=8 {
            let mut popularity = adaptive();
            let mut shifts = Vec::new();
            let mut corrections = 0;
            let windows = windows(profile, load, 8 * SHIFT_WINDOWS + 3, seed);
            for (index, window) in windows.iter().enumerate() {
                match popularity.observe(&window.sample, WINDOW) {
                    Trend::Shifted => shifts.push(index),
                    Trend::Corrected => corrections += 1,
                    Trend::Steady => {}
                    Trend::TooSmall => unreachable!("each window has {:e} selections at least", 1.0e5),
                }
            }
            let true_shifts: Vec<usize> = (0..windows.len()).filter(|index| is_shift(*index)).collect();
            // The noise of small samples is nearly half of a flat shift.
            let delay = if load == Load::Usual { 1 } else { 2 };
            let is_prompt = |(seen, at): (&usize, &usize)| (*at..=at + delay).contains(seen);
            let all_prompt = shifts.len() == true_shifts.len() && shifts.iter().zip(&true_shifts).all(is_prompt);
            assert!(
                all_prompt,
                "{}, {load:?}, seed {seed}: {shifts:?} instead of {true_shifts:?}",
                profile.name
            );
            assert!(
                corrections <= true_shifts.len(),
                "{}, {load:?}, seed {seed}",
                profile.name
            );
            let interval = popularity.shift_interval().expect("several shifts").as_secs_f64();
            assert!(
                (2.3..2.5).contains(&interval),
                "{}, {load:?}, seed {seed}: {interval}",
                profile.name
            );
        }
    }
}

/// Guards against an interval from shifts that ceased long ago: switches would have to pay off within it.
#[test]
fn interval_grows_after_last_shift() {
    let shifting = windows(FLAT, Load::Usual, 3 * SHIFT_WINDOWS, 31);
    let mut popularity = adaptive();
    let mut intervals = Vec::new();
    for window in &shifting {
        if popularity.observe(&window.sample, WINDOW) == Trend::Shifted {
            intervals.push(popularity.shift_interval());
        }
    }
    let spacing = SHIFT_WINDOWS as u32 * WINDOW;
    let is_near_spacing =
        |interval: &Option<Duration>| interval.is_some_and(|interval| interval.abs_diff(spacing) <= WINDOW);
    assert_eq!(intervals.len(), 3);
    assert_eq!(intervals[0], None);
    assert!(intervals[1..].iter().all(is_near_spacing), "{intervals:?}");

    let last = shifting.last().expect("several windows");
    for _ in 0..10 * SHIFT_WINDOWS {
        popularity.observe(&last.sample, WINDOW);
    }
    // Two intervals of 2.4 s, and one of 24 s since the last shift.
    let interval = popularity.shift_interval().expect("several shifts");
    assert!(interval > 3 * spacing, "{interval:?}");
}

/// Guards against series of false shifts in samples so small that two of them often differ by more than any fixed
/// limit: directly after a shift the estimate is one such sample.
#[test]
fn tiny_samples_have_no_series() {
    let (mut true_shifts, mut all_shifts, mut close_shifts) = (0, 0, 0);
    for (profile, seed) in [FLAT, PEAKED]
        .iter()
        .flat_map(|profile| (1..=10).map(move |seed| (*profile, seed)))
    {
        let mut popularity = adaptive();
        let mut last_shift = None;
        for (index, window) in windows(profile, Load::Tiny, 8 * SHIFT_WINDOWS, seed).iter().enumerate() {
            true_shifts += u32::from(is_shift(index));
            if popularity.observe(&window.sample, WINDOW) == Trend::Shifted {
                all_shifts += 1;
                close_shifts += u32::from(last_shift.is_some_and(|last| index - last < SHIFT_WINDOWS / 2));
                last_shift = Some(index);
            }
        }
    }
    println!("{all_shifts} shifts instead of {true_shifts}, {close_shifts} of them soon after another");
    assert!(close_shifts * 50 <= true_shifts, "{close_shifts} of {true_shifts}");
}

/// Guards against subtracting selections as recorded before a shift where demand is flat: experts that lost their
/// demand are still selected as often as the typical one.
#[test]
fn flat_shift_keeps_sample() {
    for seed in 1..=10 {
        let mut random = Random(seed);
        let mut demand = Demand::new(FLAT, &mut random);
        let mut popularity = adaptive();
        for _ in 0..20 {
            let mix = subject_mix(&mut random);
            popularity.observe(&sample(&demand.subjects(), &mix, USUAL_SELECTIONS, &mut random), WINDOW);
        }
        demand.shift(&mut random);
        let mix = subject_mix(&mut random);
        let after = sample(&demand.subjects(), &mix, USUAL_SELECTIONS, &mut random);
        assert_eq!(popularity.observe(&after, WINDOW), Trend::Shifted);
        assert_eq!(counts(&popularity), after, "seed {seed}");
    }
}

/// Guards against waiting for the most selected experts to lose demand when a shift replaces only others.
#[test]
fn shift_of_less_popular_experts() {
    let mut random = Random(21);
    let mut demand = Demand::new(FLAT, &mut random);
    let mut popularity = adaptive();
    let mut observe = |demand: &Demand| {
        let mix = subject_mix(&mut random);
        let sample = sample(&demand.subjects(), &mix, USUAL_SELECTIONS, &mut random);
        let trend = popularity.observe(&sample, WINDOW);
        (trend, counts(&popularity) == sample)
    };
    for _ in 0..20 {
        observe(&demand);
    }
    for order in &mut demand.order {
        for position in 6..FLAT.popular.len() {
            order.swap(position, position + 64);
        }
    }
    assert_eq!(observe(&demand), (Trend::Steady, false));
    assert_eq!(observe(&demand), (Trend::Shifted, true));
    assert_eq!(observe(&demand), (Trend::Steady, false));
}

/// Guards against an estimate that keeps old demand for long after a shift in the middle of a sample.
#[test]
fn mixed_sample_replaced() {
    for (profile, load) in profiles_and_loads() {
        for seed in 1..=6 {
            let windows = windows(profile, load, 4 * SHIFT_WINDOWS, seed);
            let mut popularity = adaptive();
            for (index, window) in windows.iter().enumerate() {
                popularity.observe(&window.sample, WINDOW);
                // The second sample that was recorded after the shift as a whole.
                if index > SHIFT_WINDOWS && index % SHIFT_WINDOWS == 1 {
                    let distance = distance(&counts(&popularity), &window.demand);
                    let limit = if load == Load::Usual { 0.08 } else { 0.16 };
                    assert!(
                        distance < limit,
                        "{}, {load:?}, seed {seed}, window {index}: {distance:.3}",
                        profile.name
                    );
                }
            }
        }
    }
}

/// Guards against false shifts while many requests of one subject arrive at the same time: such a sample differs as
/// much as after a small shift, but the most selected experts keep their shares.
#[test]
fn dominated_sample_is_no_shift() {
    for (profile, load) in profiles_and_loads() {
        let mut random = Random(11);
        let subjects = Demand::new(profile, &mut random).subjects();
        let mut popularity = adaptive();
        let mut distances = Vec::new();
        for index in 0..600 {
            let is_dominated = index % 20 == 19;
            let mix = if is_dominated {
                dominated_mix(&mut random)
            } else {
                subject_mix(&mut random)
            };
            let sample = sample(&subjects, &mix, load.selections(&mut random), &mut random);
            if is_dominated {
                distances.push(distance(&counts(&popularity), &sample));
            }
            let trend = popularity.observe(&sample, WINDOW);
            assert_eq!(trend, Trend::Steady, "window {index}, {}, {load:?}", profile.name);
        }
        let largest = distances.iter().copied().fold(0.0, f64::max);
        assert!(largest > 0.12, "{largest}");
    }
}
