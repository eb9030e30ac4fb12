"""An independent review: cases that show faults, each with a test that fails."""
