//! Mutual TLS: each process proves its role with a certificate issued by the fleet's own authority.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use rustls::client::verify_server_name;
use rustls::crypto::ring;
use rustls::pki_types::pem::PemObject as _;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use snafu::{ResultExt as _, Snafu};

use crate::self_signed;

/// ALPN protocol name.
const PROTOCOL: &[u8] = b"sparscale/1";

/// Role of a process according to its certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs beside a target.
    Agent,
}

impl Role {
    /// All roles.
    pub const ALL: [Self; 2] = [Self::Entry, Self::Agent];

    /// Returns the DNS name in the certificates of this role.
    pub fn dns_name(self) -> &'static str {
        match self {
            Self::Entry => "entry.sparscale.internal",
            Self::Agent => "agent.sparscale.internal",
        }
    }

    pub(crate) fn of(certificate: &CertificateDer<'_>) -> Option<Self> {
        let parsed = ParsedCertificate::try_from(certificate).ok()?;
        Self::ALL.into_iter().find(|role| {
            let name = ServerName::try_from(role.dns_name());
            name.is_ok_and(|name| verify_server_name(&parsed, &name).is_ok())
        })
    }
}

/// Source of the certificate with which a process proves its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// Certificate files issued by the fleet's own authority.
    Files(CertificateFiles),
    /// Self-signed certificate, generated at start, for closed networks without a certificate authority. Traffic is
    /// encrypted, but peers aren't authenticated: any process on the network can claim any role.
    SelfSigned(Role),
}

/// Certificate files of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateFiles {
    /// PEM file with the certificate chain of this process.
    pub certificate: PathBuf,
    /// PEM file with the private key of this process.
    pub key: PathBuf,
    /// PEM file with the certificate of the authority that all processes trust.
    pub authority: PathBuf,
}

/// Certificates that can't be loaded or generated.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file is unreadable or doesn't contain the expected PEM section.
    #[snafu(display("{}: {source}; give a readable PEM file", path.display()))]
    Pem {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate doesn't match the key, or the authority is unusable.
    #[snafu(display("certificate {} cannot be used: {message}; issue certificate and key again", path.display()))]
    Unusable {
        /// Path of the certificate file.
        path: PathBuf,
        /// Error of the TLS library.
        message: String,
    },
    /// A self-signed certificate couldn't be generated.
    #[snafu(display("a self-signed certificate could not be generated: {message}; use certificate files instead"))]
    Generate {
        /// Error of the TLS library.
        message: String,
    },
}

pub(crate) struct QuicConfigs {
    pub(crate) server: quinn::ServerConfig,
    pub(crate) client: quinn::ClientConfig,
}

impl Identity {
    pub(crate) fn load(&self) -> Result<QuicConfigs, Error> {
        match self {
            Self::Files(files) => files.load(),
            Self::SelfSigned(role) => self_signed::configs(*role),
        }
    }
}

impl CertificateFiles {
    fn load(&self) -> Result<QuicConfigs, Error> {
        let chain = read_chain(&self.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&self.key).context(PemSnafu { path: &self.key })?;
        let mut roots = RootCertStore::empty();
        for authority in read_chain(&self.authority)? {
            roots.add(authority).map_err(|error| self.unusable(&error))?;
        }
        let roots = Arc::new(roots);
        Ok(QuicConfigs {
            server: self.server(chain.clone(), key.clone_key(), Arc::clone(&roots))?,
            client: self.client(chain, key, roots)?,
        })
    }

    fn server(
        &self,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        roots: Arc<RootCertStore>,
    ) -> Result<quinn::ServerConfig, Error> {
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(|error| self.unusable(&error))?;
        let config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| self.unusable(&error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .map_err(|error| self.unusable(&error))?;
        quic_server(config).map_err(|error| self.unusable(&error))
    }

    fn client(
        &self,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        roots: Arc<RootCertStore>,
    ) -> Result<quinn::ClientConfig, Error> {
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| self.unusable(&error))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(|error| self.unusable(&error))?;
        quic_client(config).map_err(|error| self.unusable(&error))
    }

    fn unusable(&self, error: &dyn std::error::Error) -> Error {
        Error::Unusable {
            path: self.certificate.clone(),
            message: error.to_string(),
        }
    }
}

pub(crate) fn quic_server(mut config: ServerConfig) -> Result<quinn::ServerConfig, NoInitialCipherSuite> {
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicServerConfig::try_from(config)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(quic)))
}

pub(crate) fn quic_client(mut config: ClientConfig) -> Result<quinn::ClientConfig, NoInitialCipherSuite> {
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicClientConfig::try_from(config)?;
    Ok(quinn::ClientConfig::new(Arc::new(quic)))
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let certificates = CertificateDer::pem_file_iter(path).context(PemSnafu { path })?;
    certificates.collect::<Result<_, _>>().context(PemSnafu { path })
}
