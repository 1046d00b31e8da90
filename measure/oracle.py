"""What must hold of each request in a simulated world."""

from measure.world import World

__all__ = ["Oracle"]


class Oracle:
    """What must hold of each request, told from executions and answers.

    Parameters
    ----------
    world : World
        The world that is checked.
    """

    def __init__(self, world: World) -> None:
        self.world = world

    def runs(self) -> dict[str, int]:
        """Return how often each request ran, by its name."""
        counts: dict[str, int] = {}
        for upstream in self.world.upstreams:
            for execution in upstream.executions:
                counts[execution["body"]] = counts.get(execution["body"], 0) + 1
        return counts

    def faults(self) -> list[str]:
        """Return every broken promise found, empty when all hold."""
        runs = self.runs()
        found = [
            f"{name} ran {count} times" for name, count in runs.items() if count > 1
        ]
        for name, told in self.world.tally.outcomes.items():
            if told == "refused" and runs.get(name):
                found.append(f"{name} was told not run, but ran")
            if told == "done" and not runs.get(name):
                found.append(f"{name} was told done, but never ran")
        if self.world.tally.wrong:
            found.append(f"{self.world.tally.wrong} wrong answers")
        return found
