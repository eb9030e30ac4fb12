"""What goes wrong, and when."""
