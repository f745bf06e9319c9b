//! Certificates of a throw-away authority, for the demo and tests.

use std::fs;
use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};

/// Names of the files that [`write`] makes, beside the DNS name that each certificate carries.
const ROLES: [(&str, &str); 3] = [
    ("entry", "entry.sparscale.internal"),
    ("agent", "agent.sparscale.internal"),
    ("stranger", "stranger.example"),
];

/// Writes an authority and a certificate for each role into `directory`.
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
    put(directory, "authority.pem", &authority.pem())?;
    let issuer = Issuer::new(parameters, authority_key);
    for (role, name) in ROLES {
        issue(directory, role, name, &issuer)?;
    }
    Ok(())
}

fn issue(directory: &Path, role: &str, name: &str, issuer: &Issuer<'_, KeyPair>) -> Result<(), String> {
    let key = KeyPair::generate().map_err(|error| error.to_string())?;
    let mut parameters = CertificateParams::new(vec![name.to_owned()]).map_err(|error| error.to_string())?;
    parameters.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let certificate = parameters.signed_by(&key, issuer).map_err(|error| error.to_string())?;
    put(directory, &format!("{role}.pem"), &certificate.pem())?;
    put(directory, &format!("{role}.key"), &key.serialize_pem())
}

fn put(directory: &Path, name: &str, content: &str) -> Result<(), String> {
    let path = directory.join(name);
    fs::write(&path, content).map_err(|error| format!("{}: {error}", path.display()))
}
