"""Tests of fleets of two releases, with the real processes of both.

The daemon of the previous release is built by
scripts/build-previous-release.sh.
"""

import itertools
import json
import threading

import pytest

from deployment import BIN, request, wait_for
from platform_run import PlatformRun, running_platform
from simulated_endpoint import SimulatedEndpoint
from streams import OpenStream, events_of, runs_of, take_up

DAEMON = BIN / "cactuswickd"
PREVIOUS = (BIN.parent / "previous-release" / "build" / "bin" / "cactuswickd")
REPLICAS = (1, 2, 3)
ROUTERS = (1, 2)
# Prompt and output tokens of a stream of five events of four tokens.
PROMPT, OUTPUT = 80, 20
# Calls after each step of an update.
CALLS_PER_STEP = 10
RECOVERY_SECONDS = 15
SERVICE_UNAVAILABLE, NOT_FOUND = 503, 404


class MixedRun(PlatformRun):
    """Starts in the previous release; processes are updated one by one."""

    tenants = [{"Name": "w", "ApiKeys": ["key-of-w"], "Prepaid": 10_000_000}]

    def __init__(self, **options):
        super().__init__(**options)
        self.previous = {f"c{number}" for number in REPLICAS}
        self.previous |= {f"r{number}" for number in ROUTERS}

    def start(self, name, *command, env=None):
        if name in self.previous and command[0] == DAEMON:
            command = (PREVIOUS, *command[1:])
        super().start(name, *command, env=env)

    def router_tunnels(self, number):
        # The previous release does not know the setting.
        is_old = f"r{number}" in self.previous
        return {} if is_old else super().router_tunnels(number)

    def update_replica(self, number):
        """Updates a replica and waits until it follows or leads."""
        self.stop(f"c{number}")
        self.previous.discard(f"c{number}")
        self.start_replica(number)
        self.wait_member(number)

    def wait_member(self, number):
        wait_for(lambda: request(self.control_api(number), "GET",
                                 "/cactuswick/Config.Read").status
                 in (200, 307), RECOVERY_SECONDS, f"replica {number} is back")

    def update_router(self, number):
        self.stop(f"r{number}")
        self.previous.discard(f"r{number}")
        self.start_forwarder(number)
        self.wait_ready((number,))

    def wait_leader(self):
        return wait_for(self.leader, RECOVERY_SECONDS, "a replica leads")

    def update_followers(self):
        """Updates all replicas but the leader, which is returned."""
        leader = self.wait_leader()
        for number in set(REPLICAS) - {leader}:
            self.update_replica(number)
        # A replica may have taken over meanwhile.
        for _ in REPLICAS:
            if self.wait_leader() == leader:
                break
            self.restart_replica(self.leader())
        assert self.leader() == leader
        return leader

    def restart_replica(self, number):
        self.stop(f"c{number}")
        self.wait_leader()
        self.start_replica(number)
        self.wait_member(number)

    def admitted(self, version):
        """Returns whether a leader has begun to admit a version."""
        text = f"admits a software version service=engine version={version}"
        return any(text in line for line in self.log_lines())

    def evacuate(self, number, step="Start"):
        return request(self.control_api(number), "POST",
                       f"/cactuswick/Evacuation.{step}/north")


class Callers:
    """Calls routers one after the other, in the background, until the end."""

    def __init__(self, run):
        self.run = run
        self.routers = list(ROUTERS)
        self.statuses = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.call, daemon=True)

    def call(self):
        while not self.ended.wait(0.02):
            for router in list(self.routers):
                answer = self.run.ask(
                    "/stream/x", router,
                    request_id=f"m-{router}-{len(self.statuses)}",
                    X_Token_Count=f"{PROMPT},{OUTPUT}")
                self.statuses.append(answer.status if answer.whole else 0)

    def wait_calls(self):
        """Waits for further calls, so that each step of an update has some."""
        enough = len(self.statuses) + CALLS_PER_STEP
        wait_for(lambda: len(self.statuses) >= enough, RECOVERY_SECONDS,
                 "further calls have ended")

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        self.thread.join()

    def check_all_served(self):
        assert self.statuses
        assert set(self.statuses) == {200}, self.statuses


def spent(run):
    """Returns the tokens that all routers together have billed."""
    listed = json.loads(run.cli("--output", "json", "get", "budget", servers=[
        run.router_address(number) for number in ROUTERS]).stdout)
    (budget,) = listed["accounts"]
    return budget["account"]["billed"]


