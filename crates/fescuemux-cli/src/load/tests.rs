//! Tests of the load generator against stand-in servers, and of its single modules.

use super::args::Args;
use super::check::ResponseCheck;
use super::driver::run_load;
use super::exchange::{ScheduledRequest, exchange};
use super::expected::Expected;
use super::outcome::{CheckResult, CompleteResponse, Failure, Outcome};
use super::plan::RequestTemplate;
use super::pool::Pool;
use super::report::{Report, TargetReport};
use super::schedule::{ArrivalProcess, MergedSchedule, Schedule};
use super::totals::Totals;
use super::{plot, run, table};
use clap::{CommandFactory, Parser};
use fescuemux_standins::server::{ServerFault, ServerOptions, StandInServer};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    args: Args,
}

fn args(line: &str) -> Result<Args, clap::Error> {
    let words = std::iter::once("load").chain(line.split_whitespace());
    Cli::try_parse_from(words).map(|cli| cli.args)
}

/// Starts a server with enough slots for all requests, so that only the tested fault makes
/// requests fail.
fn server() -> StandInServer {
    let options = ServerOptions { slots: 1000, service_time: Duration::ZERO, ..Default::default() };
    StandInServer::start(options).expect("the stand-in server starts")
}

/// Sends 40 requests at constant intervals in 0.2 s.
fn load(addr: SocketAddr, extra_args: &str) -> Report {
    let warm_up = if extra_args.contains("--warm-up") { "" } else { "--warm-up 0s" };
    let line = format!("--target t={addr} --rate 200 --duration 200ms --schedule constant");
    let args = args(&format!("{line} {warm_up} {extra_args}")).expect("valid arguments");
    run_load(&args).expect("the load runs")
}

fn single_target(report: &Report) -> &TargetReport {
    assert_eq!(report.targets.len(), 1);
    &report.targets[0]
}

/// Fails if a request is lost, sent twice or not checked.
#[test]
fn every_scheduled_request_reaches_the_server_once() {
    struct Case {
        extra_args: &'static str,
        method: &'static str,
    }
    let cases = [
        Case { extra_args: "", method: "GET" },
        Case { extra_args: "--method POST --body-bytes 100000 --path /a?b=c", method: "POST" },
        Case { extra_args: "--answer-bytes 50000 --connections 1", method: "GET" },
        Case { extra_args: "--method HEAD --require-checks", method: "HEAD" },
        Case { extra_args: "--key uuidv7 --method PUT --deadline-ms 60000", method: "PUT" },
        Case { extra_args: "--warm-up 100ms --header x-a:b", method: "GET" },
    ];
    for Case { extra_args, method } in cases {
        let server = server();
        let report = load(server.addr(), extra_args);
        let target = single_target(&report);
        assert_eq!((target.scheduled, target.answered), (40, 40), "{extra_args}");
        assert_eq!((target.checks.passed, target.checks.failed), (40, 0), "{target:?}");
        assert_eq!((target.statuses[&200], target.latency.count), (40, 40), "{extra_args}");
        assert_eq!(report.method, method);
        assert!(report.passed());
        let executions = server.executions();
        assert_eq!(executions.len() as u64, 40 + target.warm_up_requests, "{extra_args}");
        let mut tags: Vec<_> = executions.iter().filter_map(|e| e.tag.clone()).collect();
        tags.sort();
        tags.dedup();
        assert_eq!(tags.len(), executions.len(), "tags repeat: {extra_args}");
        assert_eq!(target.warm_up_requests, if extra_args.contains("--warm-up") { 20 } else { 0 });
        let keys = executions.iter().filter(|e| e.idempotency_key.is_some()).count();
        assert_eq!(keys, if extra_args.contains("--key") { 40 } else { 0 });
    }
}

