"""Tests of a settings file that changes, and SIGHUP, while a router starts."""

import contextlib
import datetime
import os
import signal
import socket
import time

import pytest

from deployment import BIN, Deployment, request, wait_for

# How often the daemon compares the file without SIGHUP.
POLL_SECONDS = 1


@pytest.fixture(name="run")
def deployment():
    run = Deployment(controls=1, routers=1)
    yield run
    run.close()


class Start:
    """A start of router 1 that is stopped while it reads its settings."""

    def __init__(self, run):
        self.settings = run.router_settings(1)
        self.text = self.settings.read_text()
        self.settings.unlink()
        os.mkfifo(self.settings)
        run.start("r1", BIN / "cactuswickd", "--config", self.settings)
        self.process = run.processes["r1"]
        # Cannot be opened before the router has opened the other end.
        self.pipe = wait_for(
            lambda: os.open(self.settings, os.O_WRONLY | os.O_NONBLOCK), 10,
            "the router reads its settings")

    def finish(self, new_text=None):
        """Ends the reading; the file has `new_text` from then on."""
        os.write(self.pipe, self.text.encode())
        changed = self.settings.with_suffix(".new")
        changed.write_text(new_text or self.text)
        changed.rename(self.settings)
        os.close(self.pipe)


def wait_serving(run):
    wait_for(lambda: request(run.router_address(1), "GET", "/healthz").body,
             10, "the router responds")


def logged_at(run, text):
    """Waits for a line of the log with `text`; returns its time."""
    def line():
        lines = (run.directory / "log").read_text().splitlines()
        return next((one for one in lines if text in one), None)
    return datetime.datetime.fromisoformat(
        wait_for(line, 10, f"the log has {text}").split()[0])


def test_change_of_the_file_right_after_its_first_reading_is_applied(run):
    start = Start(run)
    with socket.create_server((f"{run.net}.3.1", 7001)) as control:
        control.settimeout(10)
        start.finish(start.text.replace(run.control_listen(1),
                                        f"{run.net}.3.1:7001"))
        control.accept()[0].close()


def test_sighup_while_settings_are_read_does_not_end_a_start(run):
    start = Start(run)
    start.process.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    assert start.process.poll() is None
    start.finish()
    wait_serving(run)


@contextlib.contextmanager
def holding_sighup():
    """Blocks SIGHUP for processes that are started, until they take it."""
    old = signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, old)


@pytest.mark.parametrize("holding", [contextlib.nullcontext, holding_sighup],
                         ids=["by-router", "by-starter"])
def test_sighup_while_settings_are_read_is_not_lost(run, holding):
    with holding():
        start = Start(run)
    start.process.send_signal(signal.SIGHUP)
    start.finish(start.text + "\n")
    started = logged_at(run, "starting vm=")
    reloaded = logged_at(run, "reloading changed settings")
    assert (reloaded - started).total_seconds() < POLL_SECONDS


def test_sighup_while_a_router_stops_does_not_change_its_exit_code(run):
    for _ in range(5):
        run.start_router(1)
        wait_serving(run)
        process = run.processes.pop("r1")
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 10
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(signal.SIGHUP)
        run.wait_or_kill(process, 0)
        assert process.returncode == 0
