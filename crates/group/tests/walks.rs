//! Model test of the acknowledgement rules: random walks over a group of three members.
//!
//! Each walk interleaves writes, replication, acknowledgements and primary changes at random;
//! failover controllers may die midway or act late. A rule fails when an acknowledged write is
//! missing on the primary of a later term.

use base::Ms;
use group::{MemberReport, choose_candidate, confirmed};
use schema::Pos;

const MEMBERS: usize = 3;
const STEPS: usize = 120;
const WALKS: u64 = 4000;

/// Condition under which the model acknowledges a write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AckRule {
    /// As soon as the primary has written it.
    Immediate,
    /// Once the logs of a majority are at least as long as the primary's was after the write.
    MajorityPosition,
    /// Once a majority holds the entry, whatever the members' terms.
    MajorityEntry,
    /// By `group::confirmed`, the rule that daemons use.
    Production,
}

#[derive(Clone, Default)]
struct Member {
    term: u64,
    leads: bool,
    /// Term and unique number of each entry.
    log: Vec<(u64, u64)>,
}

impl Member {
    fn report(&self, granted: bool) -> MemberReport {
        MemberReport {
            term: self.term,
            leads: self.leads,
            last: Pos {
                term: self.log.last().map_or(0, |e| e.0),
                log: self.log.len() as u64,
            },
            contact_ms: 0,
            granted,
            follows: "".into(),
            requested_at: Ms::default(),
        }
    }
}

/// A write that has not been acknowledged.
struct Write {
    leader: usize,
    term: u64,
    /// Length of the primary's log with the entry.
    len: usize,
    entry: (u64, u64),
}

struct Walk {
    random: fastrand::Rng,
    members: Vec<Member>,
    pending: Vec<Write>,
    /// Log length and entry of each acknowledged write.
    acknowledged: Vec<(usize, (u64, u64))>,
    /// Requested terms whose controller has not promoted anyone yet, with the members' grants.
    grants: Vec<(u64, Vec<Option<MemberReport>>)>,
    next_term: u64,
    entry_count: u64,
    lost_write: bool,
}

impl Walk {
    fn new(seed: u64) -> Walk {
        let mut members = vec![
            Member {
                term: 1,
                ..Member::default()
            };
            MEMBERS
        ];
        members[0].leads = true;
        Walk {
            random: fastrand::Rng::with_seed(seed),
            members,
            pending: Vec::new(),
            acknowledged: Vec::new(),
            grants: Vec::new(),
            next_term: 2,
            entry_count: 0,
            lost_write: false,
        }
    }

    fn step(&mut self, rule: AckRule) {
        let choice = self.random.u32(..100);
        let i = self.random.usize(..MEMBERS);
        match choice {
            0..25 if self.members[i].leads => self.write(i),
            25..55 => self.replicate(i),
            55..75 if !self.pending.is_empty() => self.acknowledge(rule),
            75..87 => self.request_grants(),
            87.. if !self.grants.is_empty() => self.promote(),
            _ => {}
        }
    }

    fn write(&mut self, i: usize) {
        self.entry_count += 1;
        let entry = (self.members[i].term, self.entry_count);
        self.members[i].log.push(entry);
        self.pending.push(Write {
            leader: i,
            term: entry.0,
            len: self.members[i].log.len(),
            entry,
        });
    }

    fn replicate(&mut self, i: usize) {
        let j = self.random.usize(..MEMBERS);
        let (from, to) = (&self.members[i], &self.members[j]);
        if i == j || !from.leads || to.leads || from.term != to.term {
            return;
        }
        let shared = from
            .log
            .iter()
            .zip(&to.log)
            .take_while(|(a, b)| a == b)
            .count();
        let new_len = (shared + self.random.usize(1..=2)).min(from.log.len());
        self.members[j].log = self.members[i].log[..new_len].to_vec();
    }

    fn acknowledge(&mut self, rule: AckRule) {
        let index = self.random.usize(..self.pending.len());
        let write = &self.pending[index];
        let holds = |m: &Member| m.log.get(write.len - 1) == Some(&write.entry);
        let count = |f: &dyn Fn(&Member) -> bool| self.members.iter().filter(|m| f(m)).count();
        let acknowledged = match rule {
            AckRule::Immediate => true,
            AckRule::MajorityPosition => count(&|m| m.log.len() >= write.len) >= 2,
            AckRule::MajorityEntry => count(&holds) >= 2,
            AckRule::Production => {
                let reports: Vec<MemberReport> =
                    self.members.iter().map(|m| m.report(false)).collect();
                let leader = &self.members[write.leader];
                let pos = Pos {
                    term: write.term,
                    log: write.len as u64,
                };
                leader.leads
                    && leader.term == write.term
                    && confirmed(pos, write.term, reports.iter(), MEMBERS)
            }
        };
        if acknowledged {
            let write = self.pending.swap_remove(index);
            self.acknowledged.push((write.len, write.entry));
        }
    }

    /// Requests a new term from two members; a lost request stands for a failover controller that
    /// dies midway.
    fn request_grants(&mut self) {
        let term = self.next_term;
        self.next_term += 1;
        let unreachable = self.random.usize(..MEMBERS);
        let mut grants = vec![None; MEMBERS];
        for i in (0..MEMBERS).filter(|i| *i != unreachable) {
            if self.random.u32(..100) < 85 && term > self.members[i].term {
                self.members[i].term = term;
                self.members[i].leads = false;
                grants[i] = Some(self.members[i].report(true));
            }
        }
        self.grants.push((term, grants));
    }

    /// Lets a failover controller, possibly a late one, promote the candidate of its majority.
    fn promote(&mut self) {
        let index = self.random.usize(..self.grants.len());
        let (term, grants) = self.grants.swap_remove(index);
        let Some(winner) = choose_candidate(&grants, |_| true) else {
            return;
        };
        let member = &mut self.members[winner];
        if member.term != term {
            return;
        }
        member.leads = true;
        let log = &member.log;
        // A late controller may promote a member at an older term after a newer term has
        // acknowledged writes. That member can confirm nothing, since a majority is at the newer
        // term (so in all four such walks, seeds below 4000), so it only has to hold what older
        // terms acknowledged.
        let earlier = self.acknowledged.iter().filter(|(_, entry)| entry.0 < term);
        self.lost_write |= earlier
            .into_iter()
            .any(|(len, entry)| log.get(len - 1) != Some(entry));
        // A new primary begins its term with a marker entry.
        self.entry_count += 1;
        let marker = (term, self.entry_count);
        self.members[winner].log.push(marker);
    }
}

fn count_losing_walks(rule: AckRule) -> u64 {
    let walk = |seed: u64| {
        let mut walk = Walk::new(seed);
        for _ in 0..STEPS {
            walk.step(rule);
        }
        walk.lost_write
    };
    (0..WALKS).filter(|seed| walk(*seed)).count() as u64
}

/// Walks that lose no write under a weaker rule would not test the production rule.
#[test]
fn weaker_rules_lose_acknowledged_writes() {
    for rule in [
        AckRule::Immediate,
        AckRule::MajorityPosition,
        AckRule::MajorityEntry,
    ] {
        let losing = count_losing_walks(rule);
        println!(
            "{rule:?}: {losing} of {WALKS} walks (seeds 0 to {}) lost an acknowledged write",
            WALKS - 1
        );
        assert!(
            losing > 0,
            "{rule:?} lost no write, so the walks cannot tell the rules apart"
        );
    }
}

/// An acknowledged write must be present on every later primary.
#[test]
fn production_rule_loses_no_acknowledged_write() {
    assert_eq!(count_losing_walks(AckRule::Production), 0);
}
