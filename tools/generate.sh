#!/usr/bin/env bash
# Generates the dataclasses from the schemas. The build does not run this script.
set -euo pipefail
cd "$(dirname "$0")/.."

generate() {
  "${PYTHON:-.venv/bin/python}" -m datamodel_code_generator \
    --input "fuchsiapin/schema/$1.json" --input-file-type jsonschema \
    --output "fuchsiapin/$2.py" \
    --output-model-type dataclasses.dataclass --frozen-dataclasses \
    --strict-nullable --use-schema-description \
    --use-standard-collections --use-union-operator \
    --enum-field-as-literal all --target-python-version 3.11 --disable-timestamp \
    --custom-file-header "\"\"\"$3\"\"\"" \
    --formatters ruff-format
}

generate messages messages \
  "Messages, stored objects, events and effects, generated from the schema."
generate settings settingsmodel "Settings of a process, generated from the schema."
generate inputs inputs "Asset register and rules, generated from the schema."
generate flows flows/messages \
  "Messages between the processes that carry packet flows, generated from the schema."
# Standard dataclasses are slow to define, which would lengthen the start on the
# platform (docs/design.md).
sed -i 's/^from dataclasses import/from fuchsiapin.lightclasses import/' fuchsiapin/flows/messages.py
ruff check --quiet --select I --fix fuchsiapin/{messages,settingsmodel,inputs,flows/messages}.py
