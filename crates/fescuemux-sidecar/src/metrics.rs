//! Prometheus metrics of the process.
//!
//! Must not know how the values of the metrics are determined.

use fescuemux_core::locality::LeaveReason;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::time::Duration;

/// Histogram buckets of request times, in seconds.
const REQUEST_SECONDS_BUCKETS: [f64; 12] =
    [0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0, 6.0, 15.0, 30.0];

/// Metrics of the process.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    caller_requests: IntCounterVec,
    request_seconds: HistogramVec,
    attempts: IntCounterVec,
    admissions: IntCounterVec,
    store_calls: IntCounterVec,
    domain_requests: IntCounterVec,
    domain_bytes: IntCounterVec,
    releases: IntCounterVec,
    held_bytes: IntGaugeVec,
    connections: IntGaugeVec,
    /// Version of the current configuration.
    pub(crate) config_version: IntGauge,
    /// Age of the confirmation that the configuration is the latest, in milliseconds.
    pub(crate) config_age_ms: IntGauge,
    /// Number of known instances.
    pub(crate) peers: IntGauge,
    /// Number of requests from callers in flight.
    pub(crate) in_flight: IntGauge,
    /// Requests of the busiest customers that the instance counts, by rank.
    pub(crate) allowance_use: IntGaugeVec,
    /// Pipelined requests that started before their turn.
    pub(crate) early_requests: IntCounter,
    /// Number of connections with requests that started before their turn.
    pub(crate) early_connections: IntGauge,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// Fails if two metrics share a name, which any test that starts a sidecar would detect.
    pub(crate) fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let register_counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let register_gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let register_gauges = |name: &str, help: &str, label: &str| {
            let metric = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let seconds_opts = HistogramOpts::new(
            "fescuemux_request_seconds",
            "Time from the head of a caller's request to the head of its answer",
        );
        let request_seconds = HistogramVec::new(
            seconds_opts.buckets(REQUEST_SECONDS_BUCKETS.to_vec()),
            &["service"],
        )?;
        registry.register(Box::new(request_seconds.clone()))?;
        let allowance_use = IntGaugeVec::new(
            Opts::new(
                "fescuemux_allowance_requests",
                "Requests in the last window of the busiest customers counted here, by rank",
            ),
            &["rank", "value"],
        )?;
        registry.register(Box::new(allowance_use.clone()))?;
        let early_requests = IntCounter::new(
            "fescuemux_early_requests_total",
            "Pipelined requests of callers that started before their turn",
        )?;
        registry.register(Box::new(early_requests.clone()))?;
        Ok(Metrics {
            allowance_use,
            requests: register_counter(
                "fescuemux_requests_total",
                "Requests of callers by service, status and reason of a refusal or failure",
                &["service", "status", "reason"],
            )?,
            caller_requests: register_counter(
                "fescuemux_caller_requests_total",
                "Requests of customers by customer and outcome",
                &["caller", "outcome"],
            )?,
            request_seconds,
            attempts: register_counter(
                "fescuemux_attempts_total",
                "Attempts at guards by result",
                &["result"],
            )?,
            admissions: register_counter(
                "fescuemux_admissions_total",
                "Decisions of the own guard",
                &["decision"],
            )?,
            store_calls: register_counter(
                "fescuemux_store_calls_total",
                "Calls to the store by kind and result",
                &["call", "result"],
            )?,
            domain_requests: register_counter(
                "fescuemux_domain_requests_total",
                "Attempts by failure domain of the backend server, and why they left their domain",
                &["domain", "reason"],
            )?,
            domain_bytes: register_counter(
                "fescuemux_domain_bytes_total",
                "Bytes of request and response bodies by failure domain of the backend server, and \
                 why they left their domain",
                &["domain", "reason"],
            )?,
            releases: register_counter(
                "fescuemux_released_total",
                "Bodies and connections released because of a limit, by reason",
                &["reason"],
            )?,
            held_bytes: register_gauges(
                "fescuemux_held_bytes",
                "Bytes of bodies and answers held, by class",
                "class",
            )?,
            connections: register_gauges(
                "fescuemux_accepted_connections",
                "Connections accepted and open, by kind",
                "kind",
            )?,
            config_version: register_gauge("fescuemux_config_version", "Configuration in force")?,
            config_age_ms: register_gauge(
                "fescuemux_config_age_milliseconds",
                "Age of the confirmation that the configuration is the latest",
            )?,
            peers: register_gauge("fescuemux_peers", "Instances known")?,
            in_flight: register_gauge(
                "fescuemux_requests_in_flight",
                "Requests of callers under way",
            )?,
            early_requests,
            early_connections: register_gauge(
                "fescuemux_early_connections",
                "Connections of callers with pipelined requests that started before their turn",
            )?,
            registry,
        })
    }

    /// Counts a request from a caller and records the time until its response.
    pub(crate) fn record_request(
        &self,
        service: &str,
        status: u16,
        reason: &str,
        elapsed: Duration,
    ) {
        self.requests.with_label_values(&[service, &status.to_string(), reason]).inc();
        self.request_seconds.with_label_values(&[service]).observe(elapsed.as_secs_f64());
    }

    /// Counts a request of a customer by its outcome.
    pub(crate) fn record_caller_request(&self, label: &str, outcome: &str) {
        self.caller_requests.with_label_values(&[label, outcome]).inc();
    }

    /// Counts an attempt by its result.
    pub(crate) fn record_attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    /// Counts an admission decision of the local guard.
    pub(crate) fn record_admission(&self, decision: &str) {
        self.admissions.with_label_values(&[decision]).inc();
    }

    /// Counts a store call.
    pub(crate) fn record_store_call(&self, call: &str, ok: bool) {
        self.store_calls.with_label_values(&[call, if ok { "ok" } else { "error" }]).inc();
    }

    /// Counts an attempt that is sent to a backend server in `domain`.
    pub(crate) fn record_sent(&self, domain: &str, left_home: Option<LeaveReason>) {
        self.domain_requests.with_label_values(&[domain, domain_reason(left_home)]).inc();
    }

    /// Counts bytes to or from a backend server in `domain`.
    pub(crate) fn record_bytes(&self, domain: &str, left_home: Option<LeaveReason>, bytes: u64) {
        self.domain_bytes.with_label_values(&[domain, domain_reason(left_home)]).inc_by(bytes);
    }

    /// Counts a body or connection that was released because of a limit.
    pub(crate) fn record_release(&self, reason: &str) {
        self.releases.with_label_values(&[reason]).inc();
    }

    /// Sets the number of bytes held by a class.
    pub(crate) fn set_held_bytes(&self, class: &str, bytes: u64) {
        self.held_bytes.with_label_values(&[class]).set(bytes as i64);
    }

    /// Sets the number of open connections of a kind.
    pub(crate) fn set_connections(&self, kind: &str, count: usize) {
        self.connections.with_label_values(&[kind]).set(count as i64);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Fails if a metric cannot be encoded.
    pub(crate) fn encode_text(&self) -> prometheus::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}

/// Returns the reason for which requests are in the domain of their server.
fn domain_reason(left_home: Option<LeaveReason>) -> &'static str {
    left_home.map_or("home", LeaveReason::as_str)
}
