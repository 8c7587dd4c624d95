//! Operators' access to the key-value store of the platform.

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

/// Timeout of one store call.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Lease id of keys that are not bound to a lease and so do not expire.
const NO_LEASE: u64 = 0;

/// Location of the store, and of the settings that list the trusted signers.
#[derive(Clone, Debug)]
pub(crate) struct StoreArgs {
    settings: PathBuf,
    store: Option<String>,
}

/// Parser of `--settings` and `--store`.
pub(crate) fn store_args() -> impl Parser<StoreArgs> {
    let settings = long("settings")
        .help(
            "Settings of any daemon of the deployment, for the store's URL and the trusted signers",
        )
        .argument("FILE");
    let store = long("store")
        .help("Base URL of the store; overrides the one in the settings")
        .argument("URL")
        .optional();
    construct!(StoreArgs { settings, store })
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The key has another revision than expected.
    Conflict,
    /// The reply was lost: the write may have taken effect.
    Unknown,
}

/// Client of one deployment's store, with the signers that the settings trust.
#[derive(Debug)]
pub(crate) struct OperatorStore {
    client: StoreClient,
    url: String,
    deployment: DeploymentName,
    trusted_signers: SignerSet,
}

impl OperatorStore {
    /// Reads the settings file and creates the client; sends nothing to the store yet.
    pub(crate) fn open(args: &StoreArgs) -> Result<Self, CliError> {
        let path = &args.settings;
        let text = fs::read_to_string(path).map_err(|error| CliError::file_error(path, error))?;
        let file = path.display().to_string();
        let settings: DaemonSettings = parse_yaml(&file, &text)?;
        let locate = |error| locate_error(&file, &text, error);
        let deployment = settings
            .deployment
            .parse()
            .map_err(|error: SchemaError| locate(error.at("deployment", &settings.deployment)))?;
        let trusted_signers = settings.trust.unwrap_or_default();
        let trusted_signers = SignerSet::from_settings(&trusted_signers)
            .map_err(|error| locate(add_trust_prefix(error)))?;
        let configured_url = settings.platform.map(|platform| platform.store);
        let url = args.store.clone().or(configured_url).unwrap_or_default();
        if url.is_empty() {
            return Err(CliError::NoStoreUrl);
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
            trusted_signers,
        })
    }

    /// Reads the chain with the version in force, and the revision of the head key: 0 if the store
    /// has none.
    pub(crate) async fn read_chain(&self) -> Result<(BundleChain, u64), CliError> {
        let mut chain = BundleChain::new(self.deployment.clone(), self.trusted_signers.clone());
        let Some((head, revision)) = self.read_head().await? else {
            return Ok((chain, 0));
        };
        let body = self.read_body(&head).await?;
        let signed = SignedBundle {
            head: Some(head),
            body,
        };
        let outcome = chain.offer(&signed);
        outcome.map_err(|error| CliError::bundle_rejected("the head in the store", error))?;
        Ok((chain, revision))
    }

    /// Reads the head of the bundle chain and its revision.
    pub(crate) async fn read_head(&self) -> Result<Option<(BundleHead, u64)>, CliError> {
        let Some((bytes, revision)) = self.get(HEAD_KEY).await? else {
            return Ok(None);
        };
        let head = BundleHead::decode(bytes.as_slice());
        let head = head.map_err(|_| self.store_error("the bundle head cannot be decoded"))?;
        Ok(Some((head, revision)))
    }

    /// Reads the parts that `head` lists and joins them into the canonical bytes of the body.
    async fn read_body(&self, head: &BundleHead) -> Result<Vec<u8>, CliError> {
        let mut parts = Vec::new();
        for entry in &head.parts {
            let found = self.get(&part_key(&entry.digest)).await?;
            let (bytes, _) =
                found.ok_or_else(|| self.store_error("a part of the bundle body is missing"))?;
            parts.push(bytes);
        }
        join_parts(&head.parts, &parts)
            .map_err(|error| CliError::bundle_rejected("the head in the store", error))
    }

    /// Reads the value at `key` and its revision.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<(Vec<u8>, u64)>, CliError> {
        let reply = self.client.get(key).await;
        match reply.map_err(|error| self.store_error(error))? {
            StoreReply::Found { value, revision } => Ok(Some((value, revision))),
            _ => Ok(None),
        }
    }

    /// Writes `value` if the key has revision `expected_revision`; 0 requires that the key does not
    /// exist.
    pub(crate) async fn put(
        &self,
        key: &str,
        value: &[u8],
        expected_revision: u64,
    ) -> Result<WriteOutcome, CliError> {
        match self
            .client
            .write(key, value, expected_revision, NO_LEASE)
            .await
        {
            Ok(StoreReply::Written { .. }) => Ok(WriteOutcome::Written),
            Ok(_) => Ok(WriteOutcome::Conflict),
            Err(error) if error.had_no_effect() => Err(self.store_error(error)),
            Err(_) => Ok(WriteOutcome::Unknown),
        }
    }

    /// An error that names the store's URL.
    pub(crate) fn store_error(&self, problem: impl ToString) -> CliError {
        CliError::Store {
            url: self.url.clone(),
            problem: problem.to_string(),
        }
    }
}

fn add_trust_prefix(error: SchemaError) -> SchemaError {
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
