//! A running fleet: starts and stops its processes, sends requests to them and controls their stand-ins.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use nix::sys::signal::Signal;
use serde::Serialize;
use serde_json::json;
use sparscale_bundle::{Document, Operator};
use sparscale_standin::boxes::{BoxList, ListedBox, Role, Standing};
use sparscale_standin::{Fault, keys};

use crate::client::{Client, HttpResponse};
use crate::names::{MODEL, SERVICE};
use crate::plan::{Plan, caller_key};
use crate::process::{Process, find_program};

/// [`eventually`] and [`Fleet::wait_for_exit`] fail after this time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Names of the operators of every fleet; a roll needs a publisher and a different approver.
pub(crate) const OPERATORS: [&str; 3] = ["alice", "bob", "carol"];

// Ports on the fleet's own loopback address; the index of a process is added for the numbered ones.
pub(crate) const LOG_PORT: u16 = 7_000;
pub(crate) const BOXES_PORT: u16 = 7_001;
const WEIGHTS_PORT: u16 = 7_002;
const RANK_PORT: u16 = 7_100;
pub(crate) const SERVICE_PORT: u16 = 7_200;
pub(crate) const AGENT_PORT: u16 = 7_300;
pub(crate) const ENTRY_PORT: u16 = 7_400;
pub(crate) const CALLERS_PORT: u16 = 7_500;

/// Error text for assertion messages of tests.
pub type Error = String;

/// A complete system of processes on a loopback address of its own; dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) plan: Plan,
    pub(crate) folder: PathBuf,
    address: IpAddr,
    pub(crate) operators: Vec<Operator>,
    processes: BTreeMap<String, Process>,
    client: Client,
}

