"""Adapter to the users' platform: its names, wire formats and HTTP calls.

The package only translates between the platform's formats and the project's
types; it makes no routing or budget decisions. ``store`` is the client of the
platform's store, ``documents`` decodes the documents that operators and endpoints
write to it, and ``headers`` translates the headers of calls and responses. Only the
modules in ``verbenagrade.commands`` import this package.
"""

from verbenagrade.platform.documents import DOCUMENT_FORMAT
from verbenagrade.platform.headers import CALL_FORMAT
from verbenagrade.platform.store import store_port

__all__ = ["CALL_FORMAT", "DOCUMENT_FORMAT", "store_port"]
