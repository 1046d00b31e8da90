#!/usr/bin/env bash
# Regenerates fuchsiapin/messages.py from the schema. The build never runs this.
set -euo pipefail
cd "$(dirname "$0")/.."
"${PYTHON:-.venv/bin/python}" -m datamodel_code_generator \
  --input fuchsiapin/schema/messages.json --input-file-type jsonschema \
  --output fuchsiapin/messages.py \
  --output-model-type dataclasses.dataclass --frozen-dataclasses \
  --strict-nullable --use-schema-description --use-standard-collections --use-union-operator \
  --enum-field-as-literal all --target-python-version 3.11 --disable-timestamp \
  --custom-file-header '"""Messages, stored objects, events and effects, generated from the schema."""' \
  --formatters ruff-format
