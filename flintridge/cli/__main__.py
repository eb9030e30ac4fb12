"""`python -m flintridge.cli`: the command line where the console script is not installed."""

from flintridge.cli import start

if __name__ == "__main__":
    start()
