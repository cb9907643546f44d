"""Client of the platform's instance list."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta

import aiosonic

from chicoryplank.configuration import is_address
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.process_state import Instance
from chicoryplank_wire.http import HTTP_FAILURES, make_client
from chicoryplank_wire.peers import is_valid_name

_HTTP_OK = 200


def parse_instances(document: object) -> tuple[Instance, ...]:
    """Parses the JSON document of the instance list.

    Malformed items are logged and left out, so that one of them does not make
    the whole list unusable.

    Raises:
        ValueError: If the document does not have the expected structure, or if
            no item of it is usable.
    """
    try:
        items = list(document["instances"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed instance list: {error!r}") from error
    instances = tuple(
        instance
        for instance in map(_parse_instance, items)
        if instance is not None
    )
    if items and not instances:
        raise ValueError(f"all {len(items)} instances are malformed")
    if len(instances) < len(items):
        emit(
            Event.INSTANCE_LIST_UNAVAILABLE,
            error=f"{len(items) - len(instances)} malformed instances ignored",
        )
    return instances


def _parse_instance(item: object) -> Instance | None:
    """Returns an instance of the list; None if it is malformed."""
    if not isinstance(item, Mapping):
        return None
    instance = Instance(
        InstanceId(item.get("instance")),
        item.get("role"),
        ZoneId(item.get("zone")),
        item.get("address"),
        item.get("caller_address", ""),
        item.get("deployment", ""),
        bool(item.get("leaving", False)),
    )
    return instance if _is_usable(instance) else None


def _is_usable(instance: Instance) -> bool:
    texts = (instance.instance, instance.role, instance.zone)
    return (
        all(isinstance(text, str) for text in (*texts, instance.deployment))
        and is_valid_name(instance.instance)
        and is_address(instance.address)
        and (
            instance.caller_address == "" or is_address(instance.caller_address)
        )
    )


async def fetch_instances(
    address: str,
    timeout: timedelta,
    client: aiosonic.HTTPClient | None = None,
) -> tuple[Instance, ...]:
    """Fetches the instance list from the platform.

    Args:
        address: Host and port of the instance list service.
        timeout: Maximum time to wait for the response.
        client: HTTP client to use; by default one is created for this call.

    Raises:
        ChicoryplankError: With MEMBER_UNREACHABLE if there is no valid
            response.
    """
    own_client = client is None
    client = client or make_client(1)
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            response = await client.get(f"http://{address}/instances")
            if response.status_code != _HTTP_OK:
                raise ValueError(f"status {response.status_code}")
            return parse_instances(await response.json())
    except (*HTTP_FAILURES, RecursionError) as error:
        raise ChicoryplankError(
            ErrorCode.MEMBER_UNREACHABLE,
            f"instance list could not be fetched from {address}: {error!r}",
            retry_after=timedelta(seconds=1),
        ) from error
    finally:
        if own_client:
            await client.aclose()
