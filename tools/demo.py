"""Runs a small deployment, sends one streamed request to a router address that
the deployment advertises, prints what it cost and stops all processes.
"""

import json
import os
import sys

import deployment
from deployment import Deployment, request


def main():
    system = Deployment(controls=3, routers=4)
    try:
        print("starting 3 control replicas, 4 routers, 2 engines, 1 service")
        system.start_all()
        system.start_endpoint("engine1", 1)
        system.start_endpoint("engine2", 2)
        system.start_endpoint("desk", 3, kind="service",
                              serves=deployment.SERVICE)
        key = system.declare(budget=100_000)
        system.wait_served()
        system.wait_served(deployment.SERVICE)
        print(system.cli("get", "budget").stdout)
        entry = request(system.router_address(1), "GET", "/v1/entry").json()
        address = entry["addresses"][0]
        print(f"advertised router: {address}, valid for "
              f"{entry['ttl_ms']} ms\n")
        before = system.account()["billed"]
        response = system.chat(address, "Draft a weaving order.", stream=True,
                               key=key, max_tokens=12,
                               X_Cactuswick_Rank="urgent",
                               Idempotency_Key="demo-1")
        text = ""
        for line in response.body.splitlines():
            if line.startswith("data: {"):
                for choice in json.loads(line[6:])["choices"]:
                    text += choice["delta"].get("content", "")
        print(f"response: {text}")
        print("complete:", response.whole and response.body.endswith(
            "data: [DONE]\n\n"))
        loan = system.call(address, "loan-1")
        print(f"service call: {loan.body} outcome {loan.outcome()}\n")
        account = system.account()
        print(f"billed for this request: {account['billed'] - before} tokens")
        print(system.cli("get", "budget").stdout)
        print(system.cli("status").stdout)
        print(system.cli("report", "burn").stdout)
    finally:
        ended = system.close()
    print("stopped all processes" if not ended
          else f"exited early: {ended}")
    return 1 if ended else 0


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    sys.exit(main())
