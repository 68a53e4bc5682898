//! Settings of a site: its data centres, entry hosts, racks and workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::Deserialize;
use skylarkwick_version::{
    name,
    resources::Resources,
    source::{Diagnostic, Source},
};
use toml::Spanned;

/// Unvalidated options of a site, with their positions in the file for diagnostics;
/// unknown keys are rejected.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Options {
    site: Spanned<String>,
    latency: Latency,
    platform: Platform,
    workers: Workers,
    data_centres: Vec<DataCentre>,
}

/// Section `latency`: one-way latencies, as durations with units.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Latency {
    between_data_centres: Spanned<String>,
    to_callers: Spanned<String>,
}

/// Section `platform`: the address of the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Platform {
    address: Spanned<String>,
}

/// Section `workers`: slots, connections, cores, memory in MiB and accelerators of each
/// worker.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Workers {
    slots: Spanned<u32>,
    connections: Spanned<u32>,
    /// Number of cores.
    processors: u32,
    memory_mib: u64,
    #[serde(default)]
    accelerators: u32,
}

/// A data centre with its entry hosts and racks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DataCentre {
    name: Spanned<String>,
    entries: Vec<Entry>,
    racks: Vec<Rack>,
}

/// An entry host, and its addresses for callers and for other entry hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    name: Spanned<String>,
    caller: Spanned<String>,
    peer: Spanned<String>,
}

/// A rack, and the addresses of its workers' backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rack {
    name: Spanned<String>,
    workers: Vec<Spanned<String>>,
}

/// Validated settings of a site: latencies, the platform's address, the capacity of each
/// worker, and all entry hosts and workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the site; informational.
    pub site: String,
    /// One-way latency between data centres.
    pub latency_between_data_centres: Duration,
    /// One-way latency between entry hosts and callers.
    pub latency_to_callers: Duration,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Number of tasks that each worker runs at the same time.
    pub slots_per_worker: u32,
    /// Number of connections that each worker accepts. Only validated; no process uses it.
    pub connections_per_worker: u32,
    /// Resources of each worker.
    pub worker_resources: Resources,
    /// Entry hosts, by name.
    pub entries: BTreeMap<name::Entry, EntryHost>,
    /// Workers, by name: `RACK-h1`, `RACK-h2` and so on, in the order of their addresses.
    pub workers: BTreeMap<name::Host, Worker>,
}

/// Data centre of an entry host, and its addresses for callers and other entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// Data centre of the entry host.
    pub data_centre: name::DataCentre,
    /// Address on which it accepts connections from callers.
    pub caller_address: SocketAddr,
    /// Address on which it accepts connections from other entry hosts.
    pub peer_address: SocketAddr,
}

/// Data centre, rack and address of a worker: a host that runs a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Data centre of the worker.
    pub data_centre: name::DataCentre,
    /// Rack of the worker.
    pub rack: name::Rack,
    /// Address of its backend server.
    pub address: SocketAddr,
}

impl Settings {
    /// Parses and validates the site's settings in `source`.
    ///
    /// # Errors
    ///
    /// Returns a diagnostic for the first error in the settings.
    pub fn load(source: &Source) -> Result<Settings, Diagnostic> {
        let options: Options = source.parse()?;
        let mut validator =
            Validator { source, addresses: BTreeMap::new(), names: BTreeSet::new() };
        validator.site(&options)
    }

    /// Returns the names of the data centres that have an entry host, in ascending order.
    pub fn data_centres(&self) -> Vec<name::DataCentre> {
        let names: BTreeSet<_> =
            self.entries.values().map(|entry| entry.data_centre.clone()).collect();
        names.into_iter().collect()
    }
}

/// Validates the options of a site, and collects the addresses, each with its line, and
/// the names read so far to detect duplicates.
struct Validator<'a> {
    source: &'a Source,
    addresses: BTreeMap<SocketAddr, usize>,
    names: BTreeSet<String>,
}

