//! One link: a stream over which two processes exchange their observations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sparscale_belief::Observation;
use sparscale_catalog::{Catalog, Document, Roster};
use sparscale_clock::Timestamp;
use sparscale_history::Position;
use sparscale_policy::rate_limit::Rate;
use sparscale_policy::throttle;
use sparscale_quarantine::Strike;
use sparscale_telemetry::DECISION;
use sparscale_wire::{Channel, Frame, Notice, Notices, Receiver, Role, Sender, evacuation, group, observation, roster};
use tokio::time::Instant;

use crate::link_clock::{self, millis};
use crate::mesh::Mesh;

/// Timeout of sending one message; a link whose peer does not read for so long is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// A link is closed after this many intervals without a message from the peer.
const IDLE_TIMEOUT_INTERVALS: u32 = 8;
/// Messages on a link after which the list of entries is sent again although it has not changed: about five seconds'
/// worth, well below the time after which an unresponsive entry is removed.
const MAX_MESSAGES_WITHOUT_ENTRIES: u32 = 16;

/// Most strikes in one message; keeps it well below the frame size limit.
const MAX_STRIKES: usize = 1_000;
/// Most notices in one message.
const MAX_NOTICES: usize = 1_000;

/// Orders the load messages of a group: the later message has the larger value.
type LoadOrder = (u64, u64);

/// The values that one side requests from the other.
#[derive(Debug, Default)]
struct Request {
    catalog: bool,
    roster: bool,
}

impl Request {
    fn is_any(&self) -> bool {
        self.catalog || self.roster
    }
}

/// One side of a link.
pub(crate) struct Link {
    mesh: Arc<Mesh>,
    /// Role of the peer.
    role: Role,
    clock: link_clock::Clock,
    /// Address of the peer; `None` until its first exchange.
    peer: Option<SocketAddr>,
    peer_catalog_position: Position,
    peer_roster_position: Position,
    /// What the peer has requested and not been sent yet.
    peer_request: Request,
    /// What to request from the peer in the next exchange.
    own_request: Request,
    /// Digest of the last roster that was sent to the peer.
    sent_roster_digest: Option<u64>,
    /// Order of the last load of each group that was sent to the peer.
    sent_load_orders: BTreeMap<String, LoadOrder>,
    /// Position of the evacuated halls that were sent last.
    sent_evacuations_position: Option<Position>,
    /// Version of the strikes up to which changes were sent to the peer.
    sent_strikes_version: u64,
    /// Version of the notices up to which changes were sent to the peer.
    sent_notices_version: u64,
    sent_entries: Vec<SocketAddr>,
    /// Messages since the list of entries was sent.
    messages_without_entries: u32,
    /// Received catalog whose age no exchange has stated yet.
    pending_catalog: Option<Arc<Catalog>>,
    /// Received roster whose position and age no exchange has stated yet.
    pending_roster: Option<Arc<Roster>>,
}

impl Link {
    pub(crate) fn new(mesh: Arc<Mesh>, role: Role) -> Self {
        Self {
            clock: link_clock::Clock::new(mesh.started_at),
            mesh,
            role,
            peer: None,
            peer_catalog_position: Position::default(),
            peer_roster_position: Position::default(),
            peer_request: Request::default(),
            own_request: Request::default(),
            sent_roster_digest: None,
            sent_load_orders: BTreeMap::new(),
            sent_evacuations_position: None,
            sent_strikes_version: 0,
            sent_notices_version: 0,
            sent_entries: Vec::new(),
            messages_without_entries: 0,
            pending_catalog: None,
            pending_roster: None,
        }
    }

    /// Exchanges messages until either side closes the link.
    pub(crate) async fn run(mut self, channel: Channel) {
        let Channel {
            mut sender,
            mut receiver,
        } = channel;
        self.exchange_messages(&mut sender, &mut receiver).await;
        if let Some(peer) = self.peer.filter(|_| self.role == Role::Entry) {
            self.mesh.change_link_count(peer, -1);
            log::info!(target: DECISION, decision = "peer_lost", peer = peer.to_string().as_str(); "a link to another entry ended");
        }
    }

