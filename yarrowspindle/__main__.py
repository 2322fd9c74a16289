"""python -m yarrowspindle: one relay."""

import sys

from yarrowspindle.program.main import main

sys.exit(main())
