"""Status of a site: active version, instances and capacity."""

import asyncio
import dataclasses

from chicoryplank.configuration import SnapshotReader, compute_needs
from chicoryplank.store import Store
from chicoryplank_entry._platform import Target, make_capacity


async def read_status(target: Target, store: Store) -> dict[str, object]:
    """Returns the status of a site in JSON form."""
    reader = SnapshotReader()
    _, instances = await asyncio.gather(
        reader.refresh(store), target.fetch_instances()
    )
    snapshot, root = reader.snapshot, reader.root
    listed = {item.instance for item in instances}
    leaving = {item.instance for item in instances if item.leaving}
    leaving |= snapshot.leaving & listed
    return {
        "version": snapshot.version,
        "operator": root.operator,
        "time": root.time and root.time.isoformat(),
        "instances": [
            {
                **dataclasses.asdict(item),
                "leaving": item.instance in leaving,
            }
            for item in instances
        ],
        "live": len(listed - leaving),
        "leaving": sorted(leaving),
        "gone": sorted(snapshot.leaving - listed),
        "evacuated": sorted(snapshot.evacuated),
        "groups": [
            dataclasses.asdict(need)
            for need in compute_needs(snapshot, make_capacity(instances))
        ],
    }


def format_status(status: dict[str, object]) -> str:
    """Formats a status as text for operators."""
    lines = [f"version {status['version']}"]
    if status["time"]:
        lines[0] += f", confirmed by {status['operator']} at {status['time']}"
    lines.append(
        f"instances: {status['live']} live, {len(status['leaving'])} leaving"
    )
    lines += [
        f"  {item['instance']} {item['role']} {item['zone']} "
        f"{item['deployment'] or '-'} "
        f"{'leaving' if item['leaving'] else 'live'}"
        for item in status["instances"]
    ]
    lines += [
        f"  {name} gone, can be removed from leaving" for name in status["gone"]
    ]
    for zone in status["evacuated"]:
        replicas = sum(
            item["zone"] == zone and bool(item["deployment"])
            for item in status["instances"]
        )
        lines.append(f"zone {zone} evacuated, {replicas} replicas")
    lines.append("groups:")
    for need in status["groups"]:
        is_short = (
            need["available_replicas"] < need["needed_replicas"]
            or need["available_tokens_per_s"] < need["needed_tokens_per_s"]
        )
        lines.append(
            f"  {need['group']}: {need['available_replicas']} of "
            f"{need['needed_replicas']} needed replicas, "
            f"{need['available_tokens_per_s']:g} of "
            f"{need['needed_tokens_per_s']:g} needed tokens/s"
            + (", SHORT" if is_short else "")
        )
    return "\n".join(lines)
