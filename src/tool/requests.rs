//! Commands for callers: submit, resume, cancel, outcome and locate.

use std::io::{self, IsTerminal, Read, Write};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::client::{
    AnswerFinal, AnswerItem, AnswerOutcome, AnswerStream, ClientOptions, PistachioClient,
};
use crate::clock;
use crate::pb;
use crate::tool::flags::{STANDARD_INPUT, ToolCall, UsageError};
use crate::tool::keys::new_request_key;
use crate::tool::output::TextTable;
use crate::tool::run::{ToolError, exit_code, print_json, print_text};

/// Output tokens when the caller names no number.
const USUAL_OUTPUT_TOKENS: u32 = 256;

/// Bytes per prompt token, roughly, when the caller names no length.
const BYTES_PER_TOKEN: usize = 4;

/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Submits a request, prints its answer and returns the exit code of its outcome.
///
/// # Errors
///
/// Returns an error when the request ends without an outcome.
pub async fn submit(call: &ToolCall, options: ClientOptions) -> Result<u8, ToolError> {
    let submit = submit_message(call)?;
    let client = PistachioClient::connect(options).await?;
    let stream = client.submit(submit);
    follow(call, &client, stream).await
}

/// Continues an answer, prints the rest and returns the exit code of its outcome.
///
/// # Errors
///
/// Returns an error when the request ends without an outcome.
pub async fn resume(call: &ToolCall, options: ClientOptions) -> Result<u8, ToolError> {
    let offset = call.number("offset")?.unwrap_or(0);
    let client = PistachioClient::connect(options).await?;
    let stream = client.resume(&call.words[0], offset);
    follow(call, &client, stream).await
}

/// Stops a request.
///
/// # Errors
///
/// Returns an error when no daemon answers or the token is refused.
pub async fn cancel(call: &ToolCall, options: ClientOptions) -> Result<(), ToolError> {
    let client = PistachioClient::connect(options).await?;
    let stopped = client.cancel(&call.words[0]).await?;
    if call.has("json") {
        print_json(&json!({ "stopped": stopped }))?;
    } else if stopped {
        print_text("stopped\n")?;
    } else {
        print_text("nothing was running\n")?;
    }
    Ok(())
}

/// Reads a recorded outcome and returns its exit code.
///
/// # Errors
///
/// Returns an error when no daemon answers or the key is refused.
pub async fn outcome(call: &ToolCall, options: ClientOptions) -> Result<u8, ToolError> {
    let question = pb::OutcomeRequest {
        key: call.words[0].clone(),
        key_minted_at_ms: minted_at(&call.words[1])?,
        settle: call.has("settle"),
    };
    let client = PistachioClient::connect(options).await?;
    let reply = client.outcome(question).await?;
    let (state, code) = record_state(reply.state());
    if call.has("json") {
        let mut value = json!({
            "state": state,
            "length": reply.length,
            "retry_after_ms": reply.retry_after_ms,
        });
        add_bytes(&mut value, "result", &reply.result);
        print_json(&value)?;
    } else {
        eprintln!("{state}");
        write_bytes(&reply.result)?;
    }
    Ok(code)
}

/// Tells which addresses to use.
///
/// # Errors
///
/// Returns an error when no daemon answers or the key is refused.
pub async fn locate(call: &ToolCall, options: ClientOptions) -> Result<(), ToolError> {
    let client = PistachioClient::connect(options).await?;
    let reply = client.locate().await?;
    if call.has("json") {
        let addresses = reply.addresses.iter().map(|address| {
            json!({
                "address": address.address,
                "data_centre": address.data_centre,
                "weight": address.weight,
            })
        });
        let addresses: Vec<Value> = addresses.collect();
        print_json(&json!({ "addresses": addresses, "keep_ms": reply.keep_ms }))?;
        return Ok(());
    }
    let mut table = TextTable::new(&["ADDRESS", "CENTRE", "WEIGHT"]);
    for address in reply.addresses {
        let weight = address.weight.to_string();
        table.add(vec![address.address, address.data_centre, weight]);
    }
    print_text(&table.render())?;
    eprintln!("keep for {} ms", reply.keep_ms);
    Ok(())
}

