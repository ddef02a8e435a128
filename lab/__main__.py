"""The command line of the lab."""

import asyncio
import json
import pathlib
import sys

import defopt
import uvloop

from lab.demo import run_demo
from lab.platform import serve_platform
from lab.upstream import new_upstreams, serve_upstreams


def demo() -> int:
    """Start a small deployment and send calls through it."""
    return run_demo()


def upstream(spec: str) -> int:
    """Serve the upstreams that a specification lists.

    :param spec: path of a JSON file, as lab/deployment.py writes it
    """
    read = json.loads(pathlib.Path(spec).read_text())
    hosted = new_upstreams(
        read['ports'], read['traits'], read['connection_limit']
    )
    uvloop.run(serve_upstreams(hosted, read['control_port']))
    return 0


def platform(port: int, control_port: int) -> int:
    """Serve the platform's read-and-watch service.

    :param port: where readers connect to
    :param control_port: where the lab sets values and brings faults about
    """
    asyncio.run(serve_platform(port, control_port))
    return 0


def main() -> int:
    """Runs the command that the arguments name."""
    status: int = defopt.run([demo, upstream, platform])
    return status


if __name__ == '__main__':
    sys.exit(main())
