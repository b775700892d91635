//! Retries of operations that the system fails for the moment only.

use std::time::Duration;

use rustix::io::Errno;

#[cfg(test)]
mod tests;

/// Tries of what the start needs of the system, and the time between them: together longer than an orderly stop takes.
const TRIES: u32 = 100;
const TRIES_APART: Duration = Duration::from_millis(50);

/// Whether another try may do: the process before us has not let go of the address yet, or the system is short of
/// something for the moment.
pub fn is_transient(problem: &std::io::Error) -> bool {
    let Some(code) = Errno::from_io_error(problem) else {
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

/// Tries again what fails for a moment only: a start that gives up at once is a crash to whoever started it.
pub fn retry_transient<T, E>(
    is_transient: impl Fn(&E) -> bool,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut tries = TRIES;
    loop {
        match attempt() {
            Err(problem) if is_transient(&problem) && tries > 0 => {
                tries -= 1;
                std::thread::sleep(TRIES_APART);
            }
            done => return done,
        }
    }
}