def check_billed(run, before, requests):
    try:
        wait_for(lambda: spent(run) - before == requests * (PROMPT + OUTPUT),
                 RECOVERY_SECONDS, f"{requests} requests are billed once each")
    finally:
        print(f"{requests} requests, billed {spent(run) - before} tokens")


@pytest.fixture
def run():
    assert PREVIOUS.exists(), "run scripts/build-previous-release.sh"
    with running_platform(zones=("north", "south"), make=MixedRun) as mixed:
        yield mixed


def test_every_step_of_an_update_serves_and_bills(run):
    before = spent(run)
    with Callers(run) as callers:
        for number in REPLICAS:
            run.update_replica(number)
            callers.wait_calls()
        # The old routers still take changes from the new replicas.
        wait_for(lambda: run.declare(2).status == 200, RECOVERY_SECONDS,
                 "a change is acknowledged")
        for number in ROUTERS:
            callers.routers.remove(number)
            run.update_router(number)
            callers.routers.append(number)
            callers.wait_calls()
    callers.check_all_served()
    assert not run.previous
    check_billed(run, before, len(callers.statuses))


def test_old_leader_serves_new_followers_and_routers(run):
    """An update that has stopped halfway."""
    before = spent(run)
    with Callers(run) as callers:
        leader = run.update_followers()
        for number in ROUTERS:
            callers.routers.remove(number)
            run.update_router(number)
            callers.routers.append(number)
            callers.wait_calls()
        wait_for(lambda: run.declare(2).status == 200, RECOVERY_SECONDS,
                 "a change is acknowledged")
        # The old leader knows no evacuations and acknowledges none.
        for step in ("Start", "Finish"):
            assert run.evacuate(leader, step).status == NOT_FOUND
        ordered = run.cli("evacuate", "north", "start", check=False, servers=[
            run.router_address(number) for number in ROUTERS])
        assert ordered.returncode != 0
        callers.wait_calls()
        assert run.previous == {f"c{leader}"}
    callers.check_all_served()
    check_billed(run, before, len(callers.statuses))


def test_evacuations_wait_until_no_replica_is_old(run):
    old = run.update_followers()
    for number in ROUTERS:
        run.update_router(number)
    run.restart_replica(old)
    leader = run.wait_leader()
    assert leader != old
    before = spent(run)
    with Callers(run) as callers:
        for step in ("Start", "Finish"):
            wait_for(lambda s=step: run.evacuate(leader, s).status
                     == SERVICE_UNAVAILABLE, RECOVERY_SECONDS,
                     f"{step} is refused")
        # The old replica still follows: its vote is needed without the third.
        (third,) = set(REPLICAS) - {leader, old}
        run.kill(f"c{third}")
        wait_for(lambda: run.declare(2).status == 200, RECOVERY_SECONDS,
                 "a change is acknowledged")
        callers.wait_calls()
        run.start_replica(third)
        run.update_replica(old)
        wait_for(lambda: run.control_call(
            "POST", "/cactuswick/Evacuation.Start/north").status == 200,
            RECOVERY_SECONDS, "an evacuation is acknowledged")
        callers.wait_calls()
    callers.check_all_served()
    check_billed(run, before, len(callers.statuses))


def wait_answer(run, router):
    """Returns the first whole response to a new stream."""
    return wait_for(lambda: (answer := run.ask(
        "/stream/x", router, request_id=run.new_id("new"))).status == 200
        and answer.whole and answer, RECOVERY_SECONDS,
        f"router {router} serves")


def served_again(run, stream, router):
    """Takes a stream up until it is served; returns the response."""
    answers = []

    def attempt():
        answers.append(take_up(run, stream, router, run.new_id("again")))
        return answers[-1].status == 200 and answers[-1]
    try:
        return wait_for(attempt, RECOVERY_SECONDS,
                        f"{stream.request_id} is taken up at r{router}")
    except AssertionError:
        print(answers[-1].body, "\n".join(run.log_lines()[-400:]))
        raise


def begin(run):
    """Begins streams at all routers, which then wait."""
    run.hold(3)
    return [OpenStream(run, run.new_id("s"), router).read(2)
            for router in ROUTERS for _ in range(2)]


def check_take_ups(run, streams=()):
    """Streams that the routers begin are taken up, half of them at the other
    router."""
    streams = streams or begin(run)
    run.hold(None)
    for number, stream in enumerate(streams):
        answer = served_again(run, stream, ROUTERS[number % 2])
        assert events_of(answer.body) == [(n, "v1") for n in range(3, 6)]


