# Installs the libraries and the workspace's packages below target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --upgrade --no-deps --target "$deps" --requirement deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps"/chicoryplank*
for source in packages/chicoryplank/src packages/chicoryplank-wire/src packages/chicoryplank-entry/src packages/chicoryplank-agent/src platform; do
    cp -R "$source"/chicoryplank* "$deps"/
done
find "$deps" -path '*/chicoryplank*' -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$deps" || true
