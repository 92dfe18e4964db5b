//! Error of a settings file that is not accepted.

use crate::Problem;
use std::fmt;

/// Error of a settings file that is not accepted. It is displayed with one line per problem.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct SettingsError {
    /// Name of the file.
    pub file_name: String,
    /// The problems, at least one.
    pub problems: Vec<Problem>,
}

impl SettingsError {
    pub(crate) fn new(file_name: &str, problems: Vec<Problem>) -> SettingsError {
        SettingsError { file_name: file_name.to_owned(), problems }
    }

    pub(crate) fn whole_file(file_name: &str, reason: String) -> SettingsError {
        SettingsError::new(file_name, vec![Problem::whole_file(reason)])
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let newline = if index == 0 { "" } else { "\n" };
            write!(f, "{newline}{}: {problem}", self.file_name)?;
        }
        Ok(())
    }
}
