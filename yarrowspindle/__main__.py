"""python -m yarrowspindle: one relay; python -m yarrowspindle turns: what operators ask of one."""

import sys

if sys.argv[1:2] == ["turns"]:
    from yarrowspindle.program.turn_command import main as turns  # needs packages that the platform does without

    sys.exit(turns(sys.argv[2:]))

from yarrowspindle.program.main import main

sys.exit(main())
