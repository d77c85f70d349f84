"""A small deployment on loopback for the demonstration and the tests.

Starts the daemons and simulated endpoints as processes, each with its own
loopback address, and stops only the processes it has started.
"""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("CACTUSWICK_BIN", ROOT / "build" / "bin"))
DOMAINS = ["a", "b", "c"]
OPERATOR_KEY = "operator-demo-key"
ENDPOINT_KEY = "endpoint-demo-key"
MODEL = "wick-llm"
SERVICE = "lending-desk"


class HttpResponse:
    """An HTTP response; `whole` is False if its body was truncated."""

    def __init__(self, status, headers, body, whole=True):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def json(self):
        return json.loads(self.body)

    def kind(self):
        return self.json()["error"]["kind"]

    def outcome(self):
        return self.headers.get("X-Cactuswick-Outcome", "")


def request(address, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; a truncated response has whole=False."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = b""
        whole = True
        try:
            data = response.read()
        except http.client.IncompleteRead as cut:
            data, whole = cut.partial, False
        except (ConnectionError, TimeoutError):
            whole = False
        return HttpResponse(response.status, dict(response.getheaders()),
                            data.decode(), whole)
    finally:
        connection.close()


def wait_for(check, seconds, what):
    """Polls `check` until it returns a true value; fails after `seconds`."""
    end = time.monotonic() + seconds
    while True:
        try:
            value = check()
            if value:
                return value
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        if time.monotonic() > end:
            raise AssertionError(f"timeout after {seconds} s: {what}")
        time.sleep(0.03)


def reserve_network():
    """Reserves a loopback network that no other run uses.

    Returns its prefix and a socket that holds the reservation until closed.
    """
    first, count, port = 20, 200, 7999
    for offset in range(count):
        net = f"127.{first + (os.getpid() + offset) % count}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{net}.255.254", port))
            return net, reservation
        except OSError:
            reservation.close()
    raise RuntimeError("no loopback network is free")


