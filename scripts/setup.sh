#!/usr/bin/env bash
# Installs the packages that the build, the tests and the demonstration need.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache make pkg-config clang-format clang-tidy
    libabsl-dev libboost-dev libboost-log-dev prometheus-cpp-dev
    nlohmann-json3-dev librapidcheck-dev libjsonrpccpp-dev
    libmicrohttpd-dev libcurl4-openssl-dev libpopt-dev doctest-dev
    libssl-dev python3
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null \
        | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
