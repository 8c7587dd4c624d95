//! The reconciliation of charges from the segments in the store.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        SystemTime, //
    },
};

use daemon::StatusBody;
use policy::charges::{
    roster_key,
    ChargeReport,
    ChargeRollup,
    DAY_SECONDS, //
};
use prost::Message;
use schema::{
    peer::RosterBody,
    Incarnation,
    TimePoint,
    ZoneName, //
};
use serde::Serialize;

use crate::{
    cli_error::CliError,
    http_call::HttpCaller,
    operator_store::OperatorStore,
    output::{
        print_json,
        print_line,
        print_table,
        table, //
    },
};

/// Time within which a repeated charge counts once.
const WINDOW: Duration = Duration::from_secs(DAY_SECONDS);
/// Longest wait for a daemon.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct LossEntry {
    daemon: String,
    incarnation: u64,
    charges: u64,
    missing_segments: Vec<u64>,
    open_end: bool,
}

#[derive(Serialize)]
struct UserEntry {
    user: String,
    charges: u64,
    units: u64,
}

#[derive(Serialize)]
struct ReportEntry {
    answered: u64,
    charged: u64,
    repeated: u64,
    surplus: u64,
    waiting: u64,
    lost: Vec<LossEntry>,
    users: Vec<UserEntry>,
}

/// Reads the segments of the last `days` days and asks the daemons for what they still hold.
pub(crate) async fn reconcile(
    store: &OperatorStore,
    days: u64,
    daemons: &[SocketAddr],
) -> Result<ChargeReport, CliError> {
    let (chain, _) = store.chain().await?;
    let held = chain.in_force().ok_or(CliError::BundleMissing)?;
    let mut rollup = ChargeRollup::new(WINDOW);
    let today = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
        / DAY_SECONDS;
    for day in today.saturating_sub(days - 1)..=today {
        for (zone, _) in &held.spec.zones {
            read_roster(store, &mut rollup, zone, day).await?;
        }
    }
    let caller = HttpCaller::new(STATUS_TIMEOUT);
    for address in daemons {
        add_alive(&mut rollup, &caller, *address).await?;
    }
    read_segments(store, &mut rollup).await?;
    Ok(rollup.report())
}

async fn read_roster(
    store: &OperatorStore,
    rollup: &mut ChargeRollup,
    zone: &ZoneName,
    day: u64,
) -> Result<(), CliError> {
    let at = TimePoint(day * DAY_SECONDS * 1_000_000);
    let Some((value, _)) = store.get(&roster_key(zone, at)).await? else {
        return Ok(());
    };
    let roster = RosterBody::decode(value.as_slice());
    let roster = roster.map_err(|_| store.broken("a roster of charges does not decode"))?;
    rollup.add_roster(&roster);
    Ok(())
}

async fn add_alive(
    rollup: &mut ChargeRollup,
    caller: &HttpCaller,
    address: SocketAddr,
) -> Result<(), CliError> {
    let failed = |problem: String| CliError::Daemon { address, problem };
    let answer = caller.get(address, "/status").await;
    let (_, body) = answer.map_err(|error| failed(error.to_string()))?;
    let status: StatusBody = serde_json::from_slice(&body)?;
    let name = status.name.parse()?;
    let start = (name, Incarnation(status.incarnation));
    rollup.add_live_daemon(start, 0, status.charges_waiting);
    Ok(())
}

async fn read_segments(store: &OperatorStore, rollup: &mut ChargeRollup) -> Result<(), CliError> {
    loop {
        let segments = rollup.next_segments();
        if segments.is_empty() {
            return Ok(());
        }
        for (start, sequence, key) in segments {
            let found = store.get(&key).await?;
            let value = found.as_ref().map(|(value, _)| value.as_slice());
            rollup.add_segment(&start, sequence, value);
        }
    }
}

/// Prints the report; fails where charges are lost.
pub(crate) fn print_charges(report: &ChargeReport, json: bool) -> Result<(), CliError> {
    let entry = entry_of(report);
    if json {
        print_json(&entry)?;
    } else {
        print_report(&entry)?;
    }
    let known = report.lost_count();
    if entry.lost.iter().any(|loss| loss.charges > 0) {
        return Err(CliError::ChargesLost {
            charges: known,
            starts: entry.lost.len(),
        });
    }
    Ok(())
}

fn entry_of(report: &ChargeReport) -> ReportEntry {
    let lost = report.lost.iter().map(|range| LossEntry {
        daemon: range.daemon.to_string(),
        incarnation: range.incarnation.0,
        charges: range.charges,
        missing_segments: range.gaps.clone(),
        open_end: range.open_end,
    });
    let users = report.users.iter().map(|(user, total)| UserEntry {
        user: user.to_string(),
        charges: total.charges,
        units: total.units.0,
    });
    ReportEntry {
        answered: report.answered,
        charged: report.charged,
        repeated: report.repeated,
        surplus: report.surplus,
        waiting: report.waiting,
        lost: lost.collect(),
        users: users.collect(),
    }
}

fn print_report(entry: &ReportEntry) -> Result<(), CliError> {
    let mut users = table(&["end user", "charges", "units"]);
    for user in &entry.users {
        users.add_row([
            user.user.clone(),
            user.charges.to_string(),
            user.units.to_string(),
        ]);
    }
    print_table(&users)?;
    print_line(&format!(
        "answered {}, charged {}, repeated {}, waiting {}",
        entry.answered, entry.charged, entry.repeated, entry.waiting
    ))?;
    for loss in &entry.lost {
        print_line(&loss_line(loss))?;
    }
    Ok(())
}

fn loss_line(loss: &LossEntry) -> String {
    let end = if loss.open_end {
        ", no last segment: name the daemon by --daemon if it is alive"
    } else {
        ""
    };
    format!(
        "{} started at {}: {} charges lost, segments missing {:?}{end}",
        loss.daemon, loss.incarnation, loss.charges, loss.missing_segments
    )
}
