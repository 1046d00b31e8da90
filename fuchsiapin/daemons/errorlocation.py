"""Source location of exceptions."""

__all__ = ["error_location"]


def error_location(error: BaseException) -> str:
    """Return where an exception was raised: module, line and function."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    code = trace.tb_frame.f_code
    module = code.co_filename.rpartition("/")[2].removesuffix(".py")
    return f"{module}:{trace.tb_lineno} {code.co_name}"
