#!/bin/sh
exec java ${SESAMEROUTER_JAVA_OPTIONS:-} -jar "$0" "$@"
exit 1
