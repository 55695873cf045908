//! Rules that keep acknowledged writes safe across changes of the primary.

use base::Ms;
use schema::Pos;

use crate::MemberReport;

/// Smallest number of members that is a majority of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Whether a majority of members holds the write of `term` at `pos` and is still at that term.
///
/// A report counts only if its log reaches the write *and* its term is still that of the write: a
/// member that has granted a later term may have its entry overwritten by the primary of that term.
pub fn confirmed<'a>(
    pos: Pos,
    term: u64,
    reports: impl Iterator<Item = &'a MemberReport>,
    count: usize,
) -> bool {
    let holds_write = |r: &&MemberReport| r.term == term && r.last >= pos;
    pos.term == term && reports.filter(holds_write).count() >= majority(count)
}

/// Whether `term` was the newest term of a majority of members at the instant `since`.
///
/// Terms never decrease, so a report requested at or after `since` that still shows `term` proves
/// that the member had no newer term at that instant.
pub fn was_newest_term<'a>(
    term: u64,
    since: Ms,
    reports: impl Iterator<Item = &'a MemberReport>,
    count: usize,
) -> bool {
    reports
        .filter(|r| r.term == term && r.requested_at >= since)
        .count()
        >= majority(count)
}

/// Index of the member to promote: the granting member with the highest last position, a preferred
/// one among equals.
///
/// Returns `None` when fewer than a majority of members granted the term.
pub fn choose_candidate(
    grants: &[Option<MemberReport>],
    preferred: impl Fn(usize) -> bool,
) -> Option<usize> {
    let granted = |r: &&MemberReport| r.granted;
    if grants.iter().flatten().filter(granted).count() < majority(grants.len()) {
        return None;
    }
    let granted_last = |r: &Option<MemberReport>| Some(r.as_ref().filter(granted)?.last);
    let ranked = grants
        .iter()
        .enumerate()
        .filter_map(|(i, r)| Some((granted_last(r)?, preferred(i), i)));
    ranked
        .max_by_key(|(last, stays, i)| (*last, *stays, std::cmp::Reverse(*i)))
        .map(|(_, _, i)| i)
}
