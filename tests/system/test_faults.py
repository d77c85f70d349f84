"""Guarantees that must hold under faults, tested on the real processes.

Each test injects a fault while callers send requests and then audits the
ledger, the engines' run counts and the callers' records (bench.py). The bounds
are those of the requirements.
"""

import json
import random
import signal
import socket
import threading
import time

import pytest

from bench import (BUDGET, Caller, ForwardedDeployment, Traffic, audit,
                   deployment, measure_cost, request, settled_account,
                   try_chat, wait_for)

ENGINES = (1, 2)
SERVICE_NUMBER = 3


class RunningSystem:
    """Context of a deployment with two engines and a service."""

    def __init__(self, budget=BUDGET, engine_options=None, **options):
        self.budget = budget
        self.engine_options = engine_options or {}
        self.options = {"controls": 3, "routers": 3, **options}

    def __enter__(self):
        system = ForwardedDeployment(**self.options)
        self.system = system
        try:
            system.start_all()
            for number in ENGINES:
                system.start_endpoint(f"engine{number}", number,
                                      **self.engine_options)
            system.start_endpoint("desk", SERVICE_NUMBER, kind="service",
                                  serves=deployment.SERVICE, delay_ms=30)
            system.declare(budget=self.budget)
            system.wait_served()
            system.wait_served(deployment.SERVICE)
        except BaseException:
            system.close()
            raise
        return system

    def __exit__(self, *failure):
        if failure[0] is not None:
            print((self.system.directory / "log").read_text()[-6000:])
        self.system.close()


def routers(system):
    return [system.router_address(n) for n in range(1, system.routers + 1)]


def check_billed_once(system, callers, before, cost):
    """Checks that every caller has a complete response and was billed once.

    Keys differ in length by a few bytes, so costs may differ by a few tokens.
    """
    assert all(caller.whole for caller in callers), \
        [caller.outcomes for caller in callers if not caller.whole]
    account = settled_account(system)
    billed = account["billed"] - before
    expected = cost * len(callers)
    assert abs(billed - expected) <= 2 * len(callers), \
        f"billed {billed} for {len(callers)} responses at {cost}"
    return account


def grants(system):
    reply = json.loads(system.cli("--output", "json", "get",
                                  "budget/ushers/main").stdout)
    return reply["accounts"][0]["grants"]


def refusals(callers):
    """Returns the number of refused attempts, as a measure of the impact."""
    return sum(caller.outcomes.count("refused") for caller in callers)


# Faults that traffic must survive. Each injects a fault and reverts it.

def kill_leader(system):
    name = system.wait_leader()
    system.kill(name)
    system.wait_leader()
    time.sleep(1)
    system.start_control(int(name[1:]))


def kill_follower(system):
    leader = system.wait_leader()
    # A concurrent fault may have killed a replica.
    name = next(n for n in ("c1", "c2", "c3")
                if n != leader and n in system.processes)
    system.kill(name)
    time.sleep(1)
    system.start_control(int(name[1:]))


def freeze_leader(system):
    name = system.wait_leader()
    system.send_signal(name, signal.SIGSTOP)
    time.sleep(3)
    system.send_signal(name, signal.SIGCONT)


def cut_for(system, cut, *names, seconds=3):
    """Cuts links for a while, then heals them."""
    cut(*names)
    time.sleep(seconds)
    system.forwarder.heal()


def cut_leader(system):
    cut_for(system, system.forwarder.cut, system.wait_leader())


def cut_leaders_ears(system):
    """Drops everything that is sent to the leader."""
    cut_for(system, system.forwarder.cut_to, system.wait_leader())


def cut_leaders_voice(system):
    """Drops everything that the leader sends."""
    cut_for(system, system.forwarder.cut_from, system.wait_leader())


def kill_router(system):
    system.kill("r2")
    time.sleep(1)
    system.start_router(2)
    system.wait_ready([2])


def cut_router(system):
    cut_for(system, system.forwarder.cut, "r2")


