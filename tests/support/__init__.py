"""Shared test helpers: manual clocks, scripted servers, harnesses and configurations."""
