//! Retry budget, latency quantiles and baseline of one service.

use crate::decisions::SharedState;
use fescuemux_core::base::{Clock, Cx, ServerId, ServiceId};
use fescuemux_core::config::Service;
use fescuemux_core::detect::{Baseline, BaselineEstimator};
use fescuemux_core::retry::{Attempt, LatencyHistogram, RetryBudget, RetryConfig, RetryDecision};
use fescuemux_wire::hop::HopBaseline;
use std::sync::Arc;
use std::time::Duration;

/// Quantile of a service's service times that is the expected latency of a retry.
const EXPECTED_LATENCY_QUANTILE: f64 = 0.5;
/// Quantile of a service's service times from which the hedge delay is computed. With
/// [`HEDGE_FACTOR`], one attempt in a few hundred is hedged in a healthy service.
const HEDGE_QUANTILE: f64 = 0.99;
/// Ratio of the hedge delay to the quantile; allows for queueing and network time.
const HEDGE_FACTOR: f64 = 1.5;
/// Minimum delay before a hedge: a few round trips between failure domains.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);
/// Divisor of retry ratios, which are configured in thousandths.
const PERMILLE: f64 = 1_000.0;

/// State of one service at the ingress.
#[derive(Debug)]
pub(super) struct ServiceState {
    retry_permille: u32,
    inner: SharedState<ServiceInner>,
}

#[derive(Debug)]
struct ServiceInner {
    budget: RetryBudget,
    estimator: BaselineEstimator,
    latency: LatencyHistogram,
}

impl ServiceState {
    pub(super) fn new(clock: Arc<dyn Clock>, seed: u64, service: &Service) -> ServiceState {
        let ratio = f64::from(service.retry_permille) / PERMILLE;
        let budget_config = RetryConfig { ratio, ..RetryConfig::default() };
        let inner = ServiceInner {
            budget: RetryBudget::new(budget_config, clock.now()),
            estimator: BaselineEstimator::new(),
            latency: LatencyHistogram::default(),
        };
        let retry_permille = service.retry_permille;
        ServiceState { retry_permille, inner: SharedState::new(clock, seed, inner) }
    }

    /// Returns whether this state was built with the settings of `service`.
    pub(super) fn matches_config(&self, service: &Service) -> bool {
        self.retry_permille == service.retry_permille
    }

    pub(super) fn on_request(&self) {
        self.inner.with(|cx, inner| inner.budget.on_request(cx));
    }

    /// Records the service time of a response and whether it was successful.
    pub(super) fn on_response(&self, server: &ServerId, service_time: Duration, ok: bool) {
        self.inner.with(|cx, inner| {
            inner.estimator.on_answer(cx, server, service_time, ok);
            inner.latency.record(service_time);
        });
    }

    pub(super) fn decide_retry(&self, attempt: &Attempt) -> RetryDecision {
        self.inner.with(|cx: &mut Cx, inner| inner.budget.decide(cx, attempt))
    }

    /// Returns the time after which a slow attempt may be hedged, or `None` until there are enough
    /// responses.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        let quantile = self.inner.with(|_, inner| inner.latency.quantile(HEDGE_QUANTILE))?;
        Some(quantile.mul_f64(HEDGE_FACTOR).max(MIN_HEDGE_DELAY))
    }

    pub(super) fn try_hedge(&self, attempt: &Attempt) -> bool {
        self.inner.with(|cx, inner| inner.budget.try_hedge(cx, attempt))
    }

    /// Returns the expected latency of a retry, or zero until there are enough responses.
    pub(super) fn expected_latency(&self) -> Duration {
        self.inner
            .with(|_, inner| inner.latency.quantile(EXPECTED_LATENCY_QUANTILE))
            .unwrap_or_default()
    }

    pub(super) fn baseline(&self) -> Option<HopBaseline> {
        let baseline = self.inner.with(|_, inner| inner.estimator.baseline())?;
        let Baseline { median, error_ratio } = baseline;
        Some(HopBaseline { median, error_ratio })
    }

    /// Returns the service id, the retry tokens and the median service time.
    pub(super) fn summary(&self, id: &ServiceId) -> (ServiceId, f64, Option<Duration>) {
        self.inner.with(|_, inner| {
            let median = inner.estimator.baseline().map(|baseline| baseline.median);
            (id.clone(), inner.budget.tokens(), median)
        })
    }
}
