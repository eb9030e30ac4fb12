"""The command line `flintridge`, a file a command. A node never imports it."""

import sys


def start() -> None:
    """The console script."""
    try:
        from flintridge.cli.main import main
    except ModuleNotFoundError as error:  # installed for a bare node, without the extra
        if (error.name or "").split(".")[0] == "flintridge":
            raise
        print(f"flintridge: {error.name} is not installed: pip install 'flintridge[cli]'", file=sys.stderr)
        sys.exit(2)
    main(prog_name="flintridge")
