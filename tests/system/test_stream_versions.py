"""Tests that streams stay at the software version that began them, on the real
processes (docs/design/stream-versions.md)."""

import contextlib
import itertools
import time

import pytest

from deployment import wait_for
from platform_run import PlatformRun, running_platform
from simulated_endpoint import SimulatedEndpoint
from soak import SoakRun
from streams import OpenStream, events_of, runs_of, take_up

REPLICAS = (1, 2, 3)
ROUTERS = (1, 2)
SERVICES = ("desk", "engine", "engine", "engine", "engine")
EVENTS = 5
# Events that callers have read when they take a stream up.
READ = 2
# Streams of a test case: at random versions, all at the right one by luck would
# be rare.
STREAMS = 12
CHANGE_SECONDS = 30
# Fifty times the interval at which the leader passes reports on.
PASSED_ON_SECONDS = 1
SERVICE_UNAVAILABLE = 503
NO_ENDPOINT, ORIGIN_UNKNOWN = "no_endpoint", "origin_unknown"


class VersionsRun(PlatformRun):
    """A platform whose callers count their requests."""

    def __init__(self, **options):
        super().__init__(**options)
        self.numbers = itertools.count()

    def new_id(self, what):
        return f"{what}-{next(self.numbers)}"

    def engines(self):
        return [endpoint for endpoint in self.endpoints
                if endpoint.service == "engine"
                and not endpoint.stopped.is_set()]

    def versions(self):
        return {engine.version for engine in self.engines()}

    def wait_all_versions(self):
        """Waits until each router sends new streams to every version."""
        for router in ROUTERS:
            name = self.new_id(f"warm{router}")
            wait_for(lambda r=router, n=name: self.versions()
                     <= self.versions_used(r, n), CHANGE_SECONDS,
                     f"router {router} sends to all versions")

    def wait_change(self):
        """Waits until all routers have what was committed before."""
        wait_for(lambda: self.declare(2).status == 200, CHANGE_SECONDS,
                 "a change is acknowledged")
        wait_for(lambda: sum("deployment in force version=2 " in line
                             for line in self.log_lines()) >= self.routers,
                 CHANGE_SECONDS, "a change is in force")

    def versions_used(self, router, name):
        self.ask("/stream/x", router, request_id=name)
        return {call["version"] for call in runs_of(self, name)}

    def hold(self, event):
        """New streams wait before this event; None lets all go on."""
        for endpoint in self.endpoints:
            endpoint.held_event = event

    def begin(self, count=STREAMS):
        """Begins streams at all routers, which then wait."""
        self.hold(READ + 1)
        streams = [OpenStream(self, self.new_id("s"),
                              ROUTERS[number % len(ROUTERS)]).read(READ)
                   for number in range(count)]
        assert {stream.version for stream in streams} == self.versions()
        return streams

    def wait_reported(self):
        """Waits until what routers have reported lies at all replicas: the
        leader takes a router's reports in order."""
        if len(self.versions()) < 2:
            return
        for router, other in zip(ROUTERS, reversed(ROUTERS)):
            self.hold(READ + 1)
            last = OpenStream(self, self.new_id("last"), router).read(READ)
            self.hold(None)
            self.take_up_served(last, other)
        time.sleep(PASSED_ON_SECONDS)

    def take_up_served(self, stream, router):
        """Takes a stream up until it is served; returns the response. No
        attempt may have run at another version."""
        names = []

        def attempt():
            names.append(self.new_id("again"))
            answer = take_up(self, stream, router, names[-1])
            return answer if answer.status == 200 else None
        try:
            return wait_for(attempt, CHANGE_SECONDS,
                            f"{stream.request_id} is taken up")
        finally:
            for name in names:
                assert {call["version"] for call in runs_of(self, name)} <= {
                    stream.version}, f"{name} of {stream.events}"

    def check_taken_up(self, streams, first_router=2):
        """Streams are taken up and end at their versions; at the other router
        than before by default. One version comes after the other, so that no
        order of endpoints suits all by chance."""
        self.hold(None)
        numbered = sorted(enumerate(streams), key=lambda pair: pair[1].version)
        for number, stream in numbered:
            router = ROUTERS[(number + first_router - 1) % len(ROUTERS)]
            answer = self.take_up_served(stream, router)
            assert answer.whole
            assert events_of(answer.body) == [
                (event, stream.version)
                for event in range(READ + 1, EVENTS + 1)]

    def check_refused(self, streams, kind, **how):
        """Take-ups are refused at both routers, and nothing has run."""
        self.hold(None)
        for stream, router in itertools.product(streams, ROUTERS):
            name = self.new_id("refused")
            answer = take_up(self, stream, router, name, **how)
            assert not runs_of(self, name)
            assert answer.status == SERVICE_UNAVAILABLE, answer.body
            assert (answer.kind(), answer.json()["error"]["outcome"]) == (
                kind, "refused")

    def wait_leader(self):
        return wait_for(self.leader, CHANGE_SECONDS, "a replica leads")

    def kill_routers(self):
        for number in ROUTERS:
            self.kill(f"r{number}")

    def start_routers(self):
        for number in ROUTERS:
            self.start_forwarder(number)
        self.wait_ready(ROUTERS)

    def restart_everything(self):
        """All routers and replicas are killed and start again."""
        self.kill_routers()
        for number in REPLICAS:
            self.kill(f"c{number}")
        for number in REPLICAS:
            self.start_replica(number)
        self.start_routers()
        self.wait_all_versions()


