//! One link: a stream over which two processes tell each other what they believe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sparscale_belief::Belief;
use sparscale_catalog::{Catalog, Document, Roster};
use sparscale_clock::Moment;
use sparscale_history::Place;
use sparscale_policy::rate_limit::Rate;
use sparscale_policy::throttle;
use sparscale_quarantine::Strike;
use sparscale_telemetry::DECISION;
use sparscale_wire::{
    Channel, Exchange, Frame, GroupLoad, Known, KnownRoster, Notice, Notices, Receiver, Role, Sender,
};
use tokio::time::Instant;

use crate::mesh::Mesh;
use crate::stamps::{Stamps, millis};

/// Time that one message may take to leave; a peer that does not read for so long is given up.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// A link on which nothing was heard for this many intervals is given up.
const SILENT_INTERVALS: u32 = 8;
/// Messages on a link after which the entries are told again without news of them: about five seconds' worth, which is
/// well inside the time after which a silent entry is forgotten.
const MESSAGES_WITHOUT_ENTRIES: u32 = 16;

/// Strikes in one message: well inside the longest frame.
const MAX_STRIKES: usize = 1_000;
/// Notices in one message.
const MAX_NOTICES: usize = 1_000;

/// Place of one message about a group's loads among all of them.
type LoadOrder = (u64, u64);

/// Values that one side asks the other for.
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
    /// What the other side is.
    role: Role,
    stamps: Stamps,
    /// The other side, once it has named itself.
    peer: Option<SocketAddr>,
    their_catalog: Place,
    their_roster: Place,
    /// What the other side asked for.
    owes: Request,
    /// What to ask the other side for.
    wants: Request,
    /// Digest of the roster that the other side was sent last.
    sent_roster: Option<u64>,
    /// Order of the loads of each group that the other side was told last.
    sent_loads: BTreeMap<String, LoadOrder>,
    /// Position up to which the other side was told what this process learnt of requests that crash targets.
    sent_strikes: u64,
    /// The same of what targets ask.
    sent_notices: u64,
    sent_entries: Vec<SocketAddr>,
    /// Messages since the entries were told.
    since_entries: u32,
    pending_catalog: Option<Arc<Catalog>>,
    pending_roster: Option<Arc<Roster>>,
}

impl Link {
    pub(crate) fn new(mesh: Arc<Mesh>, role: Role) -> Self {
        Self {
            stamps: Stamps::new(mesh.started),
            mesh,
            role,
            peer: None,
            their_catalog: Place::default(),
            their_roster: Place::default(),
            owes: Request::default(),
            wants: Request::default(),
            sent_roster: None,
            sent_loads: BTreeMap::new(),
            sent_strikes: 0,
            sent_notices: 0,
            sent_entries: Vec::new(),
            since_entries: 0,
            pending_catalog: None,
            pending_roster: None,
        }
    }

    /// Talks until either side is gone.
    pub(crate) async fn run(mut self, channel: Channel) {
        let Channel {
            mut sender,
            mut receiver,
        } = channel;
        self.talk(&mut sender, &mut receiver).await;
        if let Some(peer) = self.peer.filter(|_| self.role == Role::Entry) {
            self.mesh.count_link(peer, -1);
            log::info!(target: DECISION, decision = "peer_lost", peer = peer.to_string().as_str(); "link ended");
        }
    }

