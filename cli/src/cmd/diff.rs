//! `pollentally diff`: compares two bundles field by field.

use std::{
    collections::BTreeMap,
    path::PathBuf, //
};

use bpaf::{
    construct,
    long,
    positional,
    OptionParser,
    Parser, //
};
use policy::bundle::decode_body;
use schema::bundle::BundleBody;
use serde::Serialize;
use serde_json::Value;

use crate::{
    bundle_file::read_body,
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    operator_store::{
        store_args,
        OperatorStore,
        StoreArgs, //
    },
    output::{
        print_json,
        print_line, //
    },
    runtime::block_on,
};

const HELP: &str = "Show the fields that a bundle changes";

/// Parsed arguments of `diff`.
#[derive(Clone, Debug)]
pub(crate) struct DiffArgs {
    against: Option<PathBuf>,
    store: Option<StoreArgs>,
    json: bool,
    bundle: PathBuf,
}

/// Builds the argument parser of `diff`.
pub(crate) fn parser() -> OptionParser<DiffArgs> {
    let against = long("against")
        .help("Bundle to compare with, in YAML or signed; default: the version in force")
        .argument("FILE")
        .optional();
    let store = store_args().optional();
    let json = long("json").help("Print JSON").switch();
    let bundle = positional("BUNDLE").help("Bundle in YAML or signed");
    construct!(DiffArgs {
        against,
        store,
        json,
        bundle
    })
    .to_options()
    .descr(HELP)
    .footer(EXIT_CODES_HELP)
}

#[derive(Serialize)]
struct FieldChange {
    field: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    old: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    new: Option<Value>,
}

/// Prints the fields that differ, one per line.
pub(crate) fn run(args: &DiffArgs) -> Result<(), CliError> {
    let new = read_body(&args.bundle)?;
    let old = match &args.against {
        Some(path) => read_body(path)?,
        None => read_in_force(args)?,
    };
    let changes = compare_bodies(&old, &new)?;
    if args.json {
        return print_json(&changes);
    }
    if changes.is_empty() {
        return print_line("no differences");
    }
    for change in &changes {
        print_line(&format_change(change))?;
    }
    Ok(())
}

fn read_in_force(args: &DiffArgs) -> Result<BundleBody, CliError> {
    let Some(store) = &args.store else {
        return Err(CliError::NoStoreUrl);
    };
    let store = OperatorStore::open(store)?;
    let (chain, _) = block_on(store.read_chain())??;
    let bundle = chain.in_force().ok_or(CliError::NoBundle)?;
    decode_body(&bundle.signed.body)
        .map_err(|error| CliError::bundle_rejected("the version in force", error))
}

fn compare_bodies(old: &BundleBody, new: &BundleBody) -> Result<Vec<FieldChange>, CliError> {
    let old = flatten_body(old)?;
    let mut new = flatten_body(new)?;
    let mut changes = Vec::new();
    for (field, old_value) in old {
        let new_value = new.remove(&field);
        if new_value.as_ref() == Some(&old_value) {
            continue;
        }
        changes.push(FieldChange {
            field,
            old: Some(old_value),
            new: new_value,
        });
    }
    for (field, new_value) in new {
        changes.push(FieldChange {
            field,
            old: None,
            new: Some(new_value),
        });
    }
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    Ok(changes)
}

// Signing sets version and parent from the bundle in force; operators do not declare them.
fn flatten_body(body: &BundleBody) -> Result<BTreeMap<String, Value>, CliError> {
    let mut value = serde_json::to_value(body)?;
    if let Some(map) = value.as_object_mut() {
        map.remove("version");
        map.remove("parent");
    }
    let mut fields = BTreeMap::new();
    flatten_value("", value, &mut fields);
    Ok(fields)
}

// List elements that have a name are keyed by it, so that reordering them shows no change.
fn flatten_value(path: &str, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(map) => {
            for (key, child) in map {
                let separator = if path.is_empty() { "" } else { "." };
                flatten_value(&format!("{path}{separator}{key}"), child, fields);
            }
        }
        Value::Array(elements) => {
            for (index, child) in elements.into_iter().enumerate() {
                let name = element_name(&child).unwrap_or_else(|| index.to_string());
                flatten_value(&format!("{path}[{name}]"), child, fields);
            }
        }
        Value::Null => {}
        leaf => {
            fields.insert(path.into(), leaf);
        }
    }
}

fn element_name(value: &Value) -> Option<String> {
    if let Value::String(name) = value {
        return Some(name.clone());
    }
    if let (Some(from), Some(to)) = (value.get("from"), value.get("to")) {
        return Some(format!("{}..{}", from.as_str()?, to.as_str()?));
    }
    Some(value.get("name")?.as_str()?.to_owned())
}

fn format_change(change: &FieldChange) -> String {
    match (&change.old, &change.new) {
        (Some(old), Some(new)) => format!("~ {}: {old} -> {new}", change.field),
        (Some(old), None) => format!("- {}: {old}", change.field),
        (None, Some(new)) => format!("+ {}: {new}", change.field),
        (None, None) => String::new(),
    }
}
