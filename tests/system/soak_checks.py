"""Requests of the soak test and checks of what came of them."""

import pathlib
import time

from deployment import wait_for
from streams import EVENT, events_of

TOKENS_PER_EVENT = 4
# Longest time from the last fault until all requests are served (RecoverS).
RECOVER_SECONDS = 12
# Crashes by one prompt part, without faults, until all routers refuse it: five
# until it is known and three later ones.
MAX_CRASHES = 8
# Longest time, without faults, until a deadly prompt part is refused.
QUARANTINE_SECONDS = 15
# Memory limit of a router and of a control replica on the users' VMs.
MEMORY_KB = {"r": 88 * 1024, "c": 256 * 1024}


class RequestRecord:
    """One request of a caller and its result as the caller saw it."""

    def __init__(self, name, path, prompt, max_tokens):
        self.name = name
        self.path = path
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.status = 0
        self.whole = False
        self.body = ""
        self.parts = []
        # The request that began the stream and the stream's last event before
        # this request.
        self.began_by = name
        self.last_event = 0
        self.take_ups = 0

    def events(self):
        return self.body.count("\n\n")

    def can_be_taken_up(self, times):
        """Returns whether it is a stream that was cut short after an event, and
        was taken up fewer times than that."""
        ended = self.status == 200 and self.whole
        return self.path.startswith("/stream/") and not ended and \
            self.end() > 0 and self.take_ups < times

    def end(self):
        """Returns the number of the last event that the caller has."""
        return self.last_event + (self.events() if self.status == 200 else 0)

    def take_up(self):
        """Returns the request that takes this stream up."""
        record = RequestRecord(f"{self.began_by}-{self.take_ups}", self.path,
                               self.prompt, self.max_tokens)
        record.parts = self.parts
        record.began_by = self.began_by
        record.last_event = self.end()
        record.take_ups = self.take_ups + 1
        return record


def prompt_prefix(record):
    """Returns the header that lists the parts of a stream's prompt."""
    return ",".join([*(f"{part}:4" for part in record.parts),
                     f"own-{record.name}:4"])


def check_records(run, records, prepaid):
    """Compares what callers were told with what endpoints ran."""
    runs = {}
    for endpoint in run.endpoints:
        for call in endpoint.received:
            if call["ran"]:
                name = call["headers"]["X-Request-Id"]
                runs.setdefault(name, []).append(call)
    violations = []
    spent = 0
    for record in records:
        ran = len(runs.get(record.name, []))
        safe = not record.path.startswith("/once/")
        if not safe and ran > 1:
            violations.append(f"{record.name} ran {ran} times")
        if not safe and record.status in (429, 503) and ran > 0:
            violations.append(f"{record.name} ran but was reported as not run")
        if record.status in (400, 401, 403, 404):
            violations.append(f"{record.name} was denied: {record.status}")
        if record.path.startswith("/stream/"):
            # The events received are in order, and complete if the stream is.
            whole = record.status == 200 and record.whole
            if record.status == 200 and not is_in_order(record):
                violations.append(f"{record.name} got mixed events")
            if whole and record.end() != run.endpoints[0].events:
                violations.append(f"{record.name} looks complete but is not")
            if record.status == 200 and record.events() > 0:
                spent += record.prompt + min(
                    record.max_tokens, TOKENS_PER_EVENT * record.events())
        elif record.status == 200 and record.whole and \
                not record.body.endswith(record.path):
            violations.append(f"{record.name} got {record.body!r}")
    if spent > prepaid:
        violations.append(f"{spent} tokens delivered of {prepaid}")
    return violations + check_versions(records), spent


def is_in_order(record):
    """Returns whether exactly the events after the last one have come."""
    first = record.last_event + 1
    numbers = [number for number, _ in events_of(record.body)]
    text = "".join(event.group(0) for event in EVENT.finditer(record.body))
    return record.body.startswith(text) and numbers == list(
        range(first, first + record.events()))


def check_versions(records):
    """Checks that no stream holds events of two versions, however often it was
    taken up."""
    versions = {}
    for record in records:
        if record.path.startswith("/stream/") and record.status == 200:
            versions.setdefault(record.began_by, set()).update(
                version for _, version in events_of(record.body))
    return [f"{name} holds events of {sorted(found)}"
            for name, found in versions.items() if len(found) > 1]


def describe_take_ups(records):
    """Returns how many take-ups were sent and how many brought events."""
    sent = [record for record in records if record.began_by != record.name]
    served = sum(record.status == 200 and record.events() > 0
                 for record in sent)
    return f"{len(sent)} take-ups, {served} served"


def check_memory(run):
    violations = []
    for name, process in run.processes.items():
        try:
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        except OSError:
            continue
        peak = next((int(line.split()[1]) for line in status.splitlines()
                     if line.startswith("VmHWM")), 0)
        if peak > MEMORY_KB[name[0]]:
            violations.append(f"{name} used {peak} KB")
    return violations


def check_recovery(run, operator):
    """Checks that all requests are served again and that no acknowledged
    version is lost."""
    def served(router, path):
        response = run.ask(path, router, request_id=f"last-{time.time()}")
        return response.status == 200
    end = time.monotonic() + RECOVER_SECONDS
    for router in range(1, run.routers + 1):
        for path in ("/call/last", "/stream/last"):
            left = max(0.1, end - time.monotonic())
            wait_for(lambda r=router, p=path: served(r, p), left,
                     f"router {router} serves {path} again")
    read = wait_for(
        lambda: (response := run.control_call(
            "GET", "/cactuswick/Config.Read")).status == 200 and response,
        RECOVER_SECONDS, "the deployment can be read")
    if read.json()["Version"] < operator.acknowledged:
        return [f"version {operator.acknowledged} was acknowledged, "
                f"{read.json()['Version']} remains"]
    return []


def check_quarantine(run):
    """Checks that every deadly part ends up refused by all routers after few
    crashes, and that sound prompts with the same other parts are served."""
    def ask(router, parts):
        # Without a token count, so that a used-up budget does not matter.
        record = RequestRecord(f"after-{time.time()}", "", 0, 0)
        record.parts = parts
        return run.ask("/stream/after", router, request_id=record.name,
                       X_Prompt_Prefix=prompt_prefix(record)).status

    def crashes(part):
        return sum(endpoint.crashes_by_part[part]
                   for endpoint in run.endpoints)

    violations = []
    for part in run.deadly_parts:
        before = crashes(part)
        end = time.monotonic() + QUARANTINE_SECONDS
        refusals = 0
        while refusals < run.routers and time.monotonic() < end:
            router = 1 + refusals % run.routers
            refused = ask(router, ["hot", "topic1", part]) == 503
            served = ask(router, ["hot", "topic1"]) == 200
            refusals = refusals + 1 if refused and served else 0
            time.sleep(0.2)
        if refusals < run.routers:
            violations.append(f"{part} is not refused")
        if crashes(part) - before > MAX_CRASHES:
            violations.append(f"{part} crashed {crashes(part) - before} times")
    for router in range(1, run.routers + 1):
        for number in range(5):
            wait_for(lambda r=router, n=number: ask(
                r, ["hot", f"topic{n}"]) == 200, RECOVER_SECONDS,
                     f"router {router} serves topic{number}")
    return violations
