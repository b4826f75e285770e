//! TCP relay whose connections a test can cut.

use std::net::SocketAddr;

use actix_web::rt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Relay to one target address.
#[derive(Debug)]
pub struct Relay {
    /// Address to connect to instead of the target.
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay that forwards its connections to `target`.
    ///
    /// # Panics
    ///
    /// When no local port can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free local port");
        listener.set_nonblocking(true).expect("a non-blocking listener");
        let address = listener.local_addr().expect("the address of the listener");
        let (open, open_state) = watch::channel(true);
        // The relay has its own thread, because a test blocks its thread while a command runs.
        std::thread::spawn(move || {
            let system = rt::System::new();
            system.block_on(accept(listener, target, open_state));
        });
        Self { address, open }
    }

    /// Closes all connections, and new ones as soon as they are accepted.
    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    /// Forwards new connections again.
    pub fn restore(&self) {
        self.open.send_replace(true);
    }
}

async fn accept(
    listener: std::net::TcpListener,
    target: SocketAddr,
    open_state: watch::Receiver<bool>,
) {
    let listener = TcpListener::from_std(listener).expect("a listener for the runtime");
    while let Ok((stream, _)) = listener.accept().await {
        let mut open_state = open_state.clone();
        if *open_state.borrow() {
            rt::spawn(async move {
                tokio::select! {
                    () = forward(stream, target) => {}
                    _ = open_state.wait_for(|open| !open) => {}
                }
            });
        }
    }
}

async fn forward(mut inbound: TcpStream, target: SocketAddr) {
    let Ok(mut outbound) = TcpStream::connect(target).await else { return };
    // An error means that one end closed the connection, which a relay has to expect.
    let _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound).await;
}
