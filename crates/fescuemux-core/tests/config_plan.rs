//! Guards against plans that do not match the intent of the operator, against a daemon that returns
//! to an older configuration, and against changes of the stored layout.

use fescuemux_core::base::Cx;
use fescuemux_core::config::{
    CallerLimit, CapacityReport, Change, Chunk, Config, CurrentHead, FindingKind, Head,
    HeadComparison, Intent, LayoutError, Part, Plan, PlanBase, PlanError, Route, Service,
    bucket_of, explain_stale, join_chunks, make_plan, split_into_chunks,
};
use std::time::{Instant, UNIX_EPOCH};

fn put_service(id: &str, floor_slots: u32) -> Change {
    Change::PutService(Service { floor_slots, ..Service::new(id) })
}

fn route(id: &str, path: &str, service: &str, idempotent: bool) -> Change {
    Change::PutRoute(Route {
        id: id.into(),
        method: None,
        host: None,
        path_prefix: path.into(),
        service: service.into(),
        idempotent,
        deadline: None,
    })
}

fn limit(caller: &str, rate_per_s: u32) -> Change {
    Change::PutCaller(CallerLimit { caller: caller.into(), rate_per_s, burst: 1 })
}

fn config(changes: &[Change]) -> Config {
    let mut config = Config::default();
    changes.iter().for_each(|change| config.apply_change(change));
    config
}

fn base_config() -> Config {
    config(&[
        put_service("permits", 12),
        put_service("archive", 0),
        route("upload", "/up", "permits", false),
    ])
}

fn plan_on(config: &Config, intent: &Intent) -> Result<Plan, PlanError> {
    let mut capacity = CapacityReport::default();
    capacity.slots.insert("permits".into(), 24);
    let base = PlanBase { generation: 4, config, rollback_target: None };
    make_plan(&mut Cx::new(Instant::now(), 3), base, &capacity, intent, "ops".into())
}

struct Case {
    name: &'static str,
    changes: Vec<Change>,
    warnings: Vec<FindingKind>,
    refusals: Vec<FindingKind>,
}

#[test]
fn findings_of_changes() {
    let case = |name, changes, warnings: &[FindingKind], refusals: &[FindingKind]| Case {
        name,
        changes,
        warnings: warnings.into(),
        refusals: refusals.into(),
    };
    use FindingKind as F;
    let cases = [
        case("floor below capacity", vec![put_service("permits", 20)], &[], &[]),
        case("floor at capacity", vec![put_service("permits", 24)], &[F::FloorBlocksEjection], &[]),
        case(
            "floor without announced slots",
            vec![put_service("archive", 1)],
            &[F::FloorBlocksEjection],
            &[],
        ),
        case("same content", vec![put_service("permits", 12)], &[], &[F::NothingToChange]),
        case("no change", vec![], &[], &[F::NothingToChange]),
        case(
            "floor too large",
            vec![put_service("archive", 2_000_000)],
            &[F::FloorBlocksEjection],
            &[F::OutOfBounds],
        ),
        case(
            "remove service with servers and routes",
            vec![Change::RemoveService("permits".into())],
            &[F::RemovedWithServers],
            &[F::UnknownService],
        ),
        case(
            "remove service and its routes",
            vec![Change::RemoveService("permits".into()), Change::RemoveRoute("upload".into())],
            &[F::RemovedWithServers],
            &[],
        ),
        case(
            "remove unknown route",
            vec![Change::RemoveRoute("uplaod".into()), limit("a", 1)],
            &[],
            &[F::NoSuchItem],
        ),
        case("same item twice", vec![limit("a", 1), limit("a", 2)], &[], &[F::ChangedTwice]),
        case(
            "route to unknown service",
            vec![route("x", "/x", "permit", false)],
            &[],
            &[F::UnknownService],
        ),
        case("same selector", vec![route("x", "/up", "archive", false)], &[], &[F::SameSelector]),
        case("bad path", vec![route("x", "up", "archive", false)], &[], &[F::OutOfBounds]),
        case(
            "becomes idempotent",
            vec![route("upload", "/up", "permits", true)],
            &[F::BecomesIdempotent],
            &[],
        ),
    ];
    for Case { name, changes, warnings, refusals } in cases {
        let plan = plan_on(&base_config(), &Intent::Changes(changes)).unwrap();
        let kinds_of = |f: &[fescuemux_core::config::Finding]| f.iter().map(|f| f.kind).collect();
        let found: (Vec<F>, Vec<F>) = (kinds_of(&plan.warnings), kinds_of(&plan.refusals));
        assert_eq!(found, (warnings, refusals), "{name}");
    }
}

#[test]
fn findings_are_bounded() {
    let mut base = base_config();
    (0..500)
        .map(|i| route(&format!("r{i}"), &format!("/r{i}"), "permits", false))
        .for_each(|change| base.apply_change(&change));
    let remove = Intent::Changes(vec![Change::RemoveService("permits".into())]);
    let refusals = plan_on(&base, &remove).unwrap().refusals;
    assert_eq!(refusals.len(), 101);
    assert_eq!(refusals[100].text, "401 more findings are left out");
}

