"""Commands that lend tokens of limits to peers and borrow them."""

from collections.abc import Iterable
from typing import Final, final

from chervilstep.fields import require_length, require_type
from chervilstep.hooks import HANDLERS, MESSAGES, every
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.throttling import (
    active_throttle,
    may_lend,
    wanted_loans,
)
from chervilstep.types import Instant

#: How often an instance checks whether it needs tokens.
LOAN_PERIOD_SECONDS: Final = 0.05


@MESSAGES.register('limit-loan-request')
@final
class LoanRequest(Message):
    """A message that asks a peer for one token of each of some upstreams."""

    __slots__ = ('_upstreams',)

    kind = 'limit-loan-request'
    fields = ('upstreams',)

    def __init__(self, upstreams: Iterable[str]) -> None:
        """Creates a request for tokens of the upstreams with these names."""
        self._upstreams = _require_names(upstreams)

    @property
    def upstreams(self) -> tuple[str, ...]:
        """The names of the upstreams."""
        return self._upstreams


@MESSAGES.register('limit-loan')
@final
class Loan(Message):
    """A message that lends a peer one token of each of some upstreams."""

    __slots__ = ('_upstreams',)

    kind = 'limit-loan'
    fields = ('upstreams',)

    def __init__(self, upstreams: Iterable[str]) -> None:
        """Creates a loan of tokens of the upstreams with these names."""
        self._upstreams = _require_names(upstreams)

    @property
    def upstreams(self) -> tuple[str, ...]:
        """The names of the upstreams."""
        return self._upstreams


@every(LOAN_PERIOD_SECONDS, 'limit-loans')
def request_loans(node: Node, now: Instant) -> None:
    """Asks peers for the tokens that calls need here."""
    upstreams_by_lender: dict[str, list[str]] = {}
    for upstream, lender in wanted_loans(node, now).items():
        upstreams_by_lender.setdefault(lender, []).append(upstream)
        node.throttles.by_upstream[upstream].request_loan(now)
    for lender, upstreams in upstreams_by_lender.items():
        node.outbox.put(lender, LoanRequest(upstreams))


@HANDLERS.register('limit-loan-request')
def handle_loan_request(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Lends a peer the tokens that are not needed here at the moment."""
    assert isinstance(message, LoanRequest)
    lent = [name for name in message.upstreams if may_lend(node, name, now)]
    for upstream in lent:
        node.throttles.by_upstream[upstream].spend_own_token(now)
    if lent:
        node.outbox.put(peer, Loan(lent))


@HANDLERS.register('limit-loan')
def handle_loan(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Stores the tokens that a peer has lent in time."""
    assert isinstance(message, Loan)
    for upstream in message.upstreams:
        throttle = active_throttle(node, upstream)
        # A token that arrives late is counted in a window that has passed.
        if throttle is not None and throttle.is_loan_pending(now):
            throttle.receive_loan(now)


def _require_names(names: Iterable[str]) -> tuple[str, ...]:
    texts = tuple(require_type(names, (list, tuple)))
    for name in require_length(texts):
        require_type(name, str)
    return texts
