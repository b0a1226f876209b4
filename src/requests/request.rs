//! A caller's request after validation: workspace, work and deadline.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::admission;
use crate::clock;
use crate::config::catalogue::{ClassSpec, ClassTarget};
use crate::control::snapshot::{ConfigView, ControlSnapshot};
use crate::decide::placement::{PlacementNeed, PoolKey};
use crate::decide::scheduler::JobSpec;
use crate::intents::IntentKey;
use crate::names::{
    ClassName, ModelName, MonoTime, RequestId, RequestKey, UnixTime, WorkspaceName,
};
use crate::pb;
use crate::settings::LimitSettings;

/// Longest request key.
const MAX_REQUEST_KEY_BYTES: usize = 200;
/// Largest number of output tokens of one request.
const MAX_OUTPUT_TOKENS: u32 = 1 << 20;

/// A validated request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identity assigned by this daemon.
    pub id: RequestId,
    /// Class of the work.
    pub class: Arc<ClassSpec>,
    /// Weight of the workspace, corrected by the share it received across the fleet.
    pub weight: f64,
    /// Ratio of the workspace's due share to the share it received; below 1 if it received
    /// more than its due.
    pub share_factor: f64,
    /// Pool of targets that can serve it.
    pub pool: PoolKey,
    /// Allowed model versions.
    pub versions: Vec<String>,
    /// Deadline for the complete answer, on this daemon's monotonic clock.
    pub deadline: MonoTime,
    /// The same on the wall clock, for tokens.
    pub deadline_unix: UnixTime,
    /// When it arrived.
    pub arrived: MonoTime,
    /// Identity of a non-repeatable request; `None` for any other.
    pub intent: Option<IntentKey>,
    /// The submitted message.
    pub submit: pb::SubmitRequest,
}

/// Why a message is not a valid request; nothing was run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The class is not configured.
    #[error(
        "class {class:?} is not configured for workspace {workspace}; ask an operator or name another class"
    )]
    UnknownClass {
        /// Requested class.
        class: String,
        /// Workspace of the caller.
        workspace: WorkspaceName,
    },
    /// A field has a value outside its range.
    #[error("{field} is {found}; {remedy}")]
    Field {
        /// Field of the message.
        field: &'static str,
        /// Value found.
        found: String,
        /// What to send instead.
        remedy: String,
    },
}

fn invalid_field(
    field: &'static str,
    found: &dyn ToString,
    remedy: impl Into<String>,
) -> RequestError {
    RequestError::Field {
        field,
        found: found.to_string(),
        remedy: remedy.into(),
    }
}

impl CallerRequest {
    /// Validates a message against the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field and the remedy; nothing was run.
    pub fn check(
        id: RequestId,
        workspace: &WorkspaceName,
        submit: pb::SubmitRequest,
        snapshot: &ControlSnapshot,
        limits: &LimitSettings,
    ) -> Result<Self, RequestError> {
        let config = &snapshot.config;
        let class = find_class(workspace, &submit.class, config)?;
        let configured = config.workspaces.get(workspace).map_or(1, |w| w.weight);
        let share_factor = snapshot.shares.factor(workspace);
        let weight = f64::from(configured) * share_factor;
        let (pool, versions) = choose_pool(&class, &submit)?;
        check_sizes(&submit, &class)?;
        let timeout = request_timeout(&submit, &class, limits)?;
        let intent = intent_key(workspace, &class, &submit)?;
        let arrived = clock::mono_now();
        Ok(Self {
            id,
            weight,
            share_factor,
            pool,
            versions,
            deadline: arrived.plus(timeout),
            deadline_unix: clock::unix_now().plus(timeout),
            arrived,
            intent,
            submit,
            class,
        })
    }

    /// Returns the workspace of the caller.
    #[must_use]
    pub fn workspace(&self) -> &WorkspaceName {
        &self.class.workspace
    }

    /// Returns the class of the work.
    #[must_use]
    pub fn class_name(&self) -> &ClassName {
        &self.class.name
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.since(clock::mono_now())
    }

    /// Returns the job to submit to the scheduler.
    #[must_use]
    pub fn job_spec(&self) -> JobSpec {
        JobSpec {
            workspace: self.workspace().clone(),
            class: self.class_name().clone(),
            weight: self.weight,
            priority: self.class.priority,
            deadline: self.deadline,
            max_output_tokens: self.submit.max_output_tokens,
            need: PlacementNeed {
                pool: self.pool.clone(),
                versions: self.versions.clone(),
                adapter: self.submit.adapter.clone(),
                pinned: None,
                prompt_tokens: f64::from(self.submit.prompt_tokens),
                output_tokens: f64::from(self.submit.max_output_tokens),
                deadline: None,
                share_factor: self.share_factor,
                shared_prefix: self.submit.shared_prefix.clone(),
                shared_prefix_tokens: self.submit.shared_prefix_tokens,
                excluded: Vec::new(),
            },
            phase: admission::phase_of(&self.fingerprint()),
        }
    }

