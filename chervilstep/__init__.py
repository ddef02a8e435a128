"""A load balancer for upstreams whose load changes in milliseconds."""

from chervilstep.version import __version__

__all__ = ('__version__',)
