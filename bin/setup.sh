# Sourced by ./run: creates the virtual environment from the pinned requirements.
# It is updated whenever a requirement or the metadata of a package changes.
set_up() {
  local wanted
  wanted=$(cat requirements.txt packages/*/pyproject.toml | sha256sum)
  if [ "$(cat .venv/.ready 2>/dev/null)" = "$wanted" ]; then
    return 0
  fi
  echo "setting up .venv" >&2
  python3 -m venv .venv
  .venv/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.txt 2>&1 | grep -v "is ignored: it is neither" >&2 || true
  # shellcheck disable=SC2046
  .venv/bin/python -m pip install --quiet --disable-pip-version-check \
    --no-deps --no-build-isolation $(printf -- '-e %s ' packages/*/) >&2
  printf '%s\n' "$wanted" > .venv/.ready
}
