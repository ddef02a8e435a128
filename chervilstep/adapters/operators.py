"""Asks running instances on behalf of an operator's command."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import urlencode

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from chervilstep.adapters.streams import NumericResolver
from chervilstep.exceptions import OperatorError

ASK_SECONDS: Final = 5

#: A decoded JSON object.
JsonObject = Mapping[str, Any]


def ask_all(
    addresses: tuple[str, ...], path: str, query: Mapping[str, str]
) -> dict[str, JsonObject]:
    """Asks each admin address for ``path``; returns the JSON by address.

    Raises:
        OperatorError: An instance did not answer.
    """
    return asyncio.run(_ask_all(addresses, path, query))


async def _ask_all(
    addresses: tuple[str, ...], path: str, query: Mapping[str, str]
) -> dict[str, JsonObject]:
    client = SimpleAsyncHTTPClient(
        force_instance=True, resolver=NumericResolver()
    )
    answers = await asyncio.gather(
        *(_ask(client, address, path, query) for address in addresses)
    )
    client.close()
    return dict(zip(addresses, answers, strict=True))


async def _ask(
    client: SimpleAsyncHTTPClient,
    address: str,
    path: str,
    query: Mapping[str, str],
) -> JsonObject:
    url = f'http://{address}{path}?{urlencode(query)}'
    try:
        response = await client.fetch(url, request_timeout=ASK_SECONDS)
    except (HTTPClientError, OSError) as error:
        raise OperatorError(f'{address}: {error}') from error
    decoded: JsonObject = json.loads(response.body)
    return decoded
