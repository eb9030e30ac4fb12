"""What people read: tables in the terminal, and HTML files that need nothing beside them."""
