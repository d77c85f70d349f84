"""Tests of the platform's interface on the real processes."""

import concurrent.futures
import json
import shutil
import signal
import time

import pytest

import endless
from deployment import request, wait_for
from platform_run import HOST, KEY, running_platform


# A valid change is acknowledged within this time without faults (AckMs), and
# at most this much later after a fault (StretchMaxMs).
ACK_SECONDS = 4
RECOVERY_SECONDS = 5
# How long the disk of a replica is full.
FULL_SECONDS = 2
# After this time a leader keeps no entries for a replica that is not heard of.
UNREACHABLE_SECONDS = 3.5
# Memory of the smallest router VMs that users have, and concurrent calls to an
# endpoint, as many as it has slots.
ROUTER_KB = 88 << 10
FAULTY_CALLS = 8
# Retries that one of two routers may make at once: its half of retry_slack.
MAX_RETRIES = 5


@pytest.fixture
def run():
    with running_platform() as deployment:
        yield deployment


@pytest.fixture
def snapshot_run():
    """Replicas that write a snapshot after every few changes."""
    settings = {"control": {"snapshot_entries": 20, "kept_entries": 5}}
    with running_platform(settings=settings) as deployment:
        yield deployment


@pytest.fixture
def patient_run():
    """Routers that accept requests for most of their grace period."""
    with running_platform(leave_ms=2500) as deployment:
        yield deployment


def received(run, path):
    return [call for endpoint in run.endpoints for call in endpoint.received
            if call["path"] == path]


def test_call_is_forwarded_unchanged_with_router_headers(run):
    response = run.ask("/call/a%2Fb?q=%20", method="POST", body="payload",
                       X_Deadline_Ms="900", X_Tenant="forged", X_Other="kept")
    assert response.status == 200
    assert response.headers["X-Response-Stamp"].startswith("stamp-i-")
    (call,) = received(run, "/call/a%2Fb?q=%20")
    headers = call["headers"]
    assert call["body"] == b"payload"
    assert headers["X-Tenant"] == "w"
    assert headers["X-Other"] == "kept"
    assert headers["X-Expect-Instance"].startswith("i-")
    assert 0 < int(headers["X-Deadline-Ms"]) <= 900
    assert "Authorization" not in headers


@pytest.mark.parametrize("path, key, headers, status", [
    ("/call/x", "unknown", {}, 401),
    ("/nowhere/x", "key-of-w", {}, 404),
    ("/stream/x", "key-of-w", {"X_Token_Count": "20000,10"}, 402),
    ("/stream/x", "key-of-w", {"X_Token_Count": "many"}, 400),
    ("/call/x", "key-of-w", {"Transfer_Encoding": "gzip"}, 400),
])
def test_rejected_requests_reach_no_endpoint(run, path, key, headers, status):
    assert run.ask(path, key=key, **headers).status == status
    assert not received(run, path)


def test_budget_is_fully_spent_but_not_exceeded(run):
    served = sum(run.ask("/stream/x", router=1 + i % 2,
                         X_Token_Count="900,100").status == 200
                 for i in range(14))
    # 900 prompt tokens and 5 events of up to 4 tokens each.
    assert 9 <= served <= 10000 // 920
    refused = run.ask("/stream/x", X_Token_Count="9000,100")
    assert refused.status == 402
    # Retries fail until a top-up, so the caller should not retry soon.
    assert float(refused.headers["Retry-After"]) >= 30


def test_response_without_any_event_is_not_billed(run):
    engines = run.endpoints[2:]
    for endpoint in engines:
        endpoint.fault = "reset"
    lost = run.ask("/stream/lost", X_Token_Count="6000,80")
    assert lost.status == 502
    for endpoint in engines:
        endpoint.fault = ""
    wait_for(lambda: run.ask("/stream/whole",
                             X_Token_Count="9000,80").status == 200, 3,
             "the whole budget serves the next request")


def test_refused_large_request_does_not_block_small_one(run):
    run.ask("/stream/warm", X_Token_Count="100,20")
    time.sleep(1)
    for name in ("c1", "c2", "c3", "r2"):
        run.kill(name)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        large = pool.submit(run.ask, "/stream/large",
                            X_Token_Count="9000,100")
        time.sleep(0.03)
        small = pool.submit(run.ask, "/stream/small", X_Token_Count="50,20")
    assert large.result().status == 503
    assert small.result().status == 200


