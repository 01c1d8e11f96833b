"""Case 2: a zone with an access node and a call server is lost for 5 s and returns cold."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import TROUBLE, CannotRun, CallServer, Client, Journal, endpoint, play  # noqa: E402

# The protocol page: within 1 s of the release by the call server, and within 8 s of its end if no release could be
# sent; each time limit is 50 ms longer.
RELEASED_S, NOT_RELEASED_S = 1.05, 8.05
# How long the zone is lost, and how long after its return the list tells that the call server started anew.
LOST_S, TOLD_AFTER_S = 5.0, 1.5
HOLD_S, WATCHED_S = 14.0, 30.0


async def case(record, platform):
    journal = Journal(record)
    await journal.listen(2)
    long_calls = set()

    def hold(call):
        return HOLD_S if call in long_calls else 1.0

    near = CallServer(record, "s-0000000a", hold=hold)
    far = CallServer(record, "s-0000000b", hold=hold)
    await near.listen([("127.0.5.1", 0), ("127.0.6.1", 0)])
    await far.listen([("127.0.5.2", 0), ("127.0.6.2", 0)])
    journal.add([endpoint(near, group=0, zone="lisboa"), endpoint(far, group=1, zone="porto")], snapshot=True)
    nodes = await platform.start(2, journal, [0, 1], ("lisboa", "porto"))
    clients = [await Client(record, f"client of {node.name}").connect(node.address) for node in nodes]

    async def traffic():
        while True:
            for client in clients:
                for dest in (0, 1):
                    if not client.closed_at:
                        client.set_up(dest)
                    await asyncio.sleep(0.1)

    background = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    stood = {}  # Call-ID -> number of the access node
    for slot, client in enumerate(clients):
        for dest in (0, 0, 0, 1):
            call = client.set_up(dest)
            long_calls.add(call)
            if await client.outcome(call) == 200:
                stood[call] = slot
    at = {call: server for call in stood for server in (near, far) if call in server.made}
    if not any(server is near and stood[call] == 0 for call, server in at.items()):
        raise CannotRun("no call of n0 stands at the first server")
    await asyncio.sleep(1)
    lost = time.time()
    again = near
    if TROUBLE:
        record("case", "the zone lisboa is lost: n0 and s-0000000a")
        near.vanish()
        nodes[0].stop()
        await asyncio.sleep(LOST_S)
        near.stop()
        near.give_addresses_back()
        again = CallServer(record, near.name, hold=hold)
        await again.listen(near.addresses)
        started_ms = int(time.time() * 1000)
        nodes[0].config["known"] = journal.known(0)
        nodes[0].start()
        await nodes[0].ready()
        record("case", "the zone lisboa is back: n0 and s-0000000a started anew")
        # The callers come back to n0 and name what stands, as far as they know.
        clients[0] = await Client(record, "client of n0").connect(nodes[0].address)
        for call, slot in stood.items():
            if slot == 0 and call not in Client.released:
                clients[0].name_standing(call, at[call].name)
        await asyncio.sleep(max(0.0, started_ms / 1000 + TOLD_AFTER_S - time.time()))
        journal.add([endpoint(again, group=0, zone="lisboa", since_ms=started_ms)])
    await asyncio.sleep(max(0.0, lost + WATCHED_S - time.time()))
    background.cancel()
    broken = []
    for call, server in at.items():
        gone = TROUBLE and server is near
        end = lost if gone else server.ended_at.get(call)
        limit = NOT_RELEASED_S if gone else RELEASED_S
        if end is None:
            raise CannotRun(f"call {call} has not ended")
        told = Client.released.get(call)
        if told is None or told[0] - end > limit:
            when = f"told {told[0] - end:.2f} s after its end" if told else f"not told in {time.time() - end:.1f} s"
            broken.append(f"call {call} of n{stood[call]} at {server.name} is over: its caller was {when}, limit {limit} s")
    record("case", f"{len(at)} calls stood, {len(broken)} of them not released in time")
    return broken


play(os.path.dirname(os.path.abspath(__file__)), case)
