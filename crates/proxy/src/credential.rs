//! What a caller proves its client account with.

use std::fmt::{self, Debug, Formatter};

use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;
/// Number of hexadecimal digits in `Credential::label`.
const LABEL_DIGITS: usize = 8;

/// Digest of a key. The key itself is dropped where it is decoded, so that it cannot reach a member,
/// a log or another daemon.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Credential([u8; DIGEST_BYTES]);

impl Credential {
    pub fn of_key(key: &str) -> Credential {
        Credential(Sha256::digest(key.as_bytes()).into())
    }

    /// The digest in hexadecimal, for the configuration and for other daemons; never for a log.
    pub fn to_hex(self) -> Box<str> {
        to_hex(&self.0).into()
    }

    /// Parses what `to_hex` returns.
    pub fn from_hex(text: &str) -> Option<Credential> {
        let is_hex = text.bytes().all(|b| b.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hex {
            return None;
        }
        let mut digest = [0; DIGEST_BYTES];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Credential(digest))
    }

    /// Label of a credential, `-` without one.
    pub fn label_of(credential: Option<Credential>) -> Box<str> {
        credential.map_or("-".into(), |c| c.label())
    }

    /// Short name for logs. It is a hash of the digest, so that the digest cannot be told from it.
    pub fn label(&self) -> Box<str> {
        let hash: [u8; DIGEST_BYTES] = Sha256::digest(self.0).into();
        to_hex(&hash)[..LABEL_DIGITS].into()
    }
}

impl Debug for Credential {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Credential")
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
