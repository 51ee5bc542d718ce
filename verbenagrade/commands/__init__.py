"""The programs of the project."""
