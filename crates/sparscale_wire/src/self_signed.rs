//! Self-signed certificates for closed networks, and TLS configurations that accept any such certificate.

use std::sync::Arc;

use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, ring, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{ClientConfig, DigitallySignedStruct, DistinguishedName, ServerConfig, SignatureScheme};

use crate::tls::{Error, QuicConfigs, Role, quic_client, quic_server};

/// Generates a self-signed certificate for `role`, and builds configurations that accept any certificate of a peer.
pub(crate) fn configs(role: Role) -> Result<QuicConfigs, Error> {
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed([role.dns_name().to_owned()]).map_err(|error| generation_error(&error))?;
    let chain = vec![cert.der().clone()];
    let key = PrivatePkcs8KeyDer::from(signing_key.serialize_der());
    let provider = Arc::new(ring::default_provider());
    let verifier = Arc::new(AcceptAnyCertificate {
        provider: Arc::clone(&provider),
    });
    let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| generation_error(&error))?
        .with_client_cert_verifier(Arc::clone(&verifier) as Arc<dyn ClientCertVerifier>)
        .with_single_cert(chain.clone(), key.clone_key().into())
        .map_err(|error| generation_error(&error))?;
    let client = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| generation_error(&error))?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(chain, key.into())
        .map_err(|error| generation_error(&error))?;
    Ok(QuicConfigs {
        server: quic_server(server).map_err(|error| generation_error(&error))?,
        client: quic_client(client).map_err(|error| generation_error(&error))?,
    })
}

fn generation_error(error: &dyn std::error::Error) -> Error {
    Error::Generate {
        message: error.to_string(),
    }
}

/// Verifier that accepts every certificate whose holder proves possession of its key.
#[derive(Debug)]
struct AcceptAnyCertificate {
    provider: Arc<CryptoProvider>,
}

impl AcceptAnyCertificate {
    fn verify(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }

    fn reject_tls12() -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("only TLS 1.3 is supported".to_owned()))
    }
}

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Self::reject_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.supported_schemes()
    }
}

impl ClientCertVerifier for AcceptAnyCertificate {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Self::reject_tls12()
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.supported_schemes()
    }
}
