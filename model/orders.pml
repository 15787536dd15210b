/*
 * Claims on one idempotency key in the log (docs/DESIGN.md, "Orders").
 *
 * Two routers get the same request, one of them possibly again after a crash. The
 * log may accept an append without a response, and the append may be sent again. A
 * router may crash or pause at any step. Routers read the log with delay.
 *
 * The properties: the request runs at most once, and no caller gets the response
 * "not run" if its request has run or can still run.
 *
 * Each macro removes one rule; the check must then fail. The rules:
 * NO_CLAIM: a request runs only after its claim.
 * NO_READ_BACK: the claim must have been read back as the first one.
 * NO_VOID_RULE: the claim of a request that may have run is never voided.
 * NO_RUN_ONCE: a request whose outcome is unknown is never sent again.
 */

#define LOG_LENGTH 6
#define UNCLAIMED 9

/* The log. A record is a claim (kind 1) or a void (kind 2) of a claimant. A
 * claimant is one request at one router; after a crash, the router is a new
 * claimant. */
byte recordKind[LOG_LENGTH];
byte recordClaimant[LOG_LENGTH];
byte length = 0;

byte executions = 0;

#define CLAIMANTS 3
#define IDLE 0
#define CLAIMING 1
#define WITHDRAWN 2
#define MAY_RUN 3
#define SENT 4
#define CRASHED 5
#define REFUSED 6

byte state[CLAIMANTS];
bool claimSent[CLAIMANTS];
bool executed[CLAIMANTS];

/* Sets holder to the claimant that holds the key after the given number of
 * records. */
inline findHolder(records) {
	holder = UNCLAIMED;
	i = 0;
	do
	:: i < records ->
		if
		:: recordKind[i] == 1 && holder == UNCLAIMED -> holder = recordClaimant[i]
		:: recordKind[i] == 2 && holder == recordClaimant[i] -> holder = UNCLAIMED
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline execute(claimant) {
	executions++;
	executed[claimant] = true;
	assert(executions <= 1)
}

active proctype system() {
	byte c = 0;
	byte i = 0;
	byte holder = UNCLAIMED;
	do
	:: atomic {
	/* Choose a claimant, then a step of it. */
	if
	:: c = 0
	:: c = 1
	:: c = 2
	fi;
	if
	/* The request arrives and its claim is appended. The response may be lost, so
	 * the append may be repeated. */
	:: state[c] == IDLE -> state[c] = CLAIMING
	:: state[c] == CLAIMING && length < LOG_LENGTH -> recordKind[length] = 1; recordClaimant[length] = c; length++; claimSent[c] = true
	/* The claim is read back. */
	:: state[c] == CLAIMING ->
#ifdef NO_CLAIM
		state[c] = MAY_RUN
#else
#ifdef NO_READ_BACK
		if
		:: claimSent[c] -> state[c] = MAY_RUN
		:: else -> skip
		fi
#else
		findHolder(length);
		if
		:: holder == c -> state[c] = MAY_RUN
		:: holder != c && holder != UNCLAIMED -> state[c] = REFUSED
		:: else -> skip
		fi
#endif
#endif
		holder = UNCLAIMED
	/* The claim was not read back in time: the caller gets "not run", and the
	 * claim is voided whenever it is in the log. */
	:: state[c] == CLAIMING -> state[c] = WITHDRAWN; assert(!executed[c])
	:: state[c] == WITHDRAWN && length < LOG_LENGTH -> recordKind[length] = 2; recordClaimant[length] = c; length++
	/* A delayed copy of the claim may still be appended. */
	:: state[c] == WITHDRAWN && claimSent[c] && length < LOG_LENGTH -> recordKind[length] = 1; recordClaimant[length] = c; length++
	/* The request is sent, or it could not be sent and the claim is voided. */
	:: state[c] == MAY_RUN -> state[c] = SENT; execute(c)
	:: state[c] == MAY_RUN && length < LOG_LENGTH -> state[c] = WITHDRAWN; assert(!executed[c])
#ifdef NO_VOID_RULE
	/* The claim is voided although the request may have run. */
	:: state[c] == SENT && length < LOG_LENGTH -> recordKind[length] = 2; recordClaimant[length] = c; length++
#endif
#ifdef NO_RUN_ONCE
	/* The outcome is unknown and the request is sent again. */
	:: state[c] == CRASHED && executed[c] -> execute(c)
#endif
	/* The router crashes; its claims stay in the log for good. */
	:: state[c] == CLAIMING || state[c] == MAY_RUN || state[c] == SENT -> state[c] = CRASHED
	:: else -> skip
	fi;
	c = 0
	}
	od
}
