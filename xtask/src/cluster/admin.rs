//! Control requests to the platform and to the links, and health probes of daemons.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use super::{Cluster, PLATFORM_CENTER};

const HTTP_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one HTTP request; returns the status and the body.
fn http(addr: &str, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
    let with_addr = |e: std::io::Error| format!("{addr}: {e}");
    let target = addr.parse().map_err(|e| format!("{addr}: {e}"))?;
    let mut stream = TcpStream::connect_timeout(&target, HTTP_TIMEOUT).map_err(with_addr)?;
    stream
        .set_read_timeout(Some(HTTP_TIMEOUT))
        .map_err(with_addr)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .map_err(with_addr)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(with_addr)?;
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .ok_or("incomplete HTTP answer")?;
    let code = head
        .split(' ')
        .nth(1)
        .and_then(|c| c.parse().ok())
        .ok_or("HTTP answer without a status code")?;
    Ok((code, body.to_owned()))
}

impl Cluster {
    /// Sends an administrative request to the platform and returns its counters of calls.
    ///
    /// Retries for 2 s or longer, because the platform may just be starting.
    pub fn admin(&self, request: &Value) -> Result<Value, String> {
        let mut last_error = String::new();
        for _ in 0..100 {
            match http(
                &self.platform_addr(),
                "POST",
                "/admin",
                &request.to_string(),
            ) {
                Ok((_, body)) => return serde_json::from_str(&body).map_err(|e| e.to_string()),
                Err(e) => last_error = e,
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(last_error)
    }

    /// Whether a daemon reports that it accepts callers.
    pub fn is_ready(&self, daemon: &str) -> bool {
        http(&self.internal_addr(daemon), "GET", "/ready", "").is_ok_and(|(code, _)| code == 200)
    }

    /// Cuts or restores each direction of the connections that data centre `from` opens to
    /// `center`.
    pub fn set_link(
        &self,
        from: u8,
        center: u8,
        cut_requests: bool,
        cut_answers: bool,
    ) -> Result<(), String> {
        let word = |cut: bool| if cut { "cut" } else { "pass" };
        let request = format!(
            "{} {} {}\n",
            self.link_prefix(from, center),
            word(cut_requests),
            word(cut_answers)
        );
        let mut stream = TcpStream::connect(self.link_control_addr()).map_err(|e| e.to_string())?;
        stream
            .write_all(request.as_bytes())
            .map_err(|e| e.to_string())?;
        let mut answer = [0; 3];
        stream.read_exact(&mut answer).map_err(|e| e.to_string())
    }

    /// Cuts a data centre off from the others and from the platform, or reconnects it.
    pub fn isolate(&self, center: u8, cut: bool) -> Result<(), String> {
        for other in super::DATA_CENTERS.into_iter().filter(|c| *c != center) {
            self.set_link(center, other, cut, cut)?;
            self.set_link(other, center, cut, cut)?;
        }
        self.set_link(center, PLATFORM_CENTER, cut, cut)
    }

    /// Cuts a data centre off from the platform only, or reconnects it.
    pub fn cut_off_platform(&self, center: u8, cut: bool) -> Result<(), String> {
        self.set_link(center, PLATFORM_CENTER, cut, cut)
    }
}
