"""A sound runner of the users' platform (PROTOCOL.md, "Runners")."""

import http.server
import json
import socketserver
import threading
import time

from deployed import HEARTBEAT_MS, RUNNER_PORT

# Tokens of one event of a stream.
STRIDE = 4


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Routers may close connections at any time."""


class Runner:
    """Answers requests, and announces itself until it is stopped."""

    def __init__(self, platform, number, service, slots=6):
        self.platform = platform
        self.id = f"i-{number}"
        self.service = service
        self.slots = slots
        self.address = f"{platform.runner_ip(number)}:{RUNNER_PORT}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.stopped = threading.Event()
        runner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                runner.serve(self)

            do_HEAD = do_POST = do_GET

            def log_message(self, *_):
                pass

        self.server = Server((platform.runner_ip(number), RUNNER_PORT),
                             Handler)
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()
        platform.runners.append(self)

    def serve(self, call):
        length = int(call.headers.get("Content-Length", 0))
        call.rfile.read(length)
        name = call.headers["X-Request-Id"]
        if call.headers.get("X-Expect-Instance", self.id) != self.id:
            self.answer(call, 421, b"", {"X-Not-Executed": "1"})
            return
        self.runs.append(name)
        self.platform.record(f"{self.id} runs {name}: {call.command} "
                             f"{call.path}")
        if "X-Token-Count" in call.headers:
            self.stream(call)
        else:
            self.answer(call, 200, f"{name} by {self.id}\n".encode(),
                        {"X-Response-Stamp": f"3e1b.{name}"})

    @staticmethod
    def stream(call):
        """Sends as many events as the request asks for at most."""
        name = call.headers["X-Request-Id"]
        tokens = int(call.headers["X-Token-Count"].split(",")[1])
        call.send_response(200)
        call.send_header("X-Request-Id", name)
        call.send_header("X-Response-Stamp", f"3e1b.{name}")
        call.send_header("Content-Type", "text/event-stream")
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        first = int(call.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, tokens // STRIDE + 1):
            event = f"id: {number}\ndata: {name}\n\n".encode()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        call.wfile.write(b"0\r\n\r\n")

    def answer(self, call, status, body, headers):
        call.send_response(status)
        call.send_header("X-Request-Id", call.headers["X-Request-Id"])
        for name, value in headers.items():
            call.send_header(name, value)
        call.send_header("Content-Length", str(len(body)))
        call.end_headers()
        # An answer to HEAD has no body (RFC 9110, section 9.3.2).
        if call.command != "HEAD":
            call.wfile.write(body)

    def announce(self):
        while not self.stopped.is_set():
            self.sequence += 1
            self.platform.call_control(
                "POST", f"/cactuswick/Instances.Heartbeat/{self.id}",
                json.dumps({"Service": self.service, "Address": self.address,
                            "Zone": "braga", "Version": "v1",
                            "Slots": self.slots, "State": "ready",
                            "ColdLeftMs": 0, "Phase": "both", "Models": [],
                            "Sequence": self.sequence, "born": self.born}))
            self.stopped.wait(HEARTBEAT_MS / 1000)

    def stop(self):
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
