//! The table of settings fields: kind, range, unit and remedy of each.

/// What a field may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// IP number and port.
    Address,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// An object with fields of its own.
    Group,
    /// A list of SHA-256 hashes in hexadecimal.
    HashList,
    /// Letters, digits, `.`, `_` and `-`.
    Name,
    /// A number with a fraction.
    Number(f64, f64),
    /// A group that may be left out or `null`.
    OptionalGroup,
    /// Text that begins and holds as PEM; never shown.
    Pem(&'static str),
    /// A secret that may be empty; never shown.
    Secret,
    /// At least one secret; never shown.
    SecretList,
    /// True or false.
    Switch,
    /// `http://` or `https://`, host and port.
    Url,
    /// A whole number.
    Whole(u64, u64),
}

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FieldRule {
    /// Place in the document, for example `platform.call_ms`.
    pub path: &'static str,
    /// What it may hold.
    pub kind: FieldKind,
    /// Whether it must be given.
    pub required: bool,
    /// Unit of the value; empty where none applies.
    pub unit: &'static str,
    /// What to do about a bad value.
    pub remedy: &'static str,
}

const fn required(path: &'static str, kind: FieldKind, remedy: &'static str) -> FieldRule {
    FieldRule {
        path,
        kind,
        required: true,
        unit: "",
        remedy,
    }
}

const fn optional(path: &'static str, kind: FieldKind, remedy: &'static str) -> FieldRule {
    FieldRule {
        path,
        kind,
        required: false,
        unit: "",
        remedy,
    }
}

const fn whole(
    path: &'static str,
    least: u64,
    most: u64,
    unit: &'static str,
    remedy: &'static str,
) -> FieldRule {
    FieldRule {
        path,
        kind: FieldKind::Whole(least, most),
        required: false,
        unit,
        remedy,
    }
}

const fn speed(path: &'static str, least: f64, most: f64) -> FieldRule {
    let remedy = "give a first guess from one engine's measurements; it is corrected while serving";
    optional(path, FieldKind::Number(least, most), remedy)
}

/// Remedy for something other than an object in a group's place.
pub const GROUP_REMEDY: &str = "give an object with the fields of docs/SETTINGS.md";
const LISTEN_REMEDY: &str = "give the instance's own IP number and a port, such as 127.0.0.1:0";
const NAME_REMEDY: &str = "give a name that is unique in the deployment";
const SWITCH_REMEDY: &str = "write true or false without quotes";
const SIZE_REMEDY: &str = "start from the default of docs/SETTINGS.md";
const WAIT_REMEDY: &str = "give the time in milliseconds, as a number without quotes";