/// Fails if a failure is counted as a response or under another name.
#[test]
fn each_fault_is_counted_under_its_name() {
    struct Case {
        fault: ServerFault,
        extra_args: &'static str,
        answered: u64,
        failure: Option<&'static str>,
        failed_checks: u64,
        passed: bool,
    }
    let case = |fault, extra_args, answered, failure, failed_checks, passed| Case {
        fault,
        extra_args,
        answered,
        failure,
        failed_checks,
        passed,
    };
    let cases = [
        case(ServerFault::Errors(1.0), "", 40, None, 0, true),
        case(ServerFault::WrongResponse(1.0), "", 40, None, 40, false),
        case(ServerFault::WrongResponse(1.0), "--answer-bytes 9", 40, None, 40, false),
        case(ServerFault::TruncatedResponse(1.0), "", 0, Some("cut"), 0, false),
        case(ServerFault::TruncatedResponse(1.0), "--answer-bytes 99999", 0, Some("cut"), 0, false),
        case(ServerFault::LostResponse(1.0), "", 0, Some("closed"), 0, false),
        case(ServerFault::BlackHole, "--timeout 50ms", 0, Some("timeout"), 0, false),
    ];
    for case in cases {
        let server = server();
        server.set_fault(case.fault.clone());
        let report = load(server.addr(), case.extra_args);
        let target = single_target(&report);
        assert_eq!(target.answered, case.answered, "{:?}: {target:?}", case.fault);
        assert_eq!(target.checks.failed, case.failed_checks, "{:?}", case.fault);
        let expected = case.failure.map(|failure| (failure, 40));
        assert_eq!(target.failures.clone().into_iter().next(), expected, "{:?}", case.fault);
        assert_eq!(report.passed(), case.passed, "{:?}", case.fault);
    }
}

/// Fails if a run passes although nothing listens at the target.
#[test]
fn a_stopped_target_fails_the_run() {
    let server = server();
    server.stop();
    let report = load(server.addr(), "");
    assert_eq!(single_target(&report).failures.get("connect"), Some(&40));
    assert!(!report.passed());
}

/// Fails if the verdict of a shed request is not counted.
#[test]
fn verdicts_of_shed_requests_are_counted() {
    let server = StandInServer::start(ServerOptions { slots: 0, ..Default::default() })
        .expect("the stand-in server starts");
    let report = load(server.addr(), "");
    let target = single_target(&report);
    assert_eq!((target.statuses.get(&503), target.verdicts.get("not-run")), (Some(&40), Some(&40)));
}

/// Fails if the load generator has coordinated omission: latency would lack the time that a request
/// waits behind a slow earlier request. With one connection and 20 ms per request, request n
/// cannot end before n × 20 ms, although it is scheduled at n × 5 ms.
#[test]
fn latency_includes_the_wait_behind_a_stall() {
    let options = ServerOptions { service_time: Duration::from_millis(20), ..Default::default() };
    let server = StandInServer::start(options).expect("the stand-in server starts");
    let report = load(server.addr(), "--connections 1");
    let target = single_target(&report);
    assert_eq!((target.answered, server.peak_concurrency()), (40, 1));
    // Each request waits 15 ms longer than the previous one, less 1 ms for rounding in the
    // histogram and the timer.
    assert!(target.latency.max_us > 39 * 14_000, "{:?}", target.latency);
    assert!(target.latency.p50_us > 19 * 14_000, "{:?}", target.latency);
    assert!(target.send_delay.max_us > 38 * 14_000, "{:?}", target.send_delay);
}

/// Fails if latency counts from the actual instead of the intended send time.
#[test]
fn latency_counts_from_the_intended_send_time() {
    let server = server();
    let args = args(&format!("--target t={}", server.addr())).expect("valid arguments");
    let (template, pool) = (RequestTemplate::new(&args), Pool::new(vec![server.addr()], 1));
    let delay = Duration::from_secs(10);
    let intended_at = Instant::now().checked_sub(delay).expect("the machine has been up for 10 s");
    let scheduled =
        ScheduledRequest { target: 0, index: 0, intended_offset: Duration::ZERO, intended_at };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let timeout = Duration::from_secs(600);
    let outcome =
        runtime.expect("a runtime").block_on(exchange(&template, &pool, scheduled, timeout));
    assert!(outcome.result.is_ok() && outcome.latency >= delay && outcome.send_delay >= delay);
}

/// Fails if targets are loaded one after the other and so under different conditions.
#[test]
fn targets_are_interleaved_and_compared() {
    let (first, second) = (server(), server());
    let line = format!(
        "--target a={} --target b={},{} --rate 100 --duration 300ms --warm-up 0s \
         --schedule constant",
        first.addr(),
        second.addr(),
        second.addr()
    );
    let report = run_load(&args(&line).expect("valid arguments")).expect("the load runs");
    assert_eq!([report.targets[0].answered, report.targets[1].answered], [30, 30]);
    assert_eq!((report.added.len(), report.added[0].target.as_str()), (1, "b"));
    let difference =
        report.targets[1].latency.p50_us as i64 - report.targets[0].latency.p50_us as i64;
    assert_eq!(report.added[0].p50_us, difference);
    let last_start = |server: &StandInServer| server.executions().iter().map(|e| e.started).max();
    let second_start = second.executions().iter().map(|e| e.started).min();
    assert!(second_start < last_start(&first), "the second target started after the first ended");
}

