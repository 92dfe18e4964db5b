//! The active configuration with its compiled route table.

use fescuemux_core::config::{Config, RouteTable};

/// One generation of the configuration with its compiled route table.
#[derive(Debug)]
pub(crate) struct EffectiveConfig {
    pub(crate) config: Config,
    pub(crate) routes: RouteTable,
}

impl EffectiveConfig {
    pub(crate) fn new(config: Config) -> EffectiveConfig {
        EffectiveConfig { routes: RouteTable::new(&config), config }
    }
}
