"""`python -m yarrowspindle`: run a relay or a controller; with `turns` or `control`, run an operators' command."""

import sys

if sys.argv[1:2] == ["turns"]:
    from yarrowspindle.commands.maintenance import main as turns  # needs packages that the relay itself does not

    sys.exit(turns(sys.argv[2:]))

if sys.argv[1:2] == ["control"]:
    from yarrowspindle.commands.configuration import main as control

    sys.exit(control(sys.argv[2:]))

from yarrowspindle.daemon.main import main

sys.exit(main())
