//! The process's view of documents and hosts.
//!
//! Rows are adopted from the platform or, while that can't be reached, from
//! peers. Adoption is monotonic by revision, so a late or repeated row never
//! reverts an accepted change, whichever way it came.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
};

use skylarkwick_version::{document, host::Ownership, name, revision::Revision};

/// What a row of the view says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A service's document, or its end.
    Document(name::Service, Option<Arc<document::Settings>>),
    /// The ownership of a host.
    Host(name::Host, Ownership),
}

/// A change and the revision that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Revision of the row.
    pub revision: Revision,
    /// Its contents.
    pub change: Content,
}

/// A service's document in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Revision of the row.
    pub revision: Revision,
    /// The document, unless the service has ended.
    pub settings: Option<Arc<document::Settings>>,
}

/// A host in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Revision of the row.
    pub revision: Revision,
    /// The ownership.
    pub ownership: Ownership,
}

/// All documents and hosts, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Highest revision up to which every row is known.
    pub revision: Revision,
    /// Documents by service.
    pub documents: BTreeMap<name::Service, Document>,
    /// Hosts by name.
    pub hosts: BTreeMap<name::Host, Host>,
}

impl View {
    /// Adopts rows; `through` is the revision up to which they are complete.
    ///
    /// Returns whether anything changed.
    pub fn apply(&mut self, rows: Vec<Row>, through: Revision) -> bool {
        let mut has_changed = false;
        for row in rows {
            has_changed |= self.adopt_row(row);
        }
        self.revision = self.revision.max(through);
        has_changed
    }

    /// Returns the document of a service that has one.
    pub fn document(&self, service: &str) -> Option<&Arc<document::Settings>> {
        self.documents.get(service).and_then(|document| document.settings.as_ref())
    }

    /// Returns every document in force.
    pub fn documents_in_force(&self) -> impl Iterator<Item = &Arc<document::Settings>> {
        self.documents.values().filter_map(|document| document.settings.as_ref())
    }

    /// Returns the rows that are newer than a revision, for a peer.
    pub fn rows_after(&self, after: Revision) -> Vec<Row> {
        let documents = self.documents.iter().map(|(service, document)| Row {
            revision: document.revision,
            change: Content::Document(service.clone(), document.settings.clone()),
        });
        let hosts = self.hosts.iter().map(|(host, known)| Row {
            revision: known.revision,
            change: Content::Host(host.clone(), known.ownership.clone()),
        });
        documents.chain(hosts).filter(|row| row.revision > after).collect()
    }

    fn adopt_row(&mut self, row: Row) -> bool {
        let Row { revision, change } = row;
        match change {
            Content::Document(service, settings) => {
                let known = self.documents.get(&service).map_or(Revision::ABSENT, |d| d.revision);
                if revision <= known {
                    return false;
                }
                self.documents.insert(service, Document { revision, settings });
            }
            Content::Host(host, ownership) => {
                let known = self.hosts.get(&host).map_or(Revision::ABSENT, |h| h.revision);
                if revision <= known {
                    return false;
                }
                self.hosts.insert(host, Host { revision, ownership });
            }
        }
        true
    }
}

/// The current view of a process, shared by its duties.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    view: Arc<RwLock<Arc<View>>>,
}

impl Handle {
    /// Returns the current view.
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the view; called by the one duty that adopts rows.
    pub fn set(&self, view: Arc<View>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }
}
