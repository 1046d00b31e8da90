"""Data classes with a low definition cost.

The decorator and functions mirror a subset of `dataclasses`; unlike there, `astuple`
doesn't convert nested objects and fields are not inherited. The module `dataclasses`
compiles the methods of each class from source text and imports `inspect`, which took
half of the startup time of the processes that carry packet flows. Here only the
constructor is compiled, when a class gets its first object; all other methods are
shared by all classes and look up the fields at run time.
"""

from collections.abc import Callable
from typing import Any, TypeVar, dataclass_transform, overload

__all__ = ["FrozenError", "Field", "astuple", "dataclass", "field", "fields", "replace"]

T = TypeVar("T")

MISSING = object()
"""Marks a field without a default."""


class FrozenError(AttributeError):
    """A field of a frozen object was assigned or deleted."""


class Field:
    """One field of a data class.

    Parameters
    ----------
    name : str
        Name of the field.
    type : str or type
        Annotation of the field.
    default : object
        Default value, `MISSING` for none.
    factory : callable or None
        Creates the default value, for values that objects must not share.
    """

    __slots__ = ("default", "factory", "name", "type")

    def __init__(
        self,
        name: str = "",
        type: Any = None,
        default: object = MISSING,
        factory: Callable[[], object] | None = None,
    ) -> None:
        self.name = name
        self.type = type
        self.default = default
        self.factory = factory


def field(*, default_factory: Callable[[], Any]) -> Any:
    """Return a field whose default is created separately for each object."""
    return Field(factory=default_factory)


def make_constructor(kind: Any) -> Callable[..., None]:
    """Compile the method `__init__` of a class, with one parameter for each field."""
    parameters, values = ["self"], []
    constants: dict[str, object] = {"MISSING": MISSING}
    for name, item in kind.fields_by_name.items():
        value = name
        if item.factory is not None:
            constants[f"make_{name}"] = item.factory
            parameters.append(f"{name}=MISSING")
            value = f"make_{name}() if {name} is MISSING else {name}"
        elif item.default is not MISSING:
            constants[f"default_{name}"] = item.default
            parameters.append(f"{name}=default_{name}")
        else:
            parameters.append(name)
        values.append(f"{name}={value}")
    source = (
        f"def __init__({', '.join(parameters)}):\n"
        f"    self.__dict__.update({', '.join(values)})\n"
    )
    exec(source, constants)  # noqa: S102 - the source contains only names of fields
    constructor: Any = constants["__init__"]
    constructor.__qualname__ = f"{kind.__qualname__}.__init__"
    return constructor


def initialize(instance: Any, *values: object, **named: object) -> None:
    """Initialize the first object of a class, after compiling the constructor.

    Later objects are initialized by the compiled constructor alone.

    Raises
    ------
    TypeError
        If values are missing, unknown or given twice.
    """
    kind = type(instance)
    kind.__init__ = make_constructor(kind)
    kind.__init__(instance, *values, **named)


def is_equal(instance: Any, other: object) -> bool:
    """Return whether two objects have the same class and equal fields."""
    if type(other) is not type(instance):
        return NotImplemented
    return instance.__dict__ == other.__dict__


def hash_fields(instance: Any) -> int:
    """Return a hash over all fields."""
    return hash(astuple(instance))


def represent(instance: Any) -> str:
    """Return the constructor call that creates an equal object."""
    values = instance.__dict__
    shown = ", ".join(f"{name}={values[name]!r}" for name in instance.field_names)
    return f"{type(instance).__qualname__}({shown})"


def reject_change(instance: Any, name: str, *value: object) -> None:
    """Reject the assignment or deletion of a field.

    Raises
    ------
    FrozenError
        Always.
    """
    raise FrozenError(f"{type(instance).__name__} is frozen: {name!r} can't be changed")


@overload
def dataclass(kind: type[T]) -> type[T]: ...


@overload
def dataclass(*, frozen: bool = False) -> Callable[[type[T]], type[T]]: ...


@dataclass_transform(field_specifiers=(field,))
def dataclass(kind: Any = None, *, frozen: bool = False) -> Any:
    """Add the methods of a data class to a class, from its annotations.

    Parameters
    ----------
    kind : type or None
        The class; None when options are given.
    frozen : bool
        Whether fields can't be changed.

    Examples
    --------
    >>> @dataclass(frozen=True)
    ... class Point:
    ...     x: int
    ...     y: int = 0
    >>> Point(1), Point(1) == Point(x=1, y=0)
    (Point(x=1, y=0), True)
    """
    if kind is None:
        return lambda decorated: add_methods(decorated, frozen)
    return add_methods(kind, frozen)


def add_methods(kind: Any, frozen: bool) -> Any:
    """Add the methods of a data class to a class and return it."""
    found = {}
    for name, annotation in kind.__dict__.get("__annotations__", {}).items():
        default = kind.__dict__.get(name, MISSING)
        if isinstance(default, Field):
            found[name] = Field(name, annotation, factory=default.factory)
            delattr(kind, name)
        else:
            found[name] = Field(name, annotation, default)
    kind.fields_by_name = found
    kind.field_names = tuple(found)
    kind.__init__ = initialize
    kind.__eq__ = is_equal
    kind.__repr__ = represent
    kind.__hash__ = hash_fields if frozen else None
    if frozen:
        kind.__setattr__ = reject_change
        kind.__delattr__ = reject_change
    return kind


def fields(kind: Any) -> tuple[Field, ...]:
    """Return the fields of a data class, in order."""
    return tuple(kind.fields_by_name.values())


def astuple(instance: Any) -> tuple:
    """Return the values of all fields, in order; nested objects are not converted."""
    values = instance.__dict__
    return tuple([values[name] for name in instance.field_names])


def replace(instance: T, **changes: Any) -> T:
    """Return a copy with some fields changed.

    Raises
    ------
    TypeError
        If a field is unknown.
    """
    copy: Any = object.__new__(type(instance))
    copy.__dict__.update(instance.__dict__)
    copy.__dict__.update(changes)
    if len(copy.__dict__) != len(copy.field_names):
        raise TypeError(
            f"{type(instance).__name__} has an unknown field among {list(changes)}"
        )
    return copy
