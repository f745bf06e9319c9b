//! Validates the values of a bundle; each problem is reported with its field and a remedy.

use std::collections::BTreeSet;
use std::fmt;

use sparscale_settings::Problem;

use crate::document::{Document, Fleet, Workspace};
use crate::sign;

/// A bundle with invalid or inconsistent values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// All problems in the bundle.
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

/// Checks a complete document.
pub(crate) fn document(document: &Document) -> Result<(), Error> {
    let mut problems = Vec::new();
    fleet_problems(&document.fleet, &mut problems);
    let tiers = name_set(document.fleet.tiers.iter().map(|tier| &tier.name));
    check_names(
        "workspaces",
        document.workspaces.iter().map(|item| &item.name),
        &mut problems,
    );
    let mut known_keys = BTreeSet::new();
    for workspace in &document.workspaces {
        workspace_problems(workspace, &tiers, &mut problems);
        for hash in &workspace.key_hashes {
            if !known_keys.insert(*hash) {
                let field = format!("workspaces[{}].key_hashes", workspace.name);
                problems.push(Problem::new(
                    field,
                    "a key hash is listed twice",
                    "assign each caller key to one workspace",
                ));
            }
        }
    }
    if document.version == 0 {
        problems.push(Problem::new("version", "is 0", "count versions from 1"));
    }
    into_result(problems)
}

/// Checks the fleet section without the workspaces.
pub(crate) fn fleet(fleet: &Fleet) -> Result<(), Error> {
    let mut problems = Vec::new();
    fleet_problems(fleet, &mut problems);
    into_result(problems)
}

/// Checks one workspace against `fleet`.
pub(crate) fn workspace(workspace: &Workspace, fleet: &Fleet) -> Result<(), Error> {
    let mut problems = Vec::new();
    let tiers = name_set(fleet.tiers.iter().map(|tier| &tier.name));
    workspace_problems(workspace, &tiers, &mut problems);
    into_result(problems)
}

/// Creates the error for a key hash that two workspaces would share.
pub(crate) fn shared_key_error(name: &str, holder: &str) -> Error {
    let field = format!("workspaces[{name}].key_hashes");
    let problem = format!("a key hash already belongs to workspace {holder}");
    Error::from(vec![Problem::new(
        field,
        problem,
        "assign each caller key to one workspace",
    )])
}

fn into_result(problems: Vec<Problem>) -> Result<(), Error> {
    if problems.is_empty() {
        Ok(())
    } else {
        Err(Error::from(problems))
    }
}

fn name_set<'a>(names: impl Iterator<Item = &'a String>) -> BTreeSet<&'a str> {
    names.map(String::as_str).collect()
}

fn check_names<'a>(section: &str, names: impl Iterator<Item = &'a String>, problems: &mut Vec<Problem>) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !is_name(name) {
            let remedy = "use 1 to 64 letters, digits, dots, dashes or underscores";
            problems.push(Problem::new(
                format!("{section}[{name}].name"),
                "is not a valid name",
                remedy,
            ));
        }
        if !seen.insert(name) {
            problems.push(Problem::new(
                format!("{section}[{name}]"),
                "is listed twice",
                "remove one entry",
            ));
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    (1..=64).contains(&name.len()) && name.chars().all(is_allowed)
}

fn require_known(field: String, name: &str, kind: &str, known_names: &BTreeSet<&str>, problems: &mut Vec<Problem>) {
    if known_names.contains(name) {
        return;
    }
    let examples: Vec<&str> = known_names.iter().copied().take(8).collect();
    let remedy = format!("use one of: {}", examples.join(", "));
    problems.push(Problem::new(field, format!("unknown {kind}: {name}"), remedy));
}

fn require_positive(field: &str, value: u64, problems: &mut Vec<Problem>) {
    if value == 0 {
        problems.push(Problem::new(field, "is 0", "use 1 or more"));
    }
}

fn workspace_problems(workspace: &Workspace, tiers: &BTreeSet<&str>, problems: &mut Vec<Problem>) {
    let path_of = |field: &str| format!("workspaces[{}].{field}", workspace.name);
    require_known(path_of("tier"), &workspace.tier, "tier", tiers, problems);
    require_positive(&path_of("weight"), u64::from(workspace.weight), problems);
    require_positive(&path_of("in_flight"), u64::from(workspace.in_flight), problems);
    if workspace.key_hashes.is_empty() {
        problems.push(Problem::new(
            path_of("key_hashes"),
            "is empty",
            "add the SHA-256 of a caller key",
        ));
    }
}

fn fleet_problems(fleet: &Fleet, problems: &mut Vec<Problem>) {
    check_names("operators", fleet.operators.iter().map(|item| &item.name), problems);
    check_names("halls", fleet.halls.iter().map(|item| &item.name), problems);
    check_names("tiers", fleet.tiers.iter().map(|item| &item.name), problems);
    check_names("models", fleet.models.iter().map(|item| &item.name), problems);
    check_names("services", fleet.services.iter().map(|item| &item.name), problems);
    check_names("groups", fleet.groups.iter().map(|item| &item.name), problems);
    check_names("targets", fleet.targets.iter().map(|item| &item.name), problems);
    operator_problems(fleet, problems);
    target_problems(fleet, problems);
    group_problems(fleet, problems);
    service_problems(fleet, problems);
    placement_problems(fleet, problems);
    limit_problems(fleet, problems);
    if fleet.tiers.is_empty() {
        problems.push(Problem::new("tiers", "is empty", "add at least one tier"));
    }
}

