"""A small deployment on loopback, started as the users' platform starts it.

The programs and their settings come from the deploy file: `run` gives the
command, `template` the settings, which are filled in from the fields of
DEPLOY.md. Clients, runners, the operator and the platform are in this folder.
"""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
CONTROL_PORT, REGISTRY_PORT = 8229, 8228
FRONTEND_PORT, READY_PORT = 8227, 8220
RUNNER_PORT = 8080
# Bounds of the sheet of sites/pocas-linha.toml.
CONFIG_APPLY_S = 2
GRACE_S = 8
HEARTBEAT_MS = 1200
ZONES = ("braga", "guimaraes", "barcelos")
PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)\}\}")


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def reserve_network():
    """Returns the prefix of a loopback network that no other run uses, and the
    socket that holds the reservation."""
    for offset in range(200):
        net = f"127.{20 + (os.getpid() + offset) % 200}"
        holder = socket.socket()
        try:
            holder.bind((f"{net}.255.253", 7998))
            return net, holder
        except OSError:
            holder.close()
    raise CannotRun("no loopback network is free")


def wait_for(check, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if check():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise CannotRun(f"not within {seconds} s: {what}")


def fill_in(template, fields):
    """Fills in the placeholders of a template; DEPLOY.md says how."""
    def value_of(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part) if part.isdigit() else part]
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value).lower() if isinstance(value, bool) else str(value)
    return PLACEHOLDER.sub(value_of, template)


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()


class Platform:
    """Starts and stops the processes, and is the operator."""

    def __init__(self, record, routers=2, limits=None):
        self.record = record
        self.net, self.holder = reserve_network()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.log = open(pathlib.Path(self.folder.name) / "log", "ab")
        self.roles = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text())["roles"]
        self.router_count = routers
        self.limits = limits or {}
        self.processes = {}
        self.runners = []
        self.version = 0

    def control_ip(self, number):
        return f"{self.net}.0.{number}"

    def router_ip(self, number):
        return f"{self.net}.1.{number}"

    def runner_ip(self, number):
        return f"{self.net}.2.{number}"

    def fields(self, name, address, zone, memory_mb, bootstrap):
        data = pathlib.Path(self.folder.name) / f"{name}.data"
        data.mkdir(exist_ok=True)
        return {
            "NodeName": name, "Ip": address, "Zone": zone, "Region": "norte",
            "InternalPorts": [7340, 7355], "DataDir": str(data),
            "SeedNodes": [f"{self.control_ip(n)}:{CONTROL_PORT}"
                          for n in (1, 2, 3)],
            "Bootstrap": bootstrap, "HeartbeatMs": HEARTBEAT_MS,
            "Listen": {"Frontend": f"{address}:{FRONTEND_PORT}",
                       "Ready": f"{address}:{READY_PORT}",
                       "ControlPlane": f"{address}:{CONTROL_PORT}",
                       "Registry": f"{address}:{REGISTRY_PORT}"},
            "Limits": {"MemoryMb": memory_mb},
            "FaultTolerance": {"Machines": 1},
            "Bounds": {"GraceS": GRACE_S, "RetryBudgetRatio": 0.2,
                       "BudgetSlack": 56}}

    def start(self, role, name, address, zone, memory_mb, bootstrap=False):
        settings = pathlib.Path(self.folder.name) / f"{name}.ini"
        template = (ROOT / self.roles[role]["template"]).read_text()
        settings.write_text(fill_in(
            template, self.fields(name, address, zone, memory_mb, bootstrap)))
        program = ROOT / self.roles[role]["run"].split()[0]
        if not program.exists():
            raise CannotRun(f"{self.roles[role]['run']}: build it first")
        self.processes[name] = subprocess.Popen(
            [program, "--config", settings], cwd=ROOT,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record(f"started {name} at {address}")

    def start_control(self, number, bootstrap=False):
        self.start("control", f"core-{number}", self.control_ip(number),
                   ZONES[number - 1], 256, bootstrap)

    def start_router(self, number):
        self.start("router", f"edge-{number}", self.router_ip(number),
                   ZONES[(number - 1) % 3], 110)

    def start_all(self):
        for number in (1, 2, 3):
            self.start_control(number, bootstrap=True)
        for number in range(1, self.router_count + 1):
            self.start_router(number)

    def wait_ready(self):
        for number in range(1, self.router_count + 1):
            wait_for(lambda n=number: self.is_ready(n), 20,
                     f"router {number} is ready")

    def is_ready(self, number):
        return self.call(f"{self.router_ip(number)}:{READY_PORT}", "GET",
                         "/cactuswick/readyz")[0] == 200

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record(f"sent {signal.Signals(number).name} to {name}")

    @staticmethod
    def call(address, method, path, body=None, headers=None, timeout=2):
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port),
                                                timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, response.read(), response.headers
        finally:
            connection.close()

    def call_control(self, method, path, body=None):
        """Calls one node after the other, and follows a 307 twice."""
        status, text = 0, b""
        for number in (1, 2, 3):
            address = f"{self.control_ip(number)}:{CONTROL_PORT}"
            for _ in range(3):
                try:
                    status, text, headers = self.call(
                        address, method, path, body,
                        {"Content-Type": "application/json"})
                except (OSError, http.client.HTTPException):
                    break
                if status != 307:
                    break
                address = headers["Location"].split("/")[2]
            if status in (200, 400):
                break
        return status, text

    def replace(self, manifest):
        """Sends a manifest until it is acknowledged."""
        text = json.dumps(manifest)
        wait_for(lambda: self.call_control(
            "POST", "/cactuswick/Config.Replace", text)[0] == 200, 20,
                 "the manifest is acknowledged")
        self.record(f"acknowledged: version {manifest['Version']}, routes "
                    + " ".join(r["PathPrefix"] for r in manifest["Routes"]))

    def close(self):
        for runner in self.runners:
            runner.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.log.close()
        self.folder.cleanup()
        self.holder.close()


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Type": kind,
            "TimeoutMs": 1200, "LatencyTargetMs": 150, "Priority": 2,
            "Service": service, "MaxAttempts": 2, "Public": False,
            "Sticky": False, "Resumable": False, **more}


def manifest(version, routes, services, prepaid=8716847):
    """Returns a manifest; `services` maps names to engines, or None."""
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz",
                          "MaxConnections": 370, "Protocol": "h1",
                          "Tls": False, **({"Engine": engine} if engine else {})}
                         for name, engine in services.items()],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1,
                         "Prepaid": prepaid}]}
