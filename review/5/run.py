"""Eight runners, each with tasks that last, of twenty jobs. One of the jobs can never be done:
its tasks fail soon after each start, and after some seconds it is cancelled. Rule LOST: a job
that is accepted afterwards must begin: 3 s with nothing running, in calm and with capacity twice
over, break the rule."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import CannotRun, Runner, World, run_case  # noqa: E402

LASTING = [f"{0x5c0e7a21d94b3600 + number:016x}" for number in range(19)]
# One of twenty jobs: 5 percent, as the site has it.
HOPELESS = "5c0e7a21d94b3613"
GOOD = "5c0e7a21d94b3620"
RUNNERS = 8
HOPELESS_S = 10.0
CALM_S = 8.0
WATCH_S = 15.0
NOTHING_RUNS_S = 3.0

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "halls.example", "path_prefix": "/hold/", "kind": "unsafe",
                "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "halls",
                "max_attempts": 3, "stretch": 1.6},
               {"name": "r-2", "host": "halls.example", "path_prefix": "/roster/",
                "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0,
                "service": "halls", "max_attempts": 3, "stretch": 2.2}],
    "services": [{"name": "halls", "health_path": "/health", "max_connections": 64,
                  "protocol": "h1", "tls": False, "admission_check": True, "spare": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


async def submit(world, prefix, job, step, hopeless=False):
    world.jobs[job] = {"steps": [step], "hopeless": hopeless}
    body = {"spec": "s", "steps": [step]}
    status, _ = await world.nodes[0].call("POST", f"/{prefix}/{job}", body)
    if status != 200:
        raise CannotRun(f"a job was not accepted: {status}")


async def state(world, prefix, job):
    _, answer = await world.nodes[1].call("GET", f"/{prefix}/{job}")
    return (answer or {}).get("state")


async def play(world):
    world.runners = [Runner(world, number, "halls") for number in range(1, RUNNERS + 1)]
    await world.start(2, CONFIG)
    world.store.delay_ms = 4
    await asyncio.sleep(2)
    lasting = {"count": RUNNERS, "cpu": 260, "mem_mb": 970, "estimated_ms": 500,
               "anti_affinity": 1, "long_running": True, "may_miss": 2}
    short = {"count": 6, "cpu": 1800, "mem_mb": 5100, "estimated_ms": 800}
    for job in LASTING:
        await submit(world, "roster", job, lasting)

    async def all_last():
        return all(len(runner.running) == len(LASTING) for runner in world.runners)

    await world.until(all_last, 20, "the tasks that last did not begin")
    await asyncio.sleep(1.5)
    if world.trouble:
        await submit(world, "roster", HOPELESS, dict(lasting, count=5), hopeless=True)
        await asyncio.sleep(HOPELESS_S)
        status, _ = await world.nodes[0].call("DELETE", f"/roster/{HOPELESS}")
        if status != 200:
            raise CannotRun(f"the hopeless job was not cancelled: {status}")
    await asyncio.sleep(CALM_S)
    await submit(world, "hold", GOOD, short)
    accepted = world.now()

    def runs():
        tasks = (task for runner in world.runners for task in runner.running)
        return any(task.startswith(GOOD) for task in tasks)

    last, longest, ended = accepted, 0.0, None
    while ended != "completed" and world.now() < accepted + WATCH_S:
        await asyncio.sleep(0.05)
        if runs():
            last = world.now()
        longest = max(longest, world.now() - last)
        if int(world.now() * 20) % 20 == 0:
            ended = await state(world, "hold", GOOD)
    used = max(runner.used() / runner.capacity["cpu"] for runner in world.runners)
    world.record("watched", longest_s=round(longest, 1), state=ended, most_used=round(used, 2))
    print(f"the good job had nothing running for {longest:.1f} s and is shown as {ended}; no "
          f"runner uses more than {used:.0%} of its processors")
    if longest <= NOTHING_RUNS_S:
        return []
    return [f"LOST: {GOOD} was accepted at {accepted} s and does not run"]


sys.exit(run_case(HERE, play))