    async fn exchange_messages(&mut self, sender: &mut Sender, receiver: &mut Receiver) {
        let mesh = Arc::clone(&self.mesh);
        let mut catalogs = mesh.board.subscribe_catalogs();
        let mut rosters = mesh.board.subscribe_targets();
        let mut groups = mesh.groups.subscribe();
        let mut evacuations = mesh.board.subscribe_evacuations();
        let mut strikes = mesh.board.quarantine.subscribe();
        strikes.mark_changed();
        let mut notices = mesh.board.throttle.subscribe();
        // Loads that were received before the link was established are sent on it, too.
        groups.mark_changed();
        let interval = mesh.settings.interval;
        let mut next_exchange_at = Instant::now();
        let mut last_received_at = Instant::now();
        let mut next_loads_at = last_received_at;
        loop {
            let idle_deadline = last_received_at + interval * IDLE_TIMEOUT_INTERVALS;
            let loads_delayed = Instant::now() < next_loads_at;
            let result = tokio::select! {
                () = tokio::time::sleep_until(next_exchange_at) => {
                    next_exchange_at = Instant::now() + interval;
                    self.send_exchange(sender).await
                }
                Ok(()) = catalogs.changed() => self.send_exchange(sender).await,
                Ok(()) = rosters.changed() => self.send_exchange(sender).await,
                Ok(()) = evacuations.changed() => self.send_exchange(sender).await,
                Ok(()) = strikes.changed() => self.send_strikes(sender).await,
                Ok(()) = notices.changed() => self.send_notices(sender).await,
                Ok(()) = groups.changed(), if !loads_delayed => {
                    next_loads_at = Instant::now() + mesh.load_interval();
                    self.send_loads(sender).await
                }
                () = tokio::time::sleep_until(next_loads_at), if loads_delayed => Some(()),
                frame = receiver.receive() => match frame {
                    Ok(frame) => {
                        last_received_at = Instant::now();
                        let peer_unknown = self.peer.is_none();
                        self.handle_frame(frame);
                        // The first exchange is answered at once, so that ages can be computed after one round trip.
                        let is_first_exchange = peer_unknown && self.peer.is_some();
                        if is_first_exchange || self.has_request() {
                            self.send_exchange(sender).await
                        } else {
                            Some(())
                        }
                    }
                    Err(_) => None,
                },
                () = tokio::time::sleep_until(idle_deadline) => None,
            };
            if result.is_none() {
                return;
            }
        }
    }

    /// Whether either side has an open request for a value of the other.
    fn has_request(&self) -> bool {
        self.peer_request.is_any() || self.own_request.is_any()
    }

    /// Sends the positions and ages of this process's observations; `None` if the link failed.
    async fn send_exchange(&mut self, sender: &mut Sender) -> Option<()> {
        let now = self.mesh.board.now();
        // An agent sends no observations, because its catalog has no routes.
        let is_entry = self.mesh.settings.role == Role::Entry;
        let catalog = self.mesh.board.catalog().filter(|_| is_entry);
        let roster = self.mesh.board.store_roster().filter(|_| is_entry);
        let strikes_age = self.mesh.board.quarantine.age().filter(|_| is_entry);
        self.send_strikes(sender).await?;
        self.send_notices(sender).await?;
        if self.peer.is_some() {
            self.send_catalog(sender, catalog.as_ref()).await?;
            self.send_roster(sender, roster.as_ref()).await?;
        }
        let exchange = observation::Summary {
            sender: self.mesh.settings.address,
            clock_ms: self.clock.stamp(now),
            echo: self.clock.echo(now),
            catalog: catalog.as_ref().map(|catalog| to_known(catalog, now)),
            requests_catalog: std::mem::take(&mut self.own_request.catalog),
            roster: roster.as_ref().map(|roster| roster::Version {
                version: to_known(roster, now),
                digest: roster.value.digest(),
            }),
            evacuations: self.evacuation_order(),
            requests_roster: std::mem::take(&mut self.own_request.roster),
            // Rounded up, because an age must not look smaller than it is.
            strikes_age_ms: strikes_age.map(|age| millis(age) + 1),
            entries: self.entries_to_send(),
        };
        send(sender, &Frame::ObservationSummary(exchange)).await
    }

