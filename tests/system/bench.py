"""Shared helpers of the fault tests.

A deployment with forwarders, callers that record their outcomes, and an audit
of the ledger, the engines and the callers.
"""

import json
import threading
import time

import deployment
from deployment import Deployment, request, wait_for
from forwarder import Forwarder

BUDGET = 200_000


class ForwardedDeployment(Deployment):
    """A deployment whose processes connect through forwarders."""

    def __init__(self, **options):
        super().__init__(**options)
        self.forwarder = Forwarder()
        for number in range(1, self.controls + 1):
            self.forwarder.forward(f"c{number}",
                                   self.control_address("", number),
                                   self.control_listen(number))
        for number in range(1, self.routers + 1):
            self.forwarder.forward(f"r{number}",
                                   self.router_peer_address(number),
                                   self.router_peer_listen(number))

    def control_address(self, viewer, number):
        return f"{self.net}.3.{number}:7001"

    def router_peer_address(self, number):
        return f"{self.net}.4.{number}:8002"

    def close(self):
        ended = super().close()
        self.forwarder.close()
        return ended

    def leader(self):
        """Returns the name of the leader according to the metrics, or None."""
        for number in range(1, self.controls + 1):
            name = f"c{number}"
            if name not in self.processes:
                continue
            try:
                if self.metric(f"{self.net}.0.{number}:7003", "leader") == 1:
                    return name
            except OSError:
                continue
        return None

    def wait_leader(self, other_than=(), seconds=10):
        return wait_for(
            lambda: (name := self.leader()) not in (None, *other_than) and name,
            seconds, "a control replica leads")


class Caller:
    """Outcomes of one request over all attempts under one idempotency key."""

    def __init__(self, key):
        self.key = key
        self.outcomes = []
        self.text = None

    @property
    def whole(self):
        return "whole" in self.outcomes


def stream_text(body):
    text = ""
    for line in body.splitlines():
        if line.startswith("data: {"):
            for choice in json.loads(line[6:]).get("choices", []):
                text += choice["delta"].get("content", "")
    return text


def try_chat(system, address, caller, tokens=8, timeout=20):
    """Makes one attempt at a streamed request and records its outcome."""
    try:
        response = system.chat(address, f"text of {caller.key}", stream=True,
                               max_tokens=tokens, timeout=timeout,
                               Idempotency_Key=caller.key)
    except OSError:
        caller.outcomes.append("lost")
        return caller.outcomes[-1]
    closed = response.body.endswith("data: [DONE]\n\n")
    if response.status == 200 and response.whole and closed:
        caller.outcomes.append("whole")
        caller.text = stream_text(response.body)
    elif response.status == 200:
        caller.outcomes.append("unknown")
    else:
        caller.outcomes.append(response.outcome())
    return caller.outcomes[-1]


class Traffic:
    """Caller threads that retry at other routers until fully answered."""

    def __init__(self, system, addresses, threads=4, tokens=8, tries=40):
        self.system = system
        self.addresses = addresses
        self.callers = []
        self.stopping = False
        self.tokens = tokens
        self.tries = tries
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(number,))
                        for number in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        count = 0
        while not self.stopping:
            count += 1
            caller = Caller(f"t{number}-{count}")
            with self.lock:
                self.callers.append(caller)
            for attempt in range(self.tries):
                address = self.addresses[(number + attempt)
                                         % len(self.addresses)]
                if try_chat(self.system, address, caller,
                            self.tokens) == "whole":
                    break
                time.sleep(0.1)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()
        return self.callers


def settled_account(system, seconds=10):
    """Returns the account as soon as no router has pending settlements or
    requests in flight, at the latest after `seconds`."""
    def is_idle():
        for number in range(1, system.routers + 1):
            if f"r{number}" not in system.processes:
                continue
            address = f"{system.net}.1.{number}:8003"
            if system.metric(address, "pending_settlements") > 0 or \
                    system.metric(address, "in_flight") > 0:
                return False
        return True
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if is_idle():
                break
        except OSError:
            pass
        time.sleep(0.05)
    return system.account()


def audit(system, callers, engines, tokens=8):
    """Checks the ledger, the engines' run counts and the callers' records:
    no overspending, no mixed or truncated responses, and no run of a request
    that was only ever refused.
    """
    account = system.account()
    assert account["billed"] + account["held"] + account["granted"] <= \
        account["topped_up"], f"overspent: {account}"
    runs = {}
    for number in engines:
        try:
            for key, count in system.runs(number).items():
                known = runs.setdefault(key, {"started": 0, "finished": 0})
                known["started"] += count["started"]
                known["finished"] += count["finished"]
        except OSError:
            pass
    for caller in callers:
        if caller.whole:
            expected = "".join(f"{caller.key}:{n} " for n in range(tokens))
            assert caller.text == expected, \
                f"mixed or truncated: {caller.text}"
        only_refused = caller.outcomes and all(
            outcome == "refused" for outcome in caller.outcomes)
        if only_refused:
            finished = runs.get(caller.key, {}).get("finished", 0)
            assert finished == 0, f"{caller.key} was told 'not run' but ran"
    return account


def measure_cost(system, address):
    """Returns the tokens that one request of Traffic costs, measured with a
    key of the most common length."""
    before = system.account()["billed"]
    caller = Caller("p0-11")
    assert try_chat(system, address, caller) == "whole"
    return system.account()["billed"] - before


__all__ = ["BUDGET", "Caller", "ForwardedDeployment", "Traffic", "audit",
           "deployment", "measure_cost", "request", "settled_account",
           "stream_text", "try_chat", "wait_for"]
