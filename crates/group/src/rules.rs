//! The rules that safety rests on.

use base::Ms;
use schema::Pos;

use crate::MemberReport;

/// Members that make a majority of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Whether a write of `term` at `pos` is held by a majority at that same term.
///
/// A report counts only if its log reaches the write *and* its own term is still the write's: a
/// member that has granted a later term may be outvoted by the majority of that term.
pub fn confirmed<'a>(
    pos: Pos,
    term: u64,
    reports: impl Iterator<Item = &'a MemberReport>,
    count: usize,
) -> bool {
    let holds = |r: &&MemberReport| r.term == term && r.last >= pos;
    pos.term == term && reports.filter(holds).count() >= majority(count)
}

/// Whether `term` was the newest term of a majority at the instant `since`.
///
/// Reports asked for at or after `since` that still show the term prove it: terms never fall.
pub fn verified<'a>(
    term: u64,
    since: Ms,
    reports: impl Iterator<Item = &'a MemberReport>,
    count: usize,
) -> bool {
    reports
        .filter(|r| r.term == term && r.asked >= since)
        .count()
        >= majority(count)
}

/// Index of the member to promote among the granting ones: the highest last position wins, and
/// among equals one that may stay.
///
/// Returns `None` when fewer than a majority granted.
pub fn choose_candidate(
    grants: &[Option<MemberReport>],
    stays: impl Fn(usize) -> bool,
) -> Option<usize> {
    let granted = |r: &&MemberReport| r.granted;
    if grants.iter().flatten().filter(granted).count() < majority(grants.len()) {
        return None;
    }
    let last = |r: &Option<MemberReport>| Some(r.as_ref().filter(granted)?.last);
    let ranked = grants
        .iter()
        .enumerate()
        .filter_map(|(i, r)| Some((last(r)?, stays(i), i)));
    ranked
        .max_by_key(|(last, stays, i)| (*last, *stays, std::cmp::Reverse(*i)))
        .map(|(_, _, i)| i)
}
