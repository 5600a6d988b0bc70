"""Stand-ins of model servers, with what lies staged beside them, and of the origin of weights."""

import asyncio
import hashlib
import json
import time

from platform_standin import HttpServer, write_answer

MODEL = "model-a"
SERVICE = "models"
PIECES = 64
PIECE_BYTES = 32768
LAYERS = 16
BEAT_S = 1.2
WARM_S = 0.3
EVENTS = 14
EVENT_S = 0.045
STREAM = (("Model", MODEL), ("Token-Count", "100,20"), ("Prompt-Prefix", "ab:100"))


def piece(version, index):
    """A piece as the origin has it."""
    seed = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return seed * (PIECE_BYTES // len(seed))


class Origin(HttpServer):
    """The origin of weights, behind its link; a caller takes no more than the link of its own machine carries."""

    LINK_MBPS = 9.9
    CALLER_MBPS = 5.32

    def __init__(self, host="127.0.4.1"):
        self.host = host
        self.free_at = 0.0
        self.caller_free_at = {}

    async def answer(self, writer, method, path, query, headers, body):
        version = int(query.get("version", 1))
        if path.startswith("/api/manifest/"):
            digests = [hashlib.sha256(piece(version, index)).hexdigest() for index in range(PIECES)]
            out = dict(model=MODEL, version=version, chunk_bytes=PIECE_BYTES, layers=LAYERS, digests=digests)
            write_answer(writer, 200, json.dumps(out).encode())
        elif path.startswith("/api/piece/"):
            await self.send_paced(writer, piece(version, int(query["sample_count"])))
        else:
            write_answer(writer, 404)

    async def send_paced(self, writer, body):
        caller = writer.get_extra_info("peername")[0]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        for start in range(0, len(body), 4096):
            part = body[start : start + 4096]
            now = time.monotonic()
            at = max(now, self.free_at, self.caller_free_at.get(caller, 0.0))
            self.free_at = max(now, self.free_at) + len(part) * 8 / (self.LINK_MBPS * 1e6)
            self.caller_free_at[caller] = at + len(part) * 8 / (self.CALLER_MBPS * 1e6)
            await asyncio.sleep(max(0.0, at - now))
            writer.write(part)
            await writer.drain()


class ModelServer(HttpServer):
    """A model server that holds version 1. It takes layers from what lies staged as it takes an order."""

    def __init__(self, record, ident, host):
        self.record, self.id, self.host = record, ident, host
        self.staged = {index: piece(1, index) for index in range(PIECES)}
        self.bad_since = {}
        # For each layer, its version, and its pieces that were not right when it was taken.
        self.layers = {layer: (1, []) for layer in range(LAYERS)}
        self.busy = False
        self.orders = 0
        self.beats = 0
        self.on_stage_put = self.on_stage_get = lambda index: None

    def spoil(self, index):
        """A piece that lies here turns bad."""
        self.staged[index] = b"\0" * 16 + self.staged[index][16:]
        self.bad_since[index] = time.monotonic()
        self.record("piece turns bad", server=self.id, piece=index)

    # -- what it tells of itself

    def held(self):
        return max((version for version, _ in self.layers.values()), default=0)

    def models(self):
        if not self.layers:
            return dict(models=[])
        held = self.held()
        layers = {"from": min(self.layers), "target_version": max(self.layers) + 1, "version": held}
        return dict(models=[dict(name=MODEL, version=held, adapters=[])], layers=layers)

    async def beat(self, store):
        """Keeps its entry in the store."""
        while True:
            self.beats += 1
            entry = dict(service=SERVICE, address=self.address, zone="norte-a", version="v1", slots=16, state="ready")
            entry.update(cold_left_ms=0, stage="both", sequence=self.beats, **self.models())
            await store.append("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(BEAT_S)

    # -- calls

    async def answer(self, writer, method, path, query, headers, body):
        index = int(query.get("sample_count", -1))
        if path == "/api/report":
            out = dict(stage="both", busy=self.busy, sequence=self.orders, queued=0, running=0, handles=0)
            out.update(kv_used=0, kv_total=1180000 * LAYERS, **self.models())
            write_answer(writer, 200, json.dumps(out).encode())
        elif path.startswith("/api/stage-put/"):
            self.staged[index] = body
            self.bad_since.pop(index, None)
            write_answer(writer, 200)
            self.on_stage_put(index)
        elif path.startswith("/api/stage-get/"):
            write_answer(writer, 200 if index in self.staged else 404, self.staged.get(index, b""))
            self.on_stage_get(index)
        elif path == "/api/order":
            write_answer(writer, self.order(json.loads(body)))
        else:
            await self.run(writer, headers)

    def order(self, order):
        if order.get("operation") != "start":
            return 400
        if self.busy or order.get("expected_revision", self.orders) != self.orders:
            self.record("order refused", server=self.id, order=order)
            return 409
        version = order["version"]
        wanted = range(order.get("from", 0), order.get("target_version", LAYERS))
        kept = {layer: taken for layer, taken in self.layers.items() if taken[0] == version}
        if all(layer in kept for layer in wanted):
            return 200
        self.orders += 1
        self.busy = True
        taken = {layer: (version, self.wrong_pieces(version, layer)) for layer in wanted if layer not in kept}
        wrong = {layer: pieces for layer, (_, pieces) in taken.items() if pieces}
        self.record("order taken", server=self.id, version=version, layers=len(taken), wrong_pieces=wrong)
        asyncio.get_running_loop().call_later(WARM_S, self.loaded, {**kept, **taken})
        return 202

    def loaded(self, layers):
        self.layers = layers
        self.busy = False

    def wrong_pieces(self, version, layer):
        pieces = range(layer * PIECES // LAYERS, -(-(layer + 1) * PIECES // LAYERS))
        return [self.wrong_piece(index) for index in pieces if self.staged.get(index) != piece(version, index)]

    def wrong_piece(self, index):
        since = self.bad_since.get(index)
        return dict(piece=index, bad_for_s=None if since is None else round(time.monotonic() - since, 3))

    # -- requests

    async def run(self, writer, headers):
        ident = headers.get("attempt-id", "-")
        whole = len(self.layers) == LAYERS and len({version for version, _ in self.layers.values()}) == 1
        version = self.held()
        if headers.get("expect-instance") != self.id or not whole or self.other_version(headers, version):
            write_answer(writer, 421, headers=[("Instance-Id", self.id)])
            return
        if self.busy:
            write_answer(writer, 503, headers=[("Not-Executed", "1")])
            return
        wrong = {layer: pieces for layer, (_, pieces) in self.layers.items() if pieces}
        self.record("run", server=self.id, id=ident, version=version, wrong_pieces=wrong)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += ["Attempt-Id: " + ident, "Server-Seal: seal-" + self.id, "Weight-Versions: %d" % version]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = b"id: %d\ndata: tokens\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    @staticmethod
    def other_version(headers, version):
        expected = headers.get("expect-version")
        return expected is not None and int(expected) != version


def manifest(origin):
    """A manifest with one route, which may be resumed, to the model servers."""
    route = dict(name="r-stream", host="h.example", path_prefix="/stream/", kind="streaming", timeout_ms=6000)
    route.update(target_latency_ms=500, priority=1, service=SERVICE, max_attempts=2, public=False)
    route.update(sticky=True, resumable=True, gap_aim_ms=400)
    engine = dict(slots=16, kv_capacity=1180000, kv_token_bytes=163840, link_mbps=400000.0, stride=5, mb=266000.0)
    engine.update(models=[dict(name=MODEL, pace=1.0, load_s=4.0, warm_s=WARM_S)], step_ms=8.87, per_seq_ms=0.0388)
    engine.update(context_per_k=0.0227, read_per_s=19100.0, pairs_per_m=1.47, chunk=2048, report_lag_ms=200.0)
    engine.update(usual=dict(prompt=977, answer=94), layers=LAYERS, layer_mb=4540.0)
    engine.update(chunks=PIECES, chunk_bytes=PIECE_BYTES)
    services = [
        dict(name=SERVICE, health_path="/healthz", max_connections=374, protocol="h1", tls=False, engine=engine),
        dict(name="weights", origin=origin.address, zone="norte-a", link_mbps=Origin.LINK_MBPS, max_connections=48),
    ]
    limits = dict(max_header_bytes=16384, max_body_bytes=4194304, header_timeout_ms=3000, idle_timeout_ms=15000)
    tenants = [dict(name="org-a", api_keys=["key-a"], priority=1)]
    return json.dumps(dict(version=1, routes=[route], services=services, limits=limits, tenants=tenants)).encode()


def name_version(version):
    return json.dumps(dict(model=MODEL, version=version)).encode()
