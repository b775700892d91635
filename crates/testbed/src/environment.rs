//! Resources of the machine that a run needs: a temporary folder, a runtime and file descriptors.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::runtime::Runtime;

/// Number of threads that run the stand-ins.
const STAND_IN_THREADS: usize = 3;

/// A temporary folder of a run, which is removed when the value is dropped.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn new() -> io::Result<Self> {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("pinefront-testbed-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // Files that can't be removed are left to the system's cleanup of temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Creates the runtime of the stand-ins.
pub fn stand_in_runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_IN_THREADS)
        .enable_all()
        .build()
}

/// Raises the limit on open file descriptors to the maximum that the process may set.
pub fn raise_descriptor_limit() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    // Where the system refuses, the limit stays as it was; opening a file or socket beyond it then
    // returns an error.
    let _ = setrlimit(Resource::Nofile, limit);
}
