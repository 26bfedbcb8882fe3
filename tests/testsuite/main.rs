//! End-to-end tests by feature, each a small project of real processes.

mod caller;
mod conditions;
mod ctl;
mod ctl_operator;
mod ctl_rollout;
mod daemon;
mod faults_domain;
mod faults_owner;
mod faults_stop;
mod faults_store;
mod faults_work;
mod leaving;
mod leaving_servers;
mod links;
mod metrics;
mod operator;
mod operator_feed;
mod operator_sources;
mod settings;
mod support;
mod telemetry;
mod telemetry_hops;
mod telemetry_peers;
mod workers;
