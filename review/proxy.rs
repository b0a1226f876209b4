//! A TCP proxy that can be cut: while it is, nothing passes in either direction, and new connections
//! are taken and not passed on. Nothing is reset, as behind a partition.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr, cut: &Arc<AtomicBool>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = Self {
            address,
            cut: cut.clone(),
        };
        let serving = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = serving.clone();
                thread::spawn(move || proxy.pass(stream, target));
            }
        });
        proxy
    }

    fn pass(&self, from: TcpStream, target: SocketAddr) {
        self.wait();
        let Ok(to) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(from_back), Ok(to_back)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let back = self.clone();
        thread::spawn(move || back.copy(to_back, from_back));
        self.copy(from, to);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(read) = from.read(&mut buffer) {
            self.wait();
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    }

    fn wait(&self) {
        while self.cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}
