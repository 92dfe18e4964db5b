//! JSON encoding of plans.

use super::digest::{format_plan_id, parse_plan_id_field};
use super::error::{from_json, to_json};
use super::item::{CallerBody, RouteBody, ServiceBody};
use super::{ConfigError, FORMAT};
use fescuemux_core::config::{
    CallerLimit, Difference, Edit, Finding, FindingKind, FloorEffect, Plan, Route, Service,
    check_author, check_name,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum size of an encoded plan in bytes. Allows for the entire content before and after the
/// change at the maximum supported scale.
const MAX_PLAN_BYTES: usize = 32 * 1024 * 1024;

/// Plan of a configuration change.
#[derive(Debug, Serialize, Deserialize)]
pub struct PlanBody {
    /// Format number of the record.
    pub format: u32,
    /// Id of the plan, as 32 hexadecimal digits.
    pub id: String,
    /// Generation that the plan is based on.
    pub base: u64,
    /// Operator who proposed the plan.
    pub author: SmolStr,
    /// Changed items.
    pub changes: Vec<DifferenceBody>,
    /// Effects on the floors of changed services.
    pub effects: Vec<FloorEffectBody>,
    /// Warnings for the operator.
    pub warnings: Vec<FindingBody>,
    /// Reasons why the plan cannot be confirmed.
    pub refusals: Vec<FindingBody>,
}

/// Changed item.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceBody {
    /// Changed service.
    Service(EditBody<ServiceBody>),
    /// Changed route.
    Route(EditBody<RouteBody>),
    /// Changed rate limit of a caller.
    Caller(EditBody<CallerBody>),
}

/// Versions of an item before and after a change.
#[derive(Debug, Serialize, Deserialize)]
pub struct EditBody<T> {
    /// Item before the change; absent if the item is added.
    #[serde(default = "none", skip_serializing_if = "Option::is_none")]
    pub before: Option<T>,
    /// Item after the change; absent if the item is removed.
    #[serde(default = "none", skip_serializing_if = "Option::is_none")]
    pub after: Option<T>,
}

/// Effect of a plan on the floor of a service.
#[derive(Debug, Serialize, Deserialize)]
pub struct FloorEffectBody {
    /// Name of the service.
    pub service: SmolStr,
    /// Number of slots announced by its backend servers.
    pub slots_announced: u32,
    /// Floor in force, in slots; `None` if the service does not exist.
    pub floor_before: Option<u32>,
    /// Floor after the plan, in slots; `None` if the plan removes the service.
    pub floor_after: Option<u32>,
}

/// Warning or refusal in a plan.
#[derive(Debug, Serialize, Deserialize)]
pub struct FindingBody {
    /// Kind of the finding.
    pub kind: String,
    /// Human-readable text.
    pub text: String,
}

/// Default of generic fields. Unlike the derived default, does not require `T: Default`.
fn none<T>() -> Option<T> {
    None
}

/// Index record of a plan that is split into several records.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanIndexBody {
    format: u32,
    records: usize,
}

/// Encodes the index record of a plan that is split into `records` records.
pub fn encode_plan_index(records: usize) -> Vec<u8> {
    to_json(&PlanIndexBody { format: FORMAT, records })
}

/// Returns the number of records that a plan is split into, or `None` if `bytes` is not an index
/// record.
pub fn decode_plan_index(bytes: &[u8]) -> Option<usize> {
    from_json::<PlanIndexBody>(bytes, MAX_PLAN_BYTES).ok().map(|index| index.records)
}

/// Encodes a plan.
pub fn encode_plan(plan: &Plan) -> Vec<u8> {
    to_json(&PlanBody::from(plan))
}

/// Decodes a plan.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid plan, or a newer version wrote it.
pub fn decode_plan(bytes: &[u8]) -> Result<Plan, ConfigError> {
    Plan::try_from(from_json::<PlanBody>(bytes, MAX_PLAN_BYTES)?)
}

impl From<&Plan> for PlanBody {
    fn from(plan: &Plan) -> PlanBody {
        PlanBody {
            format: FORMAT,
            id: format_plan_id(plan.id),
            base: plan.base,
            author: plan.author.clone(),
            changes: plan.changes.iter().map(DifferenceBody::from).collect(),
            effects: plan.effects.iter().map(FloorEffectBody::from).collect(),
            warnings: plan.warnings.iter().map(FindingBody::from).collect(),
            refusals: plan.refusals.iter().map(FindingBody::from).collect(),
        }
    }
}

