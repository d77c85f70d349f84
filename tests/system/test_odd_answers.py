"""Tests of bytes that are no answer, sent to the product's own exchanges: model
requests, whole and streamed, and service calls."""

import contextlib
import json
import os
import socket
import struct
import threading
import time

import pytest

import deployment
from deployment import Deployment, request, wait_for

ENDPOINT = {"Authorization": f"Bearer {deployment.ENDPOINT_KEY}"}
JSON_BODY = b'{"choices":[],"usage":{"total_tokens":1}}'
STREAM_BODY = (b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'
               b'data: [DONE]\n\n')


class RawEndpoint:
    """Announces itself and answers each connection with the same bytes."""

    def __init__(self, system, name, kind, serves, address):
        self.system, self.name, self.kind = system, name, kind
        self.serves, self.address = serves, address
        self.answer = b""
        self.resets = False
        self.requests = 0
        self.stopped = threading.Event()
        host, port = address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=64)
        for work in (self.serve, self.announce):
            threading.Thread(target=work, daemon=True).start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self.respond, args=(connection,),
                                 daemon=True).start()

    def respond(self, connection):
        self.requests += 1
        with contextlib.suppress(OSError), connection:
            connection.recv(512)
            connection.sendall(self.answer)
            if self.resets:
                time.sleep(0.02)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                os.close(connection.detach())
                return
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                pass

    def announce(self):
        sequence = 0
        while not self.stopped.wait(0.3):
            sequence += 1
            with contextlib.suppress(OSError):
                request(self.system.router_address(1), "POST", "/v1/endpoints",
                        json.dumps({
                            "endpoint": self.name, "endpoint_type": self.kind,
                            "serves": [self.serves], "address": self.address,
                            "failure_domain": "a", "slots": 8, "incarnation": 1,
                            "sequence": sequence, "lease_ms": 5000,
                            "leaving": False}), ENDPOINT)

    def stop(self):
        self.stopped.set()
        self.listener.close()


def whole(status, body):
    return b"HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s" % (
        status.encode(), len(body), body)


@pytest.fixture(scope="module", name="system")
def running_system():
    system = Deployment(controls=3, routers=1)
    endpoints = []
    try:
        system.start_all()
        system.declare()
        net = system.router_address(1).rsplit(".", 2)[0]
        for number, (kind, serves) in enumerate((
                ("engine", deployment.MODEL), ("service", deployment.SERVICE))):
            endpoint = RawEndpoint(system, f"raw-{kind}", kind, serves,
                                   f"{net}.9.{number + 1}:9001")
            endpoint.answer = whole("200", JSON_BODY)
            endpoints.append(endpoint)
        system.raw = endpoints
        system.wait_served()
        system.wait_served(deployment.SERVICE)
        yield system
    finally:
        for endpoint in endpoints:
            endpoint.stop()
        ended = system.close()
    assert not ended


def ask(system, kind, key, text="hello"):
    router = system.router_address(1)
    if kind == "service":
        return system.call(router, key, body=json.dumps([text]))
    return system.chat(router, text, stream=kind == "stream",
                       Idempotency_Key=key)


def answer_with(system, answer, resets):
    for endpoint in system.raw:
        endpoint.answer, endpoint.resets = answer, resets


def check_is_no_answer(response):
    """The caller gets the router's own error, without the endpoint's bytes."""
    assert response.status >= 500
    assert response.outcome() in ("unknown", "refused")
    assert json.loads(response.body)["error"]


@pytest.mark.parametrize("kind", ["whole", "stream", "service"])
def test_answers_in_calm(system, kind):
    answer_with(system, whole("200", STREAM_BODY if kind == "stream"
                              else JSON_BODY), False)

    def is_served():
        response = ask(system, kind, f"calm-{kind}-{time.monotonic()}")
        return response.status == 200
    wait_for(is_served, 10, f"{kind} is served")


# Guards against MIXED (reports of other operators): a status that HTTP does not
# define was passed on as the answer of a service.
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("status", [
    "000", "099", "101", "199", "600", "999", "20", "2000", "-20", "abc"])
@pytest.mark.parametrize("kind", ["whole", "stream", "service"])
def test_odd_status_is_no_answer(system, kind, status, resets):
    answer_with(system, whole(status, STREAM_BODY if kind == "stream"
                              else JSON_BODY), resets)
    check_is_no_answer(ask(system, kind, f"{kind}-{status}-{resets}"))


# Guards against MIXED (reports of other operators): a part of an answer without a
# length was passed on as whole after a reset, also during a long upload.
@pytest.mark.parametrize("text_bytes", [10, 500_000])
@pytest.mark.parametrize("kind", ["whole", "stream", "service"])
def test_reset_answer_without_a_length_is_no_answer(system, kind, text_bytes):
    answer_with(system, b"HTTP/1.1 200 OK\r\n\r\n" + JSON_BODY, True)
    response = ask(system, kind, f"{kind}-reset-{text_bytes}", "u" * text_bytes)
    check_is_no_answer(response)