def test_stale_or_invalid_version_changes_nothing(run):
    assert run.declare(5).status == 200
    assert run.declare(3, Routes=[]).status == 200
    assert run.declare(9, Routes=[{"Name": "x"}]).status == 400
    read = run.control_call("GET", "/cactuswick/Config.Read")
    assert read.status == 200
    assert read.json()["Version"] == 5
    assert len(read.json()["Routes"]) == 3


def test_follower_redirects_large_deployment_to_leader(run):
    leader = run.leader()
    for number in {1, 2, 3} - {leader}:
        response = request(run.control_api(number), "POST",
                           "/cactuswick/Config.Replace", "{" + "x" * 400_000)
        assert response.status == 307
        assert run.control_api(leader) in response.headers["Location"]
    assert run.control_call("POST", "/cactuswick/Config.Replace",
                            "{" + "x" * 400_000).status == 400


def test_new_version_reaches_every_router_within_two_seconds(run):
    assert run.declare(2, Routes=[]).status == 200
    for router in (1, 2):
        wait_for(lambda r=router: run.ask("/call/x", r).status == 404, 2,
                 "the removed route is gone")


def test_endpoint_refusal_is_retried_or_gets_retry_after(run):
    run.endpoints[0].fault = "refuse"
    for number in range(4):
        assert run.ask(f"/once/{number}").status == 200
    run.endpoints[1].fault = "refuse"
    response = run.ask("/once/x")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0


def test_unsafe_call_that_may_have_run_gets_502_without_retry(run):
    run.endpoints[0].fault = run.endpoints[1].fault = "reset"
    assert run.ask("/once/x").status == 502
    assert len(received(run, "/once/x")) == 1
    assert run.ask("/call/x").status == 502
    assert len(received(run, "/call/x")) == 2


def test_slow_endpoint_does_not_end_response_early(run):
    for endpoint in run.endpoints:
        endpoint.work_s, endpoint.gap_s, endpoint.events = 1.6, 1.5, 2
    assert run.ask("/call/x").status == 200
    assert len(received(run, "/call/x")) == 1
    assert run.ask("/stream/x").whole
    assert len(received(run, "/stream/x")) == 1


def test_call_to_silent_endpoint_ends_at_route_timeout(run):
    for endpoint in run.endpoints:
        endpoint.work_s = 4
    start = time.monotonic()
    response = run.ask("/once/x")
    # The timeout of the route is 2 s; the platform tolerates 0.5 s more.
    assert time.monotonic() - start < 2.5
    assert response.status in (502, 504)
    assert len(received(run, "/once/x")) == 1


def test_stream_that_drips_bytes_ends_at_route_timeout(run):
    for endpoint in run.endpoints[2:]:
        endpoint.fault = "drip"
    start = time.monotonic()
    response = run.ask("/stream/x")
    # The timeout of the route is 5 s; the platform tolerates 0.5 s more.
    assert 4.5 < time.monotonic() - start < 5.5
    assert not response.whole
    assert response.body == "id: 1\ndata: e1\n\n"


def test_broken_stream_resumes_elsewhere_without_partial_event(run):
    run.endpoints[2].fault = "break"
    for number in range(4):
        response = run.ask(f"/stream/{number}", request_id=f"s{number}")
        assert response.whole
        assert response.body == "".join(
            f"id: {i}\ndata: e{i}\n\n" for i in range(1, 6))


def test_resumed_stream_repeats_no_event(run):
    for endpoint in run.endpoints[2:]:
        endpoint.fault, endpoint.resumed_fault = "break", "again"
    response = run.ask("/stream/x")
    assert len(received(run, "/stream/x")) == 2
    assert response.body == "".join(
        f"id: {i}\ndata: e{i}\n\n" for i in range(1, 6))


@pytest.mark.parametrize("second", ["fail", "refuse", "reset", "other_body",
                                    "half_event", "no_event", "cut_head"])
def test_stream_that_cannot_resume_is_cut_without_foreign_bytes(
        run, second):
    for endpoint in run.endpoints[2:]:
        endpoint.fault, endpoint.resumed_fault = "break", second
        endpoint.head_bytes = 60
    response = run.ask("/stream/x")
    assert len(received(run, "/stream/x")) == 2
    assert response.body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
    assert not response.whole


