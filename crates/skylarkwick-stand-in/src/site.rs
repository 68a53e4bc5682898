//! The stand-ins of a whole site.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use skylarkwick_connection::platform::{HostRecord, Liveness};
use skylarkwick_process::{duty::StopSignal, settings::site};
use skylarkwick_version::name;

use crate::{ledger::Ledger, platform::Platform, relay::Relay, worker::Worker};

/// Which addresses the stand-ins listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Addresses {
    /// Those of the site's settings.
    Settings,
    /// Free ones, so that runs do not collide.
    Free,
}

/// A running site of stand-ins.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: Platform,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// The workers.
    pub workers: BTreeMap<name::Host, Worker>,
    /// The relays before the workers, where the site was started with them.
    pub relays: BTreeMap<name::Host, Relay>,
    /// What really ran.
    pub ledger: Ledger,
    stop: StopSignal,
}

/// How the stand-ins of a site are started.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Which addresses they listen on.
    pub addresses: Addresses,
    /// How long a worker takes to reboot.
    pub reboot_time: Duration,
    /// Whether a relay stands before each worker.
    pub has_relays: bool,
}

impl Site {
    /// Starts the platform and every worker of a site.
    ///
    /// # Errors
    ///
    /// Returns the system's error when an address can't be listened on.
    pub fn start(settings: &site::Settings, plan: Plan) -> io::Result<Site> {
        let stop = StopSignal::default();
        let choose = |address: SocketAddr| match plan.addresses {
            Addresses::Settings => address,
            Addresses::Free => SocketAddr::new(address.ip(), 0),
        };
        let platform = Platform::default();
        let (platform_address, _) = platform.listen(choose(settings.platform), stop.clone())?;
        let ledger = Ledger::default();
        let mut workers = BTreeMap::new();
        let mut relays = BTreeMap::new();
        for (host, worker) in &settings.workers {
            let stand_in = Worker::new(
                host.clone(),
                settings.slots_per_worker,
                plan.reboot_time,
                ledger.clone(),
            );
            let (mut address, _) = stand_in.listen(choose(worker.address), stop.clone())?;
            if plan.has_relays {
                let relay = Relay::start(Duration::ZERO, stop.clone())?;
                relay.set_target(address);
                address = relay.address;
                relays.insert(host.clone(), relay);
            }
            platform.list(HostRecord {
                host: host.clone(),
                data_centre: worker.data_centre.clone(),
                rack: worker.rack.clone(),
                address,
                liveness: Liveness::Live,
                resources: settings.worker_resources,
                slots: settings.slots_per_worker,
            });
            workers.insert(host.clone(), stand_in);
        }
        Ok(Site { platform, platform_address, workers, relays, ledger, stop })
    }

    /// Stops every stand-in.
    pub fn stop(&self) {
        self.stop.request();
    }
}
