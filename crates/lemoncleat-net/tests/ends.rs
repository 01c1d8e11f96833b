//! What is still owed when a connection, a listener or the whole loop ends, with real connections whose order the
//! test forces: everything that a far side does here it has done before the loop gets its turn.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use lemoncleat_net::{run_bounded, Bounds, Event, Net};

/// Long enough for anything that comes at all.
const LONG: Duration = Duration::from_secs(60);
const SMALL: Bounds = Bounds { queue: 4, read: 1_024, hung_up: 4, accepted: 16 };

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn far(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    stream
}

/// All that comes to the end, if that is in order.
fn all(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).map(|_| bytes)
}

async fn next(net: &mut Net<()>) -> Event<()> {
    loop {
        if let Some(event) = net.next(None).await {
            return event;
        }
    }
}

async fn accepted(net: &mut Net<()>) -> u64 {
    match next(net).await {
        Event::Accepted { conn, .. } => conn,
        other => panic!("not accepted: {other:?}"),
    }
}

#[test]
fn an_end_is_told_before_the_bytes_that_came_before_it() {
    let (listener, address) = listener();
    let mut far = far(address);
    far.write_all(b"INVITE").expect("written");
    far.shutdown(Shutdown::Write).expect("its half ends");
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let conn = accepted(&mut net).await;
        assert!(matches!(next(&mut net).await, Event::Bytes { bytes, .. } if bytes == b"INVITE"));
        // Given, and not yet handled.
        assert_eq!(net.take_ended(), [conn]);
        assert!(matches!(next(&mut net).await, Event::Closed { .. }));
        assert_eq!(net.take_ended(), [], "it is told once");
    });
}

#[test]
fn an_end_that_comes_while_a_piece_waits_is_told_before_that_piece() {
    let (listener, address) = listener();
    let (first, mut second) = (far(address), far(address));
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let mut conns = [accepted(&mut net).await, accepted(&mut net).await];
        conns.sort_unstable();
        second.write_all(b"waits").expect("written");
        // The piece is read and in the queue, and its reader waits for more.
        net.look().await;
        net.look().await;
        assert!(net.has_input(conns[1]));
        assert_eq!(net.take_ended(), []);
        // Then it ends, and nobody but the loop has a turn before the piece is given.
        second.shutdown(Shutdown::Write).expect("its half ends");
        assert!(matches!(net.try_next(), Some(Event::Bytes { bytes, .. }) if bytes == b"waits"));
        assert_eq!(net.take_ended(), [conns[1]]);
        drop(first);
    });
}

#[test]
fn an_end_behind_a_piece_that_a_full_queue_held_back_is_told_before_that_piece() {
    let (listener, address) = listener();
    let (mut first, mut second) = (far(address), far(address));
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let mut conns = [accepted(&mut net).await, accepted(&mut net).await];
        conns.sort_unstable();
        // Pieces of the buffer's size: four fill the queue, and its reader waits for room with another. A look gives
        // no turn behind the reactor's; the second one does.
        first.write_all(&[7; 8 * 1_024]).expect("written");
        net.look().await;
        net.look().await;
        second.write_all(b"waits").expect("written");
        net.look().await;
        net.look().await;
        second.shutdown(Shutdown::Write).expect("its half ends");
        let mut told = Vec::new();
        loop {
            let event = next(&mut net).await;
            told.extend(net.take_ended());
            match event {
                Event::Bytes { conn, bytes } if conn == conns[1] => {
                    assert_eq!((bytes.as_slice(), told.as_slice()), (b"waits".as_slice(), &conns[1..]));
                    return;
                }
                Event::Bytes { .. } => {}
                other => panic!("not bytes: {other:?}"),
            }
        }
    });
}