/// Fails if a schedule differs between runs with one seed, or misses the rate.
#[test]
fn schedules_are_seeded_and_hold_the_rate() {
    let duration = Duration::from_secs(100);
    let times = |process, seed, part| -> Vec<Duration> {
        Schedule::new(process, 50.0, duration, seed, part).collect()
    };
    assert_eq!(
        times(ArrivalProcess::Poisson, 1, (0, 2)),
        times(ArrivalProcess::Poisson, 1, (0, 2))
    );
    assert_ne!(
        times(ArrivalProcess::Poisson, 1, (0, 2)),
        times(ArrivalProcess::Poisson, 2, (0, 2))
    );
    assert_ne!(
        times(ArrivalProcess::Poisson, 1, (0, 2)),
        times(ArrivalProcess::Poisson, 1, (1, 2))
    );
    let poisson = times(ArrivalProcess::Poisson, 1, (0, 1));
    // Three standard deviations around 5,000.
    assert!((4_788..=5_212).contains(&poisson.len()), "{}", poisson.len());
    assert!(poisson.is_sorted() && poisson.last() < Some(&duration));
    // A share of 1/e of exponential distances is above the mean of 20 ms.
    let above = poisson.windows(2).filter(|two| two[1] - two[0] > Duration::from_millis(20));
    let share = above.count() as f64 / poisson.len() as f64;
    assert!((0.34..0.40).contains(&share), "{share}");
    assert_eq!(times(ArrivalProcess::Constant, 1, (0, 2)).len(), 5_000);
    let both =
        (0..2).map(|index| Schedule::new(ArrivalProcess::Constant, 50.0, duration, 1, (index, 2)));
    let merged: Vec<usize> =
        MergedSchedule::new(both.collect()).map(|(target, _)| target).collect();
    assert!(merged.windows(2).all(|two| two[0] != two[1]), "targets do not alternate");
}

fn outcome(
    intended_offset_ms: u64,
    latency_ms: u64,
    result: Result<CompleteResponse, Failure>,
) -> Outcome {
    let [intended_offset, latency] = [intended_offset_ms, latency_ms].map(Duration::from_millis);
    Outcome { target: 0, intended_offset, send_delay: Duration::ZERO, latency, result }
}

fn complete(check: CheckResult) -> Result<CompleteResponse, Failure> {
    Ok(CompleteResponse { status: 200, verdict: "absent", check })
}

/// Fails if the results contain warm-up requests, the quantiles lack timeouts or are lowered by
/// fast failures, or wrong responses are not counted during the warm-up.
#[test]
fn totals_count_requests_failures_and_checks() {
    let second = Duration::from_secs(1);
    let mut totals = Totals::new("t", second, second, false);
    totals.record(outcome(999, 5_000, complete(CheckResult::Failed("wrong".to_owned()))));
    totals.record(outcome(1_000, 10, complete(CheckResult::Passed)));
    totals.record(outcome(1_150, 20, complete(CheckResult::NotCheckable)));
    totals.record(outcome(1_950, 900, Err(Failure::Timeout)));
    totals.record(outcome(1_960, 0, Err(Failure::Connect)));
    let report = totals.report();
    assert_eq!((report.warm_up_requests, report.scheduled, report.answered), (1, 4, 2));
    let checks = &report.checks;
    assert_eq!((checks.passed, checks.failed, checks.unchecked), (1, 1, 1));
    assert_eq!((report.latency.count, report.failures.len()), (3, 2));
    assert_eq!(report.latency.max_us / 1000, 900);
    assert_eq!(report.latency.p50_us / 1000, 20);
    let starts: Vec<f64> = report.over_time.iter().map(|point| point.at_s).collect();
    assert_eq!(starts, [0.0, 0.1, 0.9]);
}

/// Fails if an uncheckable response passes although checks are required.
#[test]
fn required_checks_fail_without_a_stand_in() {
    for (required, failed) in [(false, 0), (true, 1)] {
        let mut totals = Totals::new("t", Duration::ZERO, Duration::from_secs(1), required);
        totals.record(outcome(0, 1, complete(CheckResult::NotCheckable)));
        assert_eq!(totals.report().checks.failed, failed);
    }
}