def test_broken_stream_without_event_ids_repeats_no_event(run):
    for endpoint in run.endpoints[2:]:
        endpoint.fault, endpoint.numbered = "break", False
    response = run.ask("/stream/x")
    assert response.body == "data: e1\n\ndata: e2\n\n"
    assert not response.whole


def test_interim_response_is_not_taken_for_final_response(run):
    for endpoint in run.endpoints[:2]:
        endpoint.fault = "hints"
    for number in range(6):
        path = f"/call/{number}"
        response = run.ask(path, request_id=f"h{number}")
        assert response.status == 200
        assert response.body.endswith(path)


def send_to_faulty(run, path):
    """Sends concurrent requests to faulty endpoints and watches the router.

    Returns the responses, the responses to requests sent meanwhile to a
    healthy service through the same router, and the router's peak memory.
    """
    others, peak_kb = [], 0
    with concurrent.futures.ThreadPoolExecutor(FAULTY_CALLS + 1) as pool:
        bad = [pool.submit(run.ask, f"{path}{number}", request_id=f"b{number}")
               for number in range(FAULTY_CALLS)]
        good_path = "/call/good" if path == "/stream/" else "/stream/good"
        good = pool.submit(run.ask, good_path)
        while not all(future.done() for future in bad):
            if good.done():
                others.append(good.result())
                good = pool.submit(run.ask, good_path)
            peak_kb = max(peak_kb, endless.resident_kb(run.processes["r1"]))
            time.sleep(0.002)
        others.append(good.result())
    return [future.result() for future in bad], others, peak_kb


def attempt_lines(run):
    return [line for line in run.log_lines() if "attempts=" in line]


def check_retries(bad, responses, is_right):
    """Checks that requests are retried elsewhere within the retry limit
    and that only the others fail."""
    assert bad.received
    assert all(a.whole for a in responses)
    served = [a for a in responses if a.status == 200]
    assert all(is_right(a) for a in served)
    failed = [a.status for a in responses if a.status != 200]
    assert set(failed) <= {502}
    assert len(failed) <= max(0, len(bad.received) - MAX_RETRIES)


@pytest.mark.parametrize("kind", [*endless.HEADS, *endless.PARTS])
def test_endless_response_to_safe_call_is_retried_elsewhere(
        run, kind):
    run.endpoints[0].fault = kind
    responses, others, peak_kb = send_to_faulty(run, "/call/")
    check_retries(run.endpoints[0], responses,
                   lambda a: a.body.startswith("i-2 /call/"))
    assert {a.status for a in others} == {200}
    assert peak_kb < ROUTER_KB
    assert any("i-1:endless" in line for line in attempt_lines(run))


@pytest.mark.parametrize("kind", [*endless.HEADS, *endless.PARTS])
def test_endless_response_to_unsafe_call_is_not_retried(run, kind):
    run.endpoints[0].fault = run.endpoints[1].fault = kind
    responses, others, peak_kb = send_to_faulty(run, "/once/")
    assert {a.status for a in responses} <= {502, 503}
    ran = [call["path"] for endpoint in run.endpoints[:2]
           for call in endpoint.received]
    failed = [a for a in responses if a.status == 502]
    assert failed and len(failed) == len(ran) == len(set(ran))
    assert {a.status for a in others} == {200}
    assert peak_kb < ROUTER_KB


@pytest.mark.parametrize("kind", endless.BODIES)
def test_endless_body_is_cut_and_memory_is_bounded(run, kind):
    run.endpoints[0].fault = run.endpoints[1].fault = kind
    responses, others, peak_kb = send_to_faulty(run, "/call/")
    # Never a complete response: truncated, failed or not run.
    assert all(not a.whole or a.status >= 500 for a in responses)
    assert {a.status for a in others} == {200}
    assert peak_kb < ROUTER_KB


@pytest.mark.parametrize("kind", [*endless.EVENTS, *endless.HEADS])
def test_stream_with_endless_event_resumes_elsewhere(run, kind):
    run.endpoints[2].fault = kind
    responses, others, peak_kb = send_to_faulty(run, "/stream/")
    whole = "".join(f"id: {i}\ndata: e{i}\n\n" for i in range(1, 6))
    check_retries(run.endpoints[2], responses, lambda a: a.body == whole)
    assert {a.status for a in others} == {200}
    assert peak_kb < ROUTER_KB
    assert any("i-3:endless" in line for line in attempt_lines(run))


