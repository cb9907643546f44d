"""Clients in a process of their own: requests at an interval.

Prints one JSON line when it starts and one for each answer.
"""

import argparse
import asyncio
import itertools
import json
import sys
import time

import caller


async def send_regularly(
    address: str,
    kind: str,
    interval_s: float,
    length_s: float,
    *,
    body: bytes = b"",
    deadline_ms: int = 8000,
) -> list[caller.Answer]:
    """Sends requests at an interval and returns their answers.

    Args:
        address: Host and port of an entry.
        kind: First part of the path.
        interval_s: Time between two requests, in seconds.
        length_s: Time in which requests are sent, in seconds.
        body: Body of each request.
        deadline_ms: Time that a client waits, in milliseconds.
    """
    tasks = []
    end_s = time.time() + length_s
    for number in itertools.count():
        if time.time() >= end_s:
            break
        request = caller.send(
            address,
            f"/{kind}/{number}",
            f"{kind[0]}{number:015x}",
            body=body,
            deadline_ms=deadline_ms,
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(interval_s)
    return list(await asyncio.gather(*tasks))


def describe(answer: caller.Answer) -> str:
    """Returns a line about an answer."""
    return (
        f"{answer.request_id} status {answer.status}, {answer.size} bytes, "
        f"after {answer.ended_s - answer.sent_s:.2f} s, sent at Unix time "
        f"{answer.sent_s:.3f} {answer.problem}"
    )


async def _run(options: argparse.Namespace) -> None:
    print(json.dumps({"starts": True}), flush=True)
    answers = await send_regularly(
        options.address, options.kind, options.interval_s, options.length_s
    )
    for answer in answers:
        print(json.dumps({"answer": describe(answer)}))
    sys.stdout.flush()


def main() -> None:
    """Runs the clients with the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("kind")
    parser.add_argument("interval_s", type=float)
    parser.add_argument("length_s", type=float)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
