//! Settings of an owner.

/// Default of [`Settings::remote_penalty`]: the lower bound that the platform's contract
/// states, which allows 1.5 to 3.
const REMOTE_PENALTY: f64 = 1.5;

/// Settings of an owner.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Factor on the run time of a task away from its data.
    pub remote_penalty: f64,
    /// Disables admission control: a job is refused only once it has expired. Set by
    /// simulations only.
    pub admit_all: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            remote_penalty: REMOTE_PENALTY,
            admit_all: false,
        }
    }
}
