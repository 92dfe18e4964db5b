//! The configuration in force, in the form that requests need.

use fescuemux_core::base::Generation;
use fescuemux_core::config::{Config, RouteTable};

/// One generation of the configuration.
#[derive(Debug)]
pub(crate) struct Effective {
    pub(crate) generation: Generation,
    pub(crate) config: Config,
    pub(crate) routes: RouteTable,
}

impl Effective {
    pub(crate) fn new(generation: Generation, config: Config) -> Effective {
        Effective { generation, routes: RouteTable::new(&config), config }
    }
}
