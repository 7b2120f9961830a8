"""The operator takes the last tenant and its keys out of the configuration; from
then on every request is served, with any key."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import *

CONFIG_APPLY_S = 2.0
HELD, NEVER_HELD = b"n2ctnfzs989a", b"zzzzzzzzzzzz"


async def case(site, record, trouble):
    site.configure(version=1)
    server = Server(site.store, record, "listings-ledger", "i-0")
    await server.start("127.0.0.1")
    hosts = [await site.add_host(i, [0, 1]) for i in range(2)]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(4)  # all machines are in touch
    keys, broken = {}, []

    async def send(round_name):
        for host in hosts:
            for key in (HELD, NEVER_HELD):
                for kind, target in (("POST", "/post/a"), ("GET", "/fetch/a")):
                    request = "%s-%s-%s-%s" % (round_name, host.name, key.decode()[:2], kind)
                    keys[request] = key
                    raw = request_bytes(kind, target, request, body=b"x").replace(HELD, key)
                    record.write("client sends %s with key %s" % (request, key.decode()))
                    answer = await ask(host.callers, raw)
                    record.write("client gets %d for %s" % (answer.status, request))

    await send("before")
    if trouble:
        site.configure(version=2, tenants=[])
        record.write("the store acknowledges version 2, without the tenant and its key")
    else:
        site.configure(version=2)
        record.write("the store acknowledges version 2, with the same tenant and key")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    await send("after")
    for at, request, _, target, headers, _ in server.arrivals:
        if keys[request] == NEVER_HELD:
            broken.append("ROUTE: request %s ran with a key that no configuration ever held" % request)
        elif request.startswith("after") and trouble:
            broken.append("CONFIG: request %s ran with a dropped key %.1f s after the "
                          "acknowledgement" % (request, CONFIG_APPLY_S + 0.5))
    if not [a for a in server.arrivals if a[1].startswith("before")]:
        raise CannotRun("no request with a key that is in force was run")
    return broken


sys.exit(run(case, os.path.dirname(os.path.abspath(__file__))))
