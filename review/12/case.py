"""A step of one task is advised on for the same four runners over and over.

The policy of a queue permits three of eight idle runners. With the disruption, one of the three
crashes for good before the job comes.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from world import BOUNDS, CannotRun, main

ADVICE = {"decision_ms": 50, "per_item_ms": 5, "validity_ms": 3000}
STEP = {"count": 1, "cpu": 2000, "mem_mb": 1024, "estimated_ms": 800}

# For so long a job may have nothing running, though its turn has come and there is room.
IDLE_S = 3


async def case(world, trouble):
    world.configure([world.route("r-quote", "/quote/", "quotes", advice=ADVICE)],
                    [world.service("quotes")])
    for _ in range(8):
        await world.add_runner("quotes")
    by_name = sorted(world.runners, key=lambda runner: runner.name)
    permitted = {by_name[place].name for place in (0, 6, 7)}
    world.advised = lambda step, runner: runner in permitted
    world.record("the policy of the queue permits", *sorted(permitted))
    for name in ("front-kewdale-1", "front-malaga-1", "front-jandakot-1"):
        await world.add_node(name)
    for node in world.nodes.values():
        if not await node.wait_ready():
            raise CannotRun(f"{node.name} is not ready")
    await asyncio.sleep(3)
    if trouble:
        await by_name[0].crash()
    # Longer than a lease, three heartbeats of a runner, and contact_timeout_ms.
    await asyncio.sleep(8)
    job = await world.submit("/quote/", [STEP], advised=True)
    if not job:
        raise CannotRun("the job was not accepted")
    world.record("the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    begun = time.monotonic()
    ran = False
    while time.monotonic() - begun < IDLE_S + 0.5:
        ran = ran or bool(world.running(job))
        await asyncio.sleep(0.02)
    state = await world.state(job)
    if ran or state == "completed":
        return True
    world.record("LOST: job", job, "is", state, "and has had nothing running for", IDLE_S, "s;",
                 by_name[6].name, "and", by_name[7].name, "are permitted and idle")
    return False


main(case)
