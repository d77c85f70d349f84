"""Tests that callers of a router that does not reach the endpoints are served
through the others, on the real processes (docs/design/tunnels.md)."""

import concurrent.futures
import contextlib
import itertools
import socket
import time

import pytest

from deployment import BIN, wait_for
from platform_run import PlatformRun, running_platform

# Preloaded library that refuses or hangs connections; built with the tests.
CUT_LINK = BIN.parent / "lib" / "libcut_link.so"
CUT = "cut off from endpoints"
HEALED = "endpoints are reachable again"
# More calls at once than connections that routers have kept.
AT_ONCE = 12
# Time after which the platform's rules count, and more than a cut is noticed in.
NOTICED_SECONDS = 3
HEALED_SECONDS = 10


class ReachRun(PlatformRun):
    """A platform whose first router can be cut off from the endpoints."""

    tenants = [{"Name": "w", "ApiKeys": ["key-of-w"], "Prepaid": 1000000}]

    def __init__(self, **options):
        super().__init__(**options)
        self.numbers = itertools.count()

    def router_environment(self, number):
        return {"LD_PRELOAD": str(CUT_LINK),
                "CUT_LINK": str(self.cut_file(number))}

    def cut_file(self, number):
        return self.directory / f"r{number}.cut"

    def set_cut(self, number, text):
        self.cut_file(number).write_text(text)

    def logged(self, text):
        return sum(text in line for line in self.log_lines())

    def ask_at_once(self, path, router, method="GET"):
        """Sends calls at once; returns their ids and responses."""
        names = [f"n-{next(self.numbers)}" for _ in range(AT_ONCE)]
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
            responses = list(pool.map(
                lambda name: self.ask(path, router, method, request_id=name),
                names))
        return names, responses

    def runs_of(self, name):
        return sum(call["headers"].get("X-Request-Id") == name for endpoint in self.endpoints
                   for call in endpoint.received)


@contextlib.contextmanager
def black_hole():
    """An address at which connections are never established."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield "{} {}".format(*listener.getsockname())


@pytest.fixture(name="run")
def run_fixture():
    with running_platform(make=ReachRun, routers=3,
                          services=("desk", "desk", "engine", "engine")) as run:
        yield run


@pytest.mark.parametrize("how", ["refuse", "hang"])
def test_callers_of_a_router_cut_off_from_endpoints_are_served(run, how):
    with black_hole() as hole:
        run.set_cut(1, f"{how} {run.net}.2. {hole}")
        deadline = time.monotonic() + NOTICED_SECONDS
        while time.monotonic() < deadline:
            run.ask_at_once("/call/x", 1)
        assert run.logged(CUT) == 1
        for path, method in (("/call/x", "GET"), ("/once/x", "POST"),
                             ("/stream/x", "GET")):
            names, responses = run.ask_at_once(path, 1, method)
            assert [one.status for one in responses] == [200] * AT_ONCE, path
            assert all(one.whole for one in responses)
            assert [run.runs_of(name) for name in names] == [1] * AT_ONCE
        run.set_cut(1, "")
        wait_for(lambda: run.logged(HEALED) == 1, HEALED_SECONDS, "it returns")
        _, responses = run.ask_at_once("/call/x", 1)
        assert [one.status for one in responses] == [200] * AT_ONCE


def test_dead_endpoints_do_not_cut_a_router_off(run):
    for endpoint in run.endpoints:
        if endpoint.service == "desk":
            endpoint.stop()
    for _ in range(3):
        run.ask_at_once("/call/x", 1)
    _, responses = run.ask_at_once("/stream/x", 1)
    assert [one.status for one in responses] == [200] * AT_ONCE
    assert run.logged(CUT) == 0


def test_routers_that_are_all_cut_off_refuse_in_time(run):
    for router in (1, 2, 3):
        run.set_cut(router, f"refuse {run.net}.2.")
    deadline = time.monotonic() + NOTICED_SECONDS
    while time.monotonic() < deadline:
        for router in (1, 2, 3):
            run.ask_at_once("/call/x", router)
    begin = time.monotonic()
    names, responses = run.ask_at_once("/once/x", 1, "POST")
    assert time.monotonic() - begin < 2
    for name, response in zip(names, responses):
        assert response.status == 200 or (response.status == 503 and
                                          run.runs_of(name) == 0)
