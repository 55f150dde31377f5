//! JSON values, as far as the stand-ins need them.

use std::{collections::BTreeMap, fmt};

/// `Json` is a JSON value. Numbers are kept as 64-bit floats, which hold the versions and counts of a short run.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    pub fn number(number: impl Into<f64>) -> Self {
        Self::Number(number.into())
    }

    pub fn version(version: u64) -> Self {
        Self::Number(version as f64)
    }

    pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Self {
        let fields = fields.map(|(name, value)| (name.to_owned(), value));
        Self::Object(BTreeMap::from(fields))
    }

    /// Returns a field of an object, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn integer(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// Parses a value, or returns `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        is_next.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip();
            let name = self.text()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            bytes.extend(letter.to_string().bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                f.write_str("[")?;
                for (n, item) in items.iter().enumerate() {
                    let comma = if n > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (n, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if n > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            letter if (letter as u32) < 0x20 => write!(f, "\\u{:04x}", letter as u32)?,
            letter => write!(f, "{letter}")?,
        }
    }
    f.write_str("\"")
}

/// Encodes bytes in base64, as the store holds values.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
