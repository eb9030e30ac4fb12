"""`python -m flintridge.cli`: the command line if the console script is not installed."""

from flintridge.cli import start

if __name__ == "__main__":
    start()
