//! Command line of `pollentallyd`.

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

/// Flags of the daemon. They take precedence over the settings file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DaemonFlags {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Path of the settings file that the users' platform writes; used instead of `settings`.
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
    /// Format of the log.
    pub log_format: Option<String>,
    /// Least severe level that is logged.
    pub log_level: Option<String>,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Text that `--help` prints after the flags.
const HELP_FOOTER: &str = "Exit codes: 0 stopped, no requests cut; 1 invalid flags; 2 invalid \
    settings; 3 an address cannot be listened on; 4 the runtime cannot be set up; 5 the stop cut \
    requests. SIGTERM or SIGINT stops gracefully: the daemon reports not ready, accepts requests \
    for stop.quiet_ms (default 5000 ms), then finishes the requests in flight. The whole stop takes \
    stop.bound_ms (default 30000 ms) at most. A second signal stops at once.";

/// Returns the parser of the command line.
pub fn daemon_flags() -> OptionParser<DaemonFlags> {
    let settings = long("settings")
        .short('s')
        .help("Settings file, YAML")
        .argument("FILE")
        .fallback(PathBuf::from("settings.yaml"))
        .debug_fallback();
    let platform = long("platform")
        .help("Run on the users' platform, with the settings file that it writes")
        .argument("FILE")
        .optional();
    let name = text_flag("name", "NAME", "Name of this daemon, instead of `name`");
    let caller = address_flag(
        "caller",
        "Address for callers, instead of `listen.caller` (127.0.0.1:7100)",
    );
    let admin = address_flag(
        "admin",
        "Address for operators, instead of `listen.admin` (127.0.0.1:7101)",
    );
    let peer = address_flag(
        "peer",
        "Address for other daemons, instead of `listen.peer` (127.0.0.1:7102)",
    );
    let store = text_flag(
        "store",
        "URL",
        "Base URL of the store, instead of `platform.store`",
    );
    let vms = text_flag(
        "vms",
        "URL",
        "URL of the VM list, instead of `platform.vms`",
    );
    let log_format = text_flag(
        "log-format",
        "FORMAT",
        "`terminal` or `json`, instead of `log.format` (terminal)",
    );
    let log_level = text_flag(
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
    .footer(HELP_FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

fn text_flag(
    name: &'static str,
    metavar: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(name).help(help).argument(metavar).optional()
}

fn address_flag(name: &'static str, help: &'static str) -> impl Parser<Option<SocketAddr>> {
    long(name).help(help).argument("IP:PORT").optional()
}

impl DaemonFlags {
    /// Replaces the values of the settings file for which a flag is given.
    pub fn apply_to(&self, settings: &mut DaemonSettings) {
        let listen = settings.listen.get_or_insert_default();
        replace_if_given(&mut listen.caller, self.caller);
        replace_if_given(&mut listen.admin, self.admin);
        replace_if_given(&mut listen.peer, self.peer);
        let platform = settings.platform.get_or_insert_default();
        replace_if_given(&mut platform.store, self.store.as_ref());
        replace_if_given(&mut platform.vms, self.vms.as_ref());
        let log = settings.log.get_or_insert_default();
        replace_if_given(&mut log.format, self.log_format.as_ref());
        replace_if_given(&mut log.level, self.log_level.as_ref());
        replace_if_given(&mut settings.name, self.name.as_ref());
    }
}

fn replace_if_given(current: &mut String, flag: Option<impl ToString>) {
    if let Some(value) = flag {
        *current = value.to_string();
    }
}
