"""Tests of where messages end, on the real processes: what endpoints receive
from callers, and what callers get from endpoints."""

import contextlib
import socket
import time

import pytest

from deployment import request, wait_for
from platform_run import HOST, KEY, running_platform

INNER = (f"POST /once/inside HTTP/1.1\r\nHost: {HOST}\r\n"
         f"X-Request-Id: inside\r\nAuthorization: Token {KEY}\r\n"
         "Content-Length: 0\r\n\r\n").encode()
# A caller that stays: a request that is smuggled would be run meanwhile.
STAY_SECONDS = 0.5
# A router closes a connection this soon after a refusal.
CLOSE_SECONDS = 3


@pytest.fixture(scope="module")
def shared_run():
    with running_platform(services=("desk", "desk", "engine")) as deployment:
        yield deployment


@pytest.fixture
def run(shared_run):
    yield shared_run
    for endpoint in shared_run.endpoints:
        endpoint.fault = ""
        endpoint.received.clear()


def received(run, path):
    return [call for endpoint in run.endpoints for call in endpoint.received
            if call["path"] == path]


def head(method, path, *headers, request_id="outside"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             f"X-Request-Id: {request_id}", f"Authorization: Token {KEY}",
             *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def send_raw(run, data, seconds=STAY_SECONDS):
    """Sends bytes on a connection and stays until nothing came for so long;
    returns what came, and whether the connection was closed."""
    host, port = run.forward_address(1).split(":")
    response = b""
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data)
        connection.settimeout(seconds)
        with contextlib.suppress(TimeoutError):
            while piece := connection.recv(4096):
                response += piece
            return response, True
    return response, False


# Guards against UNASKED (review/5): the body of a request whose method has none
# was run as a request of its own while its caller stayed.
@pytest.mark.parametrize("method", ["HEAD", "GET", "DELETE", "OPTIONS"])
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_unread_body_is_not_run_as_a_request(run, method, form):
    if form == "length":
        data = head(method, "/call/a", f"Content-Length: {len(INNER)}") + INNER
    else:
        data = head(method, "/call/a", "Transfer-Encoding: chunked") + INNER
    response, closed = send_raw(run, data, CLOSE_SECONDS)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert b"connection: close" in response.lower() and closed
    assert not received(run, "/once/inside")
    assert any("unexpected_body" in line for line in run.log_lines())
    assert run.ask("/call/b").status == 200


# Guards against UNASKED: lengths that another parser reads otherwise were
# accepted, and what follows them was run as a request.
@pytest.mark.parametrize("framing", [
    "Content-Length: +0", "Content-Length: 0x0", "Content-Length: 0, 0",
    "Content-Length: 0\r\nContent-Length: 0", "Content-Length:\r\n 0",
    "Content-Length : 0", "Content-Length: 0\nX-A: b",
    "Transfer-Encoding: chunked, identity", "Transfer-Encoding: xchunked",
    "Transfer-Encoding: chunked\r\nContent-Length: 0"])
def test_ambiguous_length_is_refused_and_closes(run, framing):
    response, closed = send_raw(run, head("POST", "/once/a", framing) + INNER,
                                CLOSE_SECONDS)
    assert response.startswith(b"HTTP/1.1 400 ") and closed
    assert not received(run, "/once/a") and not received(run, "/once/inside")
    assert run.ask("/call/b").status == 200


# Guards against UNASKED by the router's own hand: a PATCH was forwarded with its
# body and without its length.
@pytest.mark.parametrize("method", ["POST", "PUT", "PATCH"])
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_body_that_spells_a_request_stays_a_body(run, method, form):
    if form == "length":
        data = head(method, "/once/a", f"Content-Length: {len(INNER)}") + INNER
    else:
        data = (head(method, "/once/a", "Transfer-Encoding: chunked")
                + b"%x;a=b\r\n%s\r\n0\r\nX-T: t\r\n\r\n" % (len(INNER), INNER))
    response, _ = send_raw(run, data)
    assert response.startswith(b"HTTP/1.1 200 ")
    (call,) = received(run, "/once/a")
    assert call["method"] == method and call["body"] == INNER
    assert "X-T" not in call["headers"]
    assert not received(run, "/once/inside")


def test_request_behind_a_malformed_one_is_not_run(run):
    good = head("POST", "/once/a", "Content-Length: 2") + b"{}"
    bad = head("POST", "/once/b", "Content-Length: +2") + b"{}"
    response, closed = send_raw(run, good + bad + INNER, CLOSE_SECONDS)
    assert response.startswith(b"HTTP/1.1 200 ") and closed
    assert b"HTTP/1.1 400 " in response
    assert len(received(run, "/once/a")) == 1
    assert not received(run, "/once/b") and not received(run, "/once/inside")


