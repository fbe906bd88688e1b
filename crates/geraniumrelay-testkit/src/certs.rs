//! CA, certificate and key files for entry processes under test.

use std::fs;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

/// Subject alternative name of every entry process's certificate.
const PEER_NAME: &str = "geraniumrelay";

/// Directory with the files `ca.pem`, `cert.pem` and `key.pem`.
#[derive(Debug, Clone)]
pub struct TestCerts {
    dir: PathBuf,
}

impl TestCerts {
    /// Generates a CA and a certificate signed by it, and writes the files to `dir`. Creates `dir`
    /// if absent.
    ///
    /// # Panics
    /// If a file can't be written.
    pub fn write(dir: &Path) -> Self {
        fs::create_dir_all(dir).expect("directory for certificates");
        let mut ca = CertificateParams::new(Vec::new()).expect("CA parameters");
        ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let ca = CertifiedIssuer::self_signed(ca, KeyPair::generate().expect("CA key"));
        let ca = ca.expect("CA certificate");
        let key = KeyPair::generate().expect("key");
        let leaf = CertificateParams::new(vec![PEER_NAME.to_owned()]).expect("parameters");
        let leaf = leaf.signed_by(&key, &ca).expect("certificate");
        fs::write(dir.join("ca.pem"), ca.pem()).expect("ca.pem");
        fs::write(dir.join("cert.pem"), leaf.pem()).expect("cert.pem");
        fs::write(dir.join("key.pem"), key.serialize_pem()).expect("key.pem");
        Self {
            dir: dir.to_owned(),
        }
    }

    /// Uses the files that exist in `dir`; does not check them.
    pub fn from_dir(dir: &Path) -> Self {
        Self {
            dir: dir.to_owned(),
        }
    }

    /// Path of the CA certificate in PEM form.
    pub fn ca(&self) -> PathBuf {
        self.dir.join("ca.pem")
    }

    /// Path of the certificate in PEM form.
    pub fn cert(&self) -> PathBuf {
        self.dir.join("cert.pem")
    }

    /// Path of the private key in PEM form.
    pub fn key(&self) -> PathBuf {
        self.dir.join("key.pem")
    }
}