impl Validator<'_> {
    /// Validates all options of the site; fails at the first invalid one.
    fn site(&mut self, options: &Options) -> Result<Settings, Diagnostic> {
        let platform = self.address("platform.address", &options.platform.address)?;
        let mut entries = BTreeMap::new();
        let mut workers = BTreeMap::new();
        for data_centre in &options.data_centres {
            self.data_centre(data_centre, &mut entries, &mut workers)?;
        }
        Ok(Settings {
            site: options.site.get_ref().clone(),
            latency_between_data_centres: self
                .duration("latency.between-data-centres", &options.latency.between_data_centres)?,
            latency_to_callers: self.duration("latency.to-callers", &options.latency.to_callers)?,
            platform,
            slots_per_worker: self.positive("workers.slots", &options.workers.slots)?,
            connections_per_worker: self
                .positive("workers.connections", &options.workers.connections)?,
            worker_resources: Resources {
                millicores: u64::from(options.workers.processors) * 1000,
                memory_mib: options.workers.memory_mib,
                accelerators: u64::from(options.workers.accelerators),
            },
            entries,
            workers,
        })
    }

    /// Validates a data centre, and adds its entry hosts to `entries` and its workers to
    /// `workers`. Fails at the first invalid option.
    fn data_centre(
        &mut self,
        options: &DataCentre,
        entries: &mut BTreeMap<name::Entry, EntryHost>,
        workers: &mut BTreeMap<name::Host, Worker>,
    ) -> Result<(), Diagnostic> {
        let data_centre: name::DataCentre = self.name("data-centres.name", &options.name)?;
        for entry in &options.entries {
            let host = EntryHost {
                data_centre: data_centre.clone(),
                caller_address: self.address("data-centres.entries.caller", &entry.caller)?,
                peer_address: self.address("data-centres.entries.peer", &entry.peer)?,
            };
            entries.insert(self.name("data-centres.entries.name", &entry.name)?, host);
        }
        for rack in &options.racks {
            let name: name::Rack = self.name("data-centres.racks.name", &rack.name)?;
            for (index, address) in rack.workers.iter().enumerate() {
                let worker = Worker {
                    data_centre: data_centre.clone(),
                    rack: name.clone(),
                    address: self.address("data-centres.racks.workers", address)?,
                };
                let host = format!("{name}-h{}", index + 1);
                let host = name::Host::try_from(host).map_err(|error| {
                    self.source.diagnostic(
                        &rack.name.span(),
                        "data-centres.racks.name",
                        &error.to_string(),
                        "shorten the name of the rack",
                    )
                })?;
                workers.insert(host, worker);
            }
        }
        Ok(())
    }

    /// Parses the name at `key`; fails if it is invalid or was used before in the site.
    fn name<N>(&mut self, key: &str, text: &Spanned<String>) -> Result<N, Diagnostic>
    where
        N: for<'a> TryFrom<&'a str, Error = name::Error>,
    {
        let invalid = |problem: &str| {
            self.source.diagnostic(&text.span(), key, problem, "choose another name")
        };
        let name = N::try_from(text.get_ref()).map_err(|error| invalid(&error.to_string()))?;
        match self.names.contains(text.get_ref()) {
            true => Err(invalid(&format!("{:?} is used twice", text.get_ref()))),
            false => {
                self.names.insert(text.get_ref().clone());
                Ok(name)
            }
        }
    }

    /// Parses the address at `key`, an IP address and a port; fails if it is invalid or was
    /// used before in the site. An address with port 0 may be used any number of times.
    fn address(&mut self, key: &str, text: &Spanned<String>) -> Result<SocketAddr, Diagnostic> {
        let address: SocketAddr = text.get_ref().parse().map_err(|_| {
            self.source.diagnostic(
                &text.span(),
                key,
                &format!("{:?} is not a socket address", text.get_ref()),
                "write an IP address and a port, such as \"127.0.0.1:7100\"",
            )
        })?;
        let line = self.source.text()[..text.span().start].matches('\n').count() + 1;
        match self.addresses.get(&address) {
            Some(first) if address.port() != 0 => Err(self.source.diagnostic(
                &text.span(),
                key,
                &format!("{address} is used twice, first on line {first}"),
                "use a different address for each process",
            )),
            _ => {
                self.addresses.insert(address, line);
                Ok(address)
            }
        }
    }

    /// Parses the duration at `key`; fails if it is invalid.
    fn duration(&self, key: &str, text: &Spanned<String>) -> Result<Duration, Diagnostic> {
        humantime::parse_duration(text.get_ref()).map_err(|error| {
            self.source.diagnostic(
                &text.span(),
                key,
                &format!("{:?} is not a duration ({error})", text.get_ref()),
                "write a duration with its unit, such as \"500us\" or \"3ms\"",
            )
        })
    }

    /// Returns the number at `key`; fails if it is 0.
    fn positive(&self, key: &str, number: &Spanned<u32>) -> Result<u32, Diagnostic> {
        match *number.get_ref() {
            0 => Err(self.source.diagnostic(&number.span(), key, "is 0", "write at least 1")),
            number => Ok(number),
        }
    }
}
