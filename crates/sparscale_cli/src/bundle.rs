//! `sparscale bundle …`: checks bundle files, publishes, approves and rolls versions, and shows status and history.

use std::fs;
use std::path::Path;

use serde::Serialize;
use snafu::{OptionExt as _, ResultExt as _};
use sparscale_bundle::sign::Action;
use sparscale_bundle::{Bundle, Delta, Document};
use sparscale_journal::{
    Approve, BundleContent, Proposal, Publish, Receipt, Record, RecordBody, Roll, State, SubmitOutcome, Verdict, Writer,
};
use sparscale_settings::Problems;
use tokio::time::Instant;

use crate::error::{Error, NoProposalSnafu, ReadSnafu};
use crate::operator::Settings;
use crate::report::{Exit, Report};

/// Result of submitting an operator's record.
#[derive(Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
enum Outcome {
    Accepted { version: u64, hash: String, offset: u64 },
    Refused { because: String, offset: u64 },
    Unknown { record: String, trouble: String },
    NotAppended { trouble: String },
}

#[derive(Serialize)]
struct Status {
    head: u64,
    in_force: Option<ActiveVersion>,
    waiting: Vec<PendingVersion>,
}

#[derive(Serialize)]
struct ActiveVersion {
    version: u64,
    hash: String,
    published_by: String,
    approved_by: String,
    rolled_by: String,
    offset: u64,
    workspaces: usize,
}

#[derive(Serialize)]
struct PendingVersion {
    version: u64,
    base: u64,
    hash: String,
    published_by: String,
    approved_by: Option<String>,
    offset: u64,
}

#[derive(Serialize)]
struct HistoryEntry {
    offset: u64,
    what: String,
    verdict: String,
}

#[derive(Serialize)]
struct CheckReport {
    result: &'static str,
    version: u64,
    hash: String,
}

/// Reads and checks the bundle file at `path`.
pub(crate) fn load(path: &Path) -> Result<Bundle, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let document: Document = sparscale_settings::parse_unchecked(path, &text)?;
    let bundle = Bundle::try_from(document).map_err(|error| sparscale_settings::Error::Values {
        problems: Problems::locate(path, &text, error.problems),
    })?;
    Ok(bundle)
}

pub(crate) fn check(path: &Path) -> Result<Report, Error> {
    let bundle = load(path)?;
    let hash = bundle.hash().to_string();
    let version = bundle.version();
    let text = format!("{}: version {version} is a valid bundle\nhash {hash}", path.display());
    let result = "valid";
    Ok(Report::new(Exit::Success, text, &CheckReport { result, version, hash }))
}

pub(crate) async fn publish(settings: &Settings, path: &Path) -> Result<Report, Error> {
    let bundle = load(path)?;
    let mut writer = settings.writer().await?;
    let active = writer.reader().state().active_certificate().cloned();
    let base = active.as_ref().map_or(0, |certificate| certificate.bundle.version());
    let version = bundle.version();
    let hash = bundle.hash();
    let content = match &active {
        Some(certificate) => BundleContent::Delta(Delta::between(&certificate.bundle, &bundle)),
        None => BundleContent::Whole(bundle),
    };
    let publish = Publish {
        author: settings.name().to_owned(),
        version,
        base,
        hash,
        content,
        signature: settings.sign(Action::Publish, version, base, hash)?,
    };
    let record = Record::new(RecordBody::Publish(Box::new(publish)));
    let outcome = submit(&mut writer, settings, &record, version, hash.to_string()).await;
    Ok(report(&outcome, "published", "ask another operator to approve it"))
}

pub(crate) async fn approve(settings: &Settings, version: u64, hash: Option<&str>) -> Result<Report, Error> {
    let mut writer = settings.writer().await?;
    let proposal = find_proposal(&writer, version)?;
    let published_hash = proposal.bundle.hash();
    if let Some(expected) = hash.filter(|expected| *expected != published_hash.to_string()) {
        let because = format!(
            "version {version} has hash {published_hash}, not {expected}; review the version again before you sign it"
        );
        return Ok(report(
            &Outcome::Refused {
                because,
                offset: proposal.offset,
            },
            "",
            "",
        ));
    }
    let approve = Approve {
        author: settings.name().to_owned(),
        version,
        base: proposal.base,
        hash: published_hash,
        signature: settings.sign(Action::Approve, version, proposal.base, published_hash)?,
    };
    let record = Record::new(RecordBody::Approve(approve));
    let outcome = submit(&mut writer, settings, &record, version, published_hash.to_string()).await;
    Ok(report(&outcome, "approved", "roll it"))
}

pub(crate) async fn roll(settings: &Settings, version: u64) -> Result<Report, Error> {
    let mut writer = settings.writer().await?;
    let proposal = find_proposal(&writer, version)?;
    let hash = proposal.bundle.hash();
    let roll = Roll {
        author: settings.name().to_owned(),
        version,
        base: proposal.base,
        hash,
        signature: settings.sign(Action::Roll, version, proposal.base, hash)?,
    };
    let record = Record::new(RecordBody::Roll(roll));
    let outcome = submit(&mut writer, settings, &record, version, hash.to_string()).await;
    Ok(report(
        &outcome,
        "rolled",
        "it becomes active everywhere within seconds",
    ))
}

pub(crate) async fn status(settings: &Settings) -> Result<Report, Error> {
    let writer = settings.writer().await?;
    let status = status_of(writer.reader().state());
    Ok(Report::new(Exit::Success, status.text(), &status))
}

