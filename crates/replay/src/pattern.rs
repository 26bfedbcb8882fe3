//! Load patterns.

/// Numbers of pools, workers and entry instances of a deployment.
#[expect(missing_docs, reason = "the fields explain themselves")]
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    pub domains: u32,
    pub pools_per_domain: u32,
    pub workers_per_pool: u32,
    pub entries_per_domain: u32,
    /// Kinds of workers, assigned in turn.
    pub worker_kinds: &'static [WorkerKind],
}

/// A kind of worker, relative to a standard worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerKind {
    /// Label that its workers carry.
    pub label: &'static str,
    /// Factor on the CPU capacity.
    pub capacity: f64,
    /// Factor on run times.
    pub slowdown: f64,
}

/// Every third worker is half as large again, and slower.
const DEFAULT_KINDS: &[WorkerKind] = &[
    STANDARD_KIND,
    STANDARD_KIND,
    WorkerKind {
        label: "b",
        capacity: 1.5,
        slowdown: 1.3,
    },
];

const STANDARD_KIND: WorkerKind = WorkerKind {
    label: "a",
    capacity: 1.0,
    slowdown: 1.0,
};

/// Every third worker is half as large again and 2.4 times as fast as the others.
const UNEVEN_KINDS: &[WorkerKind] = &[
    SLOW_KIND,
    SLOW_KIND,
    WorkerKind {
        label: "b",
        capacity: 1.5,
        slowdown: 1.0 / 1.7,
    },
];

const SLOW_KIND: WorkerKind = WorkerKind {
    slowdown: 1.0 / 0.7,
    ..STANDARD_KIND
};

impl Default for Topology {
    /// Two thirds of its capacity are used by [`default_classes`] at their base rates.
    fn default() -> Self {
        Self {
            domains: 3,
            pools_per_domain: 2,
            workers_per_pool: 40,
            entries_per_domain: 4,
            worker_kinds: DEFAULT_KINDS,
        }
    }
}

/// Jobs with the same priority and size distribution.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// Name in tables.
    pub name: &'static str,
    /// Dispatch priority; 0 is the highest.
    pub priority: u32,
    /// Arrival rate at the whole deployment without disturbances, in jobs per second.
    pub base_rate_per_s: f64,
    /// Mean number of tasks per job.
    pub tasks_mean: f64,
    /// Mean run time of a task on a standard worker.
    pub run_mean_ms: f64,
}

