"""Source location of exceptions."""

__all__ = ["error_location", "error_trace"]

MAX_CALLS = 10


def error_trace(error: BaseException) -> list[str]:
    """Return the innermost calls that led to an exception: module, line, function."""
    calls = []
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        module = code.co_filename.rpartition("/")[2].removesuffix(".py")
        calls.append(f"{module}:{trace.tb_lineno} {code.co_name}")
        trace = trace.tb_next
    return calls[-MAX_CALLS:]


def error_location(error: BaseException) -> str:
    """Return where an exception was raised: module, line and function."""
    calls = error_trace(error)
    return calls[-1] if calls else ""
