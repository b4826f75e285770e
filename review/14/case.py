"""Two executors crash, one after the other, each soon after it has begun the same task."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin3"))

from world import *  # noqa: E402,F403

CRASH_AFTER_MS = (500, 100)
DOWN_S = 1.0


async def main(trouble):
    d = Deployment(os.path.join(HERE, "record.txt"))
    try:
        await d.open(nodes=3, executors=8)
        crashed = []

        def on_start(run):
            if trouble and len(crashed) < len(CRASH_AFTER_MS):
                crashed.append(run.executor)
                delay_s = CRASH_AFTER_MS[len(crashed) - 1] / 1000
                asyncio.get_running_loop().call_later(delay_s, crash, run.executor)

        def crash(executor):
            if executor.alive:
                executor.kill()
                asyncio.get_running_loop().call_later(
                    DOWN_S, lambda: asyncio.ensure_future(executor.open()))

        d.world.on_start = on_start
        name = f"{1:016x}"
        notice = {"taskSpec": "detour notice", "steps": [
            {"count": 1, "cpu": 1900, "memoryRequestMb": 64, "estimatedMs": 1700}]}
        await asyncio.sleep(2)
        if not await d.submit("/svc/", name, notice):
            raise RuntimeError("not accepted")
        state, until = None, now_ms() + 30_000
        while now_ms() < until:
            state = await d.state("/svc/", name)
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.3)
        ends = [(r.run, r.executor.name, r.how) for r in d.world.runs]
        failed = sum(r.how == "failed" for r in d.world.runs)
        d.record.both("runs:", ends)
        d.record.both("state", state, "with", failed, "ends `failed`; maxAttempts is 3")
        if trouble and len(crashed) < len(CRASH_AFTER_MS):
            raise RuntimeError("the executors did not crash")
        broken = state == "failed" and failed < 3
        if broken:
            d.record.both("LOST: the job is shown as failed without cause")
        elif state != "completed":
            raise RuntimeError(f"the job is {state}")
        return broken
    finally:
        await d.close()


run_case(main)
