//! The ingress: takes callers' requests, admits and routes them, and is the only part that
//! retries.
//!
//! Must not know slots, detection or how members find each other.

mod attempt;
mod caller_body;
mod directory;
mod effective;
mod failure;
mod hedge;
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
use self::service_parts::ServiceParts;
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

/// Name in the configuration of the limit that callers without a limit of their own share.
const OTHER_CALLERS: &str = "*";
/// Most callers with a limit of their own, as many as a configuration may name.
const MAX_CALLERS: usize = 65_536;
/// Limit of callers when the configuration names none: no limit.
const UNLIMITED: CallerRateLimit = CallerRateLimit { rate: 1e9, burst: 1e9 };

/// What the ingress needs from the daemon around it.
#[derive(Clone, Debug)]
pub(crate) struct IngressContext {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) keys: KeyRing,
    pub(crate) limits: HttpLimits,
    /// Most caller requests under way.
    pub(crate) max_in_flight: usize,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: StopSignal,
    pub(crate) seed: u64,
}

/// The ingress of one instance.
#[derive(Debug)]
pub(crate) struct Ingress {
    cx: IngressContext,
    pool: Arc<Pool>,
    homes: Arc<KeyHomes>,
    directory: Arc<PeerDirectory>,
    pub(crate) router: SharedState<Router>,
    callers: SharedState<CallerRateLimiter>,
    ids: SharedState<()>,
    services: RwLock<HashMap<ServiceId, Arc<ServiceParts>>>,
    effective_config: RwLock<Option<Arc<EffectiveConfig>>>,
    in_flight_permits: Arc<Semaphore>,
}

impl Ingress {
    pub(crate) fn new(
        cx: IngressContext,
        router: RouterConfig,
        pool: Arc<Pool>,
        homes: Arc<KeyHomes>,
        directory: Arc<PeerDirectory>,
    ) -> Arc<Ingress> {
        let clock = || Arc::clone(&cx.clock);
        let limits = CallerRateLimiterConfig {
            unknown: UNLIMITED,
            max_callers: MAX_CALLERS,
            ..CallerRateLimiterConfig::default()
        };
        let callers = CallerRateLimiter::new(limits, cx.clock.now());
        Arc::new(Ingress {
            router: SharedState::new(clock(), cx.seed, Router::new(router)),
            callers: SharedState::new(clock(), cx.seed.wrapping_add(1), callers),
            ids: SharedState::new(clock(), cx.seed.wrapping_add(2), ()),
            in_flight_permits: Arc::new(Semaphore::new(cx.max_in_flight)),
            directory,
            services: RwLock::default(),
            effective_config: RwLock::default(),
            pool,
            homes,
            cx,
        })
    }

    /// Answers a caller's request.
    pub(crate) async fn handle(
        self: Arc<Ingress>,
        req: Request<Incoming>,
    ) -> Response<OutgoingBody> {
        let started = Instant::now();
        let id: RequestId = self.ids.with(|cx, ()| cx.rng.random());
        self.cx.metrics.in_flight.inc();
        let _in_flight = CountDown(&self.cx.metrics);
        let mut service = ServiceId::default();
        let mut answer = match self.serve(id, req, &mut service).await {
            Ok(answer) => answer,
            Err(failure) => failure.into_answer(),
        };
        let map = answer.headers_mut();
        if let Ok(value) = HeaderValue::try_from(format!("{id:032x}")) {
            map.insert(headers::REQUEST_ID, value);
        }
        let verdict = map.get(headers::VERDICT).and_then(|value| value.to_str().ok());
        let verdict = verdict.and_then(Verdict::parse).unwrap_or(Verdict::MayHaveRun);
        let seconds = started.elapsed().as_secs_f64();
        self.cx.metrics.count_response(&service, answer.status().as_u16(), verdict, seconds);
        answer
    }

    async fn serve(
        &self,
        id: RequestId,
        req: Request<Incoming>,
        service: &mut ServiceId,
    ) -> Result<Response<OutgoingBody>, ErrorResponse> {
        let (parts, body) = req.into_parts();
        let checked = self.check(id, parts, service);
        let (_permit, req) = match checked {
            Ok(checked) => checked,
            Err(failure) => {
                caller_body::discard(body, &self.cx.limits);
                return Err(failure);
            }
        };
        let mut body = CallerBody::take(body, &self.cx.limits, req.deadline).await?;
        let result = self.run_once(&req, &mut body).await;
        if result.is_err() {
            body.discard();
        }
        result
    }

