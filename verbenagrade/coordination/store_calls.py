"""Wraps all calls of the port to the platform's store."""

from collections.abc import Awaitable, Callable
from typing import ParamSpec, TypeVar

from verbenagrade.coordination.ports import PlatformStore
from verbenagrade.exceptions import (
    EraChangedError,
    HistoryLostError,
    PlatformError,
    ResponseDeclinedError,
)

__all__ = ["Arguments", "Call", "Result", "count_failures", "wrap_calls"]

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")
Call = Callable[Arguments, Awaitable[Result]]


def wrap_calls(store: PlatformStore, wrap: Callable[[Call], Call]) -> PlatformStore:
    """Returns a port whose calls are those of another one, wrapped by a function."""
    return PlatformStore(
        wrap(store.read),
        wrap(store.scan),
        wrap(store.commit),
        wrap(store.load),
        wrap(store.follow),
    )


def count_failures(
    store: PlatformStore, on_failure: Callable[[], None]
) -> PlatformStore:
    """Returns a port that calls ``on_failure`` for each call without a response.

    Calls that the store answered, but whose response is of no use, do not count.
    """

    def wrap(call: Call) -> Call:
        """Returns the call with a count of its failures."""

        async def counted(*args: Arguments.args, **kwargs: Arguments.kwargs) -> Result:
            """Performs the call and counts its failure."""
            try:
                return await call(*args, **kwargs)
            except (EraChangedError, HistoryLostError, ResponseDeclinedError):
                raise
            except PlatformError:
                on_failure()
                raise

        return counted

    return wrap_calls(store, wrap)
