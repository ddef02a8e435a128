"""A fleet of nodes in virtual time, with fakes of the network and platform."""

import heapq
import itertools
import random

import msgpack

from chervilstep.adapters import codec
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.commands.listing import request_instances, take_seeds
from chervilstep.commands.membership import ALIVE_SECONDS
from chervilstep.commands.platform import take_instances, take_sections
from chervilstep.commands.relaying import inquire
from chervilstep.commands.transfers import flush_arrived
from chervilstep.hooks import HANDLERS
from chervilstep.members import Instance
from chervilstep.node import new_node
from chervilstep.queries.overlay import neighbours
from chervilstep.queries.relaying import Duty, duty_of
from chervilstep.types import new_deadline
from chervilstep.values import PlatformAnswer, PlatformValue
from tests.builders import a_settings

STEP_SECONDS = 0.125
DELAY_SECONDS = 0.003
WATCH_SECONDS = 1
LIST_SECONDS = 3
LIST_WATCH_SECONDS = 20

load_capabilities()


class FakePlatform:
    """Every revision of every value; a replica shows those up to one."""

    def __init__(self):
        self.revision = 0
        self.log = []
        self.is_down = False
        self.stale_at = None
        self.calls = 0

    def put(self, name, text):
        self.revision += 1
        self.log.append(PlatformValue(name, self.revision, text))
        return self.revision

    def shown(self):
        return self.revision if self.stale_at is None else self.stale_at

    def newest(self, after=0):
        found = {}
        for value in self.log:
            if after < value.revision <= self.shown():
                found[value.name] = value
        return found.values()

    def list(self):
        self.calls += 1
        values = [value for value in self.newest() if value.text is not None]
        return PlatformAnswer(self.shown(), values, is_complete=True)

    def watch(self, after):
        self.calls += 1
        values = list(self.newest(after))
        return PlatformAnswer(self.shown(), values, is_complete=False)


class Reader:
    """Reads the platform for a node as the adapter does."""

    def __init__(self, node, platform, rng, now):
        self.node = node
        self.platform = platform
        self.rng = rng
        self.position = None
        self.sent_at = None
        self.instances_at = now + rng.uniform(0, 0.5)
        self.watch_end = now
        self.next_at = now + rng.uniform(0.5, 1)

    def run(self, now, listed, is_reachable):
        is_changed = listed[0] > self.node.members.revision
        if now >= self.instances_at and (is_changed or now >= self.watch_end):
            self.instances_at = now + self.rng.uniform(1.5, LIST_SECONDS)
            self.watch_end = self.instances_at + LIST_WATCH_SECONDS
            if is_reachable:
                self.platform.calls += 1
                take_instances(self.node, *listed, gone=(), is_complete=True)
        if now < self.next_at:
            return
        duty = duty_of(self.node, now)
        if duty is Duty.RELY:
            self.sent_at = None
        elif not is_reachable:
            self.sent_at = None
            longest = 2 if duty is Duty.WATCH else 4
            self.next_at = now + self.rng.uniform(longest / 2, longest)
        else:
            self.read(duty, now)

    def read(self, duty, now):
        if self.position is None or duty is Duty.POLL:
            self.next_at = now + self.rng.uniform(1, 2)
            self.take(self.platform.list(), now, now)
            return
        if self.sent_at is None:
            self.sent_at = now
        if now >= self.sent_at + WATCH_SECONDS or any(
            self.platform.newest(self.position)
        ):
            answer = self.platform.watch(self.position)
            known_at = self.sent_at
            if not answer.values:
                known_at = min(now, known_at + WATCH_SECONDS)
            self.sent_at = now
            self.take(answer, known_at, now)

    def take(self, answer, known_at, now):
        self.position = max(self.position or 0, answer.revision)
        take_sections(self.node, answer, known_at, now)


