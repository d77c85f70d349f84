"""Contract tests of the interfaces for callers, endpoints and operators."""

import hashlib
import json
import socket
import time

import pytest

import deployment
from bench import stream_text
from deployment import Deployment, request, wait_for

# Longest time from the acknowledgement of a change until every router applies
# it (ConfigApplyMs).
IN_FORCE_SECONDS = 2
# How long the change is then observed: several intervals between two pushes.
OBSERVE_SECONDS = 1


def check_takes_effect(check, what):
    """Checks that an acknowledged change takes effect in time and persists.

    `check` must become true within IN_FORCE_SECONDS and then stay true.
    """
    start = time.monotonic()
    wait_for(check, IN_FORCE_SECONDS, what)
    known = time.monotonic()
    assert known - start <= IN_FORCE_SECONDS, what
    while time.monotonic() - known < OBSERVE_SECONDS:
        assert check(), f"no longer: {what}"
        time.sleep(0.03)


@pytest.fixture(scope="module", name="system")
def running_system():
    system = Deployment(controls=3, routers=4)
    try:
        system.start_all()
        system.start_endpoint("engine1", 1)
        system.start_endpoint("engine2", 2)
        system.start_endpoint("desk", 3, kind="service",
                              serves=deployment.SERVICE)
        system.declare()
        system.wait_served()
        system.wait_served(deployment.SERVICE)
        yield system
    finally:
        ended = system.close()
    assert not ended


# Callers.

def test_every_router_lists_all_addresses(system):
    for number in range(1, 5):
        entry = request(system.router_address(number), "GET",
                        "/v1/entry").json()
        assert sorted(entry["addresses"]) == [
            system.router_address(n) for n in range(1, 5)]
        assert entry["ttl_ms"] == 1000


def test_whole_response(system):
    response = system.chat(system.router_address(1), Idempotency_Key="c-1")
    assert response.status == 200
    assert response.outcome() == "whole"
    content = response.json()["choices"][0]["message"]["content"]
    assert content == "".join(f"c-1:{n} " for n in range(8))


def test_streamed_response_ends_with_done_event(system):
    response = system.chat(system.router_address(2), stream=True,
                           Idempotency_Key="c-2")
    assert response.headers["Content-Type"] == "text/event-stream"
    assert response.body.endswith("data: [DONE]\n\n")
    assert stream_text(response.body) == "".join(f"c-2:{n} " for n in range(8))


def test_repeated_idempotency_key_is_billed_once(system):
    system.chat(system.router_address(1), Idempotency_Key="c-3")
    before = system.account()["billed"]
    for number in range(1, 5):
        response = system.chat(system.router_address(number),
                               Idempotency_Key="c-3")
        assert response.status == 200
    assert system.account()["billed"] == before


def test_other_body_with_same_key_is_billed_separately(system):
    system.chat(system.router_address(1), "one", Idempotency_Key="c-4")
    before = system.account()["billed"]
    system.chat(system.router_address(1), "two", Idempotency_Key="c-4")
    assert system.account()["billed"] > before


CHAT = {"model": deployment.MODEL,
        "messages": [{"role": "user", "content": "x"}]}


