"""FastAPI dependency that passes a route its Placement.

@app.get("/plan")
async def plan(placement: Placed) -> StreamingResponse: ...
"""

from __future__ import annotations

from typing import Annotated

from fastapi import Depends
from starlette.requests import HTTPConnection

from yarrowspindle.library.placement import Placement
from yarrowspindle.middleware.asgi import SCOPE_KEY


def placement_of(connection: HTTPConnection) -> Placement:
    """Return the placement of the scope of a connection.

    Raises:
        LookupError: The middleware did not place the scope, because it is not installed or `long_lived` excludes it.
    """
    placement = connection.scope.get(SCOPE_KEY)
    if not isinstance(placement, Placement):
        raise LookupError("this scope was not placed: add PlacementMiddleware, or have its long_lived select the scope")
    return placement


Placed = Annotated[Placement, Depends(placement_of)]
