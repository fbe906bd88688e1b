//! Limits that the operating system sets to a process.

use log::{info, warn};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Raises the number of open files to what the VM allows, as each caller and each target in use
/// holds a connection.
pub fn raise_open_files() {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current == maximum {
        return;
    }
    match setrlimit(
        Resource::Nofile,
        Rlimit {
            current: maximum,
            maximum,
        },
    ) {
        Ok(()) => info!(from:? = current, to:? = maximum; "open_files_raised"),
        Err(e) => warn!(error:% = e; "open_files_not_raised"),
    }
}
