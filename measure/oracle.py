"""Check of the promises for each request in a simulated world."""

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

    def execution_counts(self) -> dict[str, int]:
        """Return the number of executions of each request, by its name."""
        counts: dict[str, int] = {}
        for upstream in self.world.upstreams:
            for execution in upstream.executions:
                counts[execution["body"]] = counts.get(execution["body"], 0) + 1
        return counts

    def find_violations(self) -> list[str]:
        """Return a description of every violation found."""
        counts = self.execution_counts()
        found = [
            f"{name} ran {count} times" for name, count in counts.items() if count > 1
        ]
        for name, outcome in self.world.tally.outcomes.items():
            if outcome == "refused" and counts.get(name):
                found.append(f"{name} was refused as not run, but ran")
            if outcome == "done" and not counts.get(name):
                found.append(f"{name} was answered as done, but never ran")
        if self.world.tally.wrong:
            found.append(f"{self.world.tally.wrong} wrong answers")
        return found
