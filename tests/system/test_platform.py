"""The platform's interface on the real processes, without its bench."""

import concurrent.futures
import json
import shutil
import signal
import time

import pytest

import endless
from deployment import request, wait_for
from platform_run import HOST, PlatformRun, Runner


# A valid change is acknowledged within this time in a calm stretch (AckMs),
# and this much later at most after a disturbance (StretchMaxMs).
ACK_SECONDS = 4
STRETCH_SECONDS = 5
# Memory of the smallest routers that users have, and calls at an endpoint at
# once, as many as it has slots.
ROUTER_KB = 88 << 10
BAD_CALLS = 8
# Sends that one of two routers may repeat at once: half of retry_slack, shared.
REPEATS = 5


@pytest.fixture
def run():
    deployment = PlatformRun(controls=3, routers=2)
    runners = []
    try:
        for number in (1, 2, 3):
            deployment.start_replica(number, founds="true")
        for number in (1, 2):
            deployment.start_forwarder(number)
        wait_for(lambda: deployment.declare(1).status == 200, 15,
                 "the first deployment is acknowledged")
        deployment.runners = runners
        for number, service in ((1, "desk"), (2, "desk"), (3, "engine"),
                                (4, "engine")):
            runners.append(Runner(deployment, number, service))
        deployment.wait_ready()
        deployment.wait_known(runners)
        for router in (1, 2):
            for path in ("/call/x", "/stream/x"):
                wait_for(lambda r=router, p=path:
                         deployment.ask(p, r).status == 200, 10,
                         f"router {router} serves {path}")
        for runner in runners:
            runner.seen.clear()
        yield deployment
    finally:
        for runner in runners:
            runner.stop()
        deployment.close()


def seen(run, path):
    return [call for runner in run.runners for call in runner.seen
            if call["path"] == path]


def test_a_call_passes_unchanged_and_bears_what_the_router_decided(run):
    answer = run.ask("/call/a%2Fb?q=%20", method="POST", body="payload",
                     X_Deadline_Ms="900", X_Tenant="forged", X_Other="kept")
    assert answer.status == 200
    assert answer.headers["X-Response-Stamp"].startswith("stamp-i-")
    (call,) = seen(run, "/call/a%2Fb?q=%20")
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
def test_refusals_reach_no_endpoint(run, path, key, headers, status):
    assert run.ask(path, key=key, **headers).status == status
    assert not seen(run, path)


def test_a_budget_is_spent_to_its_end_and_not_beyond(run):
    served = sum(run.ask("/stream/x", router=1 + i % 2,
                         X_Token_Count="900,100").status == 200
                 for i in range(14))
    # 900 tokens of prompt and 5 events of up to 4 tokens each.
    assert 9 <= served <= 10000 // 920
    refused = run.ask("/stream/x", X_Token_Count="9000,100")
    assert refused.status == 402
    # In vain until a top-up, so not to be tried again soon.
    assert float(refused.headers["Retry-After"]) >= 30


def test_an_answer_of_which_nothing_came_is_not_billed(run):
    engines = run.runners[2:]
    for runner in engines:
        runner.fault = "reset"
    lost = run.ask("/stream/lost", X_Token_Count="6000,80")
    assert lost.status == 502
    for runner in engines:
        runner.fault = ""
    wait_for(lambda: run.ask("/stream/whole",
                             X_Token_Count="9000,80").status == 200, 3,
             "the whole budget serves the next request")


def test_a_large_request_takes_no_small_one_down_with_it(run):
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


def test_versions_only_rise_and_invalid_ones_change_nothing(run):
    assert run.declare(5).status == 200
    assert run.declare(3, Routes=[]).status == 200
    assert run.declare(9, Routes=[{"Name": "x"}]).status == 400
    read = run.control_call("GET", "/cactuswick/Config.Read")
    assert read.status == 200
    assert read.json()["Version"] == 5
    assert len(read.json()["Routes"]) == 3