fn operator_problems(fleet: &Fleet, problems: &mut Vec<Problem>) {
    if fleet.operators.len() < 2 {
        problems.push(Problem::new(
            "operators",
            "has fewer than two entries",
            "add a second operator; approval requires one",
        ));
    }
    for operator in &fleet.operators {
        if sign::parse_public_key(&operator.key).is_none() {
            let field = format!("operators[{}].key", operator.name);
            problems.push(Problem::new(
                field,
                "is not an ed25519 public key",
                "paste the 64 hexadecimal digits that `sparscale key new` prints",
            ));
        }
    }
}

fn target_problems(fleet: &Fleet, problems: &mut Vec<Problem>) {
    let halls = name_set(fleet.halls.iter().map(|hall| &hall.name));
    for target in &fleet.targets {
        require_known(
            format!("targets[{}].hall", target.name),
            &target.hall,
            "hall",
            &halls,
            problems,
        );
    }
}

fn group_problems(fleet: &Fleet, problems: &mut Vec<Problem>) {
    let models = name_set(fleet.models.iter().map(|model| &model.name));
    let targets = name_set(fleet.targets.iter().map(|target| &target.name));
    let mut assigned_targets = BTreeSet::new();
    for group in &fleet.groups {
        let path_of = |field: &str| format!("groups[{}].{field}", group.name);
        require_known(path_of("model"), &group.model, "model", &models, problems);
        for rank in &group.ranks {
            require_known(path_of("ranks"), rank, "target", &targets, problems);
            if !assigned_targets.insert(rank.as_str()) {
                let problem = format!("target {rank} already is a rank of a group");
                problems.push(Problem::new(
                    path_of("ranks"),
                    problem,
                    "assign each target to one rank",
                ));
            }
        }
        require_positive(&path_of("layers"), u64::from(group.layers), problems);
        require_positive(&path_of("experts"), u64::from(group.experts), problems);
        let total_slots = u64::from(group.slots) * group.ranks.len() as u64;
        if total_slots < u64::from(group.experts) {
            let problem = format!("{total_slots} slots cannot hold {} experts", group.experts);
            problems.push(Problem::new(path_of("slots"), problem, "raise slots or add ranks"));
        }
    }
}

fn service_problems(fleet: &Fleet, problems: &mut Vec<Problem>) {
    let targets = name_set(fleet.targets.iter().map(|target| &target.name));
    let ranks: BTreeSet<&str> = fleet
        .groups
        .iter()
        .flat_map(|group| group.ranks.iter().map(String::as_str))
        .collect();
    for service in &fleet.services {
        let path_of = |field: &str| format!("services[{}].{field}", service.name);
        check_names(&path_of("calls"), service.calls.iter().map(|call| &call.name), problems);
        for target in &service.targets {
            require_known(path_of("targets"), target, "target", &targets, problems);
            if ranks.contains(target.as_str()) {
                let problem = format!("target {target} is a rank of a group");
                problems.push(Problem::new(
                    path_of("targets"),
                    problem,
                    "assign a target to the service that is not a rank",
                ));
            }
        }
    }
}

fn placement_problems(fleet: &Fleet, problems: &mut Vec<Problem>) {
    let placement = &fleet.placement;
    let positive = [
        ("placement.half_life_seconds", placement.half_life_seconds),
        (
            "placement.weight_store_bytes_per_second",
            placement.weight_store_bytes_per_second,
        ),
    ];
    for (field, value) in positive {
        if !(value.is_finite() && value > 0.0) {
            problems.push(Problem::new(field, "is not a positive number", "use a positive number"));
        }
    }
    let weights = [
        ("placement.weight_skew", placement.weight_skew),
        ("placement.weight_move", placement.weight_move),
    ];
    for (field, value) in weights {
        if !(value.is_finite() && value >= 0.0) {
            problems.push(Problem::new(
                field,
                "is not a number of 0 or more",
                "use 0 or a positive number",
            ));
        }
    }
    for hours in &placement.quiet_hours {
        if hours.from > 23 || hours.to > 24 {
            let remedy = "use hours from 0 to 24 in UTC";
            problems.push(Problem::new(
                "placement.quiet_hours",
                "is not a valid range of hours",
                remedy,
            ));
        }
    }
}

fn limit_problems(fleet: &Fleet, problems: &mut Vec<Problem>) {
    let limits = &fleet.limits;
    require_positive(
        "limits.in_flight_per_target",
        u64::from(limits.in_flight_per_target),
        problems,
    );
    require_positive("limits.deadline_ms", limits.deadline_ms, problems);
    require_positive("limits.candidates", u64::from(limits.candidates), problems);
    if limits.floor_one_in < 2 {
        problems.push(Problem::new(
            "limits.floor_one_in",
            "is below 2",
            "use 2 or more: 20 gives one in twenty",
        ));
    }
}
