//! Applies changed configuration files while the node runs.
//!
//! The files are applied completely or not at all. A reload changes the addresses of backends and services,
//! the settings, and the membership configuration of the fleet if it is newer. Everything else in the files
//! takes effect at a restart or an upgrade.

use oakwind_fleet::replica_node::Event;
use oakwind_settings::{NamedSettings, SettingsError};
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};

use crate::class_registry::ClassRegistry;
use crate::config::{ConfigError, ConfigFiles, Configuration, FleetConfig, NodeConfig, UpstreamAddresses};
use crate::decision_log::settings_digest;
use crate::exchange::{Exchange, NodeStatus};
use crate::{clock, log};

/// Why changed files were not applied.
#[derive(Debug, Error)]
enum ReloadError {
    /// A file can't be read, or the configuration is not valid.
    #[error("{0}")]
    Config(ConfigError),
    /// A backend or service was added or removed, or its protocol changed.
    #[error("{0}: adding, removing or replacing this backend or service needs a restart")]
    UpstreamKindChanged(&'static str),
    /// A key of the previous configuration is missing: the file may be incomplete.
    #[error("{0}: missing, but present in the previous configuration")]
    KeyMissing(String),
    /// The settings can't replace the ones in force.
    #[error("{0}")]
    Settings(SettingsError),
}

/// The cause of a reload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    /// The process received SIGHUP.
    Signal,
    /// The predecessor has ended. A SIGHUP that was meant for the node may have reached only the predecessor.
    PredecessorEnded,
}

/// A checked configuration that can be applied.
struct Candidate {
    config: NodeConfig,
    /// The settings, merged with the ones in force.
    settings: NamedSettings,
    fleet: Option<FleetConfig>,
}

/// Reads the files again at each SIGHUP and publishes what has changed.
pub(super) struct Reloader<'a> {
    pub(super) files: &'a ConfigFiles,
    pub(super) hangup: Signal,
    pub(super) exchange: &'a Exchange,
    pub(super) registry: &'a ClassRegistry,
    /// The configuration that the process started with.
    pub(super) initial: &'a NodeConfig,
    /// The configuration that was applied last; none before the first reload.
    pub(super) applied: Option<NodeConfig>,
    pub(super) upstream_addresses: watch::Sender<UpstreamAddresses>,
    /// The channel for events of the fleet; none if the node is not a member of one.
    pub(super) fleet_events: Option<mpsc::Sender<Event>>,
}

impl Reloader<'_> {
    /// Reloads the files at each trigger. Never returns.
    pub(super) async fn run(mut self) {
        let mut status = self.exchange.status();
        let mut awaits_predecessor = status.borrow().predecessor_alive;
        loop {
            let trigger = next_trigger(&mut self.hangup, &mut status, &mut awaits_predecessor).await;
            let candidate = self.read();
            if trigger == Trigger::Signal {
                self.exchange.metrics().configuration_reloaded(candidate.is_ok());
            }
            match candidate {
                Ok(candidate) => self.apply(candidate, trigger).await,
                Err(error) => log!("reload: rejected: error={error}"),
            }
        }
    }

    /// Reads the files and checks that they can replace the ones in force.
    fn read(&self) -> Result<Candidate, ReloadError> {
        let current = self.applied.as_ref().unwrap_or(self.initial);
        let Configuration { node: config, fleet, .. } = self.files.load().map_err(ReloadError::Config)?;
        if let Some(key) = config.upstreams.first_incompatible_key(&current.upstreams) {
            return Err(ReloadError::UpstreamKindChanged(key));
        }
        if let Some(key) = config.first_missing_key(current) {
            return Err(ReloadError::KeyMissing(key));
        }
        let settings = self.registry.settings().reloaded_with(config.settings.clone());
        Ok(Candidate { settings: settings.map_err(ReloadError::Settings)?, config, fleet })
    }

    async fn apply(&mut self, candidate: Candidate, trigger: Trigger) {
        let Candidate { config, settings, fleet } = candidate;
        let addresses_changed = self.upstream_addresses.send_if_modified(|addresses| {
            std::mem::replace(addresses, config.upstreams.clone()) != config.upstreams
        });
        let settings_changed = settings != self.registry.settings();
        if settings_changed {
            // The dispatcher must know a class before a frontend accepts a request of that class.
            let digest = settings_digest(&config.json["settings"]);
            self.exchange.reconfigure(settings.clone(), digest).await;
            self.registry.replace_settings(settings, clock::now());
        }
        self.applied = Some(config);
        if let Some(fleet) = fleet {
            self.propose_membership(fleet);
        }
        if trigger == Trigger::Signal || addresses_changed || settings_changed {
            log!(
                "reload: applied: addresses={} settings={}",
                changed(addresses_changed),
                changed(settings_changed)
            );
        }
    }

    /// Sends the membership configuration to the fleet's task, which accepts it if its version is newer.
    fn propose_membership(&self, fleet: FleetConfig) {
        let Some(events) = &self.fleet_events else { return };
        if events.try_send(Event::ConfigProposed(fleet.membership)).is_err() {
            log!("reload: membership configuration not applied, the fleet's queue is full");
        }
    }
}

/// Waits for the next cause of a reload.
async fn next_trigger(
    hangup: &mut Signal,
    status: &mut watch::Receiver<NodeStatus>,
    awaits_predecessor: &mut bool,
) -> Trigger {
    tokio::select! {
        received = hangup.recv() => match received {
            Some(()) => Trigger::Signal,
            None => std::future::pending().await,
        },
        _ = status.wait_for(|status| !status.predecessor_alive), if *awaits_predecessor => {
            *awaits_predecessor = false;
            Trigger::PredecessorEnded
        }
    }
}

fn changed(changed: bool) -> &'static str {
    if changed {
        "changed"
    } else {
        "unchanged"
    }
}
