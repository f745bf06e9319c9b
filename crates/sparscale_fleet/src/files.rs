//! Writes the operator keys and settings files of a fleet.

use std::fs;

use serde_json::json;
use sparscale_bundle::{Operator, sign};

use crate::fleet::{
    AGENT_PORT, BOXES_PORT, CALLERS_PORT, ENTRY_PORT, Error, Fleet, LOG_PORT, OPERATORS, SERVICE_PORT, error_text,
};
use crate::plan::Plan;

impl Fleet {
    pub(crate) fn write_operators(&mut self) -> Result<(), Error> {
        for name in OPERATORS {
            let key = sign::generate_key();
            let path = self.folder.join(format!("{name}.key"));
            fs::write(path, hex::encode(key.to_bytes())).map_err(error_text)?;
            self.operators.push(Operator {
                name: name.to_owned(),
                key: sign::encode_public_key(&key),
            });
        }
        for name in OPERATORS {
            let settings = json!({
                "log": self.url(LOG_PORT),
                "operator": name,
                "key_file": self.folder.join(format!("{name}.key")),
                "operators": self.operators,
                "patience_seconds": 5,
            });
            self.write_json(&format!("operator-{name}"), &settings)?;
        }
        Ok(())
    }

    pub(crate) fn write_settings(&self) -> Result<(), Error> {
        for (index, name) in self.agent_names().into_iter().enumerate() {
            let is_rank = index < self.plan.rank_count;
            let target = if is_rank {
                format!("http://{}", self.rank_address(index))
            } else {
                self.url(SERVICE_PORT + (index - self.plan.rank_count) as u16)
            };
            let settings = json!({
                "process": self.process_settings(&name, "agent", index, AGENT_PORT),
                "kind": if is_rank { "model" } else { "service" },
                "target": target,
                "ledger_entries": 100_000,
            });
            self.write_json(&name, &settings)?;
        }
        for (index, name) in self.plan.entry_names().into_iter().enumerate() {
            let settings = json!({
                "process": self.process_settings(&name, "entry", index, ENTRY_PORT),
                "callers": self.socket_address(CALLERS_PORT + index as u16),
                "max_body_bytes": self.plan.max_body_bytes,
                "secret": "a secret of the demo and of tests only",
                "ticket_seconds": 600,
                "stop_lag_ms": self.plan.stop_lag_ms,
            });
            self.write_json(&name, &settings)?;
        }
        Ok(())
    }

    fn process_settings(&self, name: &str, role: &str, index: usize, port: u16) -> serde_json::Value {
        json!({
            "name": name,
            "hall": Plan::hall(index),
            "listen": self.socket_address(port + index as u16),
            "certificate": self.folder.join(format!("{role}.pem")),
            "key": self.folder.join(format!("{role}.key")),
            "authority": self.folder.join("authority.pem"),
            "log": self.url(LOG_PORT),
            "boxes": self.url(BOXES_PORT),
            "boxes_interval_ms": 100,
            "operators": self.operators,
            "snapshot_every": self.plan.snapshot_every,
            "metrics": null,
        })
    }

    fn write_json(&self, name: &str, value: &serde_json::Value) -> Result<(), Error> {
        let content = serde_json::to_string_pretty(value).map_err(error_text)?;
        fs::write(self.settings_path(name), content).map_err(error_text)
    }
}
