"""A small deployment for the scripts of the review.

Starts control replicas and routers with the commands and templates of the
deploy file, each on a loopback address of its own, and stops only the
processes that it has started. The operator, the runners and the consumers are
stand-ins in this process.
"""

import http.client
import itertools
import json
import os
import pathlib
import random
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

ZONES = ["braga", "guimaraes", "barcelos"]
HOST = "desk.example"
FRONTEND, READY, CONTROL, REGISTRY = 8227, 8220, 8229, 8230
RUNNER_PORT = 9001
HEARTBEAT_MS = 1200
# Limits and bounds of the small site pocas-linha.
MEMORY_MB = 110
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "StretchMaxMs": 5000,
    "RevokeStrict": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10, "BudgetSlack": 56, "RecoverS": 12,
    "EventLatencyMs": 120, "ReuseWindowS": 9.6, "settle_ms": 1500,
    "ttl_max_s": 5}
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
          "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            at = time.monotonic() - self.start
            self.file.write(f"{at:8.3f} {text}\n")
            self.file.flush()


class Request:
    """One request as a runner has read it."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.id = headers.get("x-request-id", "")


def read_head(stream):
    """Returns the first line and the headers, or None at the end."""
    first = stream.readline(65536)
    if not first.strip():
        return None
    headers = {}
    while True:
        line = stream.readline(65536)
        if not line.endswith(b"\n"):
            return None
        if not line.strip():
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


class Runner:
    """A stand-in runner: announces itself and answers requests.

    `answer(call)` sends the answer; it is called for requests that run. It
    runs as many at once as it has slots and queues a few more.
    """

    def __init__(self, deployment, number, service, answer, slots=64, queue=6):
        self.deployment = deployment
        self.id = f"i-{number:04x}"
        self.service = service
        self.answer = answer
        self.slots = slots
        self.queue = queue
        self.free_slots = threading.Semaphore(slots)
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"{deployment.net}.{100 + number}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.active = 0
        self.answers = 0
        self.spoiled = 0
        self.spoiled_share = 0
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((self.ip, RUNNER_PORT))
        self.server.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def accept(self):
        while not self.stopped.is_set():
            try:
                channel, _ = self.server.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(channel,),
                             daemon=True).start()

    def serve(self, channel):
        stream = channel.makefile("rb")
        extra = b""
        try:
            while not self.stopped.is_set():
                head = read_head(stream)
                if head is None:
                    return
                method, path, _ = head[0].split(" ", 2)
                length = int(head[1].get("content-length", 0))
                body = stream.read(length)
                if len(body) < length:
                    return
                call = Call(self, channel,
                            Request(method, path, head[1], body))
                if extra:
                    self.deployment.record(
                        f"runner {self.id} sends a second copy of the last "
                        f"answer, before that to {call.request.id}")
                    channel.sendall(extra)
                self.handle(call)
                extra = call.sent if self.spoils(call) else b""
        except (OSError, ValueError):
            pass
        finally:
            channel.close()

    def spoils(self, call):
        """Whether this answer is sent a second time, late (garble, extra).

        At most spoiled_share of all answers are; refusals are taken for it.
        """
        with self.lock:
            self.answers += 1
            due = call.refused and \
                self.spoiled + 1 <= self.spoiled_share * self.answers
            self.spoiled += due
            return due

    def handle(self, call):
        request = call.request
        if request.path == "/healthz":
            call.reply(200, b"", {"X-Instance-Id": self.id}, stamp=False)
            return
        if request.headers.get("x-expect-instance", self.id) != self.id:
            call.refuse(421)
            return
        if not request.id:
            call.refuse(400)
            return
        with self.lock:
            full = self.active >= self.slots + self.queue
            self.active += 0 if full else 1
        if full:
            call.refuse(503)
            return
        try:
            with self.free_slots:
                # A request whose channel was closed in the queue is dropped.
                if not call.is_closed():
                    self.answer(call)
        finally:
            with self.lock:
                self.active -= 1

    def announce(self):
        while not self.stopped.is_set():
            self.sequence += 1
            self.deployment.control(
                "POST", f"/cactuswick/Instances.Heartbeat/{self.id}",
                {"Service": self.service, "Address": f"{self.ip}:{RUNNER_PORT}",
                 "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                 "State": "ready", "ColdLeftMs": 0, "Phase": "both",
                 "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                 "Sequence": self.sequence, "born": self.born})
            self.stopped.wait(HEARTBEAT_MS / 1000)

    def stop(self):
        self.stopped.set()
        self.server.close()


class Call:
    """A request at a runner, with its channel."""

    def __init__(self, runner, channel, request):
        self.runner = runner
        self.channel = channel
        self.request = request
        self.sent = b""
        self.refused = False

    def ran(self, text=""):
        """Records that the runner began to work on the request."""
        request = self.request
        self.runner.deployment.on_run(self)
        self.runner.deployment.record(
            f"runner {self.runner.id} runs {request.id} {request.method} "
            f"{request.path} {len(request.body)} bytes {text}".rstrip())

    def send(self, data):
        self.sent += data
        self.channel.sendall(data)

    def head(self, status, headers, stamp):
        lines = [f"HTTP/1.1 {status} Status",
                 f"X-Request-Id: {self.request.id}"]
        if stamp:
            lines.append(f"X-Response-Stamp: {self.runner.id}.{self.request.id}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def reply(self, status, body, headers=None, stamp=True):
        headers = dict(headers or {})
        headers["Content-Length"] = len(body)
        self.send(self.head(status, headers, stamp) + body)

    def refuse(self, status):
        """Answers that the request was not run."""
        self.refused = True
        self.reply(status, b"", {"X-Not-Executed": "1"}, stamp=False)

    def is_closed(self):
        """Whether the channel was closed."""
        readable, _, _ = select.select([self.channel], [], [], 0)
        if not readable:
            return False
        try:
            return not self.channel.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def work(self, seconds):
        """Works for a while; returns False if the channel was closed."""
        end = time.monotonic() + seconds
        readable, _, _ = select.select([self.channel], [], [], seconds)
        if readable and self.is_closed():
            return False
        # Another request on the channel waits until this one is done.
        time.sleep(max(0, end - time.monotonic()))
        return True

    def begin_stream(self):
        self.send(self.head(200, {"Content-Type": "text/event-stream",
                                  "Transfer-Encoding": "chunked"}, True))

    def event(self, number):
        piece = f"id: {number}\ndata: event {number}\n\n".encode()
        self.send(b"%x\r\n%s\r\n" % (len(piece), piece))

    def end_stream(self):
        self.send(b"0\r\n\r\n")


class Answer:
    """What a consumer got: status 0 means that no answer came."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


