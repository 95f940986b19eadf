"""A gang of six tasks runs alone on a runner, which crashes once and is back after a second. Rule
LOST: the job may not be shown as `failed` without cause."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import CannotRun, Runner, World, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = 6
WORK_MS = 1500
CRASH_AFTER_S = 0.3
DOWN_S = 1.0

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "halls.example", "path_prefix": "/hold/", "kind": "unsafe",
                "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "halls",
                "max_attempts": 3, "stretch": 1.6}],
    "services": [{"name": "halls", "health_path": "/health", "max_connections": 64,
                  "protocol": "h1", "tls": False, "admission_check": True, "spare": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


async def play(world):
    world.runners = [Runner(world, number, "halls") for number in range(1, 9)]
    await world.start(2, CONFIG)
    world.store.delay_ms = 4
    await asyncio.sleep(10)
    steps = [{"count": TASKS, "cpu": 1800, "mem_mb": 5100, "estimated_ms": WORK_MS, "gang": True}]
    world.jobs[JOB] = {"steps": steps}
    status, _ = await world.nodes[0].call("POST", f"/hold/{JOB}", {"spec": "s", "steps": steps})
    if status != 200:
        raise CannotRun(f"the job was not accepted: {status}")

    async def all_run():
        return sum(len(runner.running) for runner in world.runners) == TASKS

    await world.until(all_run, 10, "the gang did not begin")
    await asyncio.sleep(CRASH_AFTER_S)
    crashes = 0
    if world.trouble:
        runner = next(runner for runner in world.runners if runner.running)
        if len(runner.running) != TASKS:
            raise CannotRun("the gang runs on several runners")
        runner.crash()
        crashes = 1
        await asyncio.sleep(DOWN_S)
        await runner.restart(20)
    state = None
    end = world.now() + 30
    while world.now() < end and state not in ("completed", "failed"):
        await asyncio.sleep(0.2)
        _, answer = await world.nodes[1].call("GET", f"/hold/{JOB}")
        state = (answer or {}).get("state")
    failed = sum(how == "failed" for *_, how in world.notes)
    print(f"{crashes} crashes, {failed} ends `failed`; the job is shown as {state}")
    if state == "completed":
        return []
    return [f"LOST: {JOB} is shown as {state} after {crashes} crash and {failed} failed runs"]


sys.exit(run_case(HERE, play))
