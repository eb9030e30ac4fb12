"""The command line `flintridge`, with one file per command. A node never imports it."""

import sys


def start() -> None:
    """Entry point of the console script."""
    try:
        from flintridge.cli.main import main
    except ModuleNotFoundError as error:  # installed only for running a node, without the extra `cli`
        if (error.name or "").split(".")[0] == "flintridge":
            raise
        print(f"flintridge: {error.name} is not installed: pip install 'flintridge[cli]'", file=sys.stderr)
        sys.exit(2)
    main(prog_name="flintridge")