#[test]
fn what_is_given_for_a_caller_that_ended_its_half_is_written() {
    let (listener, address) = listener();
    let mut far = far(address);
    far.shutdown(Shutdown::Write).expect("its half ends");
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let conn = accepted(&mut net).await;
        let Event::Closed { conn: closed } = next(&mut net).await else { panic!("not closed") };
        assert_eq!((closed, net.take_ended()), (conn, vec![conn]));
        // It may be written to until the next event, and more than the kernel takes at once.
        net.send(conn, &vec![b'5'; 16 << 20]);
        net.flush();
        assert!(net.waiting(conn) > 0, "some waits here");
        let reader = thread::spawn(move || all(&mut far));
        assert!(net.next(Some(Instant::now())).await.is_none());
        net.end(LONG, LONG).await;
        assert_eq!(reader.join().expect("it reads").expect("an end in order").len(), 16 << 20);
    });
}

#[test]
fn closing_with_input_unread_lets_what_was_written_be_read() {
    // More than the system takes for a far side that does not read, and less: its rest would go with a reset.
    for (hang_up, count) in [(false, 16 << 20), (false, 400 << 10), (true, 16 << 20), (true, 400 << 10)] {
        let (listener, address) = listener();
        let mut far = far(address);
        run_bounded(SMALL, async |mut net: Net<()>| {
            net.listen(listener, 0).expect("it listens");
            let conn = accepted(&mut net).await;
            net.send(conn, &vec![b'5'; count]);
            net.flush();
            far.write_all(&[7; 64 * 1_024]).expect("written");
            if hang_up {
                net.hang_up(conn);
            } else {
                net.close(conn);
            }
            // The loop's own tasks have their turn before anybody reads.
            net.look().await;
            let reader = thread::spawn(move || all(&mut far));
            net.end(LONG, LONG).await;
            let read = reader.join().expect("it reads").expect("an end in order");
            assert_eq!(read.len(), count, "hang_up {hang_up}");
        });
    }
}

#[test]
fn closes_that_linger_are_bounded() {
    let (listener, address) = listener();
    let mut all_far: Vec<_> = (0..6).map(|_| far(address)).collect();
    let ended = run_bounded(Bounds { hung_up: 2, ..SMALL }, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        for _ in 0..6 {
            let conn = accepted(&mut net).await;
            net.send(conn, &vec![b'5'; 16 << 20]);
            net.close(conn);
        }
        let readers: Vec<_> = all_far
            .drain(..)
            .map(|mut far| thread::spawn(move || all(&mut far).map_or(0, |b| b.len())))
            .collect();
        net.end(LONG, LONG).await;
        readers.into_iter().map(|reader| reader.join().expect("it reads")).collect::<Vec<_>>()
    });
    assert_eq!(ended.iter().filter(|count| **count == 16 << 20).count(), 2, "{ended:?}");
}

#[test]
fn the_end_of_the_loop_writes_all_and_keeps_a_reset_from_whoever_reads() {
    let (listener, address) = listener();
    let mut far = far(address);
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let conn = accepted(&mut net).await;
        net.send(conn, &vec![b'2'; 16 << 20]);
        // It sends on, and what it sends is never given to the loop.
        far.write_all(&[7; 256 * 1_024]).expect("written");
        let reader = thread::spawn(move || all(&mut far));
        net.end(LONG, LONG).await;
        assert_eq!(reader.join().expect("it reads").expect("an end in order").len(), 16 << 20);
    });
}

#[test]
fn a_far_side_that_never_reads_does_not_hold_the_end() {
    let (listener, address) = listener();
    let far = far(address);
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let conn = accepted(&mut net).await;
        net.send(conn, &vec![b'2'; 16 << 20]);
        net.end(Duration::from_millis(1), Duration::from_millis(1)).await;
    });
    drop(far);
}

#[test]
fn every_connection_of_the_listen_queue_is_there_after_a_look() {
    let (listener, address) = listener();
    // More than may wait untaken, and than the queue holds.
    let far: Vec<_> = (0..40)
        .map(|_| {
            let mut far = far(address);
            far.write_all(b"x").expect("written");
            far
        })
        .collect();
    run_bounded(Bounds { accepted: 2, ..SMALL }, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        net.look().await;
        let (mut accepted, mut given) = (0, 0);
        while let Some(event) = net.ready().await {
            match event {
                Event::Accepted { .. } => accepted += 1,
                Event::Bytes { bytes, .. } => given += bytes.len(),
                other => panic!("not expected: {other:?}"),
            }
        }
        assert_eq!((accepted, given), (40, 40));
    });
    drop(far);
}

