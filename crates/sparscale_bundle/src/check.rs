//! Checks of a bundle's values: every problem is named with its field and its mend.

use std::collections::BTreeSet;
use std::fmt;

use sparscale_settings::Problem;

use crate::document::{Document, Fleet, Workspace};
use crate::sign;

/// A bundle whose values do not fit together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Every problem that was found.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.problems.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Error {}

impl From<Vec<Problem>> for Error {
    fn from(problems: Vec<Problem>) -> Self {
        Self { problems }
    }
}

/// Checks a whole document.
pub(crate) fn document(document: &Document) -> Result<(), Error> {
    let mut found = Vec::new();
    fleet_problems(&document.fleet, &mut found);
    let tiers = names(document.fleet.tiers.iter().map(|tier| &tier.name));
    unique(
        "workspaces",
        document.workspaces.iter().map(|entry| &entry.name),
        &mut found,
    );
    let mut keys = BTreeSet::new();
    for workspace in &document.workspaces {
        workspace_problems(workspace, &tiers, &mut found);
        for hash in &workspace.key_hashes {
            if !keys.insert(*hash) {
                let place = format!("workspaces[{}].key_hashes", workspace.name);
                found.push(Problem::new(
                    place,
                    "a key hash stands twice",
                    "give each caller key to one workspace",
                ));
            }
        }
    }
    if document.version == 0 {
        found.push(Problem::new("version", "is 0", "count versions from 1"));
    }
    finish(found)
}

/// Checks the fleet section alone.
pub(crate) fn fleet(fleet: &Fleet) -> Result<(), Error> {
    let mut found = Vec::new();
    fleet_problems(fleet, &mut found);
    finish(found)
}

/// Checks one workspace against `fleet`.
pub(crate) fn workspace(workspace: &Workspace, fleet: &Fleet) -> Result<(), Error> {
    let mut found = Vec::new();
    let tiers = names(fleet.tiers.iter().map(|tier| &tier.name));
    workspace_problems(workspace, &tiers, &mut found);
    finish(found)
}

/// The error of a key that two workspaces would share.
pub(crate) fn shared_key(name: &str, holder: &str) -> Error {
    let place = format!("workspaces[{name}].key_hashes");
    let problem = format!("a key hash belongs to workspace {holder} already");
    Error::from(vec![Problem::new(
        place,
        problem,
        "give each caller key to one workspace",
    )])
}

fn finish(found: Vec<Problem>) -> Result<(), Error> {
    if found.is_empty() {
        Ok(())
    } else {
        Err(Error::from(found))
    }
}

fn names<'a>(entries: impl Iterator<Item = &'a String>) -> BTreeSet<&'a str> {
    entries.map(String::as_str).collect()
}

