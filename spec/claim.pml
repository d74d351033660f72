/* The claim protocol for one key.
 *
 * Every attempt is one request of a caller at some router: a driver that claims, reads back and dispatches, and a caller
 * that may give up at any time. Interleaving stands for pauses. The log is kind[] and who[]; records before index `first` were
 * dropped by retention. A reader has folded the records before pos but for those of a hole that it never saw.
 *
 * Each step has a name in brackets that the comments in internal/state/claim use.
 * A macro that starts with MUTANT_ removes one guarding step.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef CALLERS
#define CALLERS ATTEMPTS    /* attempts whose caller may give up */
#endif
#define RECORDS 12
#define NONE 15

/* Kinds of records. */
#define CLAIM 1
#define VOID 2
#define DONE 3
#define MARK 4

byte kind[RECORDS];
byte who[RECORDS];      /* the attempt, or for a MARK the offset it covers */
bit stale[RECORDS];     /* the claim landed after its window */
byte size = 0;
byte first = 0;         /* records before this index are gone */

bit started[ATTEMPTS];
bit window[ATTEMPTS];   /* 1 once the claim's window has passed by the log's clock */
bit late[ATTEMPTS];     /* a claim whose answer was lost and that may still land */
bit lateVoid[ATTEMPTS];
bit gaveUp[ATTEMPTS];
bit dispatched[ATTEMPTS];
bit notRun[ATTEMPTS];
bit ended[ATTEMPTS];    /* read back as lost */
byte dispatches = 0;
bit voided = 0;         /* used by a mutant only */

/* A claim that landed after its window never wins. That bounds the set of voids: it forgets a void when the window of its
 * attempt has passed. */
#ifndef MUTANT_NO_WINDOW
#define IN_WINDOW (!stale[i])
#else
#define IN_WINDOW (1)
#endif
#ifndef MUTANT_NO_VOID_SET
#define MAY_WIN (IN_WINDOW && (stale[i] || !(voids & (1 << who[i]))))
#else
#define MAY_WIN (IN_WINDOW)
#endif
#ifndef MUTANT_NO_HISTORY
#define MAY_DECIDE (complete)
#else
#define MAY_DECIDE (1)
#endif

hidden byte winner, i, voids, closed;

/* [Fold] The same rules for every reader, over the records before end but for those of the hole. Voids outlive the claim's window by no
 * more than the window, so a claim that lands later than its window is ignored. */
inline fold(from, to, end)
{
	winner = NONE; voids = 0; closed = 0; i = 0;
	do
	:: i >= end -> break
	:: else ->
		if
		:: i >= from && i < to          /* the hole */
		:: !(i >= from && i < to) && kind[i] == CLAIM && winner == NONE && MAY_WIN ->
			winner = who[i]
		:: !(i >= from && i < to) && kind[i] == VOID ->
			voids = voids | (1 << who[i]);
			if :: winner == who[i] && !closed -> winner = NONE :: else fi
		:: !(i >= from && i < to) && kind[i] == DONE && winner == who[i] -> closed = 1
		:: else
		fi;
		i++
	od
}

/* [Land] A record takes effect in the log. An attempt that was answered NotRun, or read back as lost, must never hold the
 * key, because nobody would dispatch or void it. */
inline land(k, a)
{
	d_step {
		assert(size < RECORDS);
		kind[size] = k; who[size] = a;
		if :: k == CLAIM -> stale[size] = window[a] :: else fi;
		size++;
		fold(0, 0, size);
		if :: winner != NONE -> assert(!notRun[winner]); assert(!ended[winner]) :: else fi;
		winner = NONE; voids = 0; closed = 0; i = 0
	}
}

/* [Follow] The reader takes one more record. A reader that fell behind retention starts again with an incomplete history. */
inline follow()
{
	d_step {
		if
		:: pos < first -> complete = 0; from = 0; to = first; pos = first
		:: pos >= first && pos < size ->
			/* [InstallSnapshot] A mark is good only if nothing after the offset that it covers was dropped. */
			if
			:: !complete && kind[pos] == MARK && who[pos] >= first -> complete = 1; from = 0; to = 0; pos = who[pos]
#ifdef MUTANT_NO_COVER
			:: !complete && kind[pos] == MARK && who[pos] < first -> complete = 1; from = who[pos]; to = first; pos++
#endif
			:: else -> pos++
			fi
		fi
	}
}