    /// The evacuated halls, for an entry; none if they were sent as of their current position.
    fn evacuation_order(&mut self) -> Option<evacuation::Order> {
        if self.role != Role::Entry || self.mesh.settings.role != Role::Entry {
            return None;
        }
        let (halls, position) = self.mesh.board.evacuations()?;
        let is_new = self.sent_evacuations_position.replace(position) != Some(position);
        is_new.then_some(evacuation::Order { position, halls })
    }

    /// Sends all strikes that changed since the last time, whatever their source: an entry that has no link to the peer
    /// reaches it through this one.
    async fn send_strikes(&mut self, sender: &mut Sender) -> Option<()> {
        if self.role != Role::Entry || self.mesh.settings.role != Role::Entry {
            return Some(());
        }
        let (changes, version) = self.mesh.board.quarantine.changes_since(self.sent_strikes_version);
        self.sent_strikes_version = version;
        for chunk in changes.chunks(MAX_STRIKES) {
            send(sender, &Frame::Strikes(chunk.to_vec())).await?;
        }
        Some(())
    }

    /// Sends all notices of targets that changed since the last time, whatever their source. Waits for the peer's first
    /// stamp, without which the peer could not compute the age of a notice.
    async fn send_notices(&mut self, sender: &mut Sender) -> Option<()> {
        if self.role != Role::Entry || self.mesh.settings.role != Role::Entry {
            return Some(());
        }
        let now = self.mesh.board.now();
        let Some(echo) = self.clock.echo(now) else {
            return Some(());
        };
        let (changes, version) = self.mesh.board.throttle.changes_since(self.sent_notices_version);
        self.sent_notices_version = version;
        let encode = |notice: &throttle::Notice| Notice {
            start: notice.start,
            per_second: notice.rate.map(Rate::per_second),
            is_draining: notice.is_draining,
            age_ms: millis(now.since(notice.as_of)),
            reporter: notice.origin.reporter,
            sequence: notice.origin.sequence,
        };
        for chunk in changes.chunks(MAX_NOTICES) {
            let notices = chunk.iter().map(encode).collect();
            send(sender, &Frame::Notices(Notices { echo, notices })).await?;
        }
        Some(())
    }

    /// The linked entries if they changed or were not sent for a while, else nothing. They are repeated because the
    /// peer removes entries that it cannot reach, and learns of them again only from these lists.
    fn entries_to_send(&mut self) -> Vec<SocketAddr> {
        let entries = self.mesh.linked_entries();
        self.messages_without_entries += 1;
        if entries == self.sent_entries && self.messages_without_entries < MAX_MESSAGES_WITHOUT_ENTRIES {
            return Vec::new();
        }
        self.messages_without_entries = 0;
        self.sent_entries.clone_from(&entries);
        entries
    }

    /// Sends the catalog once to a peer that has an older one, and to an entry only on request. Every entry learns of a
    /// new catalog from all others, and a catalog with many routes is long: if each entry sent it to each other one
    /// unasked, the links would be saturated and answers delayed.
    async fn send_catalog(&mut self, sender: &mut Sender, catalog: Option<&Observation<Catalog>>) -> Option<()> {
        if self.role == Role::Entry && !std::mem::take(&mut self.peer_request.catalog) {
            return Some(());
        }
        let Some(catalog) = catalog.filter(|catalog| catalog.position > self.peer_catalog_position) else {
            return Some(());
        };
        self.peer_catalog_position = catalog.position;
        let document = document_for_role(catalog.value.document(), self.role);
        send(sender, &Frame::Catalog(Box::new(document))).await
    }

