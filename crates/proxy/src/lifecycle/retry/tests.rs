use std::io;

use rstest::rstest;

use super::*;

/// As socket(2), bind(2) and open(2) may fail for a moment.
#[rstest]
#[case::open_files(Errno::NFILE, true)]
#[case::buffers(Errno::NOBUFS, true)]
#[case::address_not_available(Errno::ADDRNOTAVAIL, true)]
#[case::address_in_use(Errno::ADDRINUSE, true)]
#[case::no_such_file(Errno::NOENT, false)]
#[case::not_allowed(Errno::ACCESS, false)]
fn only_transient_errors_are_retried(#[case] code: Errno, #[case] again: bool) {
    let mut tries = 0;
    let done = retry_transient(is_transient, || -> io::Result<u32> {
        tries += 1;
        if tries < 3 {
            Err(code.into())
        } else {
            Ok(tries)
        }
    });
    assert_eq!(done.ok(), again.then_some(3));
}
