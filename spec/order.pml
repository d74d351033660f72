/* Ownership of an endpoint with fencing tokens. The token is the offset of the owner's record in the log. */
#define ROUTERS 3
#define RECORDS 6       /* two for each router */

byte owner[RECORDS];    /* record i has offset i+1 */
byte size = 0;
byte newest = 0;        /* highest token in a command that the endpoint obeyed: a ghost */
byte fence = 0;         /* what the endpoint remembers */

/* [Obey] The endpoint takes the desired state of a command. */
inline obey(token)
{
	atomic {
		if
#ifndef MUTANT_NO_FENCE
		:: token < fence -> skip
		:: else ->
#else
		:: true ->
#endif
			assert(token >= newest);
			/* The token belongs to the router that sent the command. */
			assert(owner[token - 1] == me);
			newest = token;
#ifndef MUTANT_NO_RAISE
			fence = token
#endif
		fi
	}
}

proctype Router(byte me)
{
	byte token = 0, n = 0;
	do
	:: n == 2 -> break
	:: n < 2 ->
		/* [Own] A router whose list or whose lease says that it owns the endpoint appends. Two may do so at once. */
		n++;
		atomic { owner[size] = me; size++;
#ifndef MUTANT_LOCAL_TOKEN
			token = size             /* [ReadOwn] the token is the record's offset */
#else
			token = token + 1       /* a counter of the process */
#endif
		};
		/* [Command] Pauses past the lease and repeated commands are interleavings. */
		/* A router that is paused goes on with an old token. */
		if
		:: true -> obey(token)
		:: true -> obey(token); obey(token)
		:: skip                     /* [Crash] or lost command */
		fi;
	od
}

init
{
	byte n = 0;
	atomic {
		do
		:: n < ROUTERS -> run Router(n); n++
		:: else -> break
		od
	}
}
