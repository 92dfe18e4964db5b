//! Guards against confirms that are reported wrongly, lost or applied twice. Explores every
//! interleaving of two operators who confirm on the same base, with one or two lost replies and
//! outdated reads. Incorrect variants of the protocol show that the check can fail.

use fescuemux_core::base::PlanId;
use fescuemux_core::config::{
    ConfirmOutcome, ConfirmRequest, ConfirmStep, Head, NotConfirmedReason, Part, PendingConfirm,
    StepResult,
};
use std::collections::HashSet;
use std::time::UNIX_EPOCH;

/// Variant of the protocol that the operators follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Variant {
    Correct,
    /// Swaps the head without comparing its version.
    NoCompare,
    /// Treats a swap with an unknown effect as a swap without effect.
    NoReadBack,
    /// Attributes every conflict to the other operator, although the operator's own write, whose
    /// reply was lost, may have caused it.
    ConflictIsFinal,
    /// Treats an unchanged head after a swap with an unknown effect as proof that the swap is lost.
    UnchangedIsFinal,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Operator {
    plan: PlanId,
    confirm: PendingConfirm,
    /// Outcome that an incorrect variant reports.
    wrong_outcome: Option<ConfirmOutcome>,
    /// Number of times that the operator may still confirm again after an unknown outcome.
    repeats_left: u32,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    variant: Variant,
    /// All values of the head so far; the version of a value is its position, counted from one.
    heads: Vec<Head>,
    /// Swaps in flight, each with the version of the head that it expects.
    swaps_in_flight: Vec<(Option<u64>, Head)>,
    operators: Vec<Operator>,
    /// Number of replies that may still be lost.
    lost_replies: u32,
    /// Number of reads that may still return an old head.
    stale_reads: u32,
}

/// Result of an exploration.
#[derive(Debug, Default)]
struct Explored {
    states: HashSet<World>,
    final_states: usize,
    faults: Vec<String>,
}

fn confirm_of(plan: PlanId) -> PendingConfirm {
    PendingConfirm::new(ConfirmRequest { plan, base: 1, author: "ops".into(), time: UNIX_EPOCH })
}

fn world(variant: Variant, plans: [PlanId; 2]) -> World {
    let first = Head::next(None, 1, "ops".into(), UNIX_EPOCH, &[(Part::Services, Some([1; 32]))]);
    let operator =
        |plan| Operator { plan, confirm: confirm_of(plan), wrong_outcome: None, repeats_left: 1 };
    World {
        variant,
        heads: vec![first],
        swaps_in_flight: Vec::new(),
        operators: plans.map(operator).into(),
        lost_replies: 1,
        stale_reads: 1,
    }
}

impl Operator {
    fn outcome(&self) -> Option<ConfirmOutcome> {
        match self.confirm.step() {
            _ if self.wrong_outcome.is_some() => self.wrong_outcome,
            ConfirmStep::Done(outcome) => Some(*outcome),
            _ => None,
        }
    }

    fn on_reply(&mut self, variant: Variant, reply: StepResult) {
        let wrong = match (variant, &reply) {
            (Variant::NoReadBack, StepResult::SwapUnknown) => true,
            (Variant::ConflictIsFinal, StepResult::Conflict(_)) => true,
            (Variant::UnchangedIsFinal, StepResult::HeadRead(Some((_, head)))) => {
                self.confirm.swap_sent() && head.generation() == 1
            }
            _ => false,
        };
        if wrong {
            self.wrong_outcome = Some(ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(1)));
        }
        self.confirm.on_result(reply);
    }
}

impl World {
    fn version(&self) -> u64 {
        self.heads.len() as u64
    }

    /// Applies a swap and returns whether it took effect. Fails when the new head takes effect but
    /// does not follow the current head.
    fn swap(&mut self, expected_version: Option<u64>, head: &Head) -> Result<bool, String> {
        if expected_version != Some(self.version()) && self.variant != Variant::NoCompare {
            return Ok(false);
        }
        let current = self.heads.last().expect("there is a first head");
        let follows = head.history.first() == Some(&current.latest);
        if !follows {
            return Err(format!("generation {} drops a confirmed plan", head.generation()));
        }
        self.heads.push(head.clone());
        Ok(true)
    }

    /// Returns every state that the next step of operator `i` can lead to.
    fn steps(&self, i: usize) -> Result<Vec<World>, String> {
        let mut next = Vec::new();
        let mut add_successor = |mut world: World, reply: StepResult| {
            world.operators[i].on_reply(self.variant, reply);
            next.push(world);
        };
        match self.operators[i].confirm.step().clone() {
            ConfirmStep::Done(_) => {}
            ConfirmStep::ReadHead => {
                for (position, head) in self.heads.iter().enumerate() {
                    let mut world = self.clone();
                    let is_stale = position + 1 < self.heads.len();
                    if is_stale && self.stale_reads == 0 {
                        continue;
                    }
                    world.stale_reads -= u32::from(is_stale);
                    add_successor(
                        world,
                        StepResult::HeadRead(Some((position as u64 + 1, Box::new(head.clone())))),
                    );
                }
                if self.lost_replies > 0 {
                    let world = World { lost_replies: self.lost_replies - 1, ..self.clone() };
                    add_successor(world, StepResult::ReadFailed);
                }
            }
            ConfirmStep::WriteChunks(_) => {
                let name = [self.operators[i].plan as u8; 32];
                add_successor(
                    self.clone(),
                    StepResult::ChunksWritten(vec![(Part::Services, Some(name))]),
                );
            }
            ConfirmStep::SwapHead(expected_version, head) => {
                let mut done = self.clone();
                let reply = match done.swap(expected_version, &head)? {
                    true => StepResult::Swapped,
                    false => StepResult::Conflict(Some(self.version())),
                };
                add_successor(done.clone(), reply);
                if self.lost_replies > 0 {
                    let lost = World { lost_replies: self.lost_replies - 1, ..self.clone() };
                    let mut late = lost.clone();
                    late.swaps_in_flight.push((expected_version, (*head).clone()));
                    let lost_replies = self.lost_replies - 1;
                    add_successor(World { lost_replies, ..done }, StepResult::SwapUnknown);
                    add_successor(lost.clone(), StepResult::SwapUnknown);
                    add_successor(lost, StepResult::SwapFailed);
                    add_successor(late, StepResult::SwapUnknown);
                }
            }
        }
        Ok(next)
    }

