//! Structured logging.

use fescuemux_settings::{LogFormat, LogSettings};
use std::sync::Arc;
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::fmt;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

use crate::operators::SetLogLevel;

/// Log levels that may be set at run time.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Sets up logging to standard error and returns a function that changes the log level.
///
/// # Errors
///
/// Returns an error when logging was already set up in this process.
pub fn init(log: &LogSettings) -> anyhow::Result<SetLogLevel> {
    let (filter, handle) = reload::Layer::new(level_filter(log.level.as_str()));
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
        handle.reload(level_filter(level)).map_err(|e| e.to_string())
    }))
}

/// Returns the filter for a log level. Libraries stay at `warn`, because some log each frame at
/// `debug`.
fn level_filter(level: &str) -> EnvFilter {
    EnvFilter::new(format!("warn,fescuemux_daemon={level},fescuemuxd={level}"))
}
