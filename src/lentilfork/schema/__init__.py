"""Message schemas, the code generated from them and the settings' JSON Schema."""
