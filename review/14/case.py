"""A part of a prompt crashes each server that begins to write an answer on it.
It stands behind more than 64 other parts."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from deployment import *

PART = "dead0001"
DEADLY_EACH = 20  # Every so many requests, 1 in 20, have the part.
REQUESTS = 800
PAUSE_S = 0.05
OTHER_PARTS = 65


async def case(record, trouble):
    site = Site(record, entry_hosts=2, engines=4)
    engines = DeadlyPart(record, PART, trouble, events_before_crash=0)
    for ip in site.engine_ips:
        site.add_server("engine", ip, 12, engines.handle, engine=True)
    caller = PromptCaller(site)
    try:
        await site.start(make_config(routes=[STREAM_ROUTE], services=[ENGINE_SERVICE]))
        tasks = []
        for number in range(REQUESTS):
            deadly = number % DEADLY_EACH == DEADLY_EACH // 2
            # All requests share their first part. Those with the deadly part
            # have others before it, no two alike.
            own = "".join("%04x%04x:5," % (number, i) for i in range(OTHER_PARTS)) if deadly else ""
            prefix = "aaaa0001:40,%s%s%08x:300" % (own, PART + ":100," if deadly else "",
                                                   0x10000000 + number)
            tasks.append(asyncio.ensure_future(caller.send(
                "deadly" if deadly else "sound", number, "key-%d" % (1 + number % 3), prefix)))
            await asyncio.sleep(PAUSE_S)
        await asyncio.wait(tasks)
        sound = [result for result in caller.results if result[0] == "sound"]
        record("%d crashes, %d requests with the part reached servers, %d of %d sound requests "
               "were answered" % (len(engines.crashes), len(engines.arrivals),
                                  sum(result[4] for result in sound), len(sound)))
        if len(engines.crashes) < 5:
            return []
        bound_from = engines.crashes[4] + STABLE_WINDOW_S
        late = [at for at in engines.arrivals if at > bound_from]
        record("%d of them later than %.0f s after the fifth crash" % (len(late), STABLE_WINDOW_S))
        return (["BUDGET: %d requests with the part reached servers later than 3 s after the "
                 "fifth crash; at most 3 may" % len(late)] if len(late) > 3 else [])
    finally:
        site.stop()


run_case(case)
