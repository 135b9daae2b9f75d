"""A replica of the users' platform, as a process of its own: runs requests, and reports as an engine.

usage: replica.py IP:PORT ID VERSION JOURNAL [option=value ...]

Options: events, event_ms (streams), work_ms, slots, queue (requests that wait for a slot; more get 503 with
X-Gentianwheel-Not-Executed), models (names, by commas), framing
(`chunked`, or `none`: the answer ends with its connection).
"""
import json
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


def serve_one(sock, reader):
    global running
    parsed = reader.head()
    if parsed is None:
        return False
    first, headers = parsed
    method, path, _ = first.split(" ", 2)
    length = int(headers.get("content-length", 0))
    if reader.exactly(length) is None:
        return False
    if path == "/-/report":
        report = {"stage": "combined", "busy": False, "sequence": 0, "waiting_count": 0, "handles": 0,
                  "models": [{"name": name, "version": 1, "adapters": []} for name in models],
                  "running_count": running, "kv_cache_used": 0, "kv_cache_total": 250000, "born": born}
        answer(sock, 200, json.dumps(report).encode(), Content_Type="application/json")
        return True
    if path == "/-/order":
        note(f"order {json.dumps(headers)}")
        answer(sock, 409, b"{}", Content_Type="application/json")
        return True
    request = headers.get("x-gentianwheel-request-id", "-")
    if headers.get("x-gentianwheel-expect-instance", identity) != identity:
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
