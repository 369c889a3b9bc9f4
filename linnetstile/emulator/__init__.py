"""The emulator: what a relay serves, at sizes that no bench has. Never imported by the relay itself."""
