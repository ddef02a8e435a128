"""A load balancer for servers whose load shifts in milliseconds."""

from chervilstep.version import __version__

__all__ = ('__version__',)