def cut_router_from_control(system):
    for number in range(1, 4):
        system.forwarder.cut_between("r2", f"c{number}")
    time.sleep(4)
    system.forwarder.heal()


def silence_links(system):
    system.forwarder.silence_existing()
    time.sleep(3)


def kill_engine(system):
    system.kill("engine1")
    time.sleep(1)
    system.start_endpoint("engine1", 1, incarnation=2)


def freeze_engine(system):
    system.send_signal("engine1", signal.SIGSTOP)
    time.sleep(2)
    system.send_signal("engine1", signal.SIGCONT)


def freeze_router(system):
    system.send_signal("r2", signal.SIGSTOP)
    time.sleep(3)
    system.send_signal("r2", signal.SIGCONT)


FAULTS = [kill_leader, kill_follower, freeze_leader, cut_leader,
          cut_leaders_ears, cut_leaders_voice, kill_router, cut_router,
          cut_router_from_control, silence_links, kill_engine, freeze_engine,
          freeze_router]


def check_survives(system, *faults):
    cost = measure_cost(system, system.router_address(1))
    before = settled_account(system)["billed"]
    traffic = Traffic(system, routers(system))
    try:
        time.sleep(0.5)
        errors = []

        def inject(fault):
            try:
                fault(system)
            except BaseException as error:
                errors.append((fault.__name__, error))
                raise

        threads = [threading.Thread(target=inject, args=(fault,))
                   for fault in faults]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert not errors, "a fault could not be injected"
        time.sleep(1)
    finally:
        callers = traffic.stop()
    print(f"{len(callers)} callers, {refusals(callers)} refused attempts")
    assert len(callers) > 20
    audit(system, callers, ENGINES)
    return check_billed_once(system, callers, before, cost)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_traffic_survives_one_fault(fault):
    with RunningSystem(settings={
            "router": {"progress_timeout_ms": 1000,
                       "first_byte_timeout_ms": 2000}}) as it:
        check_survives(it, fault)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_traffic_survives_two_concurrent_faults(seed):
    rng = random.Random(seed)
    pair = rng.sample(FAULTS, 2)
    print(seed, [fault.__name__ for fault in pair])
    with RunningSystem(settings={
            "router": {"progress_timeout_ms": 1000,
                       "first_byte_timeout_ms": 2000}}) as it:
        check_survives(it, *pair)


# Budgets.

