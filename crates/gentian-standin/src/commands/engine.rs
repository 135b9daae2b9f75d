//! Subcommand that runs a model engine.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use gentian_core::{BootId, ByteSize, TimeSpan};
use gentian_http::{HttpClient, HttpRequest, HttpResponse};
use gentian_wire::REQUEST_ID;
use gentian_wire::generated::completion::{
    CompletionAnswer, CompletionChoice, CompletionRequest, CompletionUsage,
};
use gentian_wire::generated::engine::{EngineStatus, ObjectOrder};
use serde_json::json;

use crate::engine::{EngineMemory, EngineSlots, OrderRefusal};
use crate::shared::{FaultName, StandinServer, read_json, respond_json};

const STORE_TIMEOUT: TimeSpan = TimeSpan::from_secs(120);
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Estimated bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// A model engine with an OpenAI-compatible API.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineCommand {
    /// address of the HTTP port
    #[argh(option)]
    address: SocketAddr,
    /// address of the weight store
    #[argh(option)]
    store: SocketAddr,
    /// memory for models and adapters (default 80GiB)
    #[argh(option, default = "ByteSize::from_mib(80 * 1024)")]
    memory: ByteSize,
    /// concurrent calls once warm (default 8)
    #[argh(option, default = "8")]
    slots: u64,
    /// concurrent calls right after the start (default 2)
    #[argh(option, default = "2")]
    fresh_slots: u64,
    /// time until the engine is warm (default 20s)
    #[argh(option, default = "TimeSpan::from_secs(20)")]
    warm_up: TimeSpan,
    /// time to the first token (default 30ms)
    #[argh(option, default = "TimeSpan::from_millis(30)")]
    first_token: TimeSpan,
    /// time between two tokens (default 20ms)
    #[argh(option, default = "TimeSpan::from_millis(20)")]
    token_interval: TimeSpan,
    /// maximum age of the load figures in the status (default 200ms)
    #[argh(option, default = "TimeSpan::from_millis(200)")]
    report_lag: TimeSpan,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    honour_fences: bool,
}

/// State of a running engine.
struct RunningEngine {
    boot: BootId,
    command: EngineCommand,
    memory: EngineMemory,
    slots: EngineSlots,
    report: Mutex<Option<(Instant, EngineStatus)>>,
}

/// Runs a model engine until the process receives a stop signal.
pub(crate) fn run_engine(command: EngineCommand) -> eyre::Result<()> {
    let address = command.address;
    let engine = Arc::new(RunningEngine {
        boot: BootId::new(rand::random()),
        memory: EngineMemory::new(command.memory.get(), command.honour_fences),
        slots: EngineSlots::new(command.fresh_slots, command.slots, command.warm_up.into()),
        report: Mutex::new(None),
        command,
    });
    StandinServer::serve(address, move |server, request| match request.path() {
        "/status" => respond_json(request, 200, &engine.status()),
        "/v1/completions" | "/v1/chat/completions" => engine.complete(server, request),
        "/v1/load_model" | "/v1/load_lora_adapter" => engine.load(server, request),
        "/v1/unload_model" | "/v1/unload_lora_adapter" => engine.unload(server, request),
        _ => refuse(request, 404, "unknown path"),
    })
}

impl RunningEngine {
    /// Returns the status. Its numbers of running and waiting calls may be as old as the report
    /// lag.
    fn status(&self) -> EngineStatus {
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        let lag = Duration::from(self.command.report_lag);
        let (memory_total, memory_used, objects) = self.memory.snapshot();
        if let Some((made, old)) = &*report
            && made.elapsed() < lag
        {
            let (running, waiting, boot_id) = (old.running, old.waiting, old.boot_id.clone());
            return EngineStatus { boot_id, memory_total, memory_used, running, waiting, objects };
        }
        let running = self.slots.running();
        let boot_id = self.boot.to_string();
        let status =
            EngineStatus { boot_id, memory_total, memory_used, running, waiting: 0, objects };
        *report = Some((Instant::now(), status.clone()));
        status
    }

    fn load(&self, server: &StandinServer, mut request: HttpRequest) {
        let Some(order) = read_json::<ObjectOrder>(&mut request) else {
            return refuse(request, 400, "malformed order");
        };
        match self.memory.begin_load(&order) {
            Err(OrderRefusal::OldFence) => return refuse(request, 409, "old fencing number"),
            Err(OrderRefusal::NoBase) => return refuse(request, 404, "base model not loaded"),
            Ok(false) => return respond_json(request, 200, &json!({ "state": "present" })),
            Ok(true) => {}
        }
        server.journal.record("load", &order.order_id, &order.name, order.memory);
        let (total, used, _) = self.memory.snapshot();
        if used > total {
            server.journal.record("overcommitted", &order.order_id, &order.name, used);
        }
        let is_loaded = self.fetch(&order) && !server.faults.consume(FaultName::FailedLoad);
        self.memory.finish_load(&order.name, is_loaded);
        if server.faults.consume(FaultName::LostResponse) {
            drop(request.into_writer());
        } else if is_loaded {
            respond_json(request, 200, &json!({ "state": "loaded" }));
        } else {
            refuse(request, 500, "load failed");
        }
    }

