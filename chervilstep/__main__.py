"""Runs the command line with ``python -m chervilstep``."""

import sys

from chervilstep.cmdline import main

if __name__ == '__main__':
    sys.exit(main())
