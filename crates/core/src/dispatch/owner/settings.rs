//! What an owner decides by, where experiments compare ways.

/// Settings of an owner; the defaults are what instances run with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Takes in every job and refuses it only once it is hopeless.
    pub admit_all: bool,
}
