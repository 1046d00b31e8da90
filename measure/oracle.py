"""Check of the guarantees for each request in a simulated world."""

from measure.world import World

__all__ = ["Oracle"]


class Oracle:
    """Checks each request's executions at upstreams against its caller's answer.

    Parameters
    ----------
    world : World
        The world that is checked.
    """

    def __init__(self, world: World) -> None:
        self.world = world

    def runs(self) -> dict[str, int]:
        """Return the number of executions of each request, by its name."""
        counts: dict[str, int] = {}
        for upstream in self.world.upstreams:
            for execution in upstream.executions:
                counts[execution["body"]] = counts.get(execution["body"], 0) + 1
        return counts

    def faults(self) -> list[str]:
        """Return a description of every violation found."""
        runs = self.runs()
        found = [
            f"{name} ran {count} times" for name, count in runs.items() if count > 1
        ]
        for name, told in self.world.tally.told.items():
            if told == "refused" and runs.get(name):
                found.append(f"{name} was refused as not run, but ran")
            if told == "done" and not runs.get(name):
                found.append(f"{name} was answered as done, but never ran")
        if self.world.tally.wrong:
            found.append(f"{self.world.tally.wrong} wrong answers")
        return found