    /// Sends the roster: to an agent once without a request, to an entry only on request.
    async fn send_roster(&mut self, sender: &mut Sender, roster: Option<&Observation<Roster>>) -> Option<()> {
        let Some(roster) = roster else { return Some(()) };
        let is_due = match self.role {
            Role::Entry => std::mem::take(&mut self.peer_request.roster),
            Role::Agent => self.is_new_to_agent(roster),
        };
        if !is_due {
            return Some(());
        }
        self.sent_roster_digest = Some(roster.value.digest());
        send(sender, &Frame::Roster(roster.value.as_ref().clone())).await
    }

    fn is_new_to_agent(&mut self, roster: &Observation<Roster>) -> bool {
        let is_later = roster.position > self.peer_roster_position;
        self.peer_roster_position = self.peer_roster_position.max(roster.position);
        is_later && self.sent_roster_digest != Some(roster.value.digest())
    }

    /// Sends loads that this process received from a group leader: they go from the agent of a group leader to its
    /// entry, and from that entry to the others, each once.
    async fn send_loads(&mut self, sender: &mut Sender) -> Option<()> {
        if self.role != Role::Entry {
            return Some(());
        }
        let new_loads: Vec<_> = {
            let groups = self.mesh.groups.borrow();
            let from_leader = groups.values().filter(|report| report.from_leader);
            let unsent = from_leader
                .filter(|report| self.sent_load_orders.get(&report.load.group) < Some(&report.load.sequence));
            unsent.map(|report| Arc::clone(&report.load)).collect()
        };
        for load in new_loads {
            self.sent_load_orders.insert(load.group.clone(), load.sequence);
            send(sender, &Frame::GroupLoad(load.as_ref().clone())).await?;
        }
        Some(())
    }

    fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::ObservationSummary(exchange) => self.handle_exchange(&exchange),
            Frame::Catalog(document) => self.handle_catalog(*document),
            Frame::Roster(roster) => {
                self.mesh.received.rosters.fetch_add(1, Ordering::Relaxed);
                self.pending_roster = Some(Arc::new(roster));
            }
            Frame::Strikes(strikes) => self.handle_strikes(&strikes),
            Frame::Notices(notices) => self.handle_notices(&notices),
            Frame::GroupLoad(load) => self.handle_load(load),
            _ => log::warn!("ignored a frame of a kind that is not valid on a link between processes"),
        }
    }

    fn handle_strikes(&self, strikes: &[Strike]) {
        let source = self.peer.map(|peer| peer.to_string()).unwrap_or_default();
        self.mesh.board.quarantine.merge_from_peer(strikes, &source);
    }

    fn handle_notices(&self, received: &Notices) {
        let source = self.peer.map(|peer| peer.to_string()).unwrap_or_default();
        let decode = |notice: &Notice| {
            // A correct peer never sends an invalid rate, so such a notice is ignored.
            let rate = notice.per_second.map(Rate::try_from).transpose().ok()?;
            Some(throttle::Notice {
                start: notice.start,
                rate,
                is_draining: notice.is_draining,
                as_of: self.clock.as_of(received.echo, notice.age_ms)?,
                origin: throttle::Origin {
                    reporter: notice.reporter,
                    sequence: notice.sequence,
                },
            })
        };
        let notices: Vec<throttle::Notice> = received.notices.iter().filter_map(decode).collect();
        self.mesh.board.throttle.merge_from_peer(&notices, &source);
    }

    fn handle_load(&mut self, load: group::Load) {
        self.mesh.received.loads.fetch_add(1, Ordering::Relaxed);
        self.mesh.merge_group_load(load, self.role == Role::Agent);
    }

    fn handle_catalog(&mut self, document: Document) {
        self.mesh.received.catalogs.fetch_add(1, Ordering::Relaxed);
        match Catalog::try_from(document) {
            Ok(catalog) => self.pending_catalog = Some(Arc::new(catalog)),
            Err(error) => {
                log::error!(error = error.to_string().as_str(); "ignored an invalid catalog from a peer");
            }
        }
    }

    fn handle_exchange(&mut self, exchange: &observation::Summary) {
        let now = self.mesh.board.now();
        self.clock.record_received(exchange.clock_ms, now);
        if self.role == Role::Entry {
            // Before the link counts: an entry that is linked to established ones relies on their lists.
            self.mesh.record_named(&exchange.entries);
            let uptime = Duration::from_millis(exchange.clock_ms);
            self.mesh.record_seen(exchange.sender, uptime);
            if self.peer.is_none() {
                self.mesh.change_link_count(exchange.sender, 1);
            }
            let addresses = exchange.entries.len() as u64;
            self.mesh.received.addresses.fetch_add(addresses, Ordering::Relaxed);
        }
        self.peer = Some(exchange.sender);
        self.peer_request.catalog |= exchange.requests_catalog;
        if let Some(catalog) = exchange.catalog {
            self.peer_catalog_position = self.peer_catalog_position.max(catalog.position);
            self.own_request.catalog |= self.mesh.try_request_catalog(catalog.position);
        }
        self.peer_request.roster |= exchange.requests_roster;
        if let Some(roster) = exchange.roster {
            self.peer_roster_position = self.peer_roster_position.max(roster.version.position);
        }
        let source = exchange.sender.to_string();
        if let Some(order) = &exchange.evacuations {
            self.mesh.board.merge_evacuations(&order.halls, order.position, &source);
        }
        let Some(echo) = exchange.echo else { return };
        if let Some(known) = exchange.catalog
            && let Some(as_of) = self.clock.as_of(echo, known.age_ms)
        {
            self.merge_catalog(known, as_of, &source);
        }
        if let Some(age_ms) = exchange.strikes_age_ms
            && let Some(as_of) = self.clock.as_of(echo, age_ms)
        {
            self.mesh.board.quarantine.confirm_from_peer(as_of);
        }
        if let Some(known) = exchange.roster
            && let Some(as_of) = self.clock.as_of(echo, known.version.age_ms)
        {
            self.merge_roster(known, as_of, &source);
        }
    }

    /// Merges the pending catalog if the peer's observation is of that version; else only confirms the known catalog.
    fn merge_catalog(&mut self, known: observation::Version, as_of: Timestamp, source: &str) {
        let pending = self.pending_catalog.as_ref();
        match pending.filter(|catalog| Position::from(catalog.version()) == known.position) {
            Some(catalog) => self.mesh.board.merge_catalog(Arc::clone(catalog), as_of, source),
            None => self.mesh.board.confirm_catalog(known.position.offset, as_of),
        };
    }

    /// Merges the peer's observation of the roster if this process has a roster with the same digest, which is usual
    /// also at a later position; else requests the roster.
    fn merge_roster(&mut self, observed: roster::Version, as_of: Timestamp, source: &str) {
        let roster::Version { version: known, digest } = observed;
        let own = self.mesh.board.store_roster().map(|roster| roster.value);
        let mut rosters = [self.pending_roster.clone(), own].into_iter().flatten();
        match rosters.find(|roster| roster.digest() == digest) {
            Some(roster) => drop(self.mesh.board.merge_roster(roster, known.position, as_of, source)),
            None => self.own_request.roster |= self.mesh.try_request_roster(known.position),
        }
    }
}

/// The position and age of an observation, as an exchange carries them.
fn to_known<T: PartialEq>(observed: &Observation<T>, now: Timestamp) -> observation::Version {
    observation::Version {
        position: observed.position,
        // Rounded up, because an age must not look smaller than it is.
        age_ms: millis(observed.age(now)) + 1,
    }
}

/// The part of the catalog that a peer needs: an agent needs no API keys, and only the routes that limit streams.
fn document_for_role(document: &Document, role: Role) -> Document {
    match role {
        Role::Entry => document.clone(),
        Role::Agent => Document {
            version: document.version,
            routes: document
                .routes
                .iter()
                .filter(|route| route.kind.is_stream())
                .cloned()
                .collect(),
            services: document.services.clone(),
            workspaces: Vec::new(),
            limits: document.limits,
        },
    }
}

async fn send(sender: &mut Sender, frame: &Frame) -> Option<()> {
    let result = tokio::time::timeout(SEND_TIMEOUT, sender.send(frame)).await;
    result.ok()?.ok()
}
