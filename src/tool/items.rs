//! Commands for operators on workspaces, classes and models.

use serde::de::DeserializeOwned;
use serde_json::json;

use crate::client::ClientOptions;
use crate::client::operator::OperatorClient;
use crate::config::catalogue::{ClassSpec, ItemSpec, ModelSpec, WorkspaceSpec};
use crate::pb;
use crate::tool::flags::{STANDARD_INPUT, ToolCall, UsageError};
use crate::tool::output::{TextTable, inner_json, item_json, item_summary};
use crate::tool::run::{ToolError, print_json, print_text, read_file};

/// Runs `list`, `show`, `create`, `change` or `delete` on one kind of item.
///
/// # Errors
///
/// Returns the daemon's refusal, or what is wrong with the input.
pub async fn run(call: &ToolCall, options: &ClientOptions) -> Result<(), ToolError> {
    let kind = item_kind(call.command.name)?;
    let word = call.words.get(1).map(String::as_str);
    match (call.words[0].as_str(), word) {
        ("list", None) => list(call, options, kind).await,
        ("show", Some(name)) => show(call, options, kind, name).await,
        ("create", file) => {
            let item = read_item(kind, file)?;
            let client = OperatorClient::connect(options).await?;
            print_change(call, &client.create(item).await?)
        }
        ("change", file) => {
            let based_on = based_on(call)?;
            let item = read_item(kind, file)?;
            let client = OperatorClient::connect(options).await?;
            print_change(call, &client.change(item, based_on).await?)
        }
        ("delete", Some(name)) => {
            let based_on = based_on(call)?;
            let client = OperatorClient::connect(options).await?;
            print_change(call, &client.delete(kind, name, based_on).await?)
        }
        _ => Err(UsageError(format!(
            "the usage is: pistachiowick {} {}",
            call.command.name, call.command.words
        ))
        .into()),
    }
}

/// Prints the items of a kind and each change until interrupted.
///
/// # Errors
///
/// Returns the daemon's refusal, or the loss of the connection.
pub async fn watch(call: &ToolCall, options: &ClientOptions) -> Result<(), ToolError> {
    let kind = item_kind(&call.words[0])?;
    let client = OperatorClient::connect(options).await?;
    let mut items = client.watch(kind).await?;
    while let Some(item) = items.next().await? {
        let spec = item_spec(&item);
        if call.has("json") {
            print_json(&item_json(&item, spec.as_ref()))?;
            continue;
        }
        let what = spec.as_ref().map_or("deleted".to_owned(), item_summary);
        print_text(&format!("{} r{}: {what}\n", item.name, item.revision))?;
    }
    Ok(())
}

/// Prints what a change brought about.
///
/// # Errors
///
/// Returns an error when the result cannot be printed.
pub fn print_change(call: &ToolCall, reply: &pb::ChangeReply) -> Result<(), ToolError> {
    if call.has("json") {
        print_json(&json!({
            "revision": reply.revision,
            "confirmed": reply.confirmed,
            "unconfirmed": reply.unconfirmed,
        }))?;
        return Ok(());
    }
    print_text(&format!(
        "revision {}, in force on {} daemons\n",
        reply.revision, reply.confirmed
    ))?;
    if !reply.unconfirmed.is_empty() {
        eprintln!("not yet confirmed by {}", reply.unconfirmed.join(", "));
    }
    Ok(())
}

async fn list(
    call: &ToolCall,
    options: &ClientOptions,
    kind: pb::ItemKind,
) -> Result<(), ToolError> {
    let client = OperatorClient::connect(options).await?;
    let items = client.list(kind).await?;
    if call.has("json") {
        let values = items
            .iter()
            .map(|item| item_json(item, item_spec(item).as_ref()));
        print_json(&values.collect())?;
        return Ok(());
    }
    let mut table = TextTable::new(&["NAME", "REVISION", "CONTENT"]);
    for item in &items {
        let content = item_spec(item).as_ref().map_or(String::new(), item_summary);
        table.add(vec![item.name.clone(), item.revision.to_string(), content]);
    }
    print_text(&table.render())?;
    Ok(())
}

async fn show(
    call: &ToolCall,
    options: &ClientOptions,
    kind: pb::ItemKind,
    name: &str,
) -> Result<(), ToolError> {
    let client = OperatorClient::connect(options).await?;
    let item = client.read(kind, name).await?;
    let spec = item_spec(&item);
    if call.has("json") {
        print_json(&item_json(&item, spec.as_ref()))?;
        return Ok(());
    }
    // The item alone goes to standard output, ready to be edited and given to `change`.
    eprintln!("revision {}", item.revision);
    match &spec {
        None => eprintln!("deleted"),
        Some(spec) => print_text(&format!("{:#}\n", inner_json(spec)))?,
    }
    Ok(())
}

fn based_on(call: &ToolCall) -> Result<u64, UsageError> {
    let revision = call.number("based-on")?;
    revision.ok_or_else(|| {
        UsageError("no revision given; read it with `show` and give it as --based-on".to_owned())
    })
}

fn read_item(kind: pb::ItemKind, file: Option<&str>) -> Result<pb::ConfigItem, ToolError> {
    let text = read_file(file.unwrap_or(STANDARD_INPUT))?;
    let spec = match kind {
        pb::ItemKind::Class => ItemSpec::Class(parse_item::<ClassSpec>(&text)?),
        pb::ItemKind::Model => ItemSpec::Model(parse_item::<ModelSpec>(&text)?),
        _ => ItemSpec::Workspace(parse_item::<WorkspaceSpec>(&text)?),
    };
    Ok(pb::ConfigItem::from(&spec))
}

fn parse_item<T: DeserializeOwned>(text: &str) -> Result<T, ToolError> {
    serde_json::from_str(text).map_err(|error| {
        ToolError::Input(format!(
            "the item cannot be used: {error}; `show` prints one in the form expected"
        ))
    })
}

fn item_kind(word: &str) -> Result<pb::ItemKind, UsageError> {
    match word {
        "workspaces" => Ok(pb::ItemKind::Workspace),
        "classes" => Ok(pb::ItemKind::Class),
        "models" => Ok(pb::ItemKind::Model),
        "holds" => Ok(pb::ItemKind::Hold),
        other => Err(UsageError(format!(
            "unknown kind {other:?}; use workspaces, classes, models or holds"
        ))),
    }
}

/// Returns the item itself; `None` once deleted.
fn item_spec(item: &pb::ItemReply) -> Option<ItemSpec> {
    ItemSpec::try_from(item.item.clone()?).ok()
}
