//! Responses, and the places where damage breaks their grammar.

/// Returns a response with a length, with chunks, or without both.
pub(crate) fn encode(framing: usize, body: &[u8]) -> Vec<u8> {
    let (field, coded) = match framing {
        0 => (format!("Content-Length: {}\r\n", body.len()), body.to_vec()),
        1 => {
            let size = format!("{:x};a=b\r\n", body.len()).into_bytes();
            let coded = [size.as_slice(), body, b"\r\n0\r\nTrailer: x\r\n\r\n"].concat();
            ("Transfer-Encoding: chunked\r\n".to_owned(), coded)
        }
        _ => (String::new(), body.to_vec()),
    };
    [b"HTTP/1.1 200 OK\r\n", field.as_bytes(), b"\r\n", &coded].concat()
}

/// Returns the positions of the bytes that are not part of the body.
pub(crate) fn grammar_positions(bytes: &[u8], is_chunked: bool, length: usize) -> Vec<usize> {
    let head = bytes.windows(4).position(|quad| quad == b"\r\n\r\n").unwrap() + 4;
    let start = match is_chunked {
        true => head + bytes[head..].iter().position(|byte| *byte == b'\n').unwrap() + 1,
        false => head,
    };
    (0..start).chain(start + length..bytes.len()).collect()
}