fn submit_message(call: &ToolCall) -> Result<pb::SubmitRequest, ToolError> {
    let prompt = read_prompt(call.words.get(1).map(String::as_str))?;
    let guess = u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    let mut submit = pb::SubmitRequest {
        class: call.words[0].clone(),
        model: call.text("model").unwrap_or_default(),
        adapter: call.text("adapter").unwrap_or_default(),
        version: call.text("model-version").unwrap_or_default(),
        prompt_tokens: call.number("prompt-tokens")?.unwrap_or(guess.max(1)),
        max_output_tokens: call
            .number("max-output-tokens")?
            .unwrap_or(USUAL_OUTPUT_TOKENS),
        deadline_ms: call.number("deadline-ms")?.unwrap_or(0),
        shared_prefix: call.text("prefix").unwrap_or_default(),
        shared_prefix_tokens: call.number("prefix-tokens")?.unwrap_or(0),
        prompt,
        ..pb::SubmitRequest::default()
    };
    set_key(call, &mut submit)?;
    Ok(submit)
}

fn set_key(call: &ToolCall, submit: &mut pb::SubmitRequest) -> Result<(), ToolError> {
    match (
        call.has("once"),
        call.text("request-key"),
        call.text("minted-at"),
    ) {
        (false, None, None) => {}
        (true, None, None) => {
            submit.key = new_request_key()?;
            submit.key_minted_at_ms = clock::unix_now().0;
            submit.first_submission = true;
            // Without these two nobody could ever ask what became of the request.
            eprintln!(
                "request key {} minted at {}",
                submit.key, submit.key_minted_at_ms
            );
        }
        // A key from the command line may have been sent before: the record decides.
        (false, Some(key), Some(minted)) => {
            submit.key = key;
            submit.key_minted_at_ms = minted_at(&minted)?;
        }
        _ => {
            let text = "give --once for a new key, or --request-key with --minted-at for one \
                        used before";
            return Err(UsageError(text.to_owned()).into());
        }
    }
    Ok(())
}

fn minted_at(text: &str) -> Result<u64, UsageError> {
    text.parse().map_err(|_| {
        UsageError(format!(
            "found {text:?} as the time of the key; give the milliseconds printed by --once"
        ))
    })
}

fn read_prompt(word: Option<&str>) -> Result<Vec<u8>, ToolError> {
    match word {
        Some(text) if text != STANDARD_INPUT => Ok(text.as_bytes().to_vec()),
        _ => {
            let mut prompt = Vec::new();
            let read = io::stdin().read_to_end(&mut prompt);
            read.map_err(|error| ToolError::Input(format!("no prompt could be read ({error})")))?;
            Ok(prompt)
        }
    }
}

/// What is known of a request while its answer arrives.
struct AnswerProgress {
    started: Instant,
    shown: Option<Instant>,
    on_terminal: bool,
    as_json: bool,
    token_file: Option<String>,
    request_id: String,
    resume_token: String,
    target: String,
    bytes: u64,
    tokens: u64,
    /// Bytes kept for the JSON result.
    kept: Vec<u8>,
}

impl AnswerProgress {
    fn new(call: &ToolCall) -> Self {
        Self {
            started: Instant::now(),
            shown: None,
            on_terminal: io::stderr().is_terminal(),
            as_json: call.has("json"),
            token_file: call.text("token-file"),
            request_id: String::new(),
            resume_token: String::new(),
            target: String::new(),
            bytes: 0,
            tokens: 0,
            kept: Vec::new(),
        }
    }

    fn take_chunk(&mut self, data: Vec<u8>, tokens: u32) -> Result<(), ToolError> {
        self.bytes += data.len() as u64;
        self.tokens += u64::from(tokens);
        if self.as_json {
            self.kept.extend(data);
        } else {
            write_bytes(&data)?;
        }
        Ok(())
    }

    fn take_token(&mut self, resume_token: String) -> Result<(), ToolError> {
        self.resume_token = resume_token;
        let Some(file) = &self.token_file else {
            return Ok(());
        };
        std::fs::write(file, &self.resume_token).map_err(|error| {
            ToolError::Input(format!(
                "{file:?} cannot be written ({error}); name another --token-file"
            ))
        })
    }

    /// Shows a line that overwrites the last one, on terminals only.
    fn show(&mut self) {
        let due = self
            .shown
            .is_none_or(|shown| shown.elapsed() >= PROGRESS_INTERVAL);
        if !self.on_terminal || !due {
            return;
        }
        self.shown = Some(Instant::now());
        let seconds = self.started.elapsed().as_secs_f64();
        let target = if self.target.is_empty() {
            "waiting"
        } else {
            &self.target
        };
        eprint!(
            "\r\x1b[K{target}: {} tokens, {} bytes, {seconds:.1} s",
            self.tokens, self.bytes
        );
    }

    fn clear(&self) {
        if self.shown.is_some() {
            eprint!("\r\x1b[K");
        }
    }
}

