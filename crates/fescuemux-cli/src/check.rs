//! The `check` command.

use fescuemux_settings::Settings;
use std::path::Path;
use std::process::ExitCode;

/// Checks a settings file and prints all its problems.
pub(crate) fn check(file: &Path) -> ExitCode {
    match Settings::load(file) {
        Ok(settings) => {
            println!("{}: fine, instance {}", file.display(), settings.instance);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(crate::EXIT_FAILED)
        }
    }
}