class CutRun(SoakRun, VersionsRun):
    """The same with links between processes that can be cut."""

    def start_replica(self, number, founds="false"):
        self.start_control(number)


@contextlib.contextmanager
def running(versions, make=VersionsRun):
    with running_platform(services=SERVICES, versions=versions,
                          make=make) as deployment:
        for endpoint in deployment.endpoints:
            endpoint.marked = True
        deployment.wait_all_versions()
        deployment.wait_change()
        yield deployment


@pytest.fixture
def both():
    """Two versions of the engines serve side by side."""
    with running(("v1", "v2")) as deployment:
        yield deployment


@pytest.fixture
def single():
    """Only one version has ever served."""
    with running(("v1",)) as deployment:
        yield deployment


def test_broken_stream_goes_on_at_its_version_inside_one_answer(both):
    """Engines of both versions break streams; a sound one of each is left."""
    pairs = both.engines()[:2], both.engines()[2:]
    broken = 0
    for number in range(STREAMS):
        for engine in pairs[number % 2]:
            engine.fault, engine.resumed_fault = "break", ""
        for engine in pairs[1 - number % 2]:
            engine.fault = ""
        name = both.new_id("broken")
        answer = both.ask("/stream/x", ROUTERS[number % len(ROUTERS)],
                          request_id=name)
        events = events_of(answer.body)
        assert [event for event, _ in events] == list(range(1, EVENTS + 1))
        assert len({version for _, version in events}) == 1, events
        runs = runs_of(both, name)
        assert len({call["version"] for call in runs}) == 1
        broken += len(runs) > 1
    assert broken > 0


def test_broken_stream_is_not_joined_from_a_version_that_is_left(both):
    """Endpoints of one version only refuse what the other has begun."""
    for engine in both.engines():
        engine.fault = "break"
        engine.resumed_fault = "refuse" if engine.version == "v1" else ""
    for number in range(STREAMS):
        answer = both.ask("/stream/x", request_id=both.new_id("broken"))
        events = events_of(answer.body)
        (version,) = {version for _, version in events}
        assert version == "v2" or (not answer.whole and len(events) == READ)


def test_take_up_at_another_router_stays_at_its_version(both):
    both.check_taken_up(both.begin())


def test_take_up_at_the_same_router_stays_at_its_version(both):
    both.check_taken_up(both.begin(), first_router=1)


def test_stream_is_taken_up_twice_at_its_version(both):
    streams = both.begin()
    both.hold(READ + 2)
    for stream in streams:
        stream.close()
        resumed = OpenStream(both, both.new_id("second"), 2, headers={
            "Last-Event-Id": str(READ), "Resumes": stream.request_id})
        assert resumed.read(1).events == [(READ + 1, stream.version)]
        stream.events += resumed.events
        resumed.close()
    both.hold(None)
    for stream in streams:
        answer = both.take_up_served(stream, 1)
        assert events_of(answer.body) == [
            (event, stream.version) for event in range(READ + 2, EVENTS + 1)]


def test_take_up_keeps_the_headers_of_the_endpoint(both):
    streams = both.begin()
    both.hold(None)
    for stream in streams:
        answer = both.take_up_served(stream, 2)
        name = answer.headers["X-Request-Id"]
        (run,) = [call for call in runs_of(both, name) if call["ran"]]
        assert answer.headers["X-Response-Stamp"] == (
            f"stamp-{run['endpoint'].id}")
        assert run["headers"]["Last-Event-Id"] == str(READ)
        assert run["endpoint"].version == stream.version


