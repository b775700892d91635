use super::*;

fn fault(kind: FaultKind, one_way: bool, against: Option<Vec<usize>>) -> LinkFault {
    LinkFault {
        kind,
        from: 10,
        to: 20,
        balancers: vec![0, 1],
        against,
        one_way,
        factor: 1.0,
        by: 0,
    }
}

fn passes(fault: LinkFault, from: usize, to: usize, now: Micros) -> bool {
    let links = NetworkLinks {
        faults: vec![fault],
        base_delay: [1, 2],
    };
    !links
        .transmit(from, to, now, &mut RandomSource::new(1))
        .copies
        .is_empty()
}

#[test]
fn link_cut_loses_only_datagrams_between_the_two_sides() {
    let cut = || fault(FaultKind::LinkCut, false, None);
    let between = [(0, 2), (2, 0), (3, 1)].map(|(from, to)| passes(cut(), from, to, 15));
    let within = [(0, 1), (2, 3)].map(|(from, to)| passes(cut(), from, to, 15));
    assert_eq!((between, within), ([false; 3], [true; 2]));
    assert!(passes(cut(), 0, 2, 20) && passes(cut(), 0, 2, 9));
}

#[test]
fn one_way_link_cut_does_not_affect_the_other_direction() {
    let cut = || fault(FaultKind::LinkCut, true, Some(vec![2]));
    assert_eq!(
        [(0, 2), (2, 0), (0, 3)].map(|(a, b)| passes(cut(), a, b, 15)),
        [false, true, true]
    );
}

#[test]
fn duplicates_arrive_later_and_corrupted_datagrams_are_marked() {
    let faults = vec![
        fault(FaultKind::LinkRepeats, false, None),
        fault(FaultKind::LinkCorrupts, false, None),
    ];
    let transmission = NetworkLinks {
        faults,
        base_delay: [1, 2],
    }
    .transmit(0, 2, 15, &mut RandomSource::new(1));
    assert!(transmission.copies.len() == 2 && transmission.copies[1] >= transmission.copies[0]);
    assert!(
        transmission
            .corrupted_at
            .is_some_and(|fraction| (0.0..1.0).contains(&fraction))
    );
}
