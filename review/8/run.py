"""A runner lists at most 500 ends at once. While the store is down, ends can't be noted, and
more than 500 tasks of one job end on one runner. Rule TWICE: no task may be started again after
a run of it has ended `done` and that end is noted then or later."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import CannotRun, Runner, World, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
OTHER_JOB = "5c0e7a21d94b36f9"
TASKS = 640
OTHER_TASKS = 60
OTHER_WORK_MS = 12_000
WORK_MS = 3000
USUAL_MS = 4
SLOW_MS = 60 * USUAL_MS
SLOW_S = 4.5

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


def judge(world, starts, dones):
    """Starts after an end `done` that was noted, where the runner's lease had not lapsed."""
    noted = {(runner, task, run): at for at, runner, task, run, how in world.notes
             if how == "done"}
    broken = []
    for task, run, at, runner in starts:
        for done_task, done_run, ended_at, done_runner in dones.get(task, []):
            noted_at = noted.get((done_runner, task, done_run))
            if run == done_run or noted_at is None or ended_at >= at:
                continue
            lapses = world.runner_by_id(done_runner).lapsed_at
            if any(ended_at <= lapse <= noted_at for lapse in lapses):
                continue
            broken.append(f"TWICE: {task} run {done_run} ended done at {ended_at} s, noted at "
                          f"{noted_at} s; run {run} began at {at} s on {runner}")
    return broken


async def submit(world, job, tasks, work_ms):
    steps = [{"count": tasks, "cpu": 50, "mem_mb": 100, "estimated_ms": work_ms}]
    world.jobs[job] = {"steps": steps}
    status, _ = await world.nodes[0].call("POST", f"/hold/{job}", {"spec": "s", "steps": steps})
    if status != 200:
        raise CannotRun(f"a job was not accepted: {status}")


async def play(world):
    starts, dones = [], {}
    record = world.record

    def watch(kind, **fields):
        record(kind, **fields)
        if kind == "start" and fields["status"] == 200 and fields["reason"] == "begun":
            starts.append((fields["task"], fields["run"], world.now(), fields["runner"]))
        if kind == "ended" and fields["how"] == "done":
            row = (fields["task"], fields["run"], world.now(), fields["runner"])
            dones.setdefault(fields["task"], []).append(row)

    world.record = watch
    world.runners = [Runner(world, number, "halls") for number in range(1, 4)]
    await world.start(2, CONFIG)
    world.store.delay_ms = USUAL_MS
    await asyncio.sleep(2)
    await submit(world, JOB, TASKS, WORK_MS)

    async def all_begun():
        return len({start[0] for start in starts}) == TASKS

    await world.until(all_begun, 10, "not all tasks began")
    await submit(world, OTHER_JOB, OTHER_TASKS, OTHER_WORK_MS)
    await asyncio.sleep(0.7)
    most = max(len(runner.running) for runner in world.runners)
    world.record("all_begun", most_on_a_runner=most)
    if world.trouble:
        if most <= 500:
            raise CannotRun(f"no runner has more than 500 tasks: {most}")
        world.record("store_slow", delay_ms=SLOW_MS, seconds=SLOW_S)
        world.store.delay_ms = SLOW_MS
        await asyncio.sleep(SLOW_S)
        world.store.delay_ms = USUAL_MS
        world.record("store_usual")

    async def completed():
        _, answer = await world.nodes[1].call("GET", f"/hold/{JOB}")
        await asyncio.sleep(0.5)
        return answer is not None and answer.get("state") == "completed"

    await world.until(completed, 40, "the job was not completed")
    await asyncio.sleep(2)
    broken = judge(world, starts, dones)
    print(f"{len(starts)} starts of {TASKS} tasks, {len(broken)} after a noted end")
    return broken[:5]


sys.exit(run_case(HERE, play))
