//! Fencing tokens, which are made from the revision of the store at which a claim was taken.

/// Number that grows with every claim to change the primary of a group. The bits above the revision hold
/// the era of the store in which the claim was taken.
pub type FencingToken = u64;

/// Number of bits that hold the revision.
const REVISION_BITS: u32 = 36;

/// The token of a claim that was taken at a revision of an era of the store. It is above those of all
/// earlier eras.
pub fn fencing_token(era: u64, revision: u64) -> FencingToken {
    (era << REVISION_BITS) | revision
}

/// Era of the store in which the claim of a token was taken.
pub fn token_era(token: FencingToken) -> u64 {
    token >> REVISION_BITS
}
