/*
 * hosted-owner: how one task runs once at a time, and not again after its end,
 * while owners change on a platform with a store and leased workers
 * (packages/queue, packages/jobs).
 *
 * Protocol. The store holds the owner row (its version rises with each claim)
 * and the task's row: run, the worker it was given to, done. Every write of an
 * owner expects the version of the owner row that it knows.
 *  - A run is written, then ordered. An order is a message: lost, repeated, or
 *    carried out late. It carries the owner's term, below which a worker obeys
 *    nobody, and a time after which it is refused.
 *  - A worker keeps the highest run that was stopped or has ended there and
 *    refuses runs up to it. An end stays listed until it is acknowledged.
 *  - Everything on a worker ends with its lease. An owner grants leases and
 *    sends starts while its last confirmed write is less than B old.
 *  - The task is given anew only when its last run can't run any more: its end
 *    is listed, a stop of it is confirmed, or the last lease that anybody can
 *    have granted is over. Who takes over waits for B and a lease more, as the
 *    owner before may not know yet.
 *  - After a write without an answer, which may be carried out late, the owner
 *    row is rewritten before anything else is: what is still on its way then
 *    expects a version that is gone.
 *  - An end is acknowledged after the row that has it.
 *  - An owner may give leadership back by writing that nobody has it. From its
 *    first try on it orders nothing and grants nothing, as the write may be
 *    carried out late; who takes over then waits for one lease only.
 *  - A run is given only to a worker that has answered under this owner's
 *    term: it takes no lease of the owner before any more, and those that it
 *    took by then are no longer than ours.
 *
 * Properties: twice: the task never runs on two workers. again: no start after
 * an end "done" was acknowledged. Clock rates are taken as equal: the code
 * stretches leases by 3% (LEASE_STRETCH).
 *
 * Bounds: two entries, of which entry 0 is the owner first, two workers, of
 * which worker 0 has the first run; 2 runs, 2 claims; L and B of 2 ticks, time
 * without end. One start can be under way, and one write.
 */

// MUTANT 1: writes do not expect the owner row => again
// MUTANT 2: a run is ordered before it is written => again
// MUTANT 3: a worker out of reach is not waited for => twice
// MUTANT 4: an unconfirmed start is not stopped before the next run => twice
// MUTANT 5: an end is acknowledged before it is written => again
// MUTANT 6: a takeover waits for one lease only => twice
// MUTANT 7: an owner grants leases without confirmed writes => twice
// MUTANT 8: a write goes on after one without an answer => again
// MUTANT 9: a start carries no time after which it is refused => twice
// MUTANT 10: the rows are not asked for again after a claim => twice
// MUTANT 11: a run is given where the owner's term is not known yet => twice
// MUTANT 12: starts are sent without confirmed writes => again
// MUTANT 13: leases are granted while leadership is being given back => twice

// REACH 1: a second owner runs the task again on the other worker
// REACH 2: an end is acknowledged by the second owner
// REACH 3: a late write is carried out
// REACH 4: the second owner takes leadership that was given back late

#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef REACH
#define REACH 0
#endif

#define L 2
#define B 2
#define RUNS 2
#define VERSIONS 3
#define NOBODY 2 /* no worker */

/* The store. */
byte version; /* of the owner row */
byte last_term;
bool nobody; /* leadership was given back */
byte row_run;
byte row_where = NOBODY;
bool row_done;
/* A write whose answer was lost, on its way. */
bool late;
byte late_version;
bool late_back; /* it gives leadership back, and writes nothing else */
byte late_run;
byte late_where;
bool late_done;

/* Entries. */
bool leads[2];
bool fencing[2]; /* a write had no answer */
bool back[2];    /* it is being given back */
byte known[2];   /* version of the owner row */
byte term[2];
byte last[2]; /* of the last run */
byte where[2];
bool written[2];
bool done[2];
byte wait_left[2]; /* of the longest lease that the run's worker may have */
byte confirmed[2]; /* age of the last confirmed write */

/* Workers. */
byte fence[2];
byte runs[2]; /* 0: nothing */
byte lease[2];
byte closed[2];
bool ended_done[2]; /* listed and not acknowledged */
/* A start on its way to worker 0; worker 1 carries starts out at once. */
bool start;
byte start_run;
byte start_term;
byte start_left;

/* For the properties only. */
bool acknowledged;
bool twice;
bool again;
bool reached;
bool reached_late; /* leadership was given back by a late write */

