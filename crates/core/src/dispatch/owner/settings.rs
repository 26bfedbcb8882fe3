//! Settings that simulations vary to compare policies.

/// Settings of an owner; instances run with the defaults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Disables admission control: a job is refused only once it has expired.
    pub admit_all: bool,
}
