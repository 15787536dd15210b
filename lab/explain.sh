#!/usr/bin/env bash
# Explains why a request failed, from the logs of camphorpulley-platform. Prints the
# log lines of the request, the last state changes at its router before the last of
# these lines, up to two later changes of its upstream, and the cause.
# Usage: explain.sh REQUEST LOG...
set -euo pipefail
if [ $# -lt 2 ]; then
  echo "usage: explain.sh REQUEST LOG..." >&2
  exit 2
fi
id=$1
shift
# A log collector may have put a prefix before each line, which is removed up to
# time=. The files may be given in any order.
log_lines=$(sed -n 's/^.*\(time=[0-9]\)/\1/p' "$@" | sort)
awk -v id="$id" '
  function field(name,   m) {
    if (match($0, "(^| )" name "=(\"[^\"]*\"|[^ ]*)") == 0) return ""
    m = substr($0, RSTART, RLENGTH)
    sub("^ ?" name "=", "", m)
    gsub("\"", "", m)
    return m
  }
  { all[NR] = $0 }
  $0 ~ "request=" id "( |$)" {
    events[++n] = $0; last = NR; router = field("router")
    event = field("event")
    if (event == "attempt_finished") { upstream = field("upstream"); outcome = field("outcome"); sent = field("sent"); status = field("status") }
    if (event == "request_refused" || event == "request_failed") { code = field("code"); certainty = field("certainty"); refusal_status = field("status") }
    if (event == "request_finished") { request_outcome = field("outcome"); final_status = field("status"); version = field("version") }
  }
  END {
    if (n == 0) { print "no log line contains request=" id; exit 1 }
    print "log lines of the request:"
    for (i = 1; i <= n; i++) print "  " events[i]
    print "state changes at the router before its last line, newest last:"
    for (i = 1; i <= NR; i++) {
      $0 = all[i]
      if (field("router") != router) continue
      e = field("event")
      if (i < last && (e == "catalog_applied" || e ~ /^store_/ || e == "datacentre_changed" || e == "readiness_changed" || e == "shutdown_started")) changes[++k] = $0
      if (upstream != "" && e == "upstream_changed" && field("upstream") == upstream) { if (i < last) changes[++k] = $0; else later[++a] = $0 }
    }
    for (i = (k > 6 ? k - 5 : 1); i <= k; i++) print "  " changes[i]
    for (i = 1; i <= a && i <= 2; i++) print "  afterwards: " later[i]
    if (refusal_status == "404" || refusal_status == "401") print "cause: the configuration in force did not allow the request (" code "); see the last catalog_applied event"
    else if (code == "unconfigured") print "cause: the router had not received a configuration yet; see the store_unavailable events"
    else if (code == "no_upstream") print "cause: no upstream of the pool was in service and reachable; see the events datacentre_changed, readiness_changed and attempt_finished"
    else if (code == "crashes_upstreams") print "cause: the same request was running at two upstreams whose processes ended"
    else if (outcome == "failed") print "cause: upstream " upstream " returned an error (status " status ")"
    else if (outcome == "broken") print "cause: the connection to upstream " upstream " broke while it ran the request"
    else if (outcome == "silent") print "cause: upstream " upstream " sent nothing within the time limit"
    else if (outcome == "unreachable") print "cause: upstream " upstream " was unreachable; nothing was sent to it"
    else if (request_outcome == "caller_left" || outcome == "unknown") print "cause: the caller disconnected"
    else if (request_outcome == "served") print "the request was served"
    else print "cause: unknown from the lines above"
    if (certainty != "") print "certainty: " certainty
  }' <<<"$log_lines"
