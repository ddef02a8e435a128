"""The ``explain`` subcommand, which shows how a request is decided."""

import sys

from chervilstep.adapters.adminclient import JsonObject, fetch_all
from chervilstep.cli.registry import SUBCOMMANDS


@SUBCOMMANDS.register('explain')
def explain(
    admin: str, path: str, *, method: str = 'GET', customer: str = ''
) -> int:
    """Explains where a request would be sent, or why it would be refused.

    :param admin: admin address (ip:port) of the instance to query
    :param path: path of the request
    :param method: HTTP method of the request
    :param customer: name of the customer whose key the request has
    """
    query = {'path': path, 'method': method, 'customer': customer}
    lines = fetch_all((admin,), '/explain', query, _explanation_lines)[admin]
    for line in lines:
        sys.stdout.write(f'{line}\n')
    return 0


def _explanation_lines(answer: JsonObject) -> list[str]:
    steps = [str(step) for step in answer['steps']]
    return [*steps, f'=> {answer["outcome"]}']