def add_version(run, version, number):
    """Starts an engine of a new version, which every router has to use."""
    engine = SimulatedEndpoint(run, number, "engine", "north", version)
    engine.marked = True
    run.endpoints.append(engine)
    for router in ROUTERS:
        name = run.new_id(f"to-{version}-{router}")
        wait_for(lambda r=router, n=name: run.ask(
            "/stream/x", r, request_id=n).status == 200 and any(
                call["endpoint"] is engine for call in runs_of(run, n)),
            RECOVERY_SECONDS, f"router {router} sends to {version}")
    return engine


def check_no_joined_streams(run, router):
    """Streams of a new router break at every version; none is joined from two,
    and take-ups run at the version of their stream or are refused."""
    engines = [endpoint for endpoint in run.endpoints
               if endpoint.service == "engine"]
    for engine in engines:
        engine.fault, engine.resumed_fault = "break", ""
    try:
        for _ in range(CALLS_PER_STEP):
            answer = run.ask("/stream/x", router, request_id=run.new_id("b"))
            assert answer.status == 200
            assert len({version for _, version in events_of(answer.body)}) == 1
    finally:
        for engine in engines:
            engine.fault = ""


def check_take_ups_among_versions(run, router):
    """At a new router, take-ups among versions end with all their events at
    their version, or have not run."""
    run.hold(3)
    streams = [OpenStream(run, run.new_id("s"), other).read(2)
               for other in ROUTERS for _ in range(4)]
    run.hold(None)
    for stream in sorted(streams, key=lambda stream: stream.version):
        name = run.new_id("again")
        answer = take_up(run, stream, router, name)
        if answer.status == 200:
            assert events_of(answer.body) == [
                (number, stream.version) for number in range(3, 6)]
        else:
            assert answer.status == SERVICE_UNAVAILABLE
            assert answer.kind() == "origin_unknown"
            assert not runs_of(run, name)


@pytest.fixture
def marked(run):
    numbers = itertools.count()
    run.new_id = lambda what: f"{what}-{next(numbers)}"
    run.hold = lambda event: [setattr(endpoint, "held_event", event)
                              for endpoint in run.endpoints]
    for endpoint in run.endpoints:
        endpoint.marked = True
    return run


def test_streams_are_taken_up_at_every_step_of_an_update(marked):
    """With one version; the routers are updated between the replicas, so that
    old ones stand beside new ones of both kinds."""
    run = marked
    check_take_ups(run)
    run.update_replica(1)
    run.update_router(1)
    check_take_ups(run)
    run.update_replica(2)
    check_take_ups(run)
    run.update_replica(3)
    check_take_ups(run)
    run.update_router(2)
    check_take_ups(run)
    assert not run.previous


def test_streams_that_began_below_old_replicas_go_on_after_their_update(marked):
    """Old replicas drop versions, which routers learn with the update."""
    run = marked
    run.update_router(2)
    wait_answer(run, 2)
    streams = begin(run)
    for number in REPLICAS:
        run.update_replica(number)
    wait_for(lambda: run.admitted("v1"), RECOVERY_SECONDS, "v1 is admitted")
    check_take_ups(run, streams)


def test_new_version_serves_below_an_old_leader(marked):
    """Nothing is admitted there, as old replicas drop versions; routers use
    the endpoints that they know."""
    run = marked
    leader = run.update_followers()
    run.update_router(2)
    check_take_ups(run)
    add_version(run, "v2", 5)
    assert run.previous == {f"c{leader}", "r1"}
    assert not run.admitted("v2")


def test_new_version_serves_below_a_new_leader_with_old_followers(marked):
    """The leader may admit nothing before the others can read it."""
    run = marked
    # Endpoints announce themselves here first.
    new = REPLICAS[0]
    run.update_replica(new)
    run.update_router(2)
    for _ in range(10):
        if run.wait_leader() == new:
            break
        run.restart_replica(run.leader())
    assert run.leader() == new
    check_take_ups(run)
    add_version(run, "v2", 5)
    # Once all are updated, the versions are admitted and streams reported.
    for number in set(REPLICAS) - {new}:
        run.update_replica(number)
    run.update_router(1)
    wait_for(lambda: run.admitted("v2"), RECOVERY_SECONDS, "v2 is admitted")
    add_version(run, "v3", 6)
    for router in ROUTERS:
        wait_answer(run, router)
        check_no_joined_streams(run, router)
        check_take_ups_among_versions(run, router)
