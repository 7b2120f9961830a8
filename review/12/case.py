"""Sound requests that share two parts of their prompt with one that crashed a
server are refused for as long as the parts are suspect."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from deployment import *

PART = "dead0001"
CALM_S = 10  # Before the first request with the part.
PLAYED_S = 45
PAUSE_S = 0.05
DEADLY_EACH = 20


async def case(record, trouble):
    site = Site(record, entry_hosts=2, engines=4)
    engines = DeadlyPart(record, PART, trouble, events_before_crash=0)
    for ip in site.engine_ips:
        site.add_server("engine", ip, 12, engines.handle, engine=True)
    caller = PromptCaller(site)
    try:
        await site.start(make_config(routes=[STREAM_ROUTE], services=[ENGINE_SERVICE]))
        tasks = []
        for number in range(int(PLAYED_S / PAUSE_S)):
            deadly = number * PAUSE_S >= CALM_S and number % DEADLY_EACH == DEADLY_EACH // 2
            tenant = 1 if deadly else 1 + number % 3
            # As in the example of the page: two parts that requests share, and
            # one of their own.
            prefix = "aaaa%04d:40,bbbb%04d:100,%s%08x:300" % (
                tenant, tenant, PART + ":100," if deadly else "", 0x10000000 + number)
            tasks.append(asyncio.ensure_future(caller.send(
                "deadly" if deadly else "sound", number, "key-%d" % tenant, prefix)))
            await asyncio.sleep(PAUSE_S)
        await asyncio.wait(tasks)
        same = [result for result in caller.results if result[0] == "sound" and result[2] == "key-1"]
        deadly = [result for result in caller.results if result[0] == "deadly"]
        calm = [result[3] for result in same if result[1] < deadly[0][1]]
        record("%d crashes; before, %d of %d sound requests of the same caller began at the first "
               "attempt" % (len(engines.crashes), sum(calm), len(calm)))
        if trouble and not engines.crashes:
            raise CannotRun("no server crashed")
        last = engines.crashes[min(4, len(engines.crashes) - 1)] if trouble else deadly[0][1]
        judged = [result[3] for result in same
                  if last + 2 * STABLE_WINDOW_S < result[1] < deadly[-1][1]]
        if len(calm) < 20 or len(judged) < 20:
            raise CannotRun("too few requests to judge")
        record("from %.0f s after the crash, %d of %d began at the first attempt" % (
            2 * STABLE_WINDOW_S, sum(judged), len(judged)))
        return (["LOST: %d of %d sound requests with the same key and first part began at the "
                 "first attempt, before %d of %d" % (sum(judged), len(judged), sum(calm),
                                                     len(calm))]
                if sum(judged) / len(judged) < 0.5 * sum(calm) / len(calm) else [])
    finally:
        site.stop()


run_case(case)
