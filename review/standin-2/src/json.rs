//! A small JSON reader, enough for what the daemons write to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = text.as_bytes();
        read(&mut bytes)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip(bytes: &mut &[u8]) {
    while bytes.first().is_some_and(u8::is_ascii_whitespace) {
        *bytes = &bytes[1..];
    }
}

fn read(bytes: &mut &[u8]) -> Option<Json> {
    skip(bytes);
    match *bytes.first()? {
        b'{' => {
            let mut fields = BTreeMap::new();
            *bytes = &bytes[1..];
            loop {
                skip(bytes);
                match *bytes.first()? {
                    b'}' => {
                        *bytes = &bytes[1..];
                        return Some(Json::Table(fields));
                    }
                    b',' => *bytes = &bytes[1..],
                    _ => {
                        let name = read_text(bytes)?;
                        skip(bytes);
                        *bytes = bytes.strip_prefix(b":")?;
                        fields.insert(name, read(bytes)?);
                    }
                }
            }
        }
        b'[' => {
            let mut items = Vec::new();
            *bytes = &bytes[1..];
            loop {
                skip(bytes);
                match *bytes.first()? {
                    b']' => {
                        *bytes = &bytes[1..];
                        return Some(Json::List(items));
                    }
                    b',' => *bytes = &bytes[1..],
                    _ => items.push(read(bytes)?),
                }
            }
        }
        b'"' => read_text(bytes).map(Json::Text),
        _ => {
            let end = bytes
                .iter()
                .position(|b| b",]} \r\n\t".contains(b))
                .unwrap_or(bytes.len());
            let word = std::str::from_utf8(&bytes[..end]).ok()?;
            *bytes = &bytes[end..];
            match word {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn read_text(bytes: &mut &[u8]) -> Option<String> {
    *bytes = bytes.strip_prefix(b"\"")?;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.first()?;
        *bytes = &bytes[1..];
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.first()?;
                *bytes = &bytes[1..];
                text.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => other,
                });
            }
            _ => text.push(byte),
        }
    }
}
