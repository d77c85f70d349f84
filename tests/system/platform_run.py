"""A deployment as the users' platform starts it, with simulated endpoints."""

import contextlib
import hashlib
import json
import time

from deployment import (BIN, OPERATOR_KEY, Deployment, HttpResponse, request,
                        wait_for)
from simulated_endpoint import SimulatedEndpoint

HOST = "shop.example"
# Preloaded library that injects disk faults; built with the tests.
FAULTY_DISK = BIN.parent / "lib" / "libfaulty_disk.so"
KEY = "key-of-w"


class PlatformRun(Deployment):
    """Control replicas that form their own cluster, and forwarding routers."""

    tenants = [{"Name": "w", "ApiKeys": [KEY], "Prepaid": 10000}]
    # Settings of the section [quarantine] of all processes.
    quarantine = {}
    # How long routers that stop accept requests, and until they are killed.
    leave_ms = 500
    grace_s = 4

    def control_api(self, number):
        return f"{self.net}.0.{number}:7010"

    def entry_address(self, number):
        return f"{self.net}.0.{number}:7011"

    def forward_address(self, number):
        return f"{self.net}.1.{number}:8010"

    def ready_address(self, number):
        return f"{self.net}.1.{number}:8011"

    def seeds(self):
        return ", ".join(self.control_api(n) for n in range(1, 4))

    def start_replica(self, number, founds="false"):
        settings = self.write_settings(f"c{number}", {
            "process": {"vm": f"c{number}", "roles": "control",
                        "failure_domain": self.domain(number)},
            "control": {"listen": self.control_listen(number),
                        "data_dir": self.directory / f"c{number}.data",
                        "seeds": self.seeds(), "founds": founds,
                        "api_listen": self.control_api(number),
                        "entry_listen": self.entry_address(number),
                        "endpoint_heartbeat_ms": 200,
                        "election_ms": 300},
            "quarantine": self.quarantine,
            "log": {"format": "json"}})
        self.start(f"c{number}", BIN / "cactuswickd", "--config", settings,
                   env=self.control_environment(number))

    def control_environment(self, number):
        return {"LD_PRELOAD": str(FAULTY_DISK),
                "FAULTY_DISK": str(self.disk_state(number))}

    def disk_state(self, number):
        return self.directory / f"c{number}.disk"

    def set_disk(self, number, state):
        """Sets the disk fault of a replica: "full", "stalled" or "" (none)."""
        self.disk_state(number).write_text(state)

    def leader(self):
        """Returns the number of the leading replica, or None."""
        for number in range(1, self.controls + 1):
            try:
                response = request(self.control_api(number), "GET",
                                   "/cactuswick/Config.Read", timeout=2)
            except OSError:
                continue
            if response.status == 200:
                return number
            if response.status == 307:
                host = response.headers["Location"].split("/")[2].split(":")[0]
                return int(host.split(".")[-1])
        return None

    def router_control(self):
        """Returns the settings by which routers find control replicas."""
        return {"control": self.seeds(), "control_port": 7001}

    def start_forwarder(self, number):
        settings = self.write_settings(f"r{number}", {
            "process": {"vm": f"r{number}", "roles": "router",
                        "failure_domain": self.domain(number)},
            "router": {"listen": self.router_address(number),
                       "peer_listen": self.router_peer_listen(number),
                       "peer_advertise": self.router_peer_address(number),
                       **self.router_tunnels(number),
                       **self.router_control()},
            "operator": {"key_sha256":
                         hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()},
            "quarantine": self.quarantine,
            "forward": {"listen": self.forward_address(number),
                        "ready_listen": self.ready_address(number),
                        "leave_ms": self.leave_ms, "grace_s": self.grace_s},
            "log": {"format": "json"}})
        self.start(f"r{number}", BIN / "cactuswickd", "--config", settings,
                   env=self.router_environment(number))

    def router_tunnels(self, number):
        """Returns the settings of tunnels to endpoints."""
        return {"tunnel_listen": f"{self.net}.1.{number}:8012"}

    def router_environment(self, _number):
        return {}

    def control_call(self, method, path, body=None):
        """Tries one replica after the other, as the platform does."""
        last = HttpResponse(0, {}, "no replica responded", whole=False)
        for number in range(1, self.controls + 1):
            address = self.control_api(number)
            for _ in range(3):
                try:
                    last = request(address, method, path, body, timeout=2)
                except OSError:
                    break
                if last.status != 307:
                    break
                place = last.headers["Location"].split("/", 3)
                address, path = place[2], "/" + place[3]
            if last.status in (200, 400):
                return last
        return last

    def document(self, version, **changes):
        """Returns a configuration as the operators write it."""
        document = {
            "Version": version,
            "Routes": [
                {"Name": "call", "Host": HOST, "PathPrefix": "/call/",
                 "Type": "safe", "TimeoutMs": 2000, "Service": "desk",
                 "MaxAttempts": 2},
                {"Name": "once", "Host": HOST, "PathPrefix": "/once/",
                 "Type": "unsafe", "TimeoutMs": 2000, "Service": "desk",
                 "MaxAttempts": 2},
                {"Name": "stream", "Host": HOST, "PathPrefix": "/stream/",
                 "Type": "streaming", "TimeoutMs": 5000,
                 "Service": "engine", "MaxAttempts": 2, "Resumable": True}],
            "Services": [
                {"Name": "desk", "HealthPath": "/healthz"},
                {"Name": "engine", "HealthPath": "/healthz",
                 "Engine": {"Slots": 8, "KvCapacity": 100000, "Stride": 4}}],
            "Tenants": self.tenants}
        document.update(changes)
        return document

    def declare(self, version, **changes):
        return self.control_call("POST", "/cactuswick/Config.Replace",
                                 json.dumps(self.document(version, **changes)))

    def ask(self, path, router=1, method="GET", body=None, key=KEY,
            request_id="id-1", **headers):
        sent = {"Host": HOST, "X-Request-Id": request_id,
                "Authorization": f"Token {key}"}
        sent.update({name.replace("_", "-"): value
                     for name, value in headers.items()})
        return request(self.forward_address(router), method, path, body, sent,
                       timeout=10)

    def is_ready(self, router):
        return request(self.ready_address(router), "GET",
                       "/cactuswick/readyz").status == 200

    def log_lines(self):
        """Returns what all processes have logged so far."""
        return (self.directory / "log").read_text().splitlines()

    def wait_known(self, endpoints):
        """Waits until every router knows these endpoints."""
        for endpoint in endpoints:
            known = f"knows endpoint={endpoint.id} "
            wait_for(lambda text=known:
                     sum(text in line for line in self.log_lines())
                     >= self.routers, 10, f"all routers know {endpoint.id}")

    def wait_ready(self, routers=(1, 2)):
        for router in routers:
            wait_for(lambda r=router: self.is_ready(r), 15,
                     f"router {router} is ready")


