"""Stand-ins for a small deployment on loopback: the platform's store, servers, and raw clients.

Everything listens on loopback addresses with free ports. The programs under test are started with the `run` lines of
deploy/system.toml and settings as the templates of deploy/ would hold them.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZERO = time.monotonic()


def now_ms():
    return int((time.monotonic() - ZERO) * 1000)


class Record:
    """What was sent, answered and run, in record.txt beside the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{now_ms():7d} ms  {text}\n")


class Cannot(Exception):
    """The case could not run."""


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


# -- HTTP/1.1, only as much as the stand-ins need


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return lines[0], headers


def header(headers, name, otherwise=None):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return otherwise


async def read_body(reader, headers):
    if (header(headers, "Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if size == 0:
                return b"".join(parts)
    return await reader.readexactly(int(header(headers, "Content-Length", "0")))


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# -- the platform's store


class Store:
    """Keyed topics of the platform's store: log-newest, log-read with a wait, log-append."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.down = False

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def append(self, topic, key, value):
        entries = self.topics.setdefault(topic, [])
        entries.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(entries) - 1

    def put(self, topic, key, value):
        return self.append(topic, key, json.dumps(value).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(await self.handle(line, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        q = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        entries = self.topics.setdefault(q.get("topic", ""), [])
        if path == "/api/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(entries):
                newest[key] = (offset, value)
            after = q.get("after_revision", "")
            items = [
                {"private_key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (o, v) in sorted(newest.items())
                if v and k > after
            ]
            out = {"items": items[:500], "has_more": len(items) > 500, "end": len(entries)}
            return answer(200, [("Content-Type", "application/json")], json.dumps(out).encode())
        if path == "/api/log-read":
            start = int(q.get("from", "0"))
            until = time.monotonic() + int(q.get("wait_ms", "0")) / 1000
            if start > len(entries):
                return answer(410, [("Content-Type", "application/json")], b'{"first":0}')
            while start >= len(entries) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            raw = struct.pack(">QQ", len(entries), 0)
            for key, value in entries[start:]:
                record = bytes([len(key.encode())]) + key.encode() + value
                raw += struct.pack(">I", len(record)) + record
            return answer(200, [("Content-Type", "application/octet-stream")], raw)
        if path == "/api/log-append":
            offset, at = len(entries), 0
            while at < len(body):
                (size,) = struct.unpack_from(">I", body, at)
                record = body[at + 4 : at + 4 + size]
                at += 4 + size
                self.append(q["topic"], record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
            return answer(200, [("Content-Type", "application/json")],
                          json.dumps({"offset": offset, "end": len(entries)}).encode())
        return answer(404)


# -- servers


class Server:
    """A server: registers itself every heartbeat, and hands each request to `run`, which writes the answer."""

    def __init__(self, rig, name, service, run, **fields):
        self.rig, self.name, self.service, self.run, self.fields = rig, name, service, run, fields
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 22)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    def register(self, state="ready"):
        self.sequence += 1
        self.rig.store.put("keyed.servers", self.name, {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": "norte-a", "version": "v1",
            "slots": 16, "state": state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born,
            **self.fields})

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if header(headers, "Expect-Instance") not in (None, self.name):
                    writer.write(answer(421, [("Instance-Id", self.name)]))
                    await writer.drain()
                    continue
                await self.run(self, line, headers, body, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Ends like a crash: the port refuses, connections are reset, nothing is said."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# -- the programs under test


class Rig:

    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.processes = []
        base = random.randrange(10, 250)
        self.net = f"127.{base}.{random.randrange(1, 250)}"
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        self.peer_port = free_port(self.net + ".1")

    async def start(self):
        await self.store.start(self.net + ".1")

    def entry(self, number, cpu=None):
        """Starts an entry and returns its client address."""
        ip = f"{self.net}.{100 + number}"
        ports = {name: free_port(ip) for name in ("front", "ready", "control", "metrics")}
        settings = {
            "instance": {"id": f"front-{number}", "region": "norte", "hall": "norte-a"},
            "regions": {"norte-a": "norte"},
            "listen": {"clients": f"{ip}:{ports['front']}", "ready": f"{ip}:{ports['ready']}",
                       "peers": f"{ip}:{ports['control']}", "metrics": f"{ip}:{ports['metrics']}"},
            "peerPort": self.peer_port, "seeds": [], "store": self.store.address,
            "linkBitsPerSecond": 1000e6, "memoryMegabytes": 430,
            "bounds": self.bounds(), "log": {"format": "text", "level": "info"}}
        return self.spawn("entry", f"front-{number}", settings), (ip, ports["front"]), (ip, ports["ready"])

    def agent(self, number, server):
        """Starts an agent beside a server, at the server's address."""
        settings = {
            "instance": {"id": f"side-{number}", "region": "norte", "hall": "norte-a"},
            "regions": {"norte-a": "norte"},
            "listen": {"peers": f"{server.ip}:{self.peer_port}", "metrics": f"{server.ip}:{free_port(server.ip)}"},
            "peerPort": self.peer_port, "seeds": [], "store": self.store.address, "linkBitsPerSecond": 5.32e6,
            "endpoint": f"{server.ip}:{server.port}", "service": server.service, "memoryMegabytes": 298,
            "bounds": self.bounds(), "log": {"format": "text", "level": "info"}}
        return self.spawn("agent", f"side-{number}", settings)

    @staticmethod
    def bounds():
        return {"versionMillis": 8000, "configurationMillis": 2000, "drainMillis": 2000, "graceMillis": 8000,
                "retryShare": 0.2, "retrySlack": 106, "crashMemoryMillis": 600000, "crashesKept": 1000}

    def spawn(self, role, name, settings):
        with open(os.path.join(self.temp, name + ".json"), "w") as out:
            json.dump(settings, out)
        return self.respawn(role, name)

    def respawn(self, role, name):
        """Starts a process, again with the same settings if it ran before."""
        path = os.path.join(self.temp, name + ".json")
        words = shlex.split(self.deploy["roles"][role]["run"])
        if not os.path.exists(os.path.join(ROOT, words[0])):
            raise Cannot(words[0] + " is not built")
        log = open(os.path.join(self.temp, name + ".log"), "a")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "JAVA_HOME", "LANG")}
        process = subprocess.Popen(words, cwd=ROOT, env={**environment, "MICABARROW_BOOT": path}, stdout=log,
                                   stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    async def until_ready(self, address, seconds=25):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await asyncio.wait_for(read_head(reader), 2)
                writer.close()
                if " 200 " in line:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise Cannot("an entry did not become ready")

    def log(self, name):
        with open(os.path.join(self.temp, name + ".log")) as text:
            return text.read()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.temp, ignore_errors=True)
        else:
            print(self.temp)


