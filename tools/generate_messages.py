"""Generates the protobuf modules; needs requirements-generate.txt installed.

The generated code is committed, so that the build does not need protoc.
"""

import pathlib
import sys

from grpc_tools import protoc

SOURCE = (
    pathlib.Path(__file__).resolve().parent.parent
    / "packages/chicoryplank-wire/src"
)


def main() -> int:
    """Runs protoc with the plugins for messages and for grpclib stubs."""
    files = sorted(str(path) for path in SOURCE.rglob("*.proto"))
    return protoc.main(
        [
            "protoc",
            f"--proto_path={SOURCE}",
            f"--python_out={SOURCE}",
            f"--grpclib_python_out={SOURCE}",
            *files,
        ]
    )


if __name__ == "__main__":
    sys.exit(main())
