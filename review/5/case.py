"""Consumers resume streams with their field names in lower case; one server crashes within the answers. See claim.txt."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from rig import MODEL_FIELDS, MODEL_SERVICE, Server, answer, attempt_id, header, manifest, read_head, run_case  # noqa: E402

ENTRIES, SERVERS, STREAMS = 4, 6, 72
FIRST, LAST = 6, 30  # each consumer has the events up to 5 already

# What ordinary clients send besides what the platform asks for; none of it has a meaning here.
USUAL = ["accept: text/event-stream", "accept-language: es", "cache-control: no-store", "content-type: application/json",
         "user-agent: node", "x-request-id: 7", "sec-fetch-mode: cors", "origin: http://jepu9.example", "priority: u=1"]


async def case(rig, trouble):

    async def run(server, line, headers, body, reader, writer):
        if line.startswith("GET /api/report"):
            report = {**MODEL_FIELDS, "busy": False, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0,
                      "kv_total": 18880000, "handles": 0, "born": server.born}
            writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            return
        if not line.startswith("POST"):
            writer.write(answer(404))
            return
        attempt = header(headers, "Attempt-Id")
        after = int(header(headers, "Last-Event-Id", "0"))
        rig.record(f"{server.name} runs {attempt} with Last-Event-Id {after}")
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal-{attempt}\r\nWeight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(after + 1, LAST + 1):
            text = f"id: {event}\ndata: piece-{event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")

    rig.store.put("keyed.op", "config", manifest(
        [{"name": "r1", "path_prefix": "/lepu270/", "kind": "streaming", "service": "huvo11a", "sticky": True,
          "resumable": True, "gap_aim_ms": 400}], [MODEL_SERVICE]))
    servers, fronts = [], []
    for number in range(SERVERS):
        server = Server(rig, f"i-{number}", "huvo11a", run, **MODEL_FIELDS)
        await server.start(f"{rig.net}.{10 + number}")
        rig.agent(number, server)
        servers.append(server)
    for number in range(ENTRIES):
        _, front, ready = rig.entry(number)
        fronts.append((front, ready))
    for _, ready in fronts:
        await rig.until_ready(ready)
    await asyncio.sleep(3)

    chance = random.Random(4)

    async def consume(number):
        usual = "".join(line + "\r\n" for line in USUAL if chance.random() < 0.5)
        body = f"draft {number}".encode()
        attempt = attempt_id()
        await asyncio.sleep(0.005 * number)
        reader, writer = await asyncio.open_connection(*fronts[number % ENTRIES][0])
        # Field names of HTTP/1.1 mean the same in any case (RFC 9110, 5.1).
        writer.write(("POST /lepu270/2f HTTP/1.1\r\nhost: jepu9.example\r\nattempt-id: " + attempt + "\r\n"
                      f"last-event-id: {FIRST - 1}\r\nmodel: daka510000\r\ntoken-count: 146,80\r\n"
                      f"prompt-prefix: 5c1e07a2:80,{number:08x}:66\r\ndeadline-ms: 6000\r\n"
                      f"key: jnbanfqasnmgkcuyj8pj\r\n{usual}content-length: {len(body)}\r\n\r\n").encode() + body)
        data, whole, line = b"", False, "-"
        try:
            line, _ = await asyncio.wait_for(read_head(reader), 8)
            while " 200 " in line:
                size = int(await asyncio.wait_for(reader.readline(), 8), 16)
                data += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    whole = True
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.TimeoutError):
            pass
        writer.close()
        ids = [int(part[4:]) for part in data.decode().split("\n") if part.startswith("id: ")]
        order = ids == list(range(FIRST, FIRST + len(ids))) and (not whole or ids[-1:] == [LAST])
        rig.record(f"{attempt}: {line}, events {ids}, whole={whole}{'' if order else ', NOT IN ORDER'}")
        return order

    async def crash():
        await asyncio.sleep(1.0)
        if trouble:
            rig.record("i-0 crashes")
            servers[0].crash()

    results, _ = await asyncio.gather(asyncio.gather(*(consume(number) for number in range(STREAMS))), crash())
    rig.record(f"{results.count(False)} of {STREAMS} streams lack a piece or carry one twice")
    return all(results)


run_case(FOLDER, case)
