//! Members that the exploration drives: unmodified members, and members with a deliberate fault.

use fescuemux_core::base::{Cx, InstanceId};
use fescuemux_core::member::{InstanceRecord, MemberConfig, Membership, Message, Output, Update};

/// Member that the exploration can drive.
pub(crate) trait ExploredMember: Clone {
    fn new(local: InstanceRecord, cx: &Cx) -> Self;
    fn membership(&mut self) -> &mut Membership;
    fn on_message(&mut self, cx: &mut Cx, from: InstanceId, message: Message) -> Vec<Output> {
        self.membership().on_message(cx, from, message)
    }
}

#[derive(Clone)]
pub(crate) struct UnmodifiedMember(Membership);

impl ExploredMember for UnmodifiedMember {
    fn new(local: InstanceRecord, cx: &Cx) -> UnmodifiedMember {
        UnmodifiedMember(Membership::new(MemberConfig::default(), local, cx.now))
    }
    fn membership(&mut self) -> &mut Membership {
        &mut self.0
    }
}

/// Broken member that resets its table before each message, so that it accepts older records.
#[derive(Clone)]
pub(crate) struct AcceptsOlderRecords(Membership, InstanceRecord);

impl ExploredMember for AcceptsOlderRecords {
    fn new(local: InstanceRecord, cx: &Cx) -> AcceptsOlderRecords {
        AcceptsOlderRecords(Membership::new(MemberConfig::default(), local.clone(), cx.now), local)
    }
    fn membership(&mut self) -> &mut Membership {
        &mut self.0
    }
    fn on_message(&mut self, cx: &mut Cx, from: InstanceId, message: Message) -> Vec<Output> {
        self.0 = Membership::new(MemberConfig::default(), self.1.clone(), cx.now);
        self.0.on_message(cx, from, message)
    }
}

/// Broken member that refutes received reports about other members on their behalf.
#[derive(Clone)]
pub(crate) struct RefutesOthers(Membership);

impl ExploredMember for RefutesOthers {
    fn new(local: InstanceRecord, cx: &Cx) -> RefutesOthers {
        RefutesOthers(Membership::new(MemberConfig::default(), local, cx.now))
    }
    fn membership(&mut self) -> &mut Membership {
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
