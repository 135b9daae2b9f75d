//! Ways in which clients that nobody controls send request bodies.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

const WRITE_BYTES: usize = 16 * 1024;
/// Size of a large chunk.
const CHUNK_BYTES: usize = 100_000;
/// Pieces of a slow sender, and the pause after each.
const SLOW_PIECES: usize = 20;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// How many times the limit an announced or endless body is long.
const OVER_LIMIT_FACTOR: usize = 100;
/// Percentage of the limit that a body in chunks of one byte has.
const TINY_CHUNKS_PERCENT: usize = 60;

/// How a client sends the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyPattern {
    /// All bytes of a body of the largest legal size.
    Whole,
    /// All bytes but the last.
    OneByteShort,
    /// In pieces with pauses, all but the last byte.
    SlowPieces,
    /// In large chunks, without the last chunk.
    LargeChunks,
    /// In chunks of one byte, without the last chunk.
    TinyChunks,
    /// In chunks without end.
    EndlessChunks,
    /// More bytes than allowed, as announced.
    AnnouncedOverLimit,
}

impl BodyPattern {
    /// All patterns.
    pub const ALL: [Self; 7] = [
        Self::Whole,
        Self::OneByteShort,
        Self::SlowPieces,
        Self::LargeChunks,
        Self::TinyChunks,
        Self::EndlessChunks,
        Self::AnnouncedOverLimit,
    ];

    /// Returns the header field that frames a body where `limit` bytes are allowed.
    fn framing(self, limit: usize) -> String {
        match self {
            Self::Whole | Self::OneByteShort | Self::SlowPieces => {
                format!("Content-Length: {limit}")
            }
            Self::AnnouncedOverLimit => format!("Content-Length: {}", limit * OVER_LIMIT_FACTOR),
            Self::LargeChunks | Self::TinyChunks | Self::EndlessChunks => {
                "Transfer-Encoding: chunked".to_owned()
            }
        }
    }

    /// Sends a request with this body. `head` is the head without its framing and the empty line.
    pub(crate) fn send(self, socket: &mut TcpStream, head: &str, limit: usize) -> io::Result<()> {
        socket.write_all(format!("{head}{}\r\n\r\n", self.framing(limit)).as_bytes())?;
        match self {
            Self::Whole => send_bytes(socket, limit),
            Self::OneByteShort => send_bytes(socket, limit - 1),
            Self::SlowPieces => {
                for _ in 0..SLOW_PIECES {
                    send_bytes(socket, (limit - 1) / SLOW_PIECES)?;
                    std::thread::sleep(SLOW_PAUSE);
                }
                Ok(())
            }
            Self::LargeChunks => send_chunks(socket, limit / CHUNK_BYTES),
            Self::TinyChunks => {
                let chunks = b"1\r\nx\r\n".repeat(WRITE_BYTES);
                let count = limit * TINY_CHUNKS_PERCENT / 100 / WRITE_BYTES;
                (0..count).try_for_each(|_| socket.write_all(&chunks))
            }
            Self::EndlessChunks => send_chunks(socket, limit * OVER_LIMIT_FACTOR / CHUNK_BYTES),
            Self::AnnouncedOverLimit => send_bytes(socket, limit * OVER_LIMIT_FACTOR),
        }
    }
}

fn send_bytes(socket: &mut TcpStream, count: usize) -> io::Result<()> {
    let bytes = [b'b'; WRITE_BYTES];
    let mut left = count;
    while left > 0 {
        let length = left.min(WRITE_BYTES);
        socket.write_all(&bytes[..length])?;
        left -= length;
    }
    Ok(())
}

fn send_chunks(socket: &mut TcpStream, count: usize) -> io::Result<()> {
    for _ in 0..count {
        socket.write_all(format!("{CHUNK_BYTES:x}\r\n").as_bytes())?;
        send_bytes(socket, CHUNK_BYTES)?;
        socket.write_all(b"\r\n")?;
    }
    Ok(())
}
