"""Published protocols towards the outside: fabric, callers, backend servers."""
