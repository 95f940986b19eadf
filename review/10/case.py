"""A task that lasts is never started again after one order without an answer.

Twenty jobs of one task that lasts come to a queue with advice. With the disruption, one connection
to a runner goes silent for good as a start is sent on it; others work.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from world import BOUNDS, CannotRun, main

VALIDITY_MS = 1500
ADVICE = {"decision_ms": 50, "per_item_ms": 5, "validity_ms": VALIDITY_MS}
LASTING = {"count": 1, "cpu": 2000, "mem_mb": 4096, "long_running": True}
JOBS = 20

# Number of the start whose connection goes silent: it never arrives, and gets no answer.
UNANSWERED = 10

# For so long a job may have nothing running, though its turn has come and there is room.
IDLE_S = 3


async def case(world, trouble):
    world.validity_ms = VALIDITY_MS
    world.configure([world.route("r-audit", "/audit/", "admin", advice=ADVICE,
                                 target_latency_ms=2500)], [world.service("admin")])
    for _ in range(8):
        await world.add_runner("admin")
    # The policy permits every runner.
    world.advised = lambda step, runner: True
    starts = 0

    def is_silenced(runner, name, body):
        nonlocal starts
        starts += name == "run-start"
        return trouble and name == "run-start" and starts == UNANSWERED

    world.is_silenced = is_silenced
    for name in ("front-kewdale-1", "front-malaga-1", "front-jandakot-1"):
        await world.add_node(name)
    for node in world.nodes.values():
        if not await node.wait_ready():
            raise CannotRun(f"{node.name} is not ready")
    await asyncio.sleep(4)
    jobs = []
    for _ in range(JOBS):
        jobs.append(await world.submit("/audit/", [LASTING], advised=True))
        await asyncio.sleep(0.3)
    if not all(jobs):
        raise CannotRun("a job was not accepted")
    world.record("the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    if trouble and starts < UNANSWERED:
        raise CannotRun("no connection went silent")
    begun = time.monotonic()
    ran = set()
    while time.monotonic() - begun < IDLE_S + 0.5:
        ran |= {job for job in jobs if world.running(job)}
        await asyncio.sleep(0.02)
    lost = [job for job in jobs if job not in ran]
    for job in lost:
        world.record("LOST: job", job, "is", await world.state(job), "and has had nothing running",
                     "for", IDLE_S, "s; it needs 2 cores, and each of 8 runners has 22 and more")
    return not lost


main(case)
