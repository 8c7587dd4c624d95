//! The validated bundle, as the daemon and the command-line tool use it.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    bundle::{
        BundleBody,
        SignerSpec, //
    },
    BundleVersion,
    DeploymentName,
    GroupName,
    GroupSpec,
    RegionName,
    SchemaError,
    SignerName,
    VmName,
    ZoneName, //
};

/// The validated body of a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeploymentSpec {
    /// Deployment that the bundle configures.
    pub deployment: DeploymentName,
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Number of daemons among which the connection limits of the replicas are divided.
    pub daemons: u32,
    /// Data centres, each with its region.
    pub zones: Vec<(ZoneName, RegionName)>,
    /// Expected one-way delays between data centres.
    pub links: Vec<(ZoneName, ZoneName, Duration)>,
    /// Service groups of the deployment.
    pub groups: Vec<GroupSpec>,
    /// VMs of the upstreams that the operators have ordered to drain.
    pub drains: BTreeSet<VmName>,
    /// Names and ed25519 public keys of those who may sign the next version.
    pub signers: Vec<(SignerName, [u8; 32])>,
    /// Number of distinct signers that the next version needs.
    pub signers_required: u32,
}

impl DeploymentSpec {
    /// Validates the protobuf message and converts it. A daemon can apply every bundle that passes.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] with the path of the first invalid field.
    pub fn from_body(body: &BundleBody) -> Result<Self, SchemaError> {
        let deployment = body
            .deployment
            .parse()
            .map_err(|error: SchemaError| error.at("deployment", &body.deployment))?;
        if body.version == 0 {
            return Err(SchemaError::bad_field("version", 0, "at least 1"));
        }
        if body.daemons == 0 {
            return Err(SchemaError::bad_field("daemons", 0, "at least 1"));
        }
        let zones = zones(body)?;
        Ok(Self {
            deployment,
            version: BundleVersion(body.version),
            daemons: body.daemons,
            links: links(body, &zones)?,
            zones,
            groups: groups(body)?,
            drains: drains(body)?,
            signers: signers(body)?,
            signers_required: required_signers(body)?,
        })
    }

    /// Returns the group named `name`.
    pub fn group(&self, name: &GroupName) -> Option<&GroupSpec> {
        self.groups.iter().find(|group| group.name == *name)
    }

    /// Expected one-way delay between two data centres; zero within a data centre and between two
    /// without a link.
    pub fn delay(&self, from: &ZoneName, to: &ZoneName) -> Duration {
        let connects =
            |a: &ZoneName, b: &ZoneName| (a == from && b == to) || (a == to && b == from);
        let link = self.links.iter().find(|(a, b, _)| connects(a, b));
        link.map_or(Duration::ZERO, |(_, _, delay)| *delay)
    }
}

fn zones(body: &BundleBody) -> Result<Vec<(ZoneName, RegionName)>, SchemaError> {
    let mut zones: Vec<(ZoneName, RegionName)> = Vec::new();
    for (index, spec) in body.zones.iter().enumerate() {
        let path = |name: &str| format!("zones[{index}].{name}");
        let zone: ZoneName = spec
            .name
            .parse()
            .map_err(|error: SchemaError| error.at(&path("name"), &spec.name))?;
        let region = spec
            .region
            .parse()
            .map_err(|error: SchemaError| error.at(&path("region"), &spec.region))?;
        if zones.iter().any(|(other, _)| *other == zone) {
            return Err(SchemaError::bad_field(path("name"), zone, "a unique name"));
        }
        zones.push((zone, region));
    }
    if zones.is_empty() {
        return Err(SchemaError::bad_field(
            "zones",
            "[]",
            "at least one data centre",
        ));
    }
    Ok(zones)
}

fn links(
    body: &BundleBody,
    zones: &[(ZoneName, RegionName)],
) -> Result<Vec<(ZoneName, ZoneName, Duration)>, SchemaError> {
    let known_zone = |field: String, text: &str| {
        let found = zones.iter().find(|(zone, _)| zone.as_str() == text);
        found
            .map(|(zone, _)| zone.clone())
            .ok_or_else(|| SchemaError::bad_field(field, text, "the name of a zone in `zones`"))
    };
    let mut links = Vec::new();
    for (index, spec) in body.links.iter().enumerate() {
        let from = known_zone(format!("links[{index}].from"), &spec.from)?;
        let to = known_zone(format!("links[{index}].to"), &spec.to)?;
        links.push((from, to, Duration::from_micros(spec.delay_us.into())));
    }
    Ok(links)
}

fn groups(body: &BundleBody) -> Result<Vec<GroupSpec>, SchemaError> {
    let mut groups: Vec<GroupSpec> = Vec::new();
    for (index, spec) in body.groups.iter().enumerate() {
        let group = GroupSpec::from_spec(&format!("groups[{index}]"), spec)?;
        if groups.iter().any(|other| other.name == group.name) {
            return Err(SchemaError::bad_field(
                format!("groups[{index}].name"),
                group.name,
                "a unique name",
            ));
        }
        if group.connections < body.daemons {
            let field = format!("groups[{index}].connections");
            return Err(SchemaError::bad_field(
                field,
                group.connections,
                "at least one connection per daemon",
            ));
        }
        groups.push(group);
    }
    if groups.is_empty() {
        return Err(SchemaError::bad_field(
            "groups",
            "[]",
            "at least one service group",
        ));
    }
    Ok(groups)
}

fn drains(body: &BundleBody) -> Result<BTreeSet<VmName>, SchemaError> {
    let mut drains = BTreeSet::new();
    for (index, text) in body.drains.iter().enumerate() {
        let vm = text
            .parse()
            .map_err(|error: SchemaError| error.at(&format!("drains[{index}]"), text))?;
        drains.insert(vm);
    }
    Ok(drains)
}

fn signers(body: &BundleBody) -> Result<Vec<(SignerName, [u8; 32])>, SchemaError> {
    signer_keys("signers", &body.signers)
}

fn required_signers(body: &BundleBody) -> Result<u32, SchemaError> {
    let count = body.signers.len() as u32;
    if body.signers_required == 0 || body.signers_required > count {
        let field = "signers_required";
        return Err(SchemaError::bad_field(
            field,
            body.signers_required,
            "1 to the number of signers",
        ));
    }
    Ok(body.signers_required)
}

fn signer_keys(
    field: &str,
    specs: &[SignerSpec],
) -> Result<Vec<(SignerName, [u8; 32])>, SchemaError> {
    let mut signers: Vec<(SignerName, [u8; 32])> = Vec::new();
    for (index, spec) in specs.iter().enumerate() {
        let path = |name: &str| format!("{field}[{index}].{name}");
        let name: SignerName = spec
            .name
            .parse()
            .map_err(|error: SchemaError| error.at(&path("name"), &spec.name))?;
        let mut key = [0; 32];
        let hex = hex::decode_to_slice(&spec.key, &mut key);
        hex.map_err(|_| SchemaError::bad_field(path("key"), &spec.key, "64 characters of hex"))?;
        if signers
            .iter()
            .any(|(other, other_key)| *other == name || *other_key == key)
        {
            return Err(SchemaError::bad_field(
                path("name"),
                name,
                "a unique name and a unique key",
            ));
        }
        signers.push((name, key));
    }
    Ok(signers)
}
