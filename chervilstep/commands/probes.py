"""Commands that assign probes to instances and record their results."""

from typing import Final

from chervilstep.commands.slowstart_updates import STATE_BYTES, charge_update
from chervilstep.hooks import HANDLERS, every
from chervilstep.loads import InFlightReport
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.probe_messages import ProbeResult
from chervilstep.queries.probes import assigned_probes, is_configured
from chervilstep.queries.slowstart_updates import may_send_update
from chervilstep.types import Instant, new_deadline

#: The time in which all instances together probe an upstream once.
PROBE_PERIOD_SECONDS: Final = 1
#: How long the result of a probe is valid.
RESULT_TTL_SECONDS: Final = 2
#: How often probes are assigned anew from the configuration and the fleet.
ASSIGN_PERIOD_SECONDS: Final = 0.25


@every(ASSIGN_PERIOD_SECONDS, 'plan-probes')
def assign_probes(node: Node, now: Instant) -> None:
    """Assigns to this instance the upstreams that it has to probe.

    The previous prober of an upstream may have probed it just before the
    change, so this instance waits for a whole period before its first probe.
    """
    node.probe_schedule.assign(
        assigned_probes(node, now), new_deadline(now, PROBE_PERIOD_SECONDS)
    )


def record_probe_sent(node: Node, upstream: str, now: Instant) -> None:
    """Counts a probe of ``upstream`` and schedules the next one.

    This happens before the probe is sent, so that no second one is due.
    """
    node.probe_schedule.postpone(
        upstream, new_deadline(now, PROBE_PERIOD_SECONDS)
    )
    node.counters.add('probes_sent')


def record_probe_result(
    node: Node, upstream: str, in_flight: int, now: Instant
) -> None:
    """Records the answer to a probe and sends it to every peer."""
    _record_report(node, upstream, in_flight, now)
    if may_send_update(node, now):
        charge_update(node, STATE_BYTES, now)
        node.outbox.put(EVERY_PEER, ProbeResult(upstream, in_flight))


def record_probe_failure(node: Node, upstream: str, now: Instant) -> None:
    """Counts a probe without an answer; the last result expires by itself."""
    node.counters.add('probes_failed')


@HANDLERS.register(ProbeResult.kind)
def handle_probe_result(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Records the result of a peer's probe and delays the next probe."""
    if not isinstance(message, ProbeResult):
        return
    if is_configured(node, message.upstream):
        _record_report(node, message.upstream, message.in_flight, now)
        next_at = new_deadline(now, PROBE_PERIOD_SECONDS)
        node.probe_schedule.postpone(message.upstream, next_at)


def _record_report(
    node: Node, upstream: str, in_flight: int, now: Instant
) -> None:
    report = InFlightReport(in_flight, new_deadline(now, RESULT_TTL_SECONDS))
    node.loads.upstream_load(upstream).record_report(report)