def test_a_follower_read_a_large_deployment_that_only_the_leader_takes(run):
    leader = run.leader()
    for number in {1, 2, 3} - {leader}:
        answer = request(run.control_api(number), "POST",
                         "/cactuswick/Config.Replace", "{" + "x" * 400_000)
        assert answer.status == 307
        assert run.control_api(leader) in answer.headers["Location"]
    assert run.control_call("POST", "/cactuswick/Config.Replace",
                            "{" + "x" * 400_000).status == 400


def test_a_new_version_is_in_force_at_every_router_soon(run):
    assert run.declare(2, Routes=[]).status == 200
    for router in (1, 2):
        wait_for(lambda r=router: run.ask("/call/x", r).status == 404, 2,
                 "the dropped route is gone")


def test_a_refusal_of_an_endpoint_is_tried_elsewhere_and_else_promised(run):
    run.runners[0].fault = "refuse"
    for number in range(4):
        assert run.ask(f"/once/{number}").status == 200
    run.runners[1].fault = "refuse"
    answer = run.ask("/once/x")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


def test_a_call_that_may_have_run_is_neither_repeated_nor_denied(run):
    run.runners[0].fault = run.runners[1].fault = "reset"
    assert run.ask("/once/x").status == 502
    assert len(seen(run, "/once/x")) == 1
    assert run.ask("/call/x").status == 502
    assert len(seen(run, "/call/x")) == 2


def test_the_silence_of_an_endpoint_ends_no_answer_early(run):
    for runner in run.runners:
        runner.work_s, runner.gap_s, runner.events = 1.6, 1.5, 2
    assert run.ask("/call/x").status == 200
    assert len(seen(run, "/call/x")) == 1
    assert run.ask("/stream/x").whole
    assert len(seen(run, "/stream/x")) == 1


def test_a_call_to_a_silent_endpoint_ends_with_the_time_of_its_route(run):
    for runner in run.runners:
        runner.work_s = 4
    start = time.monotonic()
    answer = run.ask("/once/x")
    # The route allows 2 s, the rules half a second more.
    assert time.monotonic() - start < 2.5
    assert answer.status in (502, 504)
    assert len(seen(run, "/once/x")) == 1


def test_a_broken_stream_goes_on_elsewhere_without_half_an_event(run):
    run.runners[2].fault = "break"
    for number in range(4):
        answer = run.ask(f"/stream/{number}", request_id=f"s{number}")
        assert answer.whole
        assert answer.body == "".join(
            f"id: {i}\ndata: e{i}\n\n" for i in range(1, 6))


def test_no_event_comes_twice_when_a_stream_goes_on_elsewhere(run):
    for runner in run.runners[2:]:
        runner.fault, runner.resumed_fault = "break", "again"
    answer = run.ask("/stream/x")
    assert len(seen(run, "/stream/x")) == 2
    assert answer.body == "".join(
        f"id: {i}\ndata: e{i}\n\n" for i in range(1, 6))


@pytest.mark.parametrize("second", ["fail", "refuse", "reset", "other_body",
                                    "half_event", "no_event"])
def test_a_stream_that_cannot_go_on_is_cut_and_bears_no_foreign_bytes(
        run, second):
    for runner in run.runners[2:]:
        runner.fault, runner.resumed_fault = "break", second
    answer = run.ask("/stream/x")
    assert len(seen(run, "/stream/x")) == 2
    assert answer.body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
    assert not answer.whole


def test_no_event_comes_twice_when_a_broken_stream_bears_no_numbers(run):
    for runner in run.runners[2:]:
        runner.fault, runner.numbered = "break", False
    answer = run.ask("/stream/x")
    assert answer.body == "data: e1\n\ndata: e2\n\n"
    assert not answer.whole


def test_an_interim_answer_is_not_the_answer_of_a_call(run):
    for runner in run.runners[:2]:
        runner.fault = "hints"
    for number in range(6):
        path = f"/call/{number}"
        answer = run.ask(path, request_id=f"h{number}")
        assert answer.status == 200
        assert answer.body.endswith(path)


