/*
 * Shares, leases and permits of one upstream (docs/DESIGN.md, "Limits").
 *
 * The model has one unit of the share of one seat. The unit's owner and another
 * seat may both act as coordinator at the same time, and a third router holds
 * permits. Units of different owners are separate, so one stands for all. A
 * message may be lost, duplicated or delayed. Any router may crash and restart,
 * and any may pause for an unlimited time, since no step is ever forced. All
 * routers share one clock; the periods within the lease leave room for drift.
 *
 * The property: no unit ever backs two running requests.
 *
 * Each macro removes one rule; the check must then fail. The rules:
 * NO_HOLD_AFTER_EXPIRY: an expired lease stays outstanding until a report.
 * NO_GRANT_LIMIT: the coordinator grants only within the grant period.
 * NO_USE_LIMIT: a holder uses a permit only within the use period.
 * NO_REPORT_AFTER_EXPIRY: only a report made after the expiry frees the unit.
 * NO_HOLD_AFTER_RESTART: after a restart, the owner's unit is outstanding.
 * NO_SINGLE_USE: a permit that is received twice is used once.
 * NO_OWN_UNITS_ONLY: a coordinator grants itself only units that it owns.
 * NO_INCARNATION: a lease is renewed only for the same process.
 */

#define LEASE_LENGTH 3
#define GRANT_PERIOD 2
#define USE_PERIOD 1
#define LAST_TIME 6
#define OWNERS 1
#define MAX_PERMITS 2

#define FREE 0
#define LEASED 1
#define OUTSTANDING 2
#define LOCAL 3

#define NONE 0
#define SENT 1
#define HELD 2
#define RUNNING 3
#define ENDED 4

byte now = 0;

/* State of the unit at owner o. */
byte state[OWNERS];
byte leasedUntil[OWNERS];
byte epoch[OWNERS];
byte expiredAt[OWNERS];
/* The coordinator's process to which owner o has leased the unit has ended. */
bool coordinatorEnded[OWNERS];

/* A lease in transit from owner o to the other seat as coordinator. */
bool leaseSent[OWNERS];
byte leaseEpoch[OWNERS];
byte leaseStamp[OWNERS];

/* The lease of owner o that the other seat, as coordinator, has accepted. */
bool heldLease[OWNERS];
byte heldEpoch[OWNERS];
byte heldStamp[OWNERS];
bool heldInUse[OWNERS];

/* Permits. Holder 0 is the owner, 1 the other seat, 2 the third router. */
byte permit[MAX_PERMITS];
byte permitOwner[MAX_PERMITS];
byte permitEpoch[MAX_PERMITS];
byte permitStamp[MAX_PERMITS];
byte permitHolder[MAX_PERMITS];
byte permitCount = 0;

/* A report in transit from the third router to owner o: whether the router has a
 * permit for the unit, and the time at which the report was made. */
bool reportSent[OWNERS];
bool reportHasPermit[OWNERS];
byte reportTime[OWNERS];

byte running[OWNERS];

#ifdef NO_GRANT_LIMIT
#define MAY_GRANT true
#else
#define MAY_GRANT (now < heldStamp[o] + GRANT_PERIOD)
#endif

#ifdef NO_USE_LIMIT
#define MAY_USE true
#else
#define MAY_USE (now < permitStamp[p] + USE_PERIOD)
#endif

#ifdef NO_INCARNATION
#define SAME_PROCESS true
#else
#define SAME_PROCESS (!coordinatorEnded[o])
#endif

#ifdef NO_REPORT_AFTER_EXPIRY
#define REPORT_AFTER_EXPIRY true
#else
#define REPORT_AFTER_EXPIRY (reportTime[o] >= expiredAt[o])
#endif

/* Sends a report of the third router's permits to an owner. */
inline sendReport(owner) {
	reportHasPermit[owner] = false;
	i = 0;
	do
	:: i < permitCount ->
		if
		:: permitOwner[i] == owner && permitHolder[i] == 2 && (permit[i] == HELD || permit[i] == RUNNING) -> reportHasPermit[owner] = true
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	reportTime[owner] = now;
	reportSent[owner] = true
}

/* Grants and sends a permit; grantEpoch is 0 for a unit that is not leased. */
inline grant(owner, holder, grantEpoch) {
	permit[permitCount] = SENT;
	permitOwner[permitCount] = owner;
	permitEpoch[permitCount] = grantEpoch;
	permitHolder[permitCount] = holder;
	permitStamp[permitCount] = now;
	permitCount++
}