def test_take_up_after_all_routers_were_killed_stays_at_its_version(both):
    streams = both.begin()
    both.wait_reported()
    both.kill_routers()
    both.start_routers()
    both.check_taken_up(streams)


def test_take_up_after_routers_and_leader_were_killed_stays_at_its_version(
        both):
    streams = both.begin()
    both.wait_reported()
    leader = both.wait_leader()
    both.kill_routers()
    both.kill(f"c{leader}")
    both.start_routers()
    both.check_taken_up(streams)


def test_take_up_after_the_leader_was_killed_stays_at_its_version(both):
    """Routers report streams again, or the new leader was told."""
    streams = both.begin()
    both.kill(f"c{both.wait_leader()}")
    both.check_taken_up(streams)


def test_take_up_after_all_replicas_were_killed_stays_at_its_version(both):
    """Nothing but the routers knows of the streams."""
    streams = both.begin()
    for number in REPLICAS:
        both.kill(f"c{number}")
    for number in REPLICAS:
        both.start_replica(number)
    both.check_taken_up(streams)


def test_take_up_after_all_processes_were_killed_is_refused_among_versions(
        both):
    streams = both.begin()
    both.restart_everything()
    both.check_refused(streams, ORIGIN_UNKNOWN)


def test_take_up_after_all_processes_were_killed_goes_on_with_one_version(
        single):
    streams = single.begin()
    single.restart_everything()
    single.check_taken_up(streams)


def test_take_up_that_names_no_request_is_refused_among_versions(both):
    both.check_refused(both.begin(), ORIGIN_UNKNOWN, named=False)


def test_take_up_that_names_no_request_goes_on_with_one_version(single):
    streams = single.begin()
    single.hold(None)
    for stream in streams:
        answer = take_up(single, stream, 2, single.new_id("unnamed"),
                         named=False)
        assert answer.status == 200
        assert [event for event, _ in events_of(answer.body)] == list(
            range(READ + 1, EVENTS + 1))


def test_take_up_of_a_stream_that_nobody_began_is_refused(both):
    """No guess is made for an id that is not known."""
    streams = both.begin()
    for stream in streams:
        stream.request_id += "-of-nobody"
    both.check_refused(streams, ORIGIN_UNKNOWN)


def test_take_up_is_refused_at_once_when_its_version_has_left(both):
    streams = [stream for stream in both.begin() if stream.version == "v1"]
    for engine in both.engines():
        if engine.version == "v1":
            wait_for(lambda e=engine: e.deregister().status == 200,
                     CHANGE_SECONDS, f"{engine.id} has left")
    # Routers hear of it a moment after it was acknowledged.
    for router in ROUTERS:
        wait_for(lambda r=router: take_up(
            both, streams[0], r, both.new_id("until")).status
            == SERVICE_UNAVAILABLE, CHANGE_SECONDS, "a take-up is refused")
    both.check_refused(streams, NO_ENDPOINT)
    assert both.ask("/stream/x", request_id=both.new_id("new")).status == 200


def test_new_version_gets_requests_only_once_it_is_admitted(single):
    for number in REPLICAS:
        single.set_disk(number, "stalled")
    try:
        new = SimulatedEndpoint(single, len(SERVICES) + 1, "engine",
                                version="v2")
        new.marked = True
        single.wait_known([new])
        single.endpoints.append(new)
        for number in range(4 * STREAMS):
            single.ask("/stream/x", ROUTERS[number % len(ROUTERS)],
                       request_id=single.new_id("early"))
        assert not new.received
    finally:
        for number in REPLICAS:
            single.set_disk(number, "")
    single.wait_all_versions()


def test_router_that_is_cut_from_control_never_guesses_a_version():
    """It has not heard of the version at which the streams began."""
    with running(("v1",), CutRun) as run:
        run.forwarder.cut("r2")
        new = SimulatedEndpoint(run, len(SERVICES) + 1, "engine", version="v2")
        new.marked = True
        run.endpoints.append(new)
        wait_for(lambda: "v2" in run.versions_used(1, run.new_id("warm")),
                 CHANGE_SECONDS, "router 1 sends to the new version")
        run.hold(READ + 1)
        streams = [OpenStream(run, run.new_id("s"), 1).read(READ)
                   for _ in range(STREAMS)]
        run.hold(None)
        for stream in streams:
            name = run.new_id("cut")
            take_up(run, stream, 2, name)
            assert {call["version"] for call in runs_of(run, name)} <= {
                stream.version}
        assert {stream.version for stream in streams} == run.versions()
