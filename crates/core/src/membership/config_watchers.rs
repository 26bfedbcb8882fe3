//! Which instances of a failure domain watch the store for declarations.
//!
//! The first [`WATCHERS`] by name of those that reach the store do; the others receive changes
//! from their peers. Heartbeats carry how long ago the store confirmed the sender's
//! declarations, to the sender itself: an instance that the store refuses counts for nobody.
//!
//! A heartbeat that is held up on its way makes a watcher count for that time longer.

use super::Membership;

/// Number of watchers of a failure domain, so that the loss of one delays nothing.
const WATCHERS: usize = 2;
/// Age from which a confirmation does not count. A watch is reopened, which confirms, after
/// 3 s without data; the rest is for that call and a heartbeat. Another instance then still
/// has a second to be in force within five.
const CONFIRMATION_AGE_MAX_MS: u64 = 4_000;

impl Membership {
    /// Whether this instance watches the store rather than rely on its peers.
    pub fn is_config_watcher(&self) -> bool {
        let running = self.running_peers().into_iter();
        let before = running.filter(|member| member.name < self.me.name);
        let confirmed = before.filter(|member| {
            self.roster
                .config_confirmed_within(self.now, member, CONFIRMATION_AGE_MAX_MS)
        });
        confirmed.count() < WATCHERS
    }
}
