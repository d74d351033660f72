/* The fold of one configuration row with compare-and-set, snapshots, retention and tables taken from peers. */
#define READERS 2
#define STEPS 3         /* of each reader */
#define RECORDS 6
#define EDIT 1
#define SNAP 2

byte kind[RECORDS];
byte base[RECORDS];     /* EDIT: the row version it is based on; SNAP: the row version it holds */
byte covers[RECORDS];   /* SNAP: the offset up to which it holds everything */
byte size = 0;
byte first = 0;
byte truth[RECORDS + 1]; /* row version after each offset: a ghost */

byte applied[READERS];  /* offset of each reader's table, 0 for none */
byte version[READERS];  /* row version of each reader's table */
bit known[READERS];

#ifndef MUTANT_NO_COMPARE
#define BASE_OK (base[pos] == version[me])
#else
#define BASE_OK (1)
#endif
#ifndef MUTANT_NO_COVER
#define COVER_OK (covers[pos] >= first)
#else
#define COVER_OK (1)
#endif
#ifndef MUTANT_OLDER_PEER
#define PEER_OK (!known[me] || applied[peer] > applied[me])
#else
#define PEER_OK (1)
#endif

/* [Accept] A record at index size. A snapshot changes nothing for a reader that has all records. */
inline append(k, b, c)
{
	d_step {
		kind[size] = k; base[size] = b; covers[size] = c;
		truth[size + 1] = truth[size];
		if
		:: k == EDIT && b == truth[size] -> truth[size + 1] = size + 1
		:: else
		fi;
		size++
	}
}

/* [CheckTable] The table of a reader is the one that the log has at its offset. */
inline check(r)
{
	assert(version[r] == truth[applied[r]])
}

proctype Editor()
{
	byte seen, n = 0;
	do
	:: n < 2 ->
		n++;
		/* [Edit] The operator has seen some version, perhaps an old one; a lost answer makes him repeat the edit. */
		seen = truth[size];
		if
		:: atomic { size < RECORDS -> append(EDIT, seen, 0) }
		:: atomic { size + 1 < RECORDS -> append(EDIT, seen, 0); append(EDIT, seen, 0) }
		:: skip
		fi
	:: n >= 2 -> break
	od
}

/* [Snapshot] The owner cuts the table; the record lands later, after other edits. */
proctype Owner()
{
	byte c, v;
	atomic { c = size; v = truth[size] };
	if
	:: atomic { size < RECORDS -> append(SNAP, v, c) }
	:: skip
	fi
}

proctype Retention()
{
	do
	:: atomic { first < size -> first++ }
	:: break
	od
}

proctype Reader(byte me)
{
	byte n = 0, pos;
	byte peer;
	peer = 1 - me;
	do
	:: n < STEPS && known[me] && applied[me] >= first && applied[me] < size ->
		/* [Apply] Records in the order of their offsets. */
		n++;
		d_step {
			pos = applied[me];
			if
			:: kind[pos] == EDIT && BASE_OK -> version[me] = pos + 1
#ifdef MUTANT_SNAPSHOT_REPLACES
			:: kind[pos] == SNAP -> version[me] = base[pos]
#endif
			:: else
			fi;
			applied[me] = pos + 1;
			check(me)
		}
	:: n < STEPS && !known[me] && first == 0 -> n++; d_step { known[me] = 1; applied[me] = 0; version[me] = 0 }
	/* [StartFromSnapshot] A reader without a table, or one that missed records, takes a snapshot. */
	:: n < STEPS && first < size && (!known[me] || applied[me] < first) ->
		n++;
		d_step {
			pos = first;
			do
			:: pos >= size -> break
			:: pos < size && kind[pos] == SNAP && COVER_OK && (!known[me] || covers[pos] >= applied[me]) -> break
			:: else -> pos++
			od;
			if
			:: pos < size ->
				known[me] = 1; version[me] = base[pos];
#ifndef MUTANT_NO_COVER
				applied[me] = covers[pos];
#else
				if :: covers[pos] >= first -> applied[me] = covers[pos] :: else -> applied[me] = first fi;
#endif
				check(me)
			:: else
			fi;
			pos = 0
		}
	/* [TakeFromPeer] Only a table with a higher offset replaces one. */
	:: atomic { n < STEPS && known[peer] && PEER_OK ->
			n++;
			if :: known[me] -> assert(applied[peer] >= applied[me]) :: else fi;
			known[me] = 1; applied[me] = applied[peer]; version[me] = version[peer];
			check(me)
		}
	/* [Restart] A router keeps nothing. */
	:: n < STEPS && known[me] -> n++; d_step { known[me] = 0; applied[me] = 0; version[me] = 0 }
	:: break
	od
}

init
{
	atomic {
		run Editor(); run Owner(); run Retention();
		run Reader(0); run Reader(1)
	}
}
