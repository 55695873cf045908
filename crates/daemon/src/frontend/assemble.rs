//! Collects a caller's messages into a batch, up to the point where it waits for the answer.

use std::collections::HashMap;

use pg::{Caller, Frame, read_parse};
use schema::{Batch, ByteBuf, MessageKind, Prepare, Reason, Step};

/// Index of a step that names no statement, or one that is not known.
const NO_STATEMENT: u16 = u16::MAX;
/// Messages in one batch.
const STEPS_MAX: usize = 10_000;
/// Prepared statements of one session.
const STATEMENTS_MAX: usize = 2_000;

/// How a batch ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BatchEnd {
    /// The caller waits for `ReadyForQuery`.
    Sync,
    /// The caller waits for answers and goes on with the batch.
    Flush,
}

/// A batch with what is needed to answer for it.
pub struct Request {
    /// What to run.
    pub batch: Batch,
    /// How it ends.
    pub end: BatchEnd,
    /// Texts of the statements that it executes; empty when it only prepares or describes.
    pub texts: Vec<Box<str>>,
}

/// Prepared statements and portals of a session, by the caller's names.
#[derive(Default)]
pub struct StatementNames {
    statements: HashMap<Box<str>, Prepare>,
    /// Statement of each portal of the running transaction.
    portals: HashMap<Box<str>, Box<str>>,
}

impl StatementNames {
    /// Forgets everything, as DISCARD ALL does.
    pub fn clear(&mut self) {
        self.statements.clear();
        self.portals.clear();
    }

    /// Forgets the portals, as the end of a transaction does.
    pub fn end_transaction(&mut self) {
        self.portals.clear();
    }
}

/// Collects one request; `None` when the caller closed at a boundary.
pub async fn next_request(
    caller: &mut Caller,
    names: &mut StatementNames,
    limit: u64,
) -> Result<Option<Request>, Reason> {
    let mut making = Making::default();
    loop {
        let Some(frame) = caller.frame().await? else {
            return if making.batch.steps.is_empty() {
                Ok(None)
            } else {
                Err(Reason::Protocol)
            };
        };
        if making.batch.body.len() + frame.raw.len() > usize::try_from(limit).unwrap_or(usize::MAX)
        {
            return Err(Reason::TooLarge);
        }
        match frame.tag {
            b'Q' if making.batch.steps.is_empty() => return making.simple(&frame).map(Some),
            b'X' => return Ok(None),
            b'S' => return Ok(Some(making.end(BatchEnd::Sync))),
            b'H' if making.batch.steps.is_empty() => {}
            b'H' => return Ok(Some(making.end(BatchEnd::Flush))),
            b'P' | b'B' | b'D' | b'E' | b'C' => making.step(&frame, names)?,
            // Copy messages outside a copy are ignored, as servers do after a failed copy.
            b'd' | b'c' | b'f' => {}
            _ => return Err(Reason::Protocol),
        }
    }
}

struct Making {
    batch: Batch,
    texts: Vec<Box<str>>,
    index: HashMap<Box<str>, u16>,
}

impl Default for Making {
    fn default() -> Making {
        let batch = Batch {
            simple: false,
            sql: "".into(),
            body: ByteBuf::new(),
            steps: Vec::new(),
            prepares: Vec::new(),
        };
        Making {
            batch,
            texts: Vec::new(),
            index: HashMap::new(),
        }
    }
}

/// Takes a zero-terminated string from the front.
fn cstr<'a>(body: &mut &'a [u8]) -> Result<&'a str, Reason> {
    let end = body.iter().position(|b| *b == 0).ok_or(Reason::Protocol)?;
    let text = std::str::from_utf8(&body[..end]).map_err(|_| Reason::Protocol)?;
    *body = &body[end + 1..];
    Ok(text)
}

impl Making {
    fn simple(mut self, frame: &Frame) -> Result<Request, Reason> {
        let text = cstr(&mut frame.body())?;
        self.batch.simple = true;
        self.batch.sql = text.into();
        Ok(Request {
            batch: self.batch,
            end: BatchEnd::Sync,
            texts: vec![text.into()],
        })
    }

