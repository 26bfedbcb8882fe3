//! Applies [`admission`] control to the queue: forecasts when waiting jobs can begin
//! and refuses those that cannot begin in time.
//!
//! [`admission`]: super::admission

use super::super::job::total_millicore_ms;
use super::admission::{BeginForecast, CpuUsage};
use super::forecast::Forecast;
use super::shares::Shares;
use super::*;

/// Time for a worker to accept a new fence: one call, and a scheduling pause of this
/// instance.
const FENCING_MS: u64 = 50;

/// Load at one instant; the forecast reserves capacity for jobs in queue order.
struct LoadSnapshot {
    cpu: CpuUsage,
    shares: Shares,
    forecast: Forecast,
}

impl Owner {
    /// Admits or refuses a job that has just arrived, after an attempt to place it;
    /// `millicore_ms` is its work on arrival.
    pub(super) fn admit_new(
        &mut self,
        now_ms: u64,
        key: JobKey,
        millicore_ms: u64,
        out: &mut Vec<Command>,
    ) {
        self.admission.record_offered(now_ms, millicore_ms);
        let waits = |job: &Job| !job.stopping && job.waiting_millicores() > 0;
        if self.jobs.get(key).is_some_and(waits) {
            self.refuse_late(now_ms, Some(key), out);
        }
        if let Some(job) = self.jobs.get(key) {
            self.admission.record_admitted(now_ms, job, millicore_ms);
        }
    }

    /// Checks all waiting jobs again, since their forecasts change over time.
    pub(super) fn recheck_waiting(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.waiting_jobs() > 0 {
            let cpu = self.cpu_usage(now_ms);
            self.admission.record_saturation(cpu);
            self.refuse_late(now_ms, None, out);
        }
    }

    /// Number of jobs that wait for capacity.
    pub(super) fn waiting_jobs(&self) -> usize {
        let jobs = self.queue.jobs().filter_map(|key| self.jobs.get(key));
        jobs.filter(|job| job.waiting_millicores() > 0).count()
    }

    /// Forecasts the waiting jobs in queue order and refuses those that cannot begin
    /// in time; if `new` is set, only that job may be refused.
    fn refuse_late(&mut self, now_ms: u64, new: Option<JobKey>, out: &mut Vec<Command>) {
        if self.settings.admit_all || self.queue.is_empty() || self.workers.is_empty() {
            return;
        }
        let mut load = self.load_snapshot(now_ms);
        let keys: Vec<JobKey> = self.queue.jobs().collect();
        for key in keys {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let millicores = job.waiting_millicores();
            if millicores == 0 {
                continue;
            }
            let is_new = new == Some(key);
            let forecast = self.begin_forecast(now_ms, &mut load, job, is_new);
            if forecast.is_useful(job) {
                load.forecast.reserve(millicores, job.remaining_ms());
            } else if is_new || new.is_none() {
                out.push(Command::Log(
                    self.refusal_event(now_ms, &load, job, forecast),
                ));
                self.refuse(now_ms, key, "its turn would come too late", out);
            }
            if is_new {
                return;
            }
        }
    }

    fn begin_forecast(
        &self,
        now_ms: u64,
        load: &mut LoadSnapshot,
        job: &Job,
        is_new: bool,
    ) -> BeginForecast {
        let admission = &self.admission;
        let begin_ms = load.forecast.begin_ms(job.waiting_millicores());
        let forecast = BeginForecast {
            begin_ms,
            late_begin_ms: admission.late_begin_ms(now_ms, load.cpu, begin_ms),
        };
        match is_new {
            true => admission.forecast_new_job(now_ms, load.cpu, &load.shares, job, forecast),
            false => forecast,
        }
    }

    fn refusal_event(
        &self,
        now_ms: u64,
        load: &LoadSnapshot,
        job: &Job,
        forecast: BeginForecast,
    ) -> LogEvent {
        let from_now = |at_ms: u64| at_ms as i64 - now_ms as i64;
        let mut event = LogEvent::job("refused", &job.spec.id);
        event.detail = format!(
            "class {} takes_ms {} due_in_ms {} begins_in_ms {} late_begins_in_ms {:?} \
             usable_millicores {:.0} offered_millicores {:.0} over_share {}",
            job.spec.class,
            job.remaining_ms(),
            from_now(job.objective_ms(1.0)),
            from_now(forecast.begin_ms),
            forecast.late_begin_ms.map(from_now),
            self.admission.usable_millicores(load.cpu),
            self.admission.offered_millicores(now_ms),
            load.shares.is_over_share(&job.spec.class),
        );
        event
    }

    /// Retry delay of the caller of a job that is refused now.
    pub(super) fn retry_after_ms(&mut self, now_ms: u64, key: JobKey) -> u64 {
        let cpu = self.cpu_usage(now_ms);
        let millicore_ms = self.jobs[key].waiting_millicore_ms();
        self.admission.retry_after_ms(now_ms, cpu, millicore_ms)
    }

    /// Retry delay of the caller of a job that is not taken.
    pub(super) fn unqueued_retry_after_ms(&mut self, now_ms: u64, spec: &JobSpec) -> u64 {
        let cpu = self.cpu_usage(now_ms);
        let millicore_ms = total_millicore_ms(spec);
        self.admission.retry_after_ms(now_ms, cpu, millicore_ms)
    }

    fn load_snapshot(&self, now_ms: u64) -> LoadSnapshot {
        LoadSnapshot {
            cpu: self.cpu_usage(now_ms),
            shares: self.shares(),
            forecast: self.forecast(now_ms),
        }
    }

    fn forecast(&self, now_ms: u64) -> Forecast {
        let mut forecast = Forecast::new(now_ms);
        let usable = self.workers.values();
        for worker in usable.filter(|worker| worker.accepts_tasks_soon(now_ms)) {
            if worker.fencing == FencingState::Unfenced {
                forecast.add_release(now_ms + FENCING_MS, worker.free_resources().cpu_millicores);
            }
            for run in &worker.runs {
                let millicores = run
                    .resources
                    .map_or(0, |resources| resources.cpu_millicores);
                forecast.add_release(run.expected_end_ms(now_ms), millicores);
            }
        }
        forecast
    }

    fn cpu_usage(&self, now_ms: u64) -> CpuUsage {
        let usable = self.workers.values();
        let usable = usable.filter(|worker| worker.accepts_tasks_soon(now_ms));
        usable.fold(CpuUsage::default(), |sum, worker| CpuUsage {
            capacity_millicores: sum.capacity_millicores + worker.record.capacity.cpu_millicores,
            free_millicores: sum.free_millicores + worker.free_resources().cpu_millicores,
        })
    }
}
