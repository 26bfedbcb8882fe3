//! End-to-end tests by feature, each a small project of real processes.

mod operator;
mod operator_feed;
mod operator_sources;
mod support;
