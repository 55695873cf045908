//! A daemon's right to use the primary of a group.
//!
//! A change of primary first fences every replica, and takes effect `CHANGE_MS` later at the
//! earliest. A replica is fenced all that time; then the promoted one says so, while another may
//! say for a moment, or for long if it receives nothing, that it is neither fenced nor of a newer
//! term. So once every replica has been heard to be free, and each of them is asked again and is
//! still free, no change had begun at the first round; a restarted replica, which has forgotten its
//! fence, cannot deceive, since the promoted one or the other one shows the change. From then on one replica suffices, as long as its words follow each other so
//! closely that no change fits between them, on a connection that is older than the former word: a
//! restart forgets the fence. Once it was fenced, that change may have taken effect, so it proves
//! something only for the primary of that change's term.

use std::collections::BTreeMap;

use base::Ms;

use crate::Role;
use crate::member::MemberKey;

/// Shortest time from the fence of a change of primary to its effect, in ms.
const CHANGE_MS: u64 = 900;
/// Time that a word entitles to use the primary, counted from the question, in ms.
pub const LEASE_MS: u64 = CHANGE_MS - 100;
/// Longest distance between two words of a replica that prove something together, in ms.
const LINK_MS: u64 = CHANGE_MS - 100;

/// Age at which a replica's word is renewed, in ms; well below the longest link.
const RENEW_MS: u64 = 550;
/// The same while not all replicas' words are linked: the lease then hangs on the others.
const RENEW_WEAK_MS: u64 = 200;

/// Age at which a replica's word is renewed, in ms.
///
/// Answers the loss of one replica: one late answer of the other must not end the lease, since a
/// new one takes the words of both.
pub fn renewal_interval_ms(firm: bool) -> u64 {
    if firm { RENEW_MS } else { RENEW_WEAK_MS }
}

/// What a member said of itself, and when it was asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeResult {
    /// When the question was sent.
    pub sent_at: Ms,
    /// When the answer was read.
    pub received_at: Ms,
    /// Its part.
    pub role: Role,
    /// Newest term that it knows.
    pub term: u64,
    /// Term of the change of primary that it is fenced for; 0 when it is not fenced.
    pub fenced: u64,
    /// An instant since which it has been up without a restart.
    pub up_since: Ms,
}

impl ProbeResult {
    fn is_free(&self) -> bool {
        self.role == Role::Replica && self.fenced == 0
    }

    /// Whether no whole change of primary fits between a former word and this one.
    fn follows(&self, before: &ProbeResult) -> bool {
        let near = self.sent_at.0.saturating_sub(before.sent_at.0) <= LINK_MS;
        near && self.up_since <= before.sent_at && self.role == Role::Replica
    }
}

/// What the words of one replica prove.
#[derive(Clone, Copy, Debug)]
struct Proof {
    /// Its newest word.
    word: ProbeResult,
    /// When the first of its words was heard that say the same and follow each other.
    same_since: Ms,
    /// Highest term of a change that may have taken effect when it was asked, if that is known.
    bound: Option<u64>,
}

/// The lease on the primary of the newest known term.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Term of the primary; it never falls.
    term: u64,
    /// Instant until which the primary may be used.
    until: Ms,
    /// Proofs by member.
    proofs: BTreeMap<MemberKey, Proof>,
}

impl Lease {
    /// The instant until which the primary of a term may be used.
    pub fn until(&self, term: u64) -> Ms {
        if self.term == term { self.until } else { Ms(0) }
    }

    /// Whether the words of all these replicas are linked, so that any one of them could fail.
    pub fn is_redundant(&self, replicas: &[MemberKey], now: Ms) -> bool {
        replicas.iter().all(|key| {
            let proof = self.proofs.get(key);
            proof.is_some_and(|p| p.bound.is_some() && p.word.sent_at.plus(LINK_MS) > now)
        })
    }

    /// Takes a member's word. `replicas` are all members that a change would fence.
    pub fn record(&mut self, key: MemberKey, word: ProbeResult, replicas: &[MemberKey]) {
        if word.term > self.term {
            self.term = word.term;
            self.until = Ms(0);
        }
        let before = self.proofs.get(&key);
        let linked = before.filter(|proof| word.follows(&proof.word));
        let bound = linked.and_then(|proof| proof.bound);
        let bound = bound.map(|term| term.max(word.term).max(word.fenced));
        let same = linked.filter(|p| p.word.term == word.term && p.word.fenced == word.fenced);
        let proof = Proof {
            word,
            same_since: same.map_or(word.received_at, |proof| proof.same_since),
            bound,
        };
        self.proofs.insert(key, proof);
        if bound.is_none() {
            self.anchor(replicas);
        }
        self.extend(key);
    }

    /// Lengthens the lease by what a replica's newest word proves.
    fn extend(&mut self, key: MemberKey) {
        let Some(proof) = self.proofs.get(&key) else {
            return;
        };
        if proof.word.is_free() && proof.bound.is_some_and(|term| term <= self.term) {
            self.until = self.until.max(proof.word.sent_at.plus(LEASE_MS));
        }
    }

    /// Proves the words of all replicas together: each is free since before the newest question to
    /// each of the others.
    fn anchor(&mut self, replicas: &[MemberKey]) {
        let proofs: Vec<Proof> = replicas
            .iter()
            .filter_map(|key| self.proofs.get(key).copied())
            .filter(|proof| proof.word.is_free() && proof.word.term == self.term)
            .collect();
        if replicas.is_empty() || proofs.len() < replicas.len() {
            return;
        }
        let all_free = proofs
            .iter()
            .map(|p| p.same_since)
            .max()
            .unwrap_or_default();
        if proofs.iter().any(|p| p.word.sent_at < all_free) {
            return;
        }
        for key in replicas {
            if let Some(proof) = self.proofs.get_mut(key) {
                proof.bound = Some(self.term);
            }
            self.extend(*key);
        }
    }
}
