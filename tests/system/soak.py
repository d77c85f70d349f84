#!/usr/bin/python3
"""Fault soak test on the real programs and real sockets.

    /usr/bin/python3 tests/system/soak.py [--seconds N] [--jobs N] SEED...

Each seed starts control replicas, routers and simulated endpoints with a
forwarder in every link between processes, runs callers and an operator, and
injects overlapping faults. At the end the records of callers and endpoints are
checked against the guarantees. A seed determines the sequence of faults; the
timing of the processes differs from run to run.
"""

import argparse
import http.client
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from bench import ForwardedDeployment  # noqa: E402
from deployment import wait_for  # noqa: E402
from platform_run import HOST, KEY, PlatformRun  # noqa: E402
from simulated_endpoint import SimulatedEndpoint  # noqa: E402
from soak_checks import (RequestRecord, check_memory,  # noqa: E402
                         check_quarantine, check_records, check_recovery,
                         describe_take_ups, prompt_prefix)

CONTROLS = 3
ROUTERS = 3
CALLERS = 12
PREPAID = 60_000
# Share of the streams that have a deadly prompt part, once there is one.
DEADLY_SHARE = 0.1
# Versions of endpoints, streams that callers leave early, and their take-ups.
VERSIONS = ["v1", "v2", "v3"]
LEFT_SHARE, LEFT_BYTES = 0.15, 60
TAKE_UPS = 3


class SoakRun(ForwardedDeployment, PlatformRun):
    """Forwarding routers and control replicas, all linked by forwarders."""

    # Prompt parts that crash engines.
    deadly_parts = ()

    def make_deadly(self, part):
        self.deadly_parts = (*self.deadly_parts, part)
        for endpoint in self.endpoints:
            endpoint.deadly_parts = set(self.deadly_parts)

    def control_settings(self, number, **more):
        return super().control_settings(
            number, api_listen=self.control_api(number),
            entry_listen=self.entry_address(number),
            endpoint_heartbeat_ms=200, election_ms=300, **more)

    def router_control(self):
        return {"control": ", ".join(self.control_address("", n)
                                     for n in range(1, self.controls + 1))}

    def restart(self, name):
        number = int(name[1:])
        if name[0] == "c":
            self.start_control(number)
        else:
            self.start_forwarder(number)


class SoakEndpoint(SimulatedEndpoint):
    """An endpoint behind a forwarder whose requests take some time."""

    def __init__(self, run, number, service):
        super().__init__(run, number, service)
        self.events = 8
        self.work_s = 0.02 * number
        self.gap_s = 0.02
        self.marked = True

    def announced_address(self):
        host, port = self.address.split(":")
        return f"{host.replace('.2.', '.5.')}:{port}"


class Callers:
    """Caller threads that keep connections open as long as they work."""

    def __init__(self, run, rng):
        self.run = run
        self.records = []
        self.lock = threading.Lock()
        self.stopping = False
        self.threads = [
            threading.Thread(target=self.work,
                             args=(number, random.Random(rng.random())))
            for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def work(self, number, rng):
        connection = None
        count = 0
        while not self.stopping:
            count += 1
            kind = rng.choice(["call", "once", "stream"])
            name = f"s{number}-{count}"
            record = RequestRecord(name, f"/{kind}/{name}",
                                   rng.randint(20, 400), rng.randint(4, 40))
            record.parts = ["hot", f"topic{count % 5}"]
            if self.run.deadly_parts and rng.random() < DEADLY_SHARE:
                record.parts.append(rng.choice(self.run.deadly_parts))
            connection = self.send(connection, record, rng)
            while record.can_be_taken_up(TAKE_UPS):
                record = record.take_up()
                connection = self.send(connection, record, rng)
        if connection is not None:
            connection.close()

    def send(self, connection, record, rng):
        """Sends one request; returns the connection if it can be reused."""
        with self.lock:
            self.records.append(record)
        connection = connection or http.client.HTTPConnection(
            self.run.forward_address(rng.randint(1, ROUTERS)), timeout=8)
        limit = LEFT_BYTES if rng.random() < LEFT_SHARE else None
        if not self.ask(connection, record, limit) or rng.random() < 0.02:
            connection.close()
            connection = None
        time.sleep(rng.uniform(0.01, 0.08))
        return connection

    @staticmethod
    def ask(connection, record, limit=None):
        """Sends one request, leaves a stream after `limit` bytes if it is set;
        returns whether the connection can be reused."""
        resumes = ({"Last-Event-Id": str(record.last_event),
                    "Resumes": record.began_by} if record.last_event else {})
        try:
            connection.request(
                "POST", record.path, record.name, {
                    "Host": HOST, "X-Request-Id": record.name,
                    "Authorization": f"Token {KEY}", **resumes,
                    **({"X-Token-Count":
                        f"{record.prompt},{record.max_tokens}",
                        "X-Prompt-Prefix": prompt_prefix(record)}
                       if record.path.startswith("/stream/") else {})})
            response = connection.getresponse()
            record.status = response.status
            if limit and record.path.startswith("/stream/"):
                record.body = response.read(limit).decode()
                return False
            try:
                record.body = response.read().decode()
                record.whole = True
            except http.client.IncompleteRead as cut:
                record.body = cut.partial.decode()
            return record.whole and not response.will_close
        except (OSError, http.client.HTTPException):
            return False

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()
        return self.records


class Operator:
    """Submits new versions continuously and records the acknowledged ones."""

    def __init__(self, run):
        self.run = run
        self.version = 1
        self.acknowledged = 1
        self.stopping = False
        self.stale_reads = []
        self.thread = threading.Thread(target=self.work)
        self.thread.start()

    def work(self):
        while not self.stopping:
            self.version += 1
            try:
                if self.run.declare(self.version).status == 200:
                    self.acknowledged = self.version
                known = self.acknowledged
                read = self.run.control_call("GET", "/cactuswick/Config.Read")
                if read.status == 200 and read.json()["Version"] < known:
                    self.stale_reads.append((known, read.json()["Version"]))
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.3)

    def stop(self):
        self.stopping = True
        self.thread.join()


