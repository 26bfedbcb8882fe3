//! Timeouts, periods and other limits of dispatch; times are in milliseconds.
//!
//! They depend on each other: a run ends by itself once its lease has expired, and
//! only then may its job start elsewhere. See `docs/design/platform.md`.

/// Maximum lease that a worker grants, by the platform's contract, measured on the
/// worker's clock, which may be slow by [`CLOCK_DRIFT_MAX`].
pub const LEASE_MAX_MS: u64 = 1000;
/// Maximum fraction by which a worker's clock is slow, by the platform's contract.
pub const CLOCK_DRIFT_MAX: f64 = 0.02;
/// Lease requested by a renewal. The tasks of a lost worker start elsewhere only
/// after it has expired; it allows for one lost renewal.
pub const LEASE_MS: u64 = 500;
/// Lease requested by a start, renewed once the start is answered. It is longer
/// than [`ANSWER_TIMEOUT_MAX_MS`] and a CPU throttling pause of the instance.
pub const START_LEASE_MS: u64 = 300;
/// How long a worker may delay the answer to a renewal until a run ends. Two
/// renewals fit into a lease.
pub const RENEW_WAIT_MS: u64 = 200;
/// Maximum timeout for a worker's answer, in addition to the requested wait; the
/// owner adapts it downwards. It is longer than a CPU throttling pause of the instance.
pub const ANSWER_TIMEOUT_MAX_MS: u64 = 100;
/// Time from the order to stop a run until its task can start elsewhere: the platform's
/// contract grants a stop 50, and its answer and the listing of the end take a round trip.
pub const RESTART_DELAY_MS: u64 = 60;
/// Delay before a worker is called again after the first call without an answer.
/// It doubles with each further one, up to [`RETRY_BACKOFF_MAX_MS`].
pub const RETRY_BACKOFF_MIN_MS: u64 = 2;
/// Maximum delay before a worker that did not answer is called again.
pub const RETRY_BACKOFF_MAX_MS: u64 = 100;
/// The same, for a worker on which nothing can be running.
pub const IDLE_RETRY_BACKOFF_MAX_MS: u64 = 500;
/// Maximum delay of the acknowledgement of completions on an idle worker, so that
/// the next start can carry it. The platform counts delays from 100.
pub const IDLE_ACK_DELAY_MS: u64 = 60;
/// Time within which new declarations must be in force, by the platform's contract.
pub const DECLARATIONS_IN_FORCE_MS: u64 = 2000;
/// Period of heartbeats on a link with an owner.
pub const HEARTBEAT_MS: u64 = 100;
/// Period of heartbeats between two instances that own no pool.
pub const IDLE_HEARTBEAT_MS: u64 = 500;
/// Time without a heartbeat after which a link is closed.
pub const LINK_TIMEOUT_MS: u64 = 450;
/// The same between instances that own no pool.
pub const IDLE_LINK_TIMEOUT_MS: u64 = 1800;
/// How long a worker that the registry no longer lists is used if it still answers.
/// Entries that expired during an outage of the store are written again within two
/// seconds of its return, and the registry is read every 700.
pub const UNLISTED_GRACE_MS: u64 = 2700;
/// How long an owner keeps the jobs of an origin whose link broke. The origin
/// detects the loss within a heartbeat, reconnects and delegates them again.
/// Meanwhile leases are still counted from the origin's last echo.
pub const ORIGIN_RECONNECT_GRACE_MS: u64 = 400;
/// Time from the loss of a link until nothing delegated over it can be running: the
/// other side's [`LINK_TIMEOUT_MS`], a lease renewed just before on a clock that is
/// slow by [`CLOCK_DRIFT_MAX`], and the network latency.
pub const REDELEGATION_DELAY_MS: u64 = LINK_TIMEOUT_MS + LEASE_MS + 80;
/// Maximum number of unanswered starts on a worker: half of the connections that it accepts.
pub const STARTS_IN_FLIGHT_MAX: usize = 32;
/// Maximum number of runs on a worker. Tasks that request next to nothing would otherwise make
/// its listings, which are compared run by run, as long as its jobs are wide.
pub const RUNS_PER_WORKER_MAX: usize = 1024;
/// Maximum size of a pool when a failure domain's pools are created. Larger pools
/// pack tasks better; smaller ones can be owned by a small instance.
pub const POOL_WORKERS_MAX: usize = 60;
/// Minimum uptime of an instance that creates a failure domain's pools; until then
/// workers may still be registering.
pub const POOL_CREATION_DELAY_MS: u64 = 2000;
/// Additional delay for each further pair of instances of a failure domain, because
/// each attempt reads the whole registry.
pub const POOL_CREATION_STAGGER_MS: u64 = 2000;
/// An owner yields a pool to an instance with this many times its weight for each
/// pool owned.
pub const YIELD_FACTOR: f64 = 1.9;
/// Minimum time that an instance has been linked before a pool is yielded to it.
pub const YIELD_AFTER_MS: u64 = 3000;
/// How long the runs of a predecessor may stay unclaimed under a new owner. Together
/// with the lease that the predecessor granted, it ends before callers submit their
/// jobs again (1300 after the loss).
pub const ADOPTION_GRACE_MS: u64 = 250;
/// How long the outcome of a job is kept for repeated submissions.
pub const ENDED_JOB_RETENTION_MS: u64 = 8000;
/// An owner is considered lost when its link has been down for this time.
pub const OWNER_LOST_TIMEOUT_MS: u64 = 150;
/// Delay of each candidate for a vacant pool after the next better one: long enough
/// for a store call and a heartbeat.
pub const CLAIM_STAGGER_MS: u64 = 150;
/// Timeout for the store's answer to a claim; after it the claim may be made
/// without the store.
pub const CLAIM_STORE_TIMEOUT_MS: u64 = 400;
/// How long an entry keeps a job that no owner can take.
pub const PLACEMENT_TIMEOUT_MS: u64 = 1000;
/// Minimum retry delay returned to refused callers; a change of owner takes less.
pub const RETRY_AFTER_MS: u64 = 1000;
/// Maximum number of owners that are tried for one job. Each attempt costs a round
/// trip, and a queued job has little time.
pub const POOLS_TRIED_MAX: usize = 3;
/// How long a refused job waits, from its submission on, for a vacant pool to get an
/// owner. After a loss this takes 150 to 500.
pub const VACANT_POOL_WAIT_MS: u64 = 400;
