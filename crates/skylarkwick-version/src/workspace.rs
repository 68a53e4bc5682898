//! Workspaces: the tenants of a site, their weights and quotas, and the API keys of their
//! callers. They live for a version of the configuration. See `docs/design/keys.md` and
//! `docs/design/quotas.md`.

use std::{collections::BTreeMap, fmt, sync::Arc};

use crate::resources::Resources;

/// A workspace: its weight and its quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Jobs a second that it may submit before its jobs wait behind those of others; 0 is
    /// no limit. Its share of a full site is in proportion to it.
    pub weight: f64,
    /// What it may have running on the whole site.
    pub quota: Quota,
}

/// Upper limit of the resources that a workspace may have running; a component of 0 is no
/// limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota(pub Resources);

impl Quota {
    /// Returns the limit with [`u64::MAX`] for each component without one.
    pub fn ceiling(self) -> Resources {
        let Quota(maximum) = self;
        let limit = |value| if value == 0 { u64::MAX } else { value };
        Resources {
            millicores: limit(maximum.millicores),
            memory_mib: limit(maximum.memory_mib),
            accelerators: limit(maximum.accelerators),
        }
    }

    /// Returns whether nothing is limited.
    pub fn is_unlimited(self) -> bool {
        self == Quota::default()
    }
}

/// The API keys of all workspaces, kept as digests, so that no log or error can show one.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Keyring {
    digests: Vec<(blake3::Hash, Arc<str>)>,
}

impl Keyring {
    /// Adds a key of a workspace. Returns false, and changes nothing, if another workspace has
    /// the key: a key can't stand for two, and the first one must not be locked out.
    pub fn add(&mut self, key: &str, workspace: &Arc<str>) -> bool {
        match self.workspace(key) {
            Some(owner) => owner == workspace,
            None => {
                self.digests.push((blake3::hash(key.as_bytes()), Arc::clone(workspace)));
                true
            }
        }
    }

    /// Returns the workspace that a key belongs to. Digests are compared in constant time and
    /// all of them, so that the time taken tells nothing about the keys.
    pub fn workspace(&self, key: &str) -> Option<&Arc<str>> {
        let digest = blake3::hash(key.as_bytes());
        self.digests.iter().fold(None, |found, (known, workspace)| match *known == digest {
            true => Some(workspace),
            false => found,
        })
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.digests.len()
    }

    /// Returns whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }
}

impl fmt::Debug for Keyring {
    /// Writes the number of keys only.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keyring({} keys)", self.digests.len())
    }
}

/// Workspaces by name.
pub type Workspaces = BTreeMap<Arc<str>, Workspace>;
