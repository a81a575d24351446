"""At-most-once execution: claims replicated over agents before a request runs."""
