//! Settings of an owner.

use std::collections::BTreeMap;

/// Default of [`Settings::remote_penalty`]: the lower bound that the platform's contract
/// states.
const REMOTE_PENALTY: f64 = 1.5;

/// Settings of an owner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Factor on the run time of a task away from its data.
    pub remote_penalty: f64,
    /// Declared weights of job classes in fair sharing. Classes without a declared weight
    /// get a default.
    pub class_weights: BTreeMap<String, f64>,
    /// Disables admission control: a job is refused only once it has expired. Set by
    /// simulations only.
    pub admit_all: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            remote_penalty: REMOTE_PENALTY,
            class_weights: BTreeMap::new(),
            admit_all: false,
        }
    }
}
