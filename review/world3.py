"""Stand-ins of the platform, the executors and the clients, in one asyncio process.

They follow the users' PROTOCOL page. The programs under test run as separate processes, started with
the command of the deploy file; see `Node`.
"""

import asyncio
import base64
import json
import os
import re
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run, with times in milliseconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now_ms()

    def add(self, *words):
        print(f"{now_ms() - self.start:9.1f}", *words, file=self.file, flush=True)

    def both(self, *words):
        self.add(*words)
        print(*words, flush=True)


class NoAnswer(Exception):
    """The request gets no answer; its connection is closed."""


async def serve(handler, host="127.0.0.1", port=0, most=None):
    """Serves HTTP/1.1; `handler(method, path, query, headers, body)` returns status and JSON.

    At most `most` connections are served at a time; the others wait until one of these is closed.
    """

    writers = set()
    places = asyncio.Semaphore(most) if most else None

    async def connection(reader, writer):
        writers.add(writer)
        try:
            if places is not None:
                await places.acquire()
                try:
                    await requests(reader, writer)
                finally:
                    places.release()
            else:
                await requests(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, NoAnswer, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    async def requests(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ")
            headers = {}
            for line in lines[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
            status, answer = await handler(method, unquote(parts.path), query, headers, body)
            text = b"" if answer is None else json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                + text)
            await writer.drain()

    server = await asyncio.start_server(connection, host, port, limit=1 << 20)
    server.writers = writers
    return server, "%s:%d" % server.sockets[0].getsockname()[:2]


class Store:
    """The platform's table."""

    MAX_ROW_BYTES = 65536

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.transaction_ms = 8.0
        self.read_ms = 4.0
        self.start = now_ms()
        self.hook = None
        self.floor = 0

    async def open(self):
        self.server, self.address = await serve(self.handle)
        return self

    def clock(self):
        return int(now_ms() - self.start) + 100_000

    def put(self, key, value):
        self.rows[key] = (self.version, value)
        self.changes.append((self.version, key, value))

    def drop(self, key):
        if self.rows.pop(key, None) is not None:
            self.changes.append((self.version, key, None))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write(self, table, key, value):
        """Writes a row of the operator or of an executor."""
        self.version += 1
        row = (table, "", key)
        if value is None:
            self.drop(row)
        else:
            self.put(row, base64.b64encode(json.dumps(value).encode()).decode())
        await self.notify()

    def read_json(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[1]))

    @staticmethod
    def row(key, version, value):
        row = {"table": key[0], "part": key[1], "key": key[2], "schemaVersion": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    async def handle(self, method, path, query, headers, body):
        if self.hook is not None:
            answer = await self.hook(method, path, query, body)
            if answer is not None:
                return answer
        stamp = lambda: {"schemaVersion": self.version, "nowMs": self.clock()}
        if (method, path) == ("POST", "/api/rows-tx"):
            await asyncio.sleep(self.transaction_ms / 1000)
            return self.transact(json.loads(body), len(body))
        if (method, path) == ("GET", "/api/rows-get"):
            await asyncio.sleep(self.read_ms / 1000)
            table, part, low = query["table"], query.get("part", ""), query.get("from", "")
            high, limit = query.get("target"), min(int(query.get("limit", 500)), 500)
            keys = sorted(k for k in self.rows if k[0] == table and k[1] == part and k[2] >= low
                          and (not high or k[2] < high))
            rows = [self.row(k, *self.rows[k]) for k in keys[:limit]]
            return 200, {"rows": rows, "hasMore": len(keys) > limit, **stamp()}
        if (method, path) == ("GET", "/api/rows-parts"):
            await asyncio.sleep(self.read_ms / 1000)
            after = query.get("after")
            parts = sorted({k[1] for k in self.rows if k[0] == query["table"]
                            and (after is None or k[1] > after)})
            return 200, {"parts": parts[:1000]}
        if (method, path) == ("GET", "/api/rows-feed"):
            table, after = query["table"], int(query["after"])
            if after < self.floor:
                return 410, {}
            until = now_ms() + min(int(query.get("waitMs", 0)), 30_000)
            while True:
                found = {}
                for version, key, value in reversed(self.changes):
                    if version <= after:
                        break
                    if key[0] == table and key not in found:
                        found[key] = (version, value)
                left = until - now_ms()
                if found or left <= 0:
                    rows = sorted(found.items(), key=lambda item: item[1][0])
                    answer = {"rows": [self.row(k, *v) for k, v in rows], "hasMore": False,
                              **stamp()}
                    await asyncio.sleep(self.read_ms / 1000)
                    return 200, answer
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left / 1000)
                    except asyncio.TimeoutError:
                        pass
        return 404, {}

    def transact(self, call, size):
        key = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        expect, writes = call.get("expect", []), call.get("writes", [])
        remove = call.get("remove", [])
        entries = expect + writes + remove
        stamp = lambda: {"schemaVersion": self.version, "nowMs": self.clock()}
        if any(e["table"] in ("op", "servers") for e in writes + remove):
            return 403, {}
        if len(entries) > 100 or size > 1_000_000 or len({e.get("part", "") for e in entries}) > 1:
            return 400, {}
        if any(len(base64.b64decode(w["value"])) > self.MAX_ROW_BYTES for w in writes):
            return 400, {}
        version = lambda k: self.rows[k][0] if k in self.rows else 0
        if any(version(key(e)) != e["schemaVersion"] for e in expect):
            rows = [self.row(k, *self.rows[k]) for k in map(key, expect) if k in self.rows]
            return 412, {"rows": rows, **stamp()}
        self.version += 1
        for entry in writes:
            self.put(key(entry), entry["value"])
        for entry in remove:
            self.drop(key(entry))
        asyncio.get_running_loop().create_task(self.notify())
        return 200, stamp()


class World:
    """What the executors run: the jobs' specifications, all starts and all ends."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.runs = []
        self.duration = lambda task, spec, run: spec.get("estimatedMs", 100)
        self.outcome = lambda task, spec, run: "done"
        self.on_start = None
        self.gang_timeout_ms = 3000
        self.gangs = {}

    @staticmethod
    def is_gang(run):
        return bool(run.spec and run.spec.get("gang"))

    def join_gang(self, run):
        """The members of one run work from the moment at which all of them are present."""
        group = self.gangs.setdefault((run.task.rsplit(".", 1)[0], run.run), {})
        group[run.task] = run
        if len(group) == run.spec["count"]:
            for member in group.values():
                member.timer.cancel()
                loop = asyncio.get_running_loop()
                member.timer = loop.call_later(run.length / 1000, member.executor.finish, member)
            self.record.add("gang", run.task.rsplit(".", 1)[0], "run", run.run, "is complete")

    def leave_gang(self, run, how):
        """One that ends otherwise than `done` ends the others as `broken`."""
        group = self.gangs.get((run.task.rsplit(".", 1)[0], run.run), {})
        group.pop(run.task, None)
        if how == "done":
            return
        for member in list(group.values()):
            loop = asyncio.get_running_loop()
            loop.call_later(0.03, member.executor.break_run, member)

    def step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)] if job in self.jobs else None


class Run:
    def __init__(self, executor, task, run, spec):
        self.executor, self.task, self.run, self.spec = executor, task, run, spec
        self.started, self.ended, self.how, self.acked = now_ms(), None, None, None
        self.timer = None


class Executor:
    """One life of a machine; `crash` ends it and `restart` begins the next one."""

    def __init__(self, world, store, name, service, cpu=4000, memory=32000, labels=("a", "r1"),
                 born=False, max_hold_ms=6000, stop_ms=100, beat_ms=1500):
        self.world, self.store, self.name, self.service = world, store, name, service
        self.capacity = {"cpu": cpu, "memoryRequestMb": memory, "gpus": 0}
        self.labels, self.tells_born = list(labels), born
        self.max_hold_ms, self.stop_ms, self.beat_ms = max_hold_ms, stop_ms, beat_ms
        self.life, self.alive, self.server, self.address = 0, False, None, None
        self.state = "ready"
        self.id = name
        self.hold_up = None
        self.lose_answer = None
        self.seen_address = None
        self.entry_lag_ms = 0
        self.connections = 64

    async def open(self):
        self.life += 1
        if not self.tells_born:
            self.id = f"{self.name}-{self.life}"
        self.start = now_ms()
        self.born = int(time.time() * 1000)
        self.running, self.ended, self.barred = {}, [], {}
        self.last_end, self.token, self.lease_end = 0, 0, 0.0
        self.changed = asyncio.Condition()
        self.alive, self.state = True, "ready"
        port = int(self.address.split(":")[1]) if self.address else 0
        host = self.address.split(":")[0] if self.address else "127.0.0.1"
        self.server, self.address = await serve(self.handle, host, port, self.connections)
        self.world.record.add("executor", self.id, "life", self.life, "begins at", self.address)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.beat()), loop.create_task(self.watch_lease())]
        return self

    async def beat(self):
        sequence = 0
        await asyncio.sleep(self.entry_lag_ms / 1000)
        while self.alive:
            sequence += 1
            entry = {"service": self.service, "address": self.seen_address or self.address,
                     "zone": "z1", "version": "v1", "slots": 8, "state": self.state,
                     "coldRemainingMs": 0, "sequence": sequence, "capacity": self.capacity,
                     "labels": self.labels}
            if self.tells_born:
                entry["born"] = self.born
            await self.store.write("servers", self.id, entry)
            await asyncio.sleep(self.beat_ms / 1000)

    async def watch_lease(self):
        while self.alive:
            if self.running and self.clock() >= self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")
            await asyncio.sleep(0.02)

    def clock(self):
        return now_ms() - self.start + 1000

    def kill(self):
        """Ends this life without a word; its entry lapses after three intervals."""
        self.alive = False
        life_id = self.id
        self.world.record.add("executor", self.id, "crashes with", len(self.running), "runs",
                              " ".join(f"{r.task}/{r.run}" for r in self.running.values()))
        for run in self.running.values():
            run.ended, run.how = now_ms(), "lost"
            if run.timer:
                run.timer.cancel()
            if World.is_gang(run):
                self.world.leave_gang(run, "lost")
        self.running = {}
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.server.writers):
            writer.transport.abort()

        async def expire():
            await asyncio.sleep(3 * self.beat_ms / 1000)
            if not (self.alive and self.id == life_id):
                await self.store.write("servers", life_id, None)
        asyncio.get_running_loop().create_task(expire())

    def close(self):
        """Ends this life at the end of a case."""
        if self.alive:
            self.alive = False
            for run in self.running.values():
                if run.timer:
                    run.timer.cancel()
            self.server.close()
            for task in self.tasks:
                task.cancel()

    async def handle(self, method, path, query, headers, body):
        answer = await self.answer(path, headers, body)
        if self.lose_answer is not None:
            await self.lose_answer(self, path, answer)
        return answer

    async def answer(self, path, headers, body):
        life = self.life
        if not self.alive:
            raise NoAnswer
        call = json.loads(body) if body else {}
        if self.hold_up is not None:
            await self.hold_up(self, path, call)
        if not self.alive:
            raise NoAnswer
        if headers.get("expected-instance") != self.id:
            return 421, {}
        stamp = lambda: {"clockMs": int(self.clock())}
        token = call.get("fencingToken", 0)
        if token < self.token:
            self.world.record.add("executor", self.id, path, "refuses fence", token, "<", self.token,
                                  call.get("task", ""))
            return 409, {"reason": "fence", **stamp()}
        self.token = token
        if path == "/api/run-start":
            answer = self.start_run(call)
            if answer is None:
                return 200, stamp()
            self.world.record.add("executor", self.id, "refuses", call["task"], call["run"], answer)
            return 409, {"reason": answer, **stamp()}
        if path == "/api/run-stop":
            task, number = call["task"], call["run"]
            run = self.running.get(task)
            self.world.record.add("executor", self.id, "stop", task, number)
            self.barred[task] = max(self.barred.get(task, 0), number)
            if run is not None and run.run == number:
                asyncio.get_running_loop().call_later(self.stop_ms / 1000, self.stop_now, run)
            return 200, stamp()
        if path == "/api/pace":
            return 200, stamp()
        if path == "/api/hold":
            self.extend(call)
            acked = call.get("ackedThrough", 0)
            for end in self.ended:
                if end[0] <= acked:
                    end[5].acked = now_ms()
            self.ended = [end for end in self.ended if end[0] > acked]
            until = now_ms() + min(call.get("waitMs", 0), 2000)
            while not self.ended and now_ms() < until and self.alive and life == self.life:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000)
                    except asyncio.TimeoutError:
                        pass
            if not self.alive or life != self.life:
                raise NoAnswer
            answer = {"running": [[r.task, r.run, "", self.percent(r), 0.0]
                                  for r in self.running.values()],
                      "ended": [list(end[:5]) for end in self.ended[:500]], **stamp()}
            if self.tells_born:
                answer["born"] = self.born
            return 200, answer
        return 404, {}

    def percent(self, run):
        if run.spec and run.spec.get("longRunning"):
            return 100 if now_ms() - run.started > 500 else 0
        return min(99, int(100 * (now_ms() - run.started) / max(1, run.length)))

    def extend(self, call):
        if "expiresMs" in call:
            end = min(call["expiresMs"], self.clock() + self.max_hold_ms)
            self.lease_end = max(self.lease_end, end)

    def start_run(self, call):
        task, number = call["task"], call["run"]
        present = self.running.get(task)
        if present is not None and present.run == number:
            return None
        self.extend(call)
        if number <= self.barred.get(task, 0):
            return "old"
        if self.clock() >= self.lease_end or call["expiresMs"] <= self.clock():
            return "late"
        spec = self.world.step(task)
        run = Run(self, task, number, spec)
        run.holder, run.task_spec = call["fencingToken"], call.get("taskSpec")
        run.length = self.world.duration(task, spec or {}, run)
        self.world.runs.append(run)
        self.world.record.add("start", task, "run", number, "on", self.id, "life", self.life,
                              "token", run.holder)
        self.running[task] = run
        loop = asyncio.get_running_loop()
        if World.is_gang(run):
            wait_s = self.world.gang_timeout_ms / 1000
            run.timer = loop.call_later(wait_s, self.end_alone, run)
            self.world.join_gang(run)
        elif not (spec or {}).get("longRunning"):
            run.timer = loop.call_later(run.length / 1000, self.finish, run)
        if self.world.on_start:
            self.world.on_start(run)
        return None

    def finish(self, run):
        if self.alive and self.running.get(run.task) is run:
            self.end(run.task, self.world.outcome(run.task, run.spec, run))

    def end_alone(self, run):
        if self.alive and self.running.get(run.task) is run:
            self.end(run.task, "alone")

    def break_run(self, run):
        if self.alive and self.running.get(run.task) is run:
            self.end(run.task, "broken")

    def stop_now(self, run):
        if self.alive and self.running.get(run.task) is run:
            self.end(run.task, "stopped")

    def end(self, task, how):
        run = self.running.pop(task)
        run.ended, run.how = now_ms(), how
        if run.timer:
            run.timer.cancel()
        if World.is_gang(run):
            self.world.leave_gang(run, how)
        self.barred[task] = max(self.barred.get(task, 0), run.run)
        self.last_end += 1
        self.ended.append((self.last_end, task, run.run, how, "", run))
        self.world.record.add("end", task, "run", run.run, "on", self.id, "life", self.life, how)

        async def wake():
            async with self.changed:
                self.changed.notify_all()
        asyncio.get_running_loop().create_task(wake())


class Cloud:
    """The platform's interface for machines; each executor is one machine."""

    def __init__(self, world, executors, upkeep_s=2.0, move_s=1.5):
        self.world, self.executors = world, executors
        self.upkeep_s, self.move_s = upkeep_s, move_s
        self.busy, self.done, self.tokens, self.waves = {}, set(), {}, {}
        self.down, self.began = {}, []
        self.hold_up = None

    async def open(self):
        self.server, self.address = await serve(self.handle)
        return self

    def machine(self, e):
        state = self.busy.get(e.name) or ("up" if e.alive else "down")
        return {"machine": "m-" + e.name, "pool": e.service, "state": state, "zone": "z1",
                "labels": e.labels, "capacity": e.capacity, "id": e.id if e.alive else ""}

    async def handle(self, method, path, query, headers, body):
        if path == "/api/machines":
            return 200, {"machines": [self.machine(e) for e in self.executors],
                         "nextPageToken": ""}
        call = json.loads(body)
        token = int(headers.get("fencing-token", 0))
        name = call["machine"][2:]
        executor = next((e for e in self.executors if e.name == name), None)
        if self.hold_up is not None:
            await self.hold_up(path, call)
        if executor is None:
            return 400, {}
        answer = self.order(path, call, token, executor)
        self.world.record.add("order", path, call, "token", token, "answer", answer)
        return answer

    def order(self, path, call, token, executor):
        name = executor.name
        if token < self.tokens.get(name, 0):
            return 409, {"reason": "fence"}
        self.tokens[name] = token
        if path == "/api/machine-upkeep":
            wave = call["wave"]
            if call["machine"] not in self.waves.get(wave, []):
                return 409, {"reason": "wave"}
            if (wave, name) in self.done:
                return 200, {}
            if self.busy.get(name) or not executor.alive:
                return 409, {"reason": "busy"}
            self.done.add((wave, name))
            down = [n for n, w in self.down.items() if w == wave]
            self.began.append((now_ms(), wave, name, down))
            self.world.record.add("upkeep of", name, "begins; down for the same wave:", down)
            self.down[name] = wave
            self.take(executor, "upkeep", self.upkeep_s, executor.service)
            return 200, {}
        if path == "/api/machine-move":
            if executor.service == call["pool"]:
                return 200, {}
            if self.busy.get(name) or not executor.alive:
                return 409, {"reason": "busy"}
            self.take(executor, "moving", self.move_s, call["pool"])
            return 200, {}
        return 404, {}

    def take(self, executor, state, seconds, pool):
        self.busy[executor.name] = state
        if executor.alive:
            executor.kill()

        async def back():
            await asyncio.sleep(seconds)
            executor.service = pool
            self.busy.pop(executor.name, None)
            self.down.pop(executor.name, None)
            await executor.open()
        asyncio.get_running_loop().create_task(back())


class Node:
    """A machine of the system: its process, started as the deploy file says."""

    count = 0

    def __init__(self, record, store, cloud, folder, zone="z1", bounds=None, limits=None):
        Node.count += 1
        self.record, self.folder = record, folder
        octets = (os.getpid() >> 8 & 127, os.getpid() & 255)
        self.ip = f"127.{octets[0] + 1}.{octets[1]}.{Node.count + 10}"
        self.name = f"frontend-{zone}-{Node.count}"
        self.address = f"{self.ip}:8624"
        self.boot = {
            "nodeName": self.name, "role": "node", "machineClass": "frontend",
            "serves": ["frontend"], "ip": self.ip, "zone": zone, "region": "r",
            "zones": {zone: "r"},
            "listen": {"frontend": self.address, "ready": f"{self.ip}:8622"},
            "limits": limits or {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260,
                                 "maxFileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatIntervalMs": 1500,
            "bounds": {"contactMs": 3000, "ackTimeoutMs": 4000, "drainTimeoutMs": 2000,
                       "gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
                       "maxHoldMs": 6000, "stopTimeoutMs": 900, "gangTimeoutMs": 3000,
                       "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
                       "status_s": 120, "migrationS": 1.5, "maintenanceS": 2,
                       "fencingEnforced": True, "leaseDurationMs": 3000, **(bounds or {})},
            "controlMode": "invocation", "recommendation": None,
            "platform": {"address": store.address, "form": "table", "writesPerS": 600,
                         "readsPerS": 2000, "transactionMs": 8.0, "partWritesPerS": 150,
                         "maxRowBytes": 65536, "crossPartition": False,
                         "historyRetentionS": 20},
            "cloudApi": {"address": cloud.address, "ratePerS": 64.0, "duties": [],
                         "dutiesPerS": 64.0},
        }
        self.process = None

    async def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.boot, file)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)[1].split(" ")
        command[0] = os.path.join(ROOT, command[0])
        self.log_path = os.path.join(self.folder, self.name + ".log")
        self.log = open(self.log_path, "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "JACINTHTALLY_BOOT": path}
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.add("process", self.name, "starts as", self.process.pid)
        return self

    def signal(self, number):
        self.record.add("process", self.name, "gets signal", signal.Signals(number).name)
        self.process.send_signal(number)

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def close(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            await self.process.wait()


async def request(address, method, path, body=None, deadline_ms=3000, headers=None,
                  host="h1.example"):
    """One call of a client; returns status and JSON, or (None, why)."""
    async def exchange():
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            text = b"" if body is None else json.dumps(body).encode()
            extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"Deadline-Remaining-Ms: {deadline_ms}\r\n{extra}Content-Length: {len(text)}\r\n"
                "Connection: close\r\n\r\n".encode() + text)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            rest = await reader.read()
            status = int(head.split(" ")[1])
            try:
                return status, json.loads(rest) if rest else None
            except ValueError:
                return status, None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, OSError) as error:
        return None, type(error).__name__


