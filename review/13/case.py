"""A cancel that is acknowledged while a pool has no owner is dropped by the next owner.

The service is named `cancel-desk`. With the disruption, the node that owns its pool is killed,
and a job is handed in and cancelled before another node takes over.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from world import BOUNDS, CannotRun, main

SERVICE = "cancel-desk"
LASTING = {"count": 3, "cpu": 4000, "mem_mb": 4096, "long_running": True, "may_miss": 1}

# Calm time after which a task of a cancelled job must be gone, in seconds.
GONE_S = (BOUNDS["cancel_ms"] + BOUNDS["stop_timeout_ms"]) / 1000

# Time after a disruption until nodes are in touch again, in seconds.
CONTACT_S = BOUNDS["contact_timeout_ms"] / 1000


async def case(world, trouble):
    world.configure([world.route("r-desk", "/desk/", SERVICE)], [world.service(SERVICE)])
    for _ in range(8):
        await world.add_runner(SERVICE)
    for name in ("front-kewdale-1", "front-malaga-1", "front-jandakot-1"):
        await world.add_node(name)
    for node in world.nodes.values():
        if not await node.wait_ready():
            raise CannotRun(f"{node.name} is not ready")
    await asyncio.sleep(4)
    # The last node that wrote to the store under a condition, for this pool.
    owner = world.store.get_json(f"hoisthitch/group/owner/{SERVICE}")
    if trouble:
        world.nodes[owner["node"]].kill()
    await asyncio.sleep(0.2)
    job = await world.submit("/desk/", [LASTING])
    if not job:
        raise CannotRun("the job was not accepted")
    for _ in range(5):
        status, _ = await world.client("DELETE", f"/desk/{job}")
        if 200 <= status < 300:
            break
        await asyncio.sleep(0.4)
    else:
        raise CannotRun("the cancel was not acknowledged")
    acknowledged = time.monotonic()
    await asyncio.sleep(max(CONTACT_S, BOUNDS["cancel_ms"] / 1000) + GONE_S + 3)
    running = world.running(job)
    # The client may cancel again; that changes nothing.
    status, _ = await world.client("DELETE", f"/desk/{job}")
    await asyncio.sleep(GONE_S + 1)
    running = [task for task in world.running(job) if task in running]
    state = await world.state(job)
    for runner, task in running:
        world.record("UNASKED:", task, "runs on", runner, f"{time.monotonic() - acknowledged:.1f}",
                     "s after its job's cancel was acknowledged; the job is", state)
    return not running


main(case)