/// A deviation from the base load. Times count from the first possible arrival.
#[expect(
    missing_docs,
    reason = "`from_ms` and the exclusive end `to_ms` explain themselves"
)]
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// A higher arrival rate of one class, or of all.
    Burst {
        /// Position of the class; `None` for all.
        class: Option<usize>,
        /// Failure domain of the callers; `None` for all.
        domain: Option<u32>,
        /// Factor on the base rate.
        factor: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// Arrival rates that rise and fall as a sine wave, with a phase of its own in each
    /// failure domain.
    Wave {
        /// Amplitude as a share of the base rate.
        swing: f64,
        period_ms: u64,
        /// Phase difference between successive failure domains, in periods.
        phase_step: f64,
    },
    /// Callers that give up before their answer.
    Abandonment {
        /// Share of callers.
        share: f64,
        /// Time from the request until the caller gives up.
        after_ms: u64,
        from_ms: u64,
        to_ms: u64,
    },
    /// Jobs whose tasks fail on every attempt.
    AlwaysFailing {
        /// Share of jobs.
        share: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// Callers of the first failure domain that move to the second.
    CallersMove {
        /// Share of the callers.
        share: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// Workers that announce their drain and exit later.
    WorkersLeave {
        /// Share of the workers.
        share: f64,
        /// Failure domain of the workers; `None` for all.
        domain: Option<u32>,
        /// Time until the exit, as the workers report it; `None` if they exit after 4 s without
        /// having reported that.
        notice_ms: Option<u64>,
        /// Time of the announcement.
        at_ms: u64,
    },
    /// Idle workers added to every pool of the first failure domain.
    WorkersJoin {
        /// New workers per pool.
        workers: u32,
        /// Time of their registration.
        at_ms: u64,
    },
    /// Workers on which tasks run slower, while their answers and their health stay normal.
    SlowWorkers {
        /// Share of all workers.
        share: f64,
        /// Factor on run times.
        factor: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// Orders to workers get no answer and have no effect.
    Unanswered {
        /// Share of orders.
        share: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// No entry can be reached; jobs that arrive meanwhile are all submitted at its end.
    Outage { from_ms: u64, to_ms: u64 },
}

/// What callers do after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// They do not retry.
    Never,
    /// They retry once, after the delay that the refusal names.
    HonorRetryAfter,
    /// They retry once, after the same delay for all.
    #[expect(missing_docs, reason = "the field explains itself")]
    FixedDelay { wait_ms: u64 },
}

/// Tasks whose run time exceeds that of the others in their job.
#[derive(Clone, Copy, Debug)]
pub struct Tail {
    /// Share of tasks.
    pub share: f64,
    /// Factor on their run times.
    pub factor: f64,
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name on the command line.
    pub name: &'static str,
    /// Size of the deployment.
    pub topology: Topology,
    /// The job classes.
    pub classes: Vec<JobClass>,
    /// Tasks that run longer by themselves, on any worker.
    pub tail: Option<Tail>,
    /// Deviations from the base load.
    pub disturbances: Vec<Disturbance>,
    /// What callers do after a refusal.
    pub retry_policy: RetryPolicy,
    /// Time during which jobs arrive.
    pub duration_ms: u64,
}

impl Default for Pattern {
    fn default() -> Self {
        Self {
            name: "calm",
            topology: Topology::default(),
            classes: default_classes(1.0),
            tail: None,
            disturbances: Vec::new(),
            retry_policy: RetryPolicy::Never,
            duration_ms: 10_000,
        }
    }
}

/// A class of wide and short jobs, one of long jobs, and one of small jobs that needs as much
/// capacity as both others; `share` scales the rates relative to a deployment of 240 workers.
fn default_classes(share: f64) -> Vec<JobClass> {
    let class = |name, priority, base_rate_per_s, tasks_mean, run_mean_ms| JobClass {
        name,
        priority,
        base_rate_per_s: base_rate_per_s * share,
        tasks_mean,
        run_mean_ms,
    };
    vec![
        class("wide", 0, 137.0, 8.0, 60.0),
        class("small", 1, 400.0, 2.0, 200.0),
        class("long", 2, 25.0, 4.0, 900.0),
    ]
}

/// All named patterns.
pub fn all() -> Vec<Pattern> {
    let burst = |class, factor, from_ms, to_ms| Disturbance::Burst {
        class,
        domain: None,
        factor,
        from_ms,
        to_ms,
    };
    let unanswered = |share| Disturbance::Unanswered {
        share,
        from_ms: 1000,
        to_ms: 9000,
    };
    let with_retries = |pattern| Pattern {
        retry_policy: RetryPolicy::HonorRetryAfter,
        ..pattern
    };
    let pattern = |name, disturbances| Pattern {
        name,
        disturbances,
        ..Pattern::default()
    };
    vec![
        pattern("calm", vec![]),
        pattern("burst-all", vec![burst(None, 2.5, 2000, 7000)]),
        pattern("burst-twice", vec![burst(None, 4.0, 2000, 7000)]),
        pattern("burst-edge", vec![burst(None, 1.4, 2000, 7000)]),
        pattern("burst-wide", vec![burst(Some(0), 6.0, 2000, 7000)]),
        pattern("burst-small", vec![burst(Some(1), 4.0, 2000, 7000)]),
        pattern(
            "burst-leaving",
            vec![
                burst(None, 2.0, 2000, 8000),
                Disturbance::WorkersLeave {
                    share: 0.25,
                    domain: None,
                    notice_ms: None,
                    at_ms: 3000,
                },
            ],
        ),
        pattern(
            "impatient",
            vec![
                burst(None, 2.5, 2000, 7000),
                Disturbance::Abandonment {
                    share: 0.4,
                    after_ms: 150,
                    from_ms: 2000,
                    to_ms: 7000,
                },
            ],
        ),
        pattern(
            "hopeless",
            vec![
                burst(None, 2.0, 2000, 7000),
                Disturbance::AlwaysFailing {
                    share: 0.1,
                    from_ms: 2000,
                    to_ms: 7000,
                },
            ],
        ),
        pattern(
            "shift",
            vec![Disturbance::CallersMove {
                share: 0.8,
                from_ms: 2000,
                to_ms: 8000,
            }],
        ),
        pattern(
            "join",
            vec![
                burst(None, 2.0, 1000, 9000),
                Disturbance::WorkersJoin {
                    workers: 30,
                    at_ms: 4000,
                },
            ],
        ),
        with_retries(pattern("returning", vec![burst(None, 2.5, 2000, 7000)])),
        in_small_deployment(pattern("small-burst", vec![burst(None, 2.5, 2000, 7000)])),
        in_small_deployment(pattern("small-edge", vec![burst(None, 1.3, 1000, 9000)])),
        pattern("unanswered", vec![unanswered(0.2)]),
        pattern("unanswered-half", vec![unanswered(0.5)]),
        pattern(
            "recovery",
            vec![Disturbance::Outage {
                from_ms: 3000,
                to_ms: 4500,
            }],
        ),
        in_large_deployment(pattern(
            "contention",
            vec![
                wave(),
                burst(Some(0), 4.0, 1000, 4000),
                burst(Some(2), 3.0, 5000, 8000),
                burst(Some(1), 3.0, 9000, 12_000),
                burst(None, 2.2, 13_000, 17_000),
                Disturbance::WorkersLeave {
                    share: 0.1,
                    domain: None,
                    notice_ms: None,
                    at_ms: 5000,
                },
            ],
        )),
        in_large_deployment(pattern("waves", vec![wave(), burst(None, 1.2, 0, 18_000)])),
        in_large_deployment(pattern(
            "domain-burst",
            vec![
                Disturbance::Burst {
                    class: None,
                    domain: Some(0),
                    factor: 3.5,
                    from_ms: 2000,
                    to_ms: 9000,
                },
                Disturbance::WorkersLeave {
                    share: 0.6,
                    domain: Some(1),
                    notice_ms: None,
                    at_ms: 4000,
                },
            ],
        )),
        in_large_deployment(pattern(
            "burst-short-notice",
            vec![
                burst(None, 1.5, 2000, 15_000),
                Disturbance::WorkersLeave {
                    share: 0.25,
                    domain: None,
                    notice_ms: Some(2000),
                    at_ms: 6000,
                },
            ],
        )),
        Pattern {
            // The workers that stay have room for all jobs, so that only the exits matter.
            classes: default_classes(0.7 * 352.0 / 240.0),
            ..in_large_deployment(pattern("short-notice", short_notices()))
        },
        on_uneven_workers(in_large_deployment(pattern(
            "uneven-workers",
            vec![
                burst(Some(0), 1.6, 3000, 7000),
                burst(None, 1.5, 10_000, 14_000),
            ],
        ))),
        in_large_deployment(pattern("slow-workers", vec![slow(0.25)])),
        on_uneven_workers(in_large_deployment(pattern(
            "slow-uneven",
            vec![slow(0.14)],
        ))),
        in_large_deployment(pattern("slow-most", vec![slow(0.6)])),
    ]
}

/// Load that moves between the failure domains within a few seconds.
fn wave() -> Disturbance {
    Disturbance::Wave {
        swing: 0.55,
        period_ms: 17_000,
        phase_step: 0.08,
    }
}

/// A quarter of the workers of one failure domain after the other leaves at short notice.
fn short_notices() -> Vec<Disturbance> {
    let notices_ms = [(0, 2000), (1, 1000), (2, 1500), (3, 700)];
    let leave = |(domain, notice_ms)| Disturbance::WorkersLeave {
        share: 0.25,
        domain: Some(domain),
        notice_ms: Some(notice_ms),
        at_ms: 2500 + 3000 * u64::from(domain),
    };
    notices_ms.into_iter().map(leave).collect()
}

/// A share of the workers runs tasks 6 times slower for a while.
fn slow(share: f64) -> Disturbance {
    Disturbance::SlowWorkers {
        share,
        factor: 6.0,
        from_ms: 4000,
        to_ms: 11_000,
    }
}

/// The pattern in four failure domains with 352 workers, for 18 seconds.
fn in_large_deployment(pattern: Pattern) -> Pattern {
    let topology = Topology {
        domains: 4,
        workers_per_pool: 44,
        entries_per_domain: 8,
        ..Topology::default()
    };
    Pattern {
        topology,
        classes: default_classes(352.0 / 240.0),
        duration_ms: 18_000,
        ..pattern
    }
}

/// The pattern on workers of uneven size and speed, with tasks that run longer by themselves.
fn on_uneven_workers(pattern: Pattern) -> Pattern {
    let topology = Topology {
        worker_kinds: UNEVEN_KINDS,
        ..pattern.topology
    };
    Pattern {
        topology,
        tail: Some(Tail {
            share: 0.03,
            factor: 7.0,
        }),
        ..pattern
    }
}

/// The pattern at a fifth of the size, with one pool per failure domain.
fn in_small_deployment(pattern: Pattern) -> Pattern {
    let topology = Topology {
        pools_per_domain: 1,
        workers_per_pool: 16,
        ..Topology::default()
    };
    Pattern {
        topology,
        classes: default_classes(0.2),
        ..pattern
    }
}

/// Finds a pattern by its name.
pub fn find(name: &str) -> Option<Pattern> {
    all().into_iter().find(|pattern| pattern.name == name)
}
