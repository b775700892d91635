use super::*;
use crate::stand::listener;

fn pair() -> (TcpStream, TcpStream) {
    let listener = listener();
    let ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    listener.set_nonblocking(false).unwrap();
    let theirs = listener.accept().unwrap().0;
    theirs.set_nonblocking(false).unwrap();
    ours.set_nonblocking(true).unwrap();
    (ours, theirs)
}

#[test]
fn an_inbox_keeps_no_more_than_it_may() {
    let (ours, mut theirs) = pair();
    theirs.write_all(&[7; 5000]).unwrap();
    drop(theirs);
    let mut inbox = Inbox::default();
    let first =
        std::iter::repeat_with(|| inbox.fill(&ours, 4500)).find(|inflow| *inflow != Inflow::Dry);
    assert_eq!((first, inbox.kept().len()), (Some(Inflow::Full), 4500));
    assert_eq!(inbox.take(4500).len(), 4500);
    let last =
        std::iter::repeat_with(|| inbox.fill(&ours, 4500)).find(|inflow| *inflow != Inflow::Dry);
    assert_eq!((last, inbox.kept().len()), (Some(Inflow::Ended), 500));
}

#[test]
fn an_outbox_goes_on_where_a_write_stopped() {
    let (ours, mut theirs) = pair();
    let sent: Vec<u8> = (0..8_000_000_u32).map(|n| (n % 251) as u8).collect();
    let mut outbox = Outbox::default();
    for part in sent.chunks(70_001) {
        outbox.push(Bytes::copy_from_slice(part));
    }
    outbox.drain(&ours).unwrap();
    assert!(!outbox.is_empty(), "a socket took eight megabytes at once");
    let reader = std::thread::spawn(move || {
        let mut heard = Vec::new();
        theirs.read_to_end(&mut heard).map(|_| heard)
    });
    while !outbox.is_empty() {
        outbox.drain(&ours).unwrap();
        std::thread::yield_now();
    }
    drop(ours);
    assert!(reader.join().unwrap().unwrap() == sent, "the bytes differ");
}
