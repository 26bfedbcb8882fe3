//! Support code shared by the tests.

pub mod address;
pub mod api_stub;
pub mod callers;
pub mod deployment;
pub mod instance;
pub mod pair;
