"""Commands that update the trust in connections to upstreams."""

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.connections import ConnectionTrust, TrustState
from chervilstep.hooks import ATTEMPT_END_HOOKS, every
from chervilstep.node import Node
from chervilstep.queries.connections import is_silence, used_fresh_connection
from chervilstep.types import Instant


@ATTEMPT_END_HOOKS.register(rank=20)
def update_trust(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Updates the trust in connections after the outcome of an attempt."""
    name = attempt.upstream.name
    if is_silence(node, attempt, outcome):
        _record_silence(node, attempt, outcome.ended_at)
    elif name in node.connection_trust.by_upstream and used_fresh_connection(
        node, attempt
    ):
        if outcome.ending in {Ending.ANSWERED, Ending.SHED}:
            node.connection_trust.get_or_create(name).record_conclusion(
                TrustState.GOOD
            )


@every(period_seconds=60, name='forget-paths')
def discard_stale_trust(node: Node, now: Instant) -> None:
    """Discards the trust records of upstreams that were removed."""
    services = node.snapshot.services.values()
    node.connection_trust.retain(
        frozenset(
            upstream.name
            for service in services
            for upstream in service.upstreams
        )
    )


def _record_silence(node: Node, attempt: Attempt, now: Instant) -> None:
    trust = node.connection_trust.get_or_create(attempt.upstream.name)
    if trust.state is TrustState.GOOD:
        _distrust(node, trust, attempt, now)
    elif trust.is_trusted(attempt.started_at):
        # The connection was new, so the server is at fault.
        trust.record_conclusion(TrustState.SERVER_SILENT)
        node.counters.add('paths.silent_servers')


def _distrust(
    node: Node, trust: ConnectionTrust, attempt: Attempt, now: Instant
) -> None:
    if not trust.is_trusted(attempt.started_at):
        # The attempt started before the last silence: no new evidence.
        return
    trust.distrust(now)
    node.counters.add('paths.distrusted')