class Faults:
    """A sequence of overlapping faults, each reverted after a while."""

    def __init__(self, run, rng, seconds):
        self.run = run
        self.rng = rng
        self.seconds = seconds
        self.history = []
        self.start = time.monotonic()
        self.busy = set()
        self.lock = threading.Lock()

    def note(self, text):
        with self.lock:
            self.history.append(f"{time.monotonic() - self.start:6.2f} {text}")

    def inject(self):
        kinds = [self.kill, self.kill, self.terminate, self.pause, self.pause,
                 self.cut_one_way, self.cut_one_way, self.cut_between,
                 self.delay, self.reset, self.silence, self.break_disk,
                 self.break_endpoint, self.restart_endpoint, self.send_sighup]
        threads = [threading.Thread(target=self.poison)]
        threads[0].start()
        while time.monotonic() - self.start < self.seconds:
            kind = self.rng.choice(kinds)
            seed = self.rng.random()
            thread = threading.Thread(target=kind, args=(random.Random(seed),))
            thread.start()
            threads.append(thread)
            time.sleep(self.rng.uniform(0.1, 1.2))
        for thread in threads:
            thread.join()
        self.run.forwarder.heal()

    def reserve_process(self, rng, names):
        """Reserves a process that no other fault uses, if any."""
        with self.lock:
            free = sorted(set(names) - self.busy)
            name = rng.choice(free) if free else None
            self.busy.add(name)
            return name

    def release_process(self, name):
        with self.lock:
            self.busy.discard(name)

    @staticmethod
    def all_processes():
        return ([f"c{n}" for n in range(1, CONTROLS + 1)] +
                [f"r{n}" for n in range(1, ROUTERS + 1)])

    def kill(self, rng):
        if name := self.reserve_process(rng, self.all_processes()):
            self.note(f"kill {name}")
            self.run.kill(name)
            time.sleep(rng.uniform(0, 3))
            self.run.restart(name)
            self.release_process(name)

    def terminate(self, rng):
        if name := self.reserve_process(rng, self.all_processes()):
            self.note(f"terminate {name}")
            self.run.stop(name)
            self.run.restart(name)
            self.release_process(name)

    def pause(self, rng):
        if name := self.reserve_process(rng, self.all_processes()):
            self.note(f"pause {name}")
            self.run.send_signal(name, signal.SIGSTOP)
            time.sleep(rng.uniform(0.1, 4))
            self.run.send_signal(name, signal.SIGCONT)
            self.release_process(name)

    def send_sighup(self, rng):
        if name := self.reserve_process(rng, self.all_processes()):
            self.note(f"SIGHUP {name}")
            self.run.send_signal(name, signal.SIGHUP)
            self.release_process(name)

    def cut_one_way(self, rng):
        name = rng.choice(self.all_processes())
        direction = rng.choice(["cut_from", "cut_to"])
        self.note(f"{direction} {name}")
        undo = getattr(self.run.forwarder, direction)(name)
        time.sleep(rng.uniform(0.2, 4))
        undo()

    def cut_between(self, rng):
        one, other = rng.sample(self.all_processes(), 2)
        self.note(f"cut {one} {other}")
        undo = self.run.forwarder.cut_between(one, other)
        time.sleep(rng.uniform(0.2, 4))
        undo()

    def delay(self, rng):
        name = rng.choice(self.all_processes())
        self.note(f"delay {name}")
        self.run.forwarder.delays[name] = rng.uniform(0.005, 0.1)
        time.sleep(rng.uniform(0.5, 4))
        self.run.forwarder.delays.pop(name, None)

    def reset(self, rng):
        name = rng.choice(self.all_processes())
        self.note(f"reset {name}")
        self.run.forwarder.reset(name)

    def silence(self, rng):
        del rng
        self.note("silence open links")
        self.run.forwarder.silence_existing()

    def break_disk(self, rng):
        number = rng.randint(1, CONTROLS)
        state = rng.choice(["full", "stalled"])
        self.note(f"disk of c{number} {state}")
        self.run.set_disk(number, state)
        time.sleep(rng.uniform(0.2, 4))
        self.run.set_disk(number, "")

    def break_endpoint(self, rng):
        endpoint = rng.choice(self.run.endpoints)
        fault = rng.choice(["refuse", "reset", "break"])
        self.note(f"endpoint {endpoint.id} {fault}")
        endpoint.fault = fault
        time.sleep(rng.uniform(0.2, 3))
        endpoint.fault = ""

    def poison(self):
        """Makes prompt parts deadly one after the other."""
        for number in range(1, 4):
            time.sleep(self.seconds / 5)
            self.note(f"part dead{number} crashes engines")
            self.run.make_deadly(f"dead{number}")

    def restart_endpoint(self, rng):
        endpoint = rng.choice(self.run.endpoints)
        self.note(f"endpoint {endpoint.id} {endpoint.version} restarts")
        endpoint.state = "draining"
        time.sleep(rng.uniform(0.3, 2))
        endpoint.restart_as(rng.choice(VERSIONS))
        endpoint.state = "ready"


