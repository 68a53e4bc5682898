//! The response of a handler.

use http_body_util::Full;
use hyper::{
    StatusCode,
    body::Bytes,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use serde::Serialize;

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json; charset=utf-8";

/// A response: a status, headers and a body.
#[derive(Debug)]
pub struct Response {
    response: hyper::Response<Full<Bytes>>,
}

impl Response {
    /// Creates a response with a status and an empty body.
    pub fn empty(status: u16) -> Response {
        Response { response: hyper::Response::default() }.with_status_code(status)
    }

    /// Creates a response with a plain text.
    pub fn text(text: impl Into<String>) -> Response {
        Response::from_data(TEXT, text.into())
    }

    /// Creates a response with a value as JSON; its status is 500 if the value can't be
    /// encoded.
    pub fn json<T: Serialize>(value: &T) -> Response {
        match serde_json::to_vec(value) {
            Ok(data) => Response::from_data(JSON, data),
            Err(error) => Response::text(error.to_string()).with_status_code(500),
        }
    }

    /// Creates a response with a body of a media type.
    pub fn from_data(content_type: impl AsRef<str>, data: impl Into<Bytes>) -> Response {
        let response = hyper::Response::new(Full::new(data.into()));
        Response { response }.with_header_value(CONTENT_TYPE, content_type.as_ref())
    }

    /// Returns the response with a status; with 500 if the number is not a status.
    #[must_use]
    pub fn with_status_code(mut self, status: u16) -> Response {
        *self.response.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        self
    }

    /// Returns the response with a header, which replaces one of the same name. Leaves out
    /// a header that HTTP doesn't allow.
    #[must_use]
    pub fn with_unique_header(self, name: &str, value: impl AsRef<str>) -> Response {
        match HeaderName::from_bytes(name.as_bytes()) {
            Ok(name) => self.with_header_value(name, value.as_ref()),
            Err(_invalid) => self,
        }
    }

    fn with_header_value(mut self, name: HeaderName, value: &str) -> Response {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.response.headers_mut().insert(name, value);
        }
        self
    }
}

impl From<Response> for hyper::Response<Full<Bytes>> {
    fn from(response: Response) -> hyper::Response<Full<Bytes>> {
        response.response
    }
}
