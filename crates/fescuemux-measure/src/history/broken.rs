//! Bugs that can be injected into the simulated daemon. The checkers must detect each of them.

/// A bug injected into the code that connects the components of `fescuemux-core`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A guard ejects its server without a permit from the ejection ledger.
    EjectAlone,
    /// A guard bases each ledger write on its own last write and skips the version check.
    BlindLedger,
    /// An ingress assigns each answer of a guard to the oldest request that is pending at that
    /// guard.
    AnswersInOrder,
    /// A guard forwards a truncated answer.
    CutAnswer,
    /// An ingress reports an attempt whose answer did not arrive as "not run".
    LostIsNotRun,
    /// A guard reports a request that ran past its deadline as "not run".
    LateIsNotRun,
    /// An ingress retries a request that may have run, even on a route that is not idempotent.
    RepeatAlways,
    /// A home grants claims without checking its fence, which decides whether it may.
    NoFence,
    /// A restarted home acts as if its empty key registry held every claim of the past hour.
    ForgottenRestart,
    /// A guard does not deduplicate requests by id.
    NoRequestTable,
    /// A guard admits requests to a draining server.
    IgnoreDraining,
    /// A planned stop does not wait for requests in flight.
    StopAtOnce,
    /// An instance activates every configuration head that it gets, even of an older generation.
    InstallAny,
    /// A compare-and-swap of the head with unknown effect is reported as successful.
    UnknownIsConfirmed,
    /// Instances neither announce generations to each other nor pull them, and followers do not read
    /// the store.
    NoSpread,
}

impl InjectedBug {
    /// All injectable bugs.
    pub const ALL: [InjectedBug; 15] = [
        InjectedBug::EjectAlone,
        InjectedBug::BlindLedger,
        InjectedBug::AnswersInOrder,
        InjectedBug::CutAnswer,
        InjectedBug::LostIsNotRun,
        InjectedBug::LateIsNotRun,
        InjectedBug::RepeatAlways,
        InjectedBug::NoFence,
        InjectedBug::ForgottenRestart,
        InjectedBug::NoRequestTable,
        InjectedBug::IgnoreDraining,
        InjectedBug::StopAtOnce,
        InjectedBug::InstallAny,
        InjectedBug::UnknownIsConfirmed,
        InjectedBug::NoSpread,
    ];
}
