"""Measures latency, CPU and memory of real processes for docs/CAPACITY.md.

Sends the same load directly to a simulated engine and through a router, and
reads the CPU time and memory of each process from /proc.
"""

import json
import os
import subprocess
import sys
import time

import deployment
from deployment import Deployment, request

TICK = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1000
    return 0


def run_load(target, key, requests, concurrency, stream, tokens=16):
    command = [deployment.BIN / "cactuswick-load", "--target", target, "--key",
               key, "--model", deployment.MODEL, "--requests", requests,
               "--concurrency", concurrency, "--max-tokens", tokens]
    result = subprocess.run([str(part) for part in command]
                            + (["--stream"] if stream else []),
                            capture_output=True, text=True, check=True)
    return json.loads(result.stdout)


def print_row(name, result):
    total, first = result["total_ms"], result["first_byte_ms"]
    print(f"{name:34} {result['requests_per_second']:8.0f} "
          f"{first['p50']:8.2f} {first['p99']:8.2f} "
          f"{total['p50']:8.2f} {total['p99']:8.2f}   {result['outcomes']}")


def measure_path(system):
    """Prints throughput and latency with and without a router."""
    engine = system.endpoint_address(1)
    router = system.router_address(1)
    print(f"{'target':34} {'req/s':>8} {'first50':>8} {'first99':>8} "
          f"{'total50':>8} {'total99':>8}")
    for stream in (False, True):
        for name, target in (("engine", engine), ("router", router)):
            kind = "streamed" if stream else "unstreamed"
            for concurrency, count in ((1, 300), (32, 4000)):
                print_row(f"{name}, {kind}, {concurrency} concurrent",
                          run_load(target, system.key, count, concurrency,
                                   stream))


def measure_cpu(system):
    """Prints CPU time per request and per token, from two response lengths."""
    router = system.processes["r1"]
    controls = [system.processes[f"c{n}"] for n in range(1, 4)]
    count = 4000
    used = {}
    for tokens in (1, 64):
        before = cpu_seconds(router)
        before_control = [cpu_seconds(one) for one in controls]
        result = run_load(system.router_address(1), system.key, count, 32,
                          True, tokens)
        used[tokens] = (cpu_seconds(router) - before) / count
        control = [1e6 * (cpu_seconds(one) - start) / count
                   for one, start in zip(controls, before_control)]
        print(f"{tokens:3} tokens: router {1e6 * used[tokens]:.0f} us per "
              f"request; control replicas "
              f"{', '.join(f'{one:.0f}' for one in control)} us; "
              f"{result['requests_per_second']:.0f} req/s")
    per_token = 1e6 * (used[64] - used[1]) / 63
    print(f"router, per streamed token: {per_token:.1f} us")
    print(f"router, per request: {1e6 * used[1] - per_token:.0f} us")


def measure_control(system):
    """Prints commit latency and group commit sizes from the metrics."""
    for number in range(1, 4):
        address = f"{system.net}.0.{number}:7003"
        text = request(address, "GET", "/metrics").body
        if "cactuswick_leader 1" not in text:
            continue
        for line in text.splitlines():
            if any(name in line for name in
                   ("sync_ms", "log_entries", "log_syncs", "commit_ms")) \
                    and not line.startswith("#"):
                print("leader:", line)


def measure_idle(system):
    """Prints the idle CPU time and memory of each process."""
    names = [name for name in system.processes if name[1:].isdigit()]
    before = {name: cpu_seconds(system.processes[name]) for name in names}
    seconds = 10
    time.sleep(seconds)
    for name in names:
        process = system.processes[name]
        used = (cpu_seconds(process) - before[name]) / seconds
        print(f"{name}: {100 * used:.2f} % of a core when idle, "
              f"{memory_mb(process):.1f} MB resident")


def run(routers, work, **engine):
    """Calls `work` with a deployment that has one engine."""
    system = Deployment(controls=3, routers=routers)
    try:
        system.start_all()
        system.start_endpoint("engine1", 1, slots=64, **engine)
        system.declare(budget=1_000_000_000)
        system.wait_served()
        work(system)
    finally:
        system.close()


def main():
    """Usage: measure.py path | cpu | idle ROUTERS"""
    what = sys.argv[1] if len(sys.argv) > 1 else "path"
    if what == "path":
        # An engine that responds at once leaves only the router's overhead.
        run(4, measure_path, first_token_ms=0, token_ms=0)
    elif what == "cpu":
        def work(system):
            measure_cpu(system)
            measure_control(system)
        run(4, work, first_token_ms=0, token_ms=0, tokens=64)
    else:
        run(int(sys.argv[2]), measure_idle)


if __name__ == "__main__":
    main()
