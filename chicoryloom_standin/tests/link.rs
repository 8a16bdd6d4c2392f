//! Fault rules of a link, for each direction separately.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_standin::link::Fault;
use chicoryloom_standin::link::Link;
use chicoryloom_standin::link::Port;
use chicoryloom_standin::link::Protocol;
use chicoryloom_standin::link::Rule;
use reqwest::Client;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const ANY_LOCAL_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Time after which bytes that have not arrived count as held back.
const HOLD_TIMEOUT: Duration = Duration::from_millis(200);
const CUT: Fault = Fault { cut: true, reset: false, drop: 0.0, delay_ms: 0, duplicate: 0.0 };

/// A link, and an HTTP client for its control API.
struct Fixture {
    link: Link,
    client: Client,
}

impl Fixture {
    async fn new() -> Self {
        let link = Link::start(ANY_LOCAL_PORT).await.unwrap();
        Self { link, client: Client::builder().no_proxy().build().unwrap() }
    }

    async fn open(&self, protocol: Protocol, upstream: SocketAddr) -> SocketAddr {
        let url = format!("http://{}/standin/ports", self.link.control());
        let port = Port { protocol, listen: ANY_LOCAL_PORT, upstream };
        let opened = self.client.post(url).json(&port).send().await.unwrap();
        opened.json::<Port>().await.unwrap().listen
    }

    async fn set_rule(&self, forth: Fault, back: Fault) {
        let url = format!("http://{}/standin/rules", self.link.control());
        let rule = Rule { from: None, to: None, to_port: None, forth, back };
        let set = self.client.put(url).json(&json!([rule])).send().await.unwrap();
        assert!(set.status().is_success());
    }

    /// Connects over TCP and returns both ends.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind(ANY_LOCAL_PORT).await.unwrap();
        let listen = self.open(Protocol::Tcp, listener.local_addr().unwrap()).await;
        let near = TcpStream::connect(listen).await.unwrap();
        (near, listener.accept().await.unwrap().0)
    }
}

async fn passes(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"x").await.unwrap();
    let mut byte = [0];
    timeout(HOLD_TIMEOUT, to.read_exact(&mut byte)).await.is_ok()
}

#[tokio::test]
async fn tcp_directions_are_cut_on_their_own_and_stay_open() {
    let fixture = Fixture::new().await;
    let (mut near, mut far) = fixture.connect().await;
    assert!(passes(&mut near, &mut far).await);
    fixture.set_rule(CUT, Fault::default()).await;
    assert!(!passes(&mut near, &mut far).await);
    assert!(passes(&mut far, &mut near).await);
    fixture.set_rule(Fault::default(), Fault::default()).await;
    let mut byte = [0];
    far.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"x", "bytes held by the cut were lost");
}

#[tokio::test]
async fn cut_hides_the_close_of_the_upstream() {
    let fixture = Fixture::new().await;
    let (mut near, far) = fixture.connect().await;
    fixture.set_rule(Fault::default(), CUT).await;
    drop(far);
    let mut byte = [0];
    assert!(timeout(HOLD_TIMEOUT, near.read(&mut byte)).await.is_err());
}

#[tokio::test]
async fn reset_closes_connections_and_new_ones() {
    let fixture = Fixture::new().await;
    let (mut near, _far) = fixture.connect().await;
    fixture.set_rule(Fault { reset: true, ..Fault::default() }, Fault::default()).await;
    let mut byte = [0];
    assert!(!matches!(near.read(&mut byte).await, Ok(1)));
}

#[tokio::test]
async fn delay_holds_bytes_back() {
    let fixture = Fixture::new().await;
    let (mut near, mut far) = fixture.connect().await;
    let slow = Fault { delay_ms: 1000, ..Fault::default() };
    fixture.set_rule(slow, Fault::default()).await;
    assert!(!passes(&mut near, &mut far).await);
    let mut byte = [0];
    far.read_exact(&mut byte).await.unwrap();
}

#[tokio::test]
async fn datagrams_are_dropped_and_duplicated_by_direction() {
    let fixture = Fixture::new().await;
    let far = UdpSocket::bind(ANY_LOCAL_PORT).await.unwrap();
    let near = UdpSocket::bind(ANY_LOCAL_PORT).await.unwrap();
    near.connect(fixture.open(Protocol::Udp, far.local_addr().unwrap()).await).await.unwrap();
    let twice = Fault { duplicate: 1.0, ..Fault::default() };
    let lost = Fault { drop: 1.0, ..Fault::default() };
    fixture.set_rule(twice, lost).await;
    near.send(b"x").await.unwrap();
    let mut byte = [0];
    far.recv_from(&mut byte).await.unwrap();
    let (_, reply_address) = far.recv_from(&mut byte).await.unwrap();
    far.send_to(b"y", reply_address).await.unwrap();
    assert!(timeout(HOLD_TIMEOUT, near.recv(&mut byte)).await.is_err());
    fixture.set_rule(Fault::default(), Fault::default()).await;
    far.send_to(b"y", reply_address).await.unwrap();
    near.recv(&mut byte).await.unwrap();
    assert_eq!(&byte, b"y");
}
