//! JSON values, their parser and their text form.

use std::collections::BTreeMap;

/// A JSON value; numbers are kept as `f64`, which holds every number that is sent here.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

/// Creates an object from its fields.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

/// Creates a text.
pub fn text(value: &str) -> Json {
    Json::Text(value.to_owned())
}

/// Creates a number.
pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

impl Json {
    /// Returns a field of an object; `Null` if there is none.
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns a text; empty for any other value.
    pub fn as_str(&self) -> &str {
        match self {
            Json::Text(value) => value,
            _ => "",
        }
    }

    /// Returns a number; `None` for any other value.
    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(value) => Some(*value as u64),
            _ => None,
        }
    }

    /// Returns the entries of a list; none for any other value.
    pub fn as_list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }

    /// Returns the text form.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(value) if value.fract() == 0.0 => out.push_str(&format!("{value:.0}")),
            Json::Number(value) => out.push_str(&value.to_string()),
            Json::Text(value) => write_text(value, out),
            Json::List(entries) => {
                out.push('[');
                for (index, entry) in entries.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    entry.write(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == text.len()).then_some(value)
    }
}

fn write_text(value: &str, out: &mut String) {
    out.push('"');
    for character in value.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            control if control < ' ' => out.push_str(&format!("\\u{:04x}", control as u32)),
            other => out.push(other),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.text.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut entries = Vec::new();
        if self.take(b']') {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(entries));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        if self.take(b'}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.text()?;
            if !self.take(b':') {
                return None;
            }
            fields.insert(key, self.value()?);
            if self.take(b'}') {
                return Some(Json::Object(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if self.text.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    let character = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(code, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    out.extend(character.to_string().bytes());
                }
                other => out.push(other),
            }
        }
    }
}