    /// Returns a digest of the request's content (class, model, adapter, version, prompt and
    /// output limit), which reveals a key reused for other content.
    #[must_use]
    pub fn fingerprint(&self) -> [u8; 16] {
        let submit = &self.submit;
        let mut digest = Sha256::new();
        let fields = [
            submit.class.as_bytes(),
            submit.model.as_bytes(),
            submit.adapter.as_bytes(),
            submit.version.as_bytes(),
            submit.prompt.as_slice(),
        ];
        for field in fields {
            digest.update((field.len() as u64).to_le_bytes());
            digest.update(field);
        }
        digest.update(submit.max_output_tokens.to_le_bytes());
        let full: [u8; 32] = digest.finalize().into();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&full[..16]);
        truncated
    }
}

fn find_class(
    workspace: &WorkspaceName,
    class: &str,
    config: &ConfigView,
) -> Result<Arc<ClassSpec>, RequestError> {
    let name = (workspace.clone(), ClassName::from(class));
    let found = config.classes.get(&name);
    found.cloned().ok_or_else(|| RequestError::UnknownClass {
        class: class.to_owned(),
        workspace: workspace.clone(),
    })
}

fn choose_pool(
    class: &ClassSpec,
    submit: &pb::SubmitRequest,
) -> Result<(PoolKey, Vec<String>), RequestError> {
    let choice = match &class.target {
        ClassTarget::Service(service) => {
            return Ok((PoolKey::Service(service.clone()), Vec::new()));
        }
        ClassTarget::Models(choice) => choice,
    };
    let model = if submit.model.is_empty() {
        choice.models.first().cloned()
    } else {
        let requested = ModelName::from(submit.model.as_str());
        choice.models.contains(&requested).then_some(requested)
    };
    let Some(model) = model else {
        let names: Vec<&str> = choice.models.iter().map(ModelName::as_str).collect();
        let remedy = format!("the class may use {}", names.join(", "));
        return Err(invalid_field("model", &submit.model, remedy));
    };
    if !submit.adapter.is_empty() && !choice.adapters.contains(&submit.adapter) {
        let remedy = format!("the class may use none or {}", choice.adapters.join(", "));
        return Err(invalid_field("adapter", &submit.adapter, remedy));
    }
    let versions = allowed_versions(&choice.versions, &submit.version)?;
    Ok((PoolKey::Model(model), versions))
}

fn allowed_versions(allowed: &[String], requested: &str) -> Result<Vec<String>, RequestError> {
    if requested.is_empty() {
        return Ok(allowed.to_vec());
    }
    if !allowed.is_empty() && !allowed.iter().any(|v| v == requested) {
        let remedy = format!("the class may use {}", allowed.join(", "));
        return Err(invalid_field("version", &requested, remedy));
    }
    Ok(vec![requested.to_owned()])
}

fn check_sizes(submit: &pb::SubmitRequest, class: &ClassSpec) -> Result<(), RequestError> {
    if submit.shared_prefix_tokens > submit.prompt_tokens {
        let remedy = format!("send at most prompt_tokens ({})", submit.prompt_tokens);
        return Err(invalid_field(
            "shared_prefix_tokens",
            &submit.shared_prefix_tokens,
            remedy,
        ));
    }
    if matches!(class.target, ClassTarget::Service(_)) {
        return Ok(());
    }
    if submit.prompt_tokens == 0 {
        return Err(invalid_field(
            "prompt_tokens",
            &0,
            "send the prompt's length in tokens",
        ));
    }
    if submit.max_output_tokens == 0 || submit.max_output_tokens > MAX_OUTPUT_TOKENS {
        let remedy = format!("send 1 to {MAX_OUTPUT_TOKENS}");
        return Err(invalid_field(
            "max_output_tokens",
            &submit.max_output_tokens,
            remedy,
        ));
    }
    Ok(())
}

fn request_timeout(
    submit: &pb::SubmitRequest,
    class: &ClassSpec,
    limits: &LimitSettings,
) -> Result<Duration, RequestError> {
    if submit.deadline_ms == 0 {
        return Ok(class.deadline());
    }
    if submit.deadline_ms > limits.longest_deadline_ms {
        let remedy = format!("send at most {} ms", limits.longest_deadline_ms);
        return Err(invalid_field("deadline_ms", &submit.deadline_ms, remedy));
    }
    Ok(Duration::from_millis(u64::from(submit.deadline_ms)))
}

fn intent_key(
    workspace: &WorkspaceName,
    class: &ClassSpec,
    submit: &pb::SubmitRequest,
) -> Result<Option<IntentKey>, RequestError> {
    if submit.key.len() > MAX_REQUEST_KEY_BYTES {
        let remedy = format!("send at most {MAX_REQUEST_KEY_BYTES} bytes");
        return Err(invalid_field(
            "key",
            &format!("{} bytes long", submit.key.len()),
            remedy,
        ));
    }
    if class.repeatable {
        return Ok(None);
    }
    if submit.key.is_empty() {
        let remedy = "requests of this class may not be repeated and need a key";
        return Err(invalid_field("key", &"empty", remedy));
    }
    if submit.key_minted_at_ms == 0 {
        let remedy = "send the Unix time in milliseconds at which the key was made";
        return Err(invalid_field("key_minted_at_ms", &0, remedy));
    }
    Ok(Some(IntentKey {
        workspace: workspace.clone(),
        key: RequestKey::from(submit.key.as_str()),
        minted_at: UnixTime(submit.key_minted_at_ms),
    }))
}
