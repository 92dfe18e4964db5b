//! A request that the router counts as under way.

use crate::decisions::SharedState;
use fescuemux_core::base::{InstanceId, ServerId};
use fescuemux_core::route::{AttemptAnswer, Choice, Router};

/// Reports exactly one end of an attempt to the router; dropped without one, it counts as
/// canceled.
#[derive(Debug)]
pub(super) struct Sent<'a> {
    router: &'a SharedState<Router>,
    server: ServerId,
    instance: InstanceId,
    ended: bool,
}

impl<'a> Sent<'a> {
    pub(super) fn new(router: &'a SharedState<Router>, choice: &Choice) -> Sent<'a> {
        router.with(|cx, router| router.on_sent(cx, choice));
        let (server, instance) = (choice.server.clone(), choice.instance.clone());
        Sent { router, server, instance, ended: false }
    }

    pub(super) fn answered(mut self, answered: AttemptAnswer) {
        self.ended = true;
        self.router.with(|cx, router| router.on_answer(cx, &self.server, answered));
    }

    pub(super) fn path_failed(mut self) {
        self.ended = true;
        self.router.with(|cx, router| router.on_path_failure(cx, &self.instance, &self.server));
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.router.with(|cx, router| router.on_canceled(cx, &self.server));
        }
    }
}
