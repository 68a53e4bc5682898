//! A request that a listener has read.

use std::borrow::Cow;

use hyper::{body::Bytes, http::request::Parts};

/// A complete request: its head and its body.
#[derive(Debug)]
pub struct Request {
    head: Parts,
    body: Bytes,
}

impl Request {
    /// Creates a request from its head and its body.
    pub(super) const fn new(head: Parts, body: Bytes) -> Request {
        Request { head, body }
    }

    /// Returns the method, such as `GET`.
    pub fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns the path without the query, with percent-encoded characters decoded.
    pub fn path(&self) -> Cow<'_, str> {
        percent_encoding::percent_decode_str(self.head.uri.path()).decode_utf8_lossy()
    }

    /// Returns the first value of a query parameter, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.head.uri.query().unwrap_or_default();
        form_urlencoded::parse(query.as_bytes())
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// Returns the first value of a header, whose name may have any case; `None` if it is
    /// missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the body, empty if there is none.
    pub fn body(&self) -> &[u8] {
        &self.body
    }
}
