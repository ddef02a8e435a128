"""Commands that keep the plan of probes and take in their results."""

from typing import Final

from chervilstep.commands.warmth_news import BELIEF_BYTES, spend_news
from chervilstep.hooks import HANDLERS, every
from chervilstep.loads import InFlightReport
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.probe_messages import ProbeResult
from chervilstep.queries.probes import assigned_probes, is_known
from chervilstep.queries.warmth_news import may_send_news
from chervilstep.types import Instant, new_deadline

#: Each upstream is probed once in this time by all instances together.
PROBE_PERIOD_SECONDS: Final = 1
#: How long the result of a probe is believed.
RESULT_SECONDS: Final = 2
#: How often the plan follows the configuration and the fleet.
PLAN_PERIOD_SECONDS: Final = 0.25


@every(PLAN_PERIOD_SECONDS, 'plan-probes')
def plan_probes(node: Node, now: Instant) -> None:
    """Assigns the upstreams anew.

    The prober before may have probed just now, so an upstream that this
    instance takes over waits for a whole period.
    """
    node.probes.assign(
        assigned_probes(node, now), new_deadline(now, PROBE_PERIOD_SECONDS)
    )


def start_probe(node: Node, upstream: str, now: Instant) -> None:
    """Takes the probe of ``upstream`` from the budget before it is sent."""
    node.probes.postpone(upstream, new_deadline(now, PROBE_PERIOD_SECONDS))
    node.counters.add('probes_sent')


def end_probe(node: Node, upstream: str, in_flight: int, now: Instant) -> None:
    """Takes in the answer to a probe and passes it on."""
    _believe(node, upstream, in_flight, now)
    if may_send_news(node, now):
        spend_news(node, BELIEF_BYTES, now)
        node.outbox.put(EVERY_PEER, ProbeResult(upstream, in_flight))


def fail_probe(node: Node, upstream: str, now: Instant) -> None:
    """Counts a probe without an answer; the last result runs out by itself."""
    node.counters.add('probes_failed')


@HANDLERS.register(ProbeResult.kind)
def hear_result(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes in a peer's probe, which also counts against the budget here."""
    if not isinstance(message, ProbeResult):
        return
    if is_known(node, message.upstream):
        _believe(node, message.upstream, message.in_flight, now)
        next_at = new_deadline(now, PROBE_PERIOD_SECONDS)
        node.probes.postpone(message.upstream, next_at)


def _believe(node: Node, upstream: str, in_flight: int, now: Instant) -> None:
    report = InFlightReport(in_flight, new_deadline(now, RESULT_SECONDS))
    node.loads.upstream_load(upstream).record_report(report)
