//! Rules that keep acknowledged writes safe across changes of the primary.

use base::Ms;
use schema::Pos;

use crate::MemberReport;

/// Smallest number of members that is a majority of a group.
pub fn majority(group_size: usize) -> usize {
    group_size / 2 + 1
}

/// Whether a majority of members holds the write of `term` at `pos` and has granted no later term.
///
/// A report counts only if its log reaches the write *and* its term is still that of the write: a
/// member that has granted a later term may have its entry overwritten by the primary of that term.
/// `reports` has at most one report per member.
pub fn confirmed<'a>(
    pos: Pos,
    term: u64,
    reports: impl Iterator<Item = &'a MemberReport>,
    group_size: usize,
) -> bool {
    let holds_write = |r: &&MemberReport| r.term == term && r.last >= pos;
    pos.term == term && reports.filter(holds_write).count() >= majority(group_size)
}

/// Whether a majority of members had no term newer than `term` at the instant `since`.
///
/// Terms never decrease, so a report requested at or after `since` that still shows `term` proves
/// that the member had no newer term at that instant. `reports` has at most one report per member.
pub fn had_no_newer_term<'a>(
    term: u64,
    since: Ms,
    reports: impl Iterator<Item = &'a MemberReport>,
    group_size: usize,
) -> bool {
    reports
        .filter(|r| r.term == term && r.requested_at >= since)
        .count()
        >= majority(group_size)
}

/// Index of the member to promote: the granting member with the highest last position; among
/// equals a preferred one, then the one with the lowest index.
///
/// `grants` holds each member's answer to the request for the term, which may be a refusal, or
/// `None` without an answer. Returns `None` when fewer than a majority of members granted the term.
pub fn choose_candidate(
    grants: &[Option<MemberReport>],
    preferred: impl Fn(usize) -> bool,
) -> Option<usize> {
    let granted = |r: &&MemberReport| r.granted;
    if grants.iter().flatten().filter(granted).count() < majority(grants.len()) {
        return None;
    }
    let granted_last = |r: &Option<MemberReport>| Some(r.as_ref().filter(granted)?.last);
    let candidates = grants
        .iter()
        .enumerate()
        .filter_map(|(i, r)| Some((granted_last(r)?, preferred(i), i)));
    candidates
        .max_by_key(|(last, is_preferred, i)| (*last, *is_preferred, std::cmp::Reverse(*i)))
        .map(|(_, _, i)| i)
}
