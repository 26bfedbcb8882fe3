//! Load patterns as data.

/// The workers of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Failure domains.
    pub domains: u32,
    /// Pools in each failure domain.
    pub pools_per_domain: u32,
    /// Workers in each pool.
    pub workers_per_pool: u32,
    /// Entry instances in each failure domain.
    pub entries_per_domain: u32,
}

impl Default for Fleet {
    /// Two thirds of its room are taken by [`classes`] as they usually come.
    fn default() -> Self {
        Self {
            domains: 3,
            pools_per_domain: 2,
            workers_per_pool: 40,
            entries_per_domain: 4,
        }
    }
}

/// Jobs of one queue.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name, for tables.
    pub name: &'static str,
    /// As declared: 0 comes first.
    pub priority: u32,
    /// Jobs a second that usually come to the whole deployment.
    pub usual_per_s: f64,
    /// Mean number of tasks in a job.
    pub tasks_mean: f64,
    /// Mean run time of a task.
    pub run_mean_ms: f64,
}

/// Something that makes the load unusual.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// More jobs of one class, or of all.
    Burst {
        /// Position of the class; none for all.
        class: Option<usize>,
        /// Times the usual rate.
        factor: f64,
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// Callers that leave before their answer.
    Impatience {
        /// Share of callers.
        share: f64,
        /// When they leave, after their request.
        after_ms: u64,
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// Jobs that fail each time that they run.
    Hopeless {
        /// Share of jobs.
        share: f64,
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// Callers of the first failure domain that move to the second.
    Shift {
        /// Share of them.
        share: f64,
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// Workers that announce that they leave, and do so 4 s later.
    Leave {
        /// Share of all workers.
        share: f64,
        /// When they announce it.
        at_ms: u64,
    },
    /// Empty workers added to every pool of the first failure domain.
    Join {
        /// Workers for each pool.
        workers: u32,
        /// When they register.
        at_ms: u64,
    },
    /// Orders to workers get no answer, and are not carried out in time.
    Unanswered {
        /// Share of orders.
        share: f64,
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// No entry can be reached: what would have come comes at the end, together.
    Outage {
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
}

/// What refused callers do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returning {
    /// They do not come back.
    Never,
    /// They come back once, when they were told to.
    AsTold,
    /// They come back once, after the same time all: to compare with.
    After {
        /// That time.
        wait_ms: u64,
    },
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name on the command line.
    pub name: &'static str,
    /// The workers.
    pub fleet: Fleet,
    /// The classes of jobs.
    pub classes: Vec<Class>,
    /// What is unusual.
    pub changes: Vec<Change>,
    /// What refused callers do.
    pub returning: Returning,
    /// How long jobs come.
    pub length_ms: u64,
}

impl Default for Pattern {
    fn default() -> Self {
        Self {
            name: "calm",
            fleet: Fleet::default(),
            classes: classes(1.0),
            changes: Vec::new(),
            returning: Returning::Never,
            length_ms: 10_000,
        }
    }
}

/// A wide and short class, a long one, and a small one, which takes as much as
/// both of them; `share` is that of their traffic in a fleet of 240 workers.
fn classes(share: f64) -> Vec<Class> {
    let class = |name, priority, usual_per_s, tasks_mean, run_mean_ms| Class {
        name,
        priority,
        usual_per_s: usual_per_s * share,
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
    let burst = |class, factor, from_ms, to_ms| Change::Burst {
        class,
        factor,
        from_ms,
        to_ms,
    };
    let unanswered = |share| Change::Unanswered {
        share,
        from_ms: 1000,
        to_ms: 9000,
    };
    let returning = |pattern| Pattern {
        returning: Returning::AsTold,
        ..pattern
    };
    let pattern = |name, changes| Pattern {
        name,
        changes,
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
                Change::Leave {
                    share: 0.25,
                    at_ms: 3000,
                },
            ],
        ),
        pattern(
            "impatient",
            vec![
                burst(None, 2.5, 2000, 7000),
                Change::Impatience {
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
                Change::Hopeless {
                    share: 0.1,
                    from_ms: 2000,
                    to_ms: 7000,
                },
            ],
        ),
        pattern(
            "shift",
            vec![Change::Shift {
                share: 0.8,
                from_ms: 2000,
                to_ms: 8000,
            }],
        ),
        pattern(
            "join",
            vec![
                burst(None, 2.0, 1000, 9000),
                Change::Join {
                    workers: 30,
                    at_ms: 4000,
                },
            ],
        ),
        returning(pattern("returning", vec![burst(None, 2.5, 2000, 7000)])),
        small(pattern("small-burst", vec![burst(None, 2.5, 2000, 7000)])),
        small(pattern("small-edge", vec![burst(None, 1.3, 1000, 9000)])),
        pattern("unanswered", vec![unanswered(0.2)]),
        pattern("unanswered-half", vec![unanswered(0.5)]),
        pattern(
            "recovery",
            vec![Change::Outage {
                from_ms: 3000,
                to_ms: 4500,
            }],
        ),
    ]
}

/// The same in a fifth of the workers, one pool to a failure domain.
fn small(pattern: Pattern) -> Pattern {
    let fleet = Fleet {
        pools_per_domain: 1,
        workers_per_pool: 16,
        ..Fleet::default()
    };
    Pattern {
        fleet,
        classes: classes(0.2),
        ..pattern
    }
}

/// A pattern by its name.
pub fn named(name: &str) -> Option<Pattern> {
    all().into_iter().find(|pattern| pattern.name == name)
}