    fn end(self, end: BatchEnd) -> Request {
        Request {
            batch: self.batch,
            end,
            texts: self.texts,
        }
    }

    fn push(&mut self, act: MessageKind, prepare: u16, raw: &[u8]) {
        let len = u32::try_from(raw.len()).expect("frames are limited far below 4 GiB");
        self.batch.body.extend_from_slice(raw);
        self.batch.steps.push(Step { act, prepare, len });
    }

    fn step(&mut self, frame: &Frame, names: &mut StatementNames) -> Result<(), Reason> {
        if self.batch.steps.len() >= STEPS_MAX {
            return Err(Reason::TooLarge);
        }
        let mut body = frame.body();
        match frame.tag {
            b'P' => self.parse(frame, names)?,
            b'B' => {
                let portal = cstr(&mut body)?;
                let statement = cstr(&mut body)?;
                names.portals.insert(portal.into(), statement.into());
                let index = self.statement(statement, names);
                let name = self.upstream_name(index);
                let raw = rebuild(
                    b'B',
                    &[portal.as_bytes(), &[0], name.as_bytes(), &[0], body],
                );
                self.push(MessageKind::Bind, index, &raw);
            }
            b'D' | b'C' => {
                let (kind, rest) = body.split_first().ok_or(Reason::Protocol)?;
                body = rest;
                let name = cstr(&mut body)?;
                self.named(frame, *kind, name, names)?;
            }
            _ => {
                let portal = cstr(&mut body)?;
                let statement = names
                    .portals
                    .get(portal)
                    .and_then(|s| names.statements.get(s));
                self.texts
                    .push(statement.map_or_else(|| "?".into(), |s| s.sql.clone()));
                self.push(MessageKind::Execute, NO_STATEMENT, &frame.raw);
            }
        }
        Ok(())
    }

    fn named(
        &mut self,
        frame: &Frame,
        kind: u8,
        name: &str,
        names: &mut StatementNames,
    ) -> Result<(), Reason> {
        match (frame.tag, kind) {
            (b'D', b'S') => {
                let index = self.statement(name, names);
                let upstream = self.upstream_name(index);
                let raw = rebuild(b'D', &[b"S", upstream.as_bytes(), &[0]]);
                self.push(MessageKind::DescribeStatement, index, &raw);
            }
            (b'D', b'P') => self.push(MessageKind::DescribePortal, NO_STATEMENT, &frame.raw),
            (b'C', b'S') => {
                names.statements.remove(name);
                self.push(MessageKind::CloseStatement, NO_STATEMENT, &[]);
            }
            (b'C', b'P') => self.push(MessageKind::ClosePortal, NO_STATEMENT, &frame.raw),
            _ => return Err(Reason::Protocol),
        }
        Ok(())
    }

    fn parse(&mut self, frame: &Frame, names: &mut StatementNames) -> Result<(), Reason> {
        let (name, prepare) = read_parse(frame).ok_or(Reason::Protocol)?;
        if names.statements.len() >= STATEMENTS_MAX {
            return Err(Reason::TooLarge);
        }
        names.statements.insert(name.clone(), prepare);
        let index = self.statement(&name, names);
        self.push(MessageKind::Parse, index, &[]);
        Ok(())
    }

    /// Index of a statement among those that the batch relies on.
    fn statement(&mut self, name: &str, names: &StatementNames) -> u16 {
        let Some(prepare) = names.statements.get(name) else {
            return NO_STATEMENT;
        };
        if let Some(index) = self.index.get(&prepare.name) {
            return *index;
        }
        let index = u16::try_from(self.batch.prepares.len()).expect("batches are limited");
        self.batch.prepares.push(prepare.clone());
        self.index.insert(prepare.name.clone(), index);
        index
    }

    /// Name on the upstream; of an unknown statement one that no upstream has.
    fn upstream_name(&self, index: u16) -> Box<str> {
        self.batch
            .prepares
            .get(usize::from(index))
            .map_or_else(|| "unknown".into(), |p| p.name.clone())
    }
}

fn rebuild(tag: u8, parts: &[&[u8]]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    pg::put_frame(&mut out, tag, &parts.concat());
    out.to_vec()
}