/// Every field, in the order of the document.
pub const FIELD_RULES: &[FieldRule] = &[
    required("daemon_id", FieldKind::Name, NAME_REMEDY),
    required(
        "data_centre",
        FieldKind::Name,
        "give the name of the data centre that the instance list uses",
    ),
    required("listen", FieldKind::Group, GROUP_REMEDY),
    required("listen.rpc", FieldKind::Address, LISTEN_REMEDY),
    required("listen.admin", FieldKind::Address, LISTEN_REMEDY),
    required("listen.peer", FieldKind::Address, LISTEN_REMEDY),
    optional("listen.tls", FieldKind::OptionalGroup, GROUP_REMEDY),
    required(
        "listen.tls.certificate_pem",
        FieldKind::Pem("-----BEGIN CERTIFICATE-----"),
        "paste the certificate chain as PEM, line ends written as \\n",
    ),
    required(
        "listen.tls.key_pem",
        FieldKind::Pem("PRIVATE KEY-----"),
        "paste the private key as PEM, line ends written as \\n",
    ),
    required("platform", FieldKind::Group, GROUP_REMEDY),
    required(
        "platform.address",
        FieldKind::Url,
        "give the platform's base address, such as http://127.0.0.1:7000",
    ),
    whole("platform.call_ms", 10, 60_000, "ms", WAIT_REMEDY),
    whole("platform.watch_ms", 100, 300_000, "ms", WAIT_REMEDY),
    whole("platform.instances_ms", 50, 60_000, "ms", WAIT_REMEDY),
    optional("peers", FieldKind::Group, GROUP_REMEDY),
    optional(
        "peers.secret",
        FieldKind::Secret,
        "give the same random text on every daemon, or leave it empty to close the peer port",
    ),
    whole("peers.hint_ms", 10, 60_000, "ms", WAIT_REMEDY),
    whole("peers.silence_ms", 50, 600_000, "ms", WAIT_REMEDY),
    whole("peers.watchers", 1, 16, "daemons", SIZE_REMEDY),
    required("access", FieldKind::Group, GROUP_REMEDY),
    required(
        "access.operator_key_hashes",
        FieldKind::HashList,
        "make a key with `pistachiowick key` and give the hash it prints",
    ),
    required(
        "access.token_secrets",
        FieldKind::SecretList,
        "give the same random texts on every daemon; the first signs, all verify",
    ),
    optional("limits", FieldKind::Group, GROUP_REMEDY),
    whole(
        "limits.message_bytes",
        1_024,
        64 << 20,
        "bytes",
        SIZE_REMEDY,
    ),
    whole(
        "limits.streams_per_connection",
        1,
        65_536,
        "streams",
        SIZE_REMEDY,
    ),
    whole("limits.queue_length", 1, 1_000_000, "requests", SIZE_REMEDY),
    whole(
        "limits.queue_per_workspace",
        1,
        1_000_000,
        "requests",
        SIZE_REMEDY,
    ),
    whole(
        "limits.longest_deadline_ms",
        1,
        7 * 24 * 3_600 * 1_000,
        "ms",
        WAIT_REMEDY,
    ),
    whole("limits.header_ms", 100, 120_000, "ms", WAIT_REMEDY),
    optional("intents", FieldKind::Group, GROUP_REMEDY),
    whole("intents.shards", 1, 1_024, "objects", SIZE_REMEDY),
    whole("intents.retention_ms", 100, 86_400_000, "ms", WAIT_REMEDY),
    whole("intents.clock_skew_ms", 0, 60_000, "ms", WAIT_REMEDY),
    whole("intents.commit_ms", 0, 10_000, "ms", WAIT_REMEDY),
    whole("intents.result_bytes", 0, 65_536, "bytes", SIZE_REMEDY),
    whole(
        "intents.shard_bytes",
        4_096,
        999_999,
        "bytes",
        "stay under the megabyte that the platform holds in one value",
    ),
    optional("leases", FieldKind::Group, GROUP_REMEDY),
    whole("leases.duration_ms", 100, 600_000, "ms", WAIT_REMEDY),
    whole("leases.guard_ms", 1, 300_000, "ms", WAIT_REMEDY),
    whole("leases.order_flight_ms", 1, 300_000, "ms", WAIT_REMEDY),
    whole("leases.group_engines", 1, 4_096, "engines", SIZE_REMEDY),
    optional("policy", FieldKind::Group, GROUP_REMEDY),
    optional(
        "policy.placement",
        FieldKind::Choice(&["estimate", "least_in_flight", "round_robin"]),
        "use estimate; the others are baselines for comparison",
    ),
    optional(
        "policy.roles",
        FieldKind::Choice(&["fixed", "follow_mix", "forecast"]),
        "use forecast; the others are baselines for comparison",
    ),
    optional(
        "policy.role_change_price",
        FieldKind::Number(0.0, 1_000.0),
        "use 1 to weigh goodput alone and more to avoid role changes",
    ),
    whole("policy.role_change_ms", 0, 600_000, "ms", WAIT_REMEDY),
    whole("policy.role_horizon_ms", 1, 86_400_000, "ms", WAIT_REMEDY),
    whole(
        "policy.role_changes_at_once",
        0,
        1_000,
        "engines",
        SIZE_REMEDY,
    ),
    optional("policy.refuse_early", FieldKind::Switch, SWITCH_REMEDY),
    optional("policy.admission", FieldKind::Switch, SWITCH_REMEDY),
    optional("policy.fair_shares", FieldKind::Switch, SWITCH_REMEDY),
    optional(
        "policy.retry_share",
        FieldKind::Number(0.0, 1.0),
        "give the share of retries to first attempts, such as 0.1",
    ),
    whole(
        "policy.engine_in_flight",
        1,
        65_536,
        "requests",
        SIZE_REMEDY,
    ),
    whole("policy.service_in_flight", 1, 65_536, "calls", SIZE_REMEDY),
    optional("policy.speeds", FieldKind::Group, GROUP_REMEDY),
    speed("policy.speeds.prefill_tokens_per_s", 1.0, 10_000_000.0),
    speed("policy.speeds.token_base_ms", 0.001, 10_000.0),
    speed("policy.speeds.token_per_stream_ms", 0.0, 10_000.0),
    speed("policy.speeds.prefill_step_ms", 0.0, 10_000.0),
    speed("policy.speeds.prefill_role_prefill", 0.01, 100.0),
    speed("policy.speeds.prefill_role_decode", 0.01, 100.0),
    speed("policy.speeds.decode_role_prefill", 0.01, 100.0),
    speed("policy.speeds.decode_role_decode", 0.01, 100.0),
    optional("shutdown", FieldKind::Group, GROUP_REMEDY),
    whole("shutdown.keep_ms", 0, 600_000, "ms", WAIT_REMEDY),
    whole("shutdown.finish_ms", 0, 86_400_000, "ms", WAIT_REMEDY),
    optional("logs", FieldKind::Group, GROUP_REMEDY),
    optional(
        "logs.format",
        FieldKind::Choice(&["json", "text"]),
        "use json for programs and text for people",
    ),
    optional(
        "logs.level",
        FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "use info unless a fault is being looked for",
    ),
    optional("metrics", FieldKind::Group, GROUP_REMEDY),
    whole("metrics.tracked_pairs", 0, 10_000, "pairs", SIZE_REMEDY),
];
