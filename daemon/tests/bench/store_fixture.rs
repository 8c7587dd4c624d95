//! A store server whose bundles the test signs, and daemons that read it.

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

/// A store, the chain of the bundles accepted into it, and the key of its only signer.
pub(crate) struct StoreFixture {
    pub(crate) store: StoreServer,
    pub(crate) chain: BundleChain,
    pub(crate) key: SigningKey,
    pub(crate) revision: u64,
}

impl StoreFixture {
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

    /// The bundle body of the tests with the fixture's signer. Signing sets the version.
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

    /// The next bundle of the chain. It stays unsigned if `key` is not the fixture's.
    pub(crate) fn sign_bundle(&self, body: &BundleBody, key: &SigningKey) -> SignedBundle {
        let mut draft = draft_bundle(&self.chain, body).unwrap();
        let signer = SignerName::from_static("ann");
        if *key == self.key {
            add_signature(&self.chain, &mut draft, &signer, key).unwrap();
        }
        draft
    }

    /// Signs `body`, adds it to the chain and writes it to the store.
    pub(crate) fn accept_bundle(&mut self, body: &BundleBody) {
        let signed = self.sign_bundle(body, &self.key);
        self.chain.offer(&signed).unwrap();
        self.write_bundle(&signed);
    }

    /// Writes the parts and then the head, without checking the bundle.
    pub(crate) fn write_bundle(&mut self, signed: &SignedBundle) {
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

    /// Starts a daemon that reads the store and trusts the signer.
    pub(crate) fn start_daemon(&self) -> TestBench {
        self.start_daemon_with(|_| {})
    }

    pub(crate) fn start_daemon_with(&self, change: impl FnOnce(&mut DaemonConfig)) -> TestBench {
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
