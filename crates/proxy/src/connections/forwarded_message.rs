//! The parts of a message that are forwarded, kept for as long as they may be sent.

use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;

use crate::state::memory::{MemoryPool, UNRESERVED_BYTES, charged_copy};

/// The forwarded parts of a message.
pub struct ForwardedMessage {
    /// First line and header fields, each line with its CRLF.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

/// Returns the forwarded head and the body, which is a range of the received message. The head has
/// to outlive the buffer in which it was received; a short body is copied with it, so that the
/// buffer can be released.
pub fn forwarded_message(
    mut head: Vec<u8>,
    received: &Bytes,
    body: Range<usize>,
    memory: &Arc<MemoryPool>,
) -> ForwardedMessage {
    if received.len() > UNRESERVED_BYTES {
        head.shrink_to_fit();
        return ForwardedMessage {
            head: charged_copy(head, memory),
            body: received.slice(body),
        };
    }
    let head_length = head.len();
    head.reserve_exact(body.len());
    head.extend_from_slice(&received[body]);
    head.shrink_to_fit();
    let message = charged_copy(head, memory);
    ForwardedMessage {
        head: message.slice(..head_length),
        body: message.slice(head_length..),
    }
}
