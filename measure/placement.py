"""Print the share of flows whose owner changes when an upstream joins or leaves."""

from fuchsiapin.messages import Member
from fuchsiapin.ranking import flow_key, top_ranked_finder

__all__ = ["main", "moved_share"]

FLOWS = 100_000
SIZES = (3, 7, 13)


def moved_share(count: int) -> tuple[float, float]:
    """Return the shares that move when one joins, or leaves, `count` members."""
    members = [
        Member(f"m-{n}", 1, "10.0.0.1", 1, f"zone-{n % 3}", 2_000, "live")
        for n in range(count + 1)
    ]
    keys = [flow_key("swapdesk", f"10.{n >> 8}.{n & 255}.1", n) for n in range(FLOWS)]
    small, large = top_ranked_finder(members[:-1]), top_ranked_finder(members)
    less = top_ranked_finder(members[1:-1])
    joined = sum(small(key) is not large(key) for key in keys) / FLOWS
    left = sum(small(key) is not less(key) for key in keys) / FLOWS
    return joined, left


def main() -> None:
    """Print the shares and their bounds."""
    for count in SIZES:
        joined, left = moved_share(count)
        bounds = 1 / (count + 1), 1 / count
        print(f"{count} members: join {joined:.4f}, 1/(n+1) = {bounds[0]:.4f}")
        print(f"{count} members: leave {left:.4f}, 1/n = {bounds[1]:.4f}")


if __name__ == "__main__":
    main()
