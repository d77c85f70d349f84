"""Tests that streams which broke off as routers died can be taken up once new
requests have used the rest of the budget, on the real processes."""

import concurrent.futures
import itertools
import threading

import pytest

from deployment import wait_for
from platform_run import KEY
from streams import OpenStream, events_of, take_up
from test_stream_versions import (CHANGE_SECONDS, EVENTS, READ, ROUTERS,
                                  STREAMS, VersionsRun, running)

# A tenth of what routers hold when they are killed is kept for take-ups: more
# than STREAMS need with SIZE, little more than they need with CROWDED_SIZE.
PREPAID = 300_000
# Tokens of an answer: five events of a stride of four.
ANSWER = 20
# Tokens of a stream, and of one that is to use the budget up.
SIZE, CROWDED_SIZE, LARGE = 100, 200, 15_000
NEW_AT_A_TIME, TAKE_UPS_AT_A_TIME = 12, 4
HELD = "budget_held_for_good"


def tokens(size):
    return {"X-Token-Count": f"{size - ANSWER},{ANSWER}"}


class BudgetRun(VersionsRun):
    """A platform whose callers use up what dead routers have left."""

    tenants = [{"Name": "w", "ApiKeys": [KEY], "Prepaid": PREPAID}]

    def wait_reported(self):
        """As for all runs, but the streams that have begun still wait."""
        for router, other in zip(ROUTERS, reversed(ROUTERS)):
            last = OpenStream(self, self.new_id("last"), router).read(READ)
            # Is taken up behind the event that is held.
            last.events += last.events
            self.take_up_served(last, other)

    def break_streams(self, killed, size=SIZE):
        """Begins streams at all routers, kills some of these and starts them
        again; returns the streams that broke off."""
        self.hold(READ + 1)
        streams = [(router, OpenStream(self, self.new_id("s"), router,
                                       tokens(size)).read(READ))
                   for router in ROUTERS * (STREAMS // len(ROUTERS))]
        self.wait_reported()
        for router in killed:
            self.kill(f"r{router}")
        self.hold(None)
        for router in killed:
            self.start_forwarder(router)
        self.wait_ready(ROUTERS)
        return [stream for router, stream in streams if router in killed]

    def refusal(self, size, router):
        """Returns why a new stream is refused; empty if it is not."""
        answer = self.ask("/stream/x", router, request_id=self.new_id("new"),
                          **tokens(size))
        return "" if answer.status == 200 else answer.kind()

    def use_up(self):
        """New streams use the budget until all routers refuse them."""
        for size, kind in ((LARGE, "budget_"), (SIZE, HELD)):
            wait_for(lambda s=size, k=kind: all(
                [self.refusal(s, router).startswith(k) for router in ROUTERS]),
                CHANGE_SECONDS, f"new streams of {size} tokens are refused")

    def check_goes_on(self, stream, router, size):
        """A stream is taken up and ends at its version; only refusals that have
        nothing to do with the budget may come before."""
        def attempt():
            answer = take_up(self, stream, router, self.new_id("again"),
                             **tokens(size))
            final = answer.status == 200 or answer.kind().startswith("budget_")
            return answer if final else None
        answer = wait_for(attempt, CHANGE_SECONDS, "a stream is taken up")
        assert answer.status == 200, answer.body
        assert answer.whole
        assert events_of(answer.body) == [
            (event, stream.version) for event in range(READ + 1, EVENTS + 1)]

    def check_all_go_on(self, streams, size=SIZE):
        with concurrent.futures.ThreadPoolExecutor(TAKE_UPS_AT_A_TIME) as pool:
            list(pool.map(self.check_goes_on, streams,
                          itertools.cycle(ROUTERS), itertools.repeat(size)))

    def check_not_overspent(self):
        """Counts the most that each request which ran may have used."""
        used = {}
        for endpoint in self.endpoints:
            for call in endpoint.received:
                headers = call["headers"]
                counts = headers.get("X-Token-Count", "0").split(",")
                if call["ran"]:
                    used[headers["X-Request-Id"]] = sum(map(int, counts))
        assert PREPAID // 2 < sum(used.values()) <= PREPAID


@pytest.fixture
def run():
    with running(("v1", "v2"), BudgetRun) as deployment:
        yield deployment
        deployment.check_not_overspent()


@pytest.mark.parametrize("killed", (ROUTERS, ROUTERS[:1]), ids=("all", "one"))
def test_take_ups_are_not_refused_as_new_requests_used_up_the_budget(
        run, killed):
    streams = run.break_streams(killed)
    run.use_up()
    run.check_all_go_on(streams)


def test_new_requests_that_wait_do_not_take_the_place_of_take_ups(run):
    """Larger ones would stand before take-ups, others take their tokens."""
    streams = run.break_streams(ROUTERS, CROWDED_SIZE)
    run.use_up()
    for engine in run.engines():
        engine.gap_s = 0.1
    done = threading.Event()

    def ask(number):
        for router in itertools.cycle(ROUTERS):
            if done.is_set():
                return
            run.refusal((SIZE, 3 * SIZE)[number % 2], router)

    with concurrent.futures.ThreadPoolExecutor(NEW_AT_A_TIME) as pool:
        asked = pool.map(ask, range(NEW_AT_A_TIME))
        try:
            run.check_all_go_on(streams, CROWDED_SIZE)
        finally:
            done.set()
        list(asked)
