"""Creates the servers of an instance, with the limits of their addresses."""

from collections.abc import Callable

from chervilstep.adapters.admission import new_admission
from chervilstep.adapters.buffering import RequestBuffering
from chervilstep.adapters.exchanges import (
    Handler,
    Refuse,
    RequestLimits,
    ServerOptions,
    refusal_response,
)
from chervilstep.adapters.http1 import PipelineServer
from chervilstep.exceptions import RequestError
from chervilstep.node import Node
from chervilstep.queries.partition import Address
from chervilstep.types import Instant


def new_server(
    node: Node,
    address: Address,
    clock: Callable[[], Instant],
    handler: Handler,
    limits: Callable[[], RequestLimits],
    on_refusal: Callable[[RequestError], None],
    *,
    refuse: Refuse = refusal_response,
    is_leaving: Callable[[], bool] = bool,
    requires_host: bool = True,
) -> PipelineServer:
    """Creates a server of requests, without listening yet."""
    return PipelineServer(
        handler,
        limits,
        on_refusal,
        RequestBuffering(node, clock).new_reservation,
        ServerOptions(
            new_admission(node, address, clock),
            refuse=refuse,
            is_leaving=is_leaving,
            requires_host=requires_host,
        ),
    )
