//! Distribution of a healthy server's latency relative to its reference, and the scores derived
//! from this distribution. One octave is a factor of two: a latency of `2^octaves` times the
//! reference is `octaves` octaves above the reference.

/// Number of bins. Bin `k` holds ratios from `2^((k - 4) / 2)` up to the lower edge of bin
/// `k + 1`.
const BINS: usize = 18;
/// Bin whose lower edge is a ratio of one.
const REFERENCE_BIN: usize = 4;
/// Number of bins by which a faulty server is assumed to be slower. Each bin spans half an octave,
/// a factor of `2^0.5`, so four bins are four times slower.
const FAULTY_SERVER_SHIFT_BINS: usize = 4;
/// Prior distribution: 97% log-normal with sigma 0.6 and 3% Pareto with exponent 0.8. Learned
/// shares can only raise the probability of a bin above the prior, so a server with exceptionally
/// even latency is not assessed more strictly.
const PRIOR_SHARES: [f64; BINS] = [
    0.04031, 0.07996, 0.15303, 0.21169, 0.21897, 0.15854, 0.08413, 0.03336, 0.01063, 0.00344,
    0.00161, 0.00107, 0.00079, 0.00060, 0.00045, 0.00034, 0.00026, 0.00082,
];
/// Time constant, in requests, of the exponential decay of the weight of learned requests.
const LEARNING_WINDOW: f64 = 4096.0;
/// Total weight of learned requests from which the learned shares are used. With fewer, a few
/// slow requests could hide a fault.
const MIN_LEARNED: f64 = 256.0;
/// Number of learned requests between two rebuilds of the score tables.
const REBUILD_EVERY: u32 = 16;
/// Upper bound of the score of one latency, so that a single request does not decide.
const MAX_SCORE: f64 = 3.5;
/// Lower bound of the score of one latency, so that a few fast answers do not hide that most
/// answers are slow.
const MIN_SCORE: f64 = -3.0;
/// Offset subtracted from each age score. For a healthy server the age score before the offset is
/// exponentially distributed with mean one, so without the offset the sum over all requests in
/// flight would grow with the number of slots.
const AGE_OFFSET: f64 = 2.0;

/// Learned latency ratios of one backend server with the score tables derived from them.
#[derive(Clone, Debug)]
pub(super) struct LatencyModel {
    /// Number of learned requests in each bin, with exponential decay.
    counts: [f64; BINS],
    /// Sum of `counts`.
    total_weight: f64,
    learned_count: u32,
    /// Score of a finished request by bin.
    finished_scores: [f64; BINS],
    /// Negative logarithm of the probability that a request to a healthy server lasts long enough
    /// to reach each bin.
    surprisal: [f64; BINS],
}

impl LatencyModel {
    pub(super) fn new() -> LatencyModel {
        let mut model = LatencyModel {
            counts: [0.0; BINS],
            total_weight: 0.0,
            learned_count: 0,
            finished_scores: [0.0; BINS],
            surprisal: [0.0; BINS],
        };
        model.rebuild_scores();
        model
    }

    /// Learns a latency of `2^octaves` times the reference from a healthy server.
    pub(super) fn learn(&mut self, octaves: f64) {
        let keep = 1.0 - 1.0 / LEARNING_WINDOW;
        for count in &mut self.counts {
            *count *= keep;
        }
        self.counts[bin(octaves)] += 1.0;
        self.total_weight = self.total_weight * keep + 1.0;
        self.learned_count += 1;
        if self.learned_count.is_multiple_of(REBUILD_EVERY) {
            self.rebuild_scores();
        }
    }

    /// Returns the score of a request that finished after `2^octaves` times the reference.
    pub(super) fn finished_score(&self, octaves: f64) -> f64 {
        self.finished_scores[bin(octaves)]
    }

    /// Returns the score of a request that has run for `2^octaves` times the reference without an
    /// answer. Never negative, because a short age is no evidence of health.
    pub(super) fn age_score(&self, octaves: f64) -> f64 {
        let bin_position = bin_position(octaves).min((BINS - 1) as f64);
        let k = (bin_position as usize).min(BINS - 2);
        let fraction = bin_position - k as f64;
        let surprisal = self.surprisal[k] * (1.0 - fraction) + self.surprisal[k + 1] * fraction;
        (surprisal - AGE_OFFSET).max(0.0)
    }

    fn rebuild_scores(&mut self) {
        let mut shares = PRIOR_SHARES;
        if self.total_weight >= MIN_LEARNED {
            for (share, count) in shares.iter_mut().zip(&self.counts) {
                *share = share.max(count / self.total_weight);
            }
        }
        let sum: f64 = shares.iter().sum();
        let mut survival = 0.0;
        for k in (0..BINS).rev() {
            survival += shares[k] / sum;
            self.surprisal[k] = -survival.ln();
        }
        let mut highest = MIN_SCORE;
        for k in 0..BINS {
            let faulty_share = if k < FAULTY_SERVER_SHIFT_BINS {
                0.0
            } else {
                shares[k - FAULTY_SERVER_SHIFT_BINS]
            };
            let score = (faulty_share / shares[k]).ln().clamp(MIN_SCORE, MAX_SCORE);
            // A slower answer is never better evidence of health, so scores must not fall.
            highest = score.max(highest);
            self.finished_scores[k] = highest;
        }
    }
}

fn bin_position(octaves: f64) -> f64 {
    (2.0 * octaves + REFERENCE_BIN as f64).max(0.0)
}

fn bin(octaves: f64) -> usize {
    (bin_position(octaves) as usize).min(BINS - 1)
}
