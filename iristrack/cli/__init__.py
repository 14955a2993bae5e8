"""The sub-commands, one file each. A file is imported only when its command is called."""
