//! Content of the configuration.

use super::change::{Change, Difference, Edit, Mismatch};
use super::{CallerLimit, Route, Service};
use crate::base::{CallerId, RouteId, ServiceId};
use std::collections::BTreeMap;

/// Complete configuration. Uses ordered maps so that equal content always encodes to equal bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Routes by name.
    pub routes: BTreeMap<RouteId, Route>,
    /// Limits of callers by the name of the caller.
    pub callers: BTreeMap<CallerId, CallerLimit>,
}

impl Config {
    /// Applies one change. Removing an item that does not exist has no effect.
    pub fn apply_change(&mut self, change: &Change) {
        match change {
            Change::PutService(s) => drop(self.services.insert(s.id.clone(), s.clone())),
            Change::RemoveService(id) => drop(self.services.remove(id)),
            Change::PutRoute(r) => drop(self.routes.insert(r.id.clone(), r.clone())),
            Change::RemoveRoute(id) => drop(self.routes.remove(id)),
            Change::PutCaller(c) => drop(self.callers.insert(c.caller.clone(), c.clone())),
            Change::RemoveCaller(id) => drop(self.callers.remove(id)),
        }
    }

    /// Applies differences between this content and another.
    ///
    /// # Errors
    /// Fails when an item does not match the previous content of its difference. The configuration
    /// may then be partly changed and must be discarded.
    pub fn apply_differences(&mut self, differences: &[Difference]) -> Result<(), Mismatch> {
        for difference in differences {
            let applied = match difference {
                Difference::Service(edit) => apply_edit(&mut self.services, edit, |s| &s.id),
                Difference::Route(edit) => apply_edit(&mut self.routes, edit, |r| &r.id),
                Difference::Caller(edit) => apply_edit(&mut self.callers, edit, |c| &c.caller),
            };
            if !applied {
                return Err(Mismatch(difference.item_name()));
            }
        }
        Ok(())
    }

    /// Returns the differences that turn this content into `other`: services, then routes, then
    /// limits of callers, each group ordered by name.
    pub fn differences(&self, other: &Config) -> Vec<Difference> {
        let services = edits(&self.services, &other.services).map(Difference::Service);
        let routes = edits(&self.routes, &other.routes).map(Difference::Route);
        let callers = edits(&self.callers, &other.callers).map(Difference::Caller);
        services.chain(routes).chain(callers).collect()
    }
}

/// Applies `edit` to its item. Returns false without a change if the item does not match the
/// previous content of the edit, or if the edit has no content at all.
fn apply_edit<K: Ord + Clone, T: Clone + PartialEq>(
    map: &mut BTreeMap<K, T>,
    edit: &Edit<T>,
    key_of: impl Fn(&T) -> &K,
) -> bool {
    let Some(id) = edit.before.as_ref().or(edit.after.as_ref()).map(&key_of) else { return false };
    if map.get(id) != edit.before.as_ref() {
        return false;
    }
    match &edit.after {
        Some(after) => drop(map.insert(key_of(after).clone(), after.clone())),
        None => drop(map.remove(id)),
    }
    true
}

fn edits<K: Ord, T: Clone + PartialEq>(
    old: &BTreeMap<K, T>,
    new: &BTreeMap<K, T>,
) -> impl Iterator<Item = Edit<T>> {
    let mut keys: Vec<&K> = old.keys().chain(new.keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    let edits: Vec<Edit<T>> = keys
        .into_iter()
        .map(|key| (old.get(key), new.get(key)))
        .filter(|(before, after)| before != after)
        .map(|(before, after)| Edit { before: before.cloned(), after: after.cloned() })
        .collect();
    edits.into_iter()
}
