//! Sends a batch of messages and collects exactly its own answers.

use std::collections::HashSet;

use bytes::BytesMut;
use postgres_protocol::message::frontend;
use schema::{Batch, MessageKind, Step};

use crate::frame::{Frame, put_frame};

/// What one step of a batch still waits for.
#[derive(Clone, Copy, Debug)]
struct Expected {
    act: MessageKind,
    /// Answered here, because the upstream has the statement already or never sees the message.
    local: bool,
    prepare: u16,
}

/// Collects the answers of one batch in order.
pub struct Collector {
    wants: std::collections::VecDeque<Expected>,
    simple: bool,
    failed: bool,
    /// The caller's share of the answers.
    pub out: BytesMut,
    /// Indices of statements that the upstream has prepared.
    pub prepared: Vec<u16>,
    /// Tag of the last command that completed.
    pub tag: Box<str>,
    limit: usize,
}

/// Appends the messages of a batch for an upstream that has some statements prepared already.
pub fn encode(
    batch: &Batch,
    known: &HashSet<Box<str>>,
    limit: usize,
    out: &mut BytesMut,
) -> Collector {
    let mut collector = Collector {
        wants: std::collections::VecDeque::new(),
        simple: batch.simple,
        failed: false,
        out: BytesMut::new(),
        prepared: Vec::new(),
        tag: "".into(),
        limit,
    };
    if batch.simple {
        frontend::query(&batch.sql, out).expect("the text has no zero byte");
        return collector;
    }
    let mut sent: HashSet<u16> = HashSet::new();
    let mut at = 0;
    for step in &batch.steps {
        let end = at + step.len as usize;
        let raw = batch.body.get(at..end).unwrap_or_default();
        at = end;
        let sent_now = needs_statement(*step) && ensure(batch, step.prepare, known, &mut sent, out);
        if sent_now && step.act != MessageKind::Parse {
            // The caller prepared it in an earlier batch, so this answer is not passed on.
            let prepare = step.prepare | HIDDEN;
            collector.wants.push_back(Expected {
                act: MessageKind::Parse,
                local: false,
                prepare,
            });
        }
        let local = match step.act {
            MessageKind::Parse => !sent_now,
            MessageKind::CloseStatement => true,
            _ => false,
        };
        out.extend_from_slice(raw);
        collector.wants.push_back(Expected {
            act: step.act,
            local,
            prepare: step.prepare,
        });
    }
    frontend::sync(out);
    collector
}

/// Marks a Parse whose answer the caller does not wait for.
const HIDDEN: u16 = 1 << 15;

fn needs_statement(step: Step) -> bool {
    matches!(
        step.act,
        MessageKind::Parse | MessageKind::Bind | MessageKind::DescribeStatement
    )
}

/// Sends a Parse unless the upstream has the statement; true when it was sent now.
fn ensure(
    batch: &Batch,
    index: u16,
    known: &HashSet<Box<str>>,
    sent: &mut HashSet<u16>,
    out: &mut BytesMut,
) -> bool {
    let Some(prepare) = batch.prepares.get(usize::from(index)) else {
        return false;
    };
    if known.contains(&prepare.name) || !sent.insert(index) {
        return false;
    }
    let oids = prepare.oids.iter().copied();
    frontend::parse(&prepare.name, &prepare.sql, oids, out).expect("the text has no zero byte");
    true
}

/// What a frame means for the batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// More is to come.
    More,
    /// The batch is complete; the transaction state is given.
    Ready(u8),
    /// The frame does not belong to this batch.
    Crossed,
    /// The answer is larger than allowed.
    TooLarge,
}

impl Collector {
    /// Answers the steps at the front that need no upstream.
    fn answer_local(&mut self) {
        while let Some(want) = self.wants.front().copied() {
            if !want.local {
                return;
            }
            let tag = if want.act == MessageKind::Parse {
                b'1'
            } else {
                b'3'
            };
            put_frame(&mut self.out, tag, &[]);
            self.wants.pop_front();
        }
    }

    /// Takes one frame of the upstream.
    pub fn take(&mut self, frame: &Frame) -> Progress {
        if self.out.len() + frame.raw.len() > self.limit {
            return Progress::TooLarge;
        }
        match frame.tag {
            b'Z' => return self.ready(frame),
            b'A' => return Progress::More,
            b'N' | b'S' => {
                self.out.extend_from_slice(&frame.raw);
                return Progress::More;
            }
            b'E' => {
                self.answer_local();
                self.failed = true;
                self.wants.clear();
                self.out.extend_from_slice(&frame.raw);
                return Progress::More;
            }
            b'C' => self.note_tag(frame),
            _ => {}
        }
        if self.simple {
            self.out.extend_from_slice(&frame.raw);
            return Progress::More;
        }
        self.answer_local();
        self.step(frame)
    }

    fn ready(&mut self, frame: &Frame) -> Progress {
        self.answer_local();
        let status = frame.body().first().copied().unwrap_or(0);
        if !self.wants.is_empty() || !matches!(status, b'I' | b'T' | b'E') {
            return Progress::Crossed;
        }
        Progress::Ready(status)
    }

    fn note_tag(&mut self, frame: &Frame) {
        let body = frame.body();
        let text = body.strip_suffix(&[0]).unwrap_or(body);
        self.tag = String::from_utf8_lossy(text).into();
    }

    /// Matches a frame with the step at the front.
    fn step(&mut self, frame: &Frame) -> Progress {
        if self.failed {
            return Progress::Crossed;
        }
        let Some(want) = self.wants.front().copied() else {
            return Progress::Crossed;
        };
        let (fits, last) = match want.act {
            MessageKind::Parse => (frame.tag == b'1', true),
            MessageKind::Bind => (frame.tag == b'2', true),
            MessageKind::DescribeStatement => {
                (matches!(frame.tag, b't' | b'T' | b'n'), frame.tag != b't')
            }
            MessageKind::DescribePortal => (matches!(frame.tag, b'T' | b'n'), true),
            MessageKind::Execute => (
                matches!(frame.tag, b'D' | b'C' | b'I' | b's'),
                frame.tag != b'D',
            ),
            MessageKind::CloseStatement | MessageKind::ClosePortal => (frame.tag == b'3', true),
        };
        if !fits {
            return Progress::Crossed;
        }
        if last {
            self.wants.pop_front();
        }
        if want.act == MessageKind::Parse {
            self.prepared.push(want.prepare & !HIDDEN);
        }
        if want.act != MessageKind::Parse || want.prepare & HIDDEN == 0 {
            self.out.extend_from_slice(&frame.raw);
        }
        Progress::More
    }

    /// Whether the batch ended in an error.
    pub fn failed(&self) -> bool {
        self.failed
    }
}
