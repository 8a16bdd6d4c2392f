//! Transfer of objects between hosts over TCP.
//!
//! A stream carries frames, each prefixed with its length as a big-endian `u32`. A client sends a
//! `Pull` and the server answers with a `Page` that repeats the nonce of the `Pull`, so that an old
//! answer can't be replayed as a new one.

use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_wire::frame;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::generated::frame::Pull;
use chicoryloom_wire::platform::Changes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use xtra::Address;

use super::Sender;
use crate::control::Control;
use crate::control::PageRequest;
use crate::control::Pulled;

/// Longest time for each step: connecting, a request with its answer, one read or one write.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of streams served at once.
const MAX_STREAMS: usize = 64;
/// Pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Step of a pull at which an error arose.
#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    Ask,
    Answer,
}

/// Why a pull failed.
#[derive(Debug)]
enum Error {
    Io(Step, io::Error),
    Frame(Step, frame::Error),
    /// The frame is not of the expected kind, or answers another request.
    Mismatch,
    Timeout,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(step, error) => write!(f, "{step:?}: {error}"),
            Self::Frame(step, error) => write!(f, "{step:?}: frame: {error}"),
            Self::Mismatch => f.write_str("unexpected frame, or answer to another request"),
            Self::Timeout => f.write_str("timeout"),
        }
    }
}

impl std::error::Error for Error {}

/// Pulls objects from peers.
#[derive(Clone, Debug)]
pub(crate) struct Puller {
    /// Local address of outgoing connections.
    pub(crate) source: IpAddr,
    pub(crate) sender: Sender,
}

impl Puller {
    /// Pulls all changes that a peer holds after a revision and sends them to the control actor.
    pub(crate) async fn pull(
        &self,
        peer: SocketAddr,
        since: id::Revision,
        control: &Address<Control>,
    ) {
        if let Err(error) = self.pull_pages(peer, since, control).await {
            log::debug!("peer: {peer}: pull: {error}");
        }
        let changes = Changes { more: true, ..Changes::default() };
        // A failed send means that the actor has stopped because the host shuts down.
        let _ = control.send(Pulled { changes, first: false, last: true }).await;
    }

    async fn pull_pages(
        &self,
        peer: SocketAddr,
        mut since: id::Revision,
        control: &Address<Control>,
    ) -> Result<(), Error> {
        let mut stream = with_timeout(self.connect(peer)).await?;
        let mut first = since == id::Revision::default();
        loop {
            let changes = with_timeout(self.request_page(&mut stream, since)).await?;
            let more = changes.more;
            since = changes.revision;
            // A failed send means that the actor has stopped because the host shuts down.
            let _ = control.send(Pulled { changes, first, last: false }).await;
            first = false;
            if !more {
                return Ok(());
            }
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<TcpStream, Error> {
        let connect = async {
            let socket = match peer {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(self.source, 0))?;
            let stream = socket.connect(peer).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        connect.await.map_err(|error| Error::Io(Step::Connect, error))
    }

    async fn request_page(
        &self,
        stream: &mut TcpStream,
        since: id::Revision,
    ) -> Result<Changes, Error> {
        let nonce = rand::random();
        let pull = Body::Pull(Pull { nonce, since: since.0 });
        self.sender.write(stream, Step::Ask, pull).await?;
        match self.sender.read(stream, Step::Answer).await?.body {
            Body::Page(page) if page.nonce == nonce => Ok(page.into()),
            _ => Err(Error::Mismatch),
        }
    }
}

async fn with_timeout<T>(step: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::time::timeout(EXCHANGE_TIMEOUT, step).await.unwrap_or(Err(Error::Timeout))
}

impl Sender {
    async fn write(&self, stream: &mut TcpStream, step: Step, body: Body) -> Result<(), Error> {
        let bytes = frame::encode_stream(&self.frame(body), &self.secret);
        let bytes = bytes.map_err(|error| Error::Frame(step, error))?;
        let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let mut framed = length.to_be_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        let written = stream.write_all(&framed).await;
        self.metrics.peer_bytes(framed.len());
        written.map_err(|error| Error::Io(step, error))
    }

    async fn read(&self, stream: &mut TcpStream, step: Step) -> Result<Frame, Error> {
        let length = stream.read_u32().await.map_err(|error| Error::Io(step, error))?;
        if length as usize > frame::MAX_STREAM_SIZE {
            self.metrics.frame_dropped(frame::Error::Size);
            return Err(Error::Frame(step, frame::Error::Size));
        }
        // The buffer grows with the bytes that arrive, so a false length allocates no memory.
        let mut bytes = Vec::new();
        let read = stream.take(length.into()).read_to_end(&mut bytes).await;
        read.map_err(|error| Error::Io(step, error))?;
        frame::decode_stream(&bytes, &self.secret).map_err(|error| {
            self.metrics.frame_dropped(error);
            Error::Frame(step, error)
        })
    }
}

/// Serves objects to peers until the task is aborted.
pub(crate) async fn serve(listener: TcpListener, sender: Sender, control: Address<Control>) {
    let permits = Arc::new(Semaphore::new(MAX_STREAMS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (sender, control) = (sender.clone(), control.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_stream(stream, &sender, &control).await {
                log::debug!("peer: {peer}: {error}");
            }
            drop(permit);
        });
    }
}

/// Answers the requests of one stream until the peer closes it.
async fn serve_stream(
    mut stream: TcpStream,
    sender: &Sender,
    control: &Address<Control>,
) -> Result<(), Error> {
    loop {
        let pull = match with_timeout(sender.read(&mut stream, Step::Ask)).await {
            Ok(Frame { body: Body::Pull(pull), .. }) => pull,
            Ok(_) => return Err(Error::Mismatch),
            Err(Error::Io(_, error)) if error.kind() == io::ErrorKind::UnexpectedEof => {
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        let Ok(page) = control.send(PageRequest(pull)).await else {
            return Ok(());
        };
        with_timeout(sender.write(&mut stream, Step::Answer, Body::Page(page))).await?;
    }
}
