//! Reconciliation of charges from the segments that daemons have written to the store.

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
    http_client::HttpClient,
    operator_store::OperatorStore,
    output::{
        new_table,
        print_json,
        print_line,
        print_table, //
    },
};

/// Time within which charges with the same token count once.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(DAY_SECONDS);
/// Timeout of a status request.
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
struct ReportBody {
    answered: u64,
    charged: u64,
    repeated: u64,
    surplus: u64,
    waiting: u64,
    lost: Vec<LossEntry>,
    users: Vec<UserEntry>,
}

/// Reads the segments of the last `days` days, and asks `daemons` how many charges they have not
/// yet written.
pub(crate) async fn reconcile(
    store: &OperatorStore,
    days: u64,
    daemons: &[SocketAddr],
) -> Result<ChargeReport, CliError> {
    let (chain, _) = store.read_chain().await?;
    let bundle = chain.in_force().ok_or(CliError::NoBundle)?;
    let mut rollup = ChargeRollup::new(DEDUPLICATION_WINDOW);
    let today = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
        / DAY_SECONDS;
    for day in today.saturating_sub(days - 1)..=today {
        for (zone, _) in &bundle.spec.zones {
            read_roster(store, &mut rollup, zone, day).await?;
        }
    }
    let client = HttpClient::new(STATUS_TIMEOUT);
    for address in daemons {
        add_live_daemon(&mut rollup, &client, *address).await?;
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
    let time = TimePoint(day * DAY_SECONDS * 1_000_000);
    let Some((value, _)) = store.get(&roster_key(zone, time)).await? else {
        return Ok(());
    };
    let roster = RosterBody::decode(value.as_slice());
    let roster = roster.map_err(|_| store.store_error("a charge roster cannot be decoded"))?;
    rollup.add_roster(&roster);
    Ok(())
}

async fn add_live_daemon(
    rollup: &mut ChargeRollup,
    client: &HttpClient,
    address: SocketAddr,
) -> Result<(), CliError> {
    let daemon_error = |problem: String| CliError::Daemon { address, problem };
    let reply = client.get(address, "/status").await;
    let (_, body) = reply.map_err(|error| daemon_error(error.to_string()))?;
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
            let stored = store.get(&key).await?;
            let value = stored.as_ref().map(|(value, _)| value.as_slice());
            rollup.add_segment(&start, sequence, value);
        }
    }
}

/// Prints the report; fails if charges are lost.
pub(crate) fn print_charges(report: &ChargeReport, json: bool) -> Result<(), CliError> {
    let body = report_body(report);
    if json {
        print_json(&body)?;
    } else {
        print_report(&body)?;
    }
    let lost_charges = report.lost_count();
    if body.lost.iter().any(|loss| loss.charges > 0) {
        return Err(CliError::ChargesLost {
            charges: lost_charges,
            incarnations: body.lost.len(),
        });
    }
    Ok(())
}

fn report_body(report: &ChargeReport) -> ReportBody {
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
    ReportBody {
        answered: report.answered,
        charged: report.charged,
        repeated: report.repeated,
        surplus: report.surplus,
        waiting: report.waiting,
        lost: lost.collect(),
        users: users.collect(),
    }
}

fn print_report(body: &ReportBody) -> Result<(), CliError> {
    let mut users = new_table(&["end user", "charges", "units"]);
    for user in &body.users {
        users.add_row([
            user.user.clone(),
            user.charges.to_string(),
            user.units.to_string(),
        ]);
    }
    print_table(&users)?;
    print_line(&format!(
        "answered {}, charged {}, repeated {}, waiting {}",
        body.answered, body.charged, body.repeated, body.waiting
    ))?;
    for loss in &body.lost {
        print_line(&format_loss(loss))?;
    }
    Ok(())
}

fn format_loss(loss: &LossEntry) -> String {
    let hint = if loss.open_end {
        ", closing segment missing: pass its address with --daemon if it is running"
    } else {
        ""
    };
    format!(
        "{} incarnation {}: {} charges lost, missing segments {:?}{hint}",
        loss.daemon, loss.incarnation, loss.charges, loss.missing_segments
    )
}
