//! Settings from a JSON file, checked.
