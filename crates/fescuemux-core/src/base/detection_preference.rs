//! Trade-off between missed and false fault detections.

/// Which of two detection errors a service avoids at the cost of the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DetectionPreference {
    /// Detects faults later rather than ejecting a healthy backend server.
    #[default]
    FewFalseEjections,
    /// Ejects some healthy backend servers rather than detecting faults late.
    FastDetection,
}
