//! Property tests of record precedence and merging.

use crate::net::{name, record, server};
use fescuemux_core::base::Cx;
use fescuemux_core::member::{
    Body, ConfigVersion, InstanceRecord, MemberConfig, MemberState, Membership, Message, Update,
};
use proptest::prelude::{Strategy, prop_assert, prop_assert_eq, proptest};
use std::time::Instant;

/// Generates records of member 1. Incarnation and version determine the content, because only
/// member 1 itself changes the content.
fn any_record() -> impl Strategy<Value = InstanceRecord> {
    (1_u64..3, 1_u64..4, 0_u32..3, 0_usize..4, 0_u64..9).prop_map(
        |(incarnation, version, refutation, state, generation)| {
            let states =
                [MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead];
            InstanceRecord {
                refutation,
                state: states[state],
                generation,
                servers: vec![server((incarnation * 100 + version) as u16)],
                ..record(1, incarnation, version)
            }
        },
    )
}

fn receive(member: &mut Membership, cx: &mut Cx, record: InstanceRecord) {
    let updates = vec![Update::Full { record, dead_for_secs: 0 }];
    let config = ConfigVersion::default();
    member.on_message(cx, name(2), Message { config, digest: 0, updates, body: Body::Notify });
}

fn member(cx: &Cx) -> Membership {
    Membership::new(MemberConfig::default(), record(0, 1, 1), cx.now)
}

proptest! {
    /// Guards against a merge that depends on the order of messages.
    #[test]
    fn merge_is_a_join(a in any_record(), b in any_record(), c in any_record()) {
        prop_assert_eq!(a.clone().merge(a.clone()), a.clone());
        prop_assert_eq!(a.clone().merge(b.clone()), b.clone().merge(a.clone()));
        let left = a.clone().merge(b.clone()).merge(c.clone());
        prop_assert_eq!(left, a.merge(b.merge(c)));
    }

    /// Guards against accepting an older incarnation or version.
    #[test]
    fn content_version_never_decreases(records in proptest::collection::vec(any_record(), 1..20)) {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut member = member(&cx);
        let mut newest = None;
        for record in records {
            newest = newest.max(Some(record.precedence().content_version()));
            receive(&mut member, &mut cx, record);
            let held = member.record(&name(1)).map(|r| r.precedence().content_version());
            prop_assert_eq!(held, newest);
        }
    }

    /// Guards against views that differ although both members received every record.
    #[test]
    fn views_agree_after_exchanging_records(records in proptest::collection::vec(any_record(), 1..8)) {
        let mut cx = Cx::new(Instant::now(), 1);
        let (mut a, mut b) = (member(&cx), member(&cx));
        for record in &records {
            receive(&mut a, &mut cx, record.clone());
        }
        for record in records.iter().rev() {
            receive(&mut b, &mut cx, record.clone());
        }
        for _ in 0..2 {
            let held = a.record(&name(1)).unwrap().clone();
            receive(&mut b, &mut cx, held);
            let held = b.record(&name(1)).unwrap().clone();
            receive(&mut a, &mut cx, held);
        }
        let (a, b) = (a.record(&name(1)).unwrap().precedence(), b.record(&name(1)).unwrap().precedence());
        // A member that considered the instance live waits for its own suspicion timeout, so the
        // state may be suspect at one member and dead at the other until this timeout.
        let suspect_or_dead = |s| matches!(s, MemberState::Suspect | MemberState::Dead);
        prop_assert!(a.state == b.state || suspect_or_dead(a.state) && suspect_or_dead(b.state));
        prop_assert_eq!((a.content_version(), a.refutation), (b.content_version(), b.refutation));
    }
}
