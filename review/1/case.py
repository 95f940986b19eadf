"""A runner behind a cut that resets: is a task run twice at the same time?

Exit status: 1 if two runs of one task overlapped, 0 if not, 2 if the case could not run.
With TROUBLE=0 the cut is left out.
"""

import asyncio
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    Platform,
    Proxy,
    Record,
    Runner,
    call,
    free_port,
    node_address,
    settings,
)

NODE = ROOT / "target/release/hoisthitch-node"
RUNNERS = 6
TASKS = 4
TASK_MS = 9_000
# Shorter than the 5.5 s that the site file gives to a cut of servers.
CUT_S = 3.0
JOB = "5c0e7a21d94b36f8"
HOST = {"Host": "jepu9.example", "Content-Type": "application/json"}


async def wait_for(condition, seconds):
    for _ in range(int(seconds * 50)):
        if condition():
            return True
        await asyncio.sleep(0.02)
    return condition()


async def run(record, processes, folder):
    platform = Platform()
    platform_at = ("127.0.0.1", free_port("127.0.0.1"))
    await platform.start(*platform_at)
    runners, proxies = [], []
    for number in range(RUNNERS):
        runner = Runner(f"i-7f3a91c{number}", 4_000, record)
        address = ("127.0.0.1", free_port("127.0.0.1"))
        await runner.start(*address)
        proxy = Proxy("127.0.0.1", free_port("127.0.0.1"), address)
        await proxy.start()
        runners.append(runner)
        proxies.append(proxy)
        zone = ("charlotte", "greenville")[number % 2]
        labels = ["a", f"r{number % 2}-1"]
        capacity = {"cpu": 4_000, "mem_mb": 32_768, "gpu": 0}
        platform.machines.append(
            lambda number=number, zone=zone, labels=labels, capacity=capacity: {
                "machine": f"m-0a3f{number}",
                "pool": "huvo11a",
                "state": "up",
                "zone": zone,
                "labels": labels,
                "capacity": capacity,
                "id": f"i-7f3a91c{number}",
            }
        )

    async def beat():
        """The runners' entries; a runner behind the cut still reaches the store."""
        sequence = 0
        while True:
            sequence += 1
            for number, runner in enumerate(runners):
                row = platform.machines[number]()
                entry = {
                    "service": "huvo11a",
                    "address": f"127.0.0.1:{proxies[number].port}",
                    "zone": row["zone"],
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": sequence,
                    "machine": row["machine"],
                    "capacity": row["capacity"],
                    "labels": row["labels"],
                }
                await platform.put(f"servers/{runner.name}", entry)
            await asyncio.sleep(1.5)

    route = {
        "name": "r-m68k7b2",
        "host": "jepu9.example",
        "path_prefix": "/zizi35/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": "huvo11a",
        "max_attempts": 3,
        "stretch": 1.6,
    }
    service = {"name": "huvo11a", "admission_check": True, "spare": False}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
    config = {"version": 7, "routes": [route], "services": [service], "limits": limits}
    await platform.put("op/config", config)
    beats = asyncio.create_task(beat())

    fronts = []
    for number, zone in enumerate(("charlotte", "greenville")):
        host = node_address()
        ports = [free_port(host) for _ in range(3)]
        path = pathlib.Path(folder) / f"settings-{number}.toml"
        text = settings(f"front-{zone}-1", zone, host, ports, platform_at)
        path.write_text(text, encoding="utf-8")
        env = {"HOISTHITCH_SETTINGS": str(path), "PATH": os.environ["PATH"]}
        log = open(pathlib.Path(folder) / f"node-{number}.log", "w", encoding="utf-8")
        process = subprocess.Popen([NODE], cwd=ROOT, env=env, stdout=log, stderr=log)
        processes.append(process)
        fronts.append((host, ports[0], ports[1]))
    for host, _, readiness in fronts:
        for _ in range(100):
            status, _ = await call(host, readiness, "GET", "/hoisthitch/readiness", {})
            if status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            record.write("a node did not become ready")
            return 2
    await asyncio.sleep(2)
    step = {"count": TASKS, "cpu": 3_000, "mem_mb": 1_024, "estimated_ms": TASK_MS}
    body = {"spec": str(TASK_MS), "steps": [step]}
    host, front, _ = fronts[0]
    status, _ = await call(host, front, "POST", f"/zizi35/{JOB}", HOST, body)
    record.write(f"client: POST of job {JOB} answered {status}")
    if status != 200:
        return 2

    def all_run():
        return sum(len(runner.running) for runner in runners) == TASKS

    if not await wait_for(all_run, 10):
        record.write("the tasks did not all begin")
        return 2
    await asyncio.sleep(1)
    chosen = next(number for number, runner in enumerate(runners) if runner.running)
    if os.environ.get("TROUBLE") != "0":
        record.write(f"{runners[chosen].name}: cut off for {CUT_S} s; connections are reset")
        await proxies[chosen].refuse()
        await asyncio.sleep(CUT_S)
        await proxies[chosen].start()
        record.write(f"{runners[chosen].name}: the cut is over")

    state = ""
    for _ in range(150):
        await asyncio.sleep(0.2)
        status, text = await call(host, front, "GET", f"/zizi35/{JOB}", HOST)
        state = text
        if status == 200 and "completed" in text:
            break
    record.write(f"client: the job's last state is {state}")
    beats.cancel()
    return judge(record, runners)


def judge(record, runners):
    """Whether two runs of one task went on at the same time, on runners that are up."""
    runs = []
    for runner in runners:
        runs += [(*interval, runner.name) for interval in runner.intervals]
        for task, (run_number, begin, _) in runner.running.items():
            begun = begin - record.begin
            runs.append((task, run_number, begun, record.now(), "open", runner.name))
    broken = False
    runs.sort(key=lambda interval: (interval[0], interval[2]))
    for at, one in enumerate(runs):
        for other in runs[at + 1 :]:
            if one[0] == other[0] and other[2] < one[3]:
                broken = True
                record.write(
                    f"TWICE: {one[0]} run {one[1]} on {one[5]} from {one[2]:.3f} to {one[3]:.3f} s"
                    f" ({one[4]}), and run {other[1]} on {other[5]} from {other[2]:.3f} s"
                )
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


def main():
    record = Record(HERE / "record.txt")
    processes = []
    folder = tempfile.mkdtemp()
    try:
        loop = asyncio.new_event_loop()
        result = loop.run_until_complete(asyncio.wait_for(run(record, processes, folder), 100))
    except Exception as err:  # noqa: BLE001
        record.write(f"the case could not run: {err!r}")
        result = 2
    for process in processes:
        process.kill()
        process.wait()
    shutil.rmtree(folder, ignore_errors=True)
    # The stand-ins end with the process.
    os._exit(result)


main()
