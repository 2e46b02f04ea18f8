"""Connection pools whose responses raise an error if they are cut."""

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from .connections import WholeHeadResponse


class _Connection(HTTPConnection):
    response_class = WholeHeadResponse


class _SecureConnection(HTTPSConnection):
    response_class = WholeHeadResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


# For the attribute `pool_classes_by_scheme` of a `urllib3.PoolManager`.
WHOLE_RESPONSE_POOLS = {"http": _Pool, "https": _SecurePool}
