//! Reads the expiry time of a certificate.

use std::path::Path;
use std::time::{Duration, SystemTime};

use anyhow::Context as _;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use x509_parser::parse_x509_certificate;

/// Expiry time of the first certificate in a PEM file; 1970-01-01 if it lies before that date.
///
/// # Errors
/// The file can't be read or contains no certificate.
pub fn expiry(path: &Path) -> anyhow::Result<SystemTime> {
    let context = || format!("certificate {}", path.display());
    let der = CertificateDer::from_pem_file(path).with_context(context)?;
    let (_, certificate) = parse_x509_certificate(&der).with_context(context)?;
    let seconds = u64::try_from(certificate.validity().not_after.timestamp());
    Ok(SystemTime::UNIX_EPOCH + Duration::from_secs(seconds.unwrap_or(0)))
}
