//! Tests of an instance on a fake platform.

mod congested_link;
mod declaration_transfer;
mod pool_workers;
mod reborn_workers;
mod restarted_peer;
mod store_reads;
mod support;
mod suspension;
mod two_links;
