//! All settings of a daemon.

use std::net::SocketAddr;

use schema::{
    settings::DaemonSettings,
    CellName,
    DaemonName,
    DeploymentName,
    RegionName,
    SchemaError,
    ZoneName, //
};

use super::{
    parse_name,
    parse_value,
    trust_config::parse_key,
    LimitConfig,
    ListenConfig,
    LogConfig,
    PlatformConfig,
    StopConfig,
    TraceConfig,
    TrustConfig, //
};

/// All settings of a daemon, checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonConfig {
    /// Name of this daemon, unique in the deployment.
    pub name: DaemonName,
    /// Deployment that the daemon serves.
    pub deployment: DeploymentName,
    /// Data centre of the daemon.
    pub zone: ZoneName,
    /// Region of its data centre.
    pub region: RegionName,
    /// Cell of the daemon: the daemons of a data centre that divide the shards among themselves.
    pub cell: Option<CellName>,
    /// Addresses that the daemon listens on.
    pub listen: ListenConfig,
    /// Key that authenticates messages between daemons.
    pub peer_key: [u8; 32],
    /// Addresses of peers to contact first when the VM list is not available.
    pub seeds: Vec<SocketAddr>,
    /// Store and VM list of the platform.
    pub platform: PlatformConfig,
    /// Signers that the first bundle is checked against.
    pub trust: TrustConfig,
    /// Format and level of the log.
    pub log: LogConfig,
    /// Export of traces.
    pub trace: TraceConfig,
    /// Limits on the daemon's memory use.
    pub limits: LimitConfig,
    /// Time limits of a graceful stop.
    pub stop: StopConfig,
}

impl Default for DaemonConfig {
    fn default() -> Self {
        Self {
            name: DaemonName::from_static("daemon"),
            deployment: DeploymentName::from_static("deployment"),
            zone: ZoneName::from_static("zone"),
            region: RegionName::from_static("region"),
            cell: None,
            listen: ListenConfig::default(),
            peer_key: [0; 32],
            seeds: Vec::new(),
            platform: PlatformConfig::default(),
            trust: TrustConfig::default(),
            log: LogConfig::default(),
            trace: TraceConfig::default(),
            limits: LimitConfig::default(),
            stop: StopConfig::default(),
        }
    }
}

impl DaemonConfig {
    /// Converts and checks the settings as parsed from the file. Names, the peer key and the
    /// signers have no default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] with the path of the first invalid field.
    pub fn from_settings(settings: &DaemonSettings) -> Result<Self, SchemaError> {
        Ok(Self {
            name: parse_name("name", &settings.name)?,
            deployment: parse_name("deployment", &settings.deployment)?,
            zone: parse_name("zone", &settings.zone)?,
            region: parse_name("region", &settings.region)?,
            cell: parse_cell(&settings.cell)?,
            listen: ListenConfig::from_settings(&settings.listen.clone().unwrap_or_default())?,
            peer_key: parse_peer_key(&settings.peer_key)?,
            seeds: parse_seeds(&settings.seeds)?,
            platform: PlatformConfig::from_settings(
                &settings.platform.clone().unwrap_or_default(),
            )?,
            trust: TrustConfig::from_settings(&settings.trust.clone().unwrap_or_default())?,
            log: LogConfig::from_settings(&settings.log.clone().unwrap_or_default())?,
            trace: TraceConfig::from_settings(&settings.trace.clone().unwrap_or_default())?,
            limits: LimitConfig::from_settings(&settings.limits.unwrap_or_default())?,
            stop: StopConfig::from_settings(&settings.stop.unwrap_or_default())?,
        })
    }
}

/// Parses the peer key. An error does not contain the key, as errors are logged.
fn parse_peer_key(text: &str) -> Result<[u8; 32], SchemaError> {
    let hide_value = |_| SchemaError::bad_field("peer_key", "(hidden)", "64 characters of hex");
    parse_key("peer_key", text).map_err(hide_value)
}

fn parse_cell(text: &str) -> Result<Option<CellName>, SchemaError> {
    if text.is_empty() {
        return Ok(None);
    }
    parse_name("cell", text).map(Some)
}

fn parse_seeds(texts: &[String]) -> Result<Vec<SocketAddr>, SchemaError> {
    let mut seeds = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        let field = format!("seeds[{index}]");
        seeds.push(parse_value(&field, text, "an IP address and a port")?);
    }
    Ok(seeds)
}
