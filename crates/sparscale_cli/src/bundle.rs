//! `sparscale bundle …`: check, publish, approve, roll, status, history.

use std::fs;
use std::path::Path;

use serde::Serialize;
use snafu::{OptionExt as _, ResultExt as _};
use sparscale_bundle::sign::Act;
use sparscale_bundle::{Bundle, Delta, Document};
use sparscale_journal::{
    Approve, Body, Content, Proposal, Publish, Receipt, Record, Roll, Settled, State, Verdict, Writer,
};
use sparscale_settings::Problems;
use tokio::time::Instant;

use crate::error::{Error, NoProposalSnafu, ReadSnafu};
use crate::operator::Settings;
use crate::report::{Exit, Report};

/// What became of an operator's record.
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
    in_force: Option<InForce>,
    waiting: Vec<Waiting>,
}

#[derive(Serialize)]
struct InForce {
    version: u64,
    hash: String,
    published_by: String,
    approved_by: String,
    rolled_by: String,
    offset: u64,
    workspaces: usize,
}

#[derive(Serialize)]
struct Waiting {
    version: u64,
    base: u64,
    hash: String,
    published_by: String,
    approved_by: Option<String>,
    offset: u64,
}

#[derive(Serialize)]
struct Step {
    offset: u64,
    what: String,
    verdict: String,
}

#[derive(Serialize)]
struct Checked {
    result: &'static str,
    version: u64,
    hash: String,
}

/// Reads and checks a bundle file.
pub(crate) fn load(path: &Path) -> Result<Bundle, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let document: Document = sparscale_settings::document(path, &text)?;
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
    Ok(Report::new(Exit::Success, text, &Checked { result, version, hash }))
}

pub(crate) async fn publish(settings: &Settings, path: &Path) -> Result<Report, Error> {
    let bundle = load(path)?;
    let mut writer = settings.writer().await?;
    let in_force = writer.reader().state().in_force().cloned();
    let base = in_force.as_ref().map_or(0, |certificate| certificate.bundle.version());
    let version = bundle.version();
    let hash = bundle.hash();
    let content = match &in_force {
        Some(certificate) => Content::Delta(Delta::between(&certificate.bundle, &bundle)),
        None => Content::Whole(bundle),
    };
    let publish = Publish {
        author: settings.name().to_owned(),
        version,
        base,
        hash,
        content,
        signature: settings.sign(Act::Publish, version, base, hash)?,
    };
    let record = Record::new(Body::Publish(Box::new(publish)));
    let outcome = submit(&mut writer, settings, &record, version, hash.to_string()).await;
    Ok(report(&outcome, "published", "ask another operator to approve it"))
}

pub(crate) async fn approve(settings: &Settings, version: u64, hash: Option<&str>) -> Result<Report, Error> {
    let mut writer = settings.writer().await?;
    let proposal = proposal(&writer, version)?;
    let found = proposal.bundle.hash();
    if let Some(expected) = hash.filter(|expected| *expected != found.to_string()) {
        let because = format!("version {version} has hash {found}, not {expected}; look at it again before you sign");
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
        hash: found,
        signature: settings.sign(Act::Approve, version, proposal.base, found)?,
    };
    let record = Record::new(Body::Approve(approve));
    let outcome = submit(&mut writer, settings, &record, version, found.to_string()).await;
    Ok(report(&outcome, "approved", "roll it"))
}

pub(crate) async fn roll(settings: &Settings, version: u64) -> Result<Report, Error> {
    let mut writer = settings.writer().await?;
    let proposal = proposal(&writer, version)?;
    let hash = proposal.bundle.hash();
    let roll = Roll {
        author: settings.name().to_owned(),
        version,
        base: proposal.base,
        hash,
        signature: settings.sign(Act::Roll, version, proposal.base, hash)?,
    };
    let record = Record::new(Body::Roll(roll));
    let outcome = submit(&mut writer, settings, &record, version, hash.to_string()).await;
    Ok(report(
        &outcome,
        "rolled",
        "it comes in force everywhere within seconds",
    ))
}

pub(crate) async fn status(settings: &Settings) -> Result<Report, Error> {
    let writer = settings.writer().await?;
    let status = status_of(writer.reader().state());
    Ok(Report::new(Exit::Success, status.text(), &status))
}