@contextlib.contextmanager
def running_platform(services=("desk", "desk", "engine", "engine"), routers=2,
                     leave_ms=PlatformRun.leave_ms, zones=("a",), settings=None,
                     make=PlatformRun, versions=("v1",)):
    """Runs control replicas, routers and one endpoint for each service, in
    these zones and at these software versions by turns; all routers know and
    serve them. `make` makes the deployment."""
    deployment = make(controls=3, routers=routers, settings=settings)
    deployment.leave_ms = leave_ms
    endpoints = deployment.endpoints = []
    numbers = range(1, routers + 1)
    try:
        for number in (1, 2, 3):
            deployment.start_replica(number, founds="true")
        for number in numbers:
            deployment.start_forwarder(number)
        wait_for(lambda: deployment.declare(1).status == 200, 15,
                 "the first deployment is acknowledged")
        for number, service in enumerate(services, 1):
            endpoints.append(SimulatedEndpoint(
                deployment, number, service, zones[(number - 1) % len(zones)],
                versions[(number - 1) % len(versions)]))
        deployment.wait_ready(numbers)
        deployment.wait_known(endpoints)
        for router in numbers:
            for path in ("/call/x", "/stream/x"):
                wait_for(lambda r=router, p=path:
                         deployment.ask(p, r).status == 200, 10,
                         f"router {router} serves {path}")
        for endpoint in endpoints:
            endpoint.received.clear()
        yield deployment
    finally:
        for endpoint in endpoints:
            endpoint.stop()
        deployment.close()
