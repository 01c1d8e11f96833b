"""Case 1: a call server's machine vanishes, and a new call server starts at its address."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import TROUBLE, CannotRun, CallServer, Client, Journal, endpoint, play  # noqa: E402

# The protocol page: within 8 s of its end if no release could be sent, and each time limit is 50 ms longer.
LIMIT_S = 8.05
# From the vanishing to the start of the new machine, and from then until the list tells of both.
NEW_MACHINE_AFTER_S, TOLD_AFTER_S = 3.0, 2.0
WATCHED_S = 25.0


async def case(record, platform):
    journal = Journal(record)
    await journal.listen(2)
    long_calls = set()
    first = CallServer(record, "s-0000000a", hold=lambda call: 12.0 if call in long_calls else 1.0)
    second = CallServer(record, "s-0000000b", hold=lambda call: 1.0)
    await first.listen([("127.0.5.1", 0), ("127.0.6.1", 0)])
    await second.listen([("127.0.5.2", 0), ("127.0.6.2", 0)])
    journal.add([endpoint(first, group=0), endpoint(second, group=1, zone="porto")], snapshot=True)
    nodes = await platform.start(2, journal, [0, 1])
    clients = [await Client(record, f"client of {node.name}").connect(node.address) for node in nodes]

    async def traffic():
        while True:
            for client in clients:
                for dest in (0, 1):
                    client.set_up(dest)
                    await asyncio.sleep(0.1)

    background = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    for client in clients:
        for _ in range(4):
            call = client.set_up(0)
            long_calls.add(call)
            await client.outcome(call)
    stood = [call for call in first.standing if call in long_calls]
    if not stood:
        raise CannotRun("no call stands at the first server")
    await asyncio.sleep(1)
    began = time.time()
    over = {}
    if TROUBLE:
        over = {call: began for call in first.standing if any(call in c.calls and c.calls[call]["answers"] for c in clients)}
        first.vanish()
    await asyncio.sleep(NEW_MACHINE_AFTER_S)
    third = CallServer(record, "s-0000000c", hold=lambda call: 1.0)
    if TROUBLE:
        first.give_addresses_back()
        await third.listen(first.addresses)
    else:
        await third.listen([("127.0.5.3", 0), ("127.0.6.3", 0)])
    started_ms = int(time.time() * 1000)
    await asyncio.sleep(TOLD_AFTER_S)
    changes = [endpoint(third, group=0, since_ms=started_ms)]
    if TROUBLE:
        changes.insert(0, endpoint(first, status="removed", group=0))
    journal.add(changes)
    await asyncio.sleep(WATCHED_S - NEW_MACHINE_AFTER_S - TOLD_AFTER_S)
    background.cancel()
    if not TROUBLE:
        over = {call: first.answered_at[call] + 12.0 for call in stood}
    broken = []
    for call, end in over.items():
        told = Client.released.get(call)
        late = None if told is None else told[0] - end
        if late is None or late > LIMIT_S:
            when = f"told {late:.2f} s after its end" if told else f"not told in {time.time() - end:.1f} s"
            broken.append(f"call {call} stood at {first.name} and is over: its caller was {when}, limit {LIMIT_S} s")
    record("case", f"{len(over)} calls that stood at {first.name} are over, {len(broken)} of them not released in time")
    return broken


play(os.path.dirname(os.path.abspath(__file__)), case)
