"""The executables: decision cores connected to sockets, timers and HTTP."""
