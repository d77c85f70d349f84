"""Tests of a settings file that changes while a router starts."""

import os
import socket

import pytest

from deployment import BIN, Deployment, wait_for


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


def test_change_of_the_file_right_after_its_first_reading_is_applied(run):
    start = Start(run)
    with socket.create_server((f"{run.net}.3.1", 7001)) as control:
        control.settimeout(10)
        start.finish(start.text.replace(run.control_listen(1),
                                        f"{run.net}.3.1:7001"))
        control.accept()[0].close()
