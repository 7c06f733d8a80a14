/*
 * hosted-cancel: how a job stays cancelled that was cancelled before any entry
 * knew of it, on a platform whose store may make an unanswered write late
 * (packages/queue: queue-calls.c, queue-calls-write.c, queue-refused.c).
 *
 * Protocol. The store holds the rows spec/ID and stop/ID.
 *  - An acceptance writes spec, and expects that there is neither spec nor
 *    stop. A caller that got no answer tries again at another entry.
 *  - A cancellation writes stop, whether there is a spec or not, and without a
 *    condition. The caller is told that it is cancelled once stop is stored.
 *  - The owner takes the rows in the order in which they were made. A request
 *    to cancel a job that it does not have is lost on it. An owner that takes
 *    over reads both rows at once.
 *  - A stop without a spec is deleted when it is older than any write that was
 *    sent before it can be late. Who deletes it may have missed the spec, so
 *    the store has to confirm that there is none.
 *
 * Properties: runs: no start after stop was made. ignored: a cancelled job is
 * not left to run when all writes have been made.
 *
 * Bounds: two tries to submit the job, one cancellation, one takeover. A write
 * is made, or fails, within LATE ticks. No try begins after the cancellation.
 */

// MUTANT 1: a cancellation without a spec leaves no row => runs
// MUTANT 2: an acceptance does not expect that there is no stop => runs
// MUTANT 3: a cancellation expects that there is no spec => ignored
// MUTANT 4: stop is deleted before late writes are over => runs
// MUTANT 5: stop is deleted although there is a spec => runs

// REACH 1: a late acceptance fails as the job was cancelled
// REACH 2: a late cancellation stops a job that runs
// REACH 3: stop is deleted
// REACH 4: a job that was cancelled is not started by the next owner

#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef REACH
#define REACH 0
#endif

#define TRIES 2
#define LATE 2
#if MUTANT == 4
#define KEEP 1
#else
#define KEEP 3
#endif

/* The store. */
bool spec;
bool stop;
byte stop_age;
/* Writes on their way: sent, and for how long. */
byte tries;
bool accepting[TRIES];
byte accept_age[TRIES];
bool cancelling;
byte cancel_age;
bool cancel_sent;
bool cancel_made; /* or confirmed without a row, in mutant 1 */
/* The owner. */
bool has_job;
bool is_stopped;
bool started;
bool took_over;

bool runs;
bool ignored;
bool reached;

#define SETTLED (!accepting[0] && !accepting[1] && !cancelling)
#define MAY_TICK                                                              \
    ((!accepting[0] || accept_age[0] < LATE) &&                               \
     (!accepting[1] || accept_age[1] < LATE) &&                               \
     (!cancelling || cancel_age < LATE))

/* Makes the write of an acceptance, or lets it fail. */
inline make_acceptance(i)
{
    accepting[i] = false;
    if
    :: !spec && (!stop || MUTANT == 2) ->
        spec = true;
        has_job = true
    :: else ->
        reached = reached || (REACH == 1 && stop && !spec)
    fi
}

/* Makes the write of a cancellation. */
inline make_cancellation()
{
    cancelling = false;
    if
    :: MUTANT == 3 && spec -> skip
    :: MUTANT == 1 && !spec -> cancel_made = true
    :: else ->
        stop = true;
        stop_age = 0;
        cancel_made = true;
        if
        :: has_job ->
            reached = reached || (REACH == 2 && started);
            is_stopped = true
        :: else -> skip
        fi
    fi
}

active proctype world()
{
    byte i;

    do
    :: atomic { !cancel_sent && tries < TRIES ->
        accepting[tries] = true; accept_age[tries] = 0; tries++ }
    :: atomic { !cancel_sent && tries > 0 ->
        cancel_sent = true; cancelling = true; cancel_age = 0 }
    :: atomic { accepting[0] -> make_acceptance(0) }
    :: atomic { accepting[1] -> make_acceptance(1) }
    :: atomic { cancelling -> make_cancellation() }
    :: atomic { has_job && !is_stopped ->
        started = true;
        runs = runs || cancel_made }
    :: atomic { !took_over ->
        took_over = true;
        reached = reached || (REACH == 4 && spec && stop);
        has_job = spec;
        is_stopped = spec && stop }
    :: atomic { stop && stop_age >= KEEP && (!spec || MUTANT == 5) ->
        reached = reached || REACH == 3;
        stop = false }
    :: atomic { MAY_TICK ->
        for (i : 0 .. TRIES - 1) {
            if
            :: accepting[i] -> accept_age[i]++
            :: else -> skip
            fi
        }
        if
        :: cancelling -> cancel_age++
        :: else -> skip
        fi;
        if
        :: stop && stop_age < KEEP -> stop_age++
        :: else -> skip
        fi }
    :: atomic { SETTLED && cancel_sent && has_job && !is_stopped ->
        ignored = true }
    :: assert(!runs)
    :: assert(!ignored)
    :: assert(!reached)
    od
}
