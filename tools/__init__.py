"""Developer tools: local deployments, demo, test runner, fuzzer, generators."""
