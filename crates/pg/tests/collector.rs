//! Property tests of the collector against a reference without statement sharing: whatever the
//! upstream has already prepared, the caller gets the answers that a dedicated connection would
//! give.

// Properties take generated values, which are owned.
#![allow(clippy::needless_pass_by_value)]

use std::collections::HashSet;

use bytes::BytesMut;
use pg::{Frame, Progress, encode_batch, frames, put_frame};
use property::check_property;
use quickcheck::{Arbitrary, Gen};
use schema::{Batch, ByteBuf, MessageKind, Prepare, Step};

/// Number of statements that the generated batches refer to.
const STATEMENT_COUNT: u16 = 3;
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// A generated batch and the state of the upstream that answers it.
#[derive(Clone, Debug)]
struct Case {
    /// Message kind and statement index of each step.
    steps: Vec<(MessageKind, u16)>,
    /// Indices of the statements that the upstream has already prepared.
    known: Vec<u16>,
    /// Index of the step that the upstream answers with an error, unless that step cannot fail.
    fails_at: Option<usize>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let acts = [
            MessageKind::Parse,
            MessageKind::Bind,
            MessageKind::DescribeStatement,
            MessageKind::DescribePortal,
            MessageKind::Execute,
            MessageKind::CloseStatement,
            MessageKind::ClosePortal,
        ];
        let count = usize::arbitrary(g) % 8;
        let steps: Vec<_> = (0..count)
            .map(|_| {
                (
                    *g.choose(&acts).expect("the list is not empty"),
                    u16::arbitrary(g) % STATEMENT_COUNT,
                )
            })
            .collect();
        let known = (0..STATEMENT_COUNT)
            .filter(|_| bool::arbitrary(g))
            .collect();
        let fails_at = if bool::arbitrary(g) {
            None
        } else {
            Some(usize::arbitrary(g) % 8)
        };
        Case {
            steps,
            known,
            fails_at,
        }
    }
}

fn prepares() -> Vec<Prepare> {
    (0..STATEMENT_COUNT)
        .map(|i| Prepare {
            name: format!("h{i}").into(),
            sql: format!("select {i}").into(),
            oids: Vec::new(),
        })
        .collect()
}

fn batch(case: &Case) -> Batch {
    let mut batch = Batch {
        simple: false,
        sql: "".into(),
        body: ByteBuf::new(),
        steps: Vec::new(),
        prepares: prepares(),
    };
    for (act, prepare) in &case.steps {
        let tag = match act {
            MessageKind::Bind => b'B',
            MessageKind::DescribeStatement => b'D',
            MessageKind::DescribePortal => b'd',
            MessageKind::Execute => b'E',
            MessageKind::ClosePortal => b'C',
            MessageKind::Parse | MessageKind::CloseStatement => 0,
        };
        let mut raw = BytesMut::new();
        if tag != 0 {
            put_frame(
                &mut raw,
                tag,
                &[u8::try_from(*prepare).expect("the index is small")],
            );
        }
        batch.body.extend_from_slice(&raw);
        batch.steps.push(Step {
            act: *act,
            prepare: *prepare,
            len: u32::try_from(raw.len()).expect("the message is short"),
        });
    }
    batch
}

/// Appends the answer of an upstream to a message with this tag; `d` stands for the description of
/// a portal.
fn put_answer(out: &mut BytesMut, tag: u8) {
    match tag {
        b'P' => put_frame(out, b'1', &[]),
        b'B' => put_frame(out, b'2', &[]),
        b'D' => {
            put_frame(out, b't', &[0, 0]);
            put_frame(out, b'n', &[]);
        }
        b'd' => put_frame(out, b'n', &[]),
        b'E' => {
            put_frame(out, b'D', b"row");
            put_frame(out, b'C', b"SELECT 1\0");
        }
        _ => put_frame(out, b'3', &[]),
    }
}

/// The answers of an upstream to the encoded batch; it fails at the caller's step `fails_at`.
fn upstream_answers(
    sent: &[u8],
    fails_at: Option<usize>,
    steps: &[(MessageKind, u16)],
) -> BytesMut {
    let mut out = BytesMut::new();
    // Parse and Close of statements may be answered without the upstream, so they never fail here.
    let fallible: Vec<usize> = (0..steps.len())
        .filter(|i| {
            !matches!(
                steps[*i].0,
                MessageKind::Parse | MessageKind::CloseStatement
            )
        })
        .collect();
    let mut seen = 0;
    for frame in frames(sent) {
        match frame.tag {
            b'S' => break,
            b'P' => put_answer(&mut out, b'P'),
            tag => {
                if fails_at.is_some() && fallible.get(seen).copied() == fails_at {
                    put_frame(&mut out, b'E', b"error");
                    break;
                }
                seen += 1;
                put_answer(&mut out, tag);
            }
        }
    }
    put_frame(&mut out, b'Z', b"I");
    out
}

/// The answers of a dedicated connection: every message is answered in order.
fn reference_answers(case: &Case) -> BytesMut {
    let mut out = BytesMut::new();
    for (i, (act, _)) in case.steps.iter().enumerate() {
        let fallible = !matches!(act, MessageKind::Parse | MessageKind::CloseStatement);
        if fallible && case.fails_at == Some(i) {
            put_frame(&mut out, b'E', b"error");
            break;
        }
        let tag = match act {
            MessageKind::Parse => b'P',
            MessageKind::Bind => b'B',
            MessageKind::DescribeStatement => b'D',
            MessageKind::DescribePortal => b'd',
            MessageKind::Execute => b'E',
            MessageKind::CloseStatement | MessageKind::ClosePortal => b'C',
        };
        put_answer(&mut out, tag);
    }
    out
}

fn collect(case: &Case) -> (BytesMut, Progress) {
    let known: HashSet<Box<str>> = case.known.iter().map(|i| format!("h{i}").into()).collect();
    let mut sent = BytesMut::new();
    let mut collector = encode_batch(&batch(case), &known, MAX_ANSWER_BYTES, &mut sent);
    let mut last = Progress::More;
    for frame in frames(&upstream_answers(&sent, case.fails_at, &case.steps)) {
        last = collector.take(&frame);
        if last != Progress::More {
            break;
        }
    }
    (collector.out, last)
}

/// A caller must not be able to tell a shared upstream connection from a dedicated one by its
/// answers.
#[test]
fn answers_match_the_reference_answers() {
    fn property(case: Case) -> bool {
        let (out, last) = collect(&case);
        out == reference_answers(&case) && last == Progress::Ready(b'I')
    }
    check_property(property as fn(Case) -> bool);
}

/// A `ReadyForQuery` that comes before the outstanding answers belongs to another request, whose
/// answer must not be passed on.
#[test]
fn ready_before_the_answers_is_rejected() {
    fn property(case: Case) -> bool {
        let known = (0..STATEMENT_COUNT)
            .map(|i| format!("h{i}").into())
            .collect();
        let mut sent = BytesMut::new();
        let mut collector = encode_batch(&batch(&case), &known, MAX_ANSWER_BYTES, &mut sent);
        let expects_answers = case
            .steps
            .iter()
            .any(|(act, _)| !matches!(act, MessageKind::Parse | MessageKind::CloseStatement));
        let mut ready = BytesMut::new();
        put_frame(&mut ready, b'Z', b"I");
        let progress = collector.take(&Frame {
            tag: b'Z',
            raw: ready.freeze(),
        });
        (progress == Progress::Crossed) == expects_answers
    }
    check_property(property as fn(Case) -> bool);
}
