"""Starts stand-ins and processes of the system on loopback, for scripts.

Every process that is started here is ended here, by its process identifier.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
START_TIMEOUT_S = 30


class Failed(Exception):
    """Something was not as expected."""


# Below the range from which the system takes the ports of outgoing
# connections, so that none of these takes a port between probe and use.
PORT_RANGE = (15000, 32000)
used_ports = set()


def free_port():
    """A port that is free and was not given out before by this process."""
    start = PORT_RANGE[0] + os.getpid() * 97 % (PORT_RANGE[1] - PORT_RANGE[0])
    for port in [*range(start, PORT_RANGE[1]), *range(PORT_RANGE[0], start)]:
        if port in used_ports:
            continue
        used_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise Failed("no free port")


def call(address, method, path, body=None, headers=None, timeout=30):
    """One HTTP call; returns (status, body text)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    finally:
        connection.close()


def wait_until(what, condition, timeout=START_TIMEOUT_S):
    """Polls until the condition holds; raises Failed after the timeout."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise Failed(f"timed out: {what}")


class Process:
    """One child process with its log file."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.log_path = log_path
        self.arguments = arguments
        with open(log_path, "ab") as log:
            self.child = subprocess.Popen(
                arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, timeout):
        return self.child.wait(timeout)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait(10)

    def running(self):
        return self.child.poll() is None


class Fleet:
    """Stand-ins, agents and entry hosts of one small deployment."""

    def __init__(self, key_memory_s=86400, balancer_lag_ms=300):
        self.directory = tempfile.mkdtemp(prefix="toucanhollow-")
        self.processes = {}
        self.addresses = {}  # HTTP address of each process by name
        self.links = {}      # link address of each own process by name
        self.settings = {}
        self.key_memory_s = key_memory_s
        self.balancer_lag_ms = balancer_lag_ms

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.running():
                process.kill()

    def path(self, name):
        return os.path.join(self.directory, name)

    def stand_in(self, name, kind, **flags):
        """Starts a stand-in on a free port and waits until it listens."""
        port = free_port()
        arguments = [os.path.join(BIN, f"standin_{kind}"), f"--port={port}"]
        arguments += [f"--{flag}={value}" for flag, value in flags.items()]
        self.processes[name] = Process(name, arguments, self.path(name + ".log"))
        self.addresses[name] = f"127.0.0.1:{port}"
        wait_until(f"{name} listens", lambda: self._listens(port))
        return self.addresses[name]

    @staticmethod
    def _listens(port):
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            return True

    def add_process(self, name, role, data_centre, back_end=None, extra=""):
        """Writes the settings of a process; start() starts it."""
        self.addresses[name] = f"127.0.0.1:{free_port()}"
        self.links[name] = f"127.0.0.1:{free_port()}"
        text = (f"[process]\nname = {name}\nrole = {role}\n"
                f"data_centre = {data_centre}\n"
                f"[listen]\nhttp = {self.addresses[name]}\n"
                f"link = {self.links[name]}\n"
                f"[platform]\nlog = {self.addresses['log']}\n"
                f"key_memory_s = {self.key_memory_s}\n"
                f"[shutdown]\nbalancer_lag_ms = {self.balancer_lag_ms}\n")
        if back_end:
            text += "[back_end]\n" + "".join(
                f"{key} = {value}\n" for key, value in back_end.items())
        self.settings[name] = (text + extra, role)

    def start(self, name, peers=()):
        """Starts, or starts again, a process with its settings."""
        text, role = self.settings[name]
        links = [self.links[peer] for peer in peers if peer != name]
        if links:
            text += "[peers]\nlinks = " + ", ".join(links) + "\n"
        settings_path = self.path(name + ".ini")
        with open(settings_path, "w", encoding="utf-8") as file:
            file.write(text)
        self.processes[name] = Process(
            name,
            [os.path.join(BIN, "toucanhollow"), f"--role={role}",
             f"--settings={settings_path}"],
            self.path(name + ".log"))

    def wait_ready(self, *names):
        for name in names:
            wait_until(f"{name} is ready",
                       lambda name=name: self.get(name, "/ready")[0] == 200)

    def get(self, name, path, **options):
        return call(self.addresses[name], "GET", path, **options)

    def control(self, name, path):
        status, body = call(self.addresses[name], "POST", path)
        if status != 200:
            raise Failed(f"{name} {path}: {status} {body}")
        return body

    def ctl(self, *arguments, check=True):
        """Runs toucanhollowctl; returns its output."""
        run = subprocess.run(
            [os.path.join(BIN, "toucanhollowctl"), *arguments],
            capture_output=True, text=True, timeout=60, check=False)
        if check and run.returncode != 0:
            raise Failed(f"toucanhollowctl {arguments}: {run.stderr}")
        return run.stdout + run.stderr

    def publish(self, kind, subject, content, schema=2):
        path = self.path(f"{kind}-{subject}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"kind": kind, "subject": subject, "schema": schema,
                       "content": content}, file, indent=1)
        return self.ctl("publish", path, f"--log={self.addresses['log']}")


class Stream(object):
    """An open streamed request; tokens are read as they come."""

    def __init__(self, address, prompt, tokens, account="band-secretaries",
                 model="drafting", deadline_ms=60000):
        host, port = address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port),
                                                     timeout=60)
        body = json.dumps({"model": model, "prompt": prompt,
                           "max_tokens": tokens, "stream": True})
        self.connection.request(
            "POST", "/v1/completions", body=body,
            headers={"Content-Type": "application/json",
                     "X-Client-Account": account,
                     "X-Request-Deadline-Ms": str(deadline_ms)})
        self.answer = self.connection.getresponse()
        self.status = self.answer.status
        self.request_id = None
        self.text = ""
        self.error = None
        self.done = False
        if self.status != 200:
            self.error = self.answer.read().decode()

    def read_event(self):
        """Reads one event; False at the end of the stream."""
        if self.status != 200 or self.done or self.error:
            return False
        try:
            line = self.answer.readline().decode()
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
            return False
        if not line:
            self.error = "the stream ended without its end mark"
            return False
        if not line.startswith("data: "):
            return True
        data = line[len("data: "):].strip()
        if data == "[DONE]":
            self.done = True
            return False
        event = json.loads(data)
        if "error" in event:
            self.error = json.dumps(event["error"])
            return False
        self.request_id = event.get("id", self.request_id)
        self.text += event["choices"][0].get("text") or ""
        return True

    def read_all(self):
        while self.read_event():
            pass
        self.connection.close()
        return self.done and not self.error