def manifest(routes, services, version=1):
    return {
        "version": version,
        "routes": [{"host": "jepu9.example", "timeout_ms": 6000, "target_latency_ms": 502, "priority": 1,
                    "max_attempts": 2, "public": False, **route} for route in routes],
        "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "bozi300", "api_keys": ["jnbanfqasnmgkcuyj8pj"], "priority": 1}]}


MODEL_SERVICE = {
    "name": "huvo11a", "health_path": "/healthz", "max_connections": 374, "protocol": "h1", "tls": False,
    "engine": {"slots": 16, "kv_capacity": 1180000, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 5,
               "models": [{"name": "daka510000", "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}], "step_ms": 8.87,
               "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47,
               "chunk": 2048, "report_lag_ms": 200.0, "usual": {"prompt": 977, "answer": 94}, "layers": 16,
               "chunks": 64, "chunk_bytes": 32768}}
MODEL_FIELDS = {"stage": "both", "models": [{"name": "daka510000", "version": 1, "adapters": []}],
                "layers": {"from": 0, "target_version": 16, "version": 1}}
PLAIN_SERVICE = {"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, case):
    """Runs a case, which returns whether the rule was kept; exits with 0, 1 or 2."""
    rig = Rig(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def all_of_it():
        await rig.start()
        return await asyncio.wait_for(case(rig, trouble), 110)

    try:
        kept = asyncio.run(all_of_it())
        rig.record("the rule " + ("held" if kept else "was BROKEN"))
        code = 0 if kept else 1
    except (Cannot, OSError, asyncio.TimeoutError) as e:
        rig.record(f"the case could not run: {e!r}")
        code = 2
    finally:
        rig.end()
    sys.stdout.flush()
    os._exit(code)  # without waiting for connections that are still open
