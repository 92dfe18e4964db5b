//! Attempts of one request until it has its final answer.

use super::attempt::{Attempted, try_once};
use super::request::Call;
use super::request_body::RequestBody;
use super::{Answer, RETRY_IN};
use crate::node::Node;
use fescuemux_core::placement::Refusal;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use rand::Rng;
use std::time::{Duration, Instant};

/// Largest multiple of the expected wait that a refused caller is told, so that callers who are
/// refused together do not come back together.
const RETRY_SPREAD: f64 = 1.5;

/// Pause after which a request whose double found no slot is doubled.
const HEDGE_AGAIN: Duration = Duration::from_millis(120);

/// Times that a request is placed anew after a guard or server refused it late.
const MAX_PLACEMENTS: u32 = 6;

/// Returns the final answer, at the deadline at the latest.
pub(super) async fn run(node: &Node, call: &Call, body: RequestBody) -> Answer {
    let attempts =
        Attempts { node, call, body: &body, last: None, placements: 0, waited_again: false };
    match tokio::time::timeout_at(call.deadline.into(), attempts.run()).await {
        Ok(answer) => answer,
        Err(_) if call.may_have_run.get() => {
            Answer::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline")
        }
        Err(_) => {
            Answer::refused(StatusCode::SERVICE_UNAVAILABLE, "deadline_in_queue", Some(RETRY_IN))
        }
    }
}

/// Attempts of one request.
struct Attempts<'a> {
    node: &'a Node,
    call: &'a Call,
    body: &'a RequestBody,
    /// Best answer so far: a server's own error, or a doubt.
    last: Option<Answer>,
    placements: u32,
    /// Whether an attempt after a failed one was placed with a wait.
    waited_again: bool,
}

impl Attempts<'_> {
    async fn run(mut self) -> Answer {
        let mut running = FuturesUnordered::new();
        running.push(try_once(self.node, self.call, self.body, true));
        self.placements += 1;
        loop {
            let hedge_at = self.hedge_at(running.len());
            let ended = tokio::select! {
                ended = running.next() => ended,
                () = self.call.sent_wake.notified() => continue,
                () = sleep_until(hedge_at) => {
                    self.call.hedge_at.set(None);
                    if self.call.claim() {
                        running.push(try_once(self.node, self.call, self.body, false));
                    }
                    continue;
                }
            };
            let again = match ended {
                Some(Attempted::Answered(answer)) if !answer.is_server_error() => return answer,
                Some(Attempted::Answered(answer)) => self.on_server_error(answer),
                Some(Attempted::NoSlot(refusal)) => self.on_no_slot(&refusal, running.is_empty()),
                Some(Attempted::NotRun { reason, seen }) => {
                    self.on_not_run(reason, seen, running.is_empty())
                }
                Some(Attempted::Unknown { reason }) => self.on_unknown(reason),
                None => false,
            };
            if again {
                self.placements += 1;
                running.push(try_once(self.node, self.call, self.body, true));
            } else if running.is_empty() {
                let missing = || Answer::unknown(StatusCode::BAD_GATEWAY, "no_answer");
                return self.last.unwrap_or_else(missing);
            }
        }
    }

    /// Only a single running attempt of a request that may be repeated is doubled.
    fn hedge_at(&self, running: usize) -> Option<Instant> {
        let idempotent = self.call.policy.class.is_idempotent();
        let alone = running == 1 && self.body.is_whole();
        self.call.hedge_at.get().filter(|_| idempotent && alone)
    }

    /// A server's own error is final unless the request may be repeated.
    fn on_server_error(&mut self, answer: Answer) -> bool {
        self.last = Some(answer);
        self.may_repeat_after_run()
    }

    fn on_unknown(&mut self, reason: &'static str) -> bool {
        let status = match reason {
            "deadline" | "stuck" => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        self.last.get_or_insert_with(|| Answer::unknown(status, reason));
        self.may_repeat_after_run()
    }

    /// An attempt that no server saw is placed again at once; one that a server refused counts
    /// against the budget.
    fn on_not_run(&mut self, reason: &'static str, seen: bool, alone: bool) -> bool {
        let earlier_may_have_run = self.last.is_some();
        self.call.may_have_run.set(earlier_may_have_run || !alone);
        if !earlier_may_have_run && alone {
            let again = self.body.is_whole() && self.placements < MAX_PLACEMENTS;
            if again && (!seen || self.call.claim()) {
                return true;
            }
            let status = StatusCode::SERVICE_UNAVAILABLE;
            self.last = Some(Answer::refused(status, reason, Some(RETRY_IN)));
        }
        false
    }

    fn on_no_slot(&mut self, refusal: &Refusal, alone: bool) -> bool {
        if !alone {
            // The running attempt goes on; its double is tried again a little later.
            self.call.unclaim();
            self.call.hedge_at.set(Some(self.node.now() + HEDGE_AGAIN));
        }
        // A double that found no slot at once waits for one when nothing else runs any more.
        if alone && self.last.is_some() && self.is_repeatable() && !self.waited_again {
            self.waited_again = true;
            return true;
        }
        if alone && self.last.is_none() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reason = refusal.reason.as_str();
            let spread = self.node.decide(|cx| cx.rng.random_range(1.0..RETRY_SPREAD));
            let retry_in = refusal.retry_in.mul_f64(spread);
            self.last = Some(Answer::refused(status, reason, Some(retry_in)));
        }
        false
    }

    fn may_repeat_after_run(&self) -> bool {
        self.is_repeatable() && self.call.claim()
    }

    fn is_repeatable(&self) -> bool {
        self.call.policy.class.is_idempotent()
            && self.body.is_whole()
            && self.placements < MAX_PLACEMENTS
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => futures::future::pending().await,
    }
}
