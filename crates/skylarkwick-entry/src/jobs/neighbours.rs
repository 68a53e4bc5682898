//! The other entry hosts: how this one registers in the store, and which of them are asked to
//! store a submission that the store refuses here.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use skylarkwick_connection::{
    neighbour::Neighbour,
    store::{self, Commit, Key, Store, Transaction, keyspace, row, row::EntryRow},
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
};
use skylarkwick_version::moment::Moment;
use slog::{Logger, info, warn};

/// Time between two reads of the list of entry hosts.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);
/// Pause before the registration, or a read that failed, is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a neighbour that could not store a submission is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// This entry host, as others know it.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Its name.
    pub entry: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Address at which it takes submissions from others.
    pub address: SocketAddr,
    /// Token that it expects with them.
    pub token: Arc<str>,
}

/// The other entry hosts, and until when those in trouble are avoided.
#[derive(Debug, Default)]
pub(super) struct Neighbours {
    state: Mutex<State>,
}

/// The entry host that writes a submission together with others.
#[derive(Clone, Debug)]
pub(super) enum Choice {
    /// This one.
    Own,
    /// Another one.
    Other(Neighbour),
}

#[derive(Debug, Default)]
struct State {
    own: Arc<str>,
    known: Vec<Neighbour>,
    avoided: BTreeMap<Arc<str>, Moment>,
}

impl Neighbours {
    /// Returns whether no other entry host is known.
    pub(super) fn is_empty(&self) -> bool {
        self.state().known.is_empty()
    }

    /// Returns how many other entry hosts are known.
    pub(super) fn len(&self) -> usize {
        self.state().known.len()
    }

    /// Returns the entry host that writes for others in a partition, after `asked` that were asked
    /// before; `None` if all are in trouble. The order is by a hash and the same at every entry
    /// host, so that the submissions for one partition meet at one, which writes them together.
    pub(super) fn choose(&self, part: &str, asked: usize) -> Option<Choice> {
        let now = Boot.now();
        let state = self.state();
        let is_usable =
            |entry: &Arc<str>| state.avoided.get(entry).is_none_or(|until| *until <= now);
        let usable = state.known.iter().filter(|neighbour| is_usable(&neighbour.entry));
        let mut usable: Vec<Option<&Neighbour>> = usable.map(Some).collect();
        usable.push(None);
        usable.sort_by_cached_key(|neighbour| {
            let entry = neighbour.map_or(&state.own, |neighbour| &neighbour.entry);
            *blake3::hash(format!("{part}\n{entry}").as_bytes()).as_bytes()
        });
        let index = asked.checked_rem(usable.len())?;
        Some(match usable[index] {
            None => Choice::Own,
            Some(neighbour) => Choice::Other(neighbour.clone()),
        })
    }

    /// Records that a neighbour could not store a submission.
    pub(super) fn avoid(&self, entry: &Arc<str>) {
        let until = Boot.now() + AVOID_TIME;
        self.state().avoided.insert(Arc::clone(entry), until);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replace(&self, known: Vec<Neighbour>) {
        let mut state = self.state();
        state.avoided.retain(|entry, _| known.iter().any(|neighbour| neighbour.entry == *entry));
        state.known = known;
    }
}

/// Starts the duty that registers this entry host and reads the list of the others until the stop
/// signal, and then withdraws the registration.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn start<S: Store>(
    store: S,
    own: Registration,
    neighbours: Arc<Neighbours>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    neighbours.state().own = Arc::clone(&own.entry);
    Duty::spawn("neighbours", move || {
        let key = Key::new(keyspace::ENTRIES, "", &own.entry);
        let row = row::encode(&EntryRow {
            address: own.address.to_string(),
            data_centre: own.data_centre.to_string(),
            token: own.token.to_string(),
        });
        let mut registered = None;
        while !stop.is_requested() {
            if registered.is_none() {
                let change = Transaction::default().put(key.clone(), row.clone());
                registered = match store.commit(&change) {
                    Ok(Commit::Applied(revision)) => Some(revision),
                    Ok(Commit::Conflict(_)) | Err(_) => None,
                };
            }
            let listed = store::read_partition(&store, keyspace::ENTRIES, "");
            let is_listed = listed.is_ok();
            match listed {
                Ok(page) => neighbours.replace(others(&page.rows, &own)),
                Err(error) => warn!(log, "entry hosts not listed"; "error" => %error),
            }
            let is_done = is_listed && registered.is_some();
            stop.sleep(if is_done { REFRESH_PERIOD } else { RETRY_DELAY });
        }
        if let Some(revision) = registered {
            // A later process of this name may have registered meanwhile.
            let change = Transaction::default().require(key.clone(), revision).remove(key);
            let outcome = store.commit(&change).is_ok();
            info!(log, "registration withdrawn"; "stored" => outcome);
        }
    })
}

/// Returns the neighbours in the rows of all entry hosts, without this one and those that can't be
/// decoded.
fn others(rows: &[store::Row], own: &Registration) -> Vec<Neighbour> {
    let neighbour = |row: &store::Row| {
        let decoded: EntryRow = row::decode(row.value.as_deref()?).ok()?;
        Some(Neighbour {
            entry: Arc::clone(&row.key.name),
            data_centre: Arc::from(decoded.data_centre),
            address: decoded.address.parse().ok()?,
            token: Arc::from(decoded.token),
        })
    };
    rows.iter().filter(|row| *row.key.name != *own.entry).filter_map(neighbour).collect()
}
