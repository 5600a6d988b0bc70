"""New weights are named while all processes are down, and an older naming is done late; see claim.txt."""

import asyncio
import hashlib
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from rig import MODEL_SERVICE, Server, answer, attempt_id, header, manifest, now_ms, read_body, read_head, run_case  # noqa: E402

MODEL, CHUNKS, LAYERS = "daka510000", 64, 16
CONTACT_MS, VERSION_MS = 3000, 8000
FIRST_S, AGAIN_S, KILL_S, NAMED_S, LATE_S, START_S, END_S = 2.0, 2.5, 4.0, 4.2, 4.6, 5.3, 21.0


def piece(version, index):
    return hashlib.sha256(f"{version}/{index}".encode()).digest() * 1024


async def case(rig, trouble):
    begun = []

    class Weights:
        """What lies beside a server, and the layers that it holds."""

        def __init__(self):
            self.version, self.start, self.end, self.sequence, self.staged = 1, 0, LAYERS, 0, {}
            self.staged = {i: piece(1, i) for i in range(CHUNKS)}

    def fields(weights):
        return {"stage": "both", "models": [{"name": MODEL, "version": weights.version, "adapters": []}],
                "layers": {"from": weights.start, "target_version": weights.end, "version": weights.version}}

    async def serves(server, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        index = int(query.split("sample_count=")[1].split("&")[0]) if "sample_count" in query else 0
        weights = server.weights
        if path == "/api/report":
            report = {**fields(weights), "busy": False, "sequence": weights.sequence, "queued": 0, "running": 0,
                      "kv_used": 0, "kv_total": 18880000, "handles": 0, "born": server.born}
            writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
        elif path.startswith("/api/stage-put/"):
            weights.staged[index] = body
            writer.write(answer(200))
        elif path.startswith("/api/stage-get/"):
            writer.write(answer(200, (), weights.staged[index]) if index in weights.staged else answer(404))
        elif path == "/api/order":
            order = json.loads(body)
            if order.get("expected_revision", weights.sequence) != weights.sequence:
                writer.write(answer(409))
                return
            weights.sequence += 1
            weights.version = order["version"]
            weights.start, weights.end = order.get("from", 0), order.get("target_version", LAYERS)
            rig.record(f"{server.name} takes {order}")
            server.fields = fields(weights)
            server.register()
            writer.write(answer(202))
        elif header(headers, "Model"):
            attempt = header(headers, "Attempt-Id")
            wanted = header(headers, "Expect-Version")
            if weights.end - weights.start < LAYERS or wanted not in (None, str(weights.version)):
                writer.write(answer(421, [("Attempt-Id", attempt)]))
                return
            begun.append((now_ms(), attempt, weights.version))
            rig.record(f"{server.name} begins {attempt} on version {weights.version}")
            text = b"id: 1\ndata: piece\n\n"
            writer.write(answer(200, [("Attempt-Id", attempt), ("Server-Seal", "seal"), ("Weight-Versions", "1"),
                                      ("Content-Type", "text/event-stream")], text))
        else:
            writer.write(answer(404))

    async def origin(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                path, _, query = line.split(" ")[1].partition("?")
                values = dict(one.split("=") for one in query.split("&"))
                version = int(values.get("version", "3"))
                if path.startswith("/api/manifest/"):
                    digests = [hashlib.sha256(piece(version, i)).hexdigest() for i in range(CHUNKS)]
                    out = {"model": MODEL, "version": version, "chunk_bytes": 32768, "layers": LAYERS,
                           "digests": digests}
                    writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(out).encode()))
                else:
                    await asyncio.sleep(32768 * 8 / 9.9e6)
                    writer.write(answer(200, (), piece(version, int(values["sample_count"]))))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    at_origin = await asyncio.start_server(origin, rig.net + ".3", 0)
    address = "%s:%d" % at_origin.sockets[0].getsockname()[:2]
    rig.store.put("keyed.op", "config", manifest(
        [{"name": "r1", "path_prefix": "/lepu270/", "kind": "streaming", "service": "huvo11a", "sticky": True,
          "resumable": True, "gap_aim_ms": 400}],
        [MODEL_SERVICE, {"name": "kafi81c", "origin": address, "zone": "norte-a", "link_mbps": 9.9,
                         "max_connections": 48}]))
    servers = []
    for number in (1, 2, 3):
        weights = Weights()
        server = Server(rig, f"i-{number}", "huvo11a", serves, **fields(weights))
        server.weights = weights
        await server.start(f"{rig.net}.{10 + number}")
        servers.append(server)
    starts = []
    entry, front, ready = rig.entry(1)
    agents = [rig.agent(number, server) for number, server in enumerate(servers)]
    await rig.until_ready(ready)
    await asyncio.sleep(2)
    zero = now_ms()
    rig.record("traffic begins")

    def since():
        return (now_ms() - zero) / 1000

    async def at(seconds):
        await asyncio.sleep(max(0, seconds - since()))

    kept = {"entry": entry, "agents": agents, "since": zero - 5000, "late": zero - 5000}

    async def kill():
        if not trouble:
            return
        await at(KILL_S)
        kept["since"] = 1 << 60
        for process in [kept["entry"], *kept["agents"]]:
            process.kill()
        rig.record("all processes of the system are killed")
        await at(START_S)
        kept["entry"] = rig.respawn("entry", "front-1")
        kept["agents"] = [rig.respawn("agent", f"side-{number}") for number in range(3)]
        kept["since"] = now_ms()
        rig.record("all processes are started again")

    def name(version):
        rig.store.put("keyed.op", "version/" + MODEL, {"model": MODEL, "version": version})

    async def naming():
        await at(FIRST_S)
        if trouble:
            rig.record("the operator names version 2; the call gets no answer and is not done yet")
            await at(AGAIN_S)
        name(2)
        rig.record("version 2 is named and acknowledged")
        await at(NAMED_S)
        name(3)
        kept["named"] = now_ms()
        rig.record("version 3 is named and acknowledged")
        if trouble:
            await at(LATE_S)
            name(2)
            rig.record(f"the store does the call that named version 2, {LATE_S - FIRST_S:.1f} s after it was sent")
            kept["late"] = now_ms()

    late = []

    async def consume():
        attempt = attempt_id()
        sent, touch = now_ms(), kept["since"]
        try:
            reader, writer = await asyncio.open_connection(*front)
            writer.write(("POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nAttempt-Id: " + attempt + "\r\n"
                          f"Model: {MODEL}\r\nToken-Count: 146,80\r\nPrompt-Prefix: {attempt[:8]}:146\r\n"
                          "Deadline-Ms: 6000\r\nKey: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 5\r\n\r\nhello").encode())
            line, _ = await asyncio.wait_for(read_head(reader), 8)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            line = repr(e)
        if "named" not in kept or sent < kept["named"]:
            return
        # The strictest reading: the time counts from when the store is stable and the entry in touch again.
        bound = max(kept["named"], kept["late"] + CONTACT_MS, touch + CONTACT_MS) + VERSION_MS
        for moment, one, version in begun:
            if one == attempt and version < 3 and moment > bound:
                late.append(attempt)
                rig.record(f"{attempt} began on version {version}, {moment - kept['named']} ms after the naming, its entry was in "
                           f"touch; answered {line}")

    async def load():
        tasks = []
        while since() < END_S:
            tasks.append(asyncio.create_task(consume()))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    await asyncio.gather(load(), kill(), naming())
    newest = [version for moment, _, version in begun if moment > kept["named"] + VERSION_MS]
    rig.record(f"{len(late)} requests began on a version before 3 more than {VERSION_MS} ms after version 3 was named "
               f"(of {len(newest)} that began then); servers hold {[server.weights.version for server in servers]}")
    return not late


run_case(FOLDER, case)
