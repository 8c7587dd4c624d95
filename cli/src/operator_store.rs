//! The platform's store as operators use it.

use std::{
    fs,
    path::PathBuf,
    time::Duration, //
};

use bpaf::{
    construct,
    long,
    Parser, //
};
use daemon::store::StoreClient;
use policy::{
    bundle::{
        join_parts,
        part_key,
        BundleChain,
        SignerSet,
        HEAD_KEY, //
    },
    store::StoreReply,
};
use prost::Message;
use schema::{
    bundle::{
        BundleHead,
        SignedBundle, //
    },
    locate_error,
    parse_yaml,
    settings::DaemonSettings,
    DeploymentName,
    SchemaError, //
};

use crate::cli_error::CliError;

/// Longest wait for one store call.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// The lease of keys that live by none.
const NO_LEASE: u64 = 0;

/// Where the store is and whom the deployment trusts.
#[derive(Clone, Debug)]
pub(crate) struct StoreArgs {
    settings: PathBuf,
    store: Option<String>,
}

/// Options that name the store.
pub(crate) fn store_args() -> impl Parser<StoreArgs> {
    let settings = long("settings")
        .help("Settings of any daemon of the deployment: its store and the signers it trusts")
        .argument("FILE");
    let store = long("store")
        .help("Base URL of the store, in place of the one in the settings")
        .argument("URL")
        .optional();
    construct!(StoreArgs { settings, store })
}

/// What became of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    /// It took effect.
    Written,
    /// The key had another revision.
    Conflict,
    /// The reply was lost: it may have taken effect.
    Lost,
}

/// The store of one deployment.
#[derive(Debug)]
pub(crate) struct OperatorStore {
    client: StoreClient,
    url: String,
    deployment: DeploymentName,
    trust: SignerSet,
}

impl OperatorStore {
    /// Reads the settings that `args` name.
    pub(crate) fn open(args: &StoreArgs) -> Result<Self, CliError> {
        let path = &args.settings;
        let text = fs::read_to_string(path).map_err(|error| CliError::file(path, error))?;
        let file = path.display().to_string();
        let settings: DaemonSettings = parse_yaml(&file, &text)?;
        let located = |error| locate_error(&file, &text, error);
        let deployment = settings
            .deployment
            .parse()
            .map_err(|error: SchemaError| located(error.at("deployment", &settings.deployment)))?;
        let trust = settings.trust.unwrap_or_default();
        let trust = SignerSet::from_settings(&trust).map_err(|error| located(in_trust(error)))?;
        let named = settings.platform.map(|platform| platform.store);
        let url = args.store.clone().or(named).unwrap_or_default();
        if url.is_empty() {
            return Err(CliError::StoreMissing);
        }
        let client = StoreClient::new(&url, STORE_TIMEOUT);
        let client = client.map_err(|error| CliError::Store {
            url: url.clone(),
            problem: error.to_string(),
        })?;
        Ok(Self {
            client,
            url,
            deployment,
            trust,
        })
    }

    /// The chain with the version in force, and the revision of the head; 0 where there is none.
    pub(crate) async fn chain(&self) -> Result<(BundleChain, u64), CliError> {
        let mut chain = BundleChain::new(self.deployment.clone(), self.trust.clone());
        let Some((head, revision)) = self.head().await? else {
            return Ok((chain, 0));
        };
        let body = self.body(&head).await?;
        let signed = SignedBundle {
            head: Some(head),
            body,
        };
        let offered = chain.offer(&signed);
        offered.map_err(|refusal| CliError::refused("the head in the store", refusal))?;
        Ok((chain, revision))
    }

    /// The head and its revision.
    pub(crate) async fn head(&self) -> Result<Option<(BundleHead, u64)>, CliError> {
        let Some((bytes, revision)) = self.get(HEAD_KEY).await? else {
            return Ok(None);
        };
        let head = BundleHead::decode(bytes.as_slice());
        let head = head.map_err(|_| self.broken("the head does not decode"))?;
        Ok(Some((head, revision)))
    }

    /// The canonical bytes of the body that `head` names.
    async fn body(&self, head: &BundleHead) -> Result<Vec<u8>, CliError> {
        let mut parts = Vec::new();
        for entry in &head.parts {
            let found = self.get(&part_key(&entry.digest)).await?;
            let (bytes, _) = found.ok_or_else(|| self.broken("a part of the body is missing"))?;
            parts.push(bytes);
        }
        join_parts(&head.parts, &parts)
            .map_err(|refusal| CliError::refused("the head in the store", refusal))
    }

    /// The value at `key` and its revision.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<(Vec<u8>, u64)>, CliError> {
        let reply = self.client.get(key).await;
        match reply.map_err(|error| self.broken(error))? {
            StoreReply::Found { value, revision } => Ok(Some((value, revision))),
            _ => Ok(None),
        }
    }

    /// Writes `value` where the revision of `key` is `expect`; 0 demands that it does not exist.
    pub(crate) async fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: u64,
    ) -> Result<WriteOutcome, CliError> {
        match self.client.write(key, value, expect, NO_LEASE).await {
            Ok(StoreReply::Written { .. }) => Ok(WriteOutcome::Written),
            Ok(_) => Ok(WriteOutcome::Conflict),
            Err(error) if error.surely_not_applied() => Err(self.broken(error)),
            Err(_) => Ok(WriteOutcome::Lost),
        }
    }

    /// An error that names the store.
    pub(crate) fn broken(&self, problem: impl ToString) -> CliError {
        CliError::Store {
            url: self.url.clone(),
            problem: problem.to_string(),
        }
    }
}

fn in_trust(error: SchemaError) -> SchemaError {
    match error {
        SchemaError::BadField {
            field,
            value,
            expected,
        } => SchemaError::BadField {
            field: format!("trust.{field}"),
            value,
            expected,
        },
        other => other,
    }
}
