#!/usr/bin/env python3
"""Model of docs/design/grants.md, "Locked parts, freed by the leader's clock".

One VM runs one router process after another; one leader at a time applies
their batches. Messages are late or lost, links are cut, machines are
suspended. What the ledger frees is compared with what the dead process really
left of its locked part. The model has no product code in it.

  tools/grant_locks.py WORLDS [--without GUARD]...

Exits with 1 if something was freed that had been, or could still be, spent.
"""

import argparse
import random
import sys

TICK_S = 0.1
# Without contact for this long, a router opens its locked part.
T_S = 5.0
WORLD_S = 400
BEAT_S = 0.5
RESEND_S = 1.2
LOCK = 100
GUARDS = {
    "receipt": "T counts from the receipt of a reply, not from its batch",
    "previous": "the leader counts from the reply before the last one",
    "alive": "freed at the successor's first batch, not at its registration",
    "term": "all of it measured by one leader in one term",
    "boottime": "the leader's clock counts the time of a suspension",
    "opened": "the first batch formed after the opening says so",
    "ack_first": "a part is unlocked for use only once that is committed",
    "margin": "the leader's bound is below T by the clocks' rates",
    "release": "an operator's release of held tokens ends the locks",
}


class Process:
    """A router process; its times are those of its steady clock."""

    def __init__(self, rate):
        self.incarnation = 0
        self.rate = rate
        self.clock = 0.0
        self.last_register = -RESEND_S
        self.last_beat = 0.0
        self.last_send = 0.0
        self.contact = 0.0
        self.sequence = 0
        self.batch = None
        self.batch_formed = 0.0
        self.locked = 0
        self.is_open = False
        self.announces_opening = False
        self.is_unlocking = False


