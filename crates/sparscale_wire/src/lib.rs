//! Protocol between the processes of the system: frames over QUIC streams (quinn) with mutual TLS.

mod endpoint;
mod frame;
mod peer;
mod self_signed;
mod stream;
mod tls;

pub use endpoint::{Endpoint, Error as EndpointError, Incoming, MAX_LONG_LIVED_STREAMS, Peer};
pub use frame::{
    Attempt, AttemptId, Call, Chunk, Failure, Frame, Head, LeaderContact, Refusal, RefusalReason, RelayedLog,
    ResponseEvent, ResponseFrame, Settlement, StreamRequest, TargetLoad,
};
pub use peer::{
    Echo, EvacuationOrder, GroupLoad, MapUpdate, Notice, Notices, ObservationSummary, ObservedRosterVersion,
    ObservedVersion, PatchBase, RankExperts, RankLoad, RankOrder, RankUpdate,
};
pub use stream::{Channel, Error as StreamError, Receiver, Sender};
pub use tls::{CertificateFiles, Error as TlsError, Identity, Role};
