"""Many runs: compared, swept over a parameter, searched for failures, and shrunk to small ones.

Nothing is imported here: a worker that takes its node from another tree must do so before anything else.
"""
