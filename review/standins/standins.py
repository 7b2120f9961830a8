"""Stand-ins for the platform, the servers and the clients of a small site.

The system under test runs as separate processes, started with the commands of
deploy/system.toml. Everything here listens on loopback addresses only.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import types

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "toucanhollow")

DRAIN_MS = 2000
STABLE_WINDOW_MS = 3000
GRACE_S = 8


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def own_ip(number):
    """A loopback address of this run alone, so that runs go side by side."""
    pid = os.getpid()
    return "127.%d.%d.%d" % (1 + pid // 200 % 200, 1 + pid % 200, number)


def free_port(ips, kinds=("tcp", "udp")):
    """A port that is free on all these addresses."""
    import socket
    for _ in range(200):
        port = random.randrange(12000, 30000)
        try:
            for ip in ips:
                for kind in kinds:
                    s = socket.socket(socket.AF_INET,
                                      socket.SOCK_STREAM if kind == "tcp" else socket.SOCK_DGRAM)
                    try:
                        s.bind((ip, port))
                    finally:
                        s.close()
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer):
    """Closes the connection with a reset."""
    import socket
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# ---------------------------------------------------------------- the store

class Store:
    """The platform's store: keyed topics, long reads, one group.

    Each entry host has an address of its own for it ("door"), so that one host
    can be cut off while the others are served.
    """

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.doors = {}
        self.members = {}
        self.generation = 0

    async def open(self, name, ip):
        door = Door(self, name)
        door.server = await asyncio.start_server(door.serve, ip, 0)
        door.address = "%s:%d" % door.server.sockets[0].getsockname()[:2]
        self.doors[name] = door
        return door

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def put(self, topic, key, value):
        """Appends a record; no value removes the key. Returns its offset."""
        log = self.topic(topic)
        log.append((key, value))
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return len(log) - 1

    def newest(self, name):
        items = {}
        log = self.topic(name)
        for offset, (key, value) in enumerate(log):
            if value is None:
                items.pop(key, None)
            else:
                items[key] = {"key": key, "offset": offset,
                              "value": base64.b64encode(value.encode()).decode()}
        return {"items": [items[key] for key in sorted(items)], "has_more": False,
                "end": len(log)}

    def page(self, name, start):
        log = self.topic(name)
        page = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            content = bytes([len(key)]) + key.encode() + (value or "").encode()
            page += struct.pack(">I", len(content)) + content
        return page

    async def read(self, query):
        name, start = query["topic"], int(query.get("from", 0))
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(self.topic(name)):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                break
        return self.page(name, start)

    def join(self, body):
        member, now = body["member"], time.monotonic()
        before = set(self.members)
        self.members = {m: t for m, t in self.members.items() if t > now}
        self.members[member] = now + body["ttl_ms"] / 1000
        if set(self.members) != before:
            self.generation += 1
        # The partitions are dealt evenly; the last one goes to the first member.
        holder = min(self.members)
        parts = [["expert-map-coordinator", 7, 0]] if holder == member else []
        return {"generation": max(self.generation, 1), "parts": parts}

    async def handle(self, method, path, query, body):
        if path == "/v1/log-newest":
            return 200, json.dumps(self.newest(query["topic"])).encode()
        if path == "/v1/log-read":
            return 200, await self.read(query)
        if path == "/v1/log-join":
            return 200, json.dumps(self.join(json.loads(body))).encode()
        if path == "/v1/log-leave":
            self.members.pop(json.loads(body)["member"], None)
            self.generation += 1
            return 200, b"{}"
        if path == "/v1/log-append" and query["topic"] == "keyed.status":
            size = body[4]
            offset = self.put(query["topic"], body[5:5 + size].decode(),
                              body[5 + size:].decode("latin-1"))
            return 200, json.dumps({"offset": offset, "end": offset + 1}).encode()
        return 404, b"{}"


class Door:
    """The store as one entry host reaches it."""

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.is_cut = False
        self.connections = []

    def cut(self):
        """The host is partitioned from the store; connections are reset."""
        self.is_cut = True
        for connection in list(self.connections):
            reset(connection.writer)

    def heal(self):
        self.is_cut = False

    def silence_open_connections(self):
        """From now on nothing passes on the connections that are open."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    async def serve(self, reader, writer):
        if self.is_cut:
            reset(writer)
            return
        connection = types.SimpleNamespace(silent=False, writer=writer)
        self.connections.append(connection)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if connection.silent:
                    await asyncio.sleep(3600)
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(p.split("=", 1) for p in text.split("&") if "=" in p)
                await asyncio.sleep(0.004)
                status, answer = await self.store.handle(method, path, query, body)
                if connection.silent:
                    await asyncio.sleep(3600)
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.remove(connection)
            writer.close()


