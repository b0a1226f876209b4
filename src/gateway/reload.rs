//! Reloads settings while the process runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::settings::GatewaySettings;
use crate::timer::TimerService;

/// Interval at which the file is checked: it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file until the process ends; each message requests an immediate
/// reload.
pub async fn run(
    gateway: Rc<Gateway>,
    path: String,
    mut reload_requests: mpsc::UnboundedReceiver<()>,
) {
    let timer = TimerService::start();
    let mut ticks = timer.every(CHECK_INTERVAL);
    let mut current_text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let is_requested = tokio::select! {
            _ = ticks.next() => false,
            signal = reload_requests.recv() => signal.is_some(),
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(path = path.as_str(); "settings file cannot be read ({error}); keeping the current settings");
                continue;
            }
        };
        if text == current_text && !is_requested {
            continue;
        }
        current_text = text;
        gateway.apply_settings(&current_text);
    }
}

impl Gateway {
    /// Applies settings that may change while the process runs. Invalid settings and
    /// changes that require a restart are logged and ignored.
    pub fn apply_settings(&self, text: &str) {
        let updated = match GatewaySettings::parse(text) {
            Ok(updated) => updated,
            Err(error) => {
                log::error!("settings rejected, keeping the current ones: {error}");
                return;
            }
        };
        let current = self.settings();
        if !updated.same_identity(&current) {
            log::warn!(
                "changed settings ignored: a daemon's name, addresses and store change only with a restart; restart the daemon to apply them"
            );
            return;
        }
        let changed = updated != *current;
        let mut budget = self.budget.borrow_mut();
        budget.set_rule(updated.budget_rule(), clock::mono_now());
        drop(budget);
        self.set_settings(updated);
        log::info!(changed = changed; "settings read again");
    }
}
