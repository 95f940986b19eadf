"""Stand-ins for the platform of a small deployment, and processes of the node beside them.

One process holds the platform's store, the list of machines, the advice service and the
runners, each on a loopback address of its own, as the users' pages describe them. Nodes are
started as separate processes with the command of the deploy file. Everything that is sent,
answered and run goes into `record.txt`.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

# What a handler returns instead of a response: nothing is ever said on the connection again.
SILENT = "silent"
# The connection is reset.
RESET = "reset"

ROOT = pathlib.Path(os.environ.get("REVIEW_ROOT") or pathlib.Path(__file__).resolve().parents[2])

BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "contact_timeout_ms": 3000, "ack_timeout_ms": 4000,
    "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12,
    "max_hold_ms": 10000, "stop_timeout_ms": 400, "gang_timeout_ms": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 2,
    "checkpoint_interval_s": 2, "restore_ms": 600, "notice_ms": 4500, "migration_s": 1.5,
    "maintenance_s": 2, "require_fencing": False, "lease_duration_ms": 3000,
    "thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000,
}


class Record:
    """The account of a run, in `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def __call__(self, *words):
        at = time.monotonic() - self.begun
        self.file.write(f"{at:9.3f}  " + " ".join(map(str, words)) + "\n")
        self.file.flush()


# ------------------------------------------------------------------------------- HTTP


class Server:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.muted = set()

    def mute(self):
        """Makes all open connections go silent for good, without a reset; new ones work."""
        self.muted |= self.writers

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address[0], address[1])

    async def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = b""
                if length := int(headers.get("content-length", 0)):
                    body = await reader.readexactly(length)
                if writer in self.muted:
                    await asyncio.Future()
                path, _, query = target.partition("?")
                query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
                answer = await self.handler(method, path, query, headers, body)
                if answer == SILENT or writer in self.muted:
                    await asyncio.Future()
                if answer == RESET:
                    writer.transport.abort()
                    return
                status, value = answer
                text = json.dumps(value).encode() if value is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.muted.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Makes a call on a connection of its own; returns status and body, or (0, reason)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "connection: close",
                     f"content-length: {len(text)}", "content-type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if not headers or "host" not in headers:
                lines.append("host: localhost")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            head = await reader.readuntil(b"\r\n\r\n")
            rest = await reader.read()
            return int(head.split(b" ", 2)[1]), rest
        finally:
            writer.close()
    try:
        status, rest = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError) as err:
        return 0, f"broken: {type(err).__name__}"
    except asyncio.TimeoutError:
        return 0, "no answer"
    try:
        return status, json.loads(rest)
    except ValueError:
        return status, None


class Link:
    """The network between one node and a service, as a proxy.

    While it is cut, bytes are held up. They arrive once it heals, unless their sender has reset
    the connection meanwhile; a connection that is opened during the cut carries nothing.
    """

    def __init__(self, record, name, target):
        self.record = record
        self.name = name
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        # Is given each chunk from the node before it is forwarded, and may cut the link.
        self.watch = None

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def cut(self):
        self.record("link", self.name, "is cut")
        self.is_open.clear()

    def heal(self):
        self.record("link", self.name, "heals")
        self.is_open.set()

    async def serve(self, reader, writer):
        try:
            if not self.is_open.is_set():
                while await reader.read(65536):
                    pass
                return
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            back = asyncio.create_task(self.pass_on(far_reader, writer))
            try:
                held = b""
                while True:
                    data = await reader.read(65536)
                    held += data
                    if data and self.watch:
                        self.watch(data)
                    if self.is_open.is_set() and held:
                        far_writer.write(held)
                        held = b""
                    if not data:
                        if held:
                            self.record("link", self.name, "holds", len(held), "bytes of a "
                                        "connection that its sender has closed, not reset")
                            await self.is_open.wait()
                            self.record("link", self.name, "delivers", len(held), "bytes")
                            far_writer.write(held)
                            await far_writer.drain()
                            await asyncio.sleep(1)
                        break
            finally:
                back.cancel()
                far_writer.close()
        except (ConnectionError, asyncio.CancelledError, OSError) as err:
            if isinstance(err, ConnectionResetError):
                self.record("link", self.name, "loses a connection that its sender has reset")
        finally:
            writer.close()

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass


# ------------------------------------------------------------------------------- store


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 10
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        # Faults by the name of the node that calls: a mode, or none.
        self.faults = {}
        self.random = random.Random(1)

    def put(self, key, value, lease=0):
        self.revision += 1
        self.write(key, value, lease)
        self.wake()

    def write(self, key, value, lease):
        if value is None:
            if key in self.items:
                del self.items[key]
                self.history.append((self.revision, key, None))
            return
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"private_key": key, "value": value, "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def get_json(self, key):
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.write(key, None, 0)
            self.wake()

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until <= now:
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    def handler(self, node):
        async def handle(method, path, query, headers, body):
            fault = self.faults.get(node)
            writing = path.endswith("kv-txn") or "lease" in path
            if fault == "silent":
                return SILENT
            if fault == "busy":
                return 503, None
            if fault == "reset":
                return RESET
            delay = 0.004
            if isinstance(fault, tuple) and fault[0] == "slow":
                delay *= fault[1]
            await asyncio.sleep(delay)
            lost = isinstance(fault, tuple) and fault[0] in ("lost", "late") and writing
            if lost and self.random.random() < fault[1]:
                if fault[0] == "late":
                    async def later():
                        await asyncio.sleep(self.random.uniform(1, 6))
                        await self.handle(method, path, query, body)
                    asyncio.create_task(later())
                else:
                    await self.handle(method, path, query, body)
                return SILENT
            return await self.handle(method, path, query, body)
        return handle

    async def handle(self, method, path, query, body):
        name = path.removeprefix("/hoisthitch/")
        if name == "kv-key":
            item = self.items.get(query["private_key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, None)
        if name == "kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "more_pages": len(keys) > 500, "as_of": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.txn(json.loads(body))
        if name == "kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if name.startswith("kv-lease-end/"):
            self.end_lease(int(name.split("/")[1]))
            return 200, {}
        return 400, None

    async def watch(self, query):
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = []
            for revision, key, item in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    gone = {"private_key": key, "revision": revision, "deleted": True}
                    events.append(item or gone)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        rows = body["expected_revision"]
        if len(rows) > 32 or len(body["puts"]) + len(body["remove"]) > 32:
            return 400, None
        found = [self.items.get(row["private_key"]) for row in rows]
        for row, item in zip(rows, found):
            if (item["revision"] if item else 0) != row["revision"]:
                empty = {"value": "", "revision": 0, "created": 0, "lease": 0}
                items = [item or {"private_key": row["private_key"], **empty}
                         for row, item in zip(rows, found)]
                return 412, {"items": items}
        for put in body["puts"]:
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, None
        self.revision += 1
        for put in body["puts"]:
            self.write(put["private_key"], put["value"], put.get("lease", 0))
        for key in body["remove"]:
            self.write(key, None, 0)
        self.wake()
        return 200, {"revision": self.revision}


# ------------------------------------------------------------------------------- runners


class Run:
    """A run of a task on a runner."""

    def __init__(self, task, number, seconds, spec, checkpoint):
        self.task = task
        self.number = number
        self.seconds = seconds
        self.begun = time.monotonic()
        self.spec = spec
        self.checkpoint = checkpoint
        self.stopping = None
        self.waits = False


class Runner:
    """A life of a runner. `plan` says by task and run how long it works and how it ends."""

    def __init__(self, world, number, pool, capacity=None, labels=None):
        self.world = world
        self.record = world.record
        self.pool = pool
        self.number = number
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
        self.labels = labels or ["a", f"r1-{number // 4 + 1}"]
        self.address = world.address(100 + number)
        self.server = Server(self.handle)
        self.mode = "up"
        self.machine = f"m-{number:05d}"
        self.condition = "up"
        self.upkeeps = set()
        # Whether the machine is in a spare pool, where it has no runner.
        self.off = False
        self.late = 0.0
        self.begin_life()

    def begin_life(self, name=None):
        self.name = name or f"i-{self.number:02d}{self.world.random.randrange(16**6):06x}"
        self.token = 0
        self.deadline = 0.0
        self.runs = {}
        # Room that the runs take.
        self.used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        self.over = {}
        self.ended = []
        self.ended_at = {}
        self.lapsed_at = 0.0
        self.last_end = 0
        self.sequence = 0
        self.wake = asyncio.Event()
        self.clock_offset = self.world.random.randrange(10_000, 10_000_000)
        self.state = "ready"

    def clock(self):
        return int(time.monotonic() * 1000) + self.clock_offset

    async def start(self):
        await self.server.start(self.address)
        self.publish()
        self.task = asyncio.create_task(self.work())

    def publish(self):
        self.sequence += 1
        self.world.store.put_json(f"servers/{self.name}", {
            "service": self.pool, "address": "%s:%d" % self.address, "zone": "kewdale",
            "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "capacity": self.capacity, "labels": self.labels, "sequence": self.sequence,
            "machine": self.machine, "clock_ms": self.clock()})

    async def crash(self, unlist=True):
        """Ends the process: connections are reset, nothing listens, and all runs are gone."""
        self.record("runner", self.name, "crashes with", len(self.runs), "runs")
        self.mode = "down"
        for run in self.runs.values():
            self.world.note_end(self, run, "crashed")
        self.runs = {}
        self.used = dict.fromkeys(self.used, 0)
        await self.server.stop()
        if unlist:
            async def later(key=f"servers/{self.name}"):
                await asyncio.sleep(4.5)
                if key in self.world.store.items:
                    self.world.store.put(key, None)
            asyncio.create_task(later())

    async def restart(self):
        """The next life, under a new id at the same address."""
        self.world.store.put(f"servers/{self.name}", None)
        self.begin_life()
        self.record("runner", self.name, "starts")
        self.mode = "up"
        await self.server.start(self.address)
        self.publish()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            if self.mode == "down":
                continue
            now = time.monotonic()
            if self.clock() >= self.deadline:
                if self.deadline and self.lapsed_at < now - 1:
                    self.record("the lease of", self.name, "is over")
                self.lapsed_at = now
            if self.runs and self.clock() >= self.deadline:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if self.runs.get(task) is not run:
                    continue
                if run.stopping and now >= run.stopping:
                    self.end(task, "stopped")
                elif run.waits:
                    self.check_gang(run, now)
                elif now - run.begun >= run.seconds:
                    self.world.finish(self, run)

    def check_gang(self, run, now):
        gang = self.world.gang_of(run.task)
        if gang.present(run.number):
            run.waits = False
            run.begun = now
        elif now - run.begun > 3.0:
            self.end(run.task, "alone")

    def end(self, task, how):
        run = self.runs.pop(task)
        for key, amount in self.world.need_of(task).items():
            self.used[key] -= amount
        self.last_end += 1
        saved = run.checkpoint
        self.over[task] = max(self.over.get(task, 0), run.number)
        self.ended.append([self.last_end, task, run.number, how, saved])
        self.ended_at[self.last_end] = time.monotonic()
        self.world.note_end(self, run, how)
        self.wake.set()

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if self.mode == "dark":
            return SILENT
        if headers.get("hoisthitch-expected-instance") != self.name:
            return 421, {"clock_ms": self.clock()}
        name = path.removeprefix("/hoisthitch/")
        body = json.loads(body)
        if name != "hold":
            self.record("order", name, self.name, json.dumps(body)[:160])
        if self.world.is_silenced(self, name, body):
            self.record("a connection to", self.name, "goes silent for good with", name,
                        body["task"])
            return SILENT
        late_s = self.world.late_order(self, name, body)
        if late_s is not None:
            self.record("no answer to", name, "on", self.name, "which is carried out in",
                        f"{late_s:.1f} s")

            async def later(life=self.name):
                await asyncio.sleep(late_s)
                if life == self.name:
                    self.record("carried out late:", name, body["task"], self.act(name, body))
            asyncio.create_task(later())
            return SILENT
        answer = self.act(name, body)
        if name == "hold" and answer[0] == 200:
            return await self.report(body)
        if self.mode == "dark":
            return SILENT
        return answer

    def act(self, name, body):
        clock = {"clock_ms": self.clock()}
        if self.mode == "down":
            return 503, clock
        token = body.get("fencing_token", 0)
        if token < self.token:
            self.record("refused", name, "on", self.name, "token", token, "below", self.token)
            return 409, {**clock, "reason": "fence"}
        self.token = token
        if "deadline_ms" in body and name in ("hold", "run-start"):
            limit = self.clock() + BOUNDS["max_hold_ms"]
            if name == "hold" or body["deadline_ms"] > self.clock():
                self.deadline = max(self.deadline, min(body["deadline_ms"], limit))
        if name == "hold":
            seen = body.get("last_seen", 0)
            self.world.note_seen(self, [row for row in self.ended if row[0] <= seen])
            self.ended = [row for row in self.ended if row[0] > seen]
            return 200, clock
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if name == "run-stop":
            if present and present.number == number:
                present.stopping = present.stopping or time.monotonic() + 0.1
            elif not present:
                self.over[task] = max(self.over.get(task, 0), number)
            return 200, clock
        if name == "pace":
            return 200, clock
        if present and present.number == number:
            return 200, clock
        if present or number <= self.over.get(task, 0):
            return 409, {**clock, "reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {**clock, "reason": "late"}
        if not self.world.has_ticket(self, task, body.get("ticket", "")):
            return 409, {**clock, "reason": "ticket"}
        need = self.world.need_of(task)
        if any(need[key] + self.used[key] > self.capacity[key] for key in need):
            return 409, {**clock, "reason": "room"}
        run = Run(task, number, self.world.seconds_of(task), body["spec"],
                  body.get("checkpoint", ""))
        run.waits = self.world.gang_of(task) is not None
        self.runs[task] = run
        for key in need:
            self.used[key] += need[key]
        self.world.note_start(self, run, token)
        return 200, clock

    async def report(self, body):
        wait = body.get("wait_ms", 0) / 1000
        until = time.monotonic() + min(wait, 2)
        while not self.ended and (left := until - time.monotonic()) > 0:
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.mode != "up":
            return SILENT
        now = time.monotonic()
        rows = []
        for run in self.runs.values():
            done = 0 if run.waits else (now - run.begun) / max(run.seconds, 0.001) * 100
            if run.seconds > 1e6:
                done = 100 if now - run.begun > 0.5 else 0
            rows.append([run.task, run.number, run.checkpoint, min(100, int(done)), 0])
        return 200, {"clock_ms": self.clock(), "running": rows, "ended": self.ended[:500]}


# ------------------------------------------------------------------------------- world


class Gang:
    """A step whose tasks work only together."""

    def __init__(self, world, step, count):
        self.world = world
        self.step = step
        self.count = count

    def runs(self, number):
        for runner in self.world.runners:
            if runner.mode != "down":
                for run in runner.runs.values():
                    if run.task.rsplit(".", 1)[0] == self.step and run.number == number:
                        yield runner, run

    def present(self, number):
        return sum(1 for _ in self.runs(number)) == self.count


class World:
    """The platform, the nodes and what was seen of them."""

    def __init__(self, folder, seed=1):
        self.random = random.Random(seed)
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix="hoisthitch-review-"))
        # Addresses of this run: the operators' port of a node is the same on all machines.
        self.net = f"127.{random.randrange(80, 250)}.{random.randrange(1, 250)}"
        self.store = Store(self.record)
        self.nodes = {}
        self.runners = []
        self.jobs = {}
        self.starts = []
        self.starts_of = {}
        self.breaks = []
        self.done_seen = set()
        self.failures = {}
        self.ends_done = set()
        self.failing = set()
        self.advised = None
        self.advice_calls = 0
        self.version = 0
        self.servers = []
        self.machine_orders = []
        self.spare_pools = set()

    def address(self, host, port=None):
        ip = f"{self.net}.{host}"
        if port is None:
            with socket.socket() as probe:
                probe.bind((ip, 0))
                port = probe.getsockname()[1]
        return ip, port

    async def begin(self):
        asyncio.create_task(self.store.expire())
        self.cloud = self.address(3)
        await self.listen(self.handle_cloud, self.cloud)
        self.adviser = self.address(4)
        self.advice_lock = {}
        await self.listen(self.handle_advice, self.adviser)

    async def listen(self, handler, address):
        server = Server(handler)
        await server.start(address)
        self.servers.append(server)

    # The list of machines.

    async def handle_cloud(self, method, path, query, headers, body):
        if path.endswith("/machines"):
            rows = [{"machine": r.machine, "pool": r.pool, "state": r.condition,
                     "zone": "kewdale", "labels": r.labels, "capacity": r.capacity,
                     "id": r.name if r.mode != "down" else ""} for r in self.runners
                    if r.condition != "up" or r.mode != "down" or r.off]
            return 200, {"machines": rows, "next_token": None}
        order = json.loads(body)
        holder = headers.get("hoisthitch-duty-holder")
        token = int(headers.get("hoisthitch-fencing-token", 0))
        self.record("machine order", path, body.decode(), "of", holder, "token", token)
        self.machine_orders.append((order["machine"], holder, token))
        runner = next((r for r in self.runners if r.machine == order["machine"]), None)
        if runner is None:
            return 400, None
        if path.endswith("/machine-move"):
            if runner.pool == order["pool"]:
                return 200, {}
            if runner.condition != "up" or (runner.mode == "down" and not runner.off):
                return 409, {"reason": "busy"}
            runner.condition = "moving"
            if not runner.off:
                await runner.crash(False)
            runner.pool = order["pool"]
            runner.off = order["pool"] in self.spare_pools

            async def arrive_later():
                await asyncio.sleep(BOUNDS["migration_s"])
                runner.condition = "up"
                if runner.off:
                    self.store.put(f"servers/{runner.name}", None)
                    runner.mode = "down"
                else:
                    await runner.restart()
            asyncio.create_task(arrive_later())
            return 200, {}
        wave = self.store.get_json(f"op/wave/{order['wave']}")
        if not wave:
            return 400, None
        if order["machine"] not in wave["machines"]:
            return 409, {"reason": "wave"}
        if order["wave"] in runner.upkeeps:
            return 200, {}
        if runner.condition != "up" or (runner.mode == "down" and not runner.off):
            return 409, {"reason": "busy"}
        runner.upkeeps.add(order["wave"])
        runner.condition = "upkeep"
        if not runner.off:
            await runner.crash(False)

        async def return_later():
            await asyncio.sleep(BOUNDS["maintenance_s"])
            runner.condition = "up"
            if not runner.off:
                await runner.restart()
        asyncio.create_task(return_later())
        return 200, {}

    # The advice service: `advised` says whether a runner may run a step.

    async def handle_advice(self, method, path, query, headers, body):
        body = json.loads(body)
        self.advice_calls += 1
        lock = self.advice_lock.setdefault("all", asyncio.Lock())
        async with lock:
            await asyncio.sleep(self.decision_s + self.item_s * len(body["workers"]))
        good = [[name, f"t-{body['step']}-{name}"] for name in body["workers"]
                if self.advised(body["step"], name)]
        self.record("advice", body["step"], "asked", body["workers"], "good", [g[0] for g in good])
        return 200, {"good": good, "validity_ms": self.validity_ms}

    decision_s = 0.05
    fail_share = 0.0
    item_s = 0.005
    validity_ms = 3000

    def is_silenced(self, runner, name, body):
        """Whether the connection goes silent for good on which this call is sent."""
        return False

    def late_order(self, runner, name, body):
        """Time after which an order is carried out without an answer, in seconds, or none."""
        if name != "hold" and runner.late and self.random.random() < runner.late:
            return self.random.uniform(2, 12)
        return None

    def has_ticket(self, runner, task, ticket):
        if self.advised is None or not self.jobs[task.split(".")[0]].get("advised"):
            return True
        return ticket == f"t-{task.rsplit('.', 1)[0]}-{runner.name}"

    # Jobs.

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def need_of(self, task):
        step = self.step_of(task)
        return {key: step.get(key, 0) for key in ("cpu", "mem_mb", "gpu")}

    def seconds_of(self, task):
        step = self.step_of(task)
        return 1e9 if step.get("long_running") else step["estimated_ms"] / 1000

    def gang_of(self, task):
        step = self.step_of(task)
        if not step.get("gang"):
            return None
        return Gang(self, task.rsplit(".", 1)[0], step["count"])

    def finish(self, runner, run):
        gang = self.gang_of(run.task)
        step = self.step_of(run.task)
        fails = run.task in self.failing or self.random.random() < self.fail_share
        if fails and not step.get("long_running"):
            runner.end(run.task, "failed")
            if gang:
                for other, member in list(gang.runs(run.number)):
                    other.end(member.task, "broken")
            return
        if gang is None:
            runner.end(run.task, "done")
            return
        for other, member in list(gang.runs(run.number)):
            other.end(member.task, "done")

    def note_start(self, runner, run, token):
        self.record("start", run.task, "run", run.number, "on", runner.name, "token", token)
        self.starts.append((time.monotonic(), run.task, run.number, runner.name))
        self.starts_of.setdefault(run.task, []).append((run.begun, run.number, runner.name))
        job = run.task.split(".")[0]
        if job not in self.jobs:
            self.broken("UNASKED", run.task, "was not sent by any client")
            return
        if run.spec != self.jobs[job]["spec"]:
            self.broken("UNASKED", run.task, "with another spec")
        step = self.step_of(run.task)
        if self.failures.get(run.task, 0) >= 4 and not step.get("long_running"):
            self.broken("BUDGET", run.task, "run", run.number)
        if times := self.jobs[job].get("repetitions"):
            due = self.jobs[job]["first_run_ms"] + int(run.task.split(".")[1]) * self.jobs[job]["interval_ms"]
            if time.time() * 1000 < due - BOUNDS["early_ms"]:
                self.broken("ORDER", run.task, "starts ahead of its time")
        for runner_step in [step.get("requirements")]:
            if runner_step and runner_step not in runner.labels:
                self.broken("ROUTE", run.task, "without its label")
        if limit := step.get("anti_affinity"):
            alike = [task for task in runner.runs if task.rsplit(".", 1)[0] == run.task.rsplit(".", 1)[0]]
            if len(alike) > limit:
                self.broken("ROUTE", run.task, "beyond anti_affinity", alike)
        if run.task in self.done_seen and not step.get("speculative"):
            self.broken("TWICE", run.task, "run", run.number, "starts after a noted end done")
        for other in self.runners:
            twin = other.runs.get(run.task)
            if twin and twin is not run and other.mode != "down" and not step.get("speculative"):
                self.broken("TWICE", run.task, "runs", run.number, twin.number, "at a time on",
                            runner.name, other.name)
        _, round_, step, _ = run.task.split(".")
        for before in self.jobs[job]["steps"][int(step)].get("after", []):
            count = self.jobs[job]["steps"][before]["count"]
            gang = self.jobs[job]["steps"][before].get("gang")
            done = [self.is_done(f"{job}.{round_}.{before}.{k}") for k in range(count)]
            if not (any(done) if gang else all(done)):
                self.broken("ORDER", run.task, "before the end of step", before)

    def is_done(self, task):
        return task in self.ends_done

    def note_end(self, runner, run, how):
        self.record("end", run.task, "run", run.number, "on", runner.name, how)
        if how == "done":
            self.ends_done.add(run.task)

    def note_seen(self, runner, rows):
        for number, task, _, how, _ in rows:
            # An end doesn't count as noted if the lease lapsed in between.
            if runner.ended_at[number] < runner.lapsed_at:
                continue
            if how == "done":
                self.done_seen.add(task)
                later = [start for start in self.starts_of.get(task, [])
                         if start[0] > runner.ended_at[number]]
                if later and not self.step_of(task).get("speculative"):
                    self.broken("TWICE", task, "was started again", len(later), "times after an "
                                "end done that is noted now; first as run", later[0][1], "on",
                                later[0][2])
            if how == "failed":
                self.failures[task] = self.failures.get(task, 0) + 1

    def broken(self, rule, *words):
        self.record("BROKEN", rule, *words)
        self.breaks.append(rule)

    # Configuration, runners, nodes and clients.

    def configure(self, routes, services):
        self.version += 1
        self.store.put_json("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def route(self, name, prefix, service, **more):
        return {"name": name, "host": "jobs.example", "path_prefix": prefix, "kind": "unsafe",
                "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": service,
                "max_attempts": 4, "stretch": 1.6, **more}

    def service(self, name, **more):
        return {"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1",
                "tls": False, "admission_check": True, "spare": False, **more}

    async def add_runner(self, pool, **more):
        runner = Runner(self, len(self.runners) + 1, pool, **more)
        self.runners.append(runner)
        if pool in self.spare_pools:
            runner.off = True
            runner.mode = "down"
            runner.task = asyncio.create_task(runner.work())
            return runner
        await runner.start()
        self.record("runner", runner.name, "of", pool, "at", "%s:%d" % runner.address)
        return runner

    async def add_node(self, name):
        number = len(self.nodes) + 10
        store = self.address(number)
        await self.listen(self.store.handler(name), store)
        link = Link(self.record, f"{name} - machines", self.cloud)
        cloud = self.address(number)
        await link.start(cloud)
        front = self.address(number + 20)
        ready = self.address(number + 20)
        listen = {"front": "%s:%d" % front, "readiness": "%s:%d" % ready}
        text = self.settings(name, listen, "%s:%d" % store, "%s:%d" % cloud)
        path = self.scratch / f"{name}.toml"
        path.write_text(text)
        node = Node(self, name, path, front, ready)
        node.cloud_link = link
        node.store_server = self.servers[-1]
        self.nodes[name] = node
        await node.launch()
        return node

    def settings(self, name, listen, store, cloud):
        def value(v):
            return str(v).lower() if isinstance(v, bool) else json.dumps(v)
        lines = [f'node_name = "{name}"', 'role = "node"', 'machine_class = "front"',
                 'serves = ["front"]', f'ip = "{self.net}.1"', 'zone = "kewdale"',
                 'region = "perth-metro"', "bootstrap = true", "count_toward_tolerance = false",
                 'discovery = "platform"', 'entry_point = "virtual_ip"',
                 "heartbeat_interval_ms = 1500", 'orders = "request"',
                 'contracts = ["base","drain","config","cost","recover","sched","platform",'
                 '"advice","upkeep","sharing"]', f'advice = "%s:%d"' % self.adviser,
                 "[zones]", 'kewdale = "perth-metro"', "[listen]",
                 *(f'{k} = "{v}"' for k, v in listen.items()),
                 "[limits]", "cpu_share = 0.25", "cores = 1", "memory_mb = 260",
                 "file_descriptors = 4100", "[fault_tolerance]", "machines = 2", "zones = 0",
                 "regions = 0", "[bounds]", *(f"{k} = {value(v)}" for k, v in BOUNDS.items()),
                 "[platform]", f'address = "{store}"', 'form = "kv"', "writes_per_s = 400",
                 "reads_per_s = 2000", "history_retention_s = 20", "value_bytes = 1048576",
                 "min_ttl_ms = 1000", "[cloud_api]", f'address = "{cloud}"',
                 "rate_per_s = 64.0", "duties = []", "duty_per_s = 64.0"]
        return "\n".join(lines) + "\n"

    async def submit(self, prefix, steps, nodes=None, advised=False, **more):
        """Hands a job in until it is accepted; returns its ID, or none."""
        job = f"{self.random.randrange(16**16):016x}"
        spec = f"work of {job}"
        self.jobs[job] = {"steps": steps, "spec": spec, "advised": advised, "prefix": prefix,
                          "accepted": None, **more}
        body = {"spec": spec, "steps": steps, **more}
        for _ in range(5):
            status, answer = await self.client("POST", f"{prefix}{job}", body, nodes)
            if 200 <= status < 300:
                self.jobs[job]["accepted"] = time.monotonic()
                return job
            await asyncio.sleep(0.4)
        return None

    async def client(self, method, path, body=None, nodes=None):
        nodes = nodes or [node for node in self.nodes.values() if node.ready_at]
        node = self.random.choice(nodes)
        headers = {"host": "jobs.example", "hoisthitch-time-remaining": "3000"}
        status, answer = await call(node.front, method, path, body, headers, timeout=3.0)
        self.record("client", method, path, "at", node.name, "->", status, json.dumps(answer)[:100])
        return status, answer

    async def state(self, job):
        for _ in range(4):
            status, answer = await self.client("GET", self.jobs[job]["prefix"] + job)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.2)
        return "unknown"

    def running(self, job):
        return [(runner.name, task) for runner in self.runners if runner.mode != "down"
                for task in runner.runs if task.split(".")[0] == job]

    async def end(self):
        for node in self.nodes.values():
            node.kill()
        for node in self.nodes.values():
            await node.wait()
        shutil.rmtree(self.scratch, ignore_errors=True)


class Node:
    """A process of the node."""

    def __init__(self, world, name, settings, front, ready):
        self.world = world
        self.name = name
        self.settings = settings
        self.front = front
        self.readiness = ready
        self.process = None
        self.ready_at = None
        self.lives = 0

    async def launch(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split(" ")
        self.lives += 1
        log = os.environ.get("NODE_LOGS")
        log = open(f"{log}/{self.name}.{self.lives}.log", "wb") if log else asyncio.subprocess.DEVNULL
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["HOISTHITCH_SETTINGS"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / command[0]), *command[1:], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.world.record("node", self.name, "starts as process", self.process.pid)

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _ = await call(self.readiness, "GET", "/hoisthitch/readiness", timeout=1)
            if status == 200:
                self.ready_at = time.monotonic()
                return True
            await asyncio.sleep(0.1)
        return False

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.world.record("node", self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.ready_at = None

    async def wait(self):
        if self.process:
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be set up."""


def leave(words, code):
    """Ends this process. Connections of the stand-ins may still wait for calls."""
    print(words)
    sys.stdout.flush()
    os._exit(code)


def main(case):
    """Runs a case: `case(world, trouble)` returns whether the rule held."""
    folder = pathlib.Path(os.environ.get("RECORD_FOLDER") or sys.argv[0])
    folder = folder if folder.is_dir() else folder.resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A break is looked for with a fixed order of choices; the real clock decides the rest.
    world = None

    async def play():
        nonlocal world
        world = World(folder, seed=int(os.environ.get("SEED", "1")))
        play_task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, play_task.cancel)
        try:
            await world.begin()
            return await asyncio.wait_for(case(world, trouble), 110)
        finally:
            await world.end()

    try:
        held = asyncio.run(play())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as err:
        if world:
            world.record("the case could not run:", type(err).__name__, err)
        leave(f"could not run: {type(err).__name__} {err}", 2)
    world.record("the rule", "held" if held else "was broken")
    leave("held" if held else "broken", 0 if held else 1)
