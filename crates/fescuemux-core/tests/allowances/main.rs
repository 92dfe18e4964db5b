//! Allowances on virtual time: the bound over all instances, and refusals below the allowance.

mod cases;
mod checker;
mod load;
mod world;