pub(crate) async fn history(settings: &Settings) -> Result<Report, Error> {
    let mut writer = settings.fresh_writer();
    let mut entries = Vec::new();
    writer
        .catch_up_with_verdicts(|offset, data, verdict| {
            if let Some(what) = describe_operator_action(data) {
                let verdict = verdict_text(verdict);
                entries.push(HistoryEntry { offset, what, verdict });
            }
        })
        .await?;
    let lines = entries
        .iter()
        .map(|entry| format!("{:>8}  {}  {}", entry.offset, entry.what, entry.verdict));
    let text = lines.collect::<Vec<_>>().join("\n");
    Ok(Report::new(Exit::Success, text, &entries))
}

async fn submit(writer: &mut Writer, settings: &Settings, record: &Record, version: u64, hash: String) -> Outcome {
    let deadline = Instant::now() + settings.submit_timeout();
    match writer.submit(record, deadline).await {
        SubmitOutcome::Judged(Receipt {
            offset,
            verdict: Verdict::Accepted,
        }) => Outcome::Accepted { version, hash, offset },
        SubmitOutcome::Judged(Receipt { offset, verdict }) => Outcome::Refused {
            because: verdict_text(&verdict),
            offset,
        },
        SubmitOutcome::NotAppended { message } => Outcome::NotAppended { trouble: message },
        SubmitOutcome::Unknown { id, message } => Outcome::Unknown {
            record: id.to_string(),
            trouble: message,
        },
    }
}

fn report(outcome: &Outcome, action: &str, next_step: &str) -> Report {
    let (exit, text) = match outcome {
        Outcome::Accepted { version, hash, offset } => (
            Exit::Success,
            format!("accepted: version {version} {action} at offset {offset}; {next_step}\nhash {hash}"),
        ),
        Outcome::Refused { because, .. } => (Exit::Refused, format!("refused because {because}")),
        Outcome::Unknown { trouble, .. } => {
            let text = format!("unknown: the record may be in the log ({trouble}); run `sparscale bundle status`");
            (Exit::Unknown, text)
        }
        Outcome::NotAppended { trouble } => (
            Exit::NotAppended,
            format!("not appended: the log does not have the record ({trouble}); nothing changed, retry later"),
        ),
    };
    Report::new(exit, text, outcome)
}

fn find_proposal(writer: &Writer, version: u64) -> Result<Proposal, Error> {
    let proposal = writer.reader().state().proposals().get(&version);
    proposal.cloned().context(NoProposalSnafu { version })
}

fn status_of(state: &State) -> Status {
    let in_force = state.active_certificate().map(|certificate| ActiveVersion {
        version: certificate.bundle.version(),
        hash: certificate.bundle.hash().to_string(),
        published_by: certificate.publisher.clone(),
        approved_by: certificate.approval.author.clone(),
        rolled_by: certificate.roller.clone(),
        offset: certificate.offset,
        workspaces: certificate.bundle.workspaces().count(),
    });
    let pending = state.proposals().iter().map(|(version, proposal)| PendingVersion {
        version: *version,
        base: proposal.base,
        hash: proposal.bundle.hash().to_string(),
        published_by: proposal.author.clone(),
        approved_by: proposal.approval.as_ref().map(|approval| approval.author.clone()),
        offset: proposal.offset,
    });
    Status {
        head: state.head(),
        in_force,
        waiting: pending.collect(),
    }
}

impl Status {
    fn text(&self) -> String {
        let mut lines = Vec::new();
        match &self.in_force {
            Some(active) => lines.push(format!(
                "in force: version {} (hash {}), published by {}, approved by {}, rolled by {} at offset {}, {} workspaces",
                active.version, active.hash, active.published_by, active.approved_by, active.rolled_by, active.offset, active.workspaces
            )),
            None => lines.push("in force: nothing".to_owned()),
        }
        for pending in &self.waiting {
            let approver = pending.approved_by.as_ref();
            let approval = approver.map_or("not approved".to_owned(), |name| format!("approved by {name}"));
            lines.push(format!(
                "waiting: version {} on base {} (hash {}), published by {} at offset {}, {approval}",
                pending.version, pending.base, pending.hash, pending.published_by, pending.offset
            ));
        }
        lines.push(format!("log head: {}", self.head));
        lines.join("\n")
    }
}

fn describe_operator_action(data: &[u8]) -> Option<String> {
    let record = Record::decode(data).ok()?;
    match record.body {
        RecordBody::Publish(publish) => Some(format!(
            "{} published version {} on base {}",
            publish.author, publish.version, publish.base
        )),
        RecordBody::Approve(approve) => Some(format!("{} approved version {}", approve.author, approve.version)),
        RecordBody::Roll(roll) => Some(format!("{} rolled version {}", roll.author, roll.version)),
        RecordBody::Claim(_)
        | RecordBody::Map(_)
        | RecordBody::Bind(_)
        | RecordBody::Snapshot(_)
        | RecordBody::Strike(_) => None,
    }
}

fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted => "accepted".to_owned(),
        Verdict::Duplicate => "a copy, counted once".to_owned(),
        Verdict::Refused(refusal) => refusal.to_string(),
        Verdict::Damaged(message) => format!("damaged: {message}"),
        Verdict::SnapshotDiffers => "a snapshot that differs".to_owned(),
    }
}
