"""Logs as JSON lines on standard error."""

import logging
import sys
import traceback

import structlog


def configure_logs(level, node_id, stream=None):
    """Configure structlog to write JSON lines of at least `level`.

    They are written to `stream`, by default standard error.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            # Added here and not in a context variable, since each thread has its own.
            lambda logger, method, fields: {"node_id": node_id, **fields},
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    _forward("waitress", logging.ERROR)
    _forward("pykka", logging.INFO)
    return structlog.get_logger()


def log_exception(event, error, **fields):
    """Log an unexpected exception with its stack frames.

    Its text is omitted, since it may contain data of a caller.
    """
    frames = [
        f"{frame.filename}:{frame.lineno} {frame.name}"
        for frame in traceback.extract_tb(error.__traceback__)
    ]
    name = type(error).__name__
    structlog.get_logger().error(event, error=name, frames=frames, **fields)


class _ExceptionHandler(logging.Handler):
    def emit(self, record):
        error = record.exc_info[1] if record.exc_info else None
        if error is not None:
            log_exception("unexpected exception", error, library=record.name)


def _forward(library, level):
    """Log the exceptions that a library catches, and no other messages of it."""
    logger = logging.getLogger(library)
    logger.setLevel(level)
    logger.propagate = False
    logger.handlers = [_ExceptionHandler()]