fn unique<'a>(section: &str, entries: impl Iterator<Item = &'a String>, found: &mut Vec<Problem>) {
    let mut seen = BTreeSet::new();
    for name in entries {
        if !is_name(name) {
            let mend = "use 1 to 64 letters, digits, dots, dashes or underscores";
            found.push(Problem::new(format!("{section}[{name}].name"), "is not a name", mend));
        }
        if !seen.insert(name) {
            found.push(Problem::new(
                format!("{section}[{name}]"),
                "stands twice",
                "remove one entry",
            ));
        }
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    (1..=64).contains(&name.len()) && name.chars().all(allowed)
}

fn known(place: String, name: &str, kind: &str, all: &BTreeSet<&str>, found: &mut Vec<Problem>) {
    if all.contains(name) {
        return;
    }
    let listed: Vec<&str> = all.iter().copied().take(8).collect();
    let mend = format!("use one of: {}", listed.join(", "));
    found.push(Problem::new(place, format!("names no {kind}: {name}"), mend));
}

fn at_least_one(place: &str, value: u64, found: &mut Vec<Problem>) {
    if value == 0 {
        found.push(Problem::new(place, "is 0", "use 1 or more"));
    }
}

fn workspace_problems(workspace: &Workspace, tiers: &BTreeSet<&str>, found: &mut Vec<Problem>) {
    let place = |field: &str| format!("workspaces[{}].{field}", workspace.name);
    known(place("tier"), &workspace.tier, "tier", tiers, found);
    at_least_one(&place("weight"), u64::from(workspace.weight), found);
    at_least_one(&place("in_flight"), u64::from(workspace.in_flight), found);
    if workspace.key_hashes.is_empty() {
        found.push(Problem::new(
            place("key_hashes"),
            "is empty",
            "add the SHA-256 of a caller key",
        ));
    }
}

fn fleet_problems(fleet: &Fleet, found: &mut Vec<Problem>) {
    unique("operators", fleet.operators.iter().map(|entry| &entry.name), found);
    unique("halls", fleet.halls.iter().map(|entry| &entry.name), found);
    unique("tiers", fleet.tiers.iter().map(|entry| &entry.name), found);
    unique("models", fleet.models.iter().map(|entry| &entry.name), found);
    unique("services", fleet.services.iter().map(|entry| &entry.name), found);
    unique("groups", fleet.groups.iter().map(|entry| &entry.name), found);
    unique("targets", fleet.targets.iter().map(|entry| &entry.name), found);
    operator_problems(fleet, found);
    target_problems(fleet, found);
    group_problems(fleet, found);
    service_problems(fleet, found);
    placement_problems(fleet, found);
    limit_problems(fleet, found);
    if fleet.tiers.is_empty() {
        found.push(Problem::new("tiers", "is empty", "name at least one tier"));
    }
}

fn operator_problems(fleet: &Fleet, found: &mut Vec<Problem>) {
    if fleet.operators.len() < 2 {
        found.push(Problem::new(
            "operators",
            "has fewer than two entries",
            "approval needs a second operator",
        ));
    }
    for operator in &fleet.operators {
        if sign::public_key(&operator.key).is_none() {
            let place = format!("operators[{}].key", operator.name);
            found.push(Problem::new(
                place,
                "is no ed25519 key",
                "paste the 64 digits that `sparscale key new` prints",
            ));
        }
    }
}

fn target_problems(fleet: &Fleet, found: &mut Vec<Problem>) {
    let halls = names(fleet.halls.iter().map(|hall| &hall.name));
    for target in &fleet.targets {
        known(
            format!("targets[{}].hall", target.name),
            &target.hall,
            "hall",
            &halls,
            found,
        );
    }
}

fn group_problems(fleet: &Fleet, found: &mut Vec<Problem>) {
    let models = names(fleet.models.iter().map(|model| &model.name));
    let targets = names(fleet.targets.iter().map(|target| &target.name));
    let mut used = BTreeSet::new();
    for group in &fleet.groups {
        let place = |field: &str| format!("groups[{}].{field}", group.name);
        known(place("model"), &group.model, "model", &models, found);
        for rank in &group.ranks {
            known(place("ranks"), rank, "target", &targets, found);
            if !used.insert(rank.as_str()) {
                let problem = format!("target {rank} is a rank already");
                found.push(Problem::new(place("ranks"), problem, "give each target one rank"));
            }
        }
        at_least_one(&place("layers"), u64::from(group.layers), found);
        at_least_one(&place("experts"), u64::from(group.experts), found);
        let room = u64::from(group.slots) * group.ranks.len() as u64;
        if room < u64::from(group.experts) {
            let problem = format!("{room} slots hold fewer than {} experts", group.experts);
            found.push(Problem::new(place("slots"), problem, "raise slots or add ranks"));
        }
    }
}

fn service_problems(fleet: &Fleet, found: &mut Vec<Problem>) {
    let targets = names(fleet.targets.iter().map(|target| &target.name));
    let ranks: BTreeSet<&str> = fleet
        .groups
        .iter()
        .flat_map(|group| group.ranks.iter().map(String::as_str))
        .collect();
    for service in &fleet.services {
        let place = |field: &str| format!("services[{}].{field}", service.name);
        unique(&place("calls"), service.calls.iter().map(|call| &call.name), found);
        for target in &service.targets {
            known(place("targets"), target, "target", &targets, found);
            if ranks.contains(target.as_str()) {
                let problem = format!("target {target} is a rank of a group");
                found.push(Problem::new(
                    place("targets"),
                    problem,
                    "give the service a target of its own",
                ));
            }
        }
    }
}

fn placement_problems(fleet: &Fleet, found: &mut Vec<Problem>) {
    let placement = &fleet.placement;
    let positive = [
        ("placement.half_life_seconds", placement.half_life_seconds),
        (
            "placement.weight_store_bytes_per_second",
            placement.weight_store_bytes_per_second,
        ),
    ];
    for (place, value) in positive {
        if !(value.is_finite() && value > 0.0) {
            found.push(Problem::new(place, "is not a number above 0", "use a positive number"));
        }
    }
    let weights = [
        ("placement.weight_skew", placement.weight_skew),
        ("placement.weight_move", placement.weight_move),
    ];
    for (place, value) in weights {
        if !(value.is_finite() && value >= 0.0) {
            found.push(Problem::new(
                place,
                "is not a number of 0 or more",
                "use 0 or a positive number",
            ));
        }
    }
    for span in &placement.quiet_hours {
        if span.from > 23 || span.to > 24 {
            let mend = "use hours from 0 to 24 in UTC";
            found.push(Problem::new("placement.quiet_hours", "is not a span of hours", mend));
        }
    }
}

fn limit_problems(fleet: &Fleet, found: &mut Vec<Problem>) {
    let limits = &fleet.limits;
    at_least_one(
        "limits.in_flight_per_target",
        u64::from(limits.in_flight_per_target),
        found,
    );
    at_least_one("limits.deadline_ms", limits.deadline_ms, found);
    at_least_one("limits.candidates", u64::from(limits.candidates), found);
    if limits.floor_one_in < 2 {
        found.push(Problem::new(
            "limits.floor_one_in",
            "is below 2",
            "use 2 or more: 20 gives one in twenty",
        ));
    }
}
