/* The holder of the orders to engines on the users' platform: internal/state/duty and platform/group.go.
 *
 * The store's group has one member at a time and forgets one that has sent nothing for TTL. A holder acts only within VALID of the sending
 * of its last renewal, a new one waits SETTLE. Orders arrive within DELAY. A router may do nothing for any time between two steps: that is
 * also a suspension, since its clock goes on.
 *
 * Promise: orders of two holders arrive at least LEASE apart. Orders that are held up longer than DELAY are not in the model: engines refuse
 * them by their fence and precondition.
 *
 * Steps of the code: [Renew] and [Answer] = Group.renewLeadership and Lease.RecordRenewal, [Act] = Lease.MayAct and the sending of an order.
 */
#define NOBODY 9
#define TTL 3
#define LEASE 2
#define DELAY 1
#define END 6
#define ORDERS 3

#ifdef MUTANT_LONG_VALIDITY
#define VALID (TTL + 2)
#else
#define VALID (TTL - DELAY)
#endif
#ifdef MUTANT_NO_SETTLE
#define SETTLE 0
#else
#define SETTLE LEASE
#endif

byte now = 1;
/* The store's group. */
byte holder = NOBODY, until;
/* What each router knows; lag is how far its clock is behind. */
bool holds[2];
byte sent[2], since[2], lag[2];
/* The order of each router that is on its way. */
bool flying[2];
byte left[2];
/* The engine. */
byte orders, last = NOBODY, arrived;

#define own(i) (now - lag[i])
#define due(i) (flying[i] && now >= left[i] + DELAY)
#define may(i) (holds[i] && own(i) < sent[i] + VALID && own(i) >= since[i] + SETTLE)

proctype Router(byte i)
{
	byte s;
	bool mine;
	do
	:: now < END ->
		if
		:: s = own(i);
			/* [Renew] A router that holds nothing joins only an empty group. */
			atomic {
				mine = holder == i && now < until || now >= until;
				if
				:: mine -> holder = i; until = now + TTL
				:: else
				fi
			}
			/* [Answer] */
			d_step {
				if
				:: mine && (!holds[i] || s > sent[i] + VALID) -> since[i] = own(i)
				:: else
				fi;
				if
				:: mine -> sent[i] = s
				:: else
				fi;
				holds[i] = mine; mine = false; s = 0
			}
		:: atomic { !flying[i] && may(i) && orders < ORDERS -> flying[i] = true; left[i] = now } /* [Act] */
#ifdef MUTANT_STOPPED_CLOCK
		:: i == 0 && lag[0] < 2 -> lag[0]++
#endif
		fi
	:: now >= END -> break
	od
}

proctype Engine()
{
	byte i;
	do
	:: atomic {
			if
			:: flying[0] -> i = 0
			:: flying[1] -> i = 1
			fi;
			flying[i] = false;
			assert(last == NOBODY || last == i || now >= arrived + LEASE);
			orders++; last = i; arrived = now; i = 0
		}
	:: now >= END && !flying[0] && !flying[1] -> break
	od
}

/* Time goes on, but not past an order that must have arrived. */
proctype Clock()
{
	do
	:: atomic { now < END && !due(0) && !due(1) -> now++ }
	:: now >= END -> break
	od
}

init
{
	atomic { run Router(0); run Router(1); run Engine(); run Clock() }
}