proctype Driver(byte me)
{
	byte from, to, pos, mine;
	bit complete, acked;
	mine = NONE;
	d_step { to = first; pos = first; complete = (first == 0); started[me] = 1 }

	/* [CheckHistory] Only a reader with a complete history may claim. */
	do
	:: complete -> break
#ifdef MUTANT_NO_HISTORY
	:: !complete -> break
#endif
	:: !complete && pos < size -> follow()
	:: !complete && pos >= size -> goto refused
	od;

	/* [SendClaim] The record goes out once, never again. The caller may have given up before that. */
	atomic {
		if :: gaveUp[me] -> goto stop :: else fi;
		if
		:: land(CLAIM, me); acked = 1
		:: land(CLAIM, me)          /* [LoseAnswer] */
		:: late[me] = 1             /* [LateAppend] */
#ifdef MUTANT_RESEND
		:: land(CLAIM, me); late[me] = 1
#endif
		:: goto refused             /* the log is certain not to have it */
		:: goto stop                /* [Crash] */
		fi
	}

	/* [ReadBack] Wait for the claim in the log. What a reader with an incomplete history sees decides nothing. */
	do
	:: pos < size ->
		d_step {
			if
			:: pos >= first && kind[pos] == CLAIM && who[pos] == me && MAY_DECIDE ->
				fold(from, to, pos + 1);
				if :: winner == me -> mine = 1 :: else -> mine = 0; ended[me] = 1 fi;
				winner = NONE; voids = 0; closed = 0; i = 0
			:: else
			fi
		};
		if
		:: mine != NONE -> break
		:: else -> follow()
		fi
#ifdef MUTANT_NO_READ_BACK
	:: acked -> mine = 1; break
#endif
#ifdef MUTANT_TAKE_OVER
	:: !voided && me != 0 -> voided = 1; land(VOID, 0)
#endif
	:: goto stop                        /* [Crash] or waiting for ever */
	od;
	if :: mine == 0 -> goto stop :: else fi;

	/* [CheckWinner] and [Dispatch]: one step under the shard's lock; the caller's giving up is the other one. */
	atomic {
#ifndef MUTANT_NO_WINNER_CHECK
		if :: gaveUp[me] -> goto stop :: else fi;
#endif
		if
		:: true
		:: goto stop                    /* [CheckDeadline] or [Crash] */
		fi;
		dispatched[me] = 1;
		dispatches++;
		assert(dispatches <= 1);
		assert(!notRun[me])
	};
	/* [RecordDone] */
	if
	:: land(DONE, me)
	:: skip                             /* [Crash], or the service's answer was lost */
	fi;
	goto stop;

refused:
	/* [RefuseUnsent] No append was sent, so nothing can land. */
	atomic {
		gaveUp[me] = 1;
		notRun[me] = 1;
		assert(!dispatched[me])
	};
stop:
	skip
}

proctype Caller(byte me)
{
	byte n = 0;
	started[me];
	if
	:: skip
	:: goto stop                        /* the caller stays until the driver has an answer */
	fi;
	/* [GiveUp] The deadline is near, or the caller left. */
	atomic {
		if :: dispatched[me] || gaveUp[me] -> goto stop :: else fi;
		gaveUp[me] = 1
	};
#ifdef MUTANT_NO_VOID
	goto answer;
#endif
	/* [SendVoid] Sent again until the log has it for certain. */
	if
	:: land(VOID, me)
	:: land(VOID, me); goto stop        /* [LoseAnswer], and the caller hears Unknown */
	:: lateVoid[me] = 1; goto stop      /* [LateAppend] */
	:: goto stop                        /* [Crash] */
	fi;
answer:
	/* [AnswerNotRun] */
	atomic {
		notRun[me] = 1;
		assert(!dispatched[me]);
		/* The only attempt for its key: the call never ran. */
		assert(dispatches == 0 || ATTEMPTS > 1)
	};
stop:
	skip
}

/* The log: late appends, the passing of windows, retention, and the owner that re-appends live state. */
proctype Environment()
{
	byte a;
	bit marked = 0;
	do
	:: atomic { late[0] -> late[0] = 0; land(CLAIM, 0) }
	:: atomic { lateVoid[0] -> lateVoid[0] = 0; land(VOID, 0) }
#ifdef WINDOWS
	:: atomic { !window[0] -> window[0] = 1 }
#endif
#if ATTEMPTS > 1
	:: atomic { late[1] -> late[1] = 0; land(CLAIM, 1) }
	:: atomic { lateVoid[1] -> lateVoid[1] = 0; land(VOID, 1) }
#endif
#if ATTEMPTS > 2
	:: atomic { late[2] -> late[2] = 0; land(CLAIM, 2) }
	:: atomic { lateVoid[2] -> lateVoid[2] = 0; land(VOID, 2) }
#endif
#ifdef RETENTION
	/* [Retain] Old records are dropped, with or without a snapshot. */
	:: atomic { first < size -> first++ }
	/* [Keep] The owner cuts a snapshot of a state it knows completely; its mark may land late. */
	:: atomic { !marked && first <= size -> a = size; marked = 1 }
	:: atomic { marked == 1 && size < RECORDS - 6 -> land(MARK, a); marked = 1; break }
#endif
	:: break
	od
}

init
{
	byte n = 0;
	atomic {
		run Environment();
		do
		:: n < ATTEMPTS ->
			run Driver(n);
			if :: n < CALLERS -> run Caller(n) :: else fi;
			n++
		:: else -> break
		od
	}
}
