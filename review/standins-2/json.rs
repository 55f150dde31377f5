//! JSON values and base64, as far as the stand-ins need them.

use std::{collections::BTreeMap, fmt};

/// `Json` is a JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// Number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a value. Returns `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    /// Returns the field of an object, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns the number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    /// Returns the entries of a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => write!(f, "{text:?}"),
            Json::List(list) => {
                f.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(f, "{}{name:?}:{value}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("}")
            }
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn eat(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !self.eat(b']') {
                    list.push(self.value()?);
                    self.eat(b',');
                }
                Some(Json::List(list))
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while !self.eat(b'}') {
                    self.peek()?;
                    let name = self.string()?;
                    self.eat(b':').then_some(())?;
                    fields.insert(name, self.value()?);
                    self.eat(b',');
                }
                Some(Json::Object(fields))
            }
            _ => {
                let rest = &self.bytes[self.at..];
                let is_part = |b: &u8| b.is_ascii_alphanumeric() || b"+-.".contains(b);
                let length = rest.iter().take_while(|b| is_part(b)).count();
                self.at += length;
                let text = String::from_utf8(rest[..length].to_vec()).ok()?;
                (length > 0).then_some(Json::Number(text))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"').then_some(())?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code)?;
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let symbol = ALPHABET[(bits >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= chunk.len() {
                symbol as char
            } else {
                '='
            });
        }
    }
    out
}

/// Decodes base64.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|symbol| *symbol == byte) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}
