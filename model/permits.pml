/*
 * Shares, loans and permits of one upstream (docs/DESIGN.md, "Limits").
 *
 * One unit of one seat: its owner and another seat may both believe that they
 * are the keeper, and a third router holds permits. The units of other owners
 * are separate, so that one stands for all. A message may be lost, doubled or late; any
 * router may crash and restart, and any may pause for as long as it likes,
 * since no step is ever forced. Time is a counter that all share; the parts of
 * the lease leave room for the drift of clocks.
 *
 * The property: no unit ever backs two running requests.
 *
 * Each macro takes one rule away; the check must then fail:
 * NO_DEBT NO_GRANT_LIMIT NO_USE_LIMIT NO_SAID NO_BEGIN NO_ONCE NO_OWN_ONLY
 * NO_INCARNATION
 */

#define LEASE 3
#define GRANT 2
#define USE 1
#define END 6
#define N 1
#define PERMITS 2

#define FREE 0
#define LENT 1
#define OWED 2
#define SELF 3

#define NONE 0
#define SENT 1
#define HELD 2
#define RUNS 3
#define OVER 4

byte now = 0;

/* Owner o. */
byte state[N];
byte until[N];
byte epoch[N];
byte lapsed[N];
/* The keeper's process to which owner o lent has ended. */
bool gone[N];

/* A loan on its way from owner o to the other seat as keeper. */
bool loanSent[N];
byte loanEpoch[N];
byte loanStamp[N];

/* What the other seat, as keeper, holds of owner o. */
bool trust[N];
byte trustEpoch[N];
byte trustStamp[N];
bool used[N];

/* Permits; holder 2 is the third router, 0 the owner, 1 the other seat. */
byte permit[PERMITS];
byte permitOwner[PERMITS];
byte permitEpoch[PERMITS];
byte permitStamp[PERMITS];
byte permitHolder[PERMITS];
byte next = 0;

/* What a holder has said to owner o, on its way: from the third router, and
 * from the other seat. */
bool saidSent[N];
bool saidClaim[N];
byte saidTime[N];

byte running[N];

#ifdef NO_GRANT_LIMIT
#define MAY_GRANT true
#else
#define MAY_GRANT (now < trustStamp[o] + GRANT)
#endif

#ifdef NO_USE_LIMIT
#define MAY_USE true
#else
#define MAY_USE (now < permitStamp[p] + USE)
#endif

#ifdef NO_INCARNATION
#define SAME_PROCESS true
#else
#define SAME_PROCESS (!gone[o])
#endif

#ifdef NO_SAID
#define IN_TIME true
#else
#define IN_TIME (saidTime[o] >= lapsed[o])
#endif

/* The statement of the third router about owner o. */
inline speak(whose) {
	saidClaim[whose] = false;
	i = 0;
	do
	:: i < next ->
		if
		:: permitOwner[i] == whose && permitHolder[i] == 2 && (permit[i] == HELD || permit[i] == RUNS) -> saidClaim[whose] = true
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	saidTime[whose] = now;
	saidSent[whose] = true
}

inline issue(whose, whom, loan) {
	permit[next] = SENT;
	permitOwner[next] = whose;
	permitEpoch[next] = loan;
	permitHolder[next] = whom;
	permitStamp[next] = now;
	next++
}

