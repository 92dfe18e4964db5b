//! Checked settings of a daemon, and how they are loaded.

use crate::wire::RawSettings;
use crate::{
    AdvertisedAddrs, ClusterKey, Limits, ListenAddrs, LogSettings, Operator, Problem,
    SettingsError, StopSettings, StoreSettings,
};
use json_comments::StripComments;
use smol_str::SmolStr;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// Largest settings file, in bytes. The largest valid file without comments has about
/// 30 KB.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Settings of a daemon in which every field is within its permitted range.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: SmolStr,
    /// Failure domain of the instance.
    pub domain: SmolStr,
    /// Region of the instance.
    pub region: SmolStr,
    /// Addresses on which the daemon listens.
    pub listen: ListenAddrs,
    /// Addresses that other daemons use to reach this daemon.
    pub advertise: AdvertisedAddrs,
    /// Settings of the connection to the store.
    pub store: StoreSettings,
    /// Keys shared by all daemons. Messages are signed with the first key and verified
    /// with any of the keys.
    pub cluster_keys: Vec<ClusterKey>,
    /// Operators who may use the operator API.
    pub operators: Vec<Operator>,
    /// `rpc` addresses of daemons to join.
    pub seeds: Vec<SocketAddr>,
    /// Log level and format.
    pub log: LogSettings,
    /// Limits on requests, bodies and connections.
    pub limits: Limits,
    /// Settings of a graceful shutdown.
    pub stop: StopSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is larger than 1 MiB, or when [`Settings::parse`]
    /// rejects its text.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let unreadable = |reason: String| SettingsError::whole_file(&name, reason);
        let file = File::open(path).map_err(|error| unreadable(error.to_string()))?;
        let mut text = String::new();
        file.take(MAX_FILE_BYTES + 1)
            .read_to_string(&mut text)
            .map_err(|error| unreadable(error.to_string()))?;
        if text.len() as u64 > MAX_FILE_BYTES {
            return Err(unreadable(format!("is larger than {MAX_FILE_BYTES} bytes")));
        }
        Settings::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file. `name` is the file name shown in errors.
    ///
    /// # Errors
    ///
    /// Fails when the text is not JSON with comments, or when a field is unknown, missing or
    /// outside its permitted range. All such fields are reported at once.
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let json =
            strip_comments(text).map_err(|reason| SettingsError::whole_file(name, reason))?;
        let raw: RawSettings = {
            let mut deserializer = serde_json::Deserializer::from_str(&json);
            let raw = serde_path_to_error::deserialize(&mut deserializer)
                .map_err(|error| SettingsError::new(name, vec![Problem::malformed(&error)]))?;
            deserializer
                .end()
                .map_err(|error| SettingsError::whole_file(name, error.to_string()))?;
            raw
        };
        Settings::try_from(raw).map_err(|problems| SettingsError::new(name, problems))
    }
}

/// Replaces comments with spaces, so that positions in errors match the file.
fn strip_comments(text: &str) -> Result<String, String> {
    let mut json = String::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_string(&mut json)
        .map_err(|error| format!("cannot strip the comments: {error}"))?;
    Ok(json)
}
