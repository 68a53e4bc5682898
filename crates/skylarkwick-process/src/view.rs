//! A process's view of documents and hosts.
//!
//! Rows come from the platform or, while it is unreachable, from peers. A row is
//! applied only if its revision is newer, so that a late or repeated row never
//! reverts a change, whichever source it comes from.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
};

use skylarkwick_version::{document, host::Ownership, name, revision::Revision};

/// Content of a row of the view: the document of a service or the ownership of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// Document of a service; none once the service has ended.
    Document(name::Service, Option<Arc<document::Settings>>),
    /// Ownership of a host.
    Host(name::Host, Ownership),
}

/// Row of the view, as received from the platform or from another entry host, with its
/// revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Revision of the row.
    pub revision: Revision,
    /// Content of the row.
    pub change: Content,
}

/// Document of a service in the view, with the revision of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Revision of the row.
    pub revision: Revision,
    /// Settings in the document; none once the service has ended.
    pub settings: Option<Arc<document::Settings>>,
}

/// Ownership of a host in the view, with the revision of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Revision of the row.
    pub revision: Revision,
    /// Ownership of the host.
    pub ownership: Ownership,
}

/// All known documents and hosts, each with the revision of its row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Revision up to which the view contains every change; it may contain newer ones.
    pub revision: Revision,
    /// Documents, by service; services that have ended stay, without settings.
    pub documents: BTreeMap<name::Service, Document>,
    /// Hosts, by name.
    pub hosts: BTreeMap<name::Host, Host>,
}

impl View {
    /// Applies the rows that are newer than those in the view, and returns whether there
    /// were any.
    ///
    /// `complete_through` is the revision up to which the rows are complete, and raises
    /// the view's own.
    pub fn apply(&mut self, rows: Vec<Row>, complete_through: Revision) -> bool {
        let mut has_changed = false;
        for row in rows {
            has_changed |= self.apply_row(row);
        }
        self.revision = self.revision.max(complete_through);
        has_changed
    }

    /// Returns the settings of a service, or none if it has no document in force.
    pub fn document(&self, service: &str) -> Option<&Arc<document::Settings>> {
        self.documents.get(service).and_then(|document| document.settings.as_ref())
    }

    /// Returns the settings of every service whose document is in force.
    pub fn documents_in_force(&self) -> impl Iterator<Item = &Arc<document::Settings>> {
        self.documents.values().filter_map(|document| document.settings.as_ref())
    }

    /// Returns the rows newer than revision `after`, to send to another entry host.
    pub fn rows_after(&self, after: Revision) -> Vec<Row> {
        let documents = self.documents.iter().map(|(service, document)| Row {
            revision: document.revision,
            change: Content::Document(service.clone(), document.settings.clone()),
        });
        let hosts = self.hosts.iter().map(|(name, host)| Row {
            revision: host.revision,
            change: Content::Host(name.clone(), host.ownership.clone()),
        });
        documents.chain(hosts).filter(|row| row.revision > after).collect()
    }

    /// Applies a row, unless the view has it at the same or a newer revision, and returns
    /// whether it did.
    fn apply_row(&mut self, row: Row) -> bool {
        let Row { revision, change } = row;
        match change {
            Content::Document(service, settings) => {
                let current = self.documents.get(&service).map_or(Revision::ABSENT, |d| d.revision);
                if revision <= current {
                    return false;
                }
                self.documents.insert(service, Document { revision, settings });
            }
            Content::Host(host, ownership) => {
                let current = self.hosts.get(&host).map_or(Revision::ABSENT, |h| h.revision);
                if revision <= current {
                    return false;
                }
                self.hosts.insert(host, Host { revision, ownership });
            }
        }
        true
    }
}

/// Handle of the current view of a process, shared by its duties; the view is replaced as
/// a whole.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    view: Arc<RwLock<Arc<View>>>,
}

impl Handle {
    /// Returns the current view, which later replacements don't change.
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the view; only the duty that applies rows calls this.
    pub fn set(&self, view: Arc<View>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }
}
