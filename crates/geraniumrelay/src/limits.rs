//! Resource limits of the process.

use log::{info, warn};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Raises the soft limit on open files to the hard limit, as each caller and each target in use
/// holds a connection.
pub fn raise_open_file_limit() {
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