    async fn talk(&mut self, sender: &mut Sender, receiver: &mut Receiver) {
        let mesh = Arc::clone(&self.mesh);
        let mut catalogs = mesh.board.catalogs();
        let mut rosters = mesh.board.target_lists();
        let mut groups = mesh.groups.subscribe();
        let mut strikes = mesh.board.quarantine.learnings();
        strikes.mark_changed();
        let mut notices = mesh.board.throttle.learnings();
        // What was told before the link stood is told on it, too.
        groups.mark_changed();
        let interval = mesh.settings.interval;
        let mut next = Instant::now();
        let mut heard = Instant::now();
        let mut loads_due = heard;
        loop {
            let silent = heard + interval * SILENT_INTERVALS;
            let pausing = Instant::now() < loads_due;
            let sent = tokio::select! {
                () = tokio::time::sleep_until(next) => {
                    next = Instant::now() + interval;
                    self.tell(sender).await
                }
                Ok(()) = catalogs.changed() => self.tell(sender).await,
                Ok(()) = rosters.changed() => self.tell(sender).await,
                Ok(()) = strikes.changed() => self.tell_strikes(sender).await,
                Ok(()) = notices.changed() => self.tell_notices(sender).await,
                Ok(()) = groups.changed(), if !pausing => {
                    loads_due = Instant::now() + mesh.loads_pause();
                    self.tell_groups(sender).await
                }
                () = tokio::time::sleep_until(loads_due), if pausing => Some(()),
                frame = receiver.receive() => match frame {
                    Ok(frame) => {
                        heard = Instant::now();
                        let first = self.peer.is_none();
                        self.take_in(frame);
                        // The first answer goes at once, so that ages can be told after one round trip.
                        let first = first && self.peer.is_some();
                        if first || self.has_request() {
                            self.tell(sender).await
                        } else {
                            Some(())
                        }
                    }
                    Err(_) => None,
                },
                () = tokio::time::sleep_until(silent) => None,
            };
            if sent.is_none() {
                return;
            }
        }
    }

    /// Whether either side waits for something that only the other one has.
    fn has_request(&self) -> bool {
        self.owes.is_any() || self.wants.is_any()
    }

    /// Sends what this process believes; none if the other side is gone.
    async fn tell(&mut self, sender: &mut Sender) -> Option<()> {
        let now = self.mesh.board.now();
        // An agent's catalog has no routes: it is for the agent alone.
        let tells = self.mesh.settings.role == Role::Entry;
        let catalog = self.mesh.board.catalog().filter(|_| tells);
        let roster = self.mesh.board.told_roster().filter(|_| tells);
        let strikes_age = self.mesh.board.quarantine.age().filter(|_| tells);
        self.tell_strikes(sender).await?;
        self.tell_notices(sender).await?;
        if self.peer.is_some() {
            self.send_catalog(sender, catalog.as_ref()).await?;
            self.send_roster(sender, roster.as_ref()).await?;
        }
        let exchange = Exchange {
            sender: self.mesh.settings.address,
            stamp_ms: self.stamps.stamp(now),
            echo: self.stamps.echo(now),
            catalog: catalog.as_ref().map(|belief| known(belief, now)),
            wants_catalog: std::mem::take(&mut self.wants.catalog),
            roster: roster.as_ref().map(|belief| KnownRoster {
                known: known(belief, now),
                digest: belief.value.digest(),
            }),
            wants_roster: std::mem::take(&mut self.wants.roster),
            // Rounded up: an age must not look smaller than it is.
            strikes_age_ms: strikes_age.map(|age| millis(age) + 1),
            entries: self.news_of_entries(),
        };
        send(sender, &Frame::Exchange(exchange)).await
    }

    /// All that was learnt of requests that crash targets since the last time, from whomever: an entry that the other side
    /// does not reach tells it through this one.
    async fn tell_strikes(&mut self, sender: &mut Sender) -> Option<()> {
        if self.role != Role::Entry || self.mesh.settings.role != Role::Entry {
            return Some(());
        }
        let (news, position) = self.mesh.board.quarantine.news(self.sent_strikes);
        self.sent_strikes = position;
        for part in news.chunks(MAX_STRIKES) {
            send(sender, &Frame::Strikes(part.to_vec())).await?;
        }
        Some(())
    }

    /// What targets ask, as far as it was learnt since the last time, from whomever. It waits for the other side's first stamp,
    /// without which nobody could tell how old it is.
    async fn tell_notices(&mut self, sender: &mut Sender) -> Option<()> {
        if self.role != Role::Entry || self.mesh.settings.role != Role::Entry {
            return Some(());
        }
        let now = self.mesh.board.now();
        let Some(echo) = self.stamps.echo(now) else {
            return Some(());
        };
        let (news, position) = self.mesh.board.throttle.news(self.sent_notices);
        self.sent_notices = position;
        let notice = |notice: &throttle::Notice| Notice {
            start: notice.start,
            per_second: notice.rate.map(Rate::per_second),
            leaving: notice.leaving,
            age_ms: millis(now.since(notice.as_of)),
        };
        for part in news.chunks(MAX_NOTICES) {
            let notices = part.iter().map(notice).collect();
            send(sender, &Frame::Notices(Notices { echo, notices })).await?;
        }
        Some(())
    }

