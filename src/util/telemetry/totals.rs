//! What the parts of an instance have counted since its start.
//!
//! Parts count in plain atomics on their own paths; a reading of all of them
//! is added to the instruments off those paths.

use trefoil_core::engine::EngineStats;

use super::metrics::{Direction, StoreCall, WastedMessage};
use crate::links::LinkStats;

/// Name, unit and meaning of one running total, and its label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Total {
    /// Jobs that ended here.
    JobsEnded(JobOutcome),
    /// Placements of tasks, retries among them.
    TaskStarts,
    /// Placements after a refusal of an earlier one.
    TaskRetries,
    /// Messages that brought no caller nearer to an answer.
    Wasted(WastedMessage),
    /// Frames between instances.
    PeerFrames(Direction),
    /// Bytes of those frames.
    PeerBytes(Direction),
    /// Messages in those frames.
    PeerMessages(Direction),
    /// Messages or frames between instances that were dropped, by reason.
    PeerDropped(&'static str),
    /// Frames missing between two received ones.
    PeerGaps,
    /// Changes of connections to peers, by what happened.
    PeerConnections(&'static str),
    /// Calls to the platform's store.
    StoreCalls(StoreCall),
    /// Calls to the platform's store that failed.
    StoreFailures,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Answered whole.
    Complete,
    /// Failed before its deadline.
    Failed,
    /// Failed by its deadline.
    Deadline,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Instrument of a total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TotalName {
    pub name: &'static str,
    pub text: &'static str,
}

/// All instruments of totals; [`Total::position`] is the place of each.
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

const fn total(name: &'static str, text: &'static str) -> TotalName {
    TotalName { name, text }
}

/// A request for slots and the answer that there are none.
const MESSAGES_PER_REFUSED_REQUEST: u64 = 2;

impl Total {
    /// Place of the total's instrument.
    pub(super) fn position(self) -> usize {
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

    /// Name and value of the label, if the total has one.
    pub(super) fn label(self) -> Option<(&'static str, &'static str)> {
        match self {
            Self::JobsEnded(end) => Some(("end", end.name())),
            Self::Wasted(kind) => Some(("kind", kind.name())),
            Self::PeerFrames(way) | Self::PeerBytes(way) | Self::PeerMessages(way) => {
                Some(("direction", way.name()))
            }
            Self::PeerDropped(reason) => Some(("reason", reason)),
            Self::PeerConnections(event) => Some(("event", event)),
            Self::StoreCalls(kind) => Some(("kind", kind.name())),
            Self::TaskStarts | Self::TaskRetries | Self::PeerGaps | Self::StoreFailures => None,
        }
    }
}

/// One reading: the same totals in the same order each time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals(Vec<(Total, u64)>);

impl Totals {
    /// Adds one total to the reading.
    pub fn push(&mut self, total: Total, count: u64) {
        self.0.push((total, count));
    }

    /// Adds the engine's totals.
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

    /// Adds the links' totals.
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
            (Total::PeerDropped("senders"), dropped.senders),
            (Total::PeerDropped("unknown"), dropped.unknown),
            (Total::PeerDropped("inbox_full"), dropped.inbox_full),
        ]);
    }

    /// What grew since an earlier reading, with by how much.
    ///
    /// All totals have grown since the empty reading, by 0 too, so that each is
    /// on the page from the start.
    pub(super) fn since(&self, earlier: &Self) -> impl Iterator<Item = (Total, u64)> {
        let before = earlier.0.iter().map(|(_, count)| Some(*count));
        let pairs = self.0.iter().zip(before.chain(std::iter::repeat(None)));
        pairs.filter_map(|(&(total, to), before)| {
            let growth = to.saturating_sub(before.unwrap_or(0));
            (growth > 0 || before.is_none()).then_some((total, growth))
        })
    }
}
