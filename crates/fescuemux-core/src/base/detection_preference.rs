//! The operator's weighting between the two detection errors.

/// Which detection error a service weighs more heavily.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DetectionPreference {
    /// Prefers a later detection over removing a healthy backend server.
    #[default]
    FewFalseEjections,
    /// Prefers an early detection over keeping every healthy backend server.
    FastDetection,
}
