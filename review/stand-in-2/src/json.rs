//! A small JSON value with a parser and a printer, enough for the platform's messages.

use std::{collections::BTreeMap, fmt};

/// A JSON value; whole numbers are kept apart from fractions.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Map(map) => map.get(name).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn int(&self) -> Option<i64> {
        match self {
            Json::Int(number) => Some(*number),
            Json::Float(number) => Some(*number as i64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    /// Creates a map from its fields.
    pub fn map<const N: usize>(fields: [(&str, Json); N]) -> Json {
        Json::Map(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
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
        Json::Int(number as i64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Json {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Json {
        Json::List(list)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Int(number) => write!(f, "{number}"),
            Json::Float(number) => write!(f, "{number}"),
            Json::Text(text) => write_text(f, text),
            Json::List(list) => {
                f.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Map(map) => {
                f.write_str("{")?;
                for (index, (name, value)) in map.iter().enumerate() {
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
    for character in text.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            '\n' => f.write_str("\\n")?,
            control if u32::from(control) < 32 => write!(f, "\\u{:04x}", u32::from(control))?,
            other => write!(f, "{other}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_there = self.bytes[self.at..].starts_with(word.as_bytes());
        is_there.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut map = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(map));
        }
        loop {
            self.space();
            let name = self.text()?;
            self.take(b':')?;
            map.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Map(map));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut list = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(list));
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
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let character = char::from_u32(code)?;
                            bytes.extend(character.to_string().bytes());
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
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        let whole = text.parse().map(Json::Int);
        whole.or_else(|_| text.parse().map(Json::Float)).ok()
    }
}
