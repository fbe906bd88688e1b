//! Certificates for entry processes under test.

use std::fs;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

/// Name that every entry process's certificate carries.
const PEER_NAME: &str = "geraniumrelay";

/// A CA, a certificate and a key, as files in a directory of their own.
#[derive(Debug, Clone)]
pub struct TestCerts {
    dir: PathBuf,
}

impl TestCerts {
    /// Writes new ones below `dir`, which is made where it is absent.
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

    /// Takes the files that are below `dir` already.
    pub fn from_dir(dir: &Path) -> Self {
        Self {
            dir: dir.to_owned(),
        }
    }

    /// CA certificate file.
    pub fn ca(&self) -> PathBuf {
        self.dir.join("ca.pem")
    }

    /// Certificate file.
    pub fn cert(&self) -> PathBuf {
        self.dir.join("cert.pem")
    }

    /// Key file.
    pub fn key(&self) -> PathBuf {
        self.dir.join("key.pem")
    }
}
