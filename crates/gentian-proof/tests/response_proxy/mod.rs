//! TCP proxy before an upstream that responses single requests itself, byte by byte.

use std::io::{Read, Write, copy};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

/// Time from the end of a response until its connection is reset.
const RESET_PAUSE: Duration = Duration::from_millis(50);
/// Size of the receive buffers, so that connections don't take long requests unread.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// A response of the proxy. `{id}` in its text stands for the id of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ScriptedResponse {
    /// Bytes of the response.
    pub(crate) text: &'static str,
    /// Whether the rest of the request is left unread, and the connection reset a while after its end.
    pub(crate) is_early: bool,
}

/// Proxy that counts the requests whose path begins with a prefix, and answers them while it has a
/// script.
pub(crate) struct ResponseProxy {
    pub(crate) address: SocketAddr,
    script: Arc<Mutex<Option<ScriptedResponse>>>,
    calls: Arc<Mutex<usize>>,
}

impl ResponseProxy {
    pub(crate) fn start(server: SocketAddr, prefix: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        let address = listener.local_addr().unwrap();
        let (script, calls): (Arc<Mutex<Option<ScriptedResponse>>>, Arc<Mutex<usize>>) =
            (Arc::default(), Arc::default());
        let (shared_script, shared_calls) = (Arc::clone(&script), Arc::clone(&calls));
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (script, calls) = (Arc::clone(&shared_script), Arc::clone(&shared_calls));
                std::thread::spawn(move || serve(client, server, prefix, &script, &calls));
            }
        });
        Self { address, script, calls }
    }

    /// Has requests be answered by this script, or by the server without one. Returns how many came since
    /// the last time.
    pub(crate) fn set_script(&self, script: Option<ScriptedResponse>) -> usize {
        *self.script.lock().unwrap() = script;
        std::mem::take(&mut *self.calls.lock().unwrap())
    }
}

fn serve(
    mut client: TcpStream,
    server: SocketAddr,
    prefix: &str,
    script: &Mutex<Option<ScriptedResponse>>,
    calls: &Mutex<usize>,
) {
    let Some((head, start)) = read_head(&mut client) else { return };
    if head.split(' ').nth(1).is_some_and(|path| path.starts_with(prefix)) {
        *calls.lock().unwrap() += 1;
        let script = *script.lock().unwrap();
        if let Some(response) = script {
            return response_request(client, &head, start.len(), response);
        }
    }
    let Ok(mut upstream) = TcpStream::connect(server) else { return };
    let sent = upstream.write_all(head.as_bytes()).and_then(|()| upstream.write_all(&start));
    let (Ok(()), Ok(mut from), Ok(mut to)) = (sent, client.try_clone(), upstream.try_clone())
    else {
        return;
    };
    std::thread::spawn(move || {
        let _ = copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Write);
    });
    let _ = copy(&mut upstream, &mut client);
    let _ = client.shutdown(Shutdown::Both);
}

/// Reads the head of a request; returns it with the bytes of the body that came with it.
fn read_head(client: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4_096]);
    loop {
        if let Some(end) = bytes.windows(4).position(|quad| quad == b"\r\n\r\n") {
            let body = bytes.split_off(end + 4);
            return Some((String::from_utf8_lossy(&bytes).into_owned(), body));
        }
        match client.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

fn response_request(mut client: TcpStream, head: &str, read: usize, response: ScriptedResponse) {
    let field = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    };
    let length: usize = field("content-length").map_or(0, |length| length.parse().unwrap());
    let (mut missing, mut buffer) = (length.saturating_sub(read), vec![0; 64 << 10]);
    while missing > 0 && !response.is_early {
        match client.read(&mut buffer) {
            Ok(count) if count > 0 => missing -= count.min(missing),
            _ => return,
        }
    }
    let text = response.text.replace("{id}", field("x-request-id").unwrap_or("-"));
    if client.write_all(text.as_bytes()).is_err() || client.shutdown(Shutdown::Write).is_err() {
        return;
    }
    if response.is_early {
        std::thread::sleep(RESET_PAUSE);
        SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
    }
}
