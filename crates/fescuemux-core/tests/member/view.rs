//! Members that the exploration drives: the real one and deliberately broken ones.

use fescuemux_core::base::{Cx, InstanceId};
use fescuemux_core::member::{InstanceRecord, MemberConfig, Membership, Message, Output, Update};

/// What the exploration needs of a member.
pub(crate) trait View: Clone {
    fn new(own: InstanceRecord, cx: &Cx) -> Self;
    fn inner(&mut self) -> &mut Membership;
    fn on_message(&mut self, cx: &mut Cx, from: InstanceId, message: Message) -> Vec<Output> {
        self.inner().on_message(cx, from, message)
    }
}

#[derive(Clone)]
pub(crate) struct Real(Membership);

impl View for Real {
    fn new(own: InstanceRecord, cx: &Cx) -> Real {
        Real(Membership::new(MemberConfig::default(), own, cx.now))
    }
    fn inner(&mut self) -> &mut Membership {
        &mut self.0
    }
}

/// Broken: forgets the order of records, so that it accepts older ones.
#[derive(Clone)]
pub(crate) struct AcceptsOlder(Membership, InstanceRecord);

impl View for AcceptsOlder {
    fn new(own: InstanceRecord, cx: &Cx) -> AcceptsOlder {
        AcceptsOlder(Membership::new(MemberConfig::default(), own.clone(), cx.now), own)
    }
    fn inner(&mut self) -> &mut Membership {
        &mut self.0
    }
    fn on_message(&mut self, cx: &mut Cx, from: InstanceId, message: Message) -> Vec<Output> {
        self.0 = Membership::new(MemberConfig::default(), self.1.clone(), cx.now);
        self.0.on_message(cx, from, message)
    }
}

/// Broken: refutes suspicions of others on their behalf.
#[derive(Clone)]
pub(crate) struct RefutesOthers(Membership);

impl View for RefutesOthers {
    fn new(own: InstanceRecord, cx: &Cx) -> RefutesOthers {
        RefutesOthers(Membership::new(MemberConfig::default(), own, cx.now))
    }
    fn inner(&mut self) -> &mut Membership {
        &mut self.0
    }
    fn on_message(&mut self, cx: &mut Cx, from: InstanceId, mut message: Message) -> Vec<Output> {
        for update in &mut message.updates {
            if let Update::Summary(summary) = update
                && summary.instance != *self.0.local_instance()
            {
                summary.precedence.refutation += 1;
            }
        }
        self.0.on_message(cx, from, message)
    }
}
