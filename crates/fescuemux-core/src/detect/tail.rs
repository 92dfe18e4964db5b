//! Distribution of a healthy server's latency relative to its reference, and the likelihood
//! ratios that follow from it.

/// Number of bins. Bin `k` holds ratios from `2^((k - 4) / 2)` up to the next bin's edge.
const BINS: usize = 18;
/// Bin whose lower edge is the reference itself.
const UNIT_BIN: usize = 4;
/// A sick server is assumed to be this many bins slower: half octaves, so four times slower.
const SICK_SHIFT: usize = 4;
/// Assumed distribution before anything is learned: 97% log-normal with sigma 0.6 and 3%
/// Pareto with exponent 0.8. Learned shares can only raise a bin's probability above it, so a
/// server with an exceptionally even latency is not held to a stricter standard.
const PRIOR: [f64; BINS] = [
    0.04031, 0.07996, 0.15303, 0.21169, 0.21897, 0.15854, 0.08413, 0.03336, 0.01063, 0.00344,
    0.00161, 0.00107, 0.00079, 0.00060, 0.00045, 0.00034, 0.00026, 0.00082,
];
/// Requests that the learned shares cover; older ones fade out.
const MEMORY: f64 = 4096.0;
/// Learned requests before the learned shares are used, so a few slow ones do not hide a fault.
const LEAST_LEARNED: f64 = 256.0;
/// Learned requests between two computations of the score tables.
const REBUILD_EVERY: u32 = 16;
/// Bounds of the score of one latency. The cap keeps any one request from deciding; the floor
/// keeps a few fast answers from hiding that most are slow.
const CAP: f64 = 3.5;
const FLOOR: f64 = -3.0;
/// Subtracted from each age score. Under health the unsubtracted score of a request is
/// exponentially distributed with mean one, so a sum over slots would grow with their number.
const AGE_OFFSET: f64 = 2.0;

/// Learned latency ratios of one backend server with the score tables derived from them.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    counts: [f64; BINS],
    total: f64,
    learned: u32,
    finished: [f64; BINS],
    /// Negative logarithm of the probability that a healthy request reaches each bin.
    surprise: [f64; BINS],
}

impl Tail {
    pub(super) fn new() -> Tail {
        let mut tail = Tail {
            counts: [0.0; BINS],
            total: 0.0,
            learned: 0,
            finished: [0.0; BINS],
            surprise: [0.0; BINS],
        };
        tail.rebuild();
        tail
    }

    /// Adds a latency of `2^octaves` times the reference that was seen while the server was healthy.
    pub(super) fn learn(&mut self, octaves: f64) {
        let keep = 1.0 - 1.0 / MEMORY;
        for count in &mut self.counts {
            *count *= keep;
        }
        self.counts[bin(octaves)] += 1.0;
        self.total = self.total * keep + 1.0;
        self.learned += 1;
        if self.learned.is_multiple_of(REBUILD_EVERY) {
            self.rebuild();
        }
    }

    /// Returns the score of a request that finished after `2^octaves` times the reference.
    pub(super) fn finished_score(&self, octaves: f64) -> f64 {
        self.finished[bin(octaves)]
    }

    /// Returns the score of a request that has lasted `2^octaves` times the reference and whose
    /// end is not known. Never negative: a young request says nothing.
    pub(super) fn age_score(&self, octaves: f64) -> f64 {
        let position = position(octaves).min((BINS - 1) as f64);
        let k = (position as usize).min(BINS - 2);
        let part = position - k as f64;
        let surprise = self.surprise[k] * (1.0 - part) + self.surprise[k + 1] * part;
        (surprise - AGE_OFFSET).max(0.0)
    }

    fn rebuild(&mut self) {
        let mut shares = PRIOR;
        if self.total >= LEAST_LEARNED {
            for (share, count) in shares.iter_mut().zip(&self.counts) {
                *share = share.max(count / self.total);
            }
        }
        let sum: f64 = shares.iter().sum();
        let mut survival = 0.0;
        for k in (0..BINS).rev() {
            survival += shares[k] / sum;
            self.surprise[k] = -survival.ln();
        }
        let mut highest = FLOOR;
        for k in 0..BINS {
            let sick = if k < SICK_SHIFT { 0.0 } else { shares[k - SICK_SHIFT] };
            let score = (sick / shares[k]).ln().clamp(FLOOR, CAP);
            // A slower answer is never better evidence of health than a faster one.
            highest = score.max(highest);
            self.finished[k] = highest;
        }
    }
}

fn position(octaves: f64) -> f64 {
    (2.0 * octaves + UNIT_BIN as f64).max(0.0)
}

fn bin(octaves: f64) -> usize {
    (position(octaves) as usize).min(BINS - 1)
}
