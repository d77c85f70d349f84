"""A small forwarder between the system's processes that can cut links.

Stands before each process's peer listener. Connections come from the own IP
number of the process that made them, so that a cut can name both ends.
"""

import socket
import struct
import threading
import time


class Forwarder:
    """Carries bytes from public to real addresses, unless told otherwise."""

    def __init__(self):
        self.blocked = set()
        # Seconds by which what a process sends or gets is late.
        self.delays = {}
        self.lock = threading.Lock()
        self.pairs = []
        self.listeners = []
        self.names = {}
        self.closing = False

    def forward(self, name, public, real):
        """Listens at `public` for the process `name` at `real`."""
        self.names[real.split(":")[0]] = name
        host, port = public.split(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(64)
        self.listeners.append(listener)
        threading.Thread(target=self.accept, args=(listener, name, real),
                         daemon=True).start()

    def cut(self, *names):
        """Cuts every link from or to these processes."""
        self.cut_from(*names)
        self.cut_to(*names)

    def cut_from(self, *names):
        """Nothing that these send arrives."""
        return self.block([(name, "*") for name in names])

    def cut_to(self, *names):
        """Nothing that others send to these arrives."""
        return self.block([("*", name) for name in names])

    def cut_between(self, one, other):
        """Cuts the links of two processes, both ways."""
        return self.block([(one, other), (other, one)])

    def reset(self, *names):
        """Resets the open connections from and to these."""
        with self.lock:
            pairs = [pair for pair in self.pairs
                     if not pair["ends"].isdisjoint(names)]
        now = struct.pack("ii", 1, 0)
        for pair in pairs:
            for end in pair["sockets"]:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, now)
                    end.close()
                except OSError:
                    pass

    def silence_existing(self):
        """Open connections go silent for good; new ones work."""
        with self.lock:
            for pair in self.pairs:
                pair["silent"] = True

    def heal(self):
        with self.lock:
            self.blocked.clear()

    def block(self, pairs):
        """Blocks these ways; returns what undoes it."""
        with self.lock:
            self.blocked.update(pairs)

        def undo():
            with self.lock:
                self.blocked.difference_update(pairs)
        return undo

    def is_blocked(self, source, target):
        with self.lock:
            return not self.blocked.isdisjoint(
                {(source, target), (source, "*"), ("*", target)})

    def accept(self, listener, name, real):
        host, port = real.split(":")
        while not self.closing:
            try:
                client, peer = listener.accept()
            except OSError:
                return
            source = self.names.get(peer[0], peer[0])
            if self.is_blocked(source, name) or self.is_blocked(name, source):
                client.close()
                continue
            try:
                server = socket.create_connection((host, int(port)), 1)
            except OSError:
                client.close()
                continue
            for end in (client, server):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = {"silent": False, "ends": {source, name},
                    "sockets": (client, server)}
            with self.lock:
                self.pairs.append(pair)
            for ends in ((client, server, source, name),
                         (server, client, name, source)):
                threading.Thread(target=self.carry, args=(*ends, pair),
                                 daemon=True).start()

    def carry(self, receive, send, source, target, pair):
        """Moves bytes one way; swallows them while the way is cut."""
        try:
            while True:
                data = receive.recv(65536)
                if not data:
                    break
                delay = max(self.delays.get(source, 0),
                            self.delays.get(target, 0))
                if delay:
                    time.sleep(delay)
                if not pair["silent"] and not self.is_blocked(source, target):
                    send.sendall(data)
                elif not pair["silent"]:
                    # Bytes are missing now: the link must not be used again.
                    pair["silent"] = True
        except OSError:
            pass
        # A silent link gives no sign of its end either.
        while pair["silent"] and not self.closing:
            time.sleep(0.05)
            if self.done(receive):
                break
        for end in (receive, send):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    @staticmethod
    def done(end):
        """The process at this end has closed the connection itself."""
        try:
            return end.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self):
        self.closing = True
        for listener in self.listeners:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
