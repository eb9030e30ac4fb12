"""Where a day is played: in virtual time or on loopback in real time with real node processes."""
