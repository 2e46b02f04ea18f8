"""A relay of waitress and urllib3 without further logic, as baseline for the node.

``python -m sequoiaglade_bench._plain_relay PORT URL``
"""

import sys

import urllib3
import waitress

THREADS = 512


def make_application(url):
    """Return the WSGI application that relays each request to `url`."""
    pool = urllib3.PoolManager(maxsize=THREADS, retries=False)

    def application(environ, start_response):
        response = pool.request(
            environ["REQUEST_METHOD"],
            url + environ["PATH_INFO"],
            body=environ["wsgi.input"].read(),
            headers={"X-Request-Id": environ.get("HTTP_X_REQUEST_ID", "")},
            preload_content=False,
        )
        start_response("200 OK", [("Content-Type", response.headers["Content-Type"])])
        yield from response.read_chunked()
        response.release_conn()

    return application


if __name__ == "__main__":
    waitress.serve(
        make_application(sys.argv[2]),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        threads=THREADS,
        connection_limit=4096,
        asyncore_use_poll=True,
    )
