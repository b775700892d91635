use std::io::Write;

use super::*;
use crate::test_harness::await_recorded_arrivals;

/// Opens a listener that records arrival times.
fn recording_listener() -> TcpListener {
    await_recorded_arrivals();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    record_arrival_times(&listener).unwrap();
    listener
}

fn arrival(stream: &TcpStream) -> ArrivalTime {
    receive(stream, &mut [0; 64]).unwrap().arrived_at
}

/// The bytes arrive before their connections are accepted, and are read in another order.
#[test]
fn the_arrival_of_bytes_in_the_backlog_is_recorded() {
    let listener = recording_listener();
    let mut clients: Vec<_> = (0..3)
        .map(|_| TcpStream::connect(listener.local_addr().unwrap()).unwrap())
        .collect();
    for index in [1, 0, 2] {
        clients[index].write_all(b"a").unwrap();
    }
    let accepted: Vec<_> = (0..3).map(|_| listener.accept().unwrap().0).collect();
    let arrivals: Vec<_> = accepted.iter().map(arrival).collect();
    assert!(
        arrivals[1] < arrivals[0] && arrivals[0] < arrivals[2],
        "{arrivals:?}"
    );
}

/// A message has arrived when its last byte has.
#[test]
fn the_arrival_is_that_of_the_last_byte() {
    let listener = recording_listener();
    let address = listener.local_addr().unwrap();
    let [mut first, mut second] = [0, 1].map(|_| TcpStream::connect(address).unwrap());
    first.write_all(b"a").unwrap();
    second.write_all(b"b").unwrap();
    first.write_all(b"c").unwrap();
    let [first, second] = [0, 1].map(|_| listener.accept().unwrap().0);
    assert!(arrival(&second) < arrival(&first));
}

#[test]
fn an_arrival_that_is_not_recorded_counts_as_later() {
    let recorded = ArrivalTime::from(Some(TimeSpec::new(9, 0)));
    assert!(recorded < ArrivalTime::default());
    assert!(ArrivalTime::from(Some(TimeSpec::new(8, 9))) < recorded);
}
