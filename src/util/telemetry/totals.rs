//! Running totals of the components of an instance.
//!
//! Components count with plain atomics on their hot paths; readings of all of them are
//! added to the metric instruments periodically, outside these paths.

use trefoil_core::engine::EngineStats;

use super::metrics::{Direction, StoreCall, WastedMessage};
use crate::links::LinkStats;

/// A running total with its label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Total {
    /// Jobs that became final at this instance.
    JobsEnded(JobOutcome),
    /// Placements of tasks, including retries.
    TaskStarts,
    /// Placements after an earlier one was refused.
    TaskRetries,
    /// Messages that did not contribute to answering a caller.
    Wasted(WastedMessage),
    /// Frames between instances.
    PeerFrames(Direction),
    /// Bytes of those frames.
    PeerBytes(Direction),
    /// Messages in those frames.
    PeerMessages(Direction),
    /// Messages or frames between instances that were dropped, by reason.
    PeerDropped(&'static str),
    /// Frames missing in the sequence of received ones.
    PeerGaps,
    /// Changes of connections to peers, by event.
    PeerConnections(&'static str),
    /// Calls to the platform's store.
    StoreCalls(StoreCall),
    /// Calls to the platform's store that failed.
    StoreFailures,
}

/// Final outcome of a job.
#[expect(missing_docs, reason = "`Cancelled` explains itself")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks returned results.
    Complete,
    /// Failed before its deadline.
    Failed,
    /// Failed by its deadline.
    Deadline,
    Cancelled,
}

impl JobOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Name and description of a total's instrument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TotalName {
    pub name: &'static str,
    pub description: &'static str,
}

/// The instruments of all totals, indexed by [`Total::index`].
pub(super) const TOTAL_NAMES: [TotalName; 12] = [
    total("trefoil_jobs_ended", "Jobs that ended here, by end."),
    total("trefoil_task_starts", "Tasks sent to a backend server."),
    total(
        "trefoil_task_retries",
        "Tasks sent again after a refusal before their start.",
    ),
    total(
        "trefoil_wasted_messages",
        "Messages that brought no caller nearer to an answer, by kind.",
    ),
    total("trefoil_peer_frames", "Frames between instances."),
    total("trefoil_peer_bytes", "Bytes between instances."),
    total("trefoil_peer_messages", "Messages between instances."),
    total(
        "trefoil_peer_dropped",
        "Messages or frames between instances that were dropped, by reason.",
    ),
    total("trefoil_peer_gaps", "Frames missing between received ones."),
    total(
        "trefoil_peer_connections",
        "Changes of connections to peers, by event.",
    ),
    total(
        "trefoil_store_calls",
        "Calls to the platform's store, by kind.",
    ),
    total(
        "trefoil_store_failures",
        "Calls to the platform's store that failed.",
    ),
];

const fn total(name: &'static str, description: &'static str) -> TotalName {
    TotalName { name, description }
}

/// The slot request and the answer that grants none.
const MESSAGES_PER_REFUSED_REQUEST: u64 = 2;

impl Total {
    /// Index of the total's instrument in [`TOTAL_NAMES`].
    pub(super) fn index(self) -> usize {
        match self {
            Self::JobsEnded(_) => 0,
            Self::TaskStarts => 1,
            Self::TaskRetries => 2,
            Self::Wasted(_) => 3,
            Self::PeerFrames(_) => 4,
            Self::PeerBytes(_) => 5,
            Self::PeerMessages(_) => 6,
            Self::PeerDropped(_) => 7,
            Self::PeerGaps => 8,
            Self::PeerConnections(_) => 9,
            Self::StoreCalls(_) => 10,
            Self::StoreFailures => 11,
        }
    }

