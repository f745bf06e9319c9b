//! Writes a throw-away certificate authority and certificates for the demo and tests.

use std::fs;
use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};

/// File name of each certificate that [`write`] creates, and the DNS name in it.
const CERTIFICATES: [(&str, &str); 3] = [
    ("entry", "entry.sparscale.internal"),
    ("agent", "agent.sparscale.internal"),
    ("stranger", "stranger.example"),
];

/// Writes the certificate of a new authority, and a certificate and key for each role, into `directory`.
pub fn write(directory: &Path) -> Result<(), String> {
    fs::create_dir_all(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
    let authority_key = KeyPair::generate().map_err(|error| error.to_string())?;
    let mut parameters = CertificateParams::new(Vec::new()).map_err(|error| error.to_string())?;
    parameters.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    parameters
        .distinguished_name
        .push(DnType::CommonName, "sparscale stand-in authority");
    let authority = parameters
        .self_signed(&authority_key)
        .map_err(|error| error.to_string())?;
    write_file(directory, "authority.pem", &authority.pem())?;
    let issuer = Issuer::new(parameters, authority_key);
    for (file_name, dns_name) in CERTIFICATES {
        issue(directory, file_name, dns_name, &issuer)?;
    }
    Ok(())
}

fn issue(directory: &Path, file_name: &str, dns_name: &str, issuer: &Issuer<'_, KeyPair>) -> Result<(), String> {
    let key = KeyPair::generate().map_err(|error| error.to_string())?;
    let mut parameters = CertificateParams::new(vec![dns_name.to_owned()]).map_err(|error| error.to_string())?;
    parameters.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let certificate = parameters.signed_by(&key, issuer).map_err(|error| error.to_string())?;
    write_file(directory, &format!("{file_name}.pem"), &certificate.pem())?;
    write_file(directory, &format!("{file_name}.key"), &key.serialize_pem())
}

fn write_file(directory: &Path, name: &str, content: &str) -> Result<(), String> {
    let path = directory.join(name);
    fs::write(&path, content).map_err(|error| format!("{}: {error}", path.display()))
}