/// Fails if the check accepts a damaged response or a response to another request.
#[test]
fn altered_answers_fail_the_check() {
    let expected = Expected {
        tag: "t".to_owned(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        body_bytes: 0,
        body_sha256: "00".to_owned(),
    };
    let correct = r#"{"tag":"t","method":"GET","path":"/","body_bytes":0,"body_sha256":"00"}"#;
    struct Case {
        tag: &'static str,
        body: String,
        answer_bytes: Option<u64>,
        passed: bool,
    }
    let case = |tag, body: &str, answer_bytes, passed| Case {
        tag,
        body: body.to_owned(),
        answer_bytes,
        passed,
    };
    let cases = [
        case("t", correct, None, true),
        case("u", correct, None, false),
        case("t", &correct.replace("\"t\"", "\"u\""), None, false),
        case("t", &correct.replace("GET", "PUT"), None, false),
        case("t", &correct.replace("\"/\"", "\"/a\""), None, false),
        case("t", &correct.replace(":0", ":1"), None, false),
        case("t", &correct.replace("\"00\"", "\"01\""), None, false),
        case("t", &correct[1..], None, false),
        case("t", "", None, false),
        case("t", "", Some(0), true),
        case("t", "", Some(1), false),
        case("t", "abc", Some(3), false),
    ];
    for Case { tag, body, answer_bytes, passed } in cases {
        let response = http::Response::builder().header("x-stand-in", "s").header("x-tag", tag);
        let (parts, ()) = response.body(()).expect("a valid head").into_parts();
        let mut check = ResponseCheck::new(&parts, &expected, answer_bytes);
        body.as_bytes().chunks(2).for_each(|chunk| check.add_chunk(chunk));
        assert_eq!(check.finish() == CheckResult::Passed, passed, "{tag} {body:?}");
    }
}

/// Fails if invalid arguments are accepted.
#[test]
fn invalid_arguments_are_rejected() {
    let cases = [
        "",
        "--target a",
        "--target =127.0.0.1:1",
        "--target a=localhost:1",
        "--target a=127.0.0.1:1,",
        "--target a=127.0.0.1:1 --rate 0",
        "--target a=127.0.0.1:1 --rate NaN",
        "--target a=127.0.0.1:1 --duration 5",
        "--target a=127.0.0.1:1 --duration 25h",
        "--target a=127.0.0.1:1 --duration 1441m",
        "--target a=127.0.0.1:1 --path x",
        "--target a=127.0.0.1:1 --header x",
        "--target a=127.0.0.1:1 --deadline-ms 0",
        "--target a=127.0.0.1:1 --connections 0",
        "--target a=127.0.0.1:1 --key other",
        "--target a=127.0.0.1:1 --duration 0s",
        "--target a=127.0.0.1:1 --timeout 0ms",
        "--target a=127.0.0.1:1 --target a=127.0.0.1:2",
    ];
    for line in cases {
        let result = args(line).map_err(|error| error.to_string()).and_then(|a| a.check());
        assert!(result.is_err(), "accepted: {line}");
    }
    args("--target a=127.0.0.1:1 --target b=127.0.0.1:1,[::1]:2").expect("valid arguments");
}

/// Fails if the operator page lacks an option or states another default.
#[test]
fn the_page_lists_every_option() {
    let page = include_str!("../../../../docs/operators/load-testing.md");
    let command = Cli::command();
    for argument in command.get_arguments().filter(|argument| argument.get_long() != Some("help")) {
        let long = argument.get_long().expect("every argument is an option");
        let start = format!("| `--{long}");
        let row = page.lines().find(|line| line.starts_with(&start)).expect(long);
        let default = match argument.get_default_values().first().and_then(|value| value.to_str()) {
            _ if argument.is_required_set() => "required",
            None if !argument.get_action().takes_values() => "off",
            None => "none",
            Some(value) => value,
        };
        assert!(row.contains(&format!("| {default} |")), "{row} lacks the default {default}");
    }
}

/// Fails if a report is not written, cannot be parsed or is incomplete.
#[test]
fn reports_are_complete() {
    let server = server();
    let report = load(server.addr(), "");
    let svg = plot::render(&report).expect("a plot");
    for part in ["<svg", "</svg>", "polyline", "Latency by quantile", "t p99", "latency, ms"] {
        assert!(svg.contains(part), "the plot lacks {part}");
    }
    let table = table::render(&report);
    for part in ["p99.9 ms", "200: 40", "40 passed, 0 failed", "not checked"] {
        assert!(table.contains(part), "the table lacks {part}: {table}");
    }
    let directory = std::env::temp_dir().join(format!("fescuemux-load-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let json = directory.join("report.json");
    let line = format!(
        "--target t={} --duration 100ms --warm-up 0s --json {} --svg {}",
        server.addr(),
        json.display(),
        directory.join("plot.svg").display()
    );
    run(args(&line).expect("valid arguments")).expect("the run writes its reports");
    let text = std::fs::read_to_string(&json).expect("a report");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(value["targets"][0]["checks"]["failed"], 0);
    assert!(value["targets"][0]["latency"]["p99_us"].is_u64(), "{text}");
    assert!(directory.join("plot.svg").exists());
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}
