//! Whether a request may use a queue: its route, and the API key that the route needs.
//!
//! The decision needs neither a clock nor a network. See `docs/design/keys.md`.

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::control::{Configuration, Route};

/// Scheme of the `Authorization` header that carries an API key.
const SCHEME: &str = "Bearer ";
/// Age of the configuration from which an unknown key may be one that was added since, so that
/// another entry host may know it.
const KEY_SETTLE_TIME: Duration = Duration::from_millis(2200);

/// A request that may use a queue: its route, and the workspace of its caller if the route
/// needs a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Access {
    /// Route to the queue.
    pub route: Route,
    /// Workspace of the caller.
    pub workspace: Option<Arc<str>>,
}

/// Why a request may not use a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No configuration has been received yet.
    NoConfiguration,
    /// No queue in the configuration matches the request.
    NoQueue,
    /// The key belongs to no workspace, or there is none.
    UnknownKey,
    /// The configuration is too old to tell whether the key is valid.
    StaleConfiguration,
}

/// The configuration that an entry host goes by, and for how long no later one can have been
/// in force before.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The configuration, if one was received.
    pub configuration: Option<&'a Configuration>,
    /// Time since the last answered poll for a later configuration was sent.
    pub age: Duration,
    /// Age above which keys are not trusted; `None` trusts them at any age.
    pub max_age: Option<Duration>,
}

impl View<'_> {
    /// Decides whether a request for a host name and a path, with the value of its
    /// `Authorization` header, may use a queue.
    ///
    /// The route comes before the key, so that an unknown path is told as such.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn access(
        &self,
        host: &str,
        path: &str,
        authorization: Option<&str>,
    ) -> Result<Access, Denial> {
        let configuration = self.configuration.ok_or(Denial::NoConfiguration)?;
        let route = configuration.route(host, path).ok_or(Denial::NoQueue)?;
        let workspace = match route.is_open {
            true => None,
            false => Some(self.workspace(configuration, authorization)?),
        };
        Ok(Access { route: route.clone(), workspace })
    }

    /// Returns the workspace of the key in an `Authorization` header.
    fn workspace(
        &self,
        configuration: &Configuration,
        authorization: Option<&str>,
    ) -> Result<Arc<str>, Denial> {
        if self.max_age.is_some_and(|max_age| self.age >= max_age) {
            return Err(Denial::StaleConfiguration);
        }
        let key = authorization.and_then(|value| value.strip_prefix(SCHEME)).unwrap_or_default();
        match configuration.keyring.workspace(key) {
            Some(workspace) => Ok(Arc::clone(workspace)),
            None if !key.is_empty() && self.age >= KEY_SETTLE_TIME => {
                Err(Denial::StaleConfiguration)
            }
            None => Err(Denial::UnknownKey),
        }
    }
}
