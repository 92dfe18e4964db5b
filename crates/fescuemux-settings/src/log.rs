//! Log level and format.

/// Log level and format.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Format of log lines.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator to act.
    Error,
    /// Failures that the daemon handles.
    Warn,
    /// Changes of state.
    Info,
    /// Details of each decision.
    Debug,
    /// Details of each message.
    Trace,
}

impl LogLevel {
    /// Returns the spelling used in the settings file.
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }

    pub(crate) fn parse(text: &str) -> Option<LogLevel> {
        let levels =
            [LogLevel::Error, LogLevel::Warn, LogLevel::Info, LogLevel::Debug, LogLevel::Trace];
        levels.into_iter().find(|level| level.as_str() == text)
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    pub(crate) fn parse(text: &str) -> Option<LogFormat> {
        match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        }
    }
}
