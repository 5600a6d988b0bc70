"""A machine freezes while its agent reads the staged pieces back; a piece that was read already turns bad meanwhile."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

from models import MODEL, PIECES, SERVICE, STREAM, ModelServer, Origin, manifest, name_version  # noqa: E402
from platform_standin import TROUBLE, Program, Store, ask, await_ready, free_port, run  # noqa: E402

SERVERS = 4
VERSIONS = 8
FREEZE_S = 4.0
BAD_PIECE = 3
# The piece at whose reading the machine freezes: half of them have been read.
FREEZE_AT_PIECE = PIECES // 2
EXCUSED_S = 3.0


async def case(record, folder, programs):
    store, origin = Store(), Origin()
    hosts = ["127.0.2.%d" % k for k in range(1, SERVERS + 1)]
    servers = [ModelServer(record, "i-%d" % k, host) for k, host in enumerate(hosts, 1)]
    for one in (store, origin, *servers):
        await one.listen()
    await store.append("keyed.op", "config", manifest(origin))
    beats = [asyncio.create_task(server.beat(store)) for server in servers]
    peer_port = free_port([*hosts, "127.0.1.1"])
    agents = [
        Program(folder, "agent", "side-%d" % k, server.host, store, peer_port, app=server.address, service=SERVICE)
        for k, server in enumerate(servers, 1)
    ]
    entry = Program(folder, "entry", "front-1", "127.0.1.1", store, peer_port)
    for program in (*agents, entry):
        programs.append(program)
        program.start()
    await await_ready(entry)
    await asyncio.sleep(3)
    await ask(record, entry, "/stream/a", "before", 6000, STREAM)
    if [row["version"] for row in record.of("run")] != [1]:
        raise RuntimeError("version 1 is not served")
    # The server that is in the trouble, and its agent.
    server, agent = servers[0], agents[0]

    # A freeze may fall while the agent waits for an answer; each version brings a new one.
    for version in range(2, 2 + VERSIONS):
        await take_version(record, store, server, agent, version)
        await ask_until_served(record, entry, server, version)
        if broken_runs(record):
            break
    for beat in beats:
        beat.cancel()
    return verdict(record)


async def take_version(record, store, server, agent, version):
    """Names a version, freezes the agent's machine while the agent reads back, and spoils a piece that was read."""
    staged, frozen = set(), asyncio.Event()

    def on_stage_get(index):
        # The agent reads all pieces back once all of them are staged, just before its order.
        if len(staged) == PIECES and index == FREEZE_AT_PIECE and not frozen.is_set():
            # Just after an answer: the agent most often waits for none then.
            agent.send_signal(signal.SIGSTOP)
            record("machine freezes", machine=agent.name, reading_piece=index)
            frozen.set()

    server.on_stage_put = staged.add
    if TROUBLE:
        server.on_stage_get = on_stage_get
    await store.append("keyed.op", "version/" + MODEL, name_version(version))
    record("version named", version=version)
    if TROUBLE:
        await asyncio.wait_for(frozen.wait(), 20)
        server.spoil(BAD_PIECE)
        await asyncio.sleep(FREEZE_S)
        agent.send_signal(signal.SIGCONT)
        record("machine wakes", machine=agent.name)


async def ask_until_served(record, entry, server, version):
    for number in range(40):
        # Enough consumers at once for all servers to get some.
        names = ["v%d-%d-%d" % (version, number, k) for k in range(2 * SERVERS)]
        await asyncio.gather(*(ask(record, entry, "/stream/a", name, 6000, STREAM) for name in names))
        if any(row["version"] == version and row["server"] == server.id for row in record.of("run")):
            return
    raise RuntimeError("version %d was never served by %s" % (version, server.id))


def broken_runs(record):
    return [row for row in record.of("run") if any(counts(one) for one in all_wrong(row))]


def verdict(record):
    broken = broken_runs(record)
    record("verdict", rule="WHOLE", broken=bool(broken), runs=broken)
    print("requests answered by layers that were taken from bad pieces:", [row["id"] for row in broken])
    return not broken


def all_wrong(row):
    return [one for pieces in row["wrong_pieces"].values() for one in pieces]


def counts(wrong):
    """The rule excuses a piece that had turned bad in the last 3 s before the layer was taken."""
    return wrong["bad_for_s"] is None or wrong["bad_for_s"] > EXCUSED_S


run(HERE, case)
