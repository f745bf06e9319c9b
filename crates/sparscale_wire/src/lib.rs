//! Protocol between the processes of the system: frames over QUIC streams (quinn) with mutual TLS.

mod endpoint;
mod frame;
mod peer;
mod self_signed;
mod stream;
mod tls;

pub use endpoint::{Endpoint, Error as EndpointError, FEW_STREAMS, Incoming, Peer};
pub use frame::{
    Answer, Ask, Attempt, AttemptId, Call, Chunk, Failure, Frame, Head, Load, Part, Refusal, RefusalReason, Relayed,
    Settlement, Sighting,
};
pub use peer::{
    Base, Echo, Exchange, GroupLoad, Known, KnownRoster, MapUpdate, Notice, Notices, Placement, RankLoad, RankNews,
    RankOrder,
};
pub use stream::{Channel, Error as StreamError, Receiver, Sender};
pub use tls::{Error as TlsError, Files, Identity, Role};