class Fleet:
    """Nodes that exchange messages, until cut, paused or stopped."""

    def __init__(self, size=0, seed=1):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.platform = FakePlatform()
        self.nodes = {}
        self.readers = {}
        self.phases = {}
        self.groups = {}
        self.cut_off = set()
        self.paused = set()
        self.mail = []
        self.overlay: tuple[tuple[object, ...], dict[str, set[str]]] = (
            (),
            {},
        )
        self.kept = {}
        self.listed: tuple[int, list[Instance]] = (1, [])
        self.order = itertools.count()
        self.names = itertools.count(1)
        self.messages = 0
        self.bytes = 0
        for _ in range(size):
            self.start(announce=False)
        self.announce()

    def start(self, announce=True, seeds=None):
        name = f'entry-{next(self.names)}'
        seed = self.rng.random()
        self.nodes[name] = new_node(
            a_settings(name, seeds=seeds or {}), int(seed * 10**9)
        )
        take_seeds(self.nodes[name])
        self.readers[name] = Reader(
            self.nodes[name], self.platform, self.rng, self.now
        )
        self.phases[name] = self.rng.randrange(8)
        self.groups[name] = 0
        if announce:
            self.announce()
        return name

    def kill(self, name, announce=True):
        for held in (self.nodes, self.readers, self.phases, self.groups):
            held.pop(name)
        self.paused.discard(name)
        self.kept.pop(name, None)
        if announce:
            self.announce()

    def announce(self):
        revision = self.platform.put('ignored', None)
        self.platform.log.pop()
        instances = [
            Instance(name, 'akl', '127.0.0.1:1', '127.0.0.1:2')
            for name in self.nodes
        ]
        self.listed = (revision, instances)

    def offer(self, name, text):
        return self.platform.put(name, text)

    def is_reachable(self, name):
        return not self.platform.is_down and name not in self.cut_off

    def run(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.step()

    def run_until(self, condition, seconds):
        started = self.now
        while self.now < started + seconds:
            if condition():
                return self.now - started
            self.step()
        raise AssertionError(f'not within {seconds} s')

    def step(self):
        self.now += STEP_SECONDS
        tick = round(self.now / STEP_SECONDS)
        for name in tuple(self.nodes):
            if name not in self.paused:
                self.act(name, tick)
        self.deliver()

    def act(self, name, tick):
        node = self.nodes[name]
        self.readers[name].run(self.now, self.listed, self.is_reachable(name))
        if (tick + self.phases[name]) % 4 == 0:
            self.beat(name)
            flush_arrived(node, self.now)
        if (tick + self.phases[name]) % 8 == 0:
            request_instances(node, self.now)
            inquire(node, self.now)
        self.post(name)

    def beat(self, name):
        for peer in self.connected(name):
            if self.are_connected(name, peer) and peer not in self.paused:
                alive_until = new_deadline(self.now, ALIVE_SECONDS)
                self.nodes[peer].members.view(name).hear(
                    alive_until, is_leaving=False, load=0, is_ready=True
                )

    def connected(self, name):
        """Whoever is a neighbour of the node, or has it as one."""
        revisions = tuple(
            (peer, node.members.revision) for peer, node in self.nodes.items()
        )
        if self.overlay[0] != revisions:
            streams: dict[str, set[str]] = {peer: set() for peer in self.nodes}
            for peer, node in self.nodes.items():
                for other in neighbours(node.members):
                    if other in streams:
                        streams[peer].add(other)
                        streams[other].add(peer)
            self.overlay = revisions, streams
        return sorted(self.overlay[1][name])

    def are_connected(self, name, peer):
        return peer in self.nodes and self.groups[name] == self.groups[peer]

    def post(self, name):
        outbox = self.nodes[name].outbox
        for letter in outbox.letters:
            frame = codec.encode(letter.message)
            self.messages += 1
            self.bytes += len(frame)
            sent = (letter.recipient, name, frame)
            arrival = self.now + DELAY_SECONDS
            heapq.heappush(self.mail, (arrival, next(self.order), sent))
        outbox.clear()

    def deliver(self):
        end = self.now + STEP_SECONDS
        while self.mail and self.mail[0][0] < end:
            arrival, _, (name, sender, frame) = heapq.heappop(self.mail)
            if sender not in self.nodes or not self.are_connected(sender, name):
                continue
            if name in self.paused:
                self.kept.setdefault(name, []).append((sender, frame))
            else:
                self.take(name, sender, frame, arrival)

    def take(self, name, sender, frame, at):
        message = codec.decode(msgpack.unpackb(frame[codec.PREFIX_BYTES :]))
        before, self.now = self.now, max(at, self.now)
        HANDLERS.find(message.kind)(self.nodes[name], sender, message, self.now)
        self.post(name)
        self.now = before

    def resume(self, name):
        """Wakes a node; what was sent to it meanwhile arrives at once."""
        self.paused.discard(name)
        for sender, frame in self.kept.pop(name, ()):
            if sender in self.nodes:
                self.take(name, sender, frame, self.now)

    def accepted(self, name, section):
        found = self.nodes[name].configuration.sections.get(section)
        return found.revision if found else 0

    def holds(self, section, revision):
        return lambda: all(
            self.accepted(name, section) >= revision for name in self.nodes
        )

    def is_current(self, name):
        until = self.nodes[name].configuration.confirmed_until
        return until is not None and not until.has_passed(self.now)

    def all_current(self):
        return all(map(self.is_current, self.nodes))