class Deployment:
    """Control replicas and routers of the project with stand-ins around."""

    def __init__(self, folder, routers=2, controls=3):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = pathlib.Path(self.temporary.name)
        self.controls = controls
        self.routers = routers
        self.net = self.free_net()
        self.processes = {}
        self.runners = []
        self.runs = []
        self.run_lock = threading.Lock()
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not (ROOT / self.roles["router"]["run"].split()[0]).is_file():
            raise CannotRun("the build of the deploy file is missing")

    @staticmethod
    def free_net():
        """Returns a network of loopback addresses whose ports are free."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (FRONTEND, READY, CONTROL, REGISTRY, RUNNER_PORT):
                    for host in (11, 41, 101):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def on_run(self, call):
        with self.run_lock:
            self.runs.append((time.monotonic(), call.request))

    def ip(self, name):
        kind, number = name[0], int(name[1:])
        return f"{self.net}.{(10 if kind == 'c' else 40) + number}"

    # Settings and processes.

    def fields(self, name):
        """Returns the fields of a process's settings."""
        ip, number, control = self.ip(name), int(name[1:]), name[0] == "c"
        seeds = [f"{self.ip(f'c{n}')}:{CONTROL}"
                 for n in range(1, min(3, self.controls) + 1)]
        listen = ({"ControlPlane": f"{ip}:{CONTROL}",
                   "Registry": f"{ip}:{REGISTRY}"} if control else
                  {"Frontend": f"{ip}:{FRONTEND}", "Ready": f"{ip}:{READY}"})
        data = self.directory / f"{name}.data"
        return {
            "NodeName": name, "Zone": ZONES[number % len(ZONES)],
            "Region": "norte", "Ip": ip, "InternalPorts": [7340, 7355],
            "SeedNodes": seeds, "Bootstrap": not data.exists(),
            "InTolerance": control, "HeartbeatMs": HEARTBEAT_MS,
            "DataDir": str(data) if control else "", "Listen": listen,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Limits": {"MemoryMb": MEMORY_MB},
            "Bounds": BOUNDS}

    @staticmethod
    def fill(template, fields):
        """Fills in a template of the deploy file."""
        def value_of(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[int(part)] if isinstance(value, list) \
                    else value[part]
            if isinstance(value, list):
                return ",".join(str(item) for item in value)
            if isinstance(value, bool):
                return str(value).lower()
            return str(value)
        return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value_of, template)

    def start(self, name):
        """Starts a process with its command of the deploy file."""
        role = self.roles["control" if name[0] == "c" else "router"]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = self.directory / f"{name}.ini"
        settings.write_text(self.fill(template, self.fields(name)),
                            encoding="utf-8")
        words = [str(settings) if word == "/etc/cactuswick/node.toml" else word
                 for word in role["run"].split()]
        if name[0] == "c":
            (self.directory / f"{name}.data").mkdir(exist_ok=True)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["CACTUSWICK_NODE_FILE"] = str(settings)
        log = open(self.directory / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.record(f"platform starts {name}")

    def signal(self, name, number):
        self.record(f"platform sends {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def start_all(self):
        for number in range(1, self.controls + 1):
            self.start(f"c{number}")
        for number in range(1, self.routers + 1):
            self.start(f"r{number}")

    def add_runner(self, service, answer, **options):
        runner = Runner(self, len(self.runners) + 1, service, answer, **options)
        self.runners.append(runner)
        return runner

    def wait(self, check, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if check():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    def is_ready(self, router):
        connection = http.client.HTTPConnection(self.ip(router), READY,
                                                timeout=1)
        try:
            connection.request("GET", "/cactuswick/readyz")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def wait_ready(self):
        for number in range(1, self.routers + 1):
            self.wait(lambda n=number: self.is_ready(f"r{n}"), 20,
                      f"router {number} is ready")

    def stop(self):
        for runner in self.runners:
            runner.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.temporary.cleanup()

    # The operator.

    def control(self, method, path, body=None):
        """Calls control as the pages say; returns status and document."""
        data = None if body is None else json.dumps(body)
        for number in range(1, self.controls + 1):
            address, target = (self.ip(f"c{number}"), CONTROL), path
            for _ in range(3):
                connection = http.client.HTTPConnection(*address, timeout=1)
                try:
                    connection.request(method, target, data,
                                       {"Content-Type": "application/json"})
                    response = connection.getresponse()
                    text = response.read()
                    place = response.getheader("Location", "")
                except (OSError, http.client.HTTPException):
                    break
                finally:
                    connection.close()
                if response.status == 307:
                    host, _, rest = place.split("//", 1)[1].partition("/")
                    ip, _, port = host.partition(":")
                    address, target = (ip, int(port)), "/" + rest
                    continue
                if response.status < 500:
                    return response.status, text
                break
        return 0, b""

    def declare(self, document):
        """Sends a manifest until it is acknowledged."""
        document = {"Limits": LIMITS, **document}
        self.record(f"operator sends {json.dumps(document)}")
        self.wait(lambda: self.control("POST", "/cactuswick/Config.Replace",
                                       document)[0] == 200,
                  20, "the manifest is acknowledged")
        self.record(f"manifest {document['Version']} is acknowledged")

    # Consumers.

    def connect(self, router, timeout=15, receive_bytes=None):
        channel = socket.socket()
        if receive_bytes:
            channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                               receive_bytes)
        channel.settimeout(timeout)
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel.connect((self.ip(router), FRONTEND))
        return channel

    @staticmethod
    def head(method, path, request_id, headers):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"X-Request-Id: {request_id}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def ask(self, router, method, path, request_id, headers=None, body=b"",
            timeout=15):
        """Sends one request on a new channel and reads its answer."""
        try:
            channel = self.connect(router, timeout)
        except OSError as error:
            self.record(f"consumer cannot connect to {router}: {error}")
            return Answer(0, {}, b"", False)
        with channel:
            return self.ask_on(channel, method, path, request_id, headers, body)

    def warm_up(self, routers, method, path, headers=None, body=b""):
        """Asks each router until it serves; each attempt has its own id."""
        for router in routers:
            attempts = itertools.count(1)
            self.wait(lambda r=router, n=attempts: self.ask(
                r, method, path, f"first-{r}-{next(n)}", headers,
                body).status == 200, 10, f"{router} serves the first request")

    def ask_on(self, channel, method, path, request_id, headers=None, body=b""):
        """Sends one request on a channel and reads its answer."""
        headers = dict(headers or {})
        if body:
            headers["Content-Length"] = len(body)
        self.record(f"consumer sends {request_id} {method} {path} with "
                    f"{len(body)} bytes to {channel.getpeername()[0]}")
        try:
            channel.sendall(self.head(method, path, request_id, headers) + body)
            answer = read_answer(channel.makefile("rb"))
        except OSError:
            answer = Answer(0, {}, b"", False)
        self.record(f"consumer gets {answer.status or 'no answer'} for "
                    f"{request_id}, {len(answer.body)} bytes, "
                    f"{'whole' if answer.whole else 'not whole'}")
        return answer


def read_answer(stream):
    """Reads one answer; it is whole if its framing is complete."""
    try:
        head = read_head(stream)
        while head and head[0].split(" ")[1].startswith("1"):
            head = read_head(stream)
    except OSError:
        head = None
    if head is None:
        return Answer(0, {}, b"", False)
    status, headers = int(head[0].split(" ")[1]), head[1]
    body, whole = b"", False
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = stream.readline(100)
                if not line.endswith(b"\n"):
                    break
                size = int(line.split(b";")[0], 16)
                data = stream.read(size)
                body += data
                stream.readline(10)
                if size == 0:
                    whole = True
                    break
                if len(data) < size:
                    break
        else:
            length = int(headers.get("content-length", 0))
            body = stream.read(length)
            whole = len(body) == length
    except (OSError, ValueError):
        pass
    return Answer(status, headers, body, whole)


def run_case(folder, case, **options):
    """Runs `case(deployment)`, which returns whether the rule was broken."""
    deployment = None
    try:
        deployment = Deployment(folder, **options)
        deployment.start_all()
        broken = case(deployment)
        verdict = "broken" if broken else "held"
        deployment.record(f"the rule was {verdict}")
        print(f"the rule was {verdict}")
        return BROKEN if broken else HELD
    except Exception as error:  # Any other failure is not the rule's.
        print(f"cannot run: {error}", file=sys.stderr)
        if deployment is not None:
            deployment.record(f"cannot run: {error}")
        return CANNOT_RUN
    finally:
        if deployment is not None:
            deployment.stop()
