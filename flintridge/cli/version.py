"""The version of the package; packaging reads it from here too."""

VERSION = "0.1.0"
