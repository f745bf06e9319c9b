//! By how much the distributions of samples differ while demand is steady.

/// Distance between two distributions, from 0 to 2, above which demand has shifted whatever the noise. Where a few
/// experts have most of the demand, a shift is a distance of 1.
const MAX_SHIFT_DISTANCE: f64 = 0.35;
/// Distance below which nothing is a shift: the mix of the running requests moves as much.
const MIN_SHIFT_DISTANCE: f64 = 0.1;
/// Distance at which demand has shifted, as a multiple of the expected one.
const SHIFT_NOISE_RATIO: f64 = 2.5;
/// Distance at which the sample after a shift replaces the one in which the shift was detected, as a multiple of the
/// expected one.
const CORRECTION_NOISE_RATIO: f64 = 1.5;
/// Samples that must have agreed before their noise counts.
const MIN_AGREED_SAMPLES: u32 = 5;
/// Samples over which the noise is averaged.
const AVERAGED_SAMPLES: u32 = 30;

/// Running mean of the noise of samples that agree: their distance times the square root of their size, so that it
/// gives the expected distance of a sample of any size.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct SampleNoise {
    mean: f64,
    agreed_samples: u32,
}

impl SampleNoise {
    /// Records the distance of a sample of `size` selections from the `earlier` selections, which agree with it.
    pub(super) fn record(&mut self, distance: f64, size: f64, earlier: f64) {
        self.agreed_samples = (self.agreed_samples + 1).min(AVERAGED_SAMPLES);
        let noise = distance / inverse_root_size(size, earlier);
        self.mean += (noise - self.mean) / f64::from(self.agreed_samples);
    }

    /// Distance above which a sample shows a shift. `earlier_samples` made up the `earlier` selections.
    pub(super) fn shift_limit(&self, size: f64, earlier: f64, earlier_samples: u32) -> f64 {
        let Some(expected) = self.expected(size, earlier) else {
            return MAX_SHIFT_DISTANCE;
        };
        let limit = (expected * SHIFT_NOISE_RATIO).max(MIN_SHIFT_DISTANCE);
        if earlier_samples < MIN_AGREED_SAMPLES {
            return limit;
        }
        limit.min(MAX_SHIFT_DISTANCE)
    }

    /// Whether the sample after a shift differs from the one in which the shift was detected by more than chance.
    pub(super) fn exceeds_chance(&self, distance: f64, size: f64, earlier: f64) -> bool {
        let expected = self.expected(size, earlier);
        distance > expected.map_or(MAX_SHIFT_DISTANCE, |expected| expected * CORRECTION_NOISE_RATIO)
    }

    /// Expected distance while demand is steady, once enough samples have agreed.
    fn expected(&self, size: f64, earlier: f64) -> Option<f64> {
        (self.agreed_samples >= MIN_AGREED_SAMPLES).then(|| self.mean * inverse_root_size(size, earlier))
    }
}

/// Standard deviation of the difference of two samples, relative to that of one selection. Directly after a shift the
/// earlier selections are a single sample with as much noise as the next one.
fn inverse_root_size(size: f64, earlier: f64) -> f64 {
    (1.0 / size.max(1.0) + 1.0 / earlier.max(1.0)).sqrt()
}
