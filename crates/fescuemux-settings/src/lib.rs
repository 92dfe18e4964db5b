//! Settings file of a daemon: JSON with comments, in which every field is checked.
//!
//! The crate must not depend on the daemon or on how the settings are used.

mod advertise;
mod check;
mod convert;
mod error;
mod field;
mod fields;
mod limits;
mod listen;
mod log;
mod operator;
mod parse;
mod permitted;
mod problem;
mod secret;
mod settings;
mod stop;
mod store;
mod wire;

pub use advertise::AdvertisedAddrs;
pub use error::SettingsError;
pub use field::{DefaultValue, Field};
pub use fields::FIELDS;
pub use limits::Limits;
pub use listen::ListenAddrs;
pub use log::{LogFormat, LogLevel, LogSettings};
pub use operator::Operator;
pub use permitted::PermittedValues;
pub use problem::Problem;
pub use secret::{ClusterKey, Token};
pub use settings::Settings;
pub use stop::StopSettings;
pub use store::StoreSettings;
