//! SCRAM-SHA-256 towards callers, with the proofs computed by the `scram` library.

use scram::server::{AuthenticationProvider, AuthenticationStatus, PasswordInfo, ScramServer};

/// What is stored of a caller's password.
#[derive(Clone, Debug)]
pub struct Verifier {
    salt: Vec<u8>,
    hash: Vec<u8>,
    rounds: u16,
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let pair = |i: usize| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}

impl Verifier {
    /// Reads the stored form of a password.
    pub fn new(salt: &str, hash: &str, rounds: u64) -> Option<Verifier> {
        let rounds = u16::try_from(rounds).ok()?;
        Some(Verifier {
            salt: unhex(salt)?,
            hash: unhex(hash)?,
            rounds,
        })
    }

    /// A verifier that no password matches, so that unknown users take the same steps.
    pub fn never(seed: u64) -> Verifier {
        let salt = seed.to_be_bytes().repeat(2);
        Verifier {
            salt,
            hash: vec![0; 32],
            rounds: 4096,
        }
    }

    /// Salts a password; used by tools that write configuration.
    pub fn salted(password: &str, salt: &[u8], rounds: u16) -> (String, String) {
        let count =
            std::num::NonZeroU32::new(u32::from(rounds)).expect("iterations are above zero");
        let hash = scram::hash_password(
            password,
            count.get().try_into().expect("it came from u16"),
            salt,
        );
        let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect();
        (hex(salt), hex(&hash))
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

/// Steps of the exchange as a conversation: `say` sends a server message and returns the answer.
///
/// Returns the server's last message when the password is right.
pub(crate) async fn exchange<F>(verifier: &Verifier, first: &str, mut say: F) -> Option<String>
where
    F: AsyncFnMut(String) -> Option<String>,
{
    let server = ScramServer::new(verifier.clone());
    let (server, reply) = server.handle_client_first(first).ok()?.server_first();
    let last = say(reply).await?;
    let (status, reply) = server.handle_client_final(&last).ok()?.server_final();
    (status == AuthenticationStatus::Authenticated).then_some(reply)
}
