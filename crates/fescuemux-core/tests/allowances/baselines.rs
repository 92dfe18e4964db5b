//! Designs that the counting instance is compared with.

use super::load::Customer;
use fescuemux_core::allowances::AllowanceBounds;
use std::collections::VecDeque;
use std::time::Duration;

/// Design without a counting instance.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Baseline {
    /// Each instance has the same share of the allowance, and at least this number of requests in a
    /// window.
    FixedShare { least: f64 },
    /// Each instance sends its use of the last window to all others each interval, and has the share
    /// that its own use has in the sum, plus an equal part of what is left.
    Exchange { interval: Duration, least: f64 },
}

/// Result of a run of a baseline.
#[derive(Clone, Debug, Default)]
pub(crate) struct BaselineRun {
    pub(crate) sent: Vec<Vec<Duration>>,
    pub(crate) refused: Vec<Vec<Duration>>,
    pub(crate) messages: u64,
}

/// Use of one customer at one instance.
#[derive(Clone, Debug, Default)]
struct Local {
    sent: VecDeque<Duration>,
    share: f64,
}

/// Runs a baseline with the arrivals of a load. Messages arrive at once.
pub(crate) fn run(
    baseline: Baseline,
    customers: &[Customer],
    instances: usize,
    arrivals: &[(Duration, usize, usize)],
) -> BaselineRun {
    let bounds = AllowanceBounds::default();
    let mut run = BaselineRun {
        sent: vec![Vec::new(); customers.len()],
        refused: vec![Vec::new(); customers.len()],
        messages: 0,
    };
    let allowed = |customer: usize| bounds.allowed(&customers[customer].allowance);
    let (Baseline::FixedShare { least } | Baseline::Exchange { least, .. }) = baseline;
    let initial = |customer: usize| Local {
        sent: VecDeque::new(),
        share: (allowed(customer) / instances as f64).max(least),
    };
    let mut locals: Vec<Vec<Local>> =
        (0..customers.len()).map(|index| vec![initial(index); instances]).collect();
    let mut next_exchange = Duration::ZERO;
    for (at, customer, ingress) in arrivals {
        if let Baseline::Exchange { interval, .. } = baseline {
            while next_exchange <= *at {
                for (customer, locals) in locals.iter_mut().enumerate() {
                    let now = next_exchange;
                    let uses: Vec<usize> = locals.iter_mut().map(|local| local.used(now)).collect();
                    let active = uses.iter().filter(|used| **used > 0).count();
                    run.messages += (active * (instances - 1)) as u64;
                    let left = allowed(customer) - uses.iter().sum::<usize>() as f64;
                    for (local, used) in locals.iter_mut().zip(uses) {
                        local.share = (used as f64 + left / instances as f64).max(least);
                    }
                }
                next_exchange += interval;
            }
        }
        let local = &mut locals[*customer][*ingress];
        if local.used(*at) as f64 + 1.0 <= local.share {
            local.sent.push_back(*at);
            run.sent[*customer].push(*at);
        } else {
            run.refused[*customer].push(*at);
        }
    }
    run
}

impl Local {
    fn used(&mut self, now: Duration) -> usize {
        let window = AllowanceBounds::default().window;
        while self.sent.front().is_some_and(|at| *at + window <= now) {
            self.sent.pop_front();
        }
        self.sent.len()
    }
}
