"""A wave while the machine service is away for a while: does the system keep to `may_miss`?

Exit status: 1 if an order of the system ended a task at work while as many others of its step as
`may_miss` allows were away, 0 if not, 2 if the case could not run. With TROUBLE=0 the machine
service is never away.
"""

import asyncio
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    LASTING_START_S,
    Platform,
    Record,
    Runner,
    call,
    free_port,
    node_address,
    settings,
)

NODE = ROOT / "target/release/hoisthitch-node"
MACHINES = int(os.environ.get("MACHINES", 3))
TASKS = int(os.environ.get("TASKS", 5))
MAY_MISS = 1
MAINTENANCE_S = 2.0
NOTICE_S = 4.5
BEAT_S = 1.5
# The site file's largest time for an outage is 4.5 s; `kinds` gives 5 s where none is named.
OUTAGE_S = 4.0
WATCHED_S = 45
JOB = "5c0e7a21d94b36f8"
HOST = {"Host": "jepu9.example", "Content-Type": "application/json"}


class Fleet:
    """Machines and their runners, and the platform's calls about them."""

    def __init__(self, platform, record):
        self.platform = platform
        self.record = record
        self.machines = {}  # name: [state, runner, address]
        self.waves = {}  # number: machines
        self.upkept = set()  # (wave, machine)
        self.lives = []
        self.orders = []  # (time, machine)
        self.away_until = None
        platform.cloud = self.handle

    async def add(self, machine):
        runner = Runner(f"i-{len(self.lives):04x}{machine[-4:]}", 8_000, self.record)
        address = ("127.0.0.1", free_port("127.0.0.1"))
        await runner.start(*address)
        self.lives.append(runner)
        self.machines[machine] = ["up", runner, address]
        asyncio.create_task(self.beat(machine, runner, address))

    def facts(self, machine):
        number = int(machine[-1])
        return {
            "zone": ("charlotte", "greenville")[number % 2],
            "labels": ["a", f"r{number % 2}-1"],
            "capacity": {"cpu": 8_000, "mem_mb": 32_768, "gpu": 0},
        }

    async def beat(self, machine, runner, address):
        """Writes the runner's entry; it goes after three beats of silence."""
        sequence = 0
        while not runner.dead:
            sequence += 1
            entry = {
                "service": "huvo11a",
                "address": f"{address[0]}:{address[1]}",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "machine": machine,
                **self.facts(machine),
            }
            await self.platform.put(f"servers/{runner.name}", entry)
            await asyncio.sleep(BEAT_S)
        await asyncio.sleep(2 * BEAT_S)
        await self.platform.change({}, [f"servers/{runner.name}"])

    async def handle(self, name, body, headers):
        now = time.monotonic()
        trouble = os.environ.get("TROUBLE") != "0"
        if name == "machine-upkeep" and self.away_until is None and trouble:
            self.away_until = now + OUTAGE_S
            self.record.write(f"the machine service is away for {OUTAGE_S} s, from this order on")
        if self.away_until is not None and now < self.away_until:
            if name != "machines":
                self.record.write(f"{name} of {body.get('machine')}: answered 503, not done")
            return 503, {}
        if name == "machines":
            rows = []
            for machine, (state, runner, _) in self.machines.items():
                row = {"machine": machine, "pool": "huvo11a", "state": state}
                row["id"] = runner.name if state == "up" else ""
                rows.append({**row, **self.facts(machine)})
            return 200, {"machines": rows, "next_token": None}
        machine = body["machine"]
        if name != "machine-upkeep" or machine not in self.machines:
            return 400, {}
        wave = body["wave"]
        if machine not in self.waves.get(wave, []):
            return 409, {"reason": "wave"}
        if (wave, machine) in self.upkept:
            return 200, {}
        state, runner, _ = self.machines[machine]
        if state != "up":
            return 409, {"reason": "busy"}
        self.upkept.add((wave, machine))
        holder = headers.get("hoisthitch-duty-holder")
        self.record.write(f"{machine}: upkeep begins, ordered by {holder}; {runner.name} ends")
        self.machines[machine][0] = "upkeep"
        runner.die()
        asyncio.create_task(self.return_later(machine))
        return 200, {}

    async def return_later(self, machine):
        await asyncio.sleep(MAINTENANCE_S)
        self.record.write(f"{machine}: upkeep is over; a new runner comes")
        await self.add(machine)