/// Polls `check` until it returns a value; times out with an error that names `what`.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, check: impl Fn() -> F) -> Result<T, Error> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = check().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(format!("timed out waiting for: {what}"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Fleet {
    /// Starts all processes of `plan`, rolls the first bundle and waits until entries and agents are ready.
    pub async fn start(name: &str, plan: Plan) -> Result<Self, Error> {
        let mut fleet = Self::prepare(name, plan)?;
        fleet.start_platform().await?;
        fleet.roll_bundle(&fleet.document(1)).await?;
        fleet.start_all()?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Writes keys and settings without starting any process.
    pub fn prepare(name: &str, plan: Plan) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("sparscale-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(error_text)?;
        keys::write(&folder)?;
        let mut fleet = Self {
            plan,
            folder,
            address: next_address(),
            operators: Vec::new(),
            processes: BTreeMap::new(),
            client: Client::default(),
        };
        fleet.write_operators()?;
        fleet.write_settings()?;
        Ok(fleet)
    }

    /// Starts the stand-ins (log, box list, weight store, ranks, services) and publishes the box list.
    pub async fn start_platform(&mut self) -> Result<(), Error> {
        let listen = |port: u16| vec!["--listen".to_owned(), self.socket_address(port).to_string()];
        let log = [vec!["log".to_owned()], listen(LOG_PORT)].concat();
        let boxes = [vec!["boxes".to_owned()], listen(BOXES_PORT)].concat();
        let weights = [vec!["weights".to_owned()], listen(WEIGHTS_PORT)].concat();
        self.spawn("log", "sparscale-standin", &log)?;
        self.spawn("boxes", "sparscale-standin", &boxes)?;
        self.spawn("weights", "sparscale-standin", &weights)?;
        self.start_group()?;
        for index in 0..self.plan.service_count {
            self.start_service(index)?;
        }
        for name in ["log", "weights"] {
            eventually(&format!("{name} responds"), || async {
                self.query_standin(name, "/admin/counts").await.ok()
            })
            .await?;
        }
        self.put_boxes(&self.box_list()).await
    }

    /// Starts the process of all ranks.
    pub fn start_group(&mut self) -> Result<(), Error> {
        let plan = &self.plan;
        let mut arguments = vec!["group".to_owned()];
        for index in 0..plan.rank_count {
            arguments.extend(["--listen".to_owned(), self.rank_address(index).to_string()]);
        }
        let options = [
            ("--experts", u64::from(plan.expert_count)),
            ("--slots", u64::from(plan.slots_per_rank)),
            ("--step-micros", plan.step_micros),
        ];
        for (option, value) in options {
            arguments.extend([option.to_owned(), value.to_string()]);
        }
        arguments.extend(["--weights".to_owned(), self.url(WEIGHTS_PORT)]);
        if !plan.checks_fence {
            arguments.push("--no-fence".to_owned());
        }
        self.spawn("group", "sparscale-standin", &arguments)
    }

    /// Starts the server of the plain service with this index.
    pub fn start_service(&mut self, index: usize) -> Result<(), Error> {
        let arguments = [
            "service".to_owned(),
            "--listen".to_owned(),
            self.socket_address(SERVICE_PORT + index as u16).to_string(),
            "--work-ms".to_owned(),
            self.plan.service_work_ms.to_string(),
        ];
        self.spawn(&format!("service-{index}"), "sparscale-standin", &arguments)
    }

    /// Starts all agents and entries.
    pub fn start_all(&mut self) -> Result<(), Error> {
        for name in self.agent_names() {
            self.start_agent(&name)?;
        }
        for name in self.plan.entry_names() {
            self.start_entry(&name)?;
        }
        Ok(())
    }

    /// Starts the agent of the target called `name`.
    pub fn start_agent(&mut self, name: &str) -> Result<(), Error> {
        self.spawn(name, "sparscale-agent", &[self.settings_path(name)])
    }

    /// Starts the entry called `name`.
    pub fn start_entry(&mut self, name: &str) -> Result<(), Error> {
        self.spawn(name, "sparscale-entry", &[self.settings_path(name)])
    }

    fn spawn(&mut self, name: &str, program: &str, arguments: &[String]) -> Result<(), Error> {
        let log = self.log_path(name);
        let process = Process::start(program, arguments, &log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Waits until every entry serves both kinds of requests.
    pub async fn wait_until_ready(&self) -> Result<(), Error> {
        for name in self.plan.entry_names() {
            self.wait_until_entry_ready(&name).await?;
        }
        Ok(())
    }

    /// Waits until the entry called `name` serves model requests and, if the fleet has one, the plain service.
    pub async fn wait_until_entry_ready(&self, name: &str) -> Result<(), Error> {
        eventually(&format!("{name} responds"), || async {
            let response = self.send_chat(name, "teal", "are you there", 1).await.ok()?;
            // `rates` may run more than once, unlike `illustration`, whose effects some tests count.
            if self.plan.service_count > 0 {
                let rates = self.call_service(name, "rates", "{}", &[]).await.ok()?;
                rates.status.is_success().then_some(())?;
            }
            response.status.is_success().then_some(())
        })
        .await
    }

    /// Kills a process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self, name: &str) {
        if let Some(process) = self.processes.remove(name) {
            process.kill();
        }
    }

    /// Sends SIGKILL through a shared reference, so that requests can be in flight; [`Fleet::kill`] reaps the process
    /// later.
    pub fn crash(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::SIGKILL)
    }

    /// Freezes a process (SIGSTOP).
    pub fn freeze(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::SIGSTOP)
    }

    /// Resumes a frozen process (SIGCONT).
    pub fn resume(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::SIGCONT)
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::SIGTERM)
    }

    /// Requests a reload of the certificates (SIGHUP).
    pub fn reload(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::SIGHUP)
    }

    fn signal(&self, name: &str, signal: Signal) -> Result<(), Error> {
        let process = self
            .processes
            .get(name)
            .ok_or_else(|| format!("{name} is not running"))?;
        process.signal(signal)
    }

    /// Waits until the process called `name` has exited without being killed; returns whether its status was success.
    pub async fn wait_for_exit(&mut self, name: &str) -> Result<bool, Error> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let process = self
                .processes
                .get_mut(name)
                .ok_or_else(|| format!("{name} is not running"))?;
            if let Some(status) = process.exit_status() {
                self.processes.remove(name);
                return Ok(status.success());
            }
            if Instant::now() >= deadline {
                return Err(format!("{name} did not exit before the timeout"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the process called `name` has exited by itself.
    pub fn has_exited(&mut self, name: &str) -> bool {
        let process = self.processes.get_mut(name);
        process.is_some_and(|process| process.exit_status().is_some())
    }

    /// Returns the id of the process called `name`.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(Process::id)
    }

    /// Returns the plan that the fleet was started with.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the HTTP client for requests that no method of the fleet sends.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the directory of settings, keys, certificates and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the names of all agents; they equal the names of their targets.
    pub fn agent_names(&self) -> Vec<String> {
        [self.plan.rank_names(), self.plan.service_names()].concat()
    }

    /// Returns the complete log output of the process called `name`.
    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }

    /// Returns the path of the log file of the process called `name`.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Returns the path of the settings file of the process called `name`.
    pub fn settings_path(&self, name: &str) -> String {
        self.folder.join(format!("{name}.json")).display().to_string()
    }

    /// Sends a chat completion request without streaming.
    pub async fn send_chat(
        &self,
        entry: &str,
        workspace: &str,
        prompt: &str,
        tokens: u32,
    ) -> Result<HttpResponse, Error> {
        let url = format!("{}/v1/chat/completions", self.callers_url(entry));
        let body = chat_body(prompt, tokens, false);
        let key = bearer(workspace);
        self.client
            .send(Method::POST, &url, &[("authorization", &key)], &body)
            .await
    }

    /// Sends the messages of a conversation without streaming, as workspace `teal`.
    pub async fn send_conversation(&self, entry: &str, messages: &[&str]) -> Result<HttpResponse, Error> {
        let url = format!("{}/v1/chat/completions", self.callers_url(entry));
        let to_message = |content: &&str| json!({ "role": "user", "content": content });
        let messages: Vec<_> = messages.iter().map(to_message).collect();
        let body = json!({ "model": MODEL, "messages": messages, "max_tokens": 4 }).to_string();
        let key = bearer("teal");
        self.client
            .send(Method::POST, &url, &[("authorization", &key)], &body)
            .await
    }

    /// Sends a streamed chat completion request.
    pub async fn stream_chat(
        &self,
        entry: &str,
        workspace: &str,
        prompt: &str,
        tokens: u32,
    ) -> Result<crate::StreamingResponse, Error> {
        let url = format!("{}/v1/chat/completions", self.callers_url(entry));
        let body = chat_body(prompt, tokens, true);
        let key = bearer(workspace);
        // Longer than any test waits, so that an expired deadline can't hide a failure of the mechanism under test.
        let headers = [("authorization", key.as_str()), ("x-deadline-ms", "600000")];
        self.client.stream(&url, &headers, &body).await
    }

    /// Sends the call named `call` to the plain service as workspace `teal`.
    pub async fn call_service(
        &self,
        entry: &str,
        call: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<HttpResponse, Error> {
        let url = format!("{}/v1/services/{SERVICE}/{call}", self.callers_url(entry));
        let key = bearer("teal");
        let headers = [headers, &[("authorization", key.as_str())]].concat();
        self.client.send(Method::POST, &url, &headers, body).await
    }

    /// Sends any other request to an entry as workspace `teal`.
    pub async fn send_to_entry(&self, entry: &str, method: Method, path: &str) -> Result<HttpResponse, Error> {
        let url = format!("{}{path}", self.callers_url(entry));
        let key = bearer("teal");
        self.client.send(method, &url, &[("authorization", &key)], "").await
    }

    /// Sends a GET request to the stand-in called `name`, for example `log` or `rank-0`.
    pub async fn query_standin(&self, name: &str, path: &str) -> Result<HttpResponse, Error> {
        let url = format!("{}{path}", self.standin_url(name)?);
        self.client.send(Method::GET, &url, &[], "").await
    }

    /// Sends `change` as a PUT request to an admin path of the stand-in called `name`.
    pub async fn configure_standin<T: Serialize>(&self, name: &str, path: &str, change: &T) -> Result<(), Error> {
        let url = format!("{}{path}", self.standin_url(name)?);
        let body = serde_json::to_string(change).map_err(error_text)?;
        let response = self.client.send(Method::PUT, &url, &[], &body).await?;
        if response.status.is_success() {
            Ok(())
        } else {
            Err(response.text())
        }
    }

    /// Sets the injected faults of the stand-in called `name`.
    pub async fn set_fault(&self, name: &str, fault: Fault) -> Result<(), Error> {
        self.configure_standin(name, "/admin/faults", &fault).await
    }

    /// Returns the bodies of all calls that took effect at the plain service's server with this index.
    pub async fn effect_bodies(&self, index: usize) -> Result<Vec<String>, Error> {
        let response = self
            .query_standin(&format!("service-{index}"), "/admin/effects")
            .await?;
        let effects: Vec<sparscale_standin::service::Effect> = response.json()?;
        Ok(effects.into_iter().map(|effect| effect.body).collect())
    }

    /// Returns the number of calls that arrived at the plain service's server with this index, rejected ones included.
    pub async fn arrival_count(&self, index: usize) -> Result<usize, Error> {
        let response = self
            .query_standin(&format!("service-{index}"), "/admin/arrivals")
            .await?;
        response.json()
    }

    /// Replaces the box list.
    pub async fn put_boxes(&self, list: &BoxList) -> Result<(), Error> {
        eventually("the box list stand-in accepts the list", || async {
            self.configure_standin("boxes", "/admin/boxes", list).await.ok()
        })
        .await
    }

    /// Returns a box list that shows all agents and entries as live.
    pub fn box_list(&self) -> BoxList {
        let agents = self.agent_names().into_iter().enumerate();
        let agents = agents.map(|(index, name)| self.listed_box(name, Role::Target, index, AGENT_PORT));
        let entries = self.plan.entry_names().into_iter().enumerate();
        let entries = entries.map(|(index, name)| self.listed_box(name, Role::Entry, index, ENTRY_PORT));
        BoxList {
            boxes: agents.chain(entries).collect(),
            lag_ms: 0,
        }
    }

    fn listed_box(&self, name: String, role: Role, index: usize, port: u16) -> ListedBox {
        ListedBox {
            name,
            role,
            hall: Plan::hall(index).to_owned(),
            address: self.socket_address(port + index as u16).to_string(),
            standing: Standing::Live,
        }
    }

    /// Returns the fleet's bundle with the given version number.
    pub fn document(&self, version: u64) -> Document {
        self.plan.document(version, self.operators.clone())
    }

    /// Runs the command-line program `sparscale` as operator `name`.
    pub async fn run_operator(&self, name: &str, arguments: &[&str]) -> Result<Output, Error> {
        let program = find_program("sparscale")?;
        let settings = self.settings_path(&format!("operator-{name}"));
        let arguments: Vec<String> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
        let output = tokio::task::spawn_blocking(move || {
            Command::new(program)
                .args(arguments)
                .arg("--settings")
                .arg(settings)
                .output()
        });
        output.await.map_err(error_text)?.map_err(error_text)
    }

    /// Writes `document` to a JSON file and returns its path.
    pub fn write_bundle(&self, document: &Document) -> Result<String, Error> {
        let path = self.folder.join(format!("bundle-{}.json", document.version));
        fs::write(&path, serde_json::to_string_pretty(document).map_err(error_text)?).map_err(error_text)?;
        Ok(path.display().to_string())
    }

    /// Publishes, approves and rolls `document` with the command-line program.
    pub async fn roll_bundle(&self, document: &Document) -> Result<(), Error> {
        let path = self.write_bundle(document)?;
        let version = document.version.to_string();
        let steps: [(&str, Vec<&str>); 3] = [
            ("alice", vec!["bundle", "publish", &path]),
            ("bob", vec!["bundle", "approve", &version]),
            ("alice", vec!["bundle", "roll", &version]),
        ];
        for (name, arguments) in steps {
            let output = self.run_operator(name, &arguments).await?;
            if !output.status.success() {
                return Err(format!(
                    "{arguments:?}: {}{}",
                    String::from_utf8_lossy(&output.stdout),
                    String::from_utf8_lossy(&output.stderr)
                ));
            }
        }
        Ok(())
    }

    /// Returns the base URL at which the entry called `name` accepts callers.
    pub fn callers_url(&self, name: &str) -> String {
        let index = index_of(name);
        self.url(CALLERS_PORT + index)
    }

    /// Returns the base URL of the stand-in called `name`.
    pub fn standin_url(&self, name: &str) -> Result<String, Error> {
        match name {
            "log" => Ok(self.url(LOG_PORT)),
            "boxes" => Ok(self.url(BOXES_PORT)),
            "weights" => Ok(self.url(WEIGHTS_PORT)),
            _ if name.starts_with("rank-") => Ok(self.url(RANK_PORT + index_of(name))),
            _ if name.starts_with("service-") => Ok(self.url(SERVICE_PORT + index_of(name))),
            _ => Err(format!("there is no stand-in called {name}")),
        }
    }

    pub(crate) fn rank_address(&self, index: usize) -> SocketAddr {
        self.socket_address(RANK_PORT + index as u16)
    }

    pub(crate) fn socket_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address, port)
    }

    pub(crate) fn url(&self, port: u16) -> String {
        format!("http://{}", self.socket_address(port))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, process) in std::mem::take(&mut self.processes) {
            process.kill();
        }
        if std::env::var_os("SPARSCALE_KEEP").is_none() {
            // A failure leaves files only in the directory for temporary files.
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

fn chat_body(prompt: &str, tokens: u32, stream: bool) -> String {
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream }).to_string()
}

fn bearer(workspace: &str) -> String {
    format!("Bearer {}", caller_key(workspace))
}

fn index_of(name: &str) -> u16 {
    name.rsplit('-')
        .next()
        .and_then(|index| index.parse().ok())
        .unwrap_or(0)
}

/// Derives a loopback address from the process id and a counter, so that concurrent fleets use different addresses.
fn next_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process_id = std::process::id();
    let fleet_index = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process_id.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 10 + (high & 0x7f), low, fleet_index as u8))
}

pub(crate) fn error_text(error: impl std::fmt::Display) -> Error {
    error.to_string()
}
