"""A host that was cut off from the store takes a peer's records, misses that a
server has left, and sends requests to that server for ever after."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import *

CUT_S = 3.5          # core_cut: 5.5 s at most on the site
ROLL_GAP_S = 1.3     # roll_term: one at a time, each 1.3 s
START_AFTER_S = 1.5  # from the end of a stopped process to its start
SERVES_ON_S = 9.0    # of the server that leaves, after its entry is removed


async def roll(host, record):
    """The machine is stopped and started again."""
    record.write("%s gets SIGTERM" % host.name)
    host.signal(signal.SIGTERM)
    for _ in range(int(GRACE_S * 50)):
        if host.ended() is not None:
            break
        await asyncio.sleep(0.02)
    else:
        raise CannotRun("a stopped host did not end in its grace time")
    record.write("%s has ended with status %s" % (host.name, host.ended()))
    await asyncio.sleep(START_AFTER_S)
    record.write("%s is started again" % host.name)
    host.start()


async def case(site, record, trouble):
    site.configure()
    servers = []
    for i in range(3):
        server = Server(site.store, record, "listings-ledger", "i-%d" % i)
        await server.start("127.0.0.1")
        servers.append(server)
    hosts = [await site.add_host(i, [0, 1, 2]) for i in range(3)]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.wait_ready()
    watched, leaver = hosts[0], servers[2]
    loop = asyncio.get_running_loop()
    results, tasks = [], []

    async def client():
        number = 0
        while True:
            number += 1
            kind = "unsafe" if number % 2 else "safe"
            tasks.append(asyncio.ensure_future(
                send_request(record, watched, kind, "r%05d" % number)))
            await asyncio.sleep(0.05)

    clients = asyncio.ensure_future(client())
    await asyncio.sleep(5)  # all machines are in touch
    rolls = [asyncio.ensure_future(roll(hosts[1], record))]
    await asyncio.sleep(ROLL_GAP_S)
    rolls.append(asyncio.ensure_future(roll(hosts[2], record)))
    while hosts[1].ended() is None:
        await asyncio.sleep(0.02)
    if trouble:
        record.write("host-0 is cut off from the store")
        watched.door.cut()
    healed_at = record.now() + CUT_S
    while hosts[2].ended() is None:
        await asyncio.sleep(0.02)
    if hosts[1].ended() is None:
        raise CannotRun("the first host was back before the second had ended")
    leaver.remove_entry()
    gone_at = record.now()
    record.write("the store acknowledges that %s is gone" % leaver.id)
    await asyncio.sleep(max(0, healed_at - record.now()))
    healed_at = record.now()
    if trouble:
        record.write("host-0 reaches the store again")
        watched.door.heal()
    await asyncio.gather(*rolls)
    await asyncio.sleep(max(0, gone_at + SERVES_ON_S - record.now()))
    record.write("server %s exits" % leaver.id)
    leaver.end()
    await asyncio.sleep(1)
    clients.cancel()
    await asyncio.wait(tasks, timeout=5)
    # In touch: a whole stable window since the cut has passed.
    bound = max(gone_at + DRAIN_MS / 1000, healed_at + STABLE_WINDOW_MS / 1000)
    record.write("bound: %.3f" % bound)
    late = [a for a in leaver.arrivals if a[0] > bound]
    broken = ["request %s reached %s %.2f s after its leaving was acknowledged, %.2f s after "
              "host-0 was in touch" % (a[1], leaver.id, a[0] - gone_at,
                                       a[0] - healed_at - STABLE_WINDOW_MS / 1000) for a in late]
    broken += ["request %s was accepted by %s after the bound and cut when it exited" %
               (r, leaver.id) for r in leaver.cut_at_end if broken]
    return broken


sys.exit(run(case, os.path.dirname(os.path.abspath(__file__))))
