//! The lease that allows a daemon to use the primary of a group.
//!
//! The lease is derived from probe results of the replicas, and relies on how the primary changes:
//! a primary change first fences every replica, keeps all of them fenced for `FENCE_DURATION_MS`,
//! and only then orders the promotion, which may take effect at once. No lease that was proved
//! before the fence is left by then. After the promotion, the promoted replica reports that it is
//! the primary, while another replica may still report that it is neither fenced nor at a newer
//! term: for a moment, or for long if it receives nothing.
//!
//! Two rounds of probes therefore establish the lease: if every replica has reported that it is
//! unfenced, and each of them is probed again after that and is still unfenced, then no primary
//! change had begun at the first round. A restarted replica, which has lost its fence, cannot
//! falsify this, since either the promoted replica or the other one shows the change.
//!
//! From then on, one replica is enough to renew the lease, as long as its probe results are linked:
//! they follow each other so closely that no primary change fits between them, and each was
//! received over a connection that is older than the result before it. The age of the connection
//! rules out a restart, which would have cleared the fence.
//!
//! No step relies on how long a promotion or a restart takes.
//!
//! Once a replica has been fenced for a primary change, that change may have taken effect, so the
//! replica proves a lease only on the primary of that change's term.

use std::collections::BTreeMap;

use base::Ms;

use crate::Role;
use crate::member_key::MemberKey;

/// Time for which a primary change keeps all replicas fenced before it orders the promotion, in ms.
pub const FENCE_DURATION_MS: u64 = 900;
/// Difference of the clock rates of two VMs that a lease allows for, in ms per `FENCE_DURATION_MS`.
const CLOCK_DRIFT_MS: u64 = 20;
/// Duration of the lease, counted from the sending of the probe that proves it, in ms.
const LEASE_DURATION_MS: u64 = 800;
/// Longest time from the sending of a probe to the answer to the next one that is linked to it, in
/// ms. The member may have handled either at any instant in between.
const MAX_LINK_GAP_MS: u64 = FENCE_DURATION_MS - CLOCK_DRIFT_MS;
const _: () = assert!(LEASE_DURATION_MS + CLOCK_DRIFT_MS <= FENCE_DURATION_MS);

/// Number of connections to one replica whose results are followed.
const MAX_PROOFS: usize = 2;

/// Age at which a replica's probe result is renewed, in ms; well below `MAX_LINK_GAP_MS`.
const RENEWAL_INTERVAL_MS: u64 = 550;
/// Renewal interval while not all replicas have linked probe results, in ms: the lease then depends
/// on the remaining ones.
const DEGRADED_RENEWAL_INTERVAL_MS: u64 = 200;

/// Age at which a replica's probe result is renewed, in ms.
///
/// It is shorter while the lease is not redundant: after the loss of one replica, a single late
/// answer of another must not end the lease, since a new lease needs probe results of all.
pub fn renewal_interval_ms(redundant: bool) -> u64 {
    if redundant {
        RENEWAL_INTERVAL_MS
    } else {
        DEGRADED_RENEWAL_INTERVAL_MS
    }
}

/// State that a member reported in a status response, and the times of the probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeResult {
    /// When the probe was sent.
    pub sent_at: Ms,
    /// When the answer was read.
    pub received_at: Ms,
    /// Role of the member.
    pub role: Role,
    /// Newest term known to the member.
    pub term: u64,
    /// Term of the primary change that the member is fenced for; 0 if it is not fenced.
    pub fenced: u64,
    /// Instant since which the member is known not to have restarted.
    pub up_since: Ms,
}

impl ProbeResult {
    fn is_unfenced_replica(&self) -> bool {
        self.role == Role::Replica && self.fenced == 0
    }

    /// Whether no complete primary change fits between a previous result and this one.
    fn is_linked_to(&self, previous: &ProbeResult) -> bool {
        let within_gap = self.received_at.0.saturating_sub(previous.sent_at.0) <= MAX_LINK_GAP_MS;
        within_gap && self.up_since <= previous.sent_at && self.role == Role::Replica
    }
}

