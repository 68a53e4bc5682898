//! Resolver of URIs whose host is an IP address.
//!
//! The library's own resolver starts a thread for every call that has a timeout,
//! so that a name lookup can be given up, even if the host is an IP address.

use std::net::SocketAddr;

use ureq::{
    Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::NextTimeout,
    },
};

/// Takes the address from the URI, which must have an IP address and a port; names are
/// not looked up.
#[derive(Debug, Default)]
pub(crate) struct AddressResolver(());

impl Resolver for AddressResolver {
    /// Parses the authority of the URI; fails with [`Error::HostNotFound`] if it is not an
    /// IP address with a port.
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().ok_or(Error::HostNotFound)?;
        let address: SocketAddr = authority.as_str().parse().map_err(|_| Error::HostNotFound)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