def ask_bad_ones(run, path):
    """Answers to many requests at once, and what else happens meanwhile.

    Returns the answers, the statuses of requests to a sound service at the
    same router, and the most memory that the router held.
    """
    others, most_kb = [], 0
    with concurrent.futures.ThreadPoolExecutor(BAD_CALLS + 1) as pool:
        bad = [pool.submit(run.ask, f"{path}{number}", request_id=f"b{number}")
               for number in range(BAD_CALLS)]
        good_path = "/call/good" if path == "/stream/" else "/stream/good"
        good = pool.submit(run.ask, good_path)
        while not all(future.done() for future in bad):
            if good.done():
                others.append(good.result())
                good = pool.submit(run.ask, good_path)
            most_kb = max(most_kb, endless.resident_kb(run.processes["r1"]))
            time.sleep(0.002)
        others.append(good.result())
    return [future.result() for future in bad], others, most_kb


def attempts_of(run):
    return [line for line in run.log_lines() if "attempts=" in line]


def check_repeated(bad, answers, is_right):
    """As many as may be are repeated elsewhere, and the rest has failed."""
    assert bad.seen
    assert all(a.whole for a in answers)
    served = [a for a in answers if a.status == 200]
    assert all(is_right(a) for a in served)
    failed = [a.status for a in answers if a.status != 200]
    assert set(failed) <= {502}
    assert len(failed) <= max(0, len(bad.seen) - REPEATS)


@pytest.mark.parametrize("kind", [*endless.HEADS, *endless.PARTS])
def test_an_answer_without_an_end_is_given_up_and_asked_for_elsewhere(
        run, kind):
    run.runners[0].fault = kind
    answers, others, most_kb = ask_bad_ones(run, "/call/")
    check_repeated(run.runners[0], answers,
                   lambda a: a.body.startswith("i-2 /call/"))
    assert {a.status for a in others} == {200}
    assert most_kb < ROUTER_KB
    assert any("i-1:endless" in line for line in attempts_of(run))


@pytest.mark.parametrize("kind", [*endless.HEADS, *endless.PARTS])
def test_an_answer_without_an_end_may_have_run_and_fills_no_memory(run, kind):
    run.runners[0].fault = run.runners[1].fault = kind
    answers, others, most_kb = ask_bad_ones(run, "/once/")
    assert {a.status for a in answers} <= {502, 503}
    ran = [call["path"] for runner in run.runners[:2] for call in runner.seen]
    failed = [a for a in answers if a.status == 502]
    assert failed and len(failed) == len(ran) == len(set(ran))
    assert {a.status for a in others} == {200}
    assert most_kb < ROUTER_KB


@pytest.mark.parametrize("kind", endless.BODIES)
def test_a_body_without_an_end_is_cut_and_fills_no_memory(run, kind):
    run.runners[0].fault = run.runners[1].fault = kind
    answers, others, most_kb = ask_bad_ones(run, "/call/")
    # Never a whole answer: cut off, failed, or not run at all.
    assert all(not a.whole or a.status >= 500 for a in answers)
    assert {a.status for a in others} == {200}
    assert most_kb < ROUTER_KB


@pytest.mark.parametrize("kind", [*endless.EVENTS, *endless.HEADS])
def test_a_stream_whose_event_never_ends_goes_on_elsewhere(run, kind):
    run.runners[2].fault = kind
    answers, others, most_kb = ask_bad_ones(run, "/stream/")
    whole = "".join(f"id: {i}\ndata: e{i}\n\n" for i in range(1, 6))
    check_repeated(run.runners[2], answers, lambda a: a.body == whole)
    assert {a.status for a in others} == {200}
    assert most_kb < ROUTER_KB
    assert any("i-3:endless" in line for line in attempts_of(run))


@pytest.mark.parametrize("second", ["", "fail"])
def test_no_stream_follows_a_long_failure_that_broke_off(run, second):
    first, other = run.runners[2:]
    first.fault, other.fault = "break_failure", second
    for number in range(12):
        path = f"/stream/long{number}"
        answer = run.ask(path, request_id=f"l{number}")
        attempts = sorted(seen(run, path), key=lambda call: call["at"])
        if attempts and attempts[0]["runner"] is first:
            assert not (answer.status == 500 and answer.whole), (
                f"{len(answer.body)} bytes, ends {answer.body[-80:]!r}")
            assert answer.body.strip("x") == ""
            return
        time.sleep(0.3)
    pytest.fail("no request reached the first endpoint first")


