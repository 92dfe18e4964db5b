//! The ingress: receives requests of callers, applies their rate limits, routes them to backend
//! servers, and is the only component that retries.
//!
//! Must not depend on slots, failure detectors or membership.

mod attempt;
mod caller_body;
mod directory;
mod effective;
mod failure;
mod hedge;
mod hop_request;
mod incoming;
mod keyed;
mod path_probe;
mod sent;
mod service_parts;

#[cfg(test)]
mod tests;

pub(crate) use directory::{PeerDirectory, PeerEndpoint};
pub(crate) use effective::EffectiveConfig;
pub(crate) use failure::ErrorResponse;

use self::caller_body::CallerBody;
use self::incoming::IncomingRequest;
use self::service_parts::ServiceState;
use crate::decisions::SharedState;
use crate::homes::KeyHomes;
use crate::http::{HttpLimits, OutgoingBody, Pool};
use crate::metrics::Metrics;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::admit::{
    CallerDecision, CallerDemand, CallerRateLimit, CallerRateLimiter, CallerRateLimiterConfig,
};
use fescuemux_core::base::{CallerId, Clock, HashMap, RequestId, ServiceId, Verdict};
use fescuemux_core::route::{Router, RouterConfig};
use fescuemux_wire::auth::KeyRing;
use fescuemux_wire::headers;
use fescuemux_wire::hop::HopBaseline;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::Rng;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Configuration key of the limit shared by all callers without their own limit.
const DEFAULT_CALLER: &str = "*";
/// Maximum number of callers with their own limit, equal to the maximum in a configuration.
const MAX_CALLER_LIMITS: usize = 65_536;
/// Limit shared by callers without their own limit while the configuration has no limit for
/// [`DEFAULT_CALLER`]; high enough to never take effect.
const UNLIMITED: CallerRateLimit = CallerRateLimit { rate: 1e9, burst: 1e9 };

/// Dependencies and limits of the ingress.
#[derive(Clone, Debug)]
pub(crate) struct IngressContext {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) keys: KeyRing,
    pub(crate) limits: HttpLimits,
    /// Maximum number of caller requests in flight.
    pub(crate) max_in_flight: usize,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: StopSignal,
    /// Seed of the random number generators.
    pub(crate) seed: u64,
}

/// The ingress of one instance.
#[derive(Debug)]
pub(crate) struct Ingress {
    context: IngressContext,
    pool: Arc<Pool>,
    homes: Arc<KeyHomes>,
    directory: Arc<PeerDirectory>,
    pub(crate) router: SharedState<Router>,
    caller_limits: SharedState<CallerRateLimiter>,
    id_generator: SharedState<()>,
    services: RwLock<HashMap<ServiceId, Arc<ServiceState>>>,
    effective_config: RwLock<Option<Arc<EffectiveConfig>>>,
    in_flight_permits: Arc<Semaphore>,
}

impl Ingress {
    pub(crate) fn new(
        context: IngressContext,
        router: RouterConfig,
        pool: Arc<Pool>,
        homes: Arc<KeyHomes>,
        directory: Arc<PeerDirectory>,
    ) -> Arc<Ingress> {
        let clock = || Arc::clone(&context.clock);
        let limits = CallerRateLimiterConfig {
            shared_limit: UNLIMITED,
            max_callers: MAX_CALLER_LIMITS,
            ..CallerRateLimiterConfig::default()
        };
        let callers = CallerRateLimiter::new(limits, context.clock.now());
        Arc::new(Ingress {
            router: SharedState::new(clock(), context.seed, Router::new(router)),
            caller_limits: SharedState::new(clock(), context.seed.wrapping_add(1), callers),
            id_generator: SharedState::new(clock(), context.seed.wrapping_add(2), ()),
            in_flight_permits: Arc::new(Semaphore::new(context.max_in_flight)),
            directory,
            services: RwLock::default(),
            effective_config: RwLock::default(),
            pool,
            homes,
            context,
        })
    }

    /// Handles a request of a caller.
    pub(crate) async fn handle(
        self: Arc<Ingress>,
        req: Request<Incoming>,
    ) -> Response<OutgoingBody> {
        let started = Instant::now();
        let id: RequestId = self.id_generator.with(|cx, ()| cx.rng.random());
        self.context.metrics.in_flight.inc();
        let _in_flight = InFlightDecrement(&self.context.metrics);
        let mut service = ServiceId::default();
        let mut response = match self.serve(id, req, &mut service).await {
            Ok(response) => response,
            Err(error) => error.into_response(),
        };
        let header_map = response.headers_mut();
        if let Ok(value) = HeaderValue::try_from(format!("{id:032x}")) {
            header_map.insert(headers::REQUEST_ID, value);
        }
        let verdict = header_map.get(headers::VERDICT).and_then(|value| value.to_str().ok());
        let verdict = verdict.and_then(Verdict::parse).unwrap_or(Verdict::MayHaveRun);
        let seconds = started.elapsed().as_secs_f64();
        self.context.metrics.count_response(&service, response.status().as_u16(), verdict, seconds);
        response
    }