def test_small_budget_is_fully_spent_but_not_exceeded():
    with RunningSystem(budget=20_000) as system:
        cost = measure_cost(system, system.router_address(1))
        stop = time.monotonic() + 25
        kinds = []

        def send_until_exhausted(number):
            count = 0
            while time.monotonic() < stop:
                count += 1
                response = system.chat(
                    routers(system)[(number + count) % 3],
                    Idempotency_Key=f"s{number}-{count}")
                if response.status != 200:
                    kinds.append(response.kind())
                    if kinds[-1] == "budget_exhausted":
                        return
                    time.sleep(0.05)

        threads = [threading.Thread(target=send_until_exhausted, args=(n,))
                   for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        account = settled_account(system)
        print(account, {kind: kinds.count(kind) for kind in set(kinds)})
        assert account["billed"] <= account["topped_up"]
        assert kinds.count("budget_exhausted") == 6
        # Refused only when not even one more reservation fits.
        reservation = 250
        assert account["topped_up"] - account["billed"] < reservation + cost


def test_topup_during_partition_is_applied_once():
    with RunningSystem() as system:
        before = system.account()["topped_up"]
        old = system.wait_leader()
        system.forwarder.cut(old)
        wait_for(lambda: system.cli("--request-id", "cut-1", "topup",
                                    "ushers/main", 1000,
                                    check=False).returncode == 0,
                 10, "a top-up during the cut")
        time.sleep(2)
        system.forwarder.heal()
        time.sleep(1)
        for _ in range(3):
            system.cli("--request-id", "cut-1", "topup", "ushers/main", 1000)
        assert system.account()["topped_up"] == before + 1000


def test_grants_serve_but_writes_are_refused_without_quorum():
    with RunningSystem() as system:
        cost = measure_cost(system, system.router_address(1))
        warm = settled_account(system)["billed"] - cost
        for number in range(8):
            caller = Caller(f"q0-1{number}")
            assert try_chat(system, system.router_address(1), caller) == "whole"
        system.kill("c1")
        system.kill("c2")
        time.sleep(2)
        refused = system.cli("topup", "ushers/main", 1000, check=False)
        assert refused.returncode == 3
        served = Caller("q0-20")
        try_chat(system, system.router_address(1), served)
        assert served.whole, "the router's grant covers this request"
        call = system.call(system.router_address(1), "no-quorum")
        assert (call.status, call.kind(), call.outcome()) == (
            503, "control_unreachable", "refused")
        assert "no-quorum" not in system.runs(SERVICE_NUMBER)
        system.start_control(1)
        system.start_control(2)
        system.wait_leader(seconds=15)
        account = settled_account(system)
        assert account["billed"] == 10 * cost + warm
        audit(system, [served], ENGINES)
        # A refused call leaves no record of its key, so the key may run now.
        assert system.call(system.router_address(1), "no-quorum").status == 200
        assert system.runs(SERVICE_NUMBER)["no-quorum"] == 1


def test_settlements_of_router_killed_while_partitioned_survive():
    with RunningSystem(settings={"router": {"entry_ttl_ms": 500}}) as system:
        cost = measure_cost(system, system.router_address(2))
        for _ in range(10):
            system.chat(system.router_address(2))
        before = settled_account(system)["billed"]
        incarnation = next(router["incarnation"]
                           for router in system.status()["routers"]
                           if router["vm"] == "r2")
        for number in range(1, 4):
            system.forwarder.cut_between("r2", f"c{number}")
        time.sleep(2.5)
        callers = [Caller(f"k0-1{n}") for n in range(3)]
        for caller in callers:
            try_chat(system, system.router_address(2), caller)
            assert caller.whole, caller.outcomes
        assert system.account()["billed"] == before
        system.kill("r2")
        system.forwarder.heal()
        system.start_router(2)
        system.wait_ready([2])
        account = wait_for(
            lambda: (now := system.account())["billed"] > before and now,
            10, "the replicated settlements are recorded")
        assert abs(account["billed"] - before - 3 * cost) <= 6
        # The unused grants of the dead router are free again at once.
        dead = [share["holder"] for share in grants(system)]
        assert incarnation not in dead
        assert account["held"] == 0
        audit(system, callers, ENGINES)


def test_retry_at_another_router_after_crash_is_billed_once():
    options = {"token_ms": 30}
    with RunningSystem(engine_options=options) as system:
        cost = measure_cost(system, system.router_address(1))
        before = settled_account(system)["billed"]
        caller = Caller("m0-11")
        first = threading.Thread(target=try_chat, args=(
            system, system.router_address(2), caller))
        first.start()
        time.sleep(0.15)
        system.kill("r2")
        first.join()
        assert caller.outcomes == ["unknown"], "the truncation is visible"
        try_chat(system, system.router_address(1), caller)
        check_billed_once(system, [caller], before, cost)
        audit(system, [caller], ENGINES)


def test_caller_disconnect_while_queued_frees_no_other_reservation():
    with RunningSystem(budget=1_000, engine_options={"token_ms": 100,
                                                     "slots": 64}) as system:
        cost = measure_cost(system, system.router_address(1))
        address = system.router_address(1)
        callers = [Caller(f"u0-1{n}") for n in range(40)]
        threads = []
        before = settled_account(system)["billed"]
        for number, caller in enumerate(callers):
            threads.append(threading.Thread(target=try_chat, args=(
                system, address, caller)))
            threads[-1].start()
            if number >= 5:
                # The budget is reserved by now: these queue and time out.
                try:
                    early = system.chat(address, "x" * 300, timeout=0.05)
                    assert early.kind() != "budget_exhausted"
                except OSError:
                    pass
        for thread in threads:
            thread.join()
        wholes = sum(caller.whole for caller in callers)
        billed = settled_account(system)["billed"] - before
        assert wholes > 0
        assert abs(billed - cost * wholes) <= 2 * wholes
        assert system.metric(f"{system.net}.1.1:8003",
                             "settlements_held_total") == 0


def test_disconnected_caller_is_billed_for_received_tokens():
    with RunningSystem(engine_options={"token_ms": 50}) as system:
        before = settled_account(system)["billed"]
        caller = Caller("h0-11")
        host, port = system.router_address(1).split(":")
        body = json.dumps({"model": deployment.MODEL, "stream": True,
                           "messages": [{"role": "user", "content": "x"}]})
        with socket.create_connection((host, int(port)), 5) as raw:
            raw.sendall((f"POST /v1/chat/completions HTTP/1.1\r\n"
                         f"Host: x\r\nAuthorization: Bearer {system.key}\r\n"
                         f"Idempotency-Key: {caller.key}\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}")
                        .encode())
            while b"h0-11:1" not in raw.recv(65536):
                pass
        account = settled_account(system)
        assert 0 < account["billed"] - before <= 8
        running = request(system.endpoint_address(1), "GET", "/load").json()
        assert running["in_flight"] == 0, "the engine was told to stop"


# At-most-once execution.

@pytest.mark.parametrize("victim", ["r2", "leader", "desk"])
def test_non_idempotent_call_runs_at_most_once(victim):
    with RunningSystem() as system:
        keys = [f"loan-{n}" for n in range(40)]
        outcomes = {}

        def send_calls(part):
            for key in keys[part::4]:
                for attempt in range(30):
                    address = routers(system)[(part + attempt) % 3]
                    try:
                        response = system.call(address, key)
                    except OSError:
                        time.sleep(0.1)
                        continue
                    outcome = (response.status, response.outcome())
                    outcomes.setdefault(key, []).append(outcome)
                    if outcome[1] != "refused" and response.status != 409:
                        break
                    time.sleep(0.1)

        threads = [threading.Thread(target=send_calls, args=(n,))
                   for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.25)
        name = system.wait_leader() if victim == "leader" else victim
        runs_before = system.runs(SERVICE_NUMBER)
        system.kill(name)
        time.sleep(1)
        if name == "desk":
            system.start_endpoint("desk", SERVICE_NUMBER, kind="service",
                                  serves=deployment.SERVICE, delay_ms=30,
                                  incarnation=2)
        elif name.startswith("c"):
            system.start_control(int(name[1:]))
        else:
            system.start_router(2)
        for thread in threads:
            thread.join()
        runs = system.runs(SERVICE_NUMBER)
        if name == "desk":
            for key, count in runs_before.items():
                runs[key] = runs.get(key, 0) + count
        assert max(runs.get(key, 0) for key in keys) <= 1
        for key in keys:
            if any(outcome == "whole" for _, outcome in outcomes[key]):
                assert runs.get(key, 0) == 1
            if all(outcome == "refused" for _, outcome in outcomes[key]):
                assert runs.get(key, 0) == 0


# Complete responses.

@pytest.mark.parametrize("fault, stream", [
    ({"cut_after": 0}, True), ({"cut_after": 3}, True),
    ({"cut_after": 3}, False), ({"silent_after": 3}, True),
    ({"silent_after": 0}, False), ({"refuse": True}, True)])
def test_truncated_response_is_never_reported_as_whole(fault, stream):
    settings = {"router": {"progress_timeout_ms": 500,
                           "first_byte_timeout_ms": 500}}
    with RunningSystem(settings=settings) as system:
        before = settled_account(system)["billed"]
        for number in ENGINES:
            request(system.endpoint_address(number), "POST", "/fault",
                    json.dumps(fault))
        response = system.chat(system.router_address(1), stream=stream,
                               Idempotency_Key="w0-11")
        assert not response.body.endswith("data: [DONE]\n\n")
        if response.status == 200:
            assert "event: error" in response.body or not response.whole
            assert not response.whole
        else:
            ran = any(system.runs(n).get("w0-11") for n in ENGINES)
            assert response.outcome() == ("unknown" if ran else "refused")
        assert settled_account(system)["billed"] == before
        for number in ENGINES:
            request(system.endpoint_address(number), "POST", "/fault", "{}")
        caller = Caller("w0-11")
        wait_for(lambda: try_chat(system, system.router_address(1),
                                  caller) == "whole", 10,
                 "requests succeed again")
        audit(system, [caller], ENGINES)


# Configuration.

def test_concurrent_updates_of_one_version_conflict():
    with RunningSystem() as system:
        version = 1
        for turn in range(5):
            results = []

            def apply_change(number, base=version, out=results):
                path = system.directory / f"race{number}.json"
                path.write_text(json.dumps({
                    "type": "rank", "name": "urgent", "base_version": base,
                    "deadline_ms": 1000 + number}))
                out.append(system.cli("apply", "-f", path, check=False,
                                      servers=[routers(system)[number]]))

            threads = [threading.Thread(target=apply_change, args=(n,))
                       for n in range(3)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            codes = sorted(result.returncode for result in results)
            assert codes == [0, 1, 1], turn
            assert sum("version_conflict" in result.stderr
                       for result in results) == 2
            version += 1


def test_resent_change_gets_first_response():
    with RunningSystem() as system:
        path = system.directory / "resend.json"
        path.write_text(json.dumps({"type": "rank", "name": "resent",
                                    "base_version": 0}))
        first = system.cli("--request-id", "q-1", "apply", "-f", path)
        leader = system.wait_leader()
        system.kill(leader)
        system.wait_leader()
        again = system.cli("--request-id", "q-1", "apply", "-f", path)
        assert again.stdout == first.stdout


@pytest.mark.parametrize("isolate", ["r1", "leader"])
def test_config_revision_never_decreases(isolate):
    with RunningSystem() as system:
        name = system.wait_leader() if isolate == "leader" else isolate
        newest = [0] * 4
        decreases = []
        stop = threading.Event()

        def poll_revisions():
            while not stop.is_set():
                for number in range(1, 4):
                    try:
                        now = system.metric(f"{system.net}.1.{number}:8003",
                                            "config_revision")
                    except (OSError, ValueError):
                        continue
                    if now < newest[number]:
                        decreases.append((number, newest[number], now))
                    newest[number] = max(newest[number], now)

        watcher = threading.Thread(target=poll_revisions)
        watcher.start()
        system.forwarder.cut(name)
        for turn in range(10):
            path = system.directory / "turn.json"
            path.write_text(json.dumps({"type": "rank", "name": f"turn{turn}"}))
            wait_for(lambda p=path: system.cli(
                "apply", "-f", p, check=False,
                servers=routers(system)[1:]).returncode == 0, 10, "applied")
        system.forwarder.heal()
        wait_for(lambda: all(
            router["applied_revision"] >= system.status()["revision"]
            for router in system.status()["routers"]), 5, "in force again")
        stop.set()
        watcher.join()
        assert not decreases


def test_restart_after_hundreds_of_changes_keeps_budgets():
    settings = {"control": {"snapshot_entries": 100}}
    with RunningSystem(settings=settings) as system:
        path = system.directory / "many.json"
        path.write_text(json.dumps([
            {"type": "budget", "name": f"ushers/b{n}"} for n in range(400)]))
        system.cli("apply", "-f", path)
        before = system.cli("get", "budget").stdout
        for number in range(1, 4):
            system.kill(f"c{number}")
        start = time.monotonic()
        for number in range(1, 4):
            system.start_control(number)
        system.wait_leader(seconds=10)
        wait_for(lambda: system.cli("get", "budget",
                                    check=False).returncode == 0, 10, "reads")
        print(f"back after {time.monotonic() - start:.2f} s")
        after = system.cli("get", "budget").stdout
        names = [line.split()[0] for line in before.splitlines()]
        assert [line.split()[0] for line in after.splitlines()] == names
        assert system.status()["log_base"] > 0


# Disks and replicas.

@pytest.mark.parametrize("budgets, snapshot_entries", [
    (120, 50),
    # Far enough behind to need a snapshot in several chunks.
    (4000, 500)])
def test_replica_with_lost_disk_rejoins_with_new_identity(budgets,
                                                          snapshot_entries):
    settings = {"control": {"snapshot_entries": snapshot_entries}}
    with RunningSystem(settings=settings) as system:
        path = system.directory / "many.json"
        path.write_text(json.dumps([
            {"type": "budget", "name": f"ushers/b{n}{'x' * 30}"}
            for n in range(budgets)]))
        system.cli("apply", "-f", path)
        leader = system.wait_leader()
        name = next(n for n in ("c1", "c2", "c3") if n != leader)
        system.kill(name)
        data = system.directory / f"{name}.data"
        for file in data.iterdir():
            file.unlink()
        data.rmdir()
        system.start_control(int(name[1:]), make="join")
        waiting = wait_for(lambda: system.status()["waiting"], 10,
                           "it waits to be added")
        fresh = waiting[0]["id"]
        assert fresh.split("/")[0] == name and fresh != f"{name}/first"
        members = system.status()["members"]
        assert fresh not in [one["member"]["id"] for one in members]
        system.cli("replica", "remove", f"{name}/first")
        system.cli("replica", "add", fresh)
        wait_for(lambda: any(
            one["member"]["id"] == fresh and one["member"]["voter"]
            for one in system.status()["members"]), 10, "it votes")
        # A second control VM fails right after the replacement.
        system.kill(system.wait_leader(other_than=(name,)))
        system.wait_leader()
        wait_for(lambda: system.cli("topup", "ushers/main", 5,
                                    check=False).returncode == 0, 10,
                 "the new replica completes the quorum")
        assert len([line for line in system.cli("get", "budget").stdout
                    .splitlines() if line.startswith("ushers/b")]) == budgets


def test_torn_record_is_repaired_and_corrupt_record_refused():
    with RunningSystem() as system:
        leader = system.wait_leader()
        name = next(n for n in ("c1", "c2", "c3") if n != leader)
        system.kill(name)
        log = system.directory / f"{name}.data" / "log"
        whole = log.read_bytes()
        log.write_bytes(whole[:-3])
        system.start_control(int(name[1:]))
        wait_for(lambda: any(
            one["member"]["id"].startswith(name)
            and one["match"] >= system.status()["commit"] - 5
            for one in system.status()["members"]), 10, "it caught up")
        system.kill(name)
        damaged = bytearray(log.read_bytes())
        damaged[len(damaged) // 2] ^= 0xff
        log.write_bytes(damaged)
        system.start_control(int(name[1:]))
        assert system.processes[name].wait(5) == 1
        assert "corrupt_storage" in (system.directory / "log").read_text()
        del system.processes[name]


# Orders.

def place_order(system, target):
    path = system.directory / "order.json"
    path.write_text(json.dumps({"type": "order", "name": "engine1",
                                "action": "load", "target": target}))
    wait_for(lambda: system.cli("apply", "-f", path,
                                check=False).returncode == 0, 15, "ordered")


def delivered_orders(system):
    return request(system.endpoint_address(1), "GET", "/orders").json()


def order_state(system):
    return {one["endpoint"]: one["state"] for one in system.status()["orders"]}


@pytest.mark.parametrize("fault", [None, kill_leader, freeze_leader,
                                   kill_router, freeze_router, cut_router])
def test_orders_are_delivered_once_and_in_order(fault):
    with RunningSystem() as system:
        if fault:
            thread = threading.Thread(target=fault, args=(system,))
            thread.start()
        for turn in range(4):
            place_order(system, f"model-{turn}")
            time.sleep(0.4)
        if fault:
            thread.join()
        newest = next(one["revision"] for one in json.loads(system.cli(
            "--output", "json", "get", "order/engine1").stdout)["resources"])
        wait_for(lambda: newest in delivered_orders(system), 20,
                 "it is delivered")
        wait_for(lambda: order_state(system)["engine1"] == "done", 5,
                 "its completion is recorded")
        given = delivered_orders(system)
        assert given == sorted(set(given)), given


# Leaving.

@pytest.mark.parametrize("how", ["announced", "silent", "killed"])
def test_leaving_endpoint_gets_no_new_requests(how):
    with RunningSystem() as system:
        caller = Caller("before")
        assert try_chat(system, system.router_address(1), caller) == "whole"
        if how == "announced":
            system.send_signal("engine1", signal.SIGTERM)
        elif how == "silent":
            system.send_signal("engine1", signal.SIGUSR1)
        else:
            system.kill("engine1")
        time.sleep(3)
        alive = how == "silent"
        started = sum(run["started"] for run in
                      system.runs(1).values()) if alive else 0
        callers = [Caller(f"after-{n}") for n in range(30)]
        for number, one in enumerate(callers):
            try_chat(system, routers(system)[number % 3], one)
            assert one.outcomes == ["whole"], "no failed attempt"
        if alive:
            assert sum(run["started"] for run in
                       system.runs(1).values()) == started


def test_unhealthy_endpoint_gets_no_new_requests():
    with RunningSystem(routers=1) as system:
        request(system.endpoint_address(1), "POST", "/fault",
                json.dumps({"unhealthy": True}))
        time.sleep(4)
        before = sum(run["started"] for run in system.runs(1).values())
        for number in range(20):
            caller = Caller(f"sick-{number}")
            assert try_chat(system, system.router_address(1),
                            caller) == "whole"
        assert sum(run["started"] for run in
                   system.runs(1).values()) == before


def test_draining_router_finishes_requests():
    with RunningSystem(engine_options={"token_ms": 150}) as system:
        callers = [Caller(f"drain-{n}") for n in range(6)]
        threads = [threading.Thread(target=try_chat, args=(
            system, system.router_address(2), caller)) for caller in callers]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        system.send_signal("r2", signal.SIGTERM)
        time.sleep(0.3)
        # Cached address lists keep working until their TTL expires.
        late = Caller("drain-late")
        late_thread = threading.Thread(target=try_chat, args=(
            system, system.router_address(2), late))
        late_thread.start()
        wait_for(lambda: system.router_address(2) not in request(
            system.router_address(1), "GET", "/v1/entry").json()["addresses"],
            3, "it is unlisted")
        for thread in [*threads, late_thread]:
            thread.join()
        assert all(caller.whole for caller in [*callers, late])
        assert system.processes["r2"].wait(20) == 0
        del system.processes["r2"]
        wait_for(lambda: "r2" not in [
            router["vm"] for router in system.status()["routers"]], 5,
            "it is deregistered")
        account = settled_account(system)
        assert account["held"] == 0
        audit(system, [*callers, late], ENGINES)


def test_draining_router_refuses_requests_without_running_them():
    settings = {"router": {"entry_ttl_ms": 200}}
    with RunningSystem(settings=settings,
                       engine_options={"token_ms": 300}) as system:
        caller = Caller("hold")
        thread = threading.Thread(target=try_chat, args=(
            system, system.router_address(2), caller))
        thread.start()
        time.sleep(0.2)
        system.send_signal("r2", signal.SIGTERM)
        time.sleep(0.8)
        response = system.chat(system.router_address(2),
                               Idempotency_Key="late")
        assert (response.kind(), response.outcome()) == ("draining", "refused")
        thread.join()
        assert caller.whole
        assert all("late" not in system.runs(n) for n in ENGINES)