    /// Live entries if there is news of them, or nobody was told for a while: the other side forgets whom it does not
    /// reach, and learns of them again only here. Else nothing.
    fn news_of_entries(&mut self) -> Vec<SocketAddr> {
        let entries = self.mesh.live_entries();
        self.since_entries += 1;
        if entries == self.sent_entries && self.since_entries < MESSAGES_WITHOUT_ENTRIES {
            return Vec::new();
        }
        self.since_entries = 0;
        self.sent_entries.clone_from(&entries);
        entries
    }

    /// The value goes only to a peer that has an older one, and once; to an entry only if it asks for it. All entries
    /// hear of a new catalog from all others, and a catalog with many routes is long: if each sent it to each, their
    /// links would be full of it, and answers late.
    async fn send_catalog(&mut self, sender: &mut Sender, catalog: Option<&Belief<Catalog>>) -> Option<()> {
        if self.role == Role::Entry && !std::mem::take(&mut self.owes.catalog) {
            return Some(());
        }
        let Some(belief) = catalog.filter(|belief| belief.position > self.their_catalog) else {
            return Some(());
        };
        self.their_catalog = belief.position;
        let document = for_role(belief.value.document(), self.role);
        send(sender, &Frame::Catalog(Box::new(document))).await
    }

    /// To an agent without being asked, once; to an entry only if it asks.
    async fn send_roster(&mut self, sender: &mut Sender, roster: Option<&Belief<Roster>>) -> Option<()> {
        let Some(belief) = roster else { return Some(()) };
        let due = match self.role {
            Role::Entry => std::mem::take(&mut self.owes.roster),
            Role::Agent => self.is_new_to_agent(belief),
        };
        if !due {
            return Some(());
        }
        self.sent_roster = Some(belief.value.digest());
        send(sender, &Frame::Roster(belief.value.as_ref().clone())).await
    }

    fn is_new_to_agent(&mut self, belief: &Belief<Roster>) -> bool {
        let later = belief.position > self.their_roster;
        self.their_roster = self.their_roster.max(belief.position);
        later && self.sent_roster != Some(belief.value.digest())
    }

    /// Loads go from a conductor's agent to its entry, and from that entry to the others, each once.
    async fn tell_groups(&mut self, sender: &mut Sender) -> Option<()> {
        if self.role != Role::Entry {
            return Some(());
        }
        let direct: Vec<_> = {
            let groups = self.mesh.groups.borrow();
            let direct = groups.values().filter(|told| told.direct);
            let new = direct.filter(|told| self.sent_loads.get(&told.load.group) < Some(&told.load.order));
            new.map(|told| Arc::clone(&told.load)).collect()
        };
        for load in direct {
            self.sent_loads.insert(load.group.clone(), load.order);
            send(sender, &Frame::Group(load.as_ref().clone())).await?;
        }
        Some(())
    }

    fn take_in(&mut self, frame: Frame) {
        match frame {
            Frame::Exchange(exchange) => self.exchange(&exchange),
            Frame::Catalog(document) => self.take_catalog(*document),
            Frame::Roster(roster) => {
                self.mesh.heard.rosters.fetch_add(1, Ordering::Relaxed);
                self.pending_roster = Some(Arc::new(roster));
            }
            Frame::Strikes(strikes) => self.take_strikes(&strikes),
            Frame::Notices(notices) => self.take_notices(&notices),
            Frame::Group(load) => self.take_group(load),
            _ => log::warn!("a frame that has no place on a link was left out"),
        }
    }

    fn take_strikes(&self, strikes: &[Strike]) {
        let source = self.peer.map(|peer| peer.to_string()).unwrap_or_default();
        self.mesh.board.quarantine.offer(strikes, &source);
    }

