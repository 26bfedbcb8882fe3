# Shared by the scripts; sourced, not run.

# Installs cmake (nng is built from source) where it is missing.
ensure_cmake() {
    command -v cmake >/dev/null 2>&1 && return 0
    echo "cmake is missing: installing it"
    if [ "$(id -u)" -eq 0 ]; then
        apt-get install -y cmake >/dev/null 2>&1 ||
            { apt-get update >/dev/null 2>&1 && apt-get install -y cmake >/dev/null 2>&1; }
    else
        sudo apt-get update >/dev/null && sudo apt-get install -y cmake >/dev/null
    fi
    command -v cmake >/dev/null 2>&1 || { echo "error: cannot install cmake; install it and run again" >&2; return 1; }
}