class World:
    def __init__(self, seed, without):
        self.random = random.Random(seed)
        self.without = without
        hard = seed % 2
        self.p_late = 0.2 if hard else 0.06
        self.p_cut = 0.03 if hard else 0.008
        self.p_kill = 0.03 if hard else 0.012
        self.now = 0.0
        self.cut_until = self.router_suspended_until = 0.0
        self.leader_suspended_until = 0.0
        self.to_leader, self.to_router = [], []
        self.process, self.start_at = None, 0.0
        # Ledger.
        self.registered = {}
        self.live = None
        self.lock, self.sequences, self.held = {}, {}, {}
        # Leader: by incarnation (term, previous, last), and (term, dead).
        self.term, self.steady, self.boottime = 1, 0.0, 0.0
        self.replied, self.successors = {}, {}
        # The truth.
        self.left, self.freed = {}, set()
        self.frees = self.overspent = 0

    def keeps(self, guard):
        return guard not in self.without

    def chance(self, probability):
        return self.random.random() < probability

    def leader_clock(self):
        return self.boottime if self.keeps("boottime") else self.steady

    def send(self, queue, kind, payload):
        uniform = self.random.uniform
        due = self.now + (uniform(0.5, 6) if self.chance(self.p_late)
                          else uniform(0.02, 0.2))
        if self.now < self.cut_until:
            # A kernel sends again, also what a dead process has written.
            if self.chance(0.5):
                return
            due = self.cut_until + uniform(0, 4)
        queue.append((due, kind, payload))

    def take_due(self, queue):
        due = [one for one in queue if one[0] <= self.now]
        queue[:] = [one for one in queue if one[0] > self.now]
        self.random.shuffle(due)
        return due

    # Router.

    def run_router(self):
        if self.process is None:
            if self.now >= self.start_at:
                self.process = Process(self.random.uniform(0.9, 1.1))
            return
        if self.now < self.router_suspended_until:
            return
        p = self.process
        p.clock += TICK_S * p.rate
        if self.chance(self.p_kill):
            self.kill()
            return
        for _, kind, payload in self.take_due(self.to_router):
            self.receive(p, kind, payload)
            if self.process is None:
                return
        if p.incarnation == 0:
            if p.clock - p.last_register > RESEND_S:
                p.last_register = p.clock
                self.send(self.to_leader, self.on_register, p)
            return
        if p.locked and not p.is_open and p.clock - p.contact >= T_S:
            p.is_open = p.announces_opening = True
        if p.is_open and p.locked and self.chance(0.3):
            self.spend_locked(p)
        if p.batch is None and p.clock - p.last_beat >= BEAT_S:
            self.form_batch(p)
        elif p.batch and p.clock - p.last_send > RESEND_S:
            p.last_send = p.clock
            self.send(self.to_leader, self.on_batch, p.batch)

    def spend_locked(self, p):
        p.locked = 0
        if p.incarnation in self.freed:
            self.overspent += 1

    def form_batch(self, p):
        p.last_beat = p.last_send = p.batch_formed = p.clock
        p.sequence += 1
        lock = None
        if p.is_open and not p.announces_opening and p.locked == 0:
            p.is_open = False
        elif not p.is_open and not p.is_unlocking:
            if p.locked == 0 and self.chance(0.3):
                lock = p.locked = LOCK
            elif p.locked and self.chance(0.1):
                lock, p.is_unlocking = 0, True
                if not self.keeps("ack_first"):
                    self.spend_locked(p)
        opened = p.announces_opening and self.keeps("opened")
        p.announces_opening = False
        p.batch = (p.incarnation, p.sequence, lock, opened)
        self.send(self.to_leader, self.on_batch, p.batch)

    def receive(self, p, kind, payload):
        if kind == "registered" and payload[0] is p and not p.incarnation:
            p.incarnation = payload[1]
            p.contact = p.clock
        elif kind == "ended" and payload == p.incarnation:
            self.kill()
        elif kind == "reply" and p.batch and payload == p.batch[:2]:
            p.contact = (p.clock if self.keeps("receipt")
                         else p.batch_formed)
            if p.is_unlocking and p.batch[2] == 0:
                p.is_unlocking = False
                self.spend_locked(p)
            p.batch = None

    def kill(self):
        self.left[self.process.incarnation] = self.process.locked
        self.process = None
        self.start_at = self.now + self.random.uniform(0.3, 4)

    # Leader and ledger.

    def run_leader(self):
        self.boottime += TICK_S
        if self.now < self.leader_suspended_until:
            return
        self.steady += TICK_S
        if self.chance(0.004):
            self.change_leader()
        if self.chance(0.003):
            self.leader_suspended_until = self.now + self.random.uniform(1, 9)
        for _, handle, payload in self.take_due(self.to_leader):
            handle(payload)
        if self.chance(0.004):
            self.release_held()

    def change_leader(self):
        """Another replica goes on; its clock has nothing to do with the old
        one, the worst case being one that seems to go on a little earlier."""
        self.term += 1
        step = (self.random.uniform(0, 1000) if self.keeps("term") else -4)
        self.steady += step
        self.boottime += step

    def release_held(self):
        if self.keeps("release"):
            self.held.clear()
            return
        for dead in self.held:
            self.left[dead] = 0

    def on_register(self, p):
        incarnation = self.registered.get(p)
        if incarnation is None or incarnation != self.live:
            incarnation = self.registered[p] = len(self.lock) + 1
            dead, self.live = self.live, incarnation
            self.lock[incarnation] = 0
            if dead is not None:
                self.held[dead] = self.lock[dead]
                self.successors[incarnation] = (self.term, dead)
                if not self.keeps("alive"):
                    self.judge(incarnation)
        self.send(self.to_router, "registered", (p, incarnation))

    def on_batch(self, batch):
        incarnation, sequence, lock, opened = batch
        if incarnation != self.live:
            self.send(self.to_router, "ended", incarnation)
            return
        if sequence > self.sequences.get(incarnation, 0):
            self.sequences[incarnation] = sequence
            if opened:
                self.lock[incarnation] = 0
            if lock is not None:
                self.lock[incarnation] = lock
            earlier = self.replied.get(incarnation)
            same = earlier and (earlier[0] == self.term
                                or not self.keeps("term"))
            self.replied[incarnation] = (self.term,
                                         earlier[2] if same else None,
                                         self.leader_clock())
            self.judge(incarnation)
        self.send(self.to_router, "reply", (incarnation, sequence))

    def judge(self, incarnation):
        """Frees the locked part of the predecessor if it is proved closed."""
        term, dead = self.successors.pop(incarnation, (None, None))
        replied = self.replied.get(dead)
        if replied is None or dead not in self.held:
            return
        if self.keeps("term") and not term == replied[0] == self.term:
            return
        since = replied[1] if self.keeps("previous") else replied[2]
        bound = T_S * 0.9 if self.keeps("margin") else T_S
        if since is None or self.leader_clock() - since >= bound:
            return
        amount = self.held.pop(dead)
        if amount == 0:
            return
        self.frees += 1
        self.freed.add(dead)
        # One that lives overspends when it opens what was freed.
        lives = self.process and self.process.incarnation == dead
        if not lives and self.left.get(dead, 0) < amount:
            self.overspent += 1

    def run(self):
        while self.now < WORLD_S:
            self.now += TICK_S
            if self.chance(self.p_cut):
                self.cut_until = self.now + self.random.uniform(0.5, 9)
            if self.chance(0.003):
                self.router_suspended_until = (
                    self.now + self.random.uniform(0.5, 8))
            self.run_router()
            self.run_leader()
        return self


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("worlds", type=int)
    parser.add_argument("--without", action="append", default=[],
                        choices=GUARDS)
    options = parser.parse_args()
    worlds = [World(seed, options.without).run()
              for seed in range(options.worlds)]
    overspent = sum(one.overspent for one in worlds)
    print(f"freed {sum(one.frees for one in worlds)} times, "
          f"{overspent} of these overspent, in "
          f"{sum(one.overspent > 0 for one in worlds)} of "
          f"{len(worlds)} worlds")
    return 1 if overspent else 0


if __name__ == "__main__":
    sys.exit(main())
