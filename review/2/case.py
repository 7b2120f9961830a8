"""The open connections to the store go silent. A host notices it later than the
stable window, and then holds a server's removal back as if the store had been
down: it sends requests to a server that left long ago."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import *

SERVES_ON_S = 2.6   # of the server that leaves, after its entry is removed
LEAVES_AFTER_S = STABLE_WINDOW_MS / 1000 + 0.2  # after the connections went silent


async def case(site, record, trouble):
    site.configure()
    servers = []
    for i in range(3):
        server = Server(site.store, record, "listings-ledger", "i-%d" % i, work_s=0.1)
        await server.start("127.0.0.1")
        servers.append(server)
    hosts = [await site.add_host(i, [0, 1, 2]) for i in range(3)]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.wait_ready()
    leaver = servers[2]
    tasks = []

    async def client(host):
        number = 0
        while True:
            number += 1
            kind = "unsafe" if number % 2 else "safe"
            tasks.append(asyncio.ensure_future(
                send_request(record, host, kind, "%s-%05d" % (host.name, number))))
            await asyncio.sleep(0.05)

    clients = [asyncio.ensure_future(client(host)) for host in hosts]
    await asyncio.sleep(5)  # all machines are in touch
    silent_at = record.now()
    if trouble:
        for host in hosts:
            count = host.door.silence_open_connections()
            record.write("%d connections of %s to the store go silent" % (count, host.name))
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver.remove_entry()
    gone_at = record.now()
    record.write("the store acknowledges that %s is gone" % leaver.id)
    await asyncio.sleep(SERVES_ON_S)
    record.write("server %s exits" % leaver.id)
    leaver.end()
    await asyncio.sleep(1)
    for task in clients:
        task.cancel()
    await asyncio.wait(tasks, timeout=5)
    # In touch: a whole stable window since the connections went silent.
    bound = max(gone_at + DRAIN_MS / 1000, silent_at + STABLE_WINDOW_MS / 1000)
    record.write("bound: %.3f" % bound)
    broken = ["request %s reached %s %.2f s after its leaving was acknowledged, %.2f s after the "
              "connections went silent" % (a[1], leaver.id, a[0] - gone_at, a[0] - silent_at)
              for a in leaver.arrivals if a[0] > bound]
    for request in leaver.cut_at_end:
        record.write("request %s was running on %s when it exited" % (request, leaver.id))
    return broken


sys.exit(run(case, os.path.dirname(os.path.abspath(__file__))))
