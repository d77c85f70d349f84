"""UNASKED: the body of a HEAD request is run as a request of its own."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployment as dep  # noqa: E402

MANIFEST = {
    "Version": 7,
    "Routes": [{"Name": "r-estado", "Host": dep.HOST,
                "PathPrefix": "/estado/", "Type": "safe",
                "TimeoutMs": 1200, "LatencyTargetMs": 150, "Priority": 2,
                "Service": "balcao", "MaxAttempts": 2, "Public": True},
               {"Name": "r-registo", "Host": dep.HOST,
                "PathPrefix": "/registo/", "Type": "unsafe",
                "TimeoutMs": 1200, "LatencyTargetMs": 150, "Priority": 2,
                "Service": "balcao", "MaxAttempts": 1, "Public": True}],
    "Services": [{"Name": "balcao", "HealthPath": "/healthz",
                  "MaxConnections": 110, "Protocol": "h1", "Tls": False}]}


def answer(call):
    call.ran()
    if call.request.method == "HEAD":
        call.send(call.head(200, {"Content-Length": 4}, True))
        return
    call.reply(200, b"done")


def case(deployment):
    for _ in range(2):
        deployment.add_runner("balcao", answer)
    deployment.declare(MANIFEST)
    deployment.wait_ready()
    deployment.warm_up(["r1"], "POST", "/registo/1", body=b"{}")
    inner = deployment.head("POST", "/registo/9", "inside",
                            {"Content-Length": 2}) + b"{}"
    # The same body, as that of a POST when there is no disruption.
    method = "HEAD" if dep.TROUBLE else "POST"
    with deployment.connect("r1", 3) as channel:
        got = deployment.ask_on(channel, method, "/estado/1", "outside",
                                {"X-Deadline-Ms": 1200}, inner)
        deployment.record(f"answer to outside: {got.status}")
    time.sleep(2)
    ran = [request.id for _, request in deployment.runs]
    deployment.record(f"runners ran: {ran}")
    return "inside" in ran


if __name__ == "__main__":
    sys.exit(dep.run_case(pathlib.Path(__file__).resolve().parent, case))
