//! Review of a plan, to find the warnings and refusals.

use super::plan::{Finding, FindingKind};
use super::{
    CapacityReport, Config, Difference, FieldError, ItemName, MAX_CALLERS, MAX_ROUTES,
    MAX_SERVICES, Route, Service,
};
use std::collections::BTreeMap;

/// Maximum number of warnings, and of refusals, that a plan lists. Removing one service can break
/// thousands of routes.
const MAX_FINDINGS: usize = 100;

/// Returns the warnings and the refusals for `changes`, which result in the content `target`.
pub(super) fn review(
    target: &Config,
    changes: &[Difference],
    capacity: &CapacityReport,
) -> (Vec<Finding>, Vec<Finding>) {
    let mut findings = Findings::default();
    if changes.is_empty() {
        findings.refuse(FindingKind::NothingToChange, "the content stays the same");
    }
    for change in changes {
        findings.check_bounds(change);
        match change {
            Difference::Service(edit) => findings.review_service(edit.after.as_ref(), capacity),
            Difference::Route(edit) => {
                findings.review_route(edit.before.as_ref(), edit.after.as_ref());
            }
            Difference::Caller(_) => {}
        }
        findings.review_removed_service(change, capacity);
    }
    findings.check_counts(target);
    findings.check_services_of_routes(target);
    findings.check_selectors(target);
    findings.warn_of_large_changes(target, changes);
    (truncate_findings(findings.warnings), truncate_findings(findings.refusals))
}

/// Keeps the first [`MAX_FINDINGS`] findings and replaces the rest by their count.
fn truncate_findings(mut findings: Vec<Finding>) -> Vec<Finding> {
    let omitted = findings.len().saturating_sub(MAX_FINDINGS);
    if omitted > 0 {
        findings.truncate(MAX_FINDINGS);
        let text = format!("{omitted} more findings are left out");
        findings.push(Finding { kind: findings[0].kind, text });
    }
    findings
}

#[derive(Default)]
struct Findings {
    warnings: Vec<Finding>,
    refusals: Vec<Finding>,
}

impl Findings {
    fn warn(&mut self, kind: FindingKind, text: impl Into<String>) {
        self.warnings.push(Finding { kind, text: text.into() });
    }

    fn refuse(&mut self, kind: FindingKind, text: impl Into<String>) {
        self.refusals.push(Finding { kind, text: text.into() });
    }

    fn check_bounds(&mut self, change: &Difference) {
        let checked: Result<(), FieldError> = match change {
            Difference::Service(edit) => edit.after.as_ref().map_or(Ok(()), Service::check),
            Difference::Route(edit) => edit.after.as_ref().map_or(Ok(()), Route::check),
            Difference::Caller(edit) => edit.after.as_ref().map_or(Ok(()), |c| c.check()),
        };
        if let Err(error) = checked {
            self.refuse(FindingKind::OutOfBounds, format!("{}: {error}", change.item_name()));
        }
    }

    fn review_service(&mut self, after: Option<&Service>, capacity: &CapacityReport) {
        let Some(service) = after else { return };
        let slots = capacity.slots_of(&service.id);
        let floor = service.floor_slots;
        if floor > 0 && floor >= slots {
            let text = format!(
                "service {}: floor {floor} leaves no room in {slots} announced slots; no backend \
                 server can be ejected",
                service.id
            );
            self.warn(FindingKind::FloorBlocksEjection, text);
        }
    }

    fn review_removed_service(&mut self, change: &Difference, capacity: &CapacityReport) {
        let Difference::Service(edit) = change else { return };
        let (Some(before), None) = (&edit.before, &edit.after) else { return };
        let slots = capacity.slots_of(&before.id);
        if slots > 0 {
            let text = format!("service {} still has {slots} announced slots", before.id);
            self.warn(FindingKind::RemovedWithServers, text);
        }
    }

    fn review_route(&mut self, before: Option<&Route>, after: Option<&Route>) {
        let (Some(before), Some(after)) = (before, after) else { return };
        if !before.idempotent && after.idempotent {
            let text = format!("route {}: requests may run more than once", after.id);
            self.warn(FindingKind::BecomesIdempotent, text);
        }
    }

    fn check_counts(&mut self, target: &Config) {
        let counts = [
            ("services", target.services.len(), MAX_SERVICES),
            ("routes", target.routes.len(), MAX_ROUTES),
            ("callers", target.callers.len(), MAX_CALLERS),
        ];
        for (name, count, max) in counts {
            if count > max {
                let text = format!("{count} {name}; {max} are allowed");
                self.refuse(FindingKind::TooMany, text);
            }
        }
    }

    fn check_services_of_routes(&mut self, target: &Config) {
        for route in target.routes.values() {
            if !target.services.contains_key(&route.service) {
                let text = format!("route {}: no service {}", route.id, route.service);
                self.refuse(FindingKind::UnknownService, text);
            }
        }
    }

    fn check_selectors(&mut self, target: &Config) {
        let mut seen = BTreeMap::new();
        for route in target.routes.values() {
            if let Some(other) = seen.insert(route.selector(), &route.id) {
                let text = format!("routes {other} and {} select the same requests", route.id);
                self.refuse(FindingKind::SameSelector, text);
            }
        }
    }

    fn warn_of_large_changes(&mut self, target: &Config, changes: &[Difference]) {
        let count_changes = |is_kind: fn(&ItemName) -> bool| {
            changes.iter().filter(|change| is_kind(&change.item_name())).count()
        };
        let kinds = [
            (
                "services",
                count_changes(|item| matches!(item, ItemName::Service(_))),
                target.services.len(),
            ),
            (
                "routes",
                count_changes(|item| matches!(item, ItemName::Route(_))),
                target.routes.len(),
            ),
            (
                "callers",
                count_changes(|item| matches!(item, ItemName::Caller(_))),
                target.callers.len(),
            ),
        ];
        for (name, changed, total) in kinds {
            // In a small configuration, many normal changes affect more than half of the items.
            if changed > 10 && changed > total / 2 {
                let text = format!("{changed} {name} change; {total} remain");
                self.warn(FindingKind::LargeChange, text);
            }
        }
    }
}
