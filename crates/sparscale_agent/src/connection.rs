//! Streams that other processes open.

use std::sync::Arc;
use std::time::Duration;

use sparscale_control::{Journal, serve_follower};
use sparscale_wire::{
    Answer as AnswerFrame, Ask, AttemptId, Channel, Endpoint, EndpointError, Failure, Frame, Part, Peer, Role, Sender,
    StreamError,
};

use crate::answer::Answer;
use crate::core::{Begun, Core};
use crate::order::Orders;

/// Bounds of the time between two load reports to one entry, in milliseconds; the entry chooses.
const LOAD_PAUSE_MS: std::ops::RangeInclusive<u64> = 100..=10_000;

/// Everything that streams need.
pub(crate) struct Service {
    pub(crate) core: Arc<Core>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) orders: Orders,
}

/// Accepts connections until the endpoint closes.
pub(crate) async fn accept(service: Arc<Service>, endpoint: Arc<Endpoint>) {
    while let Ok(incoming) = endpoint.accept().await {
        let service = Arc::clone(&service);
        tokio::spawn(async move {
            match incoming.establish().await {
                Ok(peer) => serve_peer(service, peer).await,
                Err(error) => refused_connection(&error),
            }
        });
    }
}

fn refused_connection(error: &EndpointError) {
    log::warn!(target: sparscale_telemetry::ALARM, alarm = "connection_refused", error = error.to_string().as_str(); "a connection was refused");
}

async fn serve_peer(service: Arc<Service>, peer: Peer) {
    while let Ok(channel) = peer.accept().await {
        let service = Arc::clone(&service);
        let role = peer.role;
        tokio::spawn(async move {
            if let Err(error) = serve_stream(&service, role, channel).await {
                log::debug!(error = error.to_string().as_str(); "a stream ended early");
            }
        });
    }
}

async fn serve_stream(service: &Arc<Service>, role: Role, mut channel: Channel) -> Result<(), StreamError> {
    let Frame::Ask(ask) = channel.receiver.receive().await? else {
        return Err(StreamError::Unexpected);
    };
    let mut sender = channel.sender;
    match ask {
        Ask::Follow { head, version } => {
            return serve_follower(Arc::clone(&service.journal), head, version, sender).await;
        }
        Ask::Exchange | Ask::Conduct { .. } | Ask::Leader { .. } => return Err(StreamError::Unexpected),
        _ if role != Role::Entry => return Err(StreamError::Unexpected),
        Ask::Attempt(attempt) => {
            let id = attempt.id;
            let begun = service.core.begin(*attempt);
            send_begun(begun, id, &mut sender).await?;
        }
        Ask::Resume { attempt, from } => resume(&service.core, attempt, from, &mut sender).await?,
        Ask::Settle { attempt, incarnation } => {
            let settlement = service.core.settle_for(attempt, incarnation);
            sender.send(&Frame::Settlement(settlement)).await?;
        }
        Ask::Cancel(attempt) => service.core.cancel(attempt).await,
        Ask::Watch { entry, interval_ms } => return watch(&service.core, entry, interval_ms, &mut sender).await,
        Ask::Order { group, order } => {
            let report = service.orders.carry_out(&group, &order).await;
            if let Some(report) = report {
                sender.send(&Frame::Report(report)).await?;
            }
        }
        Ask::Ping => sender.send(&Frame::Pong(service.core.incarnation)).await?,
        Ask::Experts => {
            let tokens = service.core.engine().expert_tokens().await.unwrap_or_default();
            sender.send(&Frame::Experts(tokens)).await?;
        }
    }
    sender.finish();
    sender.stopped().await;
    Ok(())
}

async fn send_begun(begun: Begun, id: AttemptId, sender: &mut Sender) -> Result<(), StreamError> {
    match begun {
        Begun::Answer(answer) => send_answer(&answer, id, 0, sender).await,
        Begun::Refused(refusal) => send_part(id, Part::Refused(refusal), sender).await,
        Begun::Unknown(message) => send_part(id, Part::Failed(Failure::Unknown { message }), sender).await,
    }
}

async fn resume(core: &Core, id: AttemptId, from: u64, sender: &mut Sender) -> Result<(), StreamError> {
    if let Some(answer) = core.resume(id) {
        return send_answer(&answer, id, from, sender).await;
    }
    let message = "the answer is not kept here".to_owned();
    send_part(id, Part::Failed(Failure::Unknown { message }), sender).await
}

/// Sends an answer from chunk `from` on, under the id that the receiver waits for.
async fn send_answer(answer: &Answer, id: AttemptId, from: u64, sender: &mut Sender) -> Result<(), StreamError> {
    let _reading = answer.attach();
    let mut index = 0;
    while let Some(part) = answer.part(index).await {
        index += 1;
        if matches!(&part, Part::Chunk(chunk) if chunk.sequence < from) {
            continue;
        }
        send_part(id, part, sender).await?;
    }
    Ok(())
}

async fn send_part(attempt: AttemptId, part: Part, sender: &mut Sender) -> Result<(), StreamError> {
    sender.send(&Frame::Answer(AnswerFrame { attempt, part })).await
}

/// Reports load whenever it changes, as often as the entry asked for; that the agent refuses new work is said at once.
async fn watch(core: &Core, entry: u64, interval_ms: u64, sender: &mut Sender) -> Result<(), StreamError> {
    let pause = Duration::from_millis(interval_ms.clamp(*LOAD_PAUSE_MS.start(), *LOAD_PAUSE_MS.end()));
    let mut closings = core.closings();
    let mut last = None;
    loop {
        closings.mark_unchanged();
        let load = core.load(entry);
        if last != Some(load) {
            sender.send(&Frame::Load(load)).await?;
            last = Some(load);
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            changed = closings.changed() => if changed.is_err() { return Ok(()) },
            () = sender.stopped() => return Ok(()),
        }
    }
}
