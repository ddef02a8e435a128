"""A client of the admin endpoints, for the command line."""

import asyncio
import contextlib
import json
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from chervilstep.adapters.streams import NumericResolver
from chervilstep.exceptions import OperatorError

REQUEST_TIMEOUT_SECONDS: Final = 5

#: A decoded JSON object.
JsonObject = Mapping[str, Any]
Decoded = TypeVar('Decoded')

#: What a program that is no instance, or one of another version, may cause.
_DECODE_ERRORS: Final = (
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def fetch_all(
    addresses: tuple[str, ...],
    path: str,
    query: Mapping[str, str],
    decode: Callable[[JsonObject], Decoded],
) -> dict[str, Decoded]:
    """Runs ``fetch_each`` in a loop of its own."""
    return asyncio.run(fetch_each(addresses, path, query, decode))


async def fetch_each(
    addresses: tuple[str, ...],
    path: str,
    query: Mapping[str, str],
    decode: Callable[[JsonObject], Decoded],
) -> dict[str, Decoded]:
    """Fetches ``path`` from each admin address; returns answers by address.

    ``decode`` converts the JSON object of an answer to what the caller needs.

    Raises:
        OperatorError: An instance cannot be reached, answers with an error or
            sends something else than the expected object.
    """
    client = SimpleAsyncHTTPClient(
        force_instance=True, resolver=NumericResolver()
    )
    with contextlib.closing(client):
        bodies = await asyncio.gather(
            *(_fetch(client, address, path, query) for address in addresses)
        )
    return {
        address: _decode(address, body, decode)
        for address, body in zip(addresses, bodies, strict=True)
    }


def _decode(
    address: str, body: bytes, decode: Callable[[JsonObject], Decoded]
) -> Decoded:
    try:
        return decode(_parse_object(body))
    except _DECODE_ERRORS as error:
        raise OperatorError(f'{address}: unexpected answer: {error!r}') from (
            error
        )


def _parse_object(body: bytes) -> JsonObject:
    answer = json.loads(body)
    if not isinstance(answer, dict):
        raise TypeError('not a JSON object')
    return answer


async def _fetch(
    client: SimpleAsyncHTTPClient,
    address: str,
    path: str,
    query: Mapping[str, str],
) -> bytes:
    url = f'http://{address}{path}?{urlencode(query)}'
    try:
        response = await client.fetch(
            url,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            # Admin endpoints do not redirect.
            follow_redirects=False,
        )
    except (HTTPClientError, OSError) as error:
        raise OperatorError(f'{address}: {error}') from error
    return response.body
