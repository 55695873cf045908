//! Heads of the requests between daemons, as text.

use std::fmt::Write;

use super::{SESSION_PREFIX, STOP_PREFIX};
use crate::{Credential, SessionRequest};

const DATABASE_HEADER: &str = "database";
const CREDENTIAL_HEADER: &str = "credential";
const ACCOUNT_HEADER: &str = "account";
const STAND_IN_HEADER: &str = "stand-in";
const ANSWER_HEADER: &str = "answer-within-ms";

/// Encodes the head of a request without headers of its own.
pub fn encode_request(target: &str) -> String {
    format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n")
}

/// Encodes the head of the announcement that a VM stops; it can pass on answers for `answer_within_ms`
/// more, if it tells that.
pub fn encode_stop(vm: &str, answer_within_ms: Option<u64>) -> String {
    let target = format!("{STOP_PREFIX}{vm}");
    let Some(ms) = answer_within_ms else {
        return encode_request(&target);
    };
    format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n{ANSWER_HEADER}: {ms}\r\n\r\n")
}

/// For how long a stopping VM can pass on answers, in ms; `None` if it does not tell, as earlier releases.
pub fn decode_stop(head: &str) -> Option<u64> {
    header(head, ANSWER_HEADER)?.parse().ok()
}

/// Encodes the head of a hand-off by a daemon with this version of the configuration.
pub fn encode_hand_off(version: u64, request: &SessionRequest) -> String {
    let origin = escape(request.origin.as_deref().unwrap_or_default());
    let target = format!("{SESSION_PREFIX}{version}.{origin}");
    let mut head = format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n");
    let mut add = |name, value: &str| {
        write!(head, "{name}: {value}\r\n").expect("writing to a string succeeds");
    };
    add(DATABASE_HEADER, &escape(&request.database));
    if let Some(credential) = request.credential {
        add(CREDENTIAL_HEADER, &credential.to_hex());
    }
    if let Some(account) = &request.account {
        add(ACCOUNT_HEADER, &escape(account));
    }
    if request.is_stand_in {
        add(STAND_IN_HEADER, "1");
    }
    head.push_str("\r\n");
    head
}

/// Decodes the head of a hand-off into the sender's version and the request; `None` when a part is
/// missing or malformed.
pub fn decode_hand_off(head: &str) -> Option<(u64, SessionRequest)> {
    let target = target(head)?.strip_prefix(SESSION_PREFIX)?;
    let (version, origin) = target.split_once('.')?;
    let credential = match header(head, CREDENTIAL_HEADER) {
        Some(hex) => Some(Credential::from_hex(hex)?),
        None => None,
    };
    let account = match header(head, ACCOUNT_HEADER) {
        Some(name) => Some(unescape(name)?),
        None => None,
    };
    let request = SessionRequest {
        database: unescape(header(head, DATABASE_HEADER)?)?,
        credential,
        account,
        origin: Some(unescape(origin)?),
        is_stand_in: header(head, STAND_IN_HEADER).is_some(),
    };
    Some((version.parse().ok()?, request))
}

/// The target of a request.
pub fn target(head: &str) -> Option<&str> {
    head.split(' ').nth(1)
}

/// The value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.split("\r\n").skip(1).filter_map(|l| l.split_once(':'));
    let mut values = fields.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

/// Encodes text for a header: all but visible ASCII is written as `%` and two hexadecimal digits,
/// because names from the configuration may hold line ends.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_graphic() && byte != b'%' {
            escaped.push(char::from(byte));
        } else {
            write!(escaped, "%{byte:02x}").expect("writing to a string succeeds");
        }
    }
    escaped
}

/// Decodes what `escape` returns.
fn unescape(text: &str) -> Option<Box<str>> {
    let mut parts = text.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2)?;
        // `from_str_radix` also accepts a sign.
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        bytes.extend_from_slice(rest.as_bytes());
    }
    Some(String::from_utf8(bytes).ok()?.into())
}