    /// Makes all checks that come before the body.
    fn check(
        &self,
        id: RequestId,
        parts: http::request::Parts,
        service: &mut ServiceId,
    ) -> Result<(SemaphorePermit<'_>, IncomingRequest), ErrorResponse> {
        if self.cx.stop.phase() >= StopPhase::Closing {
            return Err(ErrorResponse::unavailable("this instance is stopping"));
        }
        let permit = self.in_flight_permits.try_acquire();
        let permit =
            permit.map_err(|_| ErrorResponse::unavailable("too many requests under way"))?;
        let effective = self.effective_config();
        let effective = effective
            .ok_or_else(|| ErrorResponse::unavailable("no configuration is in force yet"))?;
        let req = IncomingRequest::new(id, parts, &effective, self.cx.clock.now())?;
        service.clone_from(&req.service.id);
        self.admit_caller(&req.caller)?;
        Ok((permit, req))
    }

    fn admit_caller(&self, caller: &CallerId) -> Result<(), ErrorResponse> {
        match self.callers.with(|cx, callers| callers.admit(cx, caller)) {
            CallerDecision::Admitted => Ok(()),
            CallerDecision::Limited { retry_after } => Err(ErrorResponse::limited(retry_after)),
        }
    }

    /// Returns the callers whose demand the fleet must know, with `members` live daemons.
    pub(crate) fn caller_demands(&self, members: usize) -> Vec<CallerDemand> {
        self.callers.with(|cx, callers| callers.demand_reports(cx, members))
    }

    /// Takes the demand of a caller over all daemons.
    pub(crate) fn set_fleet_demand(&self, caller: &CallerId, fleet: f64) {
        self.callers.with(|cx, callers| callers.set_fleet_demand(cx, caller, fleet));
    }

    /// Puts a generation of the configuration in force.
    pub(crate) fn set_effective_config(&self, effective: Arc<EffectiveConfig>) {
        self.callers.with(|cx, callers| {
            let known = self.effective_config();
            let before = known.iter().flat_map(|known| known.config.callers.keys());
            for gone in before.filter(|caller| !effective.config.callers.contains_key(*caller)) {
                callers.remove(gone);
            }
            for limit in effective.config.callers.values() {
                let rate = f64::from(limit.rate_per_s);
                let limit_of = CallerRateLimit { rate, burst: f64::from(limit.burst) };
                if !callers.set(cx, &limit.caller, limit_of) {
                    tracing::warn!(caller = %limit.caller, "the table of callers is full");
                }
            }
        });
        *self.effective_config.write().unwrap_or_else(PoisonError::into_inner) = Some(effective);
    }

    pub(crate) fn effective_config(&self) -> Option<Arc<EffectiveConfig>> {
        self.effective_config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn parts(&self, service: &fescuemux_core::config::Service) -> Arc<ServiceParts> {
        let known = self.services.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(parts) = known.get(&service.id).filter(|parts| parts.fits(service)) {
            return Arc::clone(parts);
        }
        drop(known);
        let parts = Arc::new(ServiceParts::new(Arc::clone(&self.cx.clock), self.cx.seed, service));
        let mut known = self.services.write().unwrap_or_else(PoisonError::into_inner);
        known.insert(service.id.clone(), Arc::clone(&parts));
        parts
    }

    /// Returns the number of caller requests under way.
    pub(crate) fn in_flight(&self) -> u32 {
        let taken =
            self.cx.max_in_flight.saturating_sub(self.in_flight_permits.available_permits());
        u32::try_from(taken).unwrap_or(u32::MAX)
    }

    /// Returns the directory of instances.
    pub(crate) fn directory(&self) -> &PeerDirectory {
        &self.directory
    }

    /// Returns the name of the limit that applies to a caller.
    fn caller_or_other(effective: &EffectiveConfig, caller: CallerId) -> CallerId {
        if effective.config.callers.contains_key(&caller) { caller } else { OTHER_CALLERS.into() }
    }

    /// Returns the baseline of a service, once there are enough answers.
    pub(crate) fn baseline(&self, service: &ServiceId) -> Option<HopBaseline> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service)?.baseline()
    }

    /// Returns the retry budget and baseline of each service for a dump.
    pub(crate) fn service_summaries(&self) -> Vec<(ServiceId, f64, Option<Duration>)> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.iter().map(|(id, parts)| parts.summary(id)).collect()
    }
}

struct CountDown<'a>(&'a Metrics);

impl Drop for CountDown<'_> {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}
