"""Streams of a replica that crashes, beside replicas of another software version; see claim.txt."""
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from fleet import *  # noqa: E402,F403

STREAMS = 40


def ask(entry, request, record, results):
    head = request_bytes("POST", "/advice/1", request, 15000, b"question", X_Gentianwheel_Model="m0",
                         X_Gentianwheel_Token_Count="700,50", X_Gentianwheel_Prompt_Prefix=f"{request}:700")
    chunks, status, whole = [], 0, False
    try:
        with socket.create_connection((entry.ip, entry.front), 5) as sock:
            sock.settimeout(20)
            sock.sendall(head)
            reader = Reader(sock)
            first, headers = reader.head()
            status = int(first.split()[1])
            if headers.get("transfer-encoding") == "chunked":
                whole = read_chunks(reader, chunks.append)
    except (OSError, TypeError) as error:
        record.add(f"request {request}: {error}")
    events = parse_events(b"".join(chunks))
    versions = [data.split()[0] for _, data in events]
    order = [versions[0]] if versions else []
    for version in versions:
        if version != order[-1]:
            order.append(version)
    record.add(f"request {request}: status {status}, {len(events)} events of versions {' then '.join(order) or '-'}, "
               f"{'complete' if whole else 'broken off'}")
    results.append((status, len(events), sorted(set(versions)), whole))


def case(record, store, scratch, started):
    engine = {"slots": 64, "weights_mb": 150000, "adapter_slots": 8, "loads_per_s": 1.6,
              "models": [{"name": "m0", "weights_mb": 70000, "load_s": 6, "adapters": 0, "adapter_mb": 12}]}
    store.write("op/config", config([route("advice", "streaming", "mind", resumable=True, gap_target_ms=400)],
                                    [{"name": "mind", "connection_limit": 370, "engine": engine}]))
    replicas = [Replica(f"i-{v}{n}", "mind", v, store, scratch, models="m0", events=40, event_ms=100)
                for v in ("v1", "v2") for n in (1, 2)]
    entries = [Entry(n, store, scratch) for n in (1, 2, 3)]
    for process in replicas + entries:
        started.append(process)
        process.start()
    for entry in entries:
        entry.wait_ready()
    time.sleep(3.5)
    results, threads = [], []
    for number in range(STREAMS):
        arguments = (entries[number % 3], new_request_id(), record, results)
        threads.append(threading.Thread(target=ask, args=arguments))
        threads[-1].start()
        time.sleep(0.03)
    time.sleep(0.8)
    if TROUBLE:
        record.add("replica i-v11 crashes; it is back after 2 s")
        replicas[0].crash()
        time.sleep(2)
        replicas[0].start()
    for thread in threads:
        thread.join()
    for replica in replicas:
        for request in replica.runs():
            record.add(f"replica {replica.identity} ran {request}")
    joined = [it for it in results if len(it[2]) > 1]
    whole = [it for it in results if it[3]]
    record.add(f"{len(results)} streams, {len(whole)} complete, {len(joined)} with events of two versions (at most 2 allowed)")
    if len(whole) < STREAMS // 4:
        raise CannotRun("too few streams are complete")
    return BROKEN if len(joined) > 2 else HELD


play(HERE, case)
