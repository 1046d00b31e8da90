"""Tools of the repository: starter, demo, test runner, fuzzer."""
