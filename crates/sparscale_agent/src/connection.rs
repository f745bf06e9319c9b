//! Serves the streams that entries, placers and followers open to this agent.

use std::sync::Arc;
use std::time::Duration;

use sparscale_control::{Journal, serve_follower};
use sparscale_wire::{
    AttemptId, Channel, Endpoint, EndpointError, Failure, Frame, Peer, ResponseEvent, ResponseFrame as AnswerFrame,
    Role, Sender, StreamError, StreamRequest,
};

use crate::core::{AttemptStart, Core};
use crate::order::OrderForwarder;
use crate::response_buffer::ResponseBuffer;

/// Allowed interval between two load reports to one entry; the entry requests a value within it.
const LOAD_INTERVAL_MS: std::ops::RangeInclusive<u64> = 100..=10_000;

/// State shared by all streams.
pub(crate) struct StreamContext {
    pub(crate) core: Arc<Core>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) orders: OrderForwarder,
}

/// Accepts connections until the endpoint closes.
pub(crate) async fn accept(context: Arc<StreamContext>, endpoint: Arc<Endpoint>) {
    while let Ok(incoming) = endpoint.accept().await {
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            match incoming.establish().await {
                Ok(peer) => serve_peer(context, peer).await,
                Err(error) => log_rejected_connection(&error),
            }
        });
    }
}

fn log_rejected_connection(error: &EndpointError) {
    log::warn!(target: sparscale_telemetry::ALARM, alarm = "connection_refused", error = error.to_string().as_str(); "could not accept an incoming connection");
}

async fn serve_peer(context: Arc<StreamContext>, peer: Peer) {
    while let Ok(channel) = peer.accept().await {
        let context = Arc::clone(&context);
        let role = peer.role;
        tokio::spawn(async move {
            if let Err(error) = serve_stream(&context, role, channel).await {
                log::debug!(error = error.to_string().as_str(); "a stream ended with an error");
            }
        });
    }
}

async fn serve_stream(context: &Arc<StreamContext>, role: Role, mut channel: Channel) -> Result<(), StreamError> {
    let Frame::Open(ask) = channel.receiver.receive().await? else {
        return Err(StreamError::Unexpected);
    };
    let mut sender = channel.sender;
    match ask {
        StreamRequest::FollowLog {
            from_offset: head,
            bundle_version: version,
        } => {
            return serve_follower(Arc::clone(&context.journal), head, version, sender).await;
        }
        StreamRequest::ExchangeObservations | StreamRequest::LeadRank { .. } | StreamRequest::QueryLeader { .. } => {
            return Err(StreamError::Unexpected);
        }
        _ if role != Role::Entry => return Err(StreamError::Unexpected),
        StreamRequest::Attempt(attempt) => {
            let id = attempt.id;
            let start = context.core.start_attempt(*attempt);
            send_start(start, id, &mut sender).await?;
        }
        StreamRequest::Resume { attempt, from } => resume(&context.core, attempt, from, &mut sender).await?,
        StreamRequest::Settle { attempt, incarnation } => {
            let settlement = context.core.settle_for(attempt, incarnation);
            sender.send(&Frame::Settlement(settlement)).await?;
        }
        StreamRequest::Cancel(attempt) => context.core.cancel(attempt).await,
        StreamRequest::WatchLoad {
            entry_incarnation: entry,
            interval_ms,
        } => return report_load(&context.core, entry, interval_ms, &mut sender).await,
        StreamRequest::ForwardOrder { group, order } => {
            let report = context.orders.forward(&group, &order).await;
            if let Some(report) = report {
                sender.send(&Frame::Report(report)).await?;
            }
        }
        StreamRequest::Ping => sender.send(&Frame::Pong(context.core.incarnation)).await?,
        StreamRequest::QueryExpertTokens => {
            let tokens = context.core.engine().expert_tokens().await.unwrap_or_default();
            sender.send(&Frame::ExpertTokens(tokens)).await?;
        }
    }
    sender.finish();
    sender.stopped().await;
    Ok(())
}

async fn send_start(start: AttemptStart, id: AttemptId, sender: &mut Sender) -> Result<(), StreamError> {
    match start {
        AttemptStart::Response(buffer) => send_response(&buffer, id, 0, sender).await,
        AttemptStart::Rejected(refusal) => send_part(id, ResponseEvent::Rejected(refusal), sender).await,
        AttemptStart::Unknown(message) => {
            send_part(id, ResponseEvent::Failed(Failure::Unknown { message }), sender).await
        }
    }
}

async fn resume(core: &Core, id: AttemptId, from: u64, sender: &mut Sender) -> Result<(), StreamError> {
    if let Some(buffer) = core.buffered_response(id) {
        return send_response(&buffer, id, from, sender).await;
    }
    let message = "the answer is not kept here".to_owned();
    send_part(id, ResponseEvent::Failed(Failure::Unknown { message }), sender).await
}

/// Sends a response, starting at chunk `from`, under the attempt id that the receiver expects.
async fn send_response(
    buffer: &ResponseBuffer,
    id: AttemptId,
    from: u64,
    sender: &mut Sender,
) -> Result<(), StreamError> {
    let _reader = buffer.attach();
    let mut index = 0;
    while let Some(part) = buffer.part(index).await {
        index += 1;
        if matches!(&part, ResponseEvent::Chunk(chunk) if chunk.sequence < from) {
            continue;
        }
        send_part(id, part, sender).await?;
    }
    Ok(())
}

async fn send_part(attempt: AttemptId, part: ResponseEvent, sender: &mut Sender) -> Result<(), StreamError> {
    sender.send(&Frame::Response(AnswerFrame { attempt, part })).await
}

/// Reports load changes at the interval that the entry requested; a change of whether the agent accepts new work is
/// reported immediately.
async fn report_load(core: &Core, entry: u64, interval_ms: u64, sender: &mut Sender) -> Result<(), StreamError> {
    let interval = Duration::from_millis(interval_ms.clamp(*LOAD_INTERVAL_MS.start(), *LOAD_INTERVAL_MS.end()));
    let mut availability_changes = core.subscribe_availability();
    let mut last = None;
    loop {
        availability_changes.mark_unchanged();
        let load = core.load(entry);
        if last != Some(load) {
            sender.send(&Frame::Load(load)).await?;
            last = Some(load);
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            changed = availability_changes.changed() => if changed.is_err() { return Ok(()) },
            () = sender.stopped() => return Ok(()),
        }
    }
}