@pytest.mark.parametrize("change, headers, status, kind, field", [
    ({"model": "nothing"}, {}, 404, "unknown_resource", "model"),
    ({"model": 7}, {}, 400, "malformed", "model"),
    ({"messages": []}, {}, 400, "malformed", "messages"),
    ({"messages": "x"}, {}, 400, "malformed", "messages"),
    ({"max_tokens": -1}, {}, 400, "out_of_range", "max_tokens"),
    ({"max_tokens": 10 ** 30}, {}, 400, "malformed", "max_tokens"),
    ({"stream": "yes"}, {}, 400, "malformed", "stream"),
    ({}, {"Authorization": "Bearer wrong"}, 401, "unauthorized",
     "Authorization"),
    ({}, {"Authorization": ""}, 401, "unauthorized", "Authorization"),
    ({}, {"Authorization": f"Bearer {deployment.OPERATOR_KEY}"}, 401,
     "unauthorized", "Authorization"),
    ({}, {"X-Cactuswick-Rank": "top"}, 404, "unknown_resource",
     "X-Cactuswick-Rank"),
    ({}, {"X-Cactuswick-Deadline-Ms": "soon"}, 400, "out_of_range",
     "X-Cactuswick-Deadline-Ms"),
    ({}, {"X-Cactuswick-Budget": "../other/main"}, 400, "malformed",
     "X-Cactuswick-Budget"),
    ({}, {"X-Cactuswick-Budget": "none"}, 404, "unknown_resource", "budget"),
    ({}, {"Idempotency-Key": "x" * 200}, 400, "malformed", "Idempotency-Key"),
])
def test_invalid_request_error_names_field(system, change, headers, status,
                                           kind, field):
    before = system.account()
    response = request(system.router_address(1), "POST",
                       "/v1/chat/completions",
                       json.dumps({**CHAT, **change}),
                       {**system.headers(), **headers})
    error = response.json()["error"]
    assert (response.status, error["kind"], error["field"]) == (status, kind,
                                                                field)
    assert error["outcome"] == "refused"
    assert system.account()["billed"] == before["billed"]


@pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b"[" * 50000,
                                  b'{"model":'])
def test_malformed_body_is_refused(system, body):
    response = request(system.router_address(1), "POST",
                       "/v1/chat/completions",
                       body, system.headers())
    assert response.status == 400
    assert response.kind() == "malformed"


def test_oversized_body_and_header_are_refused(system):
    response = request(system.router_address(1), "POST",
                       "/v1/chat/completions",
                       b"x" * 1_100_000, system.headers())
    assert (response.status, response.kind()) == (413, "too_large")
    response = request(system.router_address(1), "GET", "/v1/entry",
                       headers={"X-Long": "x" * 20_000})
    assert response.status == 400
    assert request(system.router_address(1), "GET", "/healthz").status == 200


def test_open_connections_are_limited():
    system = Deployment(controls=1, routers=1, settings={
        "router": {"max_descriptors": 60}})
    idle = []
    try:
        system.start_all()
        host, port = system.router_address(1).split(":")
        for _ in range(100):
            idle.append(socket.create_connection((host, int(port)), 2))
            time.sleep(0.01)
        time.sleep(0.3)
        # Further connections wait in the kernel's accept queue, also this one.
        with pytest.raises(OSError):
            request(system.router_address(1), "GET", "/healthz", timeout=1)
        for connection in idle:
            connection.close()
        assert request(system.router_address(1), "GET",
                       "/healthz").status == 200
    finally:
        for connection in idle:
            connection.close()
        system.close()


def test_router_survives_malformed_http(system):
    host, port = system.router_address(1).split(":")
    for text in (b"\x00\x01\x02\r\n\r\n", b"GET\r\n\r\n",
                 b"POST /v1/entry HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                 b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"):
        with socket.create_connection((host, int(port)), 2) as raw:
            raw.sendall(text)
            raw.settimeout(0.3)
            try:
                raw.recv(100)
            except OSError:
                pass
    assert request(system.router_address(1), "GET", "/healthz").status == 200


def test_caller_sees_only_budgets_of_own_workspace(system):
    manifest = system.directory / "other.json"
    manifest.write_text(json.dumps([
        {"type": "workspace", "name": "weavers"},
        {"type": "budget", "name": "weavers/main"}]))
    system.cli("apply", "-f", manifest)
    listed = request(system.router_address(1), "GET", "/v1/budgets",
                     headers=system.headers()).json()
    assert [one["budget"] for one in listed] == ["ushers/main"]


def test_empty_budget_is_refused_without_retry_after(system):
    manifest = system.directory / "empty.json"
    manifest.write_text(json.dumps({"type": "budget",
                                    "name": "ushers/empty"}))
    system.cli("apply", "-f", manifest)
    response = system.chat(system.router_address(1),
                           X_Cactuswick_Budget="empty")
    assert response.status == 402
    assert response.kind() == "budget_exhausted"
    assert "Retry-After" not in response.headers


