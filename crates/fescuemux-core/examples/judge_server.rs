//! Assesses a backend server that first answers in 10 ms and then becomes five times slower.
//! Prints when the server becomes suspect, so that requests are steered to other servers, and when
//! an ejection is requested.
//!
//! `cargo run --release -p fescuemux-core --example judge_server`

use fescuemux_core::base::{Cx, DetectionPreference};
use fescuemux_core::detect::{
    Assessment, Baseline, Detector, DetectorConfig, Level, Observation, Outcome,
};
use std::time::{Duration, Instant};

/// Time between two requests: 20 requests/s.
const INTERVAL: Duration = Duration::from_millis(50);
/// Latency of a healthy server.
const HEALTHY_LATENCY: Duration = Duration::from_millis(10);
/// Number of requests before the fault.
const HEALTHY_REQUESTS: u32 = 200;
/// Maximum number of requests during the fault.
const MAX_FAULTY_REQUESTS: u32 = 200;

/// Runs one request and returns the assessment after it.
fn run_request(cx: &mut Cx, detector: &mut Detector, id: u128, latency: Duration) -> Assessment {
    detector.on_baseline(cx, Baseline { median: HEALTHY_LATENCY, error_ratio: 0.0 });
    detector.on_start(cx, id);
    cx.now += latency;
    detector.on_finish(cx, Observation { id, outcome: Outcome::Ok, latency });
    let assessment = detector.assess(cx);
    cx.now += INTERVAL.saturating_sub(latency);
    assessment
}

fn main() {
    let mut cx = Cx::new(Instant::now(), 1);
    let config = DetectorConfig::new(DetectionPreference::FewFalseEjections);
    let mut detector = Detector::new(config, cx.now);
    for id in 0..HEALTHY_REQUESTS {
        let assessment = run_request(&mut cx, &mut detector, id.into(), HEALTHY_LATENCY);
        assert_eq!(assessment.level, Level::Healthy, "{assessment:?}");
    }
    let fault_start = cx.now;
    let mut level = Level::Healthy;
    for id in HEALTHY_REQUESTS..HEALTHY_REQUESTS + MAX_FAULTY_REQUESTS {
        let assessment = run_request(&mut cx, &mut detector, id.into(), HEALTHY_LATENCY * 5);
        if assessment.level > level {
            level = assessment.level;
            let elapsed_ms = (cx.now - fault_start).as_millis();
            println!("after {elapsed_ms} ms: {level:?}, score {:.1}", assessment.score);
            for reason in &assessment.reasons {
                println!("  {reason}");
            }
        }
        if level == Level::Bad {
            return;
        }
    }
    println!("the server did not reach level Bad");
}