    /// Name and value of the label, if any.
    pub(super) fn label(self) -> Option<(&'static str, &'static str)> {
        match self {
            Self::JobsEnded(end) => Some(("end", end.label())),
            Self::Wasted(kind) => Some(("kind", kind.label())),
            Self::PeerFrames(direction)
            | Self::PeerBytes(direction)
            | Self::PeerMessages(direction) => Some(("direction", direction.label())),
            Self::PeerDropped(reason) => Some(("reason", reason)),
            Self::PeerConnections(event) => Some(("event", event)),
            Self::StoreCalls(kind) => Some(("kind", kind.label())),
            Self::TaskStarts | Self::TaskRetries | Self::PeerGaps | Self::StoreFailures => None,
        }
    }
}

/// A reading of all totals. Each reading has the same totals in the same order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals(Vec<(Total, u64)>);

impl Totals {
    /// Appends one total to the reading.
    pub fn push(&mut self, total: Total, count: u64) {
        self.0.push((total, count));
    }

    /// Appends the engine's totals.
    pub fn push_engine_stats(&mut self, stats: &EngineStats) {
        let failed = stats.jobs_failed.saturating_sub(stats.jobs_past_deadline);
        self.0.extend([
            (Total::JobsEnded(JobOutcome::Complete), stats.jobs_complete),
            (Total::JobsEnded(JobOutcome::Failed), failed),
            (
                Total::JobsEnded(JobOutcome::Deadline),
                stats.jobs_past_deadline,
            ),
            (
                Total::JobsEnded(JobOutcome::Cancelled),
                stats.jobs_cancelled,
            ),
            (Total::TaskStarts, stats.tasks_started),
            (
                Total::Wasted(WastedMessage::LateAnswer),
                stats.outcomes_dropped,
            ),
            (
                Total::Wasted(WastedMessage::Resubmission),
                stats.jobs_replayed,
            ),
            (
                Total::Wasted(WastedMessage::SlotsRefused),
                MESSAGES_PER_REFUSED_REQUEST * stats.slots_refused,
            ),
            (Total::TaskRetries, stats.tasks_retried),
        ]);
    }

    /// Appends the totals of the links to peers.
    pub fn push_link_stats(&mut self, stats: &LinkStats) {
        let (sent, received) = (Direction::Sent, Direction::Received);
        let dropped = &stats.dropped;
        self.0.extend([
            (Total::PeerFrames(sent), stats.frames_out),
            (Total::PeerFrames(received), stats.frames_in),
            (Total::PeerBytes(sent), stats.bytes_out),
            (Total::PeerBytes(received), stats.bytes_in),
            (Total::PeerMessages(sent), stats.messages_out),
            (Total::PeerMessages(received), stats.messages_in),
            (Total::PeerGaps, stats.gaps),
            (Total::PeerConnections("opened"), stats.connects),
            (Total::PeerConnections("lost"), stats.disconnects),
            (Total::PeerConnections("redialled"), stats.redials),
            (Total::PeerDropped("late"), dropped.late),
            (Total::PeerDropped("queue_full"), dropped.queue_full),
            (Total::PeerDropped("removed"), dropped.removed),
            (Total::PeerDropped("lost"), dropped.lost),
            (Total::PeerDropped("rubbish"), dropped.rubbish),
            (Total::PeerDropped("doubled"), dropped.doubled),
            (Total::PeerDropped("stale"), dropped.stale),
            (
                Total::PeerDropped("other_incarnation"),
                dropped.other_incarnation,
            ),
            (Total::PeerDropped("senders"), dropped.senders),
            (Total::PeerDropped("unknown"), dropped.unknown),
            (Total::PeerDropped("inbox_full"), dropped.inbox_full),
        ]);
    }

    /// Returns the totals that grew since an earlier reading, with the growth.
    ///
    /// Totals that the earlier reading lacks are returned even at 0, so that each is
    /// exported from the start.
    pub(super) fn growth_since(&self, earlier: &Self) -> impl Iterator<Item = (Total, u64)> {
        let before = earlier.0.iter().map(|(_, count)| Some(*count));
        let pairs = self.0.iter().zip(before.chain(std::iter::repeat(None)));
        pairs.filter_map(|(&(total, to), before)| {
            let growth = to.saturating_sub(before.unwrap_or(0));
            (growth > 0 || before.is_none()).then_some((total, growth))
        })
    }
}