def test_service_call_runs_once_per_key(system):
    first = system.call(system.router_address(1), "loan-7")
    assert first.status == 200
    again = system.call(system.router_address(2), "loan-7")
    assert again.json() == first.json()
    assert again.headers["X-Cactuswick-Replayed"] == "true"
    assert system.runs(3)["loan-7"] == 1
    reused = system.call(system.router_address(3), "loan-7", body="[1]")
    assert (reused.status, reused.kind()) == (422, "key_reused")


def test_idempotent_call_may_run_again(system):
    for _ in range(2):
        response = system.call(system.router_address(1), "status-1",
                               X_Cactuswick_Idempotent="true")
        assert response.status == 200
    assert system.runs(3)["status-1"] == 2


def test_unknown_service_is_refused(system):
    response = request(system.router_address(1), "POST",
                       "/v1/services/nothing/x", "{}", system.headers())
    assert (response.status, response.kind()) == (404, "unknown_resource")


# Endpoints.

ENDPOINT = {"Authorization": f"Bearer {deployment.ENDPOINT_KEY}"}


def test_endpoint_announcement_requires_endpoint_key(system):
    for headers in ({}, system.headers(), system.headers("wrong")):
        response = request(system.router_address(1), "POST", "/v1/endpoints",
                           json.dumps(announcement()), headers)
        assert (response.status, response.kind()) == (401, "unauthorized")


def announcement(**change):
    return {"endpoint": "ghost", "endpoint_type": "engine",
            "serves": ["ghost-model"], "address": "127.1.2.99:9001",
            "failure_domain": "a", "slots": 1, "incarnation": 1,
            "sequence": 1, "lease_ms": 500, "leaving": False, **change}


@pytest.mark.parametrize("change, field", [
    ({"endpoint": ""}, "endpoint"),
    ({"address": "localhost:1"}, "address"),
    ({"serves": []}, "serves"),
    ({"slots": 0}, "slots"),
    ({"slots": "four"}, "slots"),
    ({"lease_ms": 1}, "lease_ms"),
    ({"endpoint_type": "bird"}, "endpoint_type"),
    ({"wings": 2}, ""),
])
def test_invalid_announcement_error_names_field(system, change, field):
    response = request(system.router_address(1), "POST", "/v1/endpoints",
                       json.dumps(announcement(**change)), ENDPOINT)
    assert response.status == 400
    assert response.json()["error"]["field"] == field


def test_announcement_reaches_every_router_until_endpoint_leaves(system):
    manifest = system.directory / "ghost.json"
    manifest.write_text(json.dumps({"type": "model", "name": "ghost-model"}))
    system.cli("apply", "-f", manifest)

    def kinds():
        return {system.chat(system.router_address(n), model="ghost-model",
                            X_Cactuswick_Deadline_Ms="300").kind()
                for n in range(1, 5)}

    def known_everywhere():
        now = kinds()
        assert now <= {"unknown_resource", "no_endpoint"}
        return now == {"no_endpoint"}
    check_takes_effect(known_everywhere, "all routers know the model")
    request(system.router_address(2), "POST", "/v1/endpoints",
            json.dumps(announcement(lease_ms=3000)), ENDPOINT)
    wait_for(lambda: "no_endpoint" not in kinds(), 2, "all routers know it")
    request(system.router_address(3), "POST", "/v1/endpoints",
            json.dumps(announcement(sequence=2, lease_ms=3000, leaving=True)), ENDPOINT)
    wait_for(lambda: kinds() == {"no_endpoint"}, 3, "it has left")
    # A late announcement of the same incarnation does not bring it back.
    request(system.router_address(1), "POST", "/v1/endpoints",
            json.dumps(announcement(sequence=1, lease_ms=3000)), ENDPOINT)
    assert kinds() == {"no_endpoint"}


# Operators.

def test_operator_api_requires_operator_key(system):
    for key in (None, "wrong"):
        headers = system.headers(key)
        response = request(system.router_address(1), "GET",
                           "/v1/operator/status", headers=headers)
        assert (response.status, response.kind()) == (401, "unauthorized")


