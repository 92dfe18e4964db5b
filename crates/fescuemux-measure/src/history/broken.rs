//! Deliberately broken versions of the glue, each of which a checker must catch.

/// One deliberate fault of the glue around the decision parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A guard ejects its server without asking the ledger.
    EjectAlone,
    /// A guard writes the ledger that it wrote last, without comparing versions.
    BlindLedger,
    /// An ingress takes the next answer of a guard for that of its oldest request there.
    AnswersInOrder,
    /// A guard passes on an answer that was cut.
    CutAnswer,
    /// An ingress reports a lost path as "not run".
    LostIsNotRun,
    /// A guard reports a missed deadline as "not run".
    LateIsNotRun,
    /// An ingress repeats a request that may have run whatever its route says.
    RepeatAlways,
    /// A home grants claims without asking its fence.
    NoFence,
    /// A home that restarted takes itself for one that has always been there.
    ForgottenRestart,
    /// A guard does not remember request ids.
    NoRequestTable,
    /// A guard admits requests to a draining server.
    IgnoreDraining,
    /// A planned stop does not wait for work under way.
    StopAtOnce,
    /// An instance puts every head that it reads in force.
    InstallAny,
    /// A swap of the head with unknown effect is reported as done.
    UnknownIsConfirmed,
    /// Instances neither tell each other of generations nor pull them.
    NoSpread,
}

impl InjectedBug {
    /// All of them.
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
