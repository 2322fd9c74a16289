"""python -m yarrowspindle: one relay, or one controller; with turns, control: what operators ask of them."""

import sys

if sys.argv[1:2] == ["turns"]:
    from yarrowspindle.commands.maintenance import main as turns  # needs packages that the platform does without

    sys.exit(turns(sys.argv[2:]))

if sys.argv[1:2] == ["control"]:
    from yarrowspindle.commands.configuration import main as control

    sys.exit(control(sys.argv[2:]))

from yarrowspindle.daemon.main import main

sys.exit(main())
