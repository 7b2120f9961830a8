"""A small deployment on loopback addresses: stand-ins for the platform's store,
for servers and for clients, and the project's programs as processes of their
own, started with the commands of deploy/system.toml."""

import asyncio
import base64
import ctypes
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the deployments on the pages.
DRAIN_MS = 2000
STABLE_WINDOW_S = 3.0
GRACE_S = 8
HEARTBEAT_S = 1.2


def end_with_parent():
    """Has the kernel kill this process when the case ends in whatever way."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.begun, text))
        self.file.flush()


def free_ports(ips, count):
    """Ports that are free for TCP and UDP on all of these addresses."""
    for _ in range(200):
        first = random.randrange(20000, 30000)
        held = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        held.append(socket.socket(socket.AF_INET, kind))
                        held[-1].bind((ip, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
    raise CannotRun("no free ports")


def parse_head(text):
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    """Returns (method, target, headers, body), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, headers = parse_head(raw[:-4])
    method, target, _ = line.split(" ", 2)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                body += piece[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


class Store:
    """The platform's metadata store."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.topics = {}
        self.changed = asyncio.Condition()
        self.members = {}
        self.generation = 1
        self.era = 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, kind, body = await self.answer(*request)
                head = "HTTP/1.1 %d OK\r\nContent-Type: %s\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n" % (
                    status, kind, self.era, len(body))
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        await asyncio.sleep(0.004)
        as_json = "application/json"
        if path == "/v1/log-newest":
            newest = {}
            log = self.topics.setdefault(fields["topic"], [])
            for offset, (key, value) in enumerate(log):
                newest.pop(key, None)
                if value is not None:
                    newest[key] = (offset, value)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items())]
            return 200, as_json, json.dumps(
                {"items": items, "has_more": False, "end": len(log)}).encode()
        if path == "/v1/log-read":
            log = self.topics.setdefault(fields["topic"], [])
            first = int(fields["from"])
            end = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
            while len(log) <= first and time.monotonic() < end:
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            page = struct.pack(">QQ", len(log), 0)
            for key, value in log[first:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                page += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", page
        if path == "/v1/log-append":
            size = body[4]
            await self.put(fields["topic"], body[5:5 + size].decode(), body[5 + size:] or None)
            end = len(self.topics[fields["topic"]])
            return 200, as_json, json.dumps({"offset": end - 1, "end": end}).encode()
        if path in ("/v1/log-join", "/v1/log-leave"):
            call = json.loads(body)
            now = time.monotonic()
            for name in [name for name, until in self.members.items() if until < now]:
                del self.members[name]
                self.generation += 1
            if path == "/v1/log-leave":
                self.generation += self.members.pop(call["member"], None) is not None
                return 200, as_json, b"{}"
            self.generation += call["member"] not in self.members
            self.members[call["member"]] = now + call["ttl_ms"] / 1000
            names = sorted(self.members)
            parts = [[call["topics"][0], part, 0] for part in range(8)
                     if names[part % len(names)] == call["member"]]
            return 200, as_json, json.dumps(
                {"generation": self.generation, "ttl_ms": call["ttl_ms"], "parts": parts}).encode()
        return 404, as_json, b"{}"


class Server:
    """A server of a service. `handle(server, request, writer)` answers."""

    def __init__(self, site, service, zone, ip, port, slots, handle, engine=False):
        self.site, self.service, self.zone = site, service, zone
        self.ip, self.port, self.slots = ip, port, slots
        self.handle, self.engine = handle, engine
        self.starts = 0
        self.writers = set()
        self.tasks = set()
        self.up = False
        self.state = "ready"

    async def start(self):
        self.starts += 1
        self.id = "i-%s-%d-%d" % (self.service, int(self.ip.split(".")[2]), self.starts)
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.up = True
        self.sequence = 0
        self.beats = asyncio.ensure_future(self.beat(self.id))

    async def register(self):
        self.sequence += 1
        await self.site.store.put("keyed.servers", self.id, json.dumps(
            {"service": self.service, "address": "%s:%d" % (self.ip, self.port),
             "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
             "cold_left_ms": 0, "sequence": self.sequence, "born": self.born}).encode())

    async def beat(self, own_id):
        while self.up and self.id == own_id:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, restart_after=None):
        """Ends at once, as a process that dies."""
        if not self.up:
            return
        self.up = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.close() if writer.transport.get_write_buffer_size() == 0 \
                else writer.transport.abort()
        for task in list(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()
        asyncio.ensure_future(self.after_crash(self.id, restart_after))

    async def after_crash(self, own_id, restart_after):
        if restart_after is not None:
            await asyncio.sleep(restart_after)
            await self.start()
        # The entry lapses after three heartbeats.
        await asyncio.sleep(max(0, 3 * HEARTBEAT_S - (restart_after or 0)))
        await self.site.store.put("keyed.servers", own_id, None)

    async def serve(self, reader, writer):
        own_id = self.id
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while self.up and self.id == own_id:
                request = await read_request(reader)
                if request is None:
                    return
                method, target, headers, _ = request
                if target == "/v1/report":
                    body = json.dumps(self.report()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 b"Content-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    continue
                expected = headers.get("x-toucanhollow-expect-instance")
                if expected not in (None, self.id):
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\n"
                                 b"X-Toucanhollow-Instance-Id: " + self.id.encode() +
                                 b"\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                await self.handle(self, request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def report(self):
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0,
                "kv_total": 494000, "handles": 0, "born": self.born, "pace": 1.0,
                "group": {"name": "g-" + self.ip, "epoch": self.starts, "rank": 0, "size": 1,
                          "state": "open"},
                "size": 1, "step": int(time.monotonic() * 100), "map": 0, "prepared": None,
                "armed": None, "held": None}


def answer_head(request_id, more="", status="200 OK"):
    return ("HTTP/1.1 %s\r\nX-Toucanhollow-Request-Id: %s\r\n"
            "X-Toucanhollow-Response-Seal: seal.%s\r\n%s" % (status, request_id, request_id, more))


class Answer:
    """A client's view of the answer to one request."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.problem = ""


async def read_answer(reader, on_body=None):
    answer = Answer()
    try:
        while True:
            raw = await reader.readuntil(b"\r\n\r\n")
            line, answer.headers = parse_head(raw[:-4])
            if not re.match(r"HTTP/1\.1 \d\d\d", line):
                answer.problem = "no answer in the protocol: %r" % raw[:60]
                return answer
            answer.status = int(line.split(" ")[1])
            if answer.status >= 200:
                break
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size_line = await reader.readuntil(b"\r\n")
                try:
                    size = int(size_line.split(b";")[0], 16)
                except ValueError:
                    answer.problem = "no chunk: %r" % size_line[:60]
                    return answer
                piece = await reader.readexactly(size + 2)
                answer.body += piece[:-2]
                if on_body and size:
                    on_body(answer)
                if size == 0:
                    break
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
        answer.problem = "the connection was closed"
    except (ConnectionError, OSError) as error:
        answer.problem = "the connection was reset"
    return answer


class Site:
    """Entry hosts, agents, the store and servers."""

    def __init__(self, record, entry_hosts=2, engines=4, plain_servers=0):
        # A network of its own in the loopback range, so that cases can run
        # beside others.
        net = "127.%d" % random.randrange(40, 250)
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="review_")
        self.hosts = ["%s.%d.1" % (net, 10 + i) for i in range(entry_hosts)]
        self.engine_ips = ["%s.%d.1" % (net, 100 + i) for i in range(engines)]
        self.plain_ips = ["%s.%d.1" % (net, 200 + i) for i in range(plain_servers)]
        store_ip = net + ".1.1"
        ips = self.hosts + self.engine_ips + self.plain_ips + [store_ip]
        (self.front, self.ready, self.control, self.report_port, self.metrics_port,
         self.third, self.app, store_port) = free_ports(ips, 8)
        self.store = Store(store_ip, store_port)
        self.processes = {}
        self.servers = []
        self.numbers = itertools.count(1)
        program = os.path.join(ROOT, "target", "bin", "toucanhollow")
        self.program = os.environ.get("TOUCANHOLLOW_PROGRAM", program)
        if not os.access(self.program, os.X_OK):
            raise CannotRun("the build of the deploy file is missing: " + self.program)

    def zone(self, index):
        return ("zone-a", "zone-b", "zone-c")[index % 3]

    def add_server(self, service, ip, slots, handle, engine=False):
        index = len(self.servers)
        server = Server(self, service, self.zone(index), ip, self.app, slots, handle, engine)
        self.servers.append(server)
        return server

    def settings(self, role, ip, index):
        name = {"relay": "entry_host", "rank_agent": "rank_agent"}[role]
        with open(os.path.join(ROOT, "deploy", name + ".ini.template")) as file:
            text = file.read()
        values = {
            "node_name": "%s-%d" % (role, index), "zone": self.zone(index), "ip": ip,
            "listen.front": "%s:%d" % (ip, self.front), "listen.ready": "%s:%d" % (ip, self.ready),
            "listen.control": "%s:%d" % (ip, self.control),
            "internal_ports.0": self.report_port, "internal_ports.1": self.metrics_port,
            "platform.address": "%s:%d" % (self.store.ip, self.store.port), "platform.parts": 8,
            "seeds": ",".join("%s:%d" % (host, self.control) for host in self.hosts[:3]),
            "limits.max_fds": 4200, "bounds.grace_s": GRACE_S, "bounds.budget_ratio": 0.2,
            "bounds.budget_window_s": 10, "bounds.budget_slack": 88,
            "bounds.cold_burst_factor": 1.5, "bounds.cold_slack": 5,
            "bounds.drain_ms": DRAIN_MS, "bounds.stable_window_ms": int(STABLE_WINDOW_S * 1000),
            "app": "%s:%d" % (ip, self.app)}
        path = os.path.join(self.directory, "%s-%d.ini" % (role, index))
        with open(path, "w") as file:
            file.write(re.sub(r"\{\{(.*?)\}\}", lambda match: str(values[match.group(1)]), text))
        return path

    def start_process(self, role, ip, index):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["TOUCANHOLLOW_CONFIG"] = self.settings(role, ip, index)
        if role == "relay":
            environment["MEMORY_LIMIT_MB"] = "260"
        name = "%s-%d" % (role, index)
        log = open(os.path.join(self.directory, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [self.program, "--role=" + role], env=environment, cwd=ROOT, stdout=log, stderr=log,
            preexec_fn=end_with_parent)
        return self.processes[name]

    def signal(self, name, number):
        self.record("%s gets %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)

    async def start(self, config):
        await self.store.start()
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        for server in self.servers:
            await server.start()
        for index, ip in enumerate(self.engine_ips):
            self.start_process("rank_agent", ip, index)
        for index, ip in enumerate(self.hosts):
            self.start_process("relay", ip, index)
        end = time.monotonic() + 15
        for ip in self.hosts:
            while not await self.is_ready(ip):
                if time.monotonic() > end:
                    raise CannotRun("an entry host does not become ready")
                await asyncio.sleep(0.1)
        # The hosts hear each other, and agents fill their permits.
        await asyncio.sleep(2)

    async def is_ready(self, ip):
        try:
            reader, writer = await asyncio.open_connection(ip, self.ready)
        except OSError:
            return False
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: %s\r\n\r\n" % ip.encode())
        answer = await read_answer(reader)
        writer.close()
        return answer.status == 200

    def new_id(self):
        return "%016x" % (random.getrandbits(40) << 24 | next(self.numbers))

    def request(self, method, path, request_id, deadline_ms, key="key-1", more="", body=b""):
        head = ("%s %s HTTP/1.1\r\nHost: site.example\r\nX-Toucanhollow-Request-Id: %s\r\n"
                "X-Toucanhollow-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s" %
                (method, path, request_id, deadline_ms, key, more))
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        return head.encode() + b"\r\n" + body

    async def ask(self, host, request, on_body=None, timeout=None):
        """Sends one request on a new connection."""
        try:
            reader, writer = await asyncio.open_connection(host, self.front)
        except OSError:
            answer = Answer()
            answer.problem = "no connection"
            return answer
        try:
            writer.write(request)
            return await asyncio.wait_for(read_answer(reader, on_body), timeout)
        except asyncio.TimeoutError:
            answer = Answer()
            answer.problem = "no answer in time"
            return answer
        finally:
            writer.close()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory, file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


STREAM_ROUTE = {"name": "stream", "host": "site.example", "path_prefix": "/stream/",
                "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 400, "priority": 1,
                "service": "engine", "attempts": 2, "anonymous": False, "sticky": True,
                "resumable": True, "max_gap_ms": 120}
SAFE_ROUTE = {"name": "safe", "host": "site.example", "path_prefix": "/safe/", "kind": "safe",
              "timeout_ms": 2500, "target_latency_ms": 300, "priority": 2, "service": "plain",
              "attempts": 2, "anonymous": False}
UNSAFE_ROUTE = dict(SAFE_ROUTE, name="unsafe", path_prefix="/unsafe/", kind="unsafe", attempts=1)
ENGINE_SERVICE = {"name": "engine", "health_path": "/health", "max_conns": 278, "protocol": "h1",
                  "tls": False, "cold_s": 3.0, "cold_per_s": 26.0,
                  "engine": {"slots": 12, "kv_capacity": 494000, "step_ms": 4.84,
                             "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800.0,
                             "pairs_per_m": 0.232, "chunk": 512, "stride": 6,
                             "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 158}}}
PLAIN_SERVICE = {"name": "plain", "health_path": "/health", "max_conns": 96, "protocol": "h1",
                 "tls": False, "cold_s": 0.0, "cold_per_s": 0.0}


def make_config(version=1, routes=None, services=None, tenants=None):
    return {"version": version,
            "routes": routes or [STREAM_ROUTE, SAFE_ROUTE, UNSAFE_ROUTE],
            "services": services or [ENGINE_SERVICE, PLAIN_SERVICE],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": "tenant-%d" % i, "api_keys": ["key-%d" % i],
                                    "priority": 1} for i in range(1, 4)]}


def prompt_parts(headers):
    """The parts of a prompt that others may share."""
    entries = headers.get("x-toucanhollow-prompt-prefix", "").split(",")
    return [entry.split(":")[0] for entry in entries][:-1]


class DeadlyPart:
    """Engines that a part of a prompt crashes, and what they saw."""

    def __init__(self, record, part, deadly, events_before_crash, restart_after=2.0):
        self.record, self.part, self.deadly = record, part, deadly
        self.events_before_crash = events_before_crash
        self.restart_after = restart_after
        self.arrivals = []
        self.crashes = []
        self.began = set()

    async def handle(self, server, request, writer):
        headers = request[2]
        request_id = headers["x-toucanhollow-request-id"]
        has_part = self.part in prompt_parts(headers)
        if has_part:
            self.arrivals.append(time.monotonic())
            self.record("request %s with the part reaches %s" % (request_id, server.id))
        await asyncio.sleep(0.04)
        crashes = has_part and self.deadly
        if crashes and self.events_before_crash == 0:
            await self.crash(server)
        first = int(headers.get("last-event-id", "0"))
        writer.write(answer_head(
            request_id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            "Keep-Alive: timeout=5\r\n\r\n").encode())
        for number in range(first + 1, 13):
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.began.add(request_id)
            if crashes and number - first >= self.events_before_crash:
                await self.crash(server)
            await asyncio.sleep(0.015)
        writer.write(b"0\r\n\r\n")

    async def crash(self, server):
        self.crashes.append(time.monotonic())
        self.record("%s crashes; crash %d" % (server.id, len(self.crashes)))
        server.crash(restart_after=self.restart_after)
        raise ConnectionError()


class PromptCaller:
    """Sends a stream request, and repeats it if it was refused."""

    def __init__(self, site):
        self.site = site
        self.results = []

    async def send(self, kind, number, key, prefix, repeats=1):
        begun = time.monotonic()
        left_ms = 8000
        for attempt in range(1 + repeats):
            request_id = self.site.new_id()
            host = self.site.hosts[(number + attempt) % len(self.site.hosts)]
            more = ("X-Toucanhollow-Model-Name: m\r\nX-Toucanhollow-Token-Count: 440,72\r\n"
                    "X-Toucanhollow-Prompt-Prefix: %s\r\n" % prefix)
            answer = await self.site.ask(
                host, self.site.request("POST", "/stream/draft", request_id, left_ms, key=key,
                                        more=more, body=b"p" * 300), timeout=left_ms / 1000)
            self.site.record("%s request %s, attempt %d -> %d, complete: %s %s" % (
                kind, request_id, attempt + 1, answer.status, answer.complete, answer.problem))
            if attempt == 0:
                first_ok = answer.status == 200 and len(answer.body) > 0
            if answer.status not in (429, 503):
                break
            wait = float(answer.headers.get("retry-after", "0"))
            await asyncio.sleep(min(wait, left_ms / 3000))
            left_ms = 8000 - int((time.monotonic() - begun) * 1000)
        self.results.append((kind, begun, key, first_ok, answer.status == 200 and answer.complete))


def run_case(case):
    """Runs `case(record, trouble)`, which returns a list of broken rules."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record("with the disruption" if trouble else "without the disruption")
    try:
        broken = asyncio.run(case(record, trouble))
    except Exception as error:  # The case itself failed, not the rule.
        record("the case could not run: %r" % error)
        print("the case could not run: %r" % error)
        sys.exit(2)
    for line in broken:
        record("BROKEN: " + line)
        print("BROKEN: " + line)
    if not broken:
        record("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
