#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of deploy/balancer.toml. They need the standard library only.
# Case 10 switches on the relay's own QUIC front, which needs requirements-quic.txt beside what the deploy file installs;
# where that cannot be installed, case 10 exits with 2.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -c "import aioquic" 2>/dev/null || .venv/bin/pip -q install -r requirements-quic.txt ||
    echo "requirements-quic.txt cannot be installed: case 10 will not run" >&2
for folder in review/common2 review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$folder" || .venv/bin/python -m py_compile "$folder"/*.py || exit 1
done
