//! A connection that can be cut: passes bytes on until it is told to stop.

use std::net::SocketAddr;

use actix_web::rt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A relay to one address.
#[derive(Debug)]
pub struct Relay {
    /// Address to connect to in place of the target.
    pub address: SocketAddr,
    whole: watch::Sender<bool>,
}

impl Relay {
    /// Starts to pass on what comes for `target`.
    ///
    /// # Panics
    ///
    /// When no port is to be had.
    pub fn start(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        listener.set_nonblocking(true).expect("a port without blocking");
        let address = listener.local_addr().expect("an address");
        let (whole, watch) = watch::channel(true);
        // A thread of its own goes on while a test waits for a command to end.
        std::thread::spawn(move || {
            let system = rt::System::new();
            system.block_on(accept(listener, target, watch));
        });
        Self { address, whole }
    }

    /// Cuts all connections and takes no new ones.
    pub fn cut(&self) {
        self.whole.send_replace(false);
    }

    /// Takes connections again.
    pub fn restore(&self) {
        self.whole.send_replace(true);
    }
}

async fn accept(listener: std::net::TcpListener, target: SocketAddr, watch: watch::Receiver<bool>) {
    let listener = TcpListener::from_std(listener).expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        let mut watch = watch.clone();
        if *watch.borrow() {
            rt::spawn(async move {
                tokio::select! {
                    () = pass(stream, target) => {}
                    _ = watch.wait_for(|whole| !whole) => {}
                }
            });
        }
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr) {
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    // Either end may close at any time; that ends the connection and is no fault of the relay.
    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
}
