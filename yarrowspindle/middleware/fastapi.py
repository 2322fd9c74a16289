"""A FastAPI dependency that hands a handler its Placement.

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
    """Returns the placement of a scope. Raises LookupError where it was not placed: `long_lived` says which are."""
    placement = connection.scope.get(SCOPE_KEY)
    if not isinstance(placement, Placement):
        raise LookupError("this scope was not placed: add PlacementMiddleware, and see its long_lived")
    return placement


Placed = Annotated[Placement, Depends(placement_of)]
