//! What an ingress knows and decides for one service.

use crate::decisions::SharedState;
use fescuemux_core::base::{Clock, Cx, ServerId, ServiceId};
use fescuemux_core::config::Service;
use fescuemux_core::detect::{Baseline, BaselineEstimator};
use fescuemux_core::retry::{Attempt, LatencyHistogram, RetryBudget, RetryConfig, RetryDecision};
use fescuemux_wire::hop::HopBaseline;
use std::sync::Arc;
use std::time::Duration;

/// Quantile of the answer times that a retry is expected to take.
const EXPECTED_QUANTILE: f64 = 0.5;
/// Quantile of the times at servers after which an attempt counts as slow. With the factor, one
/// attempt in a few hundred is hedged in a healthy service.
const HEDGE_QUANTILE: f64 = 0.99;
/// Factor on that quantile for queues and network.
const HEDGE_FACTOR: f64 = 1.5;
/// Shortest wait before a hedge: a few round trips between failure domains.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);
/// Retry ratios are configured in thousandths.
const PERMILLE: f64 = 1_000.0;

/// Decision parts of one service.
#[derive(Debug)]
pub(super) struct ServiceParts {
    retry_permille: u32,
    inner: SharedState<Inner>,
}

#[derive(Debug)]
struct Inner {
    budget: RetryBudget,
    estimator: BaselineEstimator,
    latency: LatencyHistogram,
}

impl ServiceParts {
    pub(super) fn new(clock: Arc<dyn Clock>, seed: u64, service: &Service) -> ServiceParts {
        let ratio = f64::from(service.retry_permille) / PERMILLE;
        let budget = RetryConfig { ratio, ..RetryConfig::default() };
        let inner = Inner {
            budget: RetryBudget::new(budget, clock.now()),
            estimator: BaselineEstimator::new(),
            latency: LatencyHistogram::default(),
        };
        let retry_permille = service.retry_permille;
        ServiceParts { retry_permille, inner: SharedState::new(clock, seed, inner) }
    }

    /// Returns whether the parts are made for this configuration of the service.
    pub(super) fn fits(&self, service: &Service) -> bool {
        self.retry_permille == service.retry_permille
    }

    pub(super) fn on_request(&self) {
        self.inner.with(|cx, inner| inner.budget.on_request(cx));
    }

    /// Takes the time that a backend server worked on a request, and whether it succeeded.
    pub(super) fn on_answer(&self, server: &ServerId, service_time: Duration, ok: bool) {
        self.inner.with(|cx, inner| {
            inner.estimator.on_answer(cx, server, service_time, ok);
            inner.latency.record(service_time);
        });
    }

    pub(super) fn decide(&self, attempt: &Attempt) -> RetryDecision {
        self.inner.with(|cx: &mut Cx, inner| inner.budget.decide(cx, attempt))
    }

    /// Returns the time after which a second attempt may be made beside a slow one.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        let slow = self.inner.with(|_, inner| inner.latency.quantile(HEDGE_QUANTILE))?;
        Some(slow.mul_f64(HEDGE_FACTOR).max(MIN_HEDGE_DELAY))
    }

    pub(super) fn try_hedge(&self, attempt: &Attempt) -> bool {
        self.inner.with(|cx, inner| inner.budget.try_hedge(cx, attempt))
    }

    pub(super) fn expected_latency(&self) -> Duration {
        self.inner.with(|_, inner| inner.latency.quantile(EXPECTED_QUANTILE)).unwrap_or_default()
    }

    pub(super) fn baseline(&self) -> Option<HopBaseline> {
        let baseline = self.inner.with(|_, inner| inner.estimator.baseline())?;
        let Baseline { median, error_ratio } = baseline;
        Some(HopBaseline { median, error_ratio })
    }

    pub(super) fn summary(&self, id: &ServiceId) -> (ServiceId, f64, Option<Duration>) {
        self.inner.with(|_, inner| {
            let median = inner.estimator.baseline().map(|baseline| baseline.median);
            (id.clone(), inner.budget.tokens(), median)
        })
    }
}