pub(crate) async fn history(settings: &Settings) -> Result<Report, Error> {
    let mut writer = settings.fresh_writer();
    let mut steps = Vec::new();
    writer
        .catch_up_judging(|offset, data, verdict| {
            if let Some(what) = operators_step(data) {
                let verdict = verdict_text(verdict);
                steps.push(Step { offset, what, verdict });
            }
        })
        .await?;
    let lines = steps
        .iter()
        .map(|step| format!("{:>8}  {}  {}", step.offset, step.what, step.verdict));
    let text = lines.collect::<Vec<_>>().join("\n");
    Ok(Report::new(Exit::Success, text, &steps))
}

async fn submit(writer: &mut Writer, settings: &Settings, record: &Record, version: u64, hash: String) -> Outcome {
    let deadline = Instant::now() + settings.patience();
    match writer.submit(record, deadline).await {
        Settled::Judged(Receipt {
            offset,
            verdict: Verdict::Accepted,
        }) => Outcome::Accepted { version, hash, offset },
        Settled::Judged(Receipt { offset, verdict }) => Outcome::Refused {
            because: verdict_text(&verdict),
            offset,
        },
        Settled::NotAppended { message } => Outcome::NotAppended { trouble: message },
        Settled::Unknown { id, message } => Outcome::Unknown {
            record: id.to_string(),
            trouble: message,
        },
    }
}

fn report(outcome: &Outcome, done: &str, next: &str) -> Report {
    let (exit, text) = match outcome {
        Outcome::Accepted { version, hash, offset } => (
            Exit::Success,
            format!("accepted: version {version} {done} at offset {offset}; {next}\nhash {hash}"),
        ),
        Outcome::Refused { because, .. } => (Exit::Refused, format!("refused because {because}")),
        Outcome::Unknown { trouble, .. } => {
            let text = format!("unknown: the record may be in the log ({trouble}); run `sparscale bundle status`");
            (Exit::Unknown, text)
        }
        Outcome::NotAppended { trouble } => (
            Exit::NotAppended,
            format!("not appended: the log did not take the record ({trouble}); nothing changed, try again"),
        ),
    };
    Report::new(exit, text, outcome)
}

fn proposal(writer: &Writer, version: u64) -> Result<Proposal, Error> {
    let found = writer.reader().state().proposals().get(&version);
    found.cloned().context(NoProposalSnafu { version })
}

fn status_of(state: &State) -> Status {
    let in_force = state.in_force().map(|certificate| InForce {
        version: certificate.bundle.version(),
        hash: certificate.bundle.hash().to_string(),
        published_by: certificate.publisher.clone(),
        approved_by: certificate.approval.author.clone(),
        rolled_by: certificate.roller.clone(),
        offset: certificate.offset,
        workspaces: certificate.bundle.workspaces().count(),
    });
    let waiting = state.proposals().iter().map(|(version, proposal)| Waiting {
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
        waiting: waiting.collect(),
    }
}

impl Status {
    fn text(&self) -> String {
        let mut lines = Vec::new();
        match &self.in_force {
            Some(found) => lines.push(format!(
                "in force: version {} (hash {}), published by {}, approved by {}, rolled by {} at offset {}, {} workspaces",
                found.version, found.hash, found.published_by, found.approved_by, found.rolled_by, found.offset, found.workspaces
            )),
            None => lines.push("in force: nothing".to_owned()),
        }
        for waiting in &self.waiting {
            let approved = waiting.approved_by.as_ref();
            let approved = approved.map_or("not approved".to_owned(), |name| format!("approved by {name}"));
            lines.push(format!(
                "waiting: version {} on base {} (hash {}), published by {} at offset {}, {approved}",
                waiting.version, waiting.base, waiting.hash, waiting.published_by, waiting.offset
            ));
        }
        lines.push(format!("log head: {}", self.head));
        lines.join("\n")
    }
}

fn operators_step(data: &[u8]) -> Option<String> {
    let record = Record::decode(data).ok()?;
    match record.body {
        Body::Publish(publish) => Some(format!(
            "{} published version {} on base {}",
            publish.author, publish.version, publish.base
        )),
        Body::Approve(approve) => Some(format!("{} approved version {}", approve.author, approve.version)),
        Body::Roll(roll) => Some(format!("{} rolled version {}", roll.author, roll.version)),
        Body::Claim(_) | Body::Map(_) | Body::Bind(_) | Body::Snapshot(_) | Body::Strike(_) => None,
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
