//! A request that a listener has read.

use std::{borrow::Cow, ops::Deref};

use hyper::http::request::Parts;

/// The head of a request: its method, path and headers.
#[derive(Debug)]
pub struct Head {
    parts: Parts,
}

impl Head {
    /// Creates a head from that of the library.
    pub(super) const fn new(parts: Parts) -> Head {
        Head { parts }
    }

    /// Returns the method, such as `GET`.
    pub fn method(&self) -> &str {
        self.parts.method.as_str()
    }

    /// Returns the path without the query, with percent-encoded characters decoded.
    pub fn path(&self) -> Cow<'_, str> {
        percent_encoding::percent_decode_str(self.parts.uri.path()).decode_utf8_lossy()
    }

    /// Returns the first value of a query parameter, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.parts.uri.query().unwrap_or_default();
        form_urlencoded::parse(query.as_bytes())
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// Returns the first value of a header, whose name may have any case; `None` if it is
    /// missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.parts.headers.get(name)?.to_str().ok()
    }
}

/// A complete request: its head and its body.
#[derive(Debug)]
pub struct Request {
    head: Head,
    body: Vec<u8>,
}

impl Request {
    /// Creates a request from its head and its body.
    pub(super) const fn new(head: Head, body: Vec<u8>) -> Request {
        Request { head, body }
    }

    /// Returns the body, empty if there is none.
    pub fn body(&self) -> &[u8] {
        &self.body
    }
}

impl Deref for Request {
    type Target = Head;

    /// Returns the head.
    fn deref(&self) -> &Head {
        &self.head
    }
}