def soak(seed, seconds=12):
    """Runs one seed; returns violations, the fault history and a summary."""
    rng = random.Random(seed)
    run = SoakRun(controls=CONTROLS, routers=ROUTERS,
                  settings={"log": {"format": "json"}})
    run.endpoints = []
    violations = []
    faults = Faults(run, rng, seconds)
    records = []
    spent = 0
    try:
        for number in range(1, CONTROLS + 1):
            run.start_control(number)
        for number in range(1, ROUTERS + 1):
            run.start_forwarder(number)
        run.tenants = [{"Name": "w", "ApiKeys": [KEY], "Prepaid": PREPAID}]
        wait_for(lambda: run.declare(1).status == 200, 15, "a deployment")
        for number, service in ((1, "desk"), (2, "desk"), (3, "engine"),
                                (4, "engine")):
            run.endpoints.append(SoakEndpoint(run, number, service))
            run.forwarder.forward(f"e{number}",
                                  run.endpoints[-1].announced_address(),
                                  run.endpoints[-1].address)
        run.wait_ready(range(1, ROUTERS + 1))
        for router in range(1, ROUTERS + 1):
            wait_for(lambda r=router: run.ask("/call/first", r).status == 200,
                     10, "served")
        faults.start = time.monotonic()
        operator = Operator(run)
        callers = Callers(run, rng)
        try:
            faults.inject()
        finally:
            operator.stop()
            records = callers.stop()
        violations += check_recovery(run, operator)
        violations += check_quarantine(run)
        violations += [f"read {read} after {known} had been acknowledged"
                       for known, read in operator.stale_reads]
        found, spent = check_records(run, records, PREPAID)
        violations += found + check_memory(run)
    except AssertionError as error:
        violations.append(str(error))
    finally:
        for endpoint in run.endpoints:
            endpoint.stop()
        if violations:
            keep = f"soak-{seed}.log"
            pathlib.Path(keep).write_bytes(
                (run.directory / "log").read_bytes())
        ended = run.close()
    violations += [f"{name} exited unexpectedly" for name in ended]
    served = sum(record.status == 200 for record in records)
    return violations, faults.history, \
        f"{len(records)} requests, {served} served, {spent} tokens, " \
        f"{describe_take_ups(records)}"


def run_in_processes(seeds, seconds, jobs):
    """Runs each seed in its own process, because each deployment reserves a
    loopback network of its own. Returns the failed seeds."""
    waiting = list(seeds)
    running = {}
    failed = []
    while waiting or running:
        while waiting and len(running) < jobs:
            seed = waiting.pop(0)
            running[seed] = subprocess.Popen(
                [sys.executable, __file__, "--alone", "--seconds",
                 str(seconds), str(seed)])
        time.sleep(0.2)
        for seed, process in list(running.items()):
            if process.poll() is not None:
                del running[seed]
                if process.returncode != 0:
                    failed.append(seed)
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="+", type=int, metavar="SEED")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--jobs", type=int,
                        default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--alone", action="store_true",
                        help=argparse.SUPPRESS)
    options = parser.parse_args()
    if not options.alone:
        failed = run_in_processes(options.seeds, options.seconds, options.jobs)
        print(f"{len(options.seeds)} seeds, failed: {failed}")
        return 1 if failed else 0
    (seed,) = options.seeds
    violations, history, figures = soak(seed, options.seconds)
    print(json.dumps({"seed": seed, "figures": figures, "broken": violations,
                      **({"faults": history} if violations else {})}))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
