"""Reports of runs and experiments: tables for the terminal and self-contained HTML files."""
