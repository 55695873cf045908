//! SCRAM-SHA-256 authentication of callers; the proofs are computed by the `scram` library.

use scram::server::{AuthenticationProvider, AuthenticationStatus, PasswordInfo, ScramServer};

/// The stored form of a password: salt, salted hash and number of hash iterations.
#[derive(Clone, Debug)]
pub struct Verifier {
    salt: Vec<u8>,
    hash: Vec<u8>,
    rounds: u16,
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let byte_at = |i: usize| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte_at).collect()
}

impl Verifier {
    /// Parses the stored form; `None` when the hex digits or the number of iterations are invalid.
    pub fn new(salt: &str, hash: &str, rounds: u64) -> Option<Verifier> {
        let rounds = u16::try_from(rounds).ok()?;
        Some(Verifier {
            salt: decode_hex(salt)?,
            hash: decode_hex(hash)?,
            rounds,
        })
    }

    /// A verifier that no password matches, so that an unknown user gets the same exchange as a
    /// known one.
    ///
    /// The salt is derived from `seed`, so that an unknown user gets the same one on every attempt,
    /// as a known one does.
    pub fn reject_all(seed: u64) -> Verifier {
        let salt = seed.to_be_bytes().repeat(2);
        Verifier {
            salt,
            hash: vec![0; 32],
            rounds: 4096,
        }
    }

    /// Returns salt and salted hash of a password in hex, for tools that write configuration.
    pub fn hash_password(password: &str, salt: &[u8], rounds: u16) -> (String, String) {
        let iterations = std::num::NonZeroU32::new(u32::from(rounds))
            .expect("the number of iterations is above zero");
        let hash = scram::hash_password(
            password,
            iterations
                .get()
                .try_into()
                .expect("the value came from a u16"),
            salt,
        );
        let encode_hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect();
        (encode_hex(salt), encode_hex(&hash))
    }
}

impl AuthenticationProvider for Verifier {
    fn get_password_for(&self, _name: &str) -> Option<PasswordInfo> {
        Some(PasswordInfo::new(
            self.hash.clone(),
            self.rounds,
            self.salt.clone(),
        ))
    }

    fn authorize(&self, _authcid: &str, _authzid: &str) -> bool {
        true
    }
}

/// Runs the SCRAM exchange that begins with the client's message `first`; `round_trip` sends a
/// server message and returns the client's answer.
///
/// Returns the server's final message when the password is right.
pub(crate) async fn exchange<F>(
    verifier: &Verifier,
    first: &str,
    mut round_trip: F,
) -> Option<String>
where
    F: AsyncFnMut(String) -> Option<String>,
{
    let server = ScramServer::new(verifier.clone());
    let (server, reply) = server.handle_client_first(first).ok()?.server_first();
    let last = round_trip(reply).await?;
    let (status, reply) = server.handle_client_final(&last).ok()?.server_final();
    (status == AuthenticationStatus::Authenticated).then_some(reply)
}
