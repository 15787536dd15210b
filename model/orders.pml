/*
 * Claims on one idempotency key in the log (docs/DESIGN.md, "Orders").
 *
 * Two routers get the same request, each possibly again after a crash. The log
 * may take an append without answering, and the append may be sent again. A
 * router may crash or pause at any step. Routers read the log late.
 *
 * The properties: the request runs at most once, and "not run" is never said
 * to a caller whose request has run or can still run.
 *
 * Each macro takes one rule away; the check must then fail:
 * NO_CLAIM NO_READ NO_VOID_RULE RERUN
 */

#define LOG 6
#define NOBODY 9

/* A record is a claim (kind 1) or a void (kind 2) of a claimant. A claimant is
 * one request at one router; a crash begins a new one. */
byte kind[LOG];
byte who[LOG];
byte length = 0;

byte runs = 0;

#define CLAIMANTS 3
#define IDLE 0
#define ASKED 1
#define GAVEUP 2
#define MAYRUN 3
#define RAN 4
#define LOST 5
#define REFUSED 6

byte state[CLAIMANTS];
bool sent[CLAIMANTS];
bool began[CLAIMANTS];

/* The holder of the key after the first n records. */
inline fold(many) {
	holder = NOBODY;
	i = 0;
	do
	:: i < many ->
		if
		:: kind[i] == 1 && holder == NOBODY -> holder = who[i]
		:: kind[i] == 2 && holder == who[i] -> holder = NOBODY
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline launch(one) {
	runs++;
	began[one] = true;
	assert(runs <= 1)
}

active proctype system() {
	byte c = 0;
	byte i = 0;
	byte holder = NOBODY;
	do
	:: atomic {
	/* Choose a claimant, and then a step for it. */
	if
	:: c = 0
	:: c = 1
	:: c = 2
	fi;
	if
	/* The request comes and its claim is appended; the answer may be lost, so
	 * the append may be made again. */
	:: state[c] == IDLE -> state[c] = ASKED
	:: state[c] == ASKED && length < LOG -> kind[length] = 1; who[length] = c; length++; sent[c] = true
	/* The claim is read back. */
	:: state[c] == ASKED ->
#ifdef NO_CLAIM
		state[c] = MAYRUN
#else
#ifdef NO_READ
		if
		:: sent[c] -> state[c] = MAYRUN
		:: else -> skip
		fi
#else
		fold(length);
		if
		:: holder == c -> state[c] = MAYRUN
		:: holder != c && holder != NOBODY -> state[c] = REFUSED
		:: else -> skip
		fi
#endif
#endif
		holder = NOBODY
	/* The claim was not read in time: the caller is told "not run", and the
	 * claim is voided whenever it stands in the log. */
	:: state[c] == ASKED -> state[c] = GAVEUP; assert(!began[c])
	:: state[c] == GAVEUP && length < LOG -> kind[length] = 2; who[length] = c; length++
	/* A late copy of the claim may still come. */
	:: state[c] == GAVEUP && sent[c] && length < LOG -> kind[length] = 1; who[length] = c; length++
	/* The request is sent, or nothing could be sent and the claim is voided. */
	:: state[c] == MAYRUN -> state[c] = RAN; launch(c)
	:: state[c] == MAYRUN && length < LOG -> state[c] = GAVEUP; assert(!began[c])
#ifdef NO_VOID_RULE
	/* A claim is voided though the request may have run. */
	:: state[c] == RAN && length < LOG -> kind[length] = 2; who[length] = c; length++
#endif
#ifdef RERUN
	/* The outcome is unknown and the request is sent again. */
	:: state[c] == LOST && began[c] -> launch(c)
#endif
	/* The router crashes: its claims stay in the log for ever. */
	:: state[c] == ASKED || state[c] == MAYRUN || state[c] == RAN -> state[c] = LOST
	:: else -> skip
	fi;
	c = 0
	}
	od
}
