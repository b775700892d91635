use std::io;

use rstest::rstest;

use super::*;

/// The transient errors are those that socket(2), bind(2) and open(2) may return.
#[rstest]
#[case::open_files(Errno::NFILE, true)]
#[case::buffers(Errno::NOBUFS, true)]
#[case::address_not_available(Errno::ADDRNOTAVAIL, true)]
#[case::address_in_use(Errno::ADDRINUSE, true)]
#[case::no_such_file(Errno::NOENT, false)]
#[case::access_denied(Errno::ACCESS, false)]
fn only_transient_errors_are_retried(#[case] code: Errno, #[case] is_retried: bool) {
    let mut attempts = 0;
    let result = retry_transient(is_transient, || -> io::Result<u32> {
        attempts += 1;
        if attempts < 3 {
            Err(code.into())
        } else {
            Ok(attempts)
        }
    });
    assert_eq!(result.ok(), is_retried.then_some(3));
}