async fn follow(
    call: &ToolCall,
    client: &PistachioClient,
    mut stream: AnswerStream,
) -> Result<u8, ToolError> {
    let mut progress = AnswerProgress::new(call);
    let mut interrupted = false;
    loop {
        let item = tokio::select! {
            item = stream.next() => item,
            // The first interrupt cancels and waits for the truth; the next one ends the tool.
            _ = tokio::signal::ctrl_c(), if !interrupted => {
                interrupted = true;
                stop(client, &progress).await?;
                continue;
            }
        };
        let item = item.transpose().inspect_err(|_| progress.clear())?;
        match item {
            Some(AnswerItem::Accepted {
                request_id,
                resume_token,
                target,
            }) => {
                progress.request_id = request_id;
                progress.target = target;
                progress.take_token(resume_token)?;
            }
            Some(AnswerItem::Chunk { data, tokens, .. }) => progress.take_chunk(data, tokens)?,
            Some(AnswerItem::Final(end)) => return conclude(&progress, &end),
            None => return Ok(exit_code::UNKNOWN),
        }
        progress.show();
    }
}

async fn stop(client: &PistachioClient, progress: &AnswerProgress) -> Result<(), ToolError> {
    progress.clear();
    eprintln!("cancelling; interrupt again to leave at once");
    tokio::spawn(async {
        if tokio::signal::ctrl_c().await.is_ok() {
            std::process::exit(i32::from(exit_code::UNKNOWN));
        }
    });
    if !progress.resume_token.is_empty() {
        client.cancel(&progress.resume_token).await?;
    }
    Ok(())
}

fn conclude(progress: &AnswerProgress, end: &AnswerFinal) -> Result<u8, ToolError> {
    progress.clear();
    if progress.as_json {
        print_json(&final_json(progress, end))?;
    } else if end.outcome != AnswerOutcome::Answered {
        eprintln!("{}", final_text(end));
    }
    Ok(outcome_code(end.outcome))
}

fn final_json(progress: &AnswerProgress, end: &AnswerFinal) -> Value {
    let mut value = json!({
        "outcome": end.outcome.as_str(),
        "length": end.length,
        "reason": end.reason,
        "retry_after_ms": end.retry_after.map(crate::names::millis),
        "request_id": progress.request_id,
        "target": progress.target,
        "tokens": progress.tokens,
        "resumes": end.resumes,
        "resubmissions": end.resubmissions,
    });
    add_bytes(&mut value, "answer", &progress.kept);
    value
}

fn final_text(end: &AnswerFinal) -> String {
    let what = match end.outcome {
        AnswerOutcome::Answered => "answered",
        AnswerOutcome::Cancelled => "cancelled",
        AnswerOutcome::Expired => "expired",
        AnswerOutcome::RefusedNotRun => "refused, has not run",
        AnswerOutcome::Unknown => "unknown whether it ran",
    };
    let reason = match end.reason.as_str() {
        "" => String::new(),
        reason => format!(": {reason}"),
    };
    let later = match end.retry_after {
        None => String::new(),
        Some(wait) => format!("; come back in {}", humantime::format_duration(wait)),
    };
    format!("{what}{reason}{later}")
}

fn outcome_code(outcome: AnswerOutcome) -> u8 {
    match outcome {
        AnswerOutcome::Answered => exit_code::OK,
        AnswerOutcome::Cancelled => exit_code::CANCELLED,
        AnswerOutcome::Expired => exit_code::EXPIRED,
        AnswerOutcome::RefusedNotRun => exit_code::NOT_RUN,
        AnswerOutcome::Unknown => exit_code::UNKNOWN,
    }
}

fn record_state(state: pb::RecordState) -> (&'static str, u8) {
    match state {
        pb::RecordState::Absent => ("absent: has not run, key still open", exit_code::NOT_RUN),
        pb::RecordState::Answered => ("answered", exit_code::OK),
        pb::RecordState::Intended => ("intended: may be running", exit_code::UNKNOWN),
        pb::RecordState::NotRun => ("not run, for good", exit_code::NOT_RUN),
        pb::RecordState::Unknown | pb::RecordState::Unspecified => {
            ("unknown whether it ran", exit_code::UNKNOWN)
        }
    }
}

/// Adds bytes as text where they are text, else in base 64 under a name that says so.
fn add_bytes(value: &mut Value, name: &str, bytes: &[u8]) {
    match std::str::from_utf8(bytes) {
        Ok(text) => value[name] = Value::from(text),
        Err(_) => value[format!("{name}_base64")] = Value::from(STANDARD.encode(bytes)),
    }
}

fn write_bytes(bytes: &[u8]) -> io::Result<()> {
    let mut output = io::stdout().lock();
    output.write_all(bytes)?;
    output.flush()
}
