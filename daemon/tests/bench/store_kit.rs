//! A store with signed bundles.

use std::time::Duration;

use daemon::{
    config::TrustConfig,
    store::StoreClient,
    DaemonConfig,
    RunControl, //
};
use ed25519_dalek::SigningKey;
use policy::{
    bundle::{
        add_signature,
        draft_bundle,
        part_key,
        split_parts,
        BundleChain,
        SignerSet,
        HEAD_KEY, //
    },
    store::StoreReply, //
};
use prost::Message;
use schema::{
    bundle::{
        BundleBody,
        SignedBundle,
        SignerSpec, //
    },
    DeploymentName,
    SignerName, //
};
use standin::{
    FleetServer,
    FleetSettings,
    StoreServer,
    StoreSettings, //
};

use super::{
    body,
    config,
    spec,
    TestBench, //
};

/// A store, the chain of what was accepted into it, and a signer.
pub(crate) struct StoreKit {
    pub(crate) store: StoreServer,
    pub(crate) chain: BundleChain,
    pub(crate) key: SigningKey,
    pub(crate) revision: u64,
}

impl StoreKit {
    pub(crate) fn new() -> Self {
        let key = SigningKey::from_bytes(&[7; 32]);
        let trust = SignerSet {
            signers: vec![(
                SignerName::from_static("ann"),
                key.verifying_key().to_bytes(),
            )],
            required: 1,
        };
        Self {
            store: StoreServer::spawn(StoreSettings::default()).unwrap(),
            chain: BundleChain::new(DeploymentName::from_static("deployment"), trust),
            key,
            revision: 0,
        }
    }

    pub(crate) fn body(&self) -> BundleBody {
        BundleBody {
            version: 0,
            signers: vec![SignerSpec {
                name: "ann".into(),
                key: hex::encode(self.key.verifying_key().to_bytes()),
            }],
            ..body()
        }
    }

    pub(crate) fn sign(&self, body: &BundleBody, key: &SigningKey) -> SignedBundle {
        let mut draft = draft_bundle(&self.chain, body).unwrap();
        let ann = SignerName::from_static("ann");
        if *key == self.key {
            add_signature(&self.chain, &mut draft, &ann, key).unwrap();
        }
        draft
    }

    pub(crate) fn accept(&mut self, body: &BundleBody) {
        let signed = self.sign(body, &self.key);
        self.chain.offer(&signed).unwrap();
        self.write(&signed);
    }

    pub(crate) fn write(&mut self, signed: &SignedBundle) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let url = self.store.url();
        let revision = self.revision;
        let written = runtime.block_on(async {
            let client = StoreClient::new(&url, Duration::from_secs(5)).unwrap();
            for (entry, bytes) in split_parts(&signed.body) {
                let _ = client.write(&part_key(&entry.digest), bytes, 0, 0).await;
            }
            let head = signed.head.as_ref().unwrap().encode_to_vec();
            client.write(HEAD_KEY, &head, revision, 0).await.unwrap()
        });
        let StoreReply::Written { revision } = written else {
            panic!("{written:?}");
        };
        self.revision = revision;
    }

    pub(crate) fn daemon(&self) -> TestBench {
        self.daemon_with(|_| {})
    }

    pub(crate) fn daemon_with(&self, change: impl FnOnce(&mut DaemonConfig)) -> TestBench {
        let spec = spec(&body());
        let fleet = FleetServer::start(&spec, FleetSettings::default()).unwrap();
        let mut config = config(&fleet);
        config.platform.store = Some(self.store.url().parse().unwrap());
        config.trust = TrustConfig {
            signers: self.chain.initial_signers().signers.clone(),
            required: 1,
        };
        change(&mut config);
        let (control, handle) = RunControl::new();
        TestBench::launch(fleet, config, control, handle)
    }
}
