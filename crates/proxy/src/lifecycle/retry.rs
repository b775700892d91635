//! Retries of operations that the system fails for the moment only.

use std::time::Duration;

use rustix::io::Errno;

#[cfg(test)]
mod tests;

/// Further attempts at what the start needs of the system: together they take longer than the
/// shutdown of the process before.
const MAX_RETRIES: u32 = 100;
/// The time between them.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Whether another attempt may succeed: the former process still holds the address, or the system
/// is short of a resource for the moment.
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

/// Repeats an attempt that fails for the moment only: a start that fails at once is a crash to
/// whoever started it.
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
            done => return done,
        }
    }
}