/* All permits of a holder end with its process. */
inline stop(whom) {
	i = 0;
	do
	:: i < next ->
		if
		:: permitHolder[i] == whom && permit[i] == RUNS -> running[permitOwner[i]]--; permit[i] = OVER
		:: permitHolder[i] == whom && permit[i] != RUNS -> permit[i] = OVER; permitStamp[i] = 0
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Permit p, of owner o, is over and was the last one on its loan. */
#define LAST_ON_LOAN (p < next && permit[p] == OVER && permitOwner[p] == o && permitEpoch[p] > 0 && trust[o] && permitEpoch[p] == trustEpoch[o] && !busy)
#define LAST_OF_OWN (p < next && permit[p] == OVER && permitOwner[p] == o && permitEpoch[p] == 0 && state[o] == SELF && !busy)

/* Whether a later permit of owner o than p is not over. */
inline look() {
	busy = false;
	i = 0;
	do
	:: i < next ->
		if
		:: permitOwner[i] == o && permit[i] != OVER -> busy = true
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

active proctype system() {
	byte o = 0;
	byte i = 0;
	byte p = 0;
	bool busy = false;
	do
	:: atomic {
	/* Choose a permit, and then a step. */
	if
	:: p = 0
	:: next > 1 -> p = 1
	fi;
	look();
	if
	:: now < END -> now++

	/* Owner o lends to the other seat, or renews. The keeper's stamp that it
	 * answers may be old. */
	:: state[o] == FREE && epoch[o] < 2 ->
		state[o] = LENT; gone[o] = false; epoch[o]++; until[o] = now + LEASE;
		loanSent[o] = true; loanEpoch[o] = epoch[o]; loanStamp[o] = now
	:: state[o] == LENT && now < until[o] && SAME_PROCESS ->
		until[o] = now + LEASE;
		loanSent[o] = true; loanEpoch[o] = epoch[o]; loanStamp[o] = now
	:: loanSent[o] && loanStamp[o] > 0 && loanStamp[o] == now -> loanStamp[o]--

	/* The loan comes, and may come again; or it is lost. */
	:: loanSent[o] && (!trust[o] || loanEpoch[o] > trustEpoch[o]) ->
		trust[o] = true; used[o] = false;
		trustEpoch[o] = loanEpoch[o]; trustStamp[o] = loanStamp[o]
	:: loanSent[o] && trust[o] && loanEpoch[o] == trustEpoch[o] && loanStamp[o] > trustStamp[o] ->
		trustStamp[o] = loanStamp[o]
	:: loanSent[o] -> loanSent[o] = false; loanEpoch[o] = 0; loanStamp[o] = 0

	/* The other seat, as keeper, grants on the loan. */
	:: trust[o] && !used[o] && next < PERMITS && MAY_GRANT ->
		used[o] = true; issue(o, 2, trustEpoch[o])
#ifdef NO_OWN_ONLY
	:: trust[o] && !used[o] && next < PERMITS && MAY_GRANT ->
		used[o] = true; issue(o, 1-o, trustEpoch[o])
#endif

	/* Owner o, as its own keeper, grants its own unit: to the third router
	 * or to itself. */
	:: state[o] == FREE && next < PERMITS -> state[o] = SELF; issue(o, 2, 0)
	:: state[o] == FREE && next < PERMITS -> state[o] = SELF; issue(o, o, 0)

	/* The grant comes, and may come again. */
	:: p < next && permit[p] == SENT -> permit[p] = HELD
#ifdef NO_ONCE
	:: p < next && permit[p] == RUNS && next < PERMITS ->
		permit[next] = HELD; permitOwner[next] = permitOwner[p]; permitEpoch[next] = permitEpoch[p];
		permitHolder[next] = permitHolder[p]; permitStamp[next] = permitStamp[p]; next++
#endif

	/* The request is sent, and ends. */
	:: p < next && permit[p] == HELD && MAY_USE ->
		permit[p] = RUNS; permitStamp[p] = 0; running[permitOwner[p]]++; assert(running[permitOwner[p]] <= 1)
	:: p < next && permit[p] == RUNS -> permit[p] = OVER; running[permitOwner[p]]--
	:: p < next && permit[p] == HELD -> permit[p] = OVER; permitStamp[p] = 0

	/* The release comes: to the keeper of the loan, or to the owner. It may
	 * also be lost, which is no step. */
	:: LAST_ON_LOAN -> used[o] = false
	:: LAST_OF_OWN -> state[o] = FREE

	/* The loan lapses. */
	:: state[o] == LENT && now >= until[o] ->
#ifdef NO_DEBT
		state[o] = FREE
#else
		state[o] = OWED; lapsed[o] = now; until[o] = 0
#endif
	/* The others say what they hold; the statement comes late, or never. */
	:: state[o] == OWED || state[o] == LENT -> speak(o)
	:: saidSent[o] -> saidSent[o] = false; saidClaim[o] = false; saidTime[o] = 0
	:: state[o] == OWED && saidSent[o] && !saidClaim[o] && IN_TIME ->
		state[o] = FREE; saidSent[o] = false; saidTime[o] = 0; lapsed[o] = 0

	/* The other seat's process, the keeper, crashes. */
	:: trust[o] -> trust[o] = false; used[o] = false; trustEpoch[o] = epoch[o]; loanSent[o] = false; gone[o] = true; stop(1)
	/* The owner's process crashes and starts anew. Its own permits end. */
	:: stop(0); loanSent[o] = false; saidSent[o] = false; until[o] = 0; gone[o] = false;
#ifdef NO_BEGIN
		state[o] = FREE
#else
		state[o] = OWED; lapsed[o] = now + LEASE
#endif
	/* The third router crashes. */
	:: next > 0 -> stop(2)
	:: else -> skip
	fi;
	o = 0;
	p = 0;
	busy = false
	}
	od
}
