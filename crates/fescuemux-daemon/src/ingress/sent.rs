//! Reporting of an attempt's start and end to the router.

use crate::decisions::SharedState;
use fescuemux_core::base::{InstanceId, ServerId};
use fescuemux_core::route::{AttemptAnswer, Choice, Router};

/// Reports the start of an attempt and exactly one end to the router. If dropped before an end was
/// reported, reports the attempt as canceled.
#[derive(Debug)]
pub(super) struct AttemptReport<'a> {
    router: &'a SharedState<Router>,
    server: ServerId,
    instance: InstanceId,
    reported: bool,
}

impl<'a> AttemptReport<'a> {
    pub(super) fn new(router: &'a SharedState<Router>, choice: &Choice) -> AttemptReport<'a> {
        router.with(|cx, router| router.on_sent(cx, choice));
        let (server, instance) = (choice.server.clone(), choice.instance.clone());
        AttemptReport { router, server, instance, reported: false }
    }

    pub(super) fn responded(mut self, response: AttemptAnswer) {
        self.reported = true;
        self.router.with(|cx, router| router.on_answer(cx, &self.server, response));
    }

    pub(super) fn path_failed(mut self) {
        self.reported = true;
        self.router.with(|cx, router| router.on_path_failure(cx, &self.instance, &self.server));
    }
}

impl Drop for AttemptReport<'_> {
    fn drop(&mut self) {
        if !self.reported {
            self.router.with(|cx, router| router.on_canceled(cx, &self.server));
        }
    }
}
