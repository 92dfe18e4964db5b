use crate::support::ms;
use fescuemux_core::base::Cx;
use fescuemux_core::placement::{Peer, PeerDirectory};
use std::time::Instant;

fn peer(id: &str, domain: &str, incarnation: u64) -> Peer {
    Peer {
        id: id.into(),
        addr: ([127, 0, 0, 1], 7000).into(),
        domain: domain.into(),
        service: "orders".into(),
        incarnation,
    }
}

fn new_directory(now: Instant) -> PeerDirectory {
    let mut directory = PeerDirectory::default();
    for (id, domain) in [("n1", "near"), ("n2", "near"), ("f1", "far"), ("f2", "far")] {
        directory.insert(now, peer(id, domain, 1));
    }
    directory
}

/// Instances of other failure domains must be sampled too, or a fully used local domain would hide
/// their free slots.
#[test]
fn local_and_remote_instances_are_sampled() {
    let now = Instant::now();
    let mut cx = Cx::new(now, 1);
    let directory = new_directory(now);
    for _ in 0..20 {
        let sampled = directory.sample(&mut cx, "orders", "near", 3, &[]);
        let near_count = sampled.iter().filter(|peer| peer.domain == "near").count();
        assert_eq!((sampled.len(), near_count), (3, 2));
    }
    let excluded = ["n1".into(), "f1".into(), "f2".into()];
    let sampled = directory.sample(&mut cx, "orders", "near", 3, &excluded);
    assert_eq!(sampled.iter().map(|peer| peer.id.as_str()).collect::<Vec<_>>(), ["n2"]);
    assert!(directory.sample(&mut cx, "other", "near", 3, &[]).is_empty());
}

/// An instance that timed out is avoided until it responds, unless there are too few other
/// instances.
#[test]
fn silent_instances_are_avoided() {
    let now = Instant::now();
    let mut directory = new_directory(now);
    directory.on_timeout(now, "n1");
    let mut cx = Cx::new(now + ms(100), 1);
    for _ in 0..20 {
        let sampled = directory.sample(&mut cx, "orders", "near", 3, &[]);
        assert!(sampled.iter().all(|peer| peer.id != "n1"));
    }
    assert_eq!(directory.sample(&mut cx, "orders", "near", 4, &[]).len(), 4);
    directory.on_response(now + ms(100), "n1");
    let found = (0..20).any(|_| {
        directory.sample(&mut cx, "orders", "near", 3, &[]).iter().any(|peer| peer.id == "n1")
    });
    assert!(found, "a response ends the backoff");
}

/// Entries expire during an outage of the store. An unlisted instance that still responds must stay
/// known; an unlisted instance that is silent must be removed.
#[test]
fn unlisted_and_silent_instances_are_removed() {
    struct Case {
        name: &'static str,
        response_at_ms: Option<u64>,
        listed_at_ms: Option<u64>,
        checked_at_ms: u64,
        removed: bool,
    }
    let cases = [
        Case {
            name: "early",
            response_at_ms: None,
            listed_at_ms: None,
            checked_at_ms: 2_000,
            removed: false,
        },
        Case {
            name: "silent",
            response_at_ms: None,
            listed_at_ms: None,
            checked_at_ms: 3_500,
            removed: true,
        },
        Case {
            name: "still responds",
            response_at_ms: Some(2_000),
            listed_at_ms: None,
            checked_at_ms: 3_500,
            removed: false,
        },
        Case {
            name: "listed again",
            response_at_ms: None,
            listed_at_ms: Some(1_500),
            checked_at_ms: 9_000,
            removed: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut directory = new_directory(now);
        directory.mark_unlisted(now, "n1");
        if let Some(at) = case.response_at_ms {
            directory.on_response(now + ms(at), "n1");
        }
        if let Some(at) = case.listed_at_ms {
            directory.insert(now + ms(at), peer("n1", "near", 1));
        }
        let expired = directory.remove_expired(now + ms(case.checked_at_ms));
        assert_eq!(expired.iter().any(|id| id == "n1"), case.removed, "{}", case.name);
    }
}

/// A delayed entry of an earlier incarnation must not replace the current one.
#[test]
fn entries_of_earlier_incarnations_are_ignored() {
    let now = Instant::now();
    let mut directory = PeerDirectory::default();
    assert!(directory.insert(now, peer("n1", "near", 5)));
    assert!(!directory.insert(now, peer("n1", "far", 4)));
    assert_eq!(directory.get("n1").map(|peer| peer.domain.as_str()), Some("near"));
    assert!(directory.insert(now, peer("n1", "far", 6)));
    assert_eq!(directory.instance_count("orders"), 1);
}