class Deployment:
    """A deployment of control replicas, routers, engines and a service."""

    def __init__(self, controls=3, routers=4, settings=None, directory=None):
        self.net, self.net_reservation = reserve_network()
        self.temporary = None
        if directory is None:
            self.temporary = tempfile.TemporaryDirectory(prefix="cactuswick-")
            directory = self.temporary.name
        self.directory = pathlib.Path(directory)
        self.controls = controls
        self.routers = routers
        self.settings = settings or {}
        self.processes = {}
        self.log = open(self.directory / "log", "ab")
        self.key = None

    # Addresses. Tests override the addresses of control replicas and routers
    # to connect through a forwarder.

    def control_listen(self, number):
        return f"{self.net}.0.{number}:7001"

    def control_address(self, viewer, number):
        del viewer
        return self.control_listen(number)

    def router_address(self, number):
        return f"{self.net}.1.{number}:8001"

    def router_peer_listen(self, number):
        return f"{self.net}.1.{number}:8002"

    def router_peer_address(self, number):
        return self.router_peer_listen(number)

    def endpoint_address(self, number):
        return f"{self.net}.2.{number}:9001"

    def domain(self, number):
        return DOMAINS[(number - 1) % len(DOMAINS)]

    # Settings files.

    def write_settings(self, name, sections):
        path = self.directory / f"{name}.ini"
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            merged = dict(values)
            merged.update(self.settings.get(section, {}))
            lines += [f"{key} = {value}" for key, value in merged.items()]
        path.write_text("\n".join(lines) + "\n")
        return path

    def control_settings(self, number, **more):
        replicas = ", ".join(
            f"c{n}@{self.control_address(number, n)}@{self.domain(n)}"
            for n in range(1, self.controls + 1))
        return self.write_settings(f"c{number}", {
            "process": {"vm": f"c{number}", "roles": "control",
                        "failure_domain": self.domain(number)},
            "control": {"listen": self.control_listen(number),
                        "metrics_listen": f"{self.net}.0.{number}:7003",
                        "data_dir": self.directory / f"c{number}.data",
                        "replicas": replicas, **more},
            "log": {}})

    def control_environment(self, number):
        """Returns extra environment variables of a control replica."""
        del number
        return {}

    def router_settings(self, number):
        return self.write_settings(f"r{number}", {
            "process": {"vm": f"r{number}", "roles": "router",
                        "failure_domain": self.domain(number)},
            "router": {"listen": self.router_address(number),
                       "peer_listen": self.router_peer_listen(number),
                       "peer_advertise": self.router_peer_address(number),
                       "metrics_listen": f"{self.net}.1.{number}:8003",
                       "entry_ttl_ms": 1000,
                       "control": ", ".join(
                           self.control_address(f"r{number}", n)
                           for n in range(1, self.controls + 1))},
            "operator": {"key_sha256":
                         hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()},
            "endpoint": {"key_sha256":
                         hashlib.sha256(ENDPOINT_KEY.encode()).hexdigest()},
            "log": {}})

    # Processes.

    def start(self, name, *command, env=None):
        """Starts a process with `env` added to the environment."""
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command], stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, env={**os.environ, **(env or {})})

    def start_control(self, number, make="bootstrap"):
        settings = self.control_settings(number)
        data = self.directory / f"c{number}.data" / "identity"
        if not data.exists():
            how = (["--join"] if make == "join"
                   else ["--bootstrap", "first"])
            subprocess.run([BIN / "cactuswickd", "--config", settings, *how],
                           check=True)
        self.start(f"c{number}", BIN / "cactuswickd", "--config", settings,
                   env=self.control_environment(number))

    def start_router(self, number):
        self.start(f"r{number}", BIN / "cactuswickd", "--config",
                   self.router_settings(number))

    def start_endpoint(self, name, number, kind="engine", serves=MODEL,
                       **options):
        flags = []
        for key, value in options.items():
            flags += [f"--{key.replace('_', '-')}", str(value)]
        self.start(name, BIN / "cactuswick-standin", "--name", name,
                   "--kind", kind, "--serves", serves, "--listen",
                   self.endpoint_address(number), "--routers",
                   ",".join(self.router_address(n)
                            for n in range(1, self.routers + 1)),
                   "--domain", self.domain(number), "--key", ENDPOINT_KEY,
                   *flags)

    def start_all(self):
        for number in range(1, self.controls + 1):
            self.start_control(number)
        for number in range(1, self.routers + 1):
            self.start_router(number)
        self.wait_ready()

    def wait_ready(self, routers=None, seconds=20):
        for number in routers or range(1, self.routers + 1):
            address = self.router_address(number)
            wait_for(lambda a=address: request(
                a, "GET", "/healthz").json()["ready"], seconds,
                f"router {number} is ready")

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self, name, seconds=30):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(seconds)

    def close(self):
        """Stops all processes.

        Returns the names of those that had exited before.
        """
        ended = [name for name, process in self.processes.items()
                 if process.poll() is not None]
        # Endpoints leave, then routers drain, then control replicas stop.
        roles = {"r": 1, "c": 2}
        for stage in range(3):
            group = [process for name, process in self.processes.items()
                     if stage == (roles.get(name[0], 0) if name[1:].isdigit()
                                 else 0)]
            for process in group:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal.SIGTERM)
            for process in group:
                self.wait_or_kill(process, 10)
        self.processes.clear()
        self.log.close()
        if self.temporary:
            self.temporary.cleanup()
        self.net_reservation.close()
        return ended

    @staticmethod
    def wait_or_kill(process, seconds):
        try:
            process.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    # Operators and callers.

    def cli(self, *arguments, check=True, servers=None):
        addresses = servers or [self.router_address(n)
                                for n in range(1, self.routers + 1)]
        result = subprocess.run(
            [BIN / "cactuswick", "--server", ",".join(addresses), "--key",
             OPERATOR_KEY, *[str(part) for part in arguments]],
            capture_output=True, text=True, timeout=60, check=False)
        if check and result.returncode != 0:
            raise AssertionError(f"cactuswick {arguments}: "
                                 f"{result.stdout}{result.stderr}")
        return result

    @staticmethod
    def resources(workspace="ushers", price=0):
        """Returns the resources of the demonstration and the tests."""
        return [
            {"type": "workspace", "name": workspace},
            {"type": "budget", "name": f"{workspace}/main"},
            {"type": "rank", "name": "urgent", "priority": 0,
             "first_token_target_ms": 920, "deadline_ms": 30000},
            {"type": "rank", "name": "shift", "priority": 2,
             "floor_percent": 10, "deadline_ms": 60000},
            {"type": "model", "name": MODEL, "max_output_tokens": 64},
            {"type": "service", "name": SERVICE, "price_tokens": price}]

    def declare(self, budget=1_000_000, workspace="ushers", price=0):
        """Creates a workspace with a budget, ranks, a model and a service, and
        an API key for it; returns the key."""
        manifest = self.directory / "manifest.json"
        manifest.write_text(json.dumps(self.resources(workspace, price)))
        self.cli("apply", "-f", manifest)
        if budget:
            self.cli("--request-id", f"first-{workspace}", "topup",
                     f"{workspace}/main", budget)
        key = self.cli("key", workspace, f"{workspace}-key")
        self.key = key.stdout.split("key: ")[1].strip()
        return self.key

    def wait_served(self, what=MODEL, seconds=10, routers=None):
        """Waits until every router knows an endpoint for `what`."""
        for number in routers or range(1, self.routers + 1):
            address = self.router_address(number)
            wait_for(lambda a=address: self.knows(a, what), seconds,
                     f"router {number} knows an endpoint for {what}")

    def knows(self, address, what):
        if what == SERVICE:
            response = request(address, "GET", f"/v1/services/{what}/",
                               headers=self.headers())
        else:
            response = self.chat(address, max_tokens=1, model=what)
        return response.status == 200

    def headers(self, key=None, **extra):
        headers = {"Authorization": f"Bearer {key or self.key}",
                   "Content-Type": "application/json"}
        headers.update({name.replace("_", "-"): str(value)
                        for name, value in extra.items()})
        return headers

    def chat(self, address, text="hello", stream=False, max_tokens=8,
             model=MODEL, key=None, timeout=30, **headers):
        body = json.dumps({"model": model, "stream": stream,
                           "max_tokens": max_tokens, "messages": [
                               {"role": "user", "content": text}]})
        return request(address, "POST", "/v1/chat/completions", body,
                       self.headers(key, **headers), timeout)

    def call(self, address, key, body="{}", timeout=30, **headers):
        return request(address, "POST", f"/v1/services/{SERVICE}/loans", body,
                       self.headers(None, Idempotency_Key=key, **headers),
                       timeout)

    def account(self, budget="ushers/main"):
        reply = json.loads(self.cli("--output", "json", "get",
                                    f"budget/{budget}").stdout)
        return reply["accounts"][0]["account"]

    def status(self):
        return json.loads(self.cli("--output", "json", "status").stdout)

    def runs(self, number):
        return request(self.endpoint_address(number), "GET", "/runs").json()

    def metric(self, address, name):
        text = request(address, "GET", "/metrics").body
        total = 0.0
        for line in text.splitlines():
            if line.split("{")[0].split(" ")[0] == f"cactuswick_{name}":
                total += float(line.rsplit(" ", 1)[1])
        return total
