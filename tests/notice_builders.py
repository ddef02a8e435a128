"""Builders of upstreams that leave or pause, and of answers that say so."""

import time

from chervilstep.calls import Answer, Ending, Outcome
from chervilstep.commands.notices import record_answered_notice
from chervilstep.queries.soonest import SOONEST
from chervilstep.reports import AvailabilityNotice
from chervilstep.services import Service
from chervilstep.types import Verdict
from tests.builders import a_node, a_snapshot, an_attempt, an_upstream
from tests.wire_builders import AnsweringUpstream, request_id_of

#: The stand-in waits this long before it counts a request as late: requests cross
#: the answer that asks for a pause.
CROSSING_SECONDS = 0.5


def a_service_of(count, slots=3):
    upstreams = [
        an_upstream(f'i-{number}/1700', port=9000 + number, slots=slots)
        for number in range(count)
    ]
    return Service('strike', upstreams, SOONEST)


def a_node_of(service):
    return a_node(a_snapshot(services=[service]))


def receive(node, upstream, notice, now=0.0, ending=Ending.SHED, started=None):
    """Lets an instance receive an answer of ``upstream`` with a notice."""
    attempt = an_attempt(
        upstream=upstream, now=now if started is None else started
    )
    verdict = Verdict.RAN if ending is Ending.ANSWERED else Verdict.NOT_RUN
    outcome = Outcome(ending, verdict, now, None, None, None, notice)
    record_answered_notice(node, attempt, outcome)


def answer_after_a_pause(node, upstream):
    """Records a good answer whose request still counts as in flight."""
    answer = Answer(200, 'OK', (), b'')
    outcome = Outcome(Ending.ANSWERED, Verdict.RAN, 4.1, answer)
    record_answered_notice(node, an_attempt(upstream=upstream, now=4), outcome)


def a_pause(seconds):
    return AvailabilityNotice(pause_seconds=seconds)


LEAVES = AvailabilityNotice(is_leaving=True)


class NotingUpstream(AnsweringUpstream):
    """An upstream that can pause, or say that it leaves, from a moment on."""

    def __init__(self, pause_seconds=0, says_leaving=False):
        super().__init__()
        self.pause_seconds = pause_seconds
        self.says_leaving = says_leaving
        self.is_active = False
        self.said_at = {}
        self.late = []
        self.arrivals = 0

    async def answer(self, head):
        identity = request_id_of(head)
        # The calls of this test name the instance that sends them.
        sender = identity.partition(b'@')[2]
        now = time.monotonic()
        self.arrivals += 1
        if not self.is_active:
            return _ok(identity)
        said_at = self.said_at.get(sender)
        if said_at is not None:
            is_late = now - said_at > CROSSING_SECONDS
            if self.says_leaving and is_late:
                self.late.append(identity)
            if self.pause_seconds and (
                is_late and now - said_at < self.pause_seconds
            ):
                self.late.append(identity)
        if self.says_leaving:
            self.said_at.setdefault(sender, now)
            return _ok(identity, b'Server-Leaving: 1\r\n')
        if said_at is not None and now - said_at >= self.pause_seconds:
            return _ok(identity)
        self.said_at.setdefault(sender, now)
        return (
            b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n'
            b'X-Request-Id: '
            + identity
            + b'\r\nRetry-After: '
            + str(self.pause_seconds).encode()
            + b'\r\n\r\n'
        )


def _ok(identity, more=b''):
    return (
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: '
        + identity
        + b'\r\n'
        + more
        + b'\r\nok'
    )
