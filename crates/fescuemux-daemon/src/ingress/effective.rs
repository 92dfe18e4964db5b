//! The configuration in force, in the form that requests need.

use fescuemux_core::config::{Config, RouteTable};

/// One generation of the configuration.
#[derive(Debug)]
pub(crate) struct Effective {
    pub(crate) config: Config,
    pub(crate) routes: RouteTable,
}

impl Effective {
    pub(crate) fn new(config: Config) -> Effective {
        Effective { routes: RouteTable::new(&config), config }
    }
}