    fn fetch(&self, order: &ObjectOrder) -> bool {
        let kind = if order.base.is_some() { "adapter" } else { "model" };
        let path = format!("/weights/{}?kind={kind}", order.name);
        let client = HttpClient::new(self.command.store, STORE_TIMEOUT);
        let response = client.call_and_read("GET", &path, &[], 1 << 16);
        response.is_ok_and(|(status, _)| status == 200)
    }

    fn unload(&self, server: &StandinServer, mut request: HttpRequest) {
        let Some(order) = read_json::<ObjectOrder>(&mut request) else {
            return refuse(request, 400, "malformed order");
        };
        match self.memory.unload(&order) {
            Ok(()) => {
                server.journal.record("unload", &order.order_id, &order.name, order.memory);
                respond_json(request, 200, &json!({ "state": "unloaded" }));
            }
            Err(_) => refuse(request, 409, "old fencing number"),
        }
    }

    fn complete(&self, server: &StandinServer, mut request: HttpRequest) {
        let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
        if request.header("Authorization").is_some() {
            server.journal.record("saw-key", &id, "", 0);
        }
        let Some(body) = read_json::<CompletionRequest>(&mut request) else {
            return refuse(request, 400, "malformed request");
        };
        if !self.memory.has_loaded(&body.model) {
            return refuse(request, 404, "model not loaded");
        }
        let (count, capacity) = self.slots.start();
        server.journal.record("run", &id, &body.model, count);
        if count > capacity {
            server.journal.record("overloaded", &id, &body.model, count);
        }
        if body.stream.unwrap_or(false) {
            self.stream_tokens(server, request, &body, &id);
        } else {
            self.send_full_response(server, request, &body, &id);
        }
    }

    fn stream_tokens(
        &self,
        server: &StandinServer,
        request: HttpRequest,
        body: &CompletionRequest,
        id: &str,
    ) {
        let has_wrong_id = server.faults.consume(FaultName::WrongRequestId);
        let response_id = if has_wrong_id { "ffffffffffffffff" } else { id };
        std::thread::sleep(self.command.first_token.into());
        let Ok(mut stream) = request.stream("text/event-stream", &[(REQUEST_ID, response_id)])
        else {
            return self.slots.end();
        };
        let tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let truncate_at = server.faults.consume(FaultName::TruncatedResponse).then_some(tokens / 2);
        for i in 0..tokens {
            if truncate_at == Some(i) {
                server.journal.record("cut", id, &body.model, u64::from(i));
                return self.slots.end();
            }
            if i > 0 {
                std::thread::sleep(self.command.token_interval.into());
            }
            let is_last = i + 1 == tokens;
            let usage = is_last.then(|| make_usage(body, tokens));
            let answer = make_answer(body, id, format!("t{i} "), usage);
            if is_last {
                // Frees the slot before the last token is sent, since the caller may send its next
                // request as soon as it has that token.
                self.slots.end();
            }
            if !send_event(&mut stream, &answer) {
                server.journal.record("cancelled", id, &body.model, u64::from(i));
                if !is_last {
                    self.slots.end();
                }
                return;
            }
        }
        if tokens == 0 {
            self.slots.end();
        }
        if stream.send(b"data: [DONE]\n\n").is_err() {
            server.journal.record("cancelled", id, &body.model, u64::from(tokens));
        }
    }

    fn send_full_response(
        &self,
        server: &StandinServer,
        request: HttpRequest,
        body: &CompletionRequest,
        id: &str,
    ) {
        let tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let span = self.command.first_token + self.command.token_interval * u64::from(tokens);
        std::thread::sleep(span.into());
        self.slots.end();
        if server.faults.consume(FaultName::LostResponse) {
            drop(request.into_writer());
            return;
        }
        let text = (0..tokens).map(|i| format!("t{i} ")).collect();
        let answer = make_answer(body, id, text, Some(make_usage(body, tokens)));
        let bytes = serde_json::to_vec(&answer).unwrap_or_default();
        let response = HttpResponse::new(200).with_json(bytes).with_header(REQUEST_ID, id);
        if let Err(error) = request.respond(response) {
            log::debug!("response not delivered: {error}");
        }
    }
}

fn send_event(stream: &mut gentian_http::EventStream, answer: &CompletionAnswer) -> bool {
    let text = serde_json::to_string(answer).unwrap_or_default();
    stream.send(format!("data: {text}\n\n").as_bytes()).is_ok()
}

fn make_answer(
    body: &CompletionRequest,
    id: &str,
    text: String,
    usage: Option<CompletionUsage>,
) -> CompletionAnswer {
    let finish_reason = usage.as_ref().map(|_| "stop".to_owned());
    CompletionAnswer {
        id: id.to_owned(),
        object: "text_completion".to_owned(),
        model: body.model.clone(),
        choices: vec![CompletionChoice { index: 0, text, finish_reason }],
        usage,
    }
}

fn make_usage(body: &CompletionRequest, tokens: u32) -> CompletionUsage {
    let prompt = body.prompt.as_deref().map_or(0, str::len);
    let messages: usize = body.messages.iter().map(|message| message.content.len()).sum();
    let prompt_tokens = (prompt + messages).div_ceil(BYTES_PER_TOKEN) as u64;
    let completion_tokens = u64::from(tokens);
    let total_tokens = prompt_tokens + completion_tokens;
    CompletionUsage { prompt_tokens, completion_tokens, total_tokens }
}

fn refuse(request: HttpRequest, status: u16, message: &str) {
    respond_json(request, status, &json!({ "error": { "message": message } }));
}
