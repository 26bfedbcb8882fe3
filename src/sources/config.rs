//! Keeps the configuration in force in step with the store.
