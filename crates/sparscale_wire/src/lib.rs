//! Protocol between the processes of the system: frames over QUIC streams (quinn) with mutual TLS.

mod endpoint;
pub mod evacuation;
mod frame;
pub mod group;
pub mod map;
mod notice;
pub mod observation;
pub mod rank;
pub mod roster;
mod self_signed;
mod stream;
mod tls;

pub use endpoint::{Endpoint, Error as EndpointError, Incoming, MAX_LONG_LIVED_STREAMS, Peer};
pub use frame::{
    Attempt, AttemptId, Call, Chunk, Failure, Frame, Head, LeaderContact, Refusal, RefusalReason, RelayedLog,
    ResponseEvent, ResponseFrame, Settlement, StreamRequest, TargetLoad,
};
pub use notice::{Notice, Notices};
pub use stream::{Channel, Error as StreamError, Receiver, Sender};
pub use tls::{CertificateFiles, Error as TlsError, Identity, Role};
