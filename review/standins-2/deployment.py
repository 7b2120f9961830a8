"""Stand-ins for the platform, model servers, plain servers and clients, and the
project's own processes, on loopback addresses.

Everything runs in one event loop, except for the project's own processes.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

# A script that is told to end also ends what it started.
signal.signal(signal.SIGTERM, signal.default_int_handler)


def now():
    return time.monotonic()


class Record:
    """Writes what happened to a file, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.start:9.3f} {event} {text}\n")
        self.file.flush()


# --- HTTP ------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        url = urllib.parse.urlsplit(target)
        self.path = url.path
        self.query = dict(urllib.parse.parse_qsl(url.query))


async def read_head(reader):
    """Returns the start line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the bytes of the next chunk, which are empty for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readuntil(b"\r\n")
    return data


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = head[1]
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while chunk := await read_chunk(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, body=b"", headers=(), reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """Calls `handle(request, writer)`, which returns the bytes of the response,
    or None if it has written the response itself."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def listen(self, ip, port, **options):
        self.server = await asyncio.start_server(self.serve, ip, port, **options)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                answer = await self.handle(request, writer)
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# --- the platform's store ----------------------------------------------------


def encode_record(key, value):
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return struct.pack(">I", len(content)) + content


class Store:
    def __init__(self, record, parts=8):
        self.record = record
        self.parts = parts
        self.topics = {}
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)
        self.members = {}  # name -> time of its last join
        self.ttl = {}
        self.owner = {}  # partition -> member
        self.generation = 1
        self.on_read = None  # called with the topic and the connection

    async def listen(self, ip, port):
        await self.http.listen(ip, port)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, topic, key, value):
        """`value` is None to delete the key. Returns when it is accepted."""
        data = None if value is None else json.dumps(value).encode()
        self.topic(topic).append((key, data))
        async with self.changed:
            self.changed.notify_all()
        return now()

    async def handle(self, request, writer):
        await asyncio.sleep(0.004)
        if request.path == "/v1/log-newest":
            return response(200, self.newest(request))
        if request.path == "/v1/log-read":
            return response(200, await self.read(request, writer))
        if request.path == "/v1/log-append":
            return self.append(request)
        if request.path == "/v1/log-join":
            return response(200, self.join(json.loads(request.body)))
        if request.path == "/v1/log-leave":
            self.leave(json.loads(request.body)["member"])
            return response(200, b"{}")
        return response(404)

    def newest(self, request):
        log = self.topic(request.query["topic"])
        newest = {}
        for offset, (key, value) in enumerate(log):
            if value is None:
                newest.pop(key, None)
            else:
                newest[key] = (offset, value)
        after = request.query.get("after", "")
        keys = [key for key in sorted(newest) if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        page = {"items": items, "has_more": len(keys) > 500, "end": len(log)}
        return json.dumps(page).encode()

    async def read(self, request, writer):
        topic = request.query["topic"]
        log = self.topic(topic)
        begin = int(request.query["from"])
        end_at = now() + int(request.query.get("wait_ms", 0)) / 1000
        while len(log) <= begin and now() < end_at:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), max(end_at - now(), 0.001)
                    )
                except asyncio.TimeoutError:
                    pass
        page = struct.pack(">QQ", len(log), 0)
        page += b"".join(encode_record(*entry) for entry in log[begin:])
        if self.on_read is not None:
            self.on_read(topic, writer)
        return page

    def append(self, request):
        topic = request.query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return response(403)
        size = request.body[4]
        key = request.body[5 : 5 + size].decode()
        self.topic(topic).append((key, request.body[5 + size :] or None))
        end = len(self.topic(topic))
        return response(200, json.dumps({"offset": end - 1, "end": end}).encode())

    # A group of one topic with `parts` partitions. Members keep the partitions
    # that they have as far as an even distribution allows it.
    def distribute(self):
        if not self.members:
            self.owner = {}
            return
        most = -(-self.parts // len(self.members))
        counts = dict.fromkeys(self.members, 0)
        owner = {}
        for part in reversed(range(self.parts)):
            name = self.owner.get(part)
            if name in counts and counts[name] < most:
                owner[part] = name
                counts[name] += 1
        for part in reversed(range(self.parts)):
            if part not in owner:
                name = min(counts, key=counts.get)
                owner[part] = name
                counts[name] += 1
        self.owner = owner
        self.generation += 1
        self.record("partitions", generation=self.generation,
                    last=self.owner.get(self.parts - 1))

    def expire(self):
        gone = [
            name
            for name, joined in self.members.items()
            if now() - joined > self.ttl[name]
        ]
        for name in gone:
            del self.members[name]
        if gone:
            self.distribute()

    def join(self, call):
        self.expire()
        name = call["member"]
        is_new = name not in self.members
        self.members[name] = now()
        self.ttl[name] = call["ttl_ms"] / 1000
        if is_new:
            self.distribute()
        mine = [
            [call["topics"][0], part, 0]
            for part in range(self.parts)
            if self.owner[part] == name
        ]
        answer = {"generation": self.generation, "ttl_ms": call["ttl_ms"], "parts": mine}
        return json.dumps(answer).encode()

    def leave(self, name):
        if self.members.pop(name, None) is not None:
            self.distribute()

    def reassign_all(self):
        """Deals all partitions anew at once: each goes to the next member."""
        names = sorted(self.members)
        self.owner = {
            part: names[(names.index(name) + 1) % len(names)]
            for part, name in self.owner.items()
            if name in names
        }
        self.generation += 1
        self.record("reassigned", generation=self.generation,
                    last=self.owner.get(self.parts - 1))

    def coordinator(self):
        return self.owner.get(self.parts - 1, "")


# --- a group of model servers ------------------------------------------------


class Rank:
    def __init__(self, number, ip, port, server_id):
        self.number = number
        self.ip = ip
        self.port = port
        self.id = server_id
        self.sequence = 0
        self.fence = 0
        self.version = 0
        self.highest = 0
        self.map = None
        self.busy_until = 0
        self.prepared = None  # (version, map), complete at busy_until
        self.armed = None  # (version, step, map)
        self.held = None
        self.counts = None
        self.streams = []
        self.http = None


class ModelGroup:
    """Ranks in lock-step, as far as the expert maps and streams need it."""

    def __init__(self, record, ranks, sets=4, experts=64, places=5, spare=2,
                 pass_s=0.035, load_s=0.111, order_s=0.0):
        self.record = record
        self.ranks = ranks
        self.sets = sets
        self.experts = experts
        self.places = places
        self.spare = spare
        self.pass_s = pass_s
        self.load_s = load_s
        self.order_s = order_s  # until an order is answered
        self.epoch = 1
        self.step = 0
        self.switches = 0
        self.mixed = 0
        self.refused_spare = 0
        self.demand = [[1.0] * experts for _ in range(sets)]
        self.on_order = None
        self.runs = {}  # request id -> number of runs
        self.last_pass_at = now()
        first = [
            [
                [expert for expert in range(experts) if expert % len(ranks) == rank]
                for rank in range(len(ranks))
            ]
            for _ in range(sets)
        ]
        for rank in ranks:
            rank.map = first
            rank.counts = [[0.0] * experts for _ in range(sets)]

    async def listen(self):
        for rank in self.ranks:
            rank.http = HttpServer(
                lambda request, writer, rank=rank: self.handle(rank, request, writer)
            )
            await rank.http.listen(rank.ip, rank.port)
        asyncio.get_running_loop().create_task(self.run())

    async def handle(self, rank, request, writer):
        if request.path == "/v1/report":
            return response(200, json.dumps(self.report(rank)).encode())
        if request.path == "/v1/picked":
            return response(200, json.dumps(self.picked(rank, request)).encode())
        if request.path == "/v1/order":
            order = json.loads(request.body)
            status, why = self.order(rank, order)
            self.record("order", rank=rank.number, op=order["operation"],
                        version=order.get("version", ""), step=order.get("step", ""),
                        expected=order.get("expected"), status=status, why=why)
            await asyncio.sleep(self.order_s)
            return response(status, json.dumps({"why": why}).encode())
        return await self.stream(rank, request, writer)

    def report(self, rank):
        report = {
            "stage": "both",
            "group": {
                "name": "g",
                "epoch": self.epoch,
                "rank": rank.number,
                "state": "open",
            },
            "size": len(self.ranks),
            "busy": now() < rank.busy_until,
            "sequence": rank.sequence,
            "step": self.step,
            "map": rank.version,
            "pace": 1.0,
            "queued": 0,
            "running": len(rank.streams),
            "born": 1700000000000,
        }
        if rank.prepared and now() >= rank.busy_until:
            report["prepared"] = rank.prepared[0]
        if rank.armed:
            report["armed"] = rank.armed[0]
        if rank.held is not None:
            report["held"] = rank.held
        return report

    def picked(self, rank, request):
        if "lists" in request.query:
            own = [rank.map[s][rank.number] for s in range(self.sets)]
            return {"map": {"version": rank.version, "experts": own}}
        flat = [count for counts in rank.counts for count in counts]
        return {"step": self.step, "epoch": self.epoch, "counts": flat}

    def order(self, rank, order):
        if order.get("fence_token", 0) < rank.fence:
            return 412, "fenced"
        rank.fence = max(rank.fence, order.get("fence_token", 0))
        if order.get("epoch", self.epoch) != self.epoch:
            return 409, "epoch"
        if order.get("expected", rank.sequence) != rank.sequence:
            return 409, "sequence"
        status, why = getattr(self, "order_" + order["operation"])(rank, order)
        if status == 202:
            rank.sequence += 1
            if self.on_order is not None:
                self.on_order(rank, order)
        return status, why

    def order_prepare(self, rank, order):
        version = order["version"]
        if version <= rank.highest:
            return 409, "version"
        if rank.armed:
            return 409, "armed"
        if now() < rank.busy_until:
            return 409, "busy"
        new = 0
        for s in range(self.sets):
            own = order["map"][s][rank.number]
            added = len(set(own) - set(rank.map[s][rank.number]))
            if len(own) > self.places:
                return 409, "places"
            if added > self.spare:
                self.refused_spare += 1
                return 409, "spare"
            new += added
        rank.highest = version
        rank.prepared = (version, order["map"])
        rank.busy_until = now() + new * self.load_s
        return 202, ""

    def order_arm(self, rank, order):
        if not rank.prepared or rank.prepared[0] != order["version"]:
            return 409, "not prepared"
        if now() < rank.busy_until:
            return 409, "not complete"
        if order["step"] <= self.step:
            return 409, "begun"
        if rank.armed:
            return 409, "armed"
        rank.armed = (order["version"], order["step"], rank.prepared[1])
        return 202, ""

    def order_disarm(self, rank, order):
        if rank.version == order["version"]:
            return 409, "in use"
        if not rank.armed or rank.armed[0] != order["version"]:
            return 200, "not armed"
        rank.armed = None
        return 202, ""

    def order_hold(self, rank, order):
        if rank.held == order["step"]:
            return 200, "held"
        if rank.held is not None or order["step"] <= self.step:
            return 409, "begun or held"
        rank.held = order["step"]
        return 202, ""

    def order_go(self, rank, order):
        if rank.held is None:
            return 200, "not held"
        if rank.held != order["step"]:
            return 409, "another step"
        rank.held = None
        return 202, ""

    async def stream(self, rank, request, writer):
        request_id = request.headers["x-toucanhollow-request-id"]
        if request.headers.get("x-toucanhollow-expect-instance") != rank.id:
            return response(421, headers=[("X-Toucanhollow-Instance-Id", rank.id)])
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record("runs", server=rank.id, request=request_id)
        after = int(request.headers.get("last-event-id", 0))
        stream = {"next": after + 1, "last": 26, "writer": writer,
                  "id": request_id, "begun": False,
                  "done": asyncio.get_running_loop().create_future()}
        rank.streams.append(stream)
        await stream["done"]
        return None

    async def run(self):
        while True:
            await asyncio.sleep(self.pass_s)
            step = self.step + 1
            if any(rank.held is not None and rank.held <= step for rank in self.ranks):
                continue
            if not any(rank.streams for rank in self.ranks):
                continue
            self.begin_pass(step)

    def begin_pass(self, step):
        self.step = step
        self.last_pass_at = now()
        switched = False
        for rank in self.ranks:
            if rank.armed and rank.armed[1] <= step:
                rank.version, rank.map = rank.armed[0], rank.armed[2]
                rank.armed = None
                switched = True
        self.switches += switched
        if any((r.version, r.map) != (self.ranks[0].version, self.ranks[0].map)
               for r in self.ranks):
            self.mixed += 1
            self.record("MIXED MAPS", step=step)
        for rank in self.ranks:
            for s in range(self.sets):
                counts, demand = rank.counts[s], self.demand[s]
                for expert in range(self.experts):
                    counts[expert] += demand[expert]
            for stream in list(rank.streams):
                self.advance(rank, stream)

    def advance(self, rank, stream):
        writer = stream["writer"]
        if writer.is_closing() or writer.transport.is_closing():
            rank.streams.remove(stream)
            stream["done"].set_result(None)
            return
        if not stream["begun"]:
            stream["begun"] = True
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    f"X-Toucanhollow-Request-Id: {stream['id']}\r\n"
                    f"X-Toucanhollow-Response-Seal: seal-{stream['id']}\r\n"
                    "Keep-Alive: timeout=5\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode()
            )
        event = f"id: {stream['next']}\ndata: {stream['id']}-{stream['next']}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        stream["next"] += 1
        if stream["next"] > stream["last"]:
            writer.write(b"0\r\n\r\n")
            rank.streams.remove(stream)
            stream["done"].set_result(None)


