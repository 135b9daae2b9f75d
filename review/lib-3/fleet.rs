//! Callers, the configuration and the settings of a small fleet with model replicas.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::base::{Record, Subnet, lock, read_head};

pub const ADAPTERS: u64 = 32;
const HOST: &str = "ice.example";

/// Bounds of the site `vitale-piste`.
pub const VITALE_BOUNDS: &str = "contact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
     configuration_ms = 2000\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra_attempts = 58\n\
     quota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 110000\ncold_overshoot = 1.5\n\
     cold_slack = 5\nevacuation_ms = 5000\nlease_ms = 3000\nthaw_ms = 300\nceiling_window_s = 5\n\
     ceiling_overshoot = 1.1\nrequire_fencing = true\n";

/// Bounds of the site `ezo-tiles-grown`.
pub const EZO_BOUNDS: &str = "contact_ms = 4000\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\n\
     configuration_ms = 3000\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra_attempts = 184\n\
     quota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 110000\nlease_ms = 3000\nthaw_ms = 300\n\
     ceiling_window_s = 5\nceiling_overshoot = 1.1\nrequire_fencing = false\n";

pub struct Caller {
    pub subnet: Subnet,
    pub record: Record,
    pub next_id: AtomicU64,
    pub must_end: AtomicBool,
    pub answers: Mutex<BTreeMap<String, u32>>,
}

impl Caller {
    /// Sends a request for a stream and reads the answer to its end; returns its status and whether it is
    /// whole.
    pub fn ask(&self, front: SocketAddr, model: &str, events: u32, pause: u32, deadline: u64) -> (String, bool) {
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed) + 0x5eed_0000);
        let connected = TcpStream::connect_timeout(&front, Duration::from_secs(1));
        let Ok(mut stream) = connected else { return ("no connection".to_owned(), false) };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline + 500)));
        let request = format!(
            "POST /chat/{events}/{pause} HTTP/1.1\r\nHost: {HOST}\r\nX-Gentianwheel-Request-Id: {id}\r\n\
             X-Gentianwheel-Model: {model}\r\nX-Gentianwheel-Token-Count: 100,100\r\n\
             X-Gentianwheel-Prompt-Prefix: aa:50,{id}:50\r\nX-Gentianwheel-Deadline-Ms: {deadline}\r\n\
             Authorization: Token key-of-the-club\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return ("not sent".to_owned(), false);
        }
        let mut reader = BufReader::new(stream);
        let Some((first, headers)) = read_head(&mut reader) else {
            return ("no answer".to_owned(), false);
        };
        let status = first.split(' ').nth(1).unwrap_or("").to_owned();
        let is_chunked = headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
        let mut is_whole = !is_chunked;
        while is_chunked {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { break };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                break;
            }
            if length == 0 {
                is_whole = true;
                break;
            }
        }
        let outcome = if is_whole { status.clone() } else { format!("{status}, cut") };
        self.record.note(&format!("request {id} for {model} to {front}: {outcome}"));
        *lock(&self.answers).entry(outcome).or_default() += 1;
        (status, is_whole)
    }
}

pub fn configuration() -> String {
    let route = format!(
        "{{\"name\":\"chat\",\"host\":\"{HOST}\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\
         \"timeout_ms\":15000,\"target_latency_ms\":500,\"gap_target_ms\":400,\"priority\":0,\
         \"service\":\"ghiaccio-mind\",\"attempts\":2,\"resumable\":true}}"
    );
    let model = |name: &str, adapters: u64| {
        format!(
            "{{\"name\":\"{name}\",\"weights_mb\":70000,\"load_s\":6.0,\"disk_load_s\":1.2,\"warm_s\":0.6,\
             \"adapters\":{adapters},\"adapter_mb\":12.0}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{route}],\"services\":[{{\"name\":\"ghiaccio-mind\",\
         \"connection_limit\":370,\"engine\":{{\"slots\":64,\"kv_cache_tokens\":250000,\"models\":[{}],\
         \"weights_mb\":230000,\"adapter_slots\":8,\"loads_per_s\":1.6}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":10000}},\"tenants\":[{{\"name\":\"club\",\"api_keys\":[\"key-of-the-club\"],\
         \"unit\":\"token_count\",\"plain_tokens\":200,\"rate_per_s\":1000000,\"burst\":1000000}}]}}",
        [model("m0", ADAPTERS), model("m1", 0)].join(",")
    )
}

/// Returns the settings file of a front machine.
pub fn settings(subnet: Subnet, number: u8, is_first_start: bool, bounds: &str) -> String {
    let front = subnet.front(number);
    format!(
        "node_name = \"front-{number}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
         ip = \"{}\"\nzone = \"palermo\"\nregion = \"sicilia\"\ninternal_ports = [7102, 7110]\nseeds = []\n\
         bootstrap = {is_first_start}\nheartbeat_ms = 1200\n[listen]\nfront = \"{front}\"\nready = \"{}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
         [bounds]\n{bounds}\
         [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
         history_s = 20\nvalue_bytes = 1048576\nttl_minimum_ms = 1000\n",
        front.ip(),
        subnet.ready(number),
        subnet.store()
    )
}

