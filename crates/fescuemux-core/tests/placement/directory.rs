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

fn directory(now: Instant) -> PeerDirectory {
    let mut directory = PeerDirectory::default();
    for (id, domain) in [("n1", "near"), ("n2", "near"), ("f1", "far"), ("f2", "far")] {
        directory.insert(now, peer(id, domain, 1));
    }
    directory
}

/// Guards of the own domain and of others are asked, or a full domain would hide free ones.
#[test]
fn near_and_far_instances_are_picked() {
    let now = Instant::now();
    let mut cx = Cx::new(now, 1);
    let directory = directory(now);
    for _ in 0..20 {
        let picked = directory.sample(&mut cx, "orders", "near", 3, &[]);
        let near = picked.iter().filter(|peer| peer.domain == "near").count();
        assert_eq!((picked.len(), near), (3, 2));
    }
    let excluded = ["n1".into(), "f1".into(), "f2".into()];
    let picked = directory.sample(&mut cx, "orders", "near", 3, &excluded);
    assert_eq!(picked.iter().map(|peer| peer.id.as_str()).collect::<Vec<_>>(), ["n2"]);
    assert!(directory.sample(&mut cx, "other", "near", 3, &[]).is_empty());
}

/// A silent path rests, and is used when nothing else is left.
#[test]
fn silent_paths_rest() {
    let now = Instant::now();
    let mut directory = directory(now);
    directory.on_timeout(now, "n1");
    let mut cx = Cx::new(now + ms(100), 1);
    for _ in 0..20 {
        let picked = directory.sample(&mut cx, "orders", "near", 3, &[]);
        assert!(picked.iter().all(|peer| peer.id != "n1"));
    }
    assert_eq!(directory.sample(&mut cx, "orders", "near", 4, &[]).len(), 4);
    directory.on_response(now + ms(100), "n1");
    let found = (0..20).any(|_| {
        directory.sample(&mut cx, "orders", "near", 3, &[]).iter().any(|peer| peer.id == "n1")
    });
    assert!(found, "an answer ends the rest");
}

/// Entries lapse while the store is away; an instance that still answers must stay known, and
/// one that does neither must go.
#[test]
fn unlisted_and_silent_instances_are_dropped() {
    struct Case {
        name: &'static str,
        heard_at: Option<u64>,
        listed_at: Option<u64>,
        swept_at: u64,
        dropped: bool,
    }
    let cases = [
        Case { name: "early", heard_at: None, listed_at: None, swept_at: 2_000, dropped: false },
        Case { name: "silent", heard_at: None, listed_at: None, swept_at: 3_500, dropped: true },
        Case {
            name: "answers",
            heard_at: Some(2_000),
            listed_at: None,
            swept_at: 3_500,
            dropped: false,
        },
        Case {
            name: "back",
            heard_at: None,
            listed_at: Some(1_500),
            swept_at: 9_000,
            dropped: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut directory = directory(now);
        directory.mark_unlisted(now, "n1");
        if let Some(at) = case.heard_at {
            directory.on_response(now + ms(at), "n1");
        }
        if let Some(at) = case.listed_at {
            directory.insert(now + ms(at), peer("n1", "near", 1));
        }
        let gone = directory.remove_expired(now + ms(case.swept_at));
        assert_eq!(gone.iter().any(|id| id == "n1"), case.dropped, "{}", case.name);
    }
}

/// A late entry of an earlier start must not replace the current one.
#[test]
fn entries_of_earlier_starts_are_ignored() {
    let now = Instant::now();
    let mut directory = PeerDirectory::default();
    assert!(directory.insert(now, peer("n1", "near", 5)));
    assert!(!directory.insert(now, peer("n1", "far", 4)));
    assert_eq!(directory.get("n1").map(|peer| peer.domain.as_str()), Some("near"));
    assert!(directory.insert(now, peer("n1", "far", 6)));
    assert_eq!(directory.instance_count("orders"), 1);
}
