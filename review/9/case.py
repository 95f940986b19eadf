"""One job that finds no room keeps all later jobs of advised queues from their advice.

Seven of eight runners carry a task that lasts, the eighth is empty. With the disruption, the
empty one crashes for good. A job whose only task needs nearly a whole runner then has to wait.
Six small jobs follow, for which seven runners have room many times over.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from world import BOUNDS, CannotRun, main

ADVICE = {"decision_ms": 50, "per_item_ms": 5, "validity_ms": 3000}
LASTING = {"count": 7, "cpu": 4000, "mem_mb": 4096, "long_running": True, "anti_affinity": 1,
           "may_miss": 1}
LARGE = {"count": 1, "cpu": 30000, "mem_mb": 8192, "estimated_ms": 1000}
SMALL = {"count": 4, "cpu": 2000, "mem_mb": 1024, "estimated_ms": 800}

# For so long a job may have nothing running, though its turn has come and there is room.
IDLE_S = 3


async def case(world, trouble):
    world.configure(
        [world.route("r-plan", "/plan/", "regional", advice=ADVICE),
         world.route("r-ledger", "/ledger/", "regional", target_latency_ms=2500)],
        [world.service("regional")])
    for _ in range(8):
        await world.add_runner("regional")
    # The policy permits every runner.
    world.advised = lambda step, runner: True
    for name in ("front-kewdale-1", "front-malaga-1", "front-jandakot-1"):
        await world.add_node(name)
    for node in world.nodes.values():
        if not await node.wait_ready():
            raise CannotRun(f"{node.name} is not ready")
    ledger = await world.submit("/ledger/", [LASTING])
    for _ in range(150):
        await asyncio.sleep(0.1)
        if ledger and len(world.running(ledger)) == LASTING["count"]:
            break
    else:
        raise CannotRun("the tasks that last have not begun")
    empty = [runner for runner in world.runners if not runner.runs]
    if len(empty) != 1:
        raise CannotRun("not one runner is empty")
    if trouble:
        await empty[0].crash()
    # Longer than a lease, three heartbeats of a runner, and contact_timeout_ms.
    await asyncio.sleep(8)
    large = await world.submit("/plan/", [LARGE], advised=True)
    await asyncio.sleep(1)
    small = []
    for _ in range(6):
        small.append(await world.submit("/plan/", [SMALL], advised=True))
        await asyncio.sleep(0.5)
    if not large or not all(small):
        raise CannotRun("a job was not accepted")
    world.record("the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    begun = time.monotonic()
    ran = set()
    while time.monotonic() - begun < IDLE_S + 0.5:
        ran |= {job for job in small if world.running(job)}
        await asyncio.sleep(0.02)
    states = {job: await world.state(job) for job in [large, *small]}
    world.record("calls for advice:", world.advice_calls, "states:", states)
    lost = [job for job in small if job not in ran and states[job] != "completed"]
    for job in lost:
        world.record("LOST: job", job, "has had nothing running for", IDLE_S, "s; 7 runners have",
                     "28 of 32 cores free each, and it needs 8")
    return not lost


main(case)