#[test]
fn plan_states_floors_and_produces_the_target() {
    let base = base_config();
    let target = config(&[put_service("permits", 16), put_service("registry", 4), limit("a", 3)]);
    let plan = plan_on(&base, &Intent::Content(Box::new(target.clone()))).unwrap();
    let effects: Vec<_> = plan
        .effects
        .iter()
        .map(|e| (e.service.as_str(), e.slots_announced, e.floor_before, e.floor_after))
        .collect();
    let expected = [
        ("archive", 0, Some(0), None),
        ("permits", 24, Some(12), Some(16)),
        ("registry", 0, None, Some(4)),
    ];
    assert_eq!(effects, expected);
    let mut applied = base.clone();
    applied.apply_differences(&plan.changes).unwrap();
    assert_eq!(applied, target);
    assert!(applied.apply_differences(&plan.changes).is_err(), "a plan applies only to its base");
}

#[test]
fn invalid_intents_are_rejected() {
    let unknown = plan_on(&base_config(), &Intent::ReturnTo(2));
    assert_eq!(unknown, Err(PlanError::UnknownGeneration(2)));
    let many = vec![limit("a", 1); 10_001];
    let too_many = plan_on(&base_config(), &Intent::Changes(many));
    assert_eq!(too_many, Err(PlanError::TooManyChanges(10_001)));
}

#[test]
fn stale_plan_lists_overlapping_changes() {
    let base = base_config();
    let plan =
        plan_on(&base, &Intent::Changes(vec![put_service("permits", 20), limit("a", 1)])).unwrap();
    let mut current = base.clone();
    [put_service("permits", 22), limit("b", 1)]
        .iter()
        .for_each(|change| current.apply_change(change));
    let stale = explain_stale(&plan, Some(&base), &current, 5);
    assert_eq!(stale.differences_since_base.as_ref().map(Vec::len), Some(2));
    assert_eq!(stale.overlap, [put_service("permits", 0).item_name()]);
    let without_base = explain_stale(&plan, None, &current, 90);
    assert_eq!((without_base.differences_since_base, without_base.overlap.len()), (None, 0));
}

fn heads(plans: &[u128]) -> Vec<Head> {
    let mut heads: Vec<Head> = Vec::new();
    for plan in plans {
        let name = (Part::Services, Some([*plan as u8; 32]));
        heads.push(Head::next(heads.last(), *plan, "ops".into(), UNIX_EPOCH, &[name]));
    }
    heads
}

#[test]
fn current_never_steps_back() {
    let ours = heads(&[1, 2, 3]);
    let forked = heads(&[1, 9, 8, 7]);
    let conflict = |generation, ours, theirs| HeadComparison::Conflict { generation, ours, theirs };
    let cases = [
        (&ours[0], HeadComparison::Older),
        (&ours[1], HeadComparison::Same),
        (&ours[2], HeadComparison::Newer),
        (&forked[0], HeadComparison::Older),
        (&forked[1], conflict(2, 2, 9)),
        (&forked[3], conflict(2, 2, 9)),
    ];
    for (head, expected) in cases {
        let mut current = CurrentHead::new();
        assert_eq!(current.install(ours[1].clone()), HeadComparison::Newer);
        assert_eq!(current.install(head.clone()), expected);
        let generation = if expected == HeadComparison::Newer { 3 } else { 2 };
        assert_eq!(current.generation(), generation);
        assert_eq!(current.head().map(Head::plan), Some(generation.into()));
    }
}

#[test]
fn head_remembers_32_older_generations() {
    let plans: Vec<u128> = (1..=50).collect();
    let heads = heads(&plans);
    let last = &heads[49];
    for generation in 0..=50 {
        let names = last.names_at(generation);
        let expected = match generation {
            0..=16 => None,
            _ => Some(heads[generation as usize - 1].names.clone()),
        };
        assert_eq!(names, expected, "generation {generation}");
    }
    assert_eq!((last.generation_of(18), last.generation_of(17)), (Some(18), None));
}

#[test]
fn bucket_assignment_is_stable_and_even() {
    // Published FNV-1a test vectors. The assertion folds their hashes to 16 bits, as `bucket_of`
    // does.
    let cases = [("", 0x811c_9dc5u32), ("a", 0xe40c_292c), ("foobar", 0xbf9c_f968)];
    for (name, hash) in cases {
        assert_eq!(u32::from(bucket_of(name)), (hash ^ (hash >> 16)) % 64);
    }
    let bucket_sizes: Vec<usize> = split_into_chunks(&config(
        &(0..8_100).map(|i| limit(&format!("c{i}"), 1)).collect::<Vec<_>>(),
    ))
    .values()
    .map(|chunk| match chunk {
        Chunk::Callers(_, callers) => callers.len(),
        Chunk::Services(_) | Chunk::Routes(..) => 0,
    })
    .collect();
    assert_eq!(bucket_sizes.len(), 64);
    assert!(bucket_sizes.iter().all(|size| (60..=250).contains(size)), "{bucket_sizes:?}");
}

#[test]
fn invalid_chunk_sets_are_rejected() {
    let limit = CallerLimit { caller: "a".into(), rate_per_s: 1, burst: 1 };
    let bucket = bucket_of("a");
    let misplaced = Chunk::Callers((bucket + 1) % 64, vec![limit.clone()]);
    assert!(matches!(join_chunks([&misplaced]), Err(LayoutError::WrongBucket(_))));
    let duplicated = Chunk::Callers(bucket, vec![limit.clone(), limit]);
    assert!(matches!(join_chunks([&duplicated]), Err(LayoutError::Duplicate(_))));
}
