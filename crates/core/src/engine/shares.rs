//! How a failure domain's instances divide the slots of its workers.
//!
//! Every instance computes the same division from the same two lists, without
//! a message: slots are dealt round robin over the sorted members, each
//! worker starting where the one before it stopped.

/// The slots of each worker that `me` may use.
///
/// `slots` holds the workers' slots in an order on which all members agree.
/// Shares sum exactly to the slots over all members, and any two members'
/// totals differ by at most one. An instance that is not listed has none.
pub fn divide_slots(slots: &[u32], me: &str, members: &[String]) -> Vec<u32> {
    let mut members: Vec<&str> = members.iter().map(String::as_str).collect();
    members.sort_unstable();
    members.dedup();
    let count = members.len() as u64;
    let Some(position) = members.iter().position(|member| *member == me) else {
        return vec![0; slots.len()];
    };
    let mut assigned = 0_u64;
    slots
        .iter()
        .map(|worker_slots| {
            let first = assigned;
            assigned += u64::from(*worker_slots);
            (assigned_to(position as u64, count, assigned)
                - assigned_to(position as u64, count, first)) as u32
        })
        .collect()
}

/// How many of the first `assigned` cards the player at `position` has.
fn assigned_to(position: u64, count: u64, assigned: u64) -> u64 {
    (assigned + count - 1 - position) / count
}