# --- the project's own processes -----------------------------------------------


class Process:
    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.arguments, cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child is not None:
            if self.child.poll() is None:
                self.child.send_signal(signal.SIGCONT)
                self.child.kill()
            self.child.wait()
            self.child = None


def deploy_command(role):
    """The command of the role in the deploy file, without its settings."""
    text = (ROOT / "deploy/system.toml").read_text()
    section = text.split(f"[roles.{role}]")[1].split("[roles.")[0]
    run = re.search(r'^run = "(.*)"$', section, re.M).group(1).split()
    run[0] = os.environ.get("TOUCANHOLLOW_PROGRAM", run[0])
    return [word for word in run if not word.startswith("--settings=")]


def fill_template(name, fields):
    text = (ROOT / "deploy" / name).read_text()
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: str(fields[match.group(1)]), text)


class Site:
    """Addresses, settings and processes of one small deployment."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.port = random.randrange(20000, 30000)
        self.processes = []
        self.store = None
        self.store_ip = self.ip(1)

    def ip(self, machine):
        return f"{self.net}.{machine}"

    async def start_store(self):
        self.store = Store(self.record)
        await self.store.listen(self.store_ip, self.port)

    def relay(self, machine, seeds, zone="west", **changes):
        ip = self.ip(machine)
        fields = {
            "node_name": f"front-{machine}",
            "zone": zone,
            "listen.front": f"{ip}:{self.port + 1}",
            "listen.ready": f"{ip}:{self.port + 2}",
            "listen.control": f"{ip}:{self.port + 3}",
            "internal_ports.0": self.port + 4,
            "internal_ports.1": self.port + 9,
            "platform.address": f"{self.store_ip}:{self.port}",
            "platform.parts": 8,
            "seeds": ",".join(f"{self.ip(seed)}:{self.port + 3}" for seed in seeds),
            "limits.max_fds": 4200,
            "bounds.grace_s": 8,
            "bounds.budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.budget_slack": 88,
            "bounds.cold_burst_factor": 1.5,
            "bounds.cold_slack": 5,
            "bounds.drain_ms": 2000,
            "bounds.stable_window_ms": 3000,
        }
        fields.update(changes)
        text = fill_template("entry_host.ini.template", fields)
        return self.process(f"front-{machine}", "entry-host", text)

    def agent(self, machine, app):
        ip = self.ip(machine)
        fields = {
            "node_name": f"side-{machine}",
            "ip": ip,
            "internal_ports.0": self.port + 4,
            "internal_ports.1": self.port + 9,
            "app": app,
        }
        text = fill_template("rank_agent.ini.template", fields)
        return self.process(f"side-{machine}", "rank-agent", text)

    def process(self, name, role, settings):
        file = pathlib.Path(self.directory) / f"{name}.ini"
        file.write_text(settings)
        process = Process(
            name,
            deploy_command(role) + [f"--settings={file}"],
            pathlib.Path(self.directory) / f"{name}.log",
        )
        self.processes.append(process)
        process.start()
        self.record("started", process=name)
        return process

    def log(self, process):
        return process.log.read_text(errors="replace")

    def stop(self):
        for process in self.processes:
            process.kill()
        if self.store is not None:
            self.store.http.stop()
        if not os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(self.directory).iterdir():
                path.unlink()
            pathlib.Path(self.directory).rmdir()
        else:
            print("logs:", self.directory)

    async def wait_ready(self, machine, limit=10):
        end = now() + limit
        while now() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    self.ip(machine), self.port + 2
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0]:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False


# --- clients ---------------------------------------------------------------------

request_numbers = itertools.count(1)


def new_request_id():
    return f"{os.getpid():x}-{next(request_numbers):08x}"


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.sent_at = 0
        self.ended_at = 0


async def read_answer(reader, answer, gap=None):
    """Reads one response. `gap`: the longest time without new bytes."""

    def limited(awaitable):
        return asyncio.wait_for(awaitable, gap) if gap else awaitable

    head = await limited(read_head(reader))
    if head is None:
        answer.error = "closed before the head"
        return
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while chunk := await limited(read_chunk(reader)):
            answer.body += chunk
    else:
        size = int(answer.headers.get("content-length", 0))
        answer.body = await limited(reader.readexactly(size))
    answer.complete = True


async def call(ip, port, method, target, request_id, headers=(), body=b"",
               deadline_s=8.0, gap=None, host="h.example", key="k1"):
    """Sends one request on a new connection and reads its answer."""
    answer = Answer()
    answer.sent_at = now()
    writer = None
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"X-Toucanhollow-Request-Id: {request_id}",
        f"X-Toucanhollow-Deadline-Ms: {int(deadline_s * 1000)}",
        f"Authorization: Token {key}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await asyncio.wait_for(read_answer(reader, answer, gap), deadline_s + 0.7)
    except asyncio.TimeoutError:
        answer.error = answer.error or "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = answer.error or type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.ended_at = now()
    return answer


# --- plain servers -----------------------------------------------------------------


class PlainServer:
    """A server of a plain service. It can stop to take connections from its
    queue, which then fills up, so that opening packets are dropped."""

    def __init__(self, record, server_id, ip, port, queue=2, slots=6):
        self.record = record
        self.slots = slots
        self.id = server_id
        self.ip = ip
        self.port = port
        self.queue = queue
        self.taking = asyncio.Event()
        self.taking.set()
        self.http = HttpServer(self.handle)
        self.answer = None  # async (request, headers) -> bytes of the response
        self.arrivals = []  # (time, request id)
        self.finished = set()  # ids of requests that ran to their end
        self.begun = set()
        self.loop_task = None
        self.socket = None

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind((self.ip, self.port))
        self.socket.listen(self.queue)
        self.loop_task = loop.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.taking.wait()
            try:
                taken, _ = await asyncio.wait_for(loop.sock_accept(self.socket), 0.02)
            except asyncio.TimeoutError:
                continue
            reader, writer = await asyncio.open_connection(sock=taken)
            loop.create_task(self.http.serve(reader, writer))

    async def handle(self, request, writer):
        request_id = request.headers.get("x-toucanhollow-request-id", "")
        if request.path == "/health":
            return response(200, headers=[("X-Toucanhollow-Instance-Id", self.id)])
        if request.headers.get("x-toucanhollow-expect-instance") != self.id:
            return response(421, headers=[("X-Toucanhollow-Instance-Id", self.id)])
        self.arrivals.append((now(), request_id))
        self.record("arrives", server=self.id, request=request_id)
        self.begun.add(request_id)
        headers = [
            ("X-Toucanhollow-Request-Id", request_id),
            ("X-Toucanhollow-Response-Seal", f"seal-{request_id}"),
        ]
        answer = await self.answer(request, headers)
        self.finished.add(request_id)
        return answer

    def entry(self, state, sequence):
        return {
            "service": "app", "address": f"{self.ip}:{self.port}", "zone": "west",
            "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
            "sequence": sequence, "born": 1700000000000,
        }

    def stop(self):
        if self.loop_task is not None:
            self.loop_task.cancel()
        if self.socket is not None:
            self.socket.close()
        self.http.stop()


def plain_config(version=7, timeout_ms=4000):
    """A plain service with a safe and an unsafe route, and one for streams."""

    def route(name, prefix, kind, **more):
        entry = {
            "name": name, "host": "h.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 2,
            "service": "app", "attempts": 2, "anonymous": False,
        }
        entry.update(more)
        return entry

    return {
        "version": version,
        "routes": [
            route("read", "/s/", "safe"),
            route("post", "/u/", "unsafe"),
            route("draft", "/d/", "streaming", resumable=True, max_gap_ms=120,
                  target_latency_ms=400),
        ],
        "services": [{
            "name": "app", "health_path": "/health", "max_conns": 96,
            "protocol": "h1", "tls": False, "cold_s": 0.0, "cold_per_s": 0.0,
        }],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": ["k1"]}],
    }
