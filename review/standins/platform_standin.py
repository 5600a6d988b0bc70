"""Small stand-ins of the cases in review/: the platform's store, a consumer, and the start of the project's programs.

Everything listens on loopback addresses and free ports. A "machine" is a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qsl

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 115
STARTED = time.monotonic()


def now():
    """Seconds since the script was started."""
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run into a file, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.rows = []

    def __call__(self, event, **fields):
        row = dict(t=round(now(), 3), event=event, **fields)
        self.rows.append(row)
        self.file.write(json.dumps(row) + "\n")
        self.file.flush()
        return row

    def of(self, event):
        return [row for row in self.rows if row["event"] == event]


# -- HTTP


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def write_answer(writer, status, body=b"", content_type="application/json", headers=()):
    head = ["HTTP/1.1 %d -" % status, "Content-Type: " + content_type, "Content-Length: %d" % len(body)]
    head += ["%s: %s" % header for header in headers]
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body)


class HttpServer:
    """Serves one request at a time on each channel. Subclasses implement `answer`."""

    host = "127.0.0.1"

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = "%s:%d" % (self.host, self.server.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                await self.answer(writer, method, path, dict(parse_qsl(query)), headers, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# -- the platform's store


class Store(HttpServer):
    """The platform's store: keyed topics of one partition, always stable and answering at once."""

    def __init__(self, host="127.0.5.1"):
        self.host = host
        self.topics = {}
        self.changed = asyncio.Condition()

    async def append(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def answer(self, writer, method, path, query, headers, body):
        log = self.topics.setdefault(query.get("topic", ""), [])
        if path == "/api/log-newest":
            newest = {key: (offset, value) for offset, (key, value) in enumerate(log)}
            items = [
                {"private_key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            write_answer(writer, 200, json.dumps({"items": items, "has_more": False, "end": len(log)}).encode())
        elif path == "/api/log-read":
            await self.await_record(log, int(query["from"]), int(query.get("wait_ms", 0)) / 1000)
            out = struct.pack(">qq", len(log), 0)
            for key, value in log[int(query["from"]) :]:
                record = bytes([len(key.encode())]) + key.encode() + value
                out += struct.pack(">I", len(record)) + record
            write_answer(writer, 200, out, "application/octet-stream")
        elif path == "/api/log-append":
            first = len(log)
            while body:
                length = struct.unpack(">I", body[:4])[0]
                record, body = body[4 : 4 + length], body[4 + length :]
                await self.append(query["topic"], record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
            write_answer(writer, 200, json.dumps({"offset": first, "end": len(log)}).encode())
        else:
            write_answer(writer, 404)

    async def await_record(self, log, offset, wait_s):
        end = time.monotonic() + wait_s
        async with self.changed:
            while len(log) <= offset and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    return


# -- the project's programs


def free_port(hosts):
    """A port that is free on all of the given addresses."""
    for _ in range(50):
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    with socket.socket() as other:
                        other.bind((host, port))
                return port
            except OSError:
                continue
    raise RuntimeError("no free port")


def fill(template, values):
    """Fills a template of the deploy file, as far as its language is used there."""

    def value_of(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def gap(match):
        name, _, how = match.group(1).partition("|")
        value = value_of(name)
        return json.dumps(value) if how == "json" else "" if value is None else str(value)

    def section(match):
        return match.group(2) if value_of(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", gap, text)


# The figures of the sheet of altamira-bici.
BOUNDS = dict(
    version_ms=8000, config_apply_ms=2000, drain_ms=2000, grace_s=8, retry_budget_ratio=0.2, budget_slack=106
)
LIMITS = {
    "entry": dict(link_mbps=1000.0, memory_mb=430),
    "agent": dict(link_mbps=5.32, memory_mb=298),
}


class Program:
    """One of the project's programs on a machine of its own, started with the run line of the deploy file."""

    def __init__(self, folder, role, name, ip, store, peer_port, app=None, service=None):
        self.name, self.role, self.folder = name, role, folder
        front, ready, control, metrics = ("%s:%d" % (ip, free_port([ip])) for _ in range(4))
        self.front, self.ready, self.control = front, ready, control
        self.process = None
        self.values = dict(
            node_name=name,
            region="norte",
            zone="norte-a",
            zones={"norte-a": "norte"},
            ip=ip,
            listen=dict(front=front, ready=ready, control=control),
            internal_ports=[peer_port],
            seeds=[control],
            platform=dict(address=store.address),
            limits=LIMITS[role],
            bounds=BOUNDS,
            app=app,
            service=service,
        )
        self.metrics = metrics
        deploy = open(os.path.join(ROOT, "deploy", "system.toml")).read()
        block = deploy.split("[roles.%s]" % role)[1].split("[roles.")[0]
        self.run_line = re.search(r'^run = "(.*)"$', block, re.M).group(1)
        self.template = re.search(r'^template = "(.*)"$', block, re.M).group(1)

    def start(self):
        settings = os.path.join(self.folder, self.name + ".settings")
        template = open(os.path.join(ROOT, self.template)).read()
        # Every machine has a port of its own for metrics.
        template = template.replace("{{ip}}:9464", self.metrics)
        open(settings, "w").write(fill(template, self.values))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG", "JAVA_HOME") if name in os.environ}
        environment["MICABARROW_BOOT"] = settings
        log = open(os.path.join(self.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            shlex.split(self.run_line), cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def send_signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def log_lines(self, *words):
        with open(os.path.join(self.folder, self.name + ".log")) as log:
            return [line.rstrip() for line in log if any(word in line for word in words)]


async def await_ready(entry, within_s=40):
    """Asks as the platform does until the entry counts as ready."""
    host, port = entry.ready.split(":")
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            if line.split(" ")[1] == "200":
                return
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    raise RuntimeError("%s did not become ready" % entry.name)


# -- a consumer


async def ask(record, entry, path, ident, deadline_ms, headers=()):
    """Sends one request on a new channel, and records how it is answered."""
    host, port = entry.front.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        record("no connection", id=ident)
        return
    head = ["POST %s HTTP/1.1" % path, "Host: h.example", "Attempt-Id: " + ident, "Deadline-Ms: %d" % deadline_ms]
    head += ["Key: key-a", "Content-Length: 5"] + ["%s: %s" % header for header in headers]
    record("sent", id=ident)
    try:
        writer.write(("\r\n".join(head) + "\r\n\r\nhello").encode())
        await writer.drain()
        line, answer = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
        await asyncio.wait_for(read_body(reader, answer), deadline_ms / 1000)
        record("answered", id=ident, status=int(line.split(" ")[1]), versions=answer.get("weight-versions"))
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record("no answer", id=ident, why=type(error).__name__)
    finally:
        writer.close()


# -- a case


def run(folder, case):
    """Runs a case, which returns whether the rule held, with a folder for settings and logs; exits as agreed."""

    def stop(*_):
        raise SystemExit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="micabarrow-review-")
    programs = []
    result = COULD_NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(case(record, temporary, programs), LIMIT_S))
        result = HELD if held else BROKEN
    except Exception as error:
        record("could not run", why=repr(error))
        print("could not run:", repr(error), file=sys.stderr)
    finally:
        for program in programs:
            program.end()
        shutil.rmtree(temporary, ignore_errors=True)
    print("exit", result, {HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "the case could not run"))
    sys.exit(result)