def test_a_leaving_endpoint_gets_nothing_new(run):
    run.runners[0].state = "draining"
    assert run.runners[0].send_heartbeat().status == 200
    time.sleep(0.5)
    run.runners[0].seen.clear()
    for number in range(8):
        assert run.ask(f"/call/{number}", router=1 + number % 2).status == 200
    assert not run.runners[0].seen
    # Not even when an announcement of before arrives late.
    run.runners[0].state = "ready"
    run.runners[0].send_heartbeat()
    assert run.ask("/call/late").status == 200
    assert not run.runners[0].seen


def test_foreign_announcements_name_no_endpoint(run):
    for body in ("", "{}", "\x00", json.dumps({"Service": "desk"})):
        answer = run.control_call(
            "POST", "/cactuswick/Instances.Heartbeat/i-9", body)
        assert answer.status == 400


def test_a_router_that_stops_leaves_the_list_and_cuts_nothing(run):
    def listed():
        answer = request(run.entry_address(1), "GET",
                         f"/cactuswick/resolve?Name={HOST}&Zone=a")
        return answer.json()["Addresses"] if answer.status == 200 else []

    wait_for(lambda: len(listed()) == 2, 5, "both routers are listed")
    run.processes["r1"].send_signal(signal.SIGTERM)
    wait_for(lambda: listed() == [run.forward_address(2)], 2, "one is left")
    assert not run.is_ready(1)
    answer = run.ask("/call/x", router=1)
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"
    assert run.processes["r1"].wait(timeout=8) == 0


def test_a_wiped_replica_is_replaced_and_then_another_may_die(run):
    run.kill("c3")
    shutil.rmtree(run.directory / "c3.data")
    run.start_replica(3)
    # Committed by the survivors meanwhile, after an election if the killed one
    # led; then the newcomer has to vote.
    wait_for(lambda: run.declare(2).status == 200, ACK_SECONDS,
             "the survivors acknowledge")
    time.sleep(4)
    run.kill("c1")
    wait_for(lambda: run.declare(4).status == 200, ACK_SECONDS,
             "two replicas, one of them new, are a quorum")
    read = wait_for(
        lambda: run.control_call("GET", "/cactuswick/Config.Read"), 5, "read")
    assert read.json()["Version"] == 4


def test_everything_restarts_and_nothing_acknowledged_is_lost(run):
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


@pytest.mark.parametrize("state", ["stalled", "full"])
@pytest.mark.parametrize("who", ["leader", "follower"])
def test_one_bad_disk_holds_up_nothing_and_comes_back(run, state, who):
    leader = wait_for(run.leader, 5, "a replica leads")
    bad = leader if who == "leader" else leader % 3 + 1
    run.set_disk(bad, state)
    wait_for(lambda: run.declare(2).status == 200,
             ACK_SECONDS + STRETCH_SECONDS, "the others acknowledge")
    assert run.ask("/call/x").status == 200
    assert run.ask("/stream/x", router=2).status == 200
    run.set_disk(bad, "")
    time.sleep(3)
    assert run.processes[f"c{bad}"].poll() is None
    run.kill(f"c{bad % 3 + 1}")
    wait_for(lambda: run.declare(4).status == 200,
             ACK_SECONDS + STRETCH_SECONDS,
             "the replica whose disk is sound again is part of a quorum")
    read = wait_for(
        lambda: run.control_call("GET", "/cactuswick/Config.Read"), 5, "read")
    assert read.json()["Version"] == 4


def test_full_disks_everywhere_refuse_and_lose_nothing(run):
    assert run.declare(2).status == 200
    for number in (1, 2, 3):
        run.set_disk(number, "full")
    assert run.declare(3).status not in (200, 400)
    for router in (1, 2):
        assert run.ask("/call/x", router).status == 200
    for number in (1, 2, 3):
        run.set_disk(number, "")
    wait_for(lambda: run.declare(3).status == 200,
             ACK_SECONDS + STRETCH_SECONDS, "acknowledged")