@pytest.mark.parametrize("second", ["", "fail"])
def test_truncated_error_body_is_not_followed_by_stream(run, second):
    first, other = run.endpoints[2:]
    first.fault, other.fault = "break_failure", second
    for number in range(12):
        path = f"/stream/long{number}"
        response = run.ask(path, request_id=f"l{number}")
        attempts = sorted(received(run, path), key=lambda call: call["at"])
        if attempts and attempts[0]["endpoint"] is first:
            assert not (response.status == 500 and response.whole), (
                f"{len(response.body)} bytes, ends {response.body[-80:]!r}")
            assert response.body.strip("x") == ""
            return
        time.sleep(0.3)
    pytest.fail("no request reached the first endpoint first")


def test_draining_endpoint_gets_no_new_requests(run):
    run.endpoints[0].state = "draining"
    assert run.endpoints[0].send_heartbeat().status == 200
    time.sleep(0.5)
    run.endpoints[0].received.clear()
    for number in range(8):
        assert run.ask(f"/call/{number}", router=1 + number % 2).status == 200
    assert not run.endpoints[0].received
    # A delayed heartbeat with the earlier state does not bring it back.
    run.endpoints[0].state = "ready"
    run.endpoints[0].send_heartbeat()
    assert run.ask("/call/late").status == 200
    assert not run.endpoints[0].received


def test_invalid_heartbeat_is_rejected(run):
    for body in ("", "{}", "\x00", json.dumps({"Service": "desk"})):
        response = run.control_call(
            "POST", "/cactuswick/Instances.Heartbeat/i-9", body)
        assert response.status == 400


@pytest.mark.parametrize("field, value", [
    ("Extra", "[" * 100_000 + "]" * 100_000), ("Extra", "[" * 1_000_000),
    ("Sequence", "18446744073709551615"), ("born", "18446744073709551615"),
    ("Slots", "9223372036854775807"), ("Slots", "1e999"),
    ("Address", '"127.0.0.9:65536"'), ("Address", '"127.0.0.9:0"')],
    ids=["nested", "unclosed", "sequence", "born", "slots", "infinite", "port",
         "no-port"])
def test_odd_heartbeat_harms_neither_control_nor_endpoints(run, field, value):
    endpoint = run.endpoints[0]
    fields = {"Service": '"desk"', "Address": '"127.0.0.9:9001"',
              "Zone": '"a"', "Version": '"v1"', "Slots": "8",
              "State": '"ready"', "ColdLeftMs": "0", "Sequence": "1",
              "born": "1", field: value}
    body = "{" + ",".join(f'"{k}":{v}' for k, v in fields.items()) + "}"
    for name in ("i-odd", endpoint.id):
        response = run.control_call(
            "POST", f"/cactuswick/Instances.Heartbeat/{name}", body)
        assert response.status == 400
    # Longer than an endpoint's lease.
    time.sleep(1.5)
    assert all(process.poll() is None for process in run.processes.values())
    endpoint.received.clear()
    for number in range(8):
        assert run.ask(f"/call/odd{number}",
                       router=1 + number % 2).status == 200
    assert endpoint.received


@pytest.mark.parametrize("request_id", ["", "earlier"])
def test_stale_refusal_on_kept_connection_is_no_promise(run, request_id):
    for endpoint in run.endpoints[:2]:
        endpoint.stale_refusal = request_id
        endpoint.fault = "stale_refusal"
    for number in range(4):
        path = f"/once/{number}"
        response = run.ask(path, request_id=f"new{number}")
        assert response.status not in (429, 503)
        assert len(received(run, path)) == 1


@pytest.mark.parametrize("tokens, parts", [
    ("0,20", ""), ("10,20", "aa:10,bb:10"), ("10,20", "aa:999,bb:1")])
def test_prompt_without_tokens_of_its_own_ends_no_router(run, tokens, parts):
    for number in range(4):
        response = run.ask("/stream/x", router=1 + number % 2,
                           X_Token_Count=tokens, X_Prompt_Prefix=parts)
        assert response.status == 200
    assert all(process.poll() is None for process in run.processes.values())


def test_late_copy_of_a_response_costs_no_other_request_its_own(run):
    for endpoint in run.endpoints[:2]:
        endpoint.fault = "late_copy"
    for number in range(12):
        path = f"/once/{number}"
        response = run.ask(path, request_id=f"copy{number}")
        assert response.status == 200 and response.body.endswith(path)
        assert len(received(run, path)) == 1
    # The copies arrived.
    assert any("skipped a response of request copy" in line
               for line in run.log_lines())


