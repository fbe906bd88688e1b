//! When a certificate expires.

use std::path::Path;
use std::time::{Duration, SystemTime};

use anyhow::Context as _;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use x509_parser::parse_x509_certificate;

/// Time at which the first certificate of a PEM file expires.
///
/// # Errors
/// A file that can't be read or holds no certificate.
pub fn expiry(path: &Path) -> anyhow::Result<SystemTime> {
    let context = || format!("certificate {}", path.display());
    let der = CertificateDer::from_pem_file(path).with_context(context)?;
    let (_, certificate) = parse_x509_certificate(&der).with_context(context)?;
    let seconds = u64::try_from(certificate.validity().not_after.timestamp());
    Ok(SystemTime::UNIX_EPOCH + Duration::from_secs(seconds.unwrap_or(0)))
}
