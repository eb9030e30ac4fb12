"""The version, which packaging reads from here too."""

VERSION = "0.1.0"
