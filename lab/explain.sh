#!/usr/bin/env bash
# Tells from the routers' logs why a request failed: its own lines, what the
# router had learned shortly before, and a verdict.
# Usage: explain.sh REQUEST LOG...
set -euo pipefail
if [ $# -lt 2 ]; then
  echo "usage: explain.sh REQUEST LOG..." >&2
  exit 2
fi
id=$1
shift
# Lines may stand behind a prefix that a collector adds; each begins at time=.
# The files may come in any order.
lines=$(sed -n 's/^.*\(time=[0-9]\)/\1/p' "$@" | sort)
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
    own[++n] = $0; last = NR; router = field("router")
    event = field("event")
    if (event == "attempt_finished") { upstream = field("upstream"); outcome = field("outcome"); sent = field("sent"); status = field("status") }
    if (event == "request_refused" || event == "request_failed") { code = field("code"); certainty = field("certainty"); refused = field("status") }
    if (event == "request_finished") { ended = field("outcome"); final = field("status"); version = field("version") }
  }
  END {
    if (n == 0) { print "no line has request " id; exit 1 }
    print "the request:"
    for (i = 1; i <= n; i++) print "  " own[i]
    print "what the router had learned before, newest last:"
    for (i = 1; i <= NR; i++) {
      $0 = all[i]
      if (field("router") != router) continue
      e = field("event")
      if (i < last && (e == "catalog_applied" || e ~ /^store_/ || e == "datacentre_changed" || e == "readiness_changed" || e == "shutdown_started")) known[++k] = $0
      if (upstream != "" && e == "upstream_changed" && field("upstream") == upstream) { if (i < last) known[++k] = $0; else after[++a] = $0 }
    }
    for (i = (k > 6 ? k - 5 : 1); i <= k; i++) print "  " known[i]
    for (i = 1; i <= a && i <= 2; i++) print "  afterwards: " after[i]
    if (refused == "404" || refused == "401") print "cause: the configuration in force did not allow it (" code "); see the last catalog_applied"
    else if (code == "unconfigured") print "cause: the router had no configuration yet; see store_unavailable"
    else if (code == "no_upstream") print "cause: no upstream of the pool was in service or could be reached; see datacentre_changed, readiness_changed and the attempts"
    else if (code == "crashes_upstreams") print "cause: the same request ran at two upstreams whose processes ended"
    else if (outcome == "failed") print "cause: upstream " upstream " answered with a failure (" status ")"
    else if (outcome == "broken") print "cause: the connection to upstream " upstream " broke while it ran the request"
    else if (outcome == "silent") print "cause: upstream " upstream " sent nothing in the time that was left"
    else if (outcome == "unreachable") print "cause: upstream " upstream " could not be reached; nothing was sent"
    else if (ended == "caller_left" || outcome == "unknown") print "cause: the caller left"
    else if (ended == "served") print "the request was served"
    else print "cause: not told by the lines above"
    if (certainty != "") print "certainty: " certainty
  }' <<<"$lines"
