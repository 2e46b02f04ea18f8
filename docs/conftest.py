"""Gives the examples of the docs a small fleet to talk to."""

import json

import openai
import pytest
import urllib3

from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import restockers_document, restockers_endpoints


@pytest.fixture(scope="session")
def fleet():
    """A fleet of two nodes and two runners with the restockers' document."""
    with Fleet(2, restockers_endpoints(2), restockers_document()) as running:
        yield running


@pytest.fixture(autouse=True)
def examples(doctest_namespace, request):
    """Names that the examples use: client, url, key, http and fleet."""
    if not request.node.name.endswith(".md"):
        return
    fleet = request.getfixturevalue("fleet")
    key = fleet.key_by_workspace["salina"]
    url = fleet.nodes[0].url
    doctest_namespace.update(
        client=openai.OpenAI(base_url=f"{url}/v1", api_key=key, max_retries=0),
        fleet=fleet,
        http=urllib3.PoolManager(retries=False),
        json=json,
        key=key,
        url=url,
    )
