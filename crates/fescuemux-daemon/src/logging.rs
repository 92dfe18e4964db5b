//! Structured logs.

use fescuemux_settings::{Log, LogFormat};
use std::sync::Arc;
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::fmt;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

use crate::operators::SetLogLevel;

/// Levels that may be set at run time.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Sets up logs on standard error and returns a function that changes their level.
///
/// # Errors
///
/// Returns an error when logs were set up before in this process.
pub fn init(log: &Log) -> anyhow::Result<SetLogLevel> {
    let (filter, handle) = reload::Layer::new(filter_of(log.level.as_str()));
    let registry = tracing_subscriber::registry().with(filter);
    let layer = fmt::layer().with_writer(std::io::stderr);
    match log.format {
        LogFormat::Text => registry.with(layer).try_init()?,
        LogFormat::Json => registry.with(layer.json()).try_init()?,
    }
    Ok(Arc::new(move |level: &str| {
        if !LEVELS.contains(&level) {
            return Err(format!("a level is one of {}", LEVELS.join(", ")));
        }
        handle.reload(filter_of(level)).map_err(|e| e.to_string())
    }))
}

/// The libraries below log each frame at debug level, so they stay at warnings.
fn filter_of(level: &str) -> EnvFilter {
    EnvFilter::new(format!("warn,fescuemux_daemon={level},fescuemuxd={level}"))
}