impl TryFrom<PlanBody> for Plan {
    type Error = ConfigError;

    fn try_from(body: PlanBody) -> Result<Plan, ConfigError> {
        if body.format > FORMAT {
            return Err(ConfigError::NewerFormat(body.format));
        }
        check_author("author", &body.author)?;
        let mut changes = Vec::with_capacity(body.changes.len());
        for (i, change) in body.changes.into_iter().enumerate() {
            let path = format!("changes[{i}]");
            changes.push(Difference::try_from(change).map_err(|e| e.within(&path))?);
        }
        Ok(Plan {
            id: parse_plan_id_field("id", &body.id)?,
            base: body.base,
            author: body.author,
            changes,
            effects: body.effects.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
            warnings: body.warnings.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
            refusals: body.refusals.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }
}

impl From<&Difference> for DifferenceBody {
    fn from(difference: &Difference) -> DifferenceBody {
        match difference {
            Difference::Service(edit) => DifferenceBody::Service(edit_body(edit)),
            Difference::Route(edit) => DifferenceBody::Route(edit_body(edit)),
            Difference::Caller(edit) => DifferenceBody::Caller(edit_body(edit)),
        }
    }
}

impl TryFrom<DifferenceBody> for Difference {
    type Error = ConfigError;

    fn try_from(body: DifferenceBody) -> Result<Difference, ConfigError> {
        match body {
            DifferenceBody::Service(body) => {
                edit_from_body(body, |s: &Service| &s.id).map(Difference::Service)
            }
            DifferenceBody::Route(body) => {
                edit_from_body(body, |r: &Route| &r.id).map(Difference::Route)
            }
            DifferenceBody::Caller(body) => {
                edit_from_body(body, |c: &CallerLimit| &c.caller).map(Difference::Caller)
            }
        }
    }
}

fn edit_body<'a, T, B: From<&'a T>>(edit: &'a Edit<T>) -> EditBody<B> {
    EditBody { before: edit.before.as_ref().map(B::from), after: edit.after.as_ref().map(B::from) }
}

fn edit_from_body<B, T>(
    body: EditBody<B>,
    id_of: impl Fn(&T) -> &SmolStr,
) -> Result<Edit<T>, ConfigError>
where
    T: TryFrom<B, Error = ConfigError>,
{
    let before = body.before.map(T::try_from).transpose().map_err(|e| e.within("before"))?;
    let after = body.after.map(T::try_from).transpose().map_err(|e| e.within("after"))?;
    match (&before, &after) {
        (None, None) => Err(ConfigError::shape("", "neither before nor after")),
        (Some(before), Some(after)) if id_of(before) != id_of(after) => {
            Err(ConfigError::shape("", "before and after are different items"))
        }
        _ => Ok(Edit { before, after }),
    }
}

impl From<&FloorEffect> for FloorEffectBody {
    fn from(effect: &FloorEffect) -> FloorEffectBody {
        FloorEffectBody {
            service: effect.service.clone(),
            slots_announced: effect.slots_announced,
            floor_before: effect.floor_before,
            floor_after: effect.floor_after,
        }
    }
}

impl TryFrom<FloorEffectBody> for FloorEffect {
    type Error = ConfigError;

    fn try_from(body: FloorEffectBody) -> Result<FloorEffect, ConfigError> {
        check_name("service", &body.service)?;
        Ok(FloorEffect {
            service: body.service,
            slots_announced: body.slots_announced,
            floor_before: body.floor_before,
            floor_after: body.floor_after,
        })
    }
}

impl From<&Finding> for FindingBody {
    fn from(finding: &Finding) -> FindingBody {
        FindingBody { kind: finding.kind.as_str().to_owned(), text: finding.text.clone() }
    }
}

impl TryFrom<FindingBody> for Finding {
    type Error = ConfigError;

    fn try_from(body: FindingBody) -> Result<Finding, ConfigError> {
        let kind = FindingKind::parse(&body.kind)
            .ok_or_else(|| ConfigError::shape("kind", "unknown kind"))?;
        Ok(Finding { kind, text: body.text })
    }
}
