"""Small stand-ins of the platform, in process and over HTTP."""
