//! Binary of the daemon: parses flags, reads settings, runs the daemon and sets the exit code.

use std::{
    path::Path,
    process::ExitCode, //
};

use daemon::{
    config::read_settings,
    daemon_flags,
    read_boot,
    run_blocking,
    run_forward,
    stderr_logger,
    DaemonError,
    DaemonFlags,
    RunControl,
    StdoutLogger,
    StopReport, //
};

fn main() -> ExitCode {
    let flags = daemon_flags().run();
    match run_daemon(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pollentallyd: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_daemon(flags: &DaemonFlags) -> Result<(), DaemonError> {
    let report = match &flags.platform {
        Some(path) => run_forward_daemon(path, flags.check)?,
        None => run_query_daemon(flags)?,
    };
    match report.requests_cut {
        0 => Ok(()),
        requests => Err(DaemonError::StopCut { requests }),
    }
}

fn run_forward_daemon(path: &Path, check: bool) -> Result<StopReport, DaemonError> {
    let boot = read_boot(path)?;
    if check {
        return Ok(StopReport::default());
    }
    let log = StdoutLogger::open();
    let report = run_forward(path, boot, log.logger.clone());
    log.close();
    report
}

fn run_query_daemon(flags: &DaemonFlags) -> Result<StopReport, DaemonError> {
    let config = read_settings(&flags.settings, |settings| flags.apply_to(settings))?;
    if flags.check {
        return Ok(StopReport::default());
    }
    let log = stderr_logger(&config.log);
    let (mut control, handle) = RunControl::new();
    control.signals = true;
    let report = run_blocking(config, log, control)?;
    drop(handle);
    Ok(report)
}