    async fn serve(
        &self,
        id: RequestId,
        req: Request<Incoming>,
        service: &mut ServiceId,
    ) -> Result<Response<OutgoingBody>, ErrorResponse> {
        let (parts, body) = req.into_parts();
        let checked = self.check_head(id, parts, service);
        let (_permit, req) = match checked {
            Ok(checked) => checked,
            Err(error) => {
                caller_body::discard(body, &self.context.limits);
                return Err(error);
            }
        };
        let mut body = CallerBody::receive(body, &self.context.limits, req.deadline).await?;
        let result = self.run_with_key(&req, &mut body).await;
        if result.is_err() {
            body.discard();
        }
        result
    }

    /// Makes all checks that need only the request head, including the rate limit of the caller,
    /// and takes a permit for a request in flight. Sets `service` once the route is known.
    fn check_head(
        &self,
        id: RequestId,
        parts: http::request::Parts,
        service: &mut ServiceId,
    ) -> Result<(SemaphorePermit<'_>, IncomingRequest), ErrorResponse> {
        if self.context.stop.phase() >= StopPhase::Closing {
            return Err(ErrorResponse::unavailable("this instance is stopping"));
        }
        let permit = self.in_flight_permits.try_acquire();
        let permit =
            permit.map_err(|_| ErrorResponse::unavailable("too many requests under way"))?;
        let effective = self.effective_config();
        let effective = effective
            .ok_or_else(|| ErrorResponse::unavailable("no configuration is in force yet"))?;
        let req = IncomingRequest::new(id, parts, &effective, self.context.clock.now())?;
        service.clone_from(&req.service.id);
        self.admit_caller(&req.caller)?;
        Ok((permit, req))
    }

    fn admit_caller(&self, caller: &CallerId) -> Result<(), ErrorResponse> {
        match self.caller_limits.with(|cx, callers| callers.admit(cx, caller)) {
            CallerDecision::Admitted => Ok(()),
            CallerDecision::Limited { retry_after } => {
                Err(ErrorResponse::rate_limited(retry_after))
            }
        }
    }

    /// Returns the callers' demand at this daemon, to be reported to the homes of the callers.
    pub(crate) fn caller_demands(&self, live_daemons: usize) -> Vec<CallerDemand> {
        self.caller_limits.with(|cx, callers| callers.demand_reports(cx, live_daemons))
    }

    /// Sets the demand of a caller summed over all daemons, which determines this daemon's share of
    /// the caller's limit.
    pub(crate) fn set_fleet_demand(&self, caller: &CallerId, fleet_rate: f64) {
        self.caller_limits.with(|cx, callers| callers.set_fleet_demand(cx, caller, fleet_rate));
    }

    /// Replaces the active configuration and applies its caller limits.
    pub(crate) fn set_effective_config(&self, effective: Arc<EffectiveConfig>) {
        self.caller_limits.with(|cx, callers| {
            let previous = self.effective_config();
            let previous_callers =
                previous.iter().flat_map(|previous| previous.config.callers.keys());
            for removed in
                previous_callers.filter(|caller| !effective.config.callers.contains_key(*caller))
            {
                callers.remove(removed);
            }
            for limit in effective.config.callers.values() {
                let rate = f64::from(limit.rate_per_s);
                let caller_limit = CallerRateLimit { rate, burst: f64::from(limit.burst) };
                if !callers.set(cx, &limit.caller, caller_limit) {
                    tracing::warn!(caller = %limit.caller, "caller table is full");
                }
            }
        });
        *self.effective_config.write().unwrap_or_else(PoisonError::into_inner) = Some(effective);
    }

    pub(crate) fn effective_config(&self) -> Option<Arc<EffectiveConfig>> {
        self.effective_config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the state of a service. Creates the state if there is none, and replaces it if it
    /// was built with other settings.
    fn get_or_create_service_state(
        &self,
        service: &fescuemux_core::config::Service,
    ) -> Arc<ServiceState> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get(&service.id).filter(|state| state.matches_config(service))
        {
            return Arc::clone(state);
        }
        drop(services);
        let state = Arc::new(ServiceState::new(
            Arc::clone(&self.context.clock),
            self.context.seed,
            service,
        ));
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.insert(service.id.clone(), Arc::clone(&state));
        state
    }

    /// Returns the number of requests admitted by [`Ingress::check_head`] and still in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        let in_flight =
            self.context.max_in_flight.saturating_sub(self.in_flight_permits.available_permits());
        u32::try_from(in_flight).unwrap_or(u32::MAX)
    }

    /// Returns the addresses of the instances.
    pub(crate) fn directory(&self) -> &PeerDirectory {
        &self.directory
    }

    /// Returns the configuration key of the limit that applies to a caller.
    fn limit_key(effective: &EffectiveConfig, caller: CallerId) -> CallerId {
        if effective.config.callers.contains_key(&caller) { caller } else { DEFAULT_CALLER.into() }
    }

    /// Returns the median service time and error ratio of a service, or `None` until there are
    /// enough responses.
    pub(crate) fn baseline(&self, service: &ServiceId) -> Option<HopBaseline> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service)?.baseline()
    }

    /// Returns the retry tokens and median service time of each service for a state dump.
    pub(crate) fn service_summaries(&self) -> Vec<(ServiceId, f64, Option<Duration>)> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.iter().map(|(id, state)| state.summary(id)).collect()
    }
}

/// Decrements the metric of requests in flight when dropped.
struct InFlightDecrement<'a>(&'a Metrics);

impl Drop for InFlightDecrement<'_> {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}
