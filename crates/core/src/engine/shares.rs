//! Division of worker slots between the instances of a failure domain.
//!
//! All instances compute the same division from the same lists without
//! communication. Slots are assigned round robin to the sorted members; each
//! worker continues where the previous one stopped.

/// Returns the number of slots of each worker assigned to `me`.
///
/// `slots` must have the same order on all members. The shares of all members
/// add up to the slots, and the totals of any two members differ by at most one.
/// An instance that is not a member gets none.
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

/// How many of the first `assigned` slots belong to the member at `position`.
fn assigned_to(position: u64, count: u64, assigned: u64) -> u64 {
    (assigned + count - 1 - position) / count
}
