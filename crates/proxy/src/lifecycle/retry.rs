//! Retries of operations that fail with a transient system error.

use std::time::Duration;

use rustix::io::Errno;

#[cfg(test)]
mod tests;

/// Maximum number of retries of an operation during startup. Together they take longer than the
/// shutdown of the previous process, which may still hold the address.
const MAX_RETRIES: u32 = 100;
/// Interval between retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Whether another attempt may succeed, because the previous process still holds the address or the
/// system is temporarily out of a resource.
pub fn is_transient(error: &std::io::Error) -> bool {
    let Some(code) = Errno::from_io_error(error) else {
        return false;
    };
    matches!(
        code,
        Errno::ADDRINUSE
            | Errno::ADDRNOTAVAIL
            | Errno::AGAIN
            | Errno::INTR
            | Errno::IO
            | Errno::MFILE
            | Errno::NFILE
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::NOBUFS
            | Errno::NOMEM
    )
}

/// Repeats an operation that fails with a transient error. Without retries, a temporary shortage at
/// startup would look like a crash to the process supervisor.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub fn retry_transient<T, E>(
    is_transient: impl Fn(&E) -> bool,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut retries = 0;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && retries < MAX_RETRIES => {
                retries += 1;
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
