"""A machine freezes while its agent reads the staged pieces back; a piece that was read already turns bad meanwhile."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

from models import MODEL, PIECES, SERVICE, STREAM, ModelServer, Origin, manifest, name_version  # noqa: E402
from platform_standin import TROUBLE, Program, Store, ask, await_ready, free_port, run  # noqa: E402

FREEZE_S = 4.0
BAD_PIECE = 3
# The piece at whose reading the machine freezes: half of them have been read.
FREEZE_AT_PIECE = PIECES // 2
EXCUSED_S = 3.0


async def case(record, folder, programs):
    store, origin = Store(), Origin()
    server = ModelServer(record, "i-1", "127.0.2.1")
    for one in (store, origin, server):
        await one.listen()
    await store.append("keyed.op", "config", manifest(origin))
    beats = asyncio.create_task(server.beat(store))
    peer_port = free_port(["127.0.2.1", "127.0.1.1"])
    agent = Program(folder, "agent", "side-1", "127.0.2.1", store, peer_port, app=server.address, service=SERVICE)
    entry = Program(folder, "entry", "front-1", "127.0.1.1", store, peer_port)
    for program in (agent, entry):
        programs.append(program)
        program.start()
    await await_ready(entry)
    await asyncio.sleep(3)
    await ask(record, entry, "/stream/a", "before", 6000, STREAM)
    if [row["version"] for row in record.of("run")] != [1]:
        raise RuntimeError("version 1 is not served")

    staged, frozen = set(), asyncio.Event()

    def on_stage_get(index):
        # The agent reads all pieces back once all of them are staged, just before its order.
        if len(staged) == PIECES and index == FREEZE_AT_PIECE and not frozen.is_set():
            agent.send_signal(signal.SIGSTOP)
            record("machine freezes", machine=agent.name, reading_piece=index)
            frozen.set()

    server.on_stage_put = staged.add
    if TROUBLE:
        server.on_stage_get = on_stage_get
    await store.append("keyed.op", "version/" + MODEL, name_version(2))
    record("version named", version=2)
    if TROUBLE:
        await asyncio.wait_for(frozen.wait(), 20)
        server.spoil(BAD_PIECE)
        await asyncio.sleep(FREEZE_S)
        agent.send_signal(signal.SIGCONT)
        record("machine wakes", machine=agent.name)
    for number in range(150):
        await ask(record, entry, "/stream/a", "a%d" % number, 6000, STREAM)
        if any(row["version"] == 2 for row in record.of("run")):
            break
        await asyncio.sleep(0.2)
    else:
        raise RuntimeError("version 2 was never served")
    beats.cancel()
    return verdict(record)


def verdict(record):
    broken = [row for row in record.of("run") if any(counts(one) for one in all_wrong(row))]
    record("verdict", rule="WHOLE", broken=bool(broken), runs=broken)
    print("requests answered by layers that were taken from bad pieces:", [row["id"] for row in broken])
    return not broken


def all_wrong(row):
    return [one for pieces in row["wrong_pieces"].values() for one in pieces]


def counts(wrong):
    """The rule excuses a piece that had turned bad in the last 3 s before the layer was taken."""
    return wrong["bad_for_s"] is None or wrong["bad_for_s"] > EXCUSED_S


run(HERE, case)