/// What the probe results of one replica prove.
#[derive(Clone, Copy, Debug)]
struct Proof {
    latest: ProbeResult,
    /// When the first of the latest linked results with the same term and fence was received.
    unchanged_since: Ms,
    /// Highest term of a primary change that may have taken effect when the latest probe was sent;
    /// `None` if not known.
    max_term: Option<u64>,
}

/// The lease on the primary of the newest known term.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Term of the primary; never decreases.
    term: u64,
    /// Instant until which the primary may be used.
    until: Ms,
    /// What the probe results of each replica prove, the latest first. A daemon may probe a member
    /// over two connections, as while it changes the primary: the results over the newer one are not
    /// linked to those over the older one, and do not end what these prove.
    proofs: BTreeMap<MemberKey, Vec<Proof>>,
}

impl Lease {
    /// The instant until which the primary of a term may be used.
    pub fn until(&self, term: u64) -> Ms {
        if self.term == term { self.until } else { Ms(0) }
    }

    /// Whether the probe results of all these replicas are linked, so that the lease survives the
    /// loss of any one of them.
    pub fn is_redundant(&self, replicas: &[MemberKey], now: Ms) -> bool {
        replicas.iter().all(|key| {
            let mut proofs = self.proofs.get(key).into_iter().flatten();
            proofs.any(|p| p.max_term.is_some() && p.latest.sent_at.plus(MAX_LINK_GAP_MS) > now)
        })
    }

    /// Records a member's probe result. `replicas` are all members that a primary change would
    /// fence.
    pub fn record(&mut self, key: MemberKey, result: ProbeResult, replicas: &[MemberKey]) {
        if result.term > self.term {
            self.term = result.term;
            self.until = Ms(0);
        }
        let proofs = self.proofs.entry(key).or_default();
        let linked = (0..proofs.len()).filter(|i| result.is_linked_to(&proofs[*i].latest));
        // Of several, one that knows which changes may have taken effect.
        let linked = linked.min_by_key(|i| proofs[*i].max_term.is_none());
        let linked = linked.map(|at| proofs.remove(at));
        let linked = linked.as_ref();
        let max_term = linked.and_then(|proof| proof.max_term);
        let max_term = max_term.map(|term| term.max(result.term).max(result.fenced));
        let unchanged =
            linked.filter(|p| p.latest.term == result.term && p.latest.fenced == result.fenced);
        let proof = Proof {
            latest: result,
            unchanged_since: unchanged.map_or(result.received_at, |proof| proof.unchanged_since),
            max_term,
        };
        proofs.insert(0, proof);
        proofs.truncate(MAX_PROOFS);
        if max_term.is_none() {
            self.establish(replicas);
        }
        self.extend(key);
    }

    /// The proof to which a replica's latest probe result belongs.
    fn latest(&self, key: MemberKey) -> Option<Proof> {
        self.proofs.get(&key)?.first().copied()
    }

    /// Extends the lease by what a replica's latest probe result proves.
    fn extend(&mut self, key: MemberKey) {
        let Some(proof) = self.latest(key) else {
            return;
        };
        if proof.latest.is_unfenced_replica()
            && proof.max_term.is_some_and(|term| term <= self.term)
        {
            self.until = self.until.max(proof.latest.sent_at.plus(LEASE_DURATION_MS));
        }
    }

    /// Establishes the proofs of all replicas, if each has been unfenced since before the latest
    /// probe of each of the others was sent.
    fn establish(&mut self, replicas: &[MemberKey]) {
        let proofs: Vec<Proof> = replicas
            .iter()
            .filter_map(|key| self.latest(*key))
            .filter(|proof| proof.latest.is_unfenced_replica() && proof.latest.term == self.term)
            .collect();
        if replicas.is_empty() || proofs.len() < replicas.len() {
            return;
        }
        let all_unfenced_since = proofs
            .iter()
            .map(|p| p.unchanged_since)
            .max()
            .unwrap_or_default();
        if proofs.iter().any(|p| p.latest.sent_at < all_unfenced_since) {
            return;
        }
        for key in replicas {
            let proofs = self.proofs.get_mut(key);
            if let Some(proof) = proofs.and_then(|proofs| proofs.first_mut()) {
                proof.max_term = Some(self.term);
            }
            self.extend(*key);
        }
    }
}