# ---------------------------------------------------------------- servers

class Server:
    """A server of a plain service. It runs each request for `work_s`."""

    def __init__(self, store, record, service, name, work_s=0.03, slots=6,
                 zone="west", heartbeat_s=1.2, cold_s=0.0):
        self.store, self.record, self.service, self.id = store, record, service, name
        self.work_s, self.slots, self.zone = work_s, slots, zone
        self.heartbeat_s = heartbeat_s
        self.cold_s = cold_s
        self.crashes_above = None  # requests in one second while it is cold
        self.sequence = 0
        self.state = "ready"
        self.listed = True
        self.born = int(time.time() * 1000)
        self.arrivals = []  # (time, request id, method, target, headers, body)
        self.runs = {}      # request id -> number of runs
        self.cut_at_end = []
        self.ended = False
        self.running = {}
        self.writers = set()

    async def start(self, ip):
        self.listener = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        self.beat()
        self.beating = asyncio.ensure_future(self.beats())

    def beat(self):
        self.sequence += 1
        cold_left_ms = int(max(0, self.born + self.cold_s * 1000 - time.time() * 1000))
        self.store.put("keyed.servers", self.id, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": 1, "slots": self.slots, "state": self.state,
            "cold_left_ms": cold_left_ms, "sequence": self.sequence, "born": self.born}))

    async def beats(self):
        while self.listed:
            await asyncio.sleep(self.heartbeat_s)
            if self.listed:
                self.beat()

    def remove_entry(self):
        self.listed = False
        self.store.put("keyed.servers", self.id, None)

    def bears_too_much(self):
        if self.crashes_above is None or time.time() * 1000 > self.born + self.cold_s * 1000:
            return False
        since = self.record.now() - 1
        return sum(1 for a in self.arrivals[-200:] if a[0] > since) > self.crashes_above

    def end(self):
        """The process exits."""
        self.ended = True
        self.listener.close()
        self.cut_at_end = list(self.running)
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                request = headers.get("x-toucanhollow-request-id", "")
                identity = b"X-Toucanhollow-Request-Id: %s\r\n" % request.encode("latin-1")
                if headers.get("x-toucanhollow-expect-instance", self.id) != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected\r\n" + identity +
                                 b"Content-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                self.arrivals.append((self.record.now(), request, method, target, headers, body))
                self.runs[request] = self.runs.get(request, 0) + 1
                self.record.write("server %s runs %s %s %s" % (self.id, request, method, target))
                self.running[request] = True
                if self.bears_too_much():
                    self.record.write("server %s crashes" % self.id)
                    self.beating.cancel()
                    self.end()
                    return
                await asyncio.sleep(self.work_s)
                self.running.pop(request, None)
                text = b"whole answer to " + request.encode("latin-1")
                writer.write(b"HTTP/1.1 200 OK\r\n" + identity +
                             b"X-Toucanhollow-Response-Seal: 1.2.3\r\n"
                             b"Keep-Alive: timeout=15\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---------------------------------------------------------------- entry hosts

class Host:
    """One entry host: the command of the role entry-host in the deploy file."""

    def __init__(self, site, name, ip, ports, store_address, seeds):
        self.name, self.ip, self.ports = name, ip, ports
        self.callers = (ip, ports["callers"])
        self.log = os.path.join(site.directory, name + ".log")
        self.settings = os.path.join(site.directory, name + ".conf")
        self.process = None
        self.write_settings(ip, ports, store_address, seeds)

    def write_settings(self, ip, ports, store_address, seeds):
        with open(self.settings, "w") as f:
            f.write("\n".join([
                "[process]", "name = " + self.name, "data_centre = west", "", "[listen]",
                "callers = %s:%d" % (ip, ports["callers"]),
                "readiness = %s:%d" % (ip, ports["ready"]),
                "control = %s:%d" % (ip, ports["control"]),
                "report_port = %d" % ports["report"],
                "metrics_port = %d" % ports["metrics"],
                "rank_call_port = %d" % ports["metrics"], "",
                "[store]", "address = " + store_address, "partitions = 8", "",
                "[peers]", "seeds = " + ",".join(seeds), "",
                "[limits]", "descriptors = 4100", "", "[shutdown]",
                "grace_s = %d" % GRACE_S, "", "[retries]", "ratio = 0.2",
                "window_s = 10", "slack = 92", "", "[cold]", "burst_factor = 1.5",
                "slack = 5", "", "[bounds]", "drain_ms = %d" % DRAIN_MS,
                "contact_ms = %d" % STABLE_WINDOW_MS, ""]))

    def start(self):
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "--role=relay", "--settings=" + self.settings], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def ended(self):
        return self.process.poll()

    async def ready(self):
        try:
            answer = await asyncio.wait_for(
                ask((self.ip, self.ports["ready"]), b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n"), 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(self.name + " did not become ready")


class Site:
    def __init__(self, record):
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="toucanhollow-review-")
        self.store = Store(record)
        self.hosts = []
        self.ips = [own_ip(10 + i) for i in range(8)]
        self.ports = {}
        for name in ("callers", "ready", "control", "metrics"):
            self.ports[name] = free_port(self.ips)
        # The permit port is the one after the report port.
        while True:
            self.ports["report"] = free_port(self.ips)
            if self.ports["report"] + 1 not in self.ports.values():
                break

    async def add_host(self, number, seeds):
        """`seeds`: numbers of the hosts whose control addresses are the seeds."""
        door = await self.store.open("host-%d" % number, "127.0.0.1")
        host = Host(self, "host-%d" % number, self.ips[number], self.ports, door.address,
                    self.seeds(seeds))
        host.door = door
        self.hosts.append(host)
        return host

    def seeds(self, numbers):
        return ["%s:%d" % (self.ips[n], self.ports["control"]) for n in numbers]

    def name_seeds(self, numbers):
        """The platform writes the settings files anew, with other seeds."""
        for host in self.hosts:
            host.write_settings(host.ip, self.ports, host.door.address, self.seeds(numbers))

    def configure(self, version=1, service=None, tenants=None):
        shared = {"host": "h.example", "target_latency_ms": 300, "priority": 2,
                  "timeout_ms": 2000, "service": "listings-ledger"}
        self.store.put("keyed.op", "config", json.dumps({
            "version": version,
            "routes": [
                dict(shared, name="post-listing", path_prefix="/post/", kind="unsafe", attempts=1),
                dict(shared, name="fetch-calendar", path_prefix="/fetch/", kind="safe", attempts=2)],
            "services": [service or {"name": "listings-ledger", "max_conns": 51}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989a"]}]
                       if tenants is None else tenants}))

    def close(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)
        else:
            print("logs in", self.directory)


# ---------------------------------------------------------------- clients

class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def request_bytes(method, target, request_id, deadline_ms=4000, body=b"", more=b""):
    length = b"Content-Length: %d\r\n" % len(body) if method == "POST" else b""
    return (b"%s %s HTTP/1.1\r\nHost: h.example\r\nX-Toucanhollow-Request-Id: %s\r\n"
            b"X-Toucanhollow-Deadline-Ms: %d\r\nAuthorization: Token n2ctnfzs989a\r\n"
            % (method.encode(), target.encode(), request_id.encode(), deadline_ms)
            + more + length + b"\r\n" + body)


async def ask(address, raw):
    """Sends one request on a new connection and reads its whole answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(raw)
        await writer.drain()
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        return Answer(int(line.split(" ")[1]), headers, body)
    finally:
        writer.close()


async def send_request(record, host, kind, request_id, deadline_ms=4000):
    """One request of a client; returns its status, or 0 if the connection ended."""
    method, target = ("POST", "/post/a") if kind == "unsafe" else ("GET", "/fetch/a")
    body = b"notice of a talk" if kind == "unsafe" else b""
    record.write("client sends %s %s to %s" % (request_id, target, host.name))
    try:
        answer = await asyncio.wait_for(
            ask(host.callers, request_bytes(method, target, request_id, deadline_ms, body)),
            deadline_ms / 1000 + 1)
        status = answer.status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        status = 0
    record.write("client gets %s for %s" % (status or "a closed connection", request_id))
    return status


def run(case, folder):
    """Runs a case and ends all processes it started; returns the exit status."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("disruption: %s" % ("on" if trouble else "off"))

    async def play():
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/bin/toucanhollow is missing; run the build of the deploy file")
        site = Site(record)
        try:
            return await asyncio.wait_for(case(site, record, trouble), 110)
        finally:
            site.close()

    try:
        broken = asyncio.run(play())
    # Any fault of the case itself must not look like a broken rule.
    except Exception as error:  # pylint: disable=broad-except
        record.write("cannot run: %r" % error)
        print("cannot run:", repr(error))
        return 2
    for line in broken:
        record.write("BROKEN: " + line)
    print("the rule was broken: %d times, first: %s" % (len(broken), broken[0]) if broken
          else "the rule held")
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
