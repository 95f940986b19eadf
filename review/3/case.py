"""A wave in which services have a single machine each: does their work still run?

Exit status: 1 if an accepted job had nothing running for 3 s on end though its service had an idle
runner with room for it, 0 if not, 2 if the case could not run. With TROUBLE=0 there is no wave.
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
    Record,
    Runner,
    call,
    free_port,
    node_address,
    settings,
)

NODE = ROOT / "target/release/hoisthitch-node"
# Services of one machine each, which is of a kind of its own, and one of more machines.
SMALL = {"wuno96b": "b", "lovo22d": "c", "kafi81c": "d"}
LARGE = "huvo11a"
LARGE_MACHINES = 8
MAINTENANCE_S = 2.0
MIGRATION_S = 1.5
BEAT_S = 1.5
# LOST: for so long a job may have nothing running though there is room for it.
LOST_S = 3.0
TASK_S = 0.5
TASK_CPU = 1_000
CAPACITY_CPU = 8_000
WATCHED_S = 40
HOST = {"Host": "jepu9.example", "Content-Type": "application/json"}


def kind_of(pool):
    """The kind of a pool's machines."""
    return SMALL.get(pool, "a")


class Fleet:
    """Machines and their runners, and the platform's calls about them."""

    def __init__(self, platform, record):
        self.pools = {}
        self.platform = platform
        self.record = record
        self.machines = {}  # name: [state, runner, address]
        self.waves = {}  # number: machines
        self.upkept = set()  # (wave, machine)
        self.lives = []
        self.orders = []  # (time, machine)
        platform.cloud = self.handle

    async def add(self, machine):
        runner = Runner(f"i-{len(self.lives):04x}{machine[-4:]}", CAPACITY_CPU, self.record)
        runner.pool = self.pools[machine]
        runner.came = self.record.now()
        runner.went = 0.0
        address = ("127.0.0.1", free_port("127.0.0.1"))
        await runner.start(*address)
        self.lives.append(runner)
        self.machines[machine] = ["up", runner, address]
        asyncio.create_task(self.beat(machine, runner, address))

    def facts(self, machine):
        number = int(machine[-2:])
        return {
            "zone": ("charlotte", "greenville")[number % 2],
            "labels": [kind_of(self.pools[machine]), f"r{number % 2}-1"],
            "capacity": {"cpu": CAPACITY_CPU, "mem_mb": 32_768, "gpu": 0},
        }

    async def beat(self, machine, runner, address):
        """Writes the runner's entry; it goes after three beats of silence."""
        sequence = 0
        while not runner.dead:
            sequence += 1
            entry = {
                "service": self.pools[machine],
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
        if name == "machines":
            rows = []
            for machine, (state, runner, _) in self.machines.items():
                row = {"machine": machine, "pool": self.pools[machine], "state": state}
                row["id"] = runner.name if state == "up" else ""
                rows.append({**row, **self.facts(machine)})
            return 200, {"machines": rows, "next_token": None}
        machine = body["machine"]
        if machine not in self.machines:
            return 400, {}
        if name == "machine-move":
            return self.move(machine, body["pool"], headers)
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
        runner.went = self.record.now()
        runner.die()
        asyncio.create_task(self.return_later(machine, MAINTENANCE_S))
        return 200, {}

    def move(self, machine, pool, headers):
        if pool not in self.pools.values() or kind_of(pool) != kind_of(self.pools[machine]):
            return 400, {}
        if self.pools[machine] == pool:
            return 200, {}
        state, runner, _ = self.machines[machine]
        if state != "up":
            return 409, {"reason": "busy"}
        holder = headers.get("hoisthitch-duty-holder")
        self.record.write(f"{machine}: moves to {pool}, ordered by {holder}; {runner.name} ends")
        self.machines[machine][0] = "moving"
        self.pools[machine] = pool
        runner.went = self.record.now()
        runner.die()
        asyncio.create_task(self.return_later(machine, MIGRATION_S))
        return 200, {}

    async def return_later(self, machine, after):
        await asyncio.sleep(after)
        self.record.write(f"{machine}: is up again with a new runner")
        await self.add(machine)


async def run(record, processes, folder):
    platform = Platform()
    platform_at = ("127.0.0.1", free_port("127.0.0.1"))
    await platform.start(*platform_at)
    fleet = Fleet(platform, record)
    pools = [LARGE, *SMALL]
    names = []
    for pool in [LARGE] * LARGE_MACHINES + [*SMALL]:
        names.append(f"m-0a{len(names):02d}")
        fleet.pools[names[-1]] = pool
    for name in names:
        await fleet.add(name)
    routes = [
        {
            "name": f"r-{pool}",
            "host": "jepu9.example",
            "path_prefix": f"/{pool}/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": pool,
            "max_attempts": 3,
            "stretch": 1.6,
        }
        for pool in pools
    ]
    services = [{"name": p, "admission_check": True, "spare": False} for p in pools]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
    config = {"version": 7, "routes": routes, "services": services, "limits": limits}
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
    host, front, _ = fronts[0]
    accepted = {}

    async def submit(number, pool):
        """Submits a job of one short task each second, for as long as the case runs."""
        count = 0
        while True:
            count += 1
            job = f"5c0e7a21d94{number}{count:04x}"
            step = {"count": 1, "cpu": TASK_CPU, "mem_mb": 256, "estimated_ms": 500}
            body = {"spec": str(int(TASK_S * 1_000)), "steps": [step]}
            status, _ = await call(host, front, "POST", f"/{pool}/{job}", HOST, body)
            if status == 200:
                accepted[job] = (pool, record.now())
            record.write(f"client: POST of job {job} to {pool} answered {status}")
            await asyncio.sleep(1)

    calls = [asyncio.create_task(submit(*one)) for one in enumerate(SMALL)]
    await asyncio.sleep(5)
    if os.environ.get("TROUBLE") != "0":
        fleet.waves[1] = names
        wave = {"wave": 1, "machines": names, "duration_s": 50, "upper_limit": 1}
        record.write(f"operator: wave 1 of {len(names)} machines, at most 1 at once")
        await platform.put("op/wave/1", wave)
    await asyncio.sleep(WATCHED_S)
    for task in calls:
        task.cancel()
    record.write(f"{len(fleet.upkept)} of {len(names)} machines had their upkeep")
    return judge(record, fleet, accepted)


def judge(record, fleet, accepted):
    """LOST: for 3 s a job has nothing running though there is room for it twice over."""
    now = record.now()
    small = [runner for runner in fleet.lives if runner.pool in SMALL]
    starts = {}
    for runner in small:
        for task, _, begin, _, _ in runner.intervals:
            starts.setdefault(task.split(".")[0], begin)
        for task, (_, begin, _) in runner.running.items():
            starts.setdefault(task.split(".")[0], begin - record.begin)
    broken = []
    for job, (pool, since) in accepted.items():
        until = starts.get(job, now)
        for runner in small:
            if runner.pool != pool:
                continue
            # The time for which the job waited while this runner was up and ran nothing.
            begin = max(since, runner.came + BEAT_S)
            end = min(until, runner.went if runner.dead else now)
            busy = [one for one in runner.intervals if one[2] < end and one[3] > begin]
            edges = [begin, *sorted(one[3] for one in busy)]
            ends = [*sorted(one[2] for one in busy), end]
            longest = max((stop - start for start, stop in zip(edges, ends)), default=0)
            if longest >= LOST_S:
                broken.append((longest, job, runner.name, since, until))
    for longest, job, name, since, until in sorted(broken, reverse=True)[:5]:
        record.write(
            f"LOST: job {job}, accepted at {since:.3f} s, has nothing running until {until:.3f} s;"
            f" {name} was up and ran nothing for {longest:.3f} s of that"
        )
    record.write(f"the rule was broken for {len(broken)} jobs" if broken else "the rule held")
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
    if os.environ.get("KEEP_LOGS"):
        for log in pathlib.Path(folder).glob("*.log"):
            shutil.copy(log, os.environ["KEEP_LOGS"])
    shutil.rmtree(folder, ignore_errors=True)
    # The stand-ins end with the process.
    os._exit(result)


main()