/* Ends a router's process and with it all its permits. */
inline endProcess(holder) {
	i = 0;
	do
	:: i < permitCount ->
		if
		:: permitHolder[i] == holder && permit[i] == RUNNING -> running[permitOwner[i]]--; permit[i] = ENDED
		:: permitHolder[i] == holder && permit[i] != RUNNING -> permit[i] = ENDED; permitStamp[i] = 0
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Permit p, granted on the lease that the coordinator holds or by the owner itself,
 * has ended, and no other permit of owner o is open. */
#define LAST_PERMIT_ON_LEASE (p < permitCount && permit[p] == ENDED && permitOwner[p] == o && permitEpoch[p] > 0 && heldLease[o] && permitEpoch[p] == heldEpoch[o] && !anyPermitOpen)
#define LAST_LOCAL_PERMIT (p < permitCount && permit[p] == ENDED && permitOwner[p] == o && permitEpoch[p] == 0 && state[o] == LOCAL && !anyPermitOpen)

/* Sets anyPermitOpen if a permit of owner o has not ended. */
inline checkOpenPermits() {
	anyPermitOpen = false;
	i = 0;
	do
	:: i < permitCount ->
		if
		:: permitOwner[i] == o && permit[i] != ENDED -> anyPermitOpen = true
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
	bool anyPermitOpen = false;
	do
	:: atomic {
	/* Choose a permit, and then a step. */
	if
	:: p = 0
	:: permitCount > 1 -> p = 1
	fi;
	checkOpenPermits();
	if
	:: now < LAST_TIME -> now++

	/* Owner o leases the unit to the other seat, or renews the lease. The lease
	 * echoes a stamp of the coordinator, which may be old. */
	:: state[o] == FREE && epoch[o] < 2 ->
		state[o] = LEASED; coordinatorEnded[o] = false; epoch[o]++; leasedUntil[o] = now + LEASE_LENGTH;
		leaseSent[o] = true; leaseEpoch[o] = epoch[o]; leaseStamp[o] = now
	:: state[o] == LEASED && now < leasedUntil[o] && SAME_PROCESS ->
		leasedUntil[o] = now + LEASE_LENGTH;
		leaseSent[o] = true; leaseEpoch[o] = epoch[o]; leaseStamp[o] = now
	:: leaseSent[o] && leaseStamp[o] > 0 && leaseStamp[o] == now -> leaseStamp[o]--

	/* The lease is received, perhaps more than once, or is lost. */
	:: leaseSent[o] && (!heldLease[o] || leaseEpoch[o] > heldEpoch[o]) ->
		heldLease[o] = true; heldInUse[o] = false;
		heldEpoch[o] = leaseEpoch[o]; heldStamp[o] = leaseStamp[o]
	:: leaseSent[o] && heldLease[o] && leaseEpoch[o] == heldEpoch[o] && leaseStamp[o] > heldStamp[o] ->
		heldStamp[o] = leaseStamp[o]
	:: leaseSent[o] -> leaseSent[o] = false; leaseEpoch[o] = 0; leaseStamp[o] = 0

	/* The other seat, as coordinator, grants a permit on the lease. */
	:: heldLease[o] && !heldInUse[o] && permitCount < MAX_PERMITS && MAY_GRANT ->
		heldInUse[o] = true; grant(o, 2, heldEpoch[o])
#ifdef NO_OWN_UNITS_ONLY
	:: heldLease[o] && !heldInUse[o] && permitCount < MAX_PERMITS && MAY_GRANT ->
		heldInUse[o] = true; grant(o, 1-o, heldEpoch[o])
#endif

	/* Owner o, as coordinator, grants its own unit: to the third router or to
	 * itself. */
	:: state[o] == FREE && permitCount < MAX_PERMITS -> state[o] = LOCAL; grant(o, 2, 0)
	:: state[o] == FREE && permitCount < MAX_PERMITS -> state[o] = LOCAL; grant(o, o, 0)

	/* The permit is received, perhaps more than once. */
	:: p < permitCount && permit[p] == SENT -> permit[p] = HELD
#ifdef NO_SINGLE_USE
	:: p < permitCount && permit[p] == RUNNING && permitCount < MAX_PERMITS ->
		permit[permitCount] = HELD; permitOwner[permitCount] = permitOwner[p]; permitEpoch[permitCount] = permitEpoch[p];
		permitHolder[permitCount] = permitHolder[p]; permitStamp[permitCount] = permitStamp[p]; permitCount++
#endif

	/* The request is sent and ends, or the permit ends without use. */
	:: p < permitCount && permit[p] == HELD && MAY_USE ->
		permit[p] = RUNNING; permitStamp[p] = 0; running[permitOwner[p]]++; assert(running[permitOwner[p]] <= 1)
	:: p < permitCount && permit[p] == RUNNING -> permit[p] = ENDED; running[permitOwner[p]]--
	:: p < permitCount && permit[p] == HELD -> permit[p] = ENDED; permitStamp[p] = 0

	/* The release is received by the coordinator of the lease, or by the owner.
	 * It may also be lost, which needs no step. */
	:: LAST_PERMIT_ON_LEASE -> heldInUse[o] = false
	:: LAST_LOCAL_PERMIT -> state[o] = FREE

	/* The lease expires. */
	:: state[o] == LEASED && now >= leasedUntil[o] ->
#ifdef NO_HOLD_AFTER_EXPIRY
		state[o] = FREE
#else
		state[o] = OUTSTANDING; expiredAt[o] = now; leasedUntil[o] = 0
#endif
	/* The third router reports its permits. The report may come late or never. */
	:: state[o] == OUTSTANDING || state[o] == LEASED -> sendReport(o)
	:: reportSent[o] -> reportSent[o] = false; reportHasPermit[o] = false; reportTime[o] = 0
	:: state[o] == OUTSTANDING && reportSent[o] && !reportHasPermit[o] && REPORT_AFTER_EXPIRY ->
		state[o] = FREE; reportSent[o] = false; reportTime[o] = 0; expiredAt[o] = 0

	/* The other seat's process, the coordinator, crashes. */
	:: heldLease[o] -> heldLease[o] = false; heldInUse[o] = false; heldEpoch[o] = epoch[o]; leaseSent[o] = false; coordinatorEnded[o] = true; endProcess(1)
	/* The owner's process crashes and restarts. The permits that it holds end. */
	:: endProcess(0); leaseSent[o] = false; reportSent[o] = false; leasedUntil[o] = 0; coordinatorEnded[o] = false;
#ifdef NO_HOLD_AFTER_RESTART
		state[o] = FREE
#else
		state[o] = OUTSTANDING; expiredAt[o] = now + LEASE_LENGTH
#endif
	/* The third router crashes. */
	:: permitCount > 0 -> endProcess(2)
	:: else -> skip
	fi;
	o = 0;
	p = 0;
	anyPermitOpen = false
	}
	od
}
