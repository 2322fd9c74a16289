"""python -m yarrowspindle: one relay, or one controller; with turns, control: what operators ask of them."""

import sys

if sys.argv[1:2] == ["turns"]:
    from yarrowspindle.program.turn_command import main as turns  # needs packages that the platform does without

    sys.exit(turns(sys.argv[2:]))

if sys.argv[1:2] == ["control"]:
    from yarrowspindle.program.control_command import main as control

    sys.exit(control(sys.argv[2:]))

from yarrowspindle.program.main import main

sys.exit(main())
