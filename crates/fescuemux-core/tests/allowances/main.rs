//! Allowances on virtual time: the bound over all instances, and refusals below the allowance.

mod baselines;
mod cases;
mod checker;
mod comparison;
mod load;
mod world;
