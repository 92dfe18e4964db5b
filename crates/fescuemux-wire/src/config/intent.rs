//! JSON encoding of intents.

use super::ConfigError;
use super::error::{from_json, to_json};
use super::item::{
    CallerBody, RejectUnknownFields, RouteBody, ServiceBody, convert_items,
    reject_unknown_fields_in_all,
};
use fescuemux_core::config::{
    Change, Config, FieldError, Intent, ItemName, MAX_CHANGES, check_caller_id, check_name,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum size of an encoded intent in bytes. The entire content at the maximum supported scale
/// has about 10 MB.
const MAX_INTENT_BYTES: usize = 16 * 1024 * 1024;

/// Configuration change requested by an operator.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum IntentBody {
    /// Apply changes to the content in force.
    Changes(Vec<ChangeBody>),
    /// Replace the entire content.
    Content(ContentBody),
    /// Restore the content of an older generation.
    ReturnTo(u64),
}

/// Change to one item.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeBody {
    /// Adds or replaces a service.
    PutService(ServiceBody),
    /// Removes a service.
    RemoveService(SmolStr),
    /// Adds or replaces a route.
    PutRoute(RouteBody),
    /// Removes a route.
    RemoveRoute(SmolStr),
    /// Adds or replaces the limit of a caller.
    PutCaller(CallerBody),
    /// Removes the limit of a caller.
    RemoveCaller(SmolStr),
}

/// Entire configuration content.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContentBody {
    /// All services.
    pub services: Vec<ServiceBody>,
    /// All routes.
    pub routes: Vec<RouteBody>,
    /// All caller limits.
    pub callers: Vec<CallerBody>,
}

/// Encodes an intent.
pub fn encode_intent(intent: &Intent) -> Vec<u8> {
    to_json(&IntentBody::from(intent))
}

/// Decodes an intent.
///
/// # Errors
///
/// Returns an error, with a path in the document, if there are unknown fields, values out of range
/// or duplicate items.
pub fn decode_intent(bytes: &[u8]) -> Result<Intent, ConfigError> {
    Intent::try_from(from_json::<IntentBody>(bytes, MAX_INTENT_BYTES)?)
}

impl From<&Intent> for IntentBody {
    fn from(intent: &Intent) -> IntentBody {
        match intent {
            Intent::Changes(changes) => {
                IntentBody::Changes(changes.iter().map(ChangeBody::from).collect())
            }
            Intent::Content(content) => IntentBody::Content(ContentBody::from(&**content)),
            Intent::ReturnTo(generation) => IntentBody::ReturnTo(*generation),
        }
    }
}

impl TryFrom<IntentBody> for Intent {
    type Error = ConfigError;

    fn try_from(body: IntentBody) -> Result<Intent, ConfigError> {
        match body {
            IntentBody::Changes(changes) => {
                if changes.len() > MAX_CHANGES {
                    let reason = format!("more than {MAX_CHANGES}; give the whole content");
                    return Err(ConfigError::shape("changes", reason));
                }
                Ok(Intent::Changes(convert_items("changes", changes)?))
            }
            IntentBody::Content(content) => {
                let config = Config::try_from(content).map_err(|e| e.within("content"))?;
                Ok(Intent::Content(Box::new(config)))
            }
            IntentBody::ReturnTo(generation) => Ok(Intent::ReturnTo(generation)),
        }
    }
}

impl From<&Change> for ChangeBody {
    fn from(change: &Change) -> ChangeBody {
        match change {
            Change::PutService(service) => ChangeBody::PutService(service.into()),
            Change::RemoveService(id) => ChangeBody::RemoveService(id.clone()),
            Change::PutRoute(route) => ChangeBody::PutRoute(route.into()),
            Change::RemoveRoute(id) => ChangeBody::RemoveRoute(id.clone()),
            Change::PutCaller(limit) => ChangeBody::PutCaller(limit.into()),
            Change::RemoveCaller(id) => ChangeBody::RemoveCaller(id.clone()),
        }
    }
}

impl TryFrom<ChangeBody> for Change {
    type Error = ConfigError;

    fn try_from(body: ChangeBody) -> Result<Change, ConfigError> {
        match body {
            ChangeBody::PutService(b) => convert_strict("put_service", b).map(Change::PutService),
            ChangeBody::PutRoute(b) => convert_strict("put_route", b).map(Change::PutRoute),
            ChangeBody::PutCaller(b) => convert_strict("put_caller", b).map(Change::PutCaller),
            ChangeBody::RemoveService(id) => {
                check_name("remove_service", &id)?;
                Ok(Change::RemoveService(id))
            }
            ChangeBody::RemoveRoute(id) => {
                check_name("remove_route", &id)?;
                Ok(Change::RemoveRoute(id))
            }
            ChangeBody::RemoveCaller(id) => {
                check_caller_id("remove_caller", &id)?;
                Ok(Change::RemoveCaller(id))
            }
        }
    }
}

/// Converts an item to its core type. Returns an error if there are unknown fields.
fn convert_strict<B, T>(path: &str, body: B) -> Result<T, ConfigError>
where
    B: RejectUnknownFields,
    T: TryFrom<B, Error = ConfigError>,
{
    let checked = body.reject_unknown_fields();
    checked.and_then(|()| T::try_from(body)).map_err(|error| error.within(path))
}

impl From<&Config> for ContentBody {
    fn from(config: &Config) -> ContentBody {
        ContentBody {
            services: config.services.values().map(Into::into).collect(),
            routes: config.routes.values().map(Into::into).collect(),
            callers: config.callers.values().map(Into::into).collect(),
        }
    }
}

impl TryFrom<ContentBody> for Config {
    type Error = ConfigError;

    fn try_from(body: ContentBody) -> Result<Config, ConfigError> {
        reject_unknown_fields_in_all("services", &body.services)?;
        reject_unknown_fields_in_all("routes", &body.routes)?;
        reject_unknown_fields_in_all("callers", &body.callers)?;
        let services = convert_items("services", body.services)?;
        let routes = convert_items("routes", body.routes)?;
        let callers = convert_items("callers", body.callers)?;
        let changes = services
            .into_iter()
            .map(Change::PutService)
            .chain(routes.into_iter().map(Change::PutRoute))
            .chain(callers.into_iter().map(Change::PutCaller));
        let mut config = Config::default();
        for change in changes {
            if contains_item(&config, &change.item_name()) {
                let reason = format!("{} appears twice", change.item_name());
                return Err(FieldError::new("id", reason).into());
            }
            config.apply_change(&change);
        }
        Ok(config)
    }
}

fn contains_item(config: &Config, item_name: &ItemName) -> bool {
    match item_name {
        ItemName::Service(id) => config.services.contains_key(id),
        ItemName::Route(id) => config.routes.contains_key(id),
        ItemName::Caller(id) => config.callers.contains_key(id),
    }
}
