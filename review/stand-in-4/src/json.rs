//! A small JSON value with a parser and a writer.

use std::{collections::BTreeMap, fmt};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }

    /// Returns a field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the text; empty if it is none.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; `None` if it is none.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the entries of a list; none if it is no list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Json {
        Json::Text(text)
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Json {
        Json::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Json {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(entries: Vec<Json>) -> Json {
        Json::List(entries)
    }
}

/// Creates an object from fields.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) if number.fract() == 0.0 => write!(f, "{}", *number as i64),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => write_text(f, text),
            Json::List(entries) => {
                f.write_str("[")?;
                for (index, entry) in entries.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write!(f, "{entry}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
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
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if u32::from(c) < 0x20 => write!(f, "\\u{:04x}", u32::from(c))?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while matches!(self.text.get(self.at), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'n' => self.take("null", Json::Null),
            b't' => self.take("true", Json::Bool(true)),
            b'f' => self.take("false", Json::Bool(false)),
            b'"' => Some(Json::Text(self.string()?)),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while matches!(self.text.get(self.at), Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'))
        {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend(c.to_string().into_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut entries = Vec::new();
        loop {
            self.space();
            match self.text.get(self.at)? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(entries));
                }
                b',' => self.at += 1,
                _ => entries.push(self.value()?),
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        loop {
            self.space();
            match self.text.get(self.at)? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    self.space();
                    if self.text.get(self.at) != Some(&b':') {
                        return None;
                    }
                    self.at += 1;
                    fields.insert(name, self.value()?);
                }
            }
        }
    }
}
