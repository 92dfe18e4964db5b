//! Prometheus metrics of the daemon.
//!
//! Must not depend on how the values of the metrics are computed.

use fescuemux_core::base::{ServerId, ServiceId, Verdict};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Histogram buckets of request times in seconds, from one millisecond to half a minute.
const REQUEST_SECONDS_BUCKETS: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5, 10.0, 30.0];

/// All metrics of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    attempts: IntCounterVec,
    guard_answers: IntCounterVec,
    health_changes: IntCounterVec,
    store_calls: IntCounterVec,
    pub(crate) generation: IntGauge,
    pub(crate) members: IntGauge,
    pub(crate) in_flight: IntGauge,
    pub(crate) control_sent: IntCounter,
    pub(crate) control_received: IntCounter,
    pub(crate) pauses: IntCounter,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics have the same name, which a test rules out.
    pub(crate) fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let register_counters = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let register_counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let register_gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let request_seconds_options = HistogramOpts::new(
            "fescuemux_request_seconds",
            "Time from the head of a caller's request to the head of its answer",
        )
        .buckets(REQUEST_SECONDS_BUCKETS.to_vec());
        let request_seconds = HistogramVec::new(request_seconds_options, &["service"])?;
        registry.register(Box::new(request_seconds.clone()))?;
        Ok(Metrics {
            requests: register_counters(
                "fescuemux_requests_total",
                "Requests of callers by service, status class and verdict",
                &["service", "status", "verdict"],
            )?,
            request_seconds,
            attempts: register_counters(
                "fescuemux_attempts_total",
                "Attempts by service and outcome",
                &["service", "outcome"],
            )?,
            guard_answers: register_counters(
                "fescuemux_guard_answers_total",
                "Answers of the guard by service, backend server and verdict",
                &["service", "server", "verdict"],
            )?,
            health_changes: register_counters(
                "fescuemux_health_changes_total",
                "Health changes of backend servers by new health",
                &["service", "server", "health"],
            )?,
            store_calls: register_counters(
                "fescuemux_store_calls_total",
                "Calls to the store by kind",
                &["kind"],
            )?,
            generation: register_gauge(
                "fescuemux_config_generation",
                "Generation of the configuration in force",
            )?,
            members: register_gauge(
                "fescuemux_members",
                "Live instances known, this one included",
            )?,
            in_flight: register_gauge("fescuemux_requests_in_flight", "Caller requests under way")?,
            control_sent: register_counter(
                "fescuemux_control_sent_bytes_total",
                "Bytes of membership messages sent, without transport overhead",
            )?,
            control_received: register_counter(
                "fescuemux_control_received_bytes_total",
                "Bytes of membership messages received, without transport overhead",
            )?,
            pauses: register_counter(
                "fescuemux_pauses_total",
                "Pauses of this process that were noticed",
            )?,
            registry,
        })
    }

    /// Counts a response to a caller and records its request time.
    pub(crate) fn count_response(
        &self,
        service: &str,
        status: u16,
        verdict: Verdict,
        seconds: f64,
    ) {
        let status_class = format!("{}xx", status / 100);
        self.requests.with_label_values(&[service, &status_class, verdict.as_str()]).inc();
        self.request_seconds.with_label_values(&[service]).observe(seconds);
    }

    /// Counts an attempt of an ingress.
    pub(crate) fn count_attempt(&self, service: &ServiceId, outcome: &str) {
        self.attempts.with_label_values(&[service.as_str(), outcome]).inc();
    }

    /// Counts a response of the guard.
    pub(crate) fn count_guard_response(
        &self,
        service: &ServiceId,
        server: &ServerId,
        verdict: Verdict,
    ) {
        let labels = [service.as_str(), server.as_str(), verdict.as_str()];
        self.guard_answers.with_label_values(&labels).inc();
    }

    /// Counts a change of a backend server's health.
    pub(crate) fn count_health_change(&self, service: &ServiceId, server: &ServerId, health: &str) {
        let labels = [service.as_str(), server.as_str(), health];
        self.health_changes.with_label_values(&labels).inc();
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self, kind: &str) {
        self.store_calls.with_label_values(&[kind]).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn render(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::error!(error = %e, "failed to encode metrics");
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}
