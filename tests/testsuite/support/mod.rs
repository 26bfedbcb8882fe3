//! What the tests share.