    fn take_notices(&self, told: &Notices) {
        let source = self.peer.map(|peer| peer.to_string()).unwrap_or_default();
        let read = |notice: &Notice| {
            // A rate that is none cannot come from a sound peer; it says nothing.
            let rate = notice.per_second.map(Rate::try_from).transpose().ok()?;
            Some(throttle::Notice {
                start: notice.start,
                rate,
                leaving: notice.leaving,
                as_of: self.stamps.as_of(told.echo, notice.age_ms)?,
            })
        };
        let notices: Vec<throttle::Notice> = told.notices.iter().filter_map(read).collect();
        self.mesh.board.throttle.offer(&notices, &source);
    }

    fn take_group(&mut self, load: GroupLoad) {
        self.mesh.heard.loads.fetch_add(1, Ordering::Relaxed);
        self.mesh.offer_group(load, self.role == Role::Agent);
    }

    fn take_catalog(&mut self, document: Document) {
        self.mesh.heard.catalogs.fetch_add(1, Ordering::Relaxed);
        match Catalog::try_from(document) {
            Ok(catalog) => self.pending_catalog = Some(Arc::new(catalog)),
            Err(error) => {
                log::error!(error = error.to_string().as_str(); "a peer's catalog cannot be used");
            }
        }
    }

    fn exchange(&mut self, exchange: &Exchange) {
        let now = self.mesh.board.now();
        self.stamps.heard(exchange.stamp_ms, now);
        if self.role == Role::Entry {
            self.mesh.heard(exchange.sender);
            if self.peer.is_none() {
                self.mesh.count_link(exchange.sender, 1);
            }
            let addresses = exchange.entries.len() as u64;
            self.mesh.heard.addresses.fetch_add(addresses, Ordering::Relaxed);
            self.mesh.learn(&exchange.entries);
        }
        self.peer = Some(exchange.sender);
        self.owes.catalog |= exchange.wants_catalog;
        if let Some(catalog) = exchange.catalog {
            self.their_catalog = self.their_catalog.max(catalog.position);
            self.wants.catalog |= self.mesh.may_ask_catalog(catalog.position);
        }
        self.owes.roster |= exchange.wants_roster;
        if let Some(roster) = exchange.roster {
            self.their_roster = self.their_roster.max(roster.known.position);
        }
        let Some(echo) = exchange.echo else { return };
        let source = exchange.sender.to_string();
        if let Some(known) = exchange.catalog
            && let Some(as_of) = self.stamps.as_of(echo, known.age_ms)
        {
            self.offer_catalog(known, as_of, &source);
        }
        if let Some(age_ms) = exchange.strikes_age_ms
            && let Some(as_of) = self.stamps.as_of(echo, age_ms)
        {
            self.mesh.board.quarantine.confirm(as_of);
        }
        if let Some(known) = exchange.roster
            && let Some(as_of) = self.stamps.as_of(echo, known.known.age_ms)
        {
            self.offer_roster(known, as_of, &source);
        }
    }

    fn offer_catalog(&mut self, known: Known, as_of: Moment, source: &str) {
        let pending = self.pending_catalog.as_ref();
        match pending.filter(|catalog| Place::from(catalog.version()) == known.position) {
            Some(catalog) => self.mesh.board.offer_catalog(Arc::clone(catalog), as_of, source),
            None => self.mesh.board.confirm_catalog(known.position.offset, as_of),
        };
    }

    /// A roster with a later position is often the same; another one is asked for.
    fn offer_roster(&mut self, told: KnownRoster, as_of: Moment, source: &str) {
        let KnownRoster { known, digest } = told;
        let own = self.mesh.board.told_roster().map(|belief| belief.value);
        let mut values = [self.pending_roster.clone(), own].into_iter().flatten();
        match values.find(|value| value.digest() == digest) {
            Some(value) => drop(self.mesh.board.offer_roster(value, known.position, as_of, source)),
            None => self.wants.roster |= self.mesh.may_ask_roster(known.position),
        }
    }
}

fn known<T: PartialEq>(belief: &Belief<T>, now: Moment) -> Known {
    Known {
        position: belief.position,
        // Rounded up: an age must not look smaller than it is.
        age_ms: millis(belief.age(now)) + 1,
    }
}

/// Agents need no keys, and of the routes only what streams are held to.
fn for_role(document: &Document, role: Role) -> Document {
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
    let sent = tokio::time::timeout(SEND_TIMEOUT, sender.send(frame)).await;
    sent.ok()?.ok()
}