inline reach(number, condition)
{
    reached = REACH == number && (condition);
    assert(!reached)
}

inline check()
{
    twice = runs[0] != 0 && runs[1] != 0;
    assert(!twice)
}

inline longest(at, n)
{
    if
    :: wait_left[at] < n -> wait_left[at] = n
    :: else
    fi
}

/* The run that this owner knows can't run any more. */
inline gone(o)
{
    where[o] = NOBODY;
    wait_left[o] = 0
}

inline claim(o)
{
    version++;
    last_term++;
    known[o] = version;
    term[o] = last_term;
    leads[o] = true;
    fencing[o] = false;
    confirmed[o] = 0;
    if
    :: MUTANT != 10 ->
        last[o] = row_run;
        where[o] = row_where;
        done[o] = row_done
    :: else /* what it knew while it was the owner before, or nothing */
    fi;
    written[o] = true;
    wait_left[o] = (MUTANT == 6 || nobody -> L : B + L);
    reach(4, nobody && reached_late);
    nobody = false
}

/* A write; its answer may be lost, before or after it took effect. */
inline store(o)
{
    if
    :: known[o] != version && MUTANT != 1 ->
        leads[o] = false
    :: else ->
        if
        :: true ->
            row_run = last[o];
            row_where = where[o];
            row_done = done[o];
            written[o] = true;
            confirmed[o] = 0
        :: !late ->
            late = true;
            late_version = known[o];
            late_run = last[o];
            late_where = where[o];
            late_done = done[o];
            fencing[o] = MUTANT != 8
        fi
    fi
}

/* A write that nobody leads; its answer may be lost. */
inline give_back(o)
{
    if
    :: known[o] != version ->
        leads[o] = false;
        back[o] = false
    :: else ->
        if
        :: true ->
            version++;
            nobody = true;
            leads[o] = false;
            back[o] = false
        :: !late ->
            late = true;
            late_back = true;
            late_version = known[o]
        fi
    fi
}

inline look(o, w)
{
    fence[w] = term[o];
    if
    :: where[o] == w && closed[w] >= last[o] ->
        if
        :: ended_done[w] -> done[o] = true
        :: else
        fi;
        gone(o);
        written[o] = false
    :: else
    fi
}

inline stop(o, w)
{
    fence[w] = term[o];
    if
    :: closed[w] < last[o] ->
        closed[w] = last[o];
        if
        :: runs[w] != 0 -> runs[w] = 0
        :: else
        fi
    :: else
    fi
}

inline grant(o, w)
{
    fence[w] = term[o];
    lease[w] = L;
    if
    :: where[o] == w -> longest(o, L)
    :: else
    fi
}

/* A worker carries out a start, or refuses it. */
inline carry_out(w, n, of_term, left)
{
    if
    :: of_term >= fence[w] && n > closed[w] && runs[w] == 0 &&
       (left > 0 || MUTANT == 9) ->
        fence[w] = of_term;
        runs[w] = n;
        if
        :: MUTANT == 9 -> lease[w] = L
        :: MUTANT != 9 && lease[w] < left -> lease[w] = left
        :: else
        fi;
        again = acknowledged;
        assert(!again);
        check();
        reach(1, of_term > 1 && n > 1)
    :: else
    fi
}

inline drop_start()
{
    start = false;
    start_run = 0;
    start_term = 0;
    start_left = 0
}

