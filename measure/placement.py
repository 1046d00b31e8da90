"""Print the share of flows whose owner changes when an upstream joins or leaves."""

from fuchsiapin.messages import Member
from fuchsiapin.ranking import flow_key, top_ranked_finder

__all__ = ["main", "moved_shares"]

FLOWS = 100_000
SIZES = (3, 7, 13)


def moved_shares(count: int) -> tuple[float, float]:
    """Return the shares that move when one joins, or leaves, `count` members."""
    members = [
        Member(f"m-{n}", 1, "10.0.0.1", 1, f"zone-{n % 3}", 2_000, "live")
        for n in range(count + 1)
    ]
    keys = [flow_key("swapdesk", f"10.{n >> 8}.{n & 255}.1", n) for n in range(FLOWS)]
    owner_before, owner_after_join = (
        top_ranked_finder(members[:-1]),
        top_ranked_finder(members),
    )
    owner_after_leave = top_ranked_finder(members[1:-1])
    join_share = (
        sum(owner_before(key) is not owner_after_join(key) for key in keys) / FLOWS
    )
    leave_share = (
        sum(owner_before(key) is not owner_after_leave(key) for key in keys) / FLOWS
    )
    return join_share, leave_share


def main() -> None:
    """Print the shares and their bounds."""
    for count in SIZES:
        join_share, leave_share = moved_shares(count)
        bounds = 1 / (count + 1), 1 / count
        print(f"{count} members: join {join_share:.4f}, 1/(n+1) = {bounds[0]:.4f}")
        print(f"{count} members: leave {leave_share:.4f}, 1/n = {bounds[1]:.4f}")


if __name__ == "__main__":
    main()