    /// Returns the states in which a swap in flight arrived or was lost, or in which an operator
    /// with an unknown outcome confirms again.
    fn environment_steps(&self) -> Result<Vec<World>, String> {
        let mut next = Vec::new();
        for i in 0..self.swaps_in_flight.len() {
            let mut lost = self.clone();
            let (expected_version, head) = lost.swaps_in_flight.remove(i);
            let mut arrived = lost.clone();
            arrived.swap(expected_version, &head)?;
            next.extend([lost, arrived]);
        }
        for (i, operator) in self.operators.iter().enumerate() {
            let is_unknown = matches!(operator.outcome(), Some(ConfirmOutcome::Unknown { .. }));
            if is_unknown && operator.repeats_left > 0 {
                let mut world = self.clone();
                world.operators[i].repeats_left -= 1;
                world.operators[i].confirm = confirm_of(operator.plan);
                next.push(world);
            }
        }
        Ok(next)
    }

    /// Checks every reported outcome against the final head.
    fn check_final_state(&self) -> Result<(), String> {
        let head = self.heads.last().expect("there is a first head");
        for operator in &self.operators {
            let found = head.generation_of(operator.plan);
            let is_correct = match operator.outcome() {
                Some(ConfirmOutcome::Confirmed(generation)) => found == Some(generation),
                Some(ConfirmOutcome::NotConfirmed(_)) => found.is_none(),
                Some(ConfirmOutcome::Unknown { .. }) => true,
                None => return Err("an operator has no outcome".to_owned()),
            };
            if !is_correct {
                return Err(format!("{:?} but the head has {found:?}", operator.outcome()));
            }
        }
        let mut plans = HashSet::new();
        match head.records().all(|record| plans.insert(record.plan)) {
            true => Ok(()),
            false => Err("a plan was confirmed twice".to_owned()),
        }
    }
}

fn explore(world: World) -> Explored {
    let mut explored = Explored::default();
    let mut pending = vec![world];
    while let Some(world) = pending.pop() {
        let operators = 0..world.operators.len();
        let steps: Result<Vec<Vec<World>>, String> = operators
            .filter(|i| world.operators[*i].outcome().is_none())
            .map(|i| world.steps(i))
            .chain([world.environment_steps()])
            .collect();
        match steps {
            Err(fault) => explored.faults.push(fault),
            Ok(steps) => {
                let next: Vec<World> = steps.into_iter().flatten().collect();
                if next.is_empty() {
                    explored.final_states += 1;
                    explored.faults.extend(world.check_final_state().err());
                }
                let unvisited = next.into_iter().filter(|w| explored.states.insert(w.clone()));
                pending.extend(unvisited.collect::<Vec<_>>());
            }
        }
    }
    explored
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} heads", self.heads.len())
    }
}

struct Scope {
    plans: [PlanId; 2],
    lost_replies: u32,
    stale_reads: u32,
}

#[test]
fn every_interleaving_is_reported_truly() {
    let scopes = [
        Scope { plans: [2, 3], lost_replies: 1, stale_reads: 1 },
        Scope { plans: [2, 2], lost_replies: 1, stale_reads: 1 },
        Scope { plans: [2, 3], lost_replies: 2, stale_reads: 2 },
        Scope { plans: [2, 2], lost_replies: 2, stale_reads: 2 },
    ];
    for Scope { plans, lost_replies, stale_reads } in scopes {
        let start = World { lost_replies, stale_reads, ..world(Variant::Correct, plans) };
        let explored = explore(start);
        assert_eq!(explored.faults, Vec::<String>::new(), "plans {plans:?}");
        assert!(explored.final_states > 0);
        let states = explored.states.len();
        println!(
            "plans {plans:?}, {lost_replies} lost: {states} states, {} final states",
            explored.final_states
        );
    }
}

#[test]
fn incorrect_variants_are_detected() {
    let variants = [
        Variant::NoCompare,
        Variant::NoReadBack,
        Variant::ConflictIsFinal,
        Variant::UnchangedIsFinal,
    ];
    for variant in variants {
        let explored = explore(world(variant, [2, 3]));
        assert!(!explored.faults.is_empty(), "{variant:?} is not detected");
        println!("{variant:?}: {} faults, first: {}", explored.faults.len(), explored.faults[0]);
    }
}

/// Guards against a protocol that is correct only because it never confirms a plan.
#[test]
fn without_faults_exactly_one_operator_succeeds() {
    let without_faults =
        World { lost_replies: 0, stale_reads: 0, ..world(Variant::Correct, [2, 3]) };
    let explored = explore(without_faults);
    let is_final = |w: &&World| w.operators.iter().all(|operator| operator.outcome().is_some());
    for world in explored.states.iter().filter(is_final) {
        let outcomes: Vec<_> = world.operators.iter().filter_map(Operator::outcome).collect();
        let confirmed =
            outcomes.iter().filter(|o| matches!(o, ConfirmOutcome::Confirmed(2))).count();
        let stale = ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(2));
        assert_eq!((confirmed, outcomes.contains(&stale)), (1, true), "{outcomes:?}");
    }
}
