//! Pseudorandom choice of workers, for the random placement policies.

/// Odd constant of Weyl's sequence, from SplitMix64 (Steele et al., 2014).
const WEYL_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Picks an allowed element of `choices`, determined by `draw`.
///
/// Searches from the drawn index on, wrapping around.
pub(crate) fn pick<T: Copy>(draw: u64, choices: &[T], allowed: impl Fn(T) -> bool) -> Option<T> {
    if choices.is_empty() {
        return None;
    }
    let first = (mix(draw) % choices.len() as u64) as usize;
    let (before, after) = choices.split_at(first);
    let mut in_turn = after.iter().chain(before).copied();
    in_turn.find(|choice| allowed(*choice))
}

/// Finaliser of SplitMix64; spreads consecutive numbers evenly.
fn mix(draw: u64) -> u64 {
    let mut mixed = draw.wrapping_mul(WEYL_STEP);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
