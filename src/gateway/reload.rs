//! Reloads settings while the process runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::gateway::daemon::Gateway;
use crate::gateway::settings::GatewaySettings;
use crate::timer::TimerService;

/// Interval at which the file is checked: it may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Watches the settings file until the process ends; each message requests an immediate
/// reload.
pub async fn run(gateway: Rc<Gateway>, path: String, mut asked: mpsc::UnboundedReceiver<()>) {
    let timer = TimerService::start();
    let mut ticks = timer.every(LOOK_EVERY);
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let by_signal = tokio::select! {
            _ = ticks.next() => false,
            signal = asked.recv() => signal.is_some(),
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(path = path.as_str(); "settings file cannot be read ({error}); keeping the current settings");
                continue;
            }
        };
        if text == known && !by_signal {
            continue;
        }
        known = text;
        gateway.take_settings(&known);
    }
}

impl Gateway {
    /// Applies settings that may change while the process runs. Invalid settings and
    /// changes that require a restart are logged and ignored.
    pub fn take_settings(&self, text: &str) {
        let fresh = match GatewaySettings::parse(text) {
            Ok(fresh) => fresh,
            Err(fault) => {
                log::error!("settings rejected, keeping the current ones: {fault}");
                return;
            }
        };
        let before = self.settings();
        if !fresh.same_place(&before) {
            log::warn!(
                "changed settings ignored: a daemon's name, addresses and store change only with a restart"
            );
            return;
        }
        let changed = fresh != *before;
        self.budget.borrow_mut().set_rule(fresh.budget_rule());
        self.set_settings(fresh);
        log::info!(changed = changed; "settings read again");
    }
}
