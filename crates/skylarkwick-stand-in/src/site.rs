//! A fake platform and the fake workers of a whole site.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use skylarkwick_connection::platform::{HostRecord, Liveness};
use skylarkwick_process::{duty::StopSignal, settings::site};
use skylarkwick_version::name;

use crate::{ledger::Ledger, platform::Platform, relay::Relay, worker::Worker};

/// Which addresses the platform and the workers listen on: those in the settings, or
/// free ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Addresses {
    /// The addresses in the site's settings.
    Configured,
    /// Ports that the system chooses, so that concurrent processes do not collide.
    Ephemeral,
}

/// The running platform and workers of a site, the relays in front of the workers, and
/// the ledger of their runs.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: Platform,
    /// The address that the platform listens on.
    pub platform_address: SocketAddr,
    /// The workers by host.
    pub workers: BTreeMap<name::Host, Worker>,
    /// The relays in front of the workers; empty without [`StartOptions::has_relays`].
    pub relays: BTreeMap<name::Host, Relay>,
    /// The runs that the workers executed.
    pub ledger: Ledger,
    stop: StopSignal,
}

/// Options for [`Site::start`]: addresses, reboot time and relays.
#[derive(Clone, Copy, Debug)]
pub struct StartOptions {
    /// Which addresses the platform and the workers listen on.
    pub addresses: Addresses,
    /// Simulated reboot time of a worker.
    pub reboot_time: Duration,
    /// Whether a relay is placed in front of each worker.
    pub has_relays: bool,
}

impl Site {
    /// Starts the platform and every worker of a site, and lists the workers' hosts on
    /// the platform as live.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when an address can't be bound or a thread can't be
    /// started.
    pub fn start(settings: &site::Settings, options: StartOptions) -> io::Result<Site> {
        let stop = StopSignal::default();
        let bind_address = |address: SocketAddr| match options.addresses {
            Addresses::Configured => address,
            Addresses::Ephemeral => SocketAddr::new(address.ip(), 0),
        };
        let platform = Platform::default();
        let (platform_address, _) =
            platform.listen(bind_address(settings.platform), stop.clone())?;
        let ledger = Ledger::default();
        let mut workers = BTreeMap::new();
        let mut relays = BTreeMap::new();
        for (host, worker) in &settings.workers {
            let fake = Worker::new(
                host.clone(),
                settings.slots_per_worker,
                options.reboot_time,
                ledger.clone(),
            );
            let (mut address, _) = fake.listen(bind_address(worker.address), stop.clone())?;
            if options.has_relays {
                let relay = Relay::start(Duration::ZERO, stop.clone())?;
                relay.set_target(address);
                address = relay.address;
                relays.insert(host.clone(), relay);
            }
            platform.set_host(HostRecord {
                host: host.clone(),
                data_centre: worker.data_centre.clone(),
                rack: worker.rack.clone(),
                address,
                liveness: Liveness::Live,
                resources: settings.worker_resources,
                slots: settings.slots_per_worker,
            });
            workers.insert(host.clone(), fake);
        }
        Ok(Site { platform, platform_address, workers, relays, ledger, stop })
    }

    /// Asks the platform, the workers and the relays to stop, and does not wait for
    /// them.
    pub fn stop(&self) {
        self.stop.request();
    }
}
