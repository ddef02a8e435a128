"""Learns from attempts which connections can be relied on."""

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS, every
from chervilstep.node import Node
from chervilstep.paths import Condition, Path
from chervilstep.queries.trust import is_fresh, is_silence
from chervilstep.types import Instant


@ATTEMPT_END_HOOKS.register(rank=20)
def judge_path(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Takes in whether an attempt was answered or met silence."""
    name = attempt.upstream.name
    if is_silence(node, attempt, outcome):
        _judge_silence(node, attempt, outcome.ended_at)
    elif name in node.paths.by_upstream and is_fresh(node, attempt):
        if outcome.ending in {Ending.ANSWERED, Ending.SHED}:
            node.paths.path(name).decide(Condition.GOOD)


@every(period_seconds=60, name='forget-paths')
def forget_paths(node: Node, now: Instant) -> None:
    """Forgets the upstreams that the configuration no longer has."""
    services = node.snapshot.services.values()
    node.paths.keep(
        frozenset(
            upstream.name
            for service in services
            for upstream in service.upstreams
        )
    )


def _judge_silence(node: Node, attempt: Attempt, now: Instant) -> None:
    path = node.paths.path(attempt.upstream.name)
    if path.condition is Condition.GOOD:
        _distrust(node, path, attempt, now)
    elif path.is_trusted(attempt.started_at):
        # Its connection was new, so that the server itself is silent.
        path.decide(Condition.SERVER_SILENT)
        node.counters.add('paths.silent_servers')


def _distrust(node: Node, path: Path, attempt: Attempt, now: Instant) -> None:
    if not path.is_trusted(attempt.started_at):
        # Sent before the suspicion arose, it shows nothing new.
        return
    path.distrust(now)
    node.counters.add('paths.distrusted')
