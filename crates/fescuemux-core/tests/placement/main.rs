//! Placement by reservation: the decisions of ingress and guard, without input and output.

mod budget;
mod calls;
mod directory;
mod exhaustive;
mod gate;
mod overload;
mod ranking;
mod routes;
mod running_times;
mod servers;
mod stopping;
mod support;
mod suspicion;
mod unplaced;
