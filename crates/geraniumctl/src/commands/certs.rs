//! `geraniumctl certs`: creates the CA, certificates and keys of entry processes.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::{Duration, SystemTime};

use anyhow::Context;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

use crate::cli::CertsArgs;
use crate::exit::{Exit, Failure};

/// DNS name in the certificates of all entry processes.
const PEER_NAME: &str = "geraniumrelay";

/// File name of the CA certificate.
const CA_FILE: &str = "ca.pem";

/// File name of the CA key, which is not needed on entry VMs.
const CA_KEY_FILE: &str = "ca-key.pem";

/// Duration of a day, the unit of the validity arguments.
const DAY: Duration = Duration::from_hours(24);

/// Time by which the start of validity is backdated, to allow for clock skew.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_hours(1);

/// Creates or renews certificates.
///
/// # Errors
/// A file can't be read or written, or only one of the CA's certificate and key exists.
pub fn run(args: &CertsArgs, out: &mut impl Write) -> Result<(), Failure> {
    let dir = &args.out;
    fs::create_dir_all(dir).with_context(|| dir.display().to_string())?;
    let issuer = match (dir.join(CA_FILE).exists(), dir.join(CA_KEY_FILE).exists()) {
        (true, true) => {
            writeln!(out, "signing with the CA in {}", dir.display())?;
            read_ca(dir)?
        }
        (false, false) => {
            let issuer = create_ca(dir, args.ca_days)?;
            writeln!(
                out,
                "new CA: {CA_FILE}, {CA_KEY_FILE} (do not copy this key to entry VMs)"
            )?;
            issuer
        }
        _ => {
            let message = format!(
                "{}: {CA_FILE} and {CA_KEY_FILE} belong together; one of them is missing",
                dir.display()
            );
            return Err(Failure::message(Exit::File, message));
        }
    };
    let files: Vec<_> = if args.vm.is_empty() {
        vec![("cert.pem".to_owned(), "key.pem".to_owned())]
    } else {
        let file_names = |vm: &String| (format!("{vm}.pem"), format!("{vm}-key.pem"));
        args.vm.iter().map(file_names).collect()
    };
    for (cert, key) in files {
        issue(&issuer, dir, &cert, &key, args.days)?;
        writeln!(out, "{cert}, {key}: valid for {} days", args.days)?;
    }
    Ok(())
}

fn create_ca(dir: &Path, days: u16) -> anyhow::Result<Issuer<'static, KeyPair>> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "geraniumrelay CA");
    set_validity(&mut params, days);
    let key = KeyPair::generate()?;
    let cert = params.self_signed(&key)?;
    write_file(dir, CA_KEY_FILE, &key.serialize_pem())?;
    write_file(dir, CA_FILE, &cert.pem())?;
    Ok(Issuer::new(params, key))
}

fn read_ca(dir: &Path) -> anyhow::Result<Issuer<'static, KeyPair>> {
    let read = |name: &str| {
        let path = dir.join(name);
        fs::read_to_string(&path).with_context(|| path.display().to_string())
    };
    let key = KeyPair::from_pem(&read(CA_KEY_FILE)?).context(CA_KEY_FILE)?;
    Issuer::from_ca_cert_pem(&read(CA_FILE)?, key).context(CA_FILE)
}

fn issue(
    issuer: &Issuer<'_, KeyPair>,
    dir: &Path,
    cert_file: &str,
    key_file: &str,
    days: u16,
) -> anyhow::Result<()> {
    let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    set_validity(&mut params, days);
    let key = KeyPair::generate()?;
    let cert = params.signed_by(&key, issuer)?;
    write_file(dir, key_file, &key.serialize_pem())?;
    write_file(dir, cert_file, &cert.pem())
}

fn set_validity(params: &mut CertificateParams, days: u16) {
    let now = SystemTime::now();
    params.not_before = (now - CLOCK_SKEW_MARGIN).into();
    params.not_after = (now + DAY * u32::from(days)).into();
}

/// Writes a file that only its owner can read or write.
fn write_file(dir: &Path, name: &str, content: &str) -> anyhow::Result<()> {
    const OWNER_ONLY: u32 = 0o600;
    let path = dir.join(name);
    let mut options = OpenOptions::new();
    options
        .write(true)
        .create(true)
        .truncate(true)
        .mode(OWNER_ONLY);
    let write = || options.open(&path)?.write_all(content.as_bytes());
    write().with_context(|| path.display().to_string())
}