def test_stopping_router_is_unlisted_and_finishes_requests(run):
    def listed():
        response = request(run.entry_address(1), "GET",
                           f"/cactuswick/resolve?Name={HOST}&Zone=a")
        return response.json()["Addresses"] if response.status == 200 else []

    wait_for(lambda: len(listed()) == 2, 5, "both routers are listed")
    run.processes["r1"].send_signal(signal.SIGTERM)
    wait_for(lambda: listed() == [run.forward_address(2)], 2, "one is listed")
    assert not run.is_ready(1)
    response = run.ask("/call/x", router=1)
    assert response.status == 200
    assert response.headers["Connection"] == "close"
    assert run.processes["r1"].wait(timeout=8) == 0


def ask_stopping_router(run, path, work_s, after_s):
    """Stops router 1 and sends it a request later; returns the response."""
    for endpoint in run.endpoints[:2]:
        endpoint.work_s = work_s
    run.processes["r1"].send_signal(signal.SIGTERM)
    time.sleep(after_s)
    return run.ask(path, router=1, request_id="late")


# The router ends its requests 0.9 s before the grace period of 4 s is over;
# the route's timeout is 2 s.
@pytest.mark.parametrize("path", ["/once/late", "/call/late"])
def test_request_that_may_outlast_the_grace_period_is_not_taken(
        patient_run, path):
    response = ask_stopping_router(patient_run, path, 1.6, after_s=2)
    assert response.whole
    assert response.status == 503
    assert float(response.headers["Retry-After"]) <= 0.05
    time.sleep(0.5)
    assert not received(patient_run, path)


def test_late_request_that_ends_within_the_grace_period_is_served(patient_run):
    response = ask_stopping_router(patient_run, "/once/x", 0.4, after_s=1)
    assert response.status == 200
    assert patient_run.processes["r1"].wait(timeout=4) == 0


def test_request_at_work_at_the_end_of_the_grace_period_gets_a_reply(
        patient_run):
    routes = [{"Name": "once", "Host": HOST, "PathPrefix": "/once/",
               "Type": "unsafe", "TimeoutMs": 9000, "Service": "desk",
               "MaxAttempts": 2}]
    assert patient_run.declare(2, Routes=routes).status == 200
    time.sleep(1)
    response = ask_stopping_router(patient_run, "/once/x", 5, after_s=0.5)
    assert response.whole
    assert response.status == 502
    assert patient_run.processes["r1"].wait(timeout=2) == 0


def test_quorum_survives_next_failure_after_wiped_replica_rejoins(run):
    run.kill("c3")
    shutil.rmtree(run.directory / "c3.data")
    run.start_replica(3)
    # The survivors commit meanwhile, after an election if the killed replica
    # led. After the next failure the new replica's vote is needed.
    wait_for(lambda: run.declare(2).status == 200, ACK_SECONDS,
             "the remaining replicas acknowledge")
    time.sleep(4)
    run.kill("c1")
    wait_for(lambda: run.declare(4).status == 200, ACK_SECONDS,
             "an old and the new replica form a quorum")
    read = wait_for(
        lambda: run.control_call("GET", "/cactuswick/Config.Read"), 5, "read")
    assert read.json()["Version"] == 4


def test_acknowledged_version_survives_restart_of_all_processes(run):
    assert run.declare(6).status == 200
    for name in ("c1", "c2", "c3", "r1", "r2"):
        run.kill(name)
    for number in (1, 2, 3):
        run.start_replica(number)
    for number in (1, 2):
        run.start_forwarder(number)
    run.wait_ready()
    read = run.control_call("GET", "/cactuswick/Config.Read")
    assert read.json()["Version"] == 6
    for router in (1, 2):
        wait_for(lambda r=router: run.ask("/call/x", r).status == 200, 5,
                 "served again")


