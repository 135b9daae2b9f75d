"""A replica of the users' platform, as a process of its own: runs requests, and reports as an engine.

usage: replica.py IP:PORT ID VERSION JOURNAL [option=value ...]

Options: events, event_ms (streams), work_ms, slots, queue (requests that wait for a slot; more get 503 with
X-Gentianwheel-Not-Executed), models (names, by commas), framing (`chunked`, or `none`: the answer ends with its
connection). With weights_mb and adapter_slots it carries out orders; sizes (name:MB:adapter MB, by commas) lists the
models that it may be ordered to load.
"""
import json
import os
import socket
import sys
import threading
import time

from fleet import Reader

address, identity, version, journal_path = sys.argv[1:5]
options = dict(text.split("=", 1) for text in sys.argv[5:])
events, event_ms = int(options.get("events", 10)), float(options.get("event_ms", 50))
work_ms, slots = float(options.get("work_ms", 60)), int(options.get("slots", 64))
queue = int(options.get("queue", 24))
models = [name for name in options.get("models", "").split(",") if name]
loaded = {name: set() for name in models}
weights_mb, adapter_slots = float(options.get("weights_mb", 0)), int(options.get("adapter_slots", 0))
sizes = {name: (float(mb), float(adapter_mb)) for name, mb, adapter_mb in
         (text.split(":") for text in options.get("sizes", "").split(",") if text)}
sequence, fence, busy_until = 0, 0, 0.0
framing = options.get("framing", "chunked")
born = int(time.time() * 1000)
journal, lock = open(journal_path, "a"), threading.Lock()
free_slots = threading.Semaphore(slots)
running = 0


def note(text):
    with lock:
        journal.write(f"{time.monotonic():.3f} {identity} {text}\n")
        journal.flush()


def answer(sock, status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def own_headers(request):
    return {"X-Gentianwheel-Request-Id": request, "X-Gentianwheel-Server-Stamp": f"{identity}.{request}"}


def stream(sock, request, after):
    names = {**own_headers(request), "Content-Type": "text/event-stream"}
    names.update({"Transfer-Encoding": "chunked"} if framing == "chunked" else {"Connection": "close"})
    head = "".join(f"{name}: {value}\r\n" for name, value in names.items())
    sock.sendall(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
    for event in range(after + 1, events + 1):
        text = f"id: {event}\ndata: {version} {identity} {event} of {events}\n\n".encode()
        sock.sendall(b"%x\r\n%s\r\n" % (len(text), text) if framing == "chunked" else text)
        time.sleep(event_ms / 1000)
    if framing == "chunked":
        sock.sendall(b"0\r\n\r\n")
    return framing == "chunked"


def holds(target):
    name, _, adapter = target.partition("/")
    with lock:
        return name in loaded and (not adapter or adapter in loaded[name])


def used_mb():
    return sum(sizes[name][0] + sizes[name][1] * len(held) for name, held in loaded.items())


def carry_out(order):
    """Carries an order out and returns the status. One beyond the memory or the slots crashes the replica."""
    global sequence, fence, busy_until
    name, adapter, is_load = order["model"], order.get("adapter"), order["operation"] == "load"
    with lock:
        if not order.get("holder") or order.get("fencing_token") is None:
            return 400
        if order["fencing_token"] < fence:
            return 412
        fence = order["fencing_token"]
        if time.monotonic() < busy_until or order.get("expected", sequence) != sequence:
            return 409
        if adapter:
            if name not in loaded:
                return 400
            if is_load == (adapter in loaded[name]):
                return 200
            (loaded[name].add if is_load else loaded[name].discard)(adapter)
        elif is_load == (name in loaded):
            return 200
        elif is_load:
            loaded[name] = set()
            busy_until = time.monotonic() + 1
        else:
            del loaded[name]
        sequence += 1
        adapters = sum(len(held) for held in loaded.values())
        used, text = used_mb(), f"{order['operation']} {name}{'/' + adapter if adapter else ''}"
    note(f"order {text}: holds {used:.0f} of {weights_mb:.0f} MB, {adapters} of {adapter_slots} adapters")
    if used > weights_mb or adapters > adapter_slots:
        note(f"crashes of the order {text}")
        os._exit(1)
    return 200 if adapter and not is_load else 202


def serve_one(sock, reader):
    global running
    parsed = reader.head()
    if parsed is None:
        return False
    first, headers = parsed
    method, path, _ = first.split(" ", 2)
    length = int(headers.get("content-length", 0))
    body = reader.exactly(length)
    if body is None:
        return False
    if path == "/-/report":
        with lock:
            names = [{"name": name, "version": 1, "adapters": sorted(held)} for name, held in loaded.items()]
            report = {"stage": "combined", "busy": time.monotonic() < busy_until, "sequence": sequence,
                      "waiting_count": 0, "handles": 0, "models": names, "running_count": running,
                      "kv_cache_used": 0, "kv_cache_total": 250000, "born": born}
        answer(sock, 200, json.dumps(report).encode(), Content_Type="application/json")
        return True
    if path == "/-/order":
        answer(sock, carry_out(json.loads(body)), b"{}", Content_Type="application/json")
        return True
    request = headers.get("x-gentianwheel-request-id", "-")
    if headers.get("x-gentianwheel-expect-instance", identity) != identity:
        answer(sock, 421, X_Gentianwheel_Instance_Id=identity, X_Gentianwheel_Request_Id=request)
        return True
    target = headers.get("x-gentianwheel-model")
    if models and target and not holds(target):
        answer(sock, 421, X_Gentianwheel_Instance_Id=identity, X_Gentianwheel_Request_Id=request)
        return True
    with lock:
        is_full = running >= slots + queue
        running += 0 if is_full else 1
    if is_full:
        answer(sock, 503, X_Gentianwheel_Not_Executed="1", X_Gentianwheel_Request_Id=request)
        return True
    free_slots.acquire()
    try:
        after = int(headers.get("last-event-id", 0))
        note(f"runs {request} bytes={length} after={after}")
        if path.startswith("/advice/"):
            keeps = stream(sock, request, after)
        else:
            time.sleep(work_ms / 1000)
            answer(sock, 200, b"x" * 800, **own_headers(request))
            keeps = True
        note(f"ended {request}")
        return keeps
    finally:
        free_slots.release()
        with lock:
            running -= 1


def serve(sock):
    reader = Reader(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while serve_one(sock, reader):
            pass
    except OSError:
        pass
    finally:
        sock.close()


ip, port = address.split(":")
listener = socket.create_server((ip, int(port)), backlog=256)
note("starts")
while True:
    connection, _ = listener.accept()
    threading.Thread(target=serve, args=(connection,), daemon=True).start()