#[test]
fn connections_that_the_loop_has_not_taken_stay_in_the_listen_queue() {
    let (listener, address) = listener();
    let far: Vec<_> = (0..40).map(|_| far(address)).collect();
    let own = address.port();
    // Sockets of this process whose own end is the listener's: the listener itself, and whom it has accepted.
    let held = || {
        let text = std::fs::read_to_string("/proc/self/net/tcp").expect("the system tells");
        let inodes: Vec<_> = text
            .lines()
            .filter(|line| {
                line.split_whitespace().nth(1).is_some_and(|at| at.ends_with(&format!(":{own:04X}")))
            })
            .filter_map(|line| line.split_whitespace().nth(9).map(|inode| format!("socket:[{inode}]")))
            .collect();
        let open = std::fs::read_dir("/proc/self/fd").expect("the system tells");
        open.flatten()
            .filter_map(|fd| std::fs::read_link(fd.path()).ok())
            .filter(|link| inodes.iter().any(|inode| link.to_str() == Some(inode)))
            .count()
    };
    run_bounded(Bounds { queue: 256, accepted: 3, ..SMALL }, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        net.look().await;
        net.look().await;
        assert_eq!(held(), 1 + 3);
        let _ = accepted(&mut net).await;
        net.look().await;
        assert_eq!(held(), 1 + 1 + 3);
    });
    drop(far);
}

/// What has not begun to leave is taken back alone; what has begun goes out whole.
#[test]
fn what_waits_for_a_far_side_that_does_not_read_can_be_taken_back() {
    let (listener, address) = listener();
    let mut far = far(address);
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let conn = accepted(&mut net).await;
        let first = vec![b'1'; 16 << 20];
        net.send_revocable(conn, 1, &first);
        net.flush();
        let waiting = net.waiting(conn);
        assert!(waiting > 0 && waiting < first.len(), "the system took {} bytes", first.len() - waiting);
        assert!(!net.take_back(conn, 1), "some of it has left");
        for (name, byte) in [(2, b'2'), (3, b'3'), (4, b'4'), (3, b'5')] {
            net.send_revocable(conn, name, &[byte; 10]);
        }
        net.send(conn, b"between");
        net.send_revocable(conn, 6, b"666");
        assert!(net.take_back(conn, 3), "the last of the name");
        assert!(net.take_back(conn, 2) && !net.take_back(conn, 2), "once");
        assert!(!net.take_back(conn, 7) && !net.take_back(conn + 1, 4), "never given");
        net.flush();
        assert!(net.take_back(conn, 6), "behind what moved up");
        let reader = thread::spawn(move || all(&mut far));
        net.end(LONG, LONG).await;
        let read = reader.join().expect("it reads").expect("an end in order");
        assert_eq!(read.len(), first.len() + 27);
        assert!(read.starts_with(&first));
        assert_eq!(&read[first.len()..], b"33333333334444444444between");
    });
}

#[test]
fn what_the_system_has_taken_can_not_be_taken_back() {
    let (listener, address) = listener();
    let mut far = far(address);
    run_bounded(SMALL, async |mut net: Net<()>| {
        net.listen(listener, 0).expect("it listens");
        let conn = accepted(&mut net).await;
        net.send_revocable(conn, 1, b"gone");
        net.send_revocable(conn, 2, b"taken back before it was offered");
        assert!(net.take_back(conn, 2));
        net.flush();
        assert!(!net.take_back(conn, 1));
        net.send_revocable(conn, 1, b", and more");
        far.shutdown(Shutdown::Write).expect("a socket");
        net.end(LONG, LONG).await;
    });
    assert_eq!(all(&mut far).expect("an end in order"), b"gone, and more");
}
