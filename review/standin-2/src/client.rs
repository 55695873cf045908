//! A client of the wire protocol.

use std::time::Duration;

use link::BufferedStream;
use monoio::net::TcpStream;

pub struct Client {
    pub link: BufferedStream,
}

/// The lines of an answer up to `READY`; `None` if the connection ended or the time ran out first.
pub type Answer = Option<Vec<String>>;

impl Client {
    /// Connects, and returns the first line of the answer with the client.
    pub async fn connect(addr: &str, words: &str) -> Option<(Client, String)> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let mut client = Client {
            link: BufferedStream::new(stream).ok()?,
        };
        client.send(&format!("CONNECT {words}\r\n")).await?;
        let line = client.line(2000).await?;
        Some((client, line))
    }

    pub async fn send(&mut self, text: &str) -> Option<()> {
        self.link.send(text.as_bytes()).await.ok()
    }

    /// The next line; `None` at the end of the connection or after `ms`.
    pub async fn line(&mut self, ms: u64) -> Option<String> {
        let read = async {
            loop {
                if let Some(end) = self.link.input.iter().position(|&b| b == b'\n') {
                    let line = self.link.input.split_to(end + 1);
                    return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
                }
                match self.link.read_more().await {
                    Ok(n) if n > 0 => {}
                    _ => return None,
                }
            }
        };
        monoio::time::timeout(Duration::from_millis(ms), read)
            .await
            .ok()
            .flatten()
    }

    /// Sends a statement and reads its whole answer.
    pub async fn query(&mut self, id: &str, text: &str, ms: u64) -> Answer {
        self.send(&format!("QUERY {id} {text}\r\n")).await?;
        let mut lines = Vec::new();
        loop {
            let line = self.line(ms).await?;
            let is_end = line.starts_with("READY");
            lines.push(line);
            if is_end {
                return Some(lines);
            }
        }
    }
}

/// Waits until a daemon says that it is ready.
pub async fn wait_ready(addr: &str) -> bool {
    for _ in 0..200 {
        if let Ok(stream) = TcpStream::connect(addr).await
            && let Ok(mut link) = BufferedStream::new(stream)
        {
            let _ = link
                .send(b"GET /hollyreach/ready HTTP/1.1\r\nhost: x\r\n\r\n")
                .await;
            let _ = monoio::time::timeout(Duration::from_millis(500), link.read_more()).await;
            if link.input.starts_with(b"HTTP/1.1 200") {
                return true;
            }
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}
