//! Changes that an operator requests, and the resulting differences that a plan shows.

use super::{CallerLimit, Route, Service};
use crate::base::{CallerId, RouteId, ServiceId};
use std::fmt;

/// One change of an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds or replaces a service.
    PutService(Service),
    /// Removes a service.
    RemoveService(ServiceId),
    /// Adds or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    RemoveRoute(RouteId),
    /// Adds or replaces the limit of a caller.
    PutCaller(CallerLimit),
    /// Removes the limit of a caller.
    RemoveCaller(CallerId),
}

/// One item before and after a change; `None` before it is added and after it is removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit<T> {
    /// Content before the change.
    pub before: Option<T>,
    /// Content after the change.
    pub after: Option<T>,
}

/// One item that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// A service.
    Service(Edit<Service>),
    /// A route.
    Route(Edit<Route>),
    /// The limit of a caller.
    Caller(Edit<CallerLimit>),
}

/// Kind and name of an item, which is a service, a route or the limit of a caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemName {
    /// A service.
    Service(ServiceId),
    /// A route.
    Route(RouteId),
    /// The limit of a caller.
    Caller(CallerId),
}

/// Error for an item whose current content differs from the previous content that the plan states,
/// because the item changed since the plan was made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is not as the plan found it")]
pub struct Mismatch(
    /// Item that differs.
    pub ItemName,
);

impl Change {
    /// Returns the kind and name of the changed item.
    pub fn item_name(&self) -> ItemName {
        match self {
            Change::PutService(service) => ItemName::Service(service.id.clone()),
            Change::RemoveService(id) => ItemName::Service(id.clone()),
            Change::PutRoute(route) => ItemName::Route(route.id.clone()),
            Change::RemoveRoute(id) => ItemName::Route(id.clone()),
            Change::PutCaller(limit) => ItemName::Caller(limit.caller.clone()),
            Change::RemoveCaller(id) => ItemName::Caller(id.clone()),
        }
    }
}

impl Difference {
    /// Returns the kind and name of the item that differs.
    ///
    /// # Panics
    /// Panics when the edit has neither previous nor new content. This crate never constructs such
    /// an edit, and the wire types reject it.
    pub fn item_name(&self) -> ItemName {
        const EMPTY: &str = "an edit must have previous or new content";
        match self {
            Difference::Service(edit) => {
                ItemName::Service(edit.after_or_before().expect(EMPTY).id.clone())
            }
            Difference::Route(edit) => {
                ItemName::Route(edit.after_or_before().expect(EMPTY).id.clone())
            }
            Difference::Caller(edit) => {
                ItemName::Caller(edit.after_or_before().expect(EMPTY).caller.clone())
            }
        }
    }
}

impl<T> Edit<T> {
    /// Returns the new content, or the previous content of a removed item.
    pub fn after_or_before(&self) -> Option<&T> {
        self.after.as_ref().or(self.before.as_ref())
    }
}

impl fmt::Display for ItemName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemName::Service(id) => write!(f, "service {id}"),
            ItemName::Route(id) => write!(f, "route {id}"),
            ItemName::Caller(id) => write!(f, "caller {id}"),
        }
    }
}
