"""A host that is cut off from the store takes the records of a peer that has
just started, misses that a server has left, and sends requests to it for ever."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import *

CUT_S = 5.5           # core_cut: 5.5 s at most on the site
SIGTERM_AFTER_S = 0.5  # the planned stop of the other host, after the cut has begun
START_AFTER_S = 1.0   # from the end of the stopped process to its start
LEAVES_AFTER_S = 0.3  # from the end of the stopped process to the server's leaving
SERVES_ON_S = 9.0     # of the server that leaves, after its entry is removed


async def case(site, record, trouble):
    site.configure()
    servers = []
    for i in range(3):
        server = Server(site.store, record, "listings-ledger", "i-%d" % i, work_s=0.1)
        await server.start("127.0.0.1")
        servers.append(server)
    watched, other = [await site.add_host(i, [0, 1]) for i in range(2)]
    leaver = servers[2]
    watched.start()
    other.start()
    await watched.wait_ready()
    await other.wait_ready()
    tasks = []

    async def client():
        number = 0
        while True:
            number += 1
            kind = "unsafe" if number % 2 else "safe"
            tasks.append(asyncio.ensure_future(
                send_request(record, watched, kind, "r%05d" % number)))
            await asyncio.sleep(0.03)

    clients = asyncio.ensure_future(client())
    await asyncio.sleep(5)  # both machines are in touch
    if trouble:
        record.write("host-0 is cut off from the store")
        watched.door.cut()
    cut_at = record.now()
    await asyncio.sleep(SIGTERM_AFTER_S)
    record.write("host-1 gets SIGTERM")
    other.signal(signal.SIGTERM)
    stopping = record.now()
    while other.ended() is None:
        if record.now() - stopping > GRACE_S:
            raise CannotRun("the stopped host did not end in its grace time")
        await asyncio.sleep(0.02)
    record.write("host-1 has ended with status %s" % other.ended())
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver.remove_entry()
    gone_at = record.now()
    record.write("the store acknowledges that %s is gone" % leaver.id)
    await asyncio.sleep(START_AFTER_S - LEAVES_AFTER_S)
    record.write("host-1 is started again")
    other.start()
    await other.wait_ready()
    await asyncio.sleep(max(0, cut_at + CUT_S - record.now()))
    if trouble:
        record.write("host-0 reaches the store again")
        watched.door.heal()
    healed_at = record.now()
    await asyncio.sleep(max(0, gone_at + SERVES_ON_S - record.now()))
    record.write("server %s exits" % leaver.id)
    leaver.end()
    await asyncio.sleep(1)
    clients.cancel()
    await asyncio.wait(tasks, timeout=5)
    # In touch: a whole stable window has passed since the cut.
    bound = max(gone_at + DRAIN_MS / 1000, healed_at + STABLE_WINDOW_MS / 1000)
    record.write("bound of the rule: %.3f" % bound)
    broken = ["request %s reached %s %.2f s after its leaving was acknowledged and %.2f s after "
              "host-0 was in touch again" % (a[1], leaver.id, a[0] - gone_at,
                                             a[0] - healed_at - STABLE_WINDOW_MS / 1000)
              for a in leaver.arrivals if a[0] > bound]
    for request in leaver.cut_at_end:
        record.write("request %s was running on %s when it exited" % (request, leaver.id))
    return broken


sys.exit(run(case, os.path.dirname(os.path.abspath(__file__))))