def test_withdrawn_key_stays_withdrawn_after_restart_of_all_processes(run):
    def status(router, key):
        try:
            return run.ask("/call/x", router, key=key).status
        except OSError:
            return None

    tenants = [{"Name": "w", "ApiKeys": ["new-key"], "Prepaid": 10000}]
    assert run.declare(2, Tenants=tenants).status == 200
    for router in (1, 2):
        wait_for(lambda r=router: status(r, KEY) == 401, 2,
                 "the old key is refused")
    for name in ("c1", "c2", "c3", "r1", "r2"):
        run.kill(name)
    for number in (1, 2, 3):
        run.start_replica(number)
    for number in (1, 2):
        run.start_forwarder(number)
    statuses = set()
    for router in (1, 2):
        end = time.monotonic() + 15
        while status(router, "new-key") != 200 and time.monotonic() < end:
            statuses.add(status(router, KEY))
        assert status(router, "new-key") == 200
        statuses.add(status(router, KEY))
    assert 401 in statuses and statuses <= {None, 401, 503}


@pytest.mark.parametrize("state", ["stalled", "full"])
@pytest.mark.parametrize("who", ["leader", "follower"])
def test_one_faulty_disk_blocks_nothing_and_recovers(run, state, who):
    leader = wait_for(run.leader, 5, "a replica leads")
    bad = leader if who == "leader" else leader % 3 + 1
    run.set_disk(bad, state)
    wait_for(lambda: run.declare(2).status == 200,
             ACK_SECONDS + RECOVERY_SECONDS, "the others acknowledge")
    assert run.ask("/call/x").status == 200
    assert run.ask("/stream/x", router=2).status == 200
    run.set_disk(bad, "")
    time.sleep(3)
    assert run.processes[f"c{bad}"].poll() is None
    run.kill(f"c{bad % 3 + 1}")
    wait_for(lambda: run.declare(4).status == 200,
             ACK_SECONDS + RECOVERY_SECONDS,
             "the replica whose disk recovered is part of a quorum")
    read = wait_for(
        lambda: run.control_call("GET", "/cactuswick/Config.Read"), 5, "read")
    assert read.json()["Version"] == 4


# Guards against lost acknowledgements: after the disks of all replicas had been
# full one after another, never two at once, every later change is acknowledged.
@pytest.mark.parametrize("order, fault", [((1, 2, 3), "full"),
                                          ((3, 1, 2), "full"),
                                          ((1, 2, 3), "crowded"),
                                          ((3, 1, 2), "fixed")])
def test_disks_full_in_turn_hold_up_no_later_change(snapshot_run, order, fault):
    run = snapshot_run
    version = 1
    for number in order * 2:
        run.set_disk(number, fault)
        end = time.monotonic() + FULL_SECONDS
        while time.monotonic() < end:
            version += 1
            run.declare(version)
        run.set_disk(number, "")
    time.sleep(RECOVERY_SECONDS)
    for _ in range(5):
        version += 1
        start = time.monotonic()
        assert run.declare(version).status == 200
        assert time.monotonic() - start < ACK_SECONDS
    read = run.control_call("GET", "/cactuswick/Config.Read")
    assert read.json()["Version"] == version
    assert all(process.poll() is None for process in run.processes.values())


# Guards against a replica that ends because its disk has no room to install the
# leader's snapshot.
def test_follower_that_cannot_install_a_snapshot_goes_on(snapshot_run):
    run = snapshot_run
    leader = run.leader()
    follower, other = leader % 3 + 1, (leader + 1) % 3 + 1
    run.kill(f"c{follower}")
    time.sleep(UNREACHABLE_SECONDS)
    for version in range(2, 102):
        assert run.declare(version).status == 200
    run.set_disk(follower, "fixed")
    run.start_replica(follower)
    process = run.processes[f"c{follower}"]
    wait_for(lambda: process.poll() is not None
             or any("snapshot not installed" in line
                    for line in run.log_lines()),
             10, "the snapshot is not installed")
    time.sleep(1)
    assert process.poll() is None
    run.set_disk(follower, "")
    run.kill(f"c{other}")
    wait_for(lambda: run.declare(102).status == 200,
             ACK_SECONDS + RECOVERY_SECONDS,
             "the follower is part of a quorum")


def test_full_disks_refuse_writes_and_lose_nothing(run):
    assert run.declare(2).status == 200
    for number in (1, 2, 3):
        run.set_disk(number, "full")
    assert run.declare(3).status not in (200, 400)
    for router in (1, 2):
        assert run.ask("/call/x", router).status == 200
    for number in (1, 2, 3):
        run.set_disk(number, "")
    wait_for(lambda: run.declare(3).status == 200,
             ACK_SECONDS + RECOVERY_SECONDS, "acknowledged")
