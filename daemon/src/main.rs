//! The daemon's binary: flags, settings, signals, exit codes.

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
    match serve(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pollentallyd: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn serve(flags: &DaemonFlags) -> Result<(), DaemonError> {
    let report = match &flags.platform {
        Some(path) => serve_platform(path, flags.check)?,
        None => serve_settings(flags)?,
    };
    match report.cut {
        0 => Ok(()),
        requests => Err(DaemonError::StopCut { requests }),
    }
}

fn serve_platform(path: &Path, check: bool) -> Result<StopReport, DaemonError> {
    let boot = read_boot(path)?;
    if check {
        return Ok(StopReport::default());
    }
    let log = StdoutLogger::open();
    let report = run_forward(boot, log.logger.clone());
    log.close();
    report
}

fn serve_settings(flags: &DaemonFlags) -> Result<StopReport, DaemonError> {
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