async def run(record, processes, folder):
    platform = Platform()
    platform_at = ("127.0.0.1", free_port("127.0.0.1"))
    await platform.start(*platform_at)
    fleet = Fleet(platform, record)
    names = [f"m-0a3f{number}" for number in range(MACHINES)]
    for name in names:
        await fleet.add(name)
    route = {
        "name": "r-ex5wa5x",
        "host": "jepu9.example",
        "path_prefix": "/zizi35/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 2500,
        "priority": 0,
        "service": "huvo11a",
        "max_attempts": 3,
        "stretch": 2.2,
    }
    service = {"name": "huvo11a", "admission_check": True, "spare": False}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
    config = {"version": 7, "routes": [route], "services": [service], "limits": limits}
    await platform.put("op/config", config)
    fronts = []
    for number, zone in enumerate(("charlotte", "greenville")):
        host = node_address()
        ports = [free_port(host) for _ in range(3)]
        path = pathlib.Path(folder) / f"settings-{number}.toml"
        text = settings(f"front-{zone}-1", zone, host, ports, platform_at)
        path.write_text(text, encoding="utf-8")
        env = {"HOISTHITCH_SETTINGS": str(path), "PATH": os.environ["PATH"]}
        log = open(pathlib.Path(folder) / f"node-{number}.log", "w", encoding="utf-8")
        processes.append(subprocess.Popen([NODE], cwd=ROOT, env=env, stdout=log, stderr=log))
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
    step = {
        "count": TASKS,
        "cpu": 1_000,
        "mem_mb": 1_024,
        "long_running": True,
        "may_miss": MAY_MISS,
    }
    host, front, _ = fronts[0]
    body = {"spec": "0", "steps": [step]}
    status, _ = await call(host, front, "POST", f"/zizi35/{JOB}", HOST, body)
    record.write(f"client: POST of job {JOB} answered {status}")
    if status != 200:
        return 2
    await asyncio.sleep(4)
    if sum(len(runner.running) for runner in fleet.lives) != TASKS:
        record.write("the tasks did not all begin")
        return 2
    fleet.waves[1] = names
    wave = {"wave": 1, "machines": names, "duration_s": 40, "upper_limit": 2}
    record.write("operator: wave 1, at most 2 machines at once")
    await platform.put("op/wave/1", wave)
    for _ in range(WATCHED_S * 2):
        await asyncio.sleep(0.5)
        if len(fleet.upkept) == len(names):
            await asyncio.sleep(3)
            break
    record.write(f"{len(fleet.upkept)} of {len(names)} machines had their upkeep")
    return judge(record, fleet)


def judge(record, fleet):
    """AVAIL: an order ends a task at work while MAY_MISS others of its step are away."""
    runs = []
    for runner in fleet.lives:
        for task, run_number, begin, end, how in runner.intervals:
            runs.append((task, run_number, begin, end, how, runner.name))
        for task, (run_number, begin, _) in runner.running.items():
            begun = begin - record.begin
            runs.append((task, run_number, begun, float("inf"), "open", runner.name))
    by_task = {}
    for one in sorted(runs, key=lambda one: one[2]):
        by_task.setdefault(one[0], []).append(one)
    broken = False
    for task, own in by_task.items():
        for one in own:
            end, how = one[3], one[4]
            if how not in ("stopped", "lost") or end < one[2] + LASTING_START_S:
                continue
            away = [other for other in by_task if other != task and is_away(by_task[other], end)]
            if len(away) >= MAY_MISS:
                broken = True
                record.write(
                    f"AVAIL: {task} run {one[1]} on {one[5]} is ended ({how}) at {end:.3f} s;"
                    f" away are {', '.join(away)}, and {MAY_MISS} may be"
                )
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


def is_away(runs, at):
    """Whether a task was ended by an order before `at` and isn't at work again, or hasn't been at
    work for the notice time."""
    last_work = 0.0
    ended_by_order = False
    for _, _, begin, end, how, _ in runs:
        if begin + LASTING_START_S <= at < end:
            return False
        if begin + LASTING_START_S < end <= at:
            last_work = end
            ended_by_order = how in ("stopped", "lost")
    return ended_by_order or at - last_work >= NOTICE_S


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
    if os.environ.get("KEEP_LOGS"):
        for log in pathlib.Path(folder).glob("*.log"):
            shutil.copy(log, os.environ["KEEP_LOGS"])
    shutil.rmtree(folder, ignore_errors=True)
    # The stand-ins end with the process.
    os._exit(result)


main()