proctype Entry(byte o)
{
    byte w;

    do
    :: atomic { !leads[o] && last_term == o -> claim(o) }
    :: atomic { leads[o] && fencing[o] ->
        if
        :: known[o] == version && version < VERSIONS ->
            version++;
            known[o] = version;
            fencing[o] = false;
            confirmed[o] = 0
        :: known[o] != version -> leads[o] = false
        :: else -> skip
        fi }
    /* The other mutants fail without it, in a third of the states. */
    :: atomic { o == 0 && leads[o] && !fencing[o] && !back[o] &&
                (MUTANT == 0 || MUTANT == 13) ->
        back[o] = true }
    :: atomic { back[o] && leads[o] -> give_back(o) }
    :: atomic { leads[o] && !back[o] && !done[o] && where[o] == NOBODY &&
                (written[o] || MUTANT == 8) && !fencing[o] &&
                last[o] < RUNS ->
        if
        :: fence[0] == term[o] || MUTANT == 11 -> w = 0
        :: last[o] > 0 && (fence[1] == term[o] || MUTANT == 11) -> w = 1
        :: else -> w = NOBODY
        fi;
        if
        :: w != NOBODY ->
            last[o]++;
            where[o] = w;
            wait_left[o] = (MUTANT == 11 -> 0 : L);
            written[o] = false
        :: else
        fi }
    :: atomic { leads[o] && !back[o] && !fencing[o] && !written[o] ->
        store(o) }
    :: atomic { leads[o] && !back[o] && where[o] != NOBODY &&
                (written[o] || MUTANT == 2) &&
                (where[o] == 1 || !start) &&
                (confirmed[o] < B || MUTANT == 12) ->
        longest(o, L);
        if
        :: where[o] == 0 ->
            start = true;
            start_run = last[o];
            start_term = term[o];
            start_left = L
        :: else -> carry_out(1, last[o], term[o], L)
        fi }
    :: atomic { leads[o] && (!back[o] || MUTANT == 13) &&
                where[o] != NOBODY && (confirmed[o] < B || MUTANT == 7) ->
        w = where[o];
        if
        :: fence[w] <= term[o] -> grant(o, w)
        :: else
        fi }
    :: atomic { leads[o] ->
        if
        :: w = 0
        :: w = 1
        fi;
        if
        :: fence[w] <= term[o] -> look(o, w)
        :: else
        fi }
    /* The start shows no effect: the run is given up. */
    :: atomic { leads[o] && where[o] != NOBODY && written[o] ->
        w = where[o];
        if
        :: MUTANT == 4 && runs[w] == 0 ->
            gone(o);
            written[o] = false
        :: MUTANT != 4 && fence[w] <= term[o] &&
           closed[w] < last[o] ->
            stop(o, w);
            gone(o);
            written[o] = false
        :: else
        fi }
    /* The worker is out of reach. */
    :: atomic { leads[o] && where[o] != NOBODY &&
                (wait_left[o] == 0 || MUTANT == 3) ->
        gone(o);
        written[o] = false }
    /* The end is acknowledged. */
    :: atomic { leads[o] && done[o] && (written[o] || MUTANT == 5) ->
        if
        :: ended_done[0] && fence[0] <= term[o] ->
            ended_done[0] = false;
            acknowledged = true;
            reach(2, term[o] > 1)
        :: ended_done[1] && fence[1] <= term[o] ->
            ended_done[1] = false;
            acknowledged = true;
            reach(2, term[o] > 1)
        :: else
        fi }
    od
}

proctype Worker(byte w)
{
    do
    /* A start is carried out, now or late, once or again. */
    :: atomic { w == 0 && start ->
        carry_out(0, start_run, start_term, start_left);
        if
        :: drop_start()
        :: skip
        fi }
    :: atomic { w == 0 && start -> drop_start() }
    :: atomic { runs[w] != 0 ->
        closed[w] = runs[w];
        ended_done[w] = true;
        runs[w] = 0 }
    od
}

proctype Store()
{
    do
    :: atomic { late ->
        if
        :: late_version == version && late_back ->
            version++;
            nobody = true;
            reached_late = REACH == 4
        :: late_version == version && !late_back ->
            row_run = late_run;
            row_where = late_where;
            row_done = late_done;
            reach(3, true)
        :: else
        fi;
        late = false;
        late_back = false;
        late_version = 0;
        late_run = 0;
        late_where = 0;
        late_done = false }
    od
}

inline age(n)
{
    if
    :: n > 0 -> n--
    :: else
    fi
}

/* A worker's lease ends: what runs there is killed, and listed. */
inline lapse(w)
{
    age(lease[w]);
    if
    :: lease[w] == 0 && runs[w] != 0 ->
        closed[w] = runs[w];
        runs[w] = 0
    :: else
    fi;
    /* An end that is not acknowledged by then counts for nothing. */
    if
    :: lease[w] == 0 -> ended_done[w] = false
    :: else
    fi
}

inline entry_ages(o)
{
    age(wait_left[o]);
    if
    :: confirmed[o] < B -> confirmed[o]++
    :: else
    fi
}

proctype Time()
{
    do
    :: atomic { true ->
        age(start_left);
        lapse(0);
        lapse(1);
        entry_ages(0);
        entry_ages(1) }
    od
}

init
{
    atomic {
        run Entry(0);
        run Entry(1);
        run Worker(0);
        run Worker(1);
        run Store();
        run Time()
    }
}
