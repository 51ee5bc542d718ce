"""Stand-ins for the platform, engines and plain services, each run as a process."""
