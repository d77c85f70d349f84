"""TWICE: a late second copy of a refusal makes an unsafe request run twice."""

import collections
import concurrent.futures
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployment as dep  # noqa: E402

# As in pocas-linha: slots and work of the reporting desk.
SLOTS, WORK_S = 6, 0.03
QUEUE = 4
# garble: the largest share of the answers that a runner spoils there. One of
# two runners does: a share of 0.5 of the runners, 0.6 is the largest there.
SPOILED_SHARE = 0.05
RUNNERS = 2
ROUTERS = ["r1", "r2"]
CONSUMERS = 32
# Between two requests of a consumer, and the longest Retry-After it follows
# (a third of its time).
THINK_S, MAX_WAIT_S = 0.02, 0.8
SECONDS = 30

MANIFEST = {
    "Version": 7,
    "Routes": [{"Name": "r-registo", "Host": dep.HOST,
                "PathPrefix": "/registo/", "Type": "unsafe",
                "TimeoutMs": 1200, "LatencyTargetMs": 150, "Priority": 2,
                "Service": "balcao", "MaxAttempts": 3, "Public": True}],
    "Services": [{"Name": "balcao", "HealthPath": "/healthz",
                  "MaxConnections": 110, "Protocol": "h1", "Tls": False}]}


def answer(call):
    call.ran()
    if call.work(WORK_S):
        call.reply(200, b"registered")


def case(deployment):
    runners = [deployment.add_runner("balcao", answer, slots=SLOTS, queue=QUEUE)
               for _ in range(RUNNERS)]
    deployment.declare(MANIFEST)
    deployment.wait_ready()
    deployment.warm_up(ROUTERS, "POST", "/registo/1", body=b"{}")
    if dep.TROUBLE:
        runners[0].spoiled_share = SPOILED_SHARE
    end = time.monotonic() + SECONDS
    answers = {}

    def consume(number):
        count = 0
        while time.monotonic() < end:
            count += 1
            name = f"req-{number}-{count}"
            got = deployment.ask(ROUTERS[number % len(ROUTERS)], "POST",
                                 "/registo/1", name, {"X-Deadline-Ms": 2500},
                                 b"{}")
            answers[name] = got.status
            time.sleep(min(float(got.headers.get("retry-after", THINK_S)),
                           MAX_WAIT_S))

    with concurrent.futures.ThreadPoolExecutor(CONSUMERS) as pool:
        list(pool.map(consume, range(CONSUMERS)))
    time.sleep(1)
    runs = collections.Counter(request.id for _, request in deployment.runs)
    twice = [name for name, count in runs.items() if count > 1]
    refused = [name for name in runs if answers.get(name) in (408, 421, 429, 503)]
    deployment.record(f"{len(answers)} requests; run twice or more: {twice}; "
                      f"answered that they had not run, and run: {refused}")
    return bool(twice)


if __name__ == "__main__":
    sys.exit(dep.run_case(pathlib.Path(__file__).resolve().parent, case,
                          routers=len(ROUTERS)))
