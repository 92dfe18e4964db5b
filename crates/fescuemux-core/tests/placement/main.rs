//! Placement by reservation: the decisions of ingresses and instances, without I/O.

mod admission_controller;
mod budget;
mod config_spread;
mod confirmation_age;
mod departures;

mod directory;
mod evictions;
mod exhaustive;
mod fair_shares;
mod fault_estimator;
mod fleet_retries;
mod limited_server;
mod nested_requests;
mod overload;
mod query_batches;
mod ranking;
mod routes;
mod running_times;
mod server_notices;
mod servers;
mod stopping;
mod support;
mod unplaced;
