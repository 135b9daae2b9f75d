//! Grammar of field lines and chunk extensions (RFC 9110, RFC 9112).

/// Returns whether `text` is a token, as names of fields are.
pub(crate) fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().copied().all(is_token_byte)
}

/// Returns whether `text` may be the value of a field.
pub(crate) fn is_field_value(text: &[u8]) -> bool {
    text.iter().copied().all(is_text_byte)
}

/// Returns whether a line without its end is a field: a name, a colon and a value.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let colon = line.iter().position(|byte| *byte == b':');
    colon.is_some_and(|colon| is_token(&line[..colon]) && is_field_value(&line[colon + 1..]))
}

/// Returns whether `text`, which follows the size of a chunk, is empty or a list of extensions.
pub(crate) fn is_chunk_extension(text: &[u8]) -> bool {
    let mut rest = text;
    while !rest.is_empty() {
        let Some(extension) = skip_blanks(rest).strip_prefix(b";") else { return false };
        let Some(after_name) = skip_token(skip_blanks(extension)) else { return false };
        rest = after_name;
        if let Some(value) = skip_blanks(rest).strip_prefix(b"=") {
            let value = skip_blanks(value);
            let skipped = skip_token(value).or_else(|| skip_quoted(value));
            let Some(after_value) = skipped else { return false };
            rest = after_value;
        }
    }
    true
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

fn skip_blanks(text: &[u8]) -> &[u8] {
    let start = text.iter().position(|byte| !matches!(byte, b' ' | b'\t'));
    &text[start.unwrap_or(text.len())..]
}

fn skip_token(text: &[u8]) -> Option<&[u8]> {
    let end = text.iter().position(|byte| !is_token_byte(*byte)).unwrap_or(text.len());
    (end > 0).then(|| &text[end..])
}

fn skip_quoted(text: &[u8]) -> Option<&[u8]> {
    let mut bytes = text.strip_prefix(b"\"")?.iter().copied().enumerate();
    while let Some((position, byte)) = bytes.next() {
        match byte {
            // One byte for the opening quote, one for this one.
            b'"' => return Some(&text[position + 2..]),
            b'\\' if bytes.next().is_some_and(|(_, escaped)| is_text_byte(escaped)) => {}
            b'\\' => return None,
            byte if !is_text_byte(byte) => return None,
            _ => {}
        }
    }
    None
}
