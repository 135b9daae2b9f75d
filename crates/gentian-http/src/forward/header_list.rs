//! Ordered list of header fields.

/// Header fields in their original order; names are case-insensitive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<(String, Vec<u8>)>,
}

impl HeaderList {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self { fields: Vec::new() }
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.fields.push((name.into(), value.into()));
    }

    /// Appends a field.
    pub fn with(mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.push(name, value);
        self
    }

    /// Returns the first value of `name` as trimmed text, or `None` if it is absent or not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let (_, value) = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns all values of `name`.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let fields = self.fields.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        fields.map(|(_, value)| value.as_slice())
    }

    /// Returns whether the comma-separated field `name` contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let texts = self.values(name).filter_map(|value| std::str::from_utf8(value).ok());
        texts.flat_map(|text| text.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Appends the fields in HTTP/1.1 wire format.
    pub fn write_to(&self, output: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            output.extend_from_slice(name.as_bytes());
            output.extend_from_slice(b": ");
            output.extend_from_slice(value);
            output.extend_from_slice(b"\r\n");
        }
    }

    /// Returns the names of the fields that describe one connection or the framing of one message:
    /// the standard hop-by-hop fields, `Content-Length`, and the fields listed in a `Connection`
    /// field.
    pub fn hop_by_hop_names(&self) -> Vec<String> {
        const FIXED: [&str; 8] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "transfer-encoding",
            "content-length",
            "te",
            "trailer",
            "upgrade",
        ];
        let listed = self.values("connection").filter_map(|value| std::str::from_utf8(value).ok());
        let listed = listed.flat_map(|text| text.split(','));
        let listed = listed.map(|name| name.trim().to_ascii_lowercase());
        FIXED.iter().map(|name| (*name).to_owned()).chain(listed).collect()
    }
}

impl<'a> FromIterator<httparse::Header<'a>> for HeaderList {
    fn from_iter<T: IntoIterator<Item = httparse::Header<'a>>>(headers: T) -> Self {
        let fields =
            headers.into_iter().map(|header| (header.name.to_owned(), header.value.to_vec()));
        Self { fields: fields.collect() }
    }
}
