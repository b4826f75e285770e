"""A customer hands in a repeated job whose occurrences are all overdue."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))

from world3 import *  # noqa: E402,F403

MEMORY_MB = 260
RESTART_S = 1.0
MAX_RUNS = 100_000
INTERVAL_MS = 60_000
TASKS = 24
USUAL_JOBS = 19
FINISH_S = 14
IDLE_S = 3
WATCH_S = 12


async def enforce_memory(d, ends):
    """Kills processes over their memory and starts them again, as the platform does."""
    while True:
        for node in d.nodes:
            try:
                used = node.memory_mb() if node.process.returncode is None else 0
            except (OSError, ProcessLookupError):
                continue
            if used > MEMORY_MB:
                d.record.both(node.name, f"uses {used:.0f} MB of {MEMORY_MB} and is killed,",
                              f"{(now_ms() - d.record.start) / 1000:.1f} s after the start")
                ends.append(node.name)
                node.signal(signal.SIGKILL)
                await node.process.wait()
                asyncio.get_running_loop().call_later(
                    RESTART_S, lambda n=node: asyncio.ensure_future(n.start()))
        await asyncio.sleep(0.05)


async def main(trouble):
    d = Deployment(os.path.join(HERE, "record.txt"))
    ends = []
    guard = None
    try:
        await d.open(nodes=3, executors=8)
        guard = asyncio.create_task(enforce_memory(d, ends))
        usual = {"taskSpec": "refresh", "steps": [
            {"count": 2, "cpu": 500, "memoryRequestMb": 64, "estimatedMs": 300}]}
        for number in range(USUAL_JOBS):
            if not await d.submit("/svc/", f"{number:016x}", usual, node=number):
                raise RuntimeError("not accepted")
            await asyncio.sleep(0.2)
        # Every minute, counted from 1970; a field whose value is 0 is omitted.
        repeated = {"taskSpec": "archive", "maxRuns": MAX_RUNS, "intervalMs": INTERVAL_MS, "steps": [
            {"count": TASKS, "cpu": 500, "memoryRequestMb": 64, "estimatedMs": 300}]}
        if not trouble:
            repeated["firstRunMs"] = int(time.time() * 1000)
        accepted = await d.submit("/svc/", "a" * 16, repeated)
        d.record.both("the repeated job is", "accepted" if accepted else "not accepted")
        last = "b" * 16
        if not await d.submit("/svc/", last, usual, node=1, tries=20):
            raise RuntimeError("not accepted")
        await asyncio.sleep(FINISH_S)
        begin = now_ms()
        await asyncio.sleep(WATCH_S)
        runs = [r for r in d.world.runs if r.task.startswith(last)]
        state = await d.state("/svc/", last)
        d.record.both("processes that ended over their memory:", len(ends), "times, on",
                      len(set(ends)), "machines of 3")
        d.record.both("the usual job after it:", state + ",", len(runs), "runs in",
                      f"{FINISH_S + WATCH_S} s; executors at work:",
                      sum(1 for e in d.executors if e.running), "of 8")
        waits = not runs or min(r.started for r in runs) > begin + IDLE_S * 1000
        broken = len(ends) >= 3 or (waits and state != "completed")
        if len(ends) >= 3:
            d.record.both("FAULT: processes end three times without a disruption of their machines")
        if waits and state != "completed":
            d.record.both("LOST: an accepted job has nothing running for 3 s with idle executors")
        return broken
    finally:
        if guard:
            guard.cancel()
        await d.close()


run_case(main)