def test_api_keys_are_stored_only_hashed(system):
    listed = system.cli("--output", "json", "get", "apikey").stdout
    assert system.key not in listed
    assert hashlib.sha256(system.key.encode()).hexdigest() in listed
    assert system.key not in (system.directory / "log").read_text()


def test_get_describe_and_delete(system):
    manifest = system.directory / "rank.json"
    manifest.write_text(json.dumps({"type": "rank", "name": "nightly",
                                    "priority": 5}))
    assert "version 1" in system.cli("apply", "-f", manifest).stdout
    assert "nightly" in system.cli("get", "rank").stdout
    wait_for(lambda: system.cli("describe", "rank/nightly").stdout.count(
        "in force") == 4, 3, "in force at four routers")
    assert "deleted" in system.cli("delete", "rank/nightly").stdout
    assert "nightly" not in system.cli("get", "rank").stdout
    gone = system.cli("delete", "rank/nightly", check=False)
    assert gone.returncode == 1


def test_wrong_base_version_is_a_conflict(system):
    manifest = system.directory / "conflict.json"
    manifest.write_text(json.dumps({"type": "rank", "name": "urgent",
                                    "base_version": 99}))
    result = system.cli("apply", "-f", manifest, check=False)
    assert result.returncode == 1
    assert "version_conflict (base_version)" in result.stderr


def test_topup_is_idempotent_by_request_id(system):
    before = system.account()["topped_up"]
    for _ in range(2):
        system.cli("--request-id", "t-1", "topup", "ushers/main", 500)
    assert system.account()["topped_up"] == before + 500
    other = system.cli("--request-id", "t-1", "topup", "ushers/main", 700,
                       check=False)
    assert "key_reused" in other.stderr


@pytest.mark.parametrize("arguments, code, said", [
    (["topup", "ushers/main", "-5"], 2, ""),
    (["topup", "ushers/main", "0"], 1, "out_of_range (amount)"),
    (["topup", "ushers/main", str(2 ** 62)], 1, "out_of_range (amount)"),
    (["topup", "ushers/none", "5"], 1, "unknown_resource (budget)"),
    (["get", "rank/none"], 1, "unknown_resource"),
    (["fly"], 2, "no command fly"),
    (["get"], 2, "expects"),
    (["replica", "add", "c9/none"], 1, "unknown_resource (id)"),
    (["end-router", "999"], 1, "unknown_resource (incarnation)"),
    (["release", "ushers/main", "5"], 1, "out_of_range (amount)"),
])
def test_cli_errors_and_exit_codes(system, arguments, code, said):
    result = system.cli(*arguments, check=False)
    assert said in result.stderr
    assert result.returncode in ({code} if code != 2 else {1, 2})


def test_watch_prints_newest_revision(system):
    revision = system.status()["revision"]
    check_takes_effect(lambda: f"revision {revision}" in system.cli(
        "watch", "1").stdout, "the newest revision is printed")


def test_status_and_burn_report(system):
    status = system.cli("status").stdout
    assert status.count("serving") == 4
    streamed = system.chat(system.router_address(1), stream=True,
                           Idempotency_Key="c-report")
    assert streamed.status == 200
    wait_for(lambda: "first_token" in system.cli("report", "burn").stdout, 5,
             "the streamed response is in the report")
    page = system.cli("report", "burn", "html").stdout
    assert page.startswith("<!doctype html>") and "<svg" in page
    assert json.loads(system.cli("report", "burn", "json").stdout)


def test_metrics_are_exposed(system):
    assert system.metric(f"{system.net}.1.1:8003", "requests_total") > 0
    assert system.metric(f"{system.net}.0.1:7003", "log_entries_committed_total") > 0


def test_configuration_reaches_every_router_within_two_seconds(system):
    manifest = system.directory / "fast.json"
    manifest.write_text(json.dumps({"type": "rank", "name": "fast"}))
    system.cli("apply", "-f", manifest)
    start = time.monotonic()
    wait_for(lambda: all(
        router["applied_revision"] >= system.status()["revision"]
        for router in system.status()["routers"]), 2, "in force everywhere")
    assert time.monotonic() - start < 2
