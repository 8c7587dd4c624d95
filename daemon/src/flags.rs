//! The command line of `pollentallyd`.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use bpaf::{
    construct,
    long,
    OptionParser,
    Parser, //
};
use schema::settings::DaemonSettings;

/// Flags of the daemon. What is given here goes before the settings file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DaemonFlags {
    /// The settings file.
    pub settings: PathBuf,
    /// The settings file that the users' platform writes; instead of `settings`.
    pub platform: Option<PathBuf>,
    /// Name of the daemon.
    pub name: Option<String>,
    /// Address for callers.
    pub caller: Option<SocketAddr>,
    /// Address for operators.
    pub admin: Option<SocketAddr>,
    /// Address for other daemons.
    pub peer: Option<SocketAddr>,
    /// Base URL of the store.
    pub store: Option<String>,
    /// URL of the VM list.
    pub vms: Option<String>,
    /// Format of the logs.
    pub log_format: Option<String>,
    /// Level of the logs.
    pub log_level: Option<String>,
    /// Check the settings and exit.
    pub check: bool,
}

/// What `--help` says after the flags.
const FOOTER: &str = "Exit codes: 0 stopped, nothing cut; 1 bad flags; 2 bad settings; 3 an \
    address can't be listened on; 4 the runtime can't be set up; 5 the stop cut requests. \
    SIGTERM or SIGINT stops gracefully: not ready at once, accepting for stop.quiet_ms (default \
    5000 ms), then finishing what is in flight, for stop.bound_ms (default 30000 ms) at most. A \
    second signal stops at once.";

/// The parser of the command line.
pub fn daemon_flags() -> OptionParser<DaemonFlags> {
    let settings = long("settings")
        .short('s')
        .help("Settings file, YAML")
        .argument("FILE")
        .fallback(PathBuf::from("settings.yaml"))
        .debug_fallback();
    let platform = long("platform")
        .help("Run on the users' platform, by the settings file that it writes")
        .argument("FILE")
        .optional();
    let name = text("name", "NAME", "Name of this daemon, instead of `name`");
    let caller = address(
        "caller",
        "Address for callers, instead of `listen.caller` (127.0.0.1:7100)",
    );
    let admin = address(
        "admin",
        "Address for operators, instead of `listen.admin` (127.0.0.1:7101)",
    );
    let peer = address(
        "peer",
        "Address for other daemons, instead of `listen.peer` (127.0.0.1:7102)",
    );
    let store = text(
        "store",
        "URL",
        "Base URL of the store, instead of `platform.store`",
    );
    let vms = text(
        "vms",
        "URL",
        "URL of the VM list, instead of `platform.vms`",
    );
    let log_format = text(
        "log-format",
        "FORMAT",
        "`terminal` or `json`, instead of `log.format` (terminal)",
    );
    let log_level = text(
        "log-level",
        "LEVEL",
        "`debug`, `info`, `warning` or `error`, instead of `log.level` (info)",
    );
    let check = long("check").help("Check the settings and exit").switch();
    construct!(DaemonFlags {
        settings,
        platform,
        name,
        caller,
        admin,
        peer,
        store,
        vms,
        log_format,
        log_level,
        check
    })
    .to_options()
    .descr("Serves queries over the shards of a deployment.")
    .footer(FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

fn text(
    name: &'static str,
    value: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(name).help(help).argument(value).optional()
}

fn address(name: &'static str, help: &'static str) -> impl Parser<Option<SocketAddr>> {
    long(name).help(help).argument("IP:PORT").optional()
}

impl DaemonFlags {
    /// Puts what the flags say in the place of what the file says.
    pub fn amend(&self, settings: &mut DaemonSettings) {
        let listen = settings.listen.get_or_insert_default();
        replace(&mut listen.caller, self.caller);
        replace(&mut listen.admin, self.admin);
        replace(&mut listen.peer, self.peer);
        let platform = settings.platform.get_or_insert_default();
        replace(&mut platform.store, self.store.as_ref());
        replace(&mut platform.vms, self.vms.as_ref());
        let log = settings.log.get_or_insert_default();
        replace(&mut log.format, self.log_format.as_ref());
        replace(&mut log.level, self.log_level.as_ref());
        replace(&mut settings.name, self.name.as_ref());
    }
}

fn replace(held: &mut String, given: Option<impl ToString>) {
    if let Some(value) = given {
        *held = value.to_string();
    }
}
