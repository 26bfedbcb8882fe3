//! Stand-ins for the cases of the review, with the standard library only.
//!
//! * [`json`]: JSON values
//! * [`http`]: HTTP/1.1 server and client
//! * [`store`]: the platform's metadata store
//! * [`worker`]: workers, which run tasks under fences and leases
//! * [`ledger`]: what was run where and when, and the rules that are checked
//! * [`relay`]: TCP relay in front of an instance's links
//! * [`entry`]: processes of the project, started as the deploy file says
//! * [`clients`]: clients that submit jobs
//! * [`deployment`]: a small deployment of all of these

pub mod clients;
pub mod deployment;
pub mod entry;
pub mod http;
pub mod json;
pub mod ledger;
pub mod relay;
pub mod store;
pub mod worker;
