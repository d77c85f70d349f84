"""A TCP forwarder between the system's processes that can cut links.

It accepts connections in place of each process's peer listener. Each process
connects from its own IP address, so a cut can name both ends.
"""

import socket
import struct
import threading
import time


class Forwarder:
    """Forwards connections to real addresses and injects faults."""

    def __init__(self):
        self.blocked = set()
        # Seconds of delay of what a process sends or receives, by its name.
        self.delays = {}
        self.lock = threading.Lock()
        self.pairs = []
        self.listeners = []
        self.names = {}
        self.closing = False

    def forward(self, name, public, real):
        """Listens at `public` on behalf of the process `name` at `real`."""
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
        """Cuts all links from and to these processes."""
        self.cut_from(*names)
        self.cut_to(*names)

    def cut_from(self, *names):
        """Drops everything that these processes send."""
        return self.block([(name, "*") for name in names])

    def cut_to(self, *names):
        """Drops everything that is sent to these processes."""
        return self.block([("*", name) for name in names])

    def cut_between(self, one, other):
        """Cuts the links between two processes in both directions."""
        return self.block([(one, other), (other, one)])

    def reset(self, *names):
        """Resets the open connections from and to these processes."""
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
        """Drops all data on open connections for good; new ones work."""
        with self.lock:
            for pair in self.pairs:
                pair["silent"] = True

    def heal(self):
        with self.lock:
            self.blocked.clear()

    def block(self, pairs):
        """Blocks these directions; returns a function that unblocks them."""
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
                threading.Thread(target=self.relay, args=(*ends, pair),
                                 daemon=True).start()

    def relay(self, receive, send, source, target, pair):
        """Forwards bytes in one direction and drops them while it is cut."""
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
                    # The stream has a gap now: never use the link again.
                    pair["silent"] = True
        except OSError:
            pass
        # A silent link doesn't pass on the end of the connection either.
        while pair["silent"] and not self.closing:
            time.sleep(0.05)
            if self.closed_by_peer(receive):
                break
        for end in (receive, send):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    @staticmethod
    def closed_by_peer(end):
        """Returns whether this end has closed the connection."""
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