def config(version, routes, services):
    """A configuration: routes as (name, prefix, service, overrides)."""
    rows = []
    for name, prefix, service, more in routes:
        rows.append({"name": name, "host": "h1.example", "prefix": prefix, "service": service,
                     "timeoutMs": 3000, "targetDurationMs": 600, "priority": 0, "maxAttempts": 3,
                     "stretch": 1.6, **more})
    return {"version": version, "routes": rows,
            "services": [{"name": s, "admissionCheck": False} for s in services],
            "limits": {"maxBodyBytes": 262144}}


class Deployment:
    """A small deployment with everything that a case needs."""

    def __init__(self, record_path):
        self.record = Record(os.environ.get("RECORD", record_path))
        self.temporary = tempfile.TemporaryDirectory(prefix="review3-")
        self.folder = self.temporary.name
        self.nodes, self.executors = [], []

    async def open(self, nodes=3, executors=8, services=("svc",), routes=None, born=False,
                   cpu=4000, bounds=None, **more):
        self.store = await Store().open()
        self.world = World(self.record)
        for number in range(executors):
            executor = Executor(self.world, self.store, f"i-{number:02d}",
                                services[number % len(services)], cpu=cpu, born=born,
                                labels=("a", f"r{number // 4}"), **more)
            self.executors.append(await executor.open())
        self.cloud = await Cloud(self.world, self.executors).open()
        routes = routes or [(f"q{n}", f"/{s}/", s, {}) for n, s in enumerate(services)]
        await self.store.write("op", "config", config(1, routes, services))
        for _ in range(nodes):
            node = Node(self.record, self.store, self.cloud, self.folder, bounds=bounds)
            self.nodes.append(await node.start())
        await self.ready()
        return self

    async def ready(self, timeout_s=20):
        until = now_ms() + timeout_s * 1000
        while now_ms() < until:
            answers = [await request(f"{n.ip}:8622", "GET", "/api/ready") for n in self.nodes]
            if all(status == 200 for status, _ in answers):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the processes do not become ready")

    async def submit(self, path, job_id, body, node=0, tries=12):
        """Submits a job like a client: again with the same id after no answer, 429, 503, 504."""
        self.world.jobs[job_id] = body
        for attempt in range(tries):
            address = self.nodes[(node + attempt) % len(self.nodes)].address
            self.record.add("client POST", path + job_id, "to", address)
            status, answer = await request(address, "POST", path + job_id, body)
            self.record.add("client POST", path + job_id, "answer", status, answer)
            if status is not None and 200 <= status < 300:
                return True
            if status in (400, 404):
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, path, job_id, node=0):
        for attempt in range(6):
            address = self.nodes[(node + attempt) % len(self.nodes)].address
            status, answer = await request(address, "GET", path + job_id)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return f"no answer ({status})"

    async def close(self):
        for node in self.nodes:
            await node.close()
        for executor in self.executors:
            executor.close()
        await asyncio.sleep(0.05)
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()


def run_case(main):
    """Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def run():
        # What is under way when a case ends is cancelled, which is no fault of it.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(main(os.environ.get("TROUBLE") != "0"), 115)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # noqa: BLE001 - any failure of the case itself
        print("the case could not run:", repr(error))
        sys.exit(2)
    sys.exit(1 if broken else 0)
