#!/usr/bin/env bash
folder=$(dirname "$0")
. "$folder/../cluster/run.sh" woken_leader "$folder"