# Guards against MIXED (report of another operator): an endpoint stops in the
# middle of its response's head and closes; the caller got a 200 that looked whole.
@pytest.mark.parametrize("head_bytes", [0, 9, 17, 40, 80, 92, 96])
@pytest.mark.parametrize("path", ["/once/a", "/call/a", "/stream/a"])
def test_response_cut_in_its_head_is_no_response(run, path, head_bytes):
    for endpoint in run.endpoints:
        endpoint.fault = "cut_head"
        endpoint.head_bytes = head_bytes
    response = run.ask(path)
    assert response.status == 502
    assert len([call for call in received(run, path) if call["ran"]]) \
        <= (1 if path == "/once/a" else 2)


# Guards against MIXED (reports of other operators): an endpoint's answer with a
# status that HTTP does not define was passed on.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("status", [
    "000", "099", "600", "999", "20", "2000", "+20", "-20", "abc", "101", "199"])
@pytest.mark.parametrize("path", ["/once/a", "/call/a", "/stream/a"])
def test_odd_status_is_no_response(run, path, status, kept):
    if kept:
        for _ in range(4):
            assert run.ask("/call/warm").status == 200
    for endpoint in run.endpoints:
        endpoint.fault = "odd_status"
        endpoint.odd_status = f"{status} Odd"
    response = run.ask(path)
    assert response.status == 502
    assert len([call for call in received(run, path) if call["ran"]]) \
        <= (1 if path == "/once/a" else 2)
    if status not in ("101", "199"):
        said = f"expected a status from 100 to 599, got {status}"
        assert any(said in line for line in run.log_lines())


# Guards against MIXED (reports of other operators): an endpoint answered a long
# upload with a part of a 200 without a length and reset the connection.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("body_bytes", [0, 70_000, 900_000])
@pytest.mark.parametrize("path", ["/once/a", "/call/a", "/stream/a"])
def test_response_reset_during_the_upload_is_no_response(run, path, body_bytes,
                                                         kept):
    if kept:
        for _ in range(4):
            assert run.ask("/call/warm").status == 200
    for endpoint in run.endpoints:
        endpoint.fault = "early_reset"
    response = run.ask(path, method="POST", body="u" * body_bytes)
    assert response.status == 502
    assert len([call for call in received(run, path) if call["ran"]]) \
        <= (1 if path == "/once/a" else 2)


# Guards against MIXED (review/6): the text of a refusal stood on the kept channel
# of a HEAD request, where the next answer is due.
@pytest.mark.parametrize("path,key,status", [
    ("/unknown/a", KEY, 404), ("/call/a", "other", 401), ("/call/a", KEY, 502)])
def test_refused_head_leaves_nothing_on_its_channel(run, path, key, status):
    for endpoint in run.endpoints:
        endpoint.fault = "reset" if status == 502 else ""
    lines = head("HEAD", path).replace(KEY.encode(), key.encode())
    host, port = run.forward_address(1).split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.settimeout(CLOSE_SECONDS)
        response = b""
        connection.sendall(lines)
        while b"\r\n\r\n" not in response:
            response += connection.recv(4096)
        for endpoint in run.endpoints:
            endpoint.fault = ""
        connection.sendall(head("GET", "/call/b", request_id="next"))
        while b"/call/b" not in response:
            response += connection.recv(4096)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert response.split(b"\r\n\r\n", 1)[1].startswith(b"HTTP/1.1 200 ")


def test_safe_call_is_served_elsewhere_after_a_cut_head():
    with running_platform(services=("desk", "desk", "engine")) as run:
        run.endpoints[0].fault = "cut_head"
        run.endpoints[0].head_bytes = 40
        for number in range(4):
            response = run.ask(f"/call/{number}")
            assert response.status == 200
            assert response.body == f"{run.endpoints[1].id} /call/{number}"


# Guards against TWICE and REFUSED (review/1): a late copy of a refusal bears the
# id of the request that was refused, so it was taken for the response to the
# same request's next attempt on that connection, which was running.
def test_late_copy_of_a_refusal_refuses_no_running_request():
    with running_platform(services=("desk", "engine")) as run:
        for endpoint in run.endpoints:
            endpoint.fault = "refuse_late_copy"
        for number in range(6):
            path = f"/once/{number}"
            response = run.ask(path, router=1 + number % 2,
                               request_id=f"new{number}")
            runs = [call for call in received(run, path) if call["ran"]]
            assert len(runs) <= 1
            assert response.status not in (429, 503) or not runs
