//! What the tests share.

pub mod api_stub;
pub mod pair;
