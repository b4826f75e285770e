"""A start waits at the holder for its turn; meanwhile an earlier run's end arrives."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))

from world3 import *  # noqa: E402,F403

EXECUTORS = 8
EXECUTOR_CPU = 16_000
MUTE_S = 5.0
LATE_SHARE = 0.5
LATE_S = (2.0, 12.0)
LATE_FOR_S = 5.5
BURST_AT_S = 4.0
BURST_JOBS = 7
BURST_TASKS = 38
FIRST_JOBS = 3
FIRST_TASKS = 8


async def main(trouble):
    d = Deployment(os.path.join(HERE, "record.txt"))
    try:
        await d.open(nodes=3, executors=EXECUTORS, cpu=EXECUTOR_CPU)
        d.world.duration = lambda task, spec, run: spec["estimatedMs"]
        dice = random.Random(7)
        mute, late_until, held = {}, [0.0], set()

        async def hold_up(executor, path, call):
            if path == "/api/run-start" and now_ms() < late_until[0] \
                    and executor.name not in mute and dice.random() < LATE_SHARE:
                held.add((call["task"], call["run"]))
                await asyncio.sleep(dice.uniform(*LATE_S))

        async def lose_answer(executor, path, call):
            while now_ms() < mute.get(executor.name, 0):
                await asyncio.sleep(0.05)

        for executor in d.executors:
            executor.hold_up = hold_up
            executor.lose_answer = lose_answer
        await asyncio.sleep(1)
        firsts = [f"{n + 1:016x}" for n in range(FIRST_JOBS)]
        refresh = {"taskSpec": "refresh", "steps": [
            {"count": FIRST_TASKS, "cpu": 200, "memoryRequestMb": 16, "estimatedMs": 1000}]}
        for name in firsts:
            if not await d.submit("/svc/", name, refresh):
                raise RuntimeError("not accepted")
        while len(d.world.runs) < FIRST_JOBS * FIRST_TASKS:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        begin = now_ms()
        if trouble:
            for name in {r.executor.name for r in d.world.runs}:
                mute[name] = begin + MUTE_S * 1000
                d.record.both("answers of", name, f"are lost for {MUTE_S} s")
        await asyncio.sleep(BURST_AT_S)
        if trouble:
            late_until[0] = now_ms() + LATE_FOR_S * 1000
        push = {"taskSpec": "push", "steps": [
            {"count": BURST_TASKS, "cpu": 200, "memoryRequestMb": 16, "estimatedMs": 1500}]}
        names = [f"{n + 16:016x}" for n in range(BURST_JOBS)]
        burst = [asyncio.create_task(d.submit("/svc/", name, push, node=n))
                 for n, name in enumerate(names)]
        shown = {}
        while now_ms() < begin + 20_000:
            for name in firsts:
                if name not in shown and await d.state("/svc/", name) == "completed":
                    shown[name] = now_ms()
                    d.record.both(f"GET shows {name} as completed,",
                                  f"{(now_ms() - d.record.start) / 1000:.2f} s after the start")
            await asyncio.sleep(0.1)
        await asyncio.gather(*burst)
        if len(shown) < FIRST_JOBS:
            raise RuntimeError("the first jobs are not completed")
        found = []
        for run in d.world.runs:
            at = shown.get(run.task.split(".")[0])
            # Orders that an executor carried out late don't count.
            if at and run.started > at + 1000 and (run.task, run.run) not in held:
                found.append(run)
                d.record.both(f"TWICE: {run.task} run {run.run} started on {run.executor.name},",
                              f"{run.started - at:.0f} ms after its job was shown as completed")
        d.record.both(len(d.world.runs), "runs;", len(held), "starts were carried out late;",
                      len(found), "starts of completed jobs")
        return bool(found)
    finally:
        await d.close()


run_case(main)
