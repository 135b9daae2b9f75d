"""Stand-ins of the users' platform for the scripts of the review: store, settings, entries, clients.

Only the standard library is used. All sockets are on loopback addresses; the ports are free ones.
"""
import base64
import bisect
import http.server
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
KEY = "key-of-the-club"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Longest time of a case in seconds, without the end of its processes.
LONGEST_S = 100


class CannotRun(Exception):
    """The case could not be played."""


def free_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def wait_until(check, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise CannotRun(f"not within {seconds} s: {what}")


class Record:
    """Lines with the seconds since the start; written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start, self.lock = time.monotonic(), threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
            self.file.flush()


class Store:
    """The platform's store: items with revisions, watches, transactions and leases."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 100, 1
        self.changed = threading.Condition()
        self.is_closed = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                try:
                    self.reply(*store.call(self.command, parts.path, query, body))
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = handle_call

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def close(self):
        self.is_closed = True
        self.server.shutdown()

    def expire(self):
        while not self.is_closed:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [it for it, (_, end) in self.leases.items() if end <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.changed.notify_all()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, {"key": key, "revision": self.revision, "removed": True}))

    def put(self, key, value, lease=0):
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, item))

    def write(self, key, value):
        """A write of the operator or of a replica."""
        with self.changed:
            self.revision += 1
            self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self.remove(key)
            self.changed.notify_all()

    def call(self, method, path, query, body):
        if path == "/-/kv-watch":
            return self.watch(query)
        with self.changed:
            if path == "/-/kv-key":
                item = self.items.get(query.get("key"))
                return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
            if path == "/-/kv-range":
                prefix, after = query.get("path_prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items = [self.items[k] for k in keys[:500]]
                return 200, {"items": items, "truncated": len(keys) > 500, "at": self.revision}
            if path == "/-/kv-txn":
                return self.transact(json.loads(body))
            if path == "/-/kv-lease":
                ttl = max(1000, min(600000, json.loads(body)["ttl_ms"]))
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": lease, "ttl_ms": ttl}
            number = path.rsplit("/", 1)[-1]
            lease = int(number) if number.isdigit() else -1
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/-/kv-keep/"):
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": lease, "ttl_ms": ttl}
            self.end_lease(lease)
            return 200, {}

    def transact(self, change):
        for row in change.get("expected", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                keys = [it["key"] for it in change["expected"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        writes, removals = change.get("writes", []), change.get("remove", [])
        keys = [it["key"] for it in writes] + list(removals)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in writes):
            return 404, {}
        self.revision += 1
        for it in writes:
            self.put(it["key"], it["value"], it.get("lease", 0))
        for key in removals:
            self.remove(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}

    def watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query.get("after", 0))
        end = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        with self.changed:
            while True:
                start = bisect.bisect_right([revision for revision, _ in self.history], after)
                events = [it for _, it in self.history[start:] if it["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0 or self.is_closed:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(left)


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
            "timeout_ms": 15000, "target_latency_ms": 500, "priority": 1, "attempts": 2, **more}


def config(routes, services, **limits):
    limits = {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000, **limits}
    # Without a rate, the tenant has no limit.
    tenant = {"name": "club", "api_keys": [KEY], "unit": "token_count", "plain_tokens": 200}
    return {"version": 7, "routes": routes, "services": services, "limits": limits, "tenants": [tenant]}


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, number, store, folder, zone="palermo"):
        self.name = f"front-{zone}-{number}"
        # Each machine has its own loopback address, since the port of the metrics is fixed.
        self.ip = "127.%d.%d.%d" % (random.randint(20, 250), random.randint(1, 250), 10 + number)
        self.front, ready, control = (free_port(self.ip) for _ in range(3))
        peer = free_port(self.ip, socket.SOCK_DGRAM)
        self.ready = ready
        self.log_path = os.path.join(folder, self.name + ".log")
        path = os.path.join(folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(SETTINGS.format(name=self.name, ip=self.ip, zone=zone, front=self.front, ready=ready,
                                       control=control, peer=peer, peer_end=peer, store=store.address))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.command = next(iter(roles.values()))["run"].split(" ")
        self.environment = {"PATH": os.environ.get("PATH", ""), "GENTIANWHEEL_NODE_FILE": path}
        self.process = None

    def start(self):
        program = os.path.join(ROOT, self.command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{self.command[0]} is not built")
        log = open(self.log_path, "a")
        self.process = subprocess.Popen([program] + self.command[1:], cwd=ROOT, env=self.environment,
                                        stdout=log, stderr=subprocess.STDOUT)
        log.close()

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), 1) as s:
                s.settimeout(1)
                s.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=20):
        wait_until(self.is_ready, seconds, f"{self.name} is ready")

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """Memory of the process that belongs to it alone, as the kernel counts it."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                fields = dict(line.split(":", 1) for line in file if ":" in line)
            return int(fields["RssAnon"].split()[0]) / 1024
        except (OSError, KeyError):
            return 0.0

    def keep_within(self, limit_mb, record):
        """Does what the platform does: a process that exceeds its memory is killed, and started again."""
        self.kills, self.peak_mb = 0, 0.0

        def watch():
            while not self.is_watch_over:
                used = self.memory_mb()
                self.peak_mb = max(self.peak_mb, used)
                if used > limit_mb:
                    self.process.kill()
                    self.process.wait()
                    self.kills += 1
                    record.add(f"{self.name} uses {used:.0f} of {limit_mb} MB: the platform kills it")
                    time.sleep(1)
                    if not self.is_watch_over:
                        self.start()
                time.sleep(0.002)

        self.is_watch_over = False
        self.watch = threading.Thread(target=watch, daemon=True)
        self.watch.start()

    def stop(self):
        if hasattr(self, "watch"):
            self.is_watch_over = True
            self.watch.join()
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Replica:
    """A process of replica.py with its registration in the store."""

    HEARTBEAT_S = 1.2

    def __init__(self, identity, service, version, store, folder, zone="palermo", slots=64, **options):
        self.identity, self.service, self.version, self.zone = identity, service, version, zone
        self.store, self.slots, self.options = store, slots, options
        self.address = f"127.0.0.1:{free_port()}"
        self.journal = os.path.join(folder, f"{identity}.journal")
        self.process = None

    def start(self):
        arguments = [f"{name}={value}" for name, value in self.options.items()] + [f"slots={self.slots}"]
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "replica.py")
        command = [sys.executable, script, self.address, self.identity, self.version, self.journal]
        self.process = subprocess.Popen(command + arguments)
        ip, port = self.address.split(":")

        def is_listening():
            try:
                socket.create_connection((ip, int(port)), 1).close()
                return True
            except OSError:
                return False

        wait_until(is_listening, 10, f"{self.identity} listens")
        self.register("ready")

    def register(self, state):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                 "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": 0,
                 "born": int(time.time() * 1000)}
        if "models" in self.options:
            names = self.options["models"].split(",")
            entry["stage"] = "combined"
            entry["models"] = [{"name": name, "version": 1, "adapters": []} for name in names]
        self.store.write(f"servers/{self.identity}", entry)

    def crash(self):
        """Ends the process; its entry is removed after three heartbeats of silence."""
        self.process.kill()
        self.process.wait()
        timer = threading.Timer(3 * self.HEARTBEAT_S, self.store.delete, [f"servers/{self.identity}"])
        timer.daemon = True
        timer.start()

    def runs(self):
        """Returns the requests that it began to run, in order."""
        try:
            with open(self.journal) as file:
                return [line.split()[3] for line in file if line.split()[2] == "runs"]
        except OSError:
            return []

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


SETTINGS = """node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "sicilia"
internal_ports = [{peer}, {peer_end}]
bootstrap = true
heartbeat_ms = 1200
[zones]
palermo = "sicilia"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
configuration_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_extra_attempts = 58
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 110000
cold_overshoot = 1.5
cold_slack = 5
evacuation_ms = 5000
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_overshoot = 1.1
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_minimum_ms = 1000
"""


class Reader:
    """Reads heads and bodies from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def more(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            if not self.more():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return first, fields

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self.more():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.more():
                return None
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line


def request_bytes(method, path, request, deadline_ms, body=None, **headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Gentianwheel-Request-Id: {request}",
             f"X-Gentianwheel-Deadline-Ms: {deadline_ms}", f"Authorization: Token {KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def new_request_id():
    return "%016x" % random.getrandbits(64)


def read_chunks(reader, handle):
    """Reads a chunked body; returns whether it is complete."""
    while True:
        size = reader.line()
        if size is None:
            return False
        size = int(size.split(b";")[0], 16)
        if size == 0:
            return reader.line() is not None
        data = reader.exactly(size + 2)
        if data is None:
            return False
        handle(data[:-2])


def parse_events(text):
    """Splits the text of a stream into (id, data) pairs."""
    events = []
    for block in text.decode("latin-1").split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
        if "id" in fields:
            events.append((int(fields["id"]), fields.get("data", "")))
    return events


def play(folder, case):
    """Runs `case(record, store, scratch, started)`; ends all that it started and exits."""
    started, store, record, code = [], None, None, NOT_RUN

    def give_up(*_):
        raise CannotRun("the case was ended, or took too long")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LONGEST_S)
    try:
        with tempfile.TemporaryDirectory(prefix="gentianwheel-review-") as scratch:
            try:
                record = Record(folder)
                store = Store()
                record.add(f"trouble={'yes' if TROUBLE else 'no'}")
                code = case(record, store, scratch, started)
            finally:
                signal.alarm(0)
                for process in started:
                    process.stop()
                if store:
                    store.close()
    except BaseException as error:  # A fault of the case itself never counts as a broken rule.
        code = NOT_RUN
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        if record:
            record.add(f"could not run: {type(error).__name__}: {error}")
    if record:
        record.add(f"result={['held', 'broken', 'could not run'][code]}")
    sys.stdout.flush()
    os._exit(code)
