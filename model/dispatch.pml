/*
 * dispatch: one non-repeatable request, from entries to agents.
 *
 * What is modelled. An entry sends a dispatch that carries (id, attempt, agent
 * incarnation). The agent answers `accepted` or `refused` before it starts
 * anything, and may start an accepted attempt later. A withdraw makes the
 * agent fence the attempt; it answers `not_started` or `started`. An agent may
 * restart at any time: the new incarnation remembers nothing, while what the
 * upstream was given goes on. Every message may be lost, late, repeated and
 * reordered: a message once sent stays in a set, from which it may be taken at
 * any time, any number of times, or never. A process may stop for any time
 * between any two steps, which is what a pause or a death looks like from
 * outside; an entry's steps from the claim to the send are separate steps.
 *
 * Unkeyed (keyed = 0): one entry. Keyed (keyed = 1): two entries hold a
 * request with the same Idempotency-Key, as when a caller lost its connection
 * and asked again, and share one row of the table service. A table operation
 * may be refused, or take effect and its answer be lost.
 *
 * Rules that the code is to implement:
 *  1. An agent takes a dispatch or a withdraw only when it names the agent's
 *     own incarnation. To any other it answers that the incarnation is gone,
 *     which says nothing about a start: the entry treats it as no word.
 *  2. An agent's first answer about an attempt is its last: an attempt that
 *     was refused or withdrawn is fenced, so that a later copy does not start.
 *     `refused` and `not_started` therefore mean the same and stand here as
 *     one message. Each dispatch bears a time on the agent's clock after which the
 *     agent does not take it, and no record of an attempt, fenced or finished,
 *     is dropped before. From then on an unknown attempt may have been started
 *     and dropped: a withdraw of it is answered like one for another
 *     incarnation, never by `not_started`. (An agent that is silent about an
 *     attempt for ever is among the behaviours here, so this needs no state.)
 *  3. `not_run` and another upstream are permitted by `not_started` for the
 *     current attempt (the answer's attempt is compared) and by nothing else.
 *     No word ends as `unknown`.
 *  4. Keyed: the row (state, attempt, agent, incarnation, owner) is written
 *     before the dispatch is sent. A write without an answer is read back and
 *     recognised by its writer; when it can't be read back nothing is sent.
 *  5. Keyed: an entry that finds another's claim fences the claim's attempt at
 *     the claim's agent and incarnation, and only after `not_started` replaces
 *     it by attempt+1 with a compare-and-set on what it read.
 *  6. Keyed: `not_run` is first written to the row by compare-and-set and told
 *     after that. When it can't be written, the outcome told is `unknown`:
 *     another entry may have gone on with the key.
 *  7. Keyed: a refusal before the row could be read says `unknown`, not
 *     `not_run`: an earlier request with this key may have run.
 *
 * Properties (most mutants break the first two; each is named by the failure
 * that the search meets first):
 *  started_twice        the id starts at most once over all agents,
 *                       incarnations, attempts and entries (I5);
 *  not_run_untrue       when `not_run` is decided nothing has started, and no
 *                       attempt up to that one starts later (I4). A caller who
 *                       asks again after `not_run` gets a higher attempt;
 *  claim_lost           a row once written is never emptied and its attempt
 *                       never falls (I9, the part that is a safety property).
 *
 * Bounds: 2 agents; 3 attempts, or 2 when keyed and both agents may restart;
 * each agent restarts at most once.
 */

// MUTANT 1: withdraw answers but sets no fence => not_run_untrue
// MUTANT 2: an agent takes a dispatch for another incarnation => started_twice
// MUTANT 3: another incarnation answers a withdraw with not_started => not_run_untrue
// MUTANT 4: not_run is told on a timeout without asking => not_run_untrue
// MUTANT 5: a claim is taken over without fencing => started_twice
// MUTANT 6: the dispatch is sent before the claim is written => started_twice
// MUTANT 7: a refused attempt is not fenced => not_run_untrue
// MUTANT 8: the attempt of an answer is not compared => not_run_untrue
// MUTANT 9: a takeover writes without comparing => started_twice
// MUTANT 10: a claim without an answer counts as written => not_run_untrue
// MUTANT 11: keyed not_run is told without writing the row => not_run_untrue
// MUTANT 12: a fence is dropped while a late copy is still taken => not_run_untrue
// MUTANT 13: no word permits another upstream => not_run_untrue
// MUTANT 14: withdraw leaves an accepted attempt in the agent's queue => not_run_untrue
// MUTANT 15: a finished attempt is forgotten and a late copy taken => started_twice
// MUTANT 16: a refusal for lack of the table says not_run => not_run_untrue
// MUTANT 17: the claim is deleted when not_run is decided => claim_lost
// MUTANT 18: a withdraw of a dropped finished attempt gets not_started => not_run_untrue

// REACH 1: an unkeyed request is answered at its second attempt
// REACH 2: a claim of another entry is taken over and answered
// REACH 3: keyed not_run is told and a later request with the key is answered
// REACH 4: a dispatch meets a later incarnation of its agent
// REACH 5: a second caller gets the outcome that the row holds

#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef REACH
#define REACH 0
#endif

#define AGENTS 2
#define INCARNATIONS 2
#define ATTEMPTS 3
#define ENTRIES 2
#define MESSAGES 12 /* ATTEMPTS * AGENTS * INCARNATIONS */

/* Index of (attempt from 1, agent, incarnation from 1). */
#define AT(n, a, i) ((((n) - 1) * AGENTS + (a)) * INCARNATIONS + (i) - 1)
/* Index of (agent, attempt) in the agents' memories. */
#define MEM(a, n) ((a) * ATTEMPTS + (n) - 1)

mtype = { NONE, ACCEPTED, STARTED, FENCED };
mtype = { FREE, CLAIMED, NOT_RUN, ANSWERED, UNKNOWN };

bool keyed;
byte attempts; /* at most */
byte restarts; /* of agents, still to come */

/* The set of messages that were ever sent. */
bool dispatch[MESSAGES];
bool withdraw[MESSAGES];
bool not_started[MESSAGES];
bool answered[ATTEMPTS + 1];

/* The agents: memory of the present incarnation. */
byte incarnation[AGENTS];
mtype memory[AGENTS * ATTEMPTS];

/* The row of the key. */
mtype row_state = FREE;
byte row_attempt;
byte row_agent;
byte row_incarnation;
byte row_owner;

mtype told[ENTRIES] = NONE;

/* For the properties only. */
byte starts;
byte not_run_up_to;
bool started_twice;
bool not_run_untrue;
bool claim_lost;

bool reached;

inline reach(number, condition)
{
    reached = REACH == number && (condition);
    assert(!reached)
}

/* What an entry believes of an agent: any incarnation that there has been. */
inline pick_agent()
{
    if
    :: a = 0
    :: a = 1
    fi;
    if
    :: i = 1
    :: incarnation[a] == 2 -> i = 2
    fi
}

/* The agents are alike, so entry 0 may as well begin with agent 0. */
inline pick_first()
{
    pick_agent();
    if
    :: me == 0 -> a = 0; i = (i > incarnation[0] -> 1 : i)
    :: else
    fi
}

inline decide_not_run(attempt)
{
    not_run_untrue = starts > 0;
    assert(!not_run_untrue);
    if
    :: attempt > not_run_up_to -> not_run_up_to = attempt
    :: else
    fi
}

inline forget_seen()
{
    seen = 0;
    seen_agent = 0;
    seen_incarnation = 0;
    seen_owner = 0
}

inline write_row(state, attempt, agent, inc, owner)
{
    claim_lost = (attempt < row_attempt);
    assert(!claim_lost);
    row_state = state;
    row_attempt = attempt;
    row_agent = agent;
    row_incarnation = inc;
    row_owner = owner
}

proctype agent(byte a)
{
    byte n;
    byte i;

end:
    do
    :: atomic {
        /* Takes a message that was sent to this agent, or acts by itself. */
        if
        :: n = 1
        :: n = 2
        :: n = 3
        fi;
        if
        :: i = 1
        :: i = 2
        fi;
        if
        :: dispatch[AT(n, a, i)] ->
            if
            :: i != incarnation[a] && MUTANT != 2 ->
                reach(4, true)
            :: else ->
                if
                :: memory[MEM(a, n)] == NONE -> memory[MEM(a, n)] = ACCEPTED
                :: memory[MEM(a, n)] == NONE ->
#if MUTANT != 7
                    memory[MEM(a, n)] = FENCED;
#endif
                    not_started[AT(n, a, i)] = true
                :: memory[MEM(a, n)] == FENCED ->
                    not_started[AT(n, a, i)] = true
                :: else
                fi
            fi
        :: withdraw[AT(n, a, i)] ->
            if
            :: i != incarnation[a] ->
#if MUTANT == 3
                not_started[AT(n, a, i)] = true
#else
                skip
#endif
            :: else ->
                if
                :: memory[MEM(a, n)] == ACCEPTED ->
#if MUTANT != 14
                    memory[MEM(a, n)] = FENCED;
#endif
                    not_started[AT(n, a, i)] = true
                :: memory[MEM(a, n)] == NONE ->
#if MUTANT != 1
                    memory[MEM(a, n)] = FENCED;
#endif
                    not_started[AT(n, a, i)] = true
                :: memory[MEM(a, n)] == FENCED ->
                    not_started[AT(n, a, i)] = true
#if MUTANT == 18
                :: memory[MEM(a, n)] == STARTED && answered[n] ->
                    not_started[AT(n, a, i)] = true
#endif
                :: else
                fi
            fi
        :: i == 1 && memory[MEM(a, n)] == ACCEPTED ->
            memory[MEM(a, n)] = STARTED;
            started_twice = starts > 0;
            assert(!started_twice);
            not_run_untrue = n <= not_run_up_to;
            assert(!not_run_untrue);
            starts++
        :: i == 1 && memory[MEM(a, n)] == STARTED ->
            answered[n] = true;
#if MUTANT == 15
            memory[MEM(a, n)] = NONE
#endif
#if MUTANT == 12
        :: i == 1 && memory[MEM(a, n)] == FENCED -> memory[MEM(a, n)] = NONE
#endif
        :: n == 1 && i == 1 && incarnation[a] < INCARNATIONS &&
           restarts > 0 ->
            restarts--;
            incarnation[a]++;
            memory[MEM(a, 1)] = NONE;
            memory[MEM(a, 2)] = NONE;
            memory[MEM(a, 3)] = NONE
        :: else
        fi;
        n = 0;
        i = 0
    }
    od
}

proctype entry(byte me)
{
    byte n;          /* attempt that this entry holds */
    byte a;
    byte i;
    byte seen;       /* attempt, agent, incarnation, owner as last read */
    byte seen_agent;
    byte seen_incarnation;
    byte seen_owner;
    bool came_late;  /* found another's claim or outcome */

    if
    :: !keyed ->
        atomic { n = 1; pick_first() };
        goto send
    :: else
    fi;

claim:
    atomic {
        pick_first();
        n = 1;
#if MUTANT == 6
        dispatch[AT(n, a, i)] = true;
#endif
    };
    atomic {
        if
        :: row_state == FREE -> /* applied, answered */
            write_row(CLAIMED, 1, a, i, me);
            goto send
        :: row_state == FREE -> /* applied, answer lost */
            write_row(CLAIMED, 1, a, i, me);
#if MUTANT == 10
            goto send
#else
            goto read
#endif
        :: row_state != FREE -> goto read
        :: true -> /* not applied, no answer */
#if MUTANT == 10
            goto send
#else
            goto read
#endif
        fi
    };

read:
    atomic {
        if
        :: row_state == FREE -> n = 0; a = 0; i = 0; goto claim
        :: row_state == CLAIMED && row_owner == me && row_attempt == n ->
            a = row_agent;
            i = row_incarnation;
            goto send
        :: row_state == NOT_RUN && row_owner == me && row_attempt == n ->
            told[me] = NOT_RUN;
            goto done
        :: row_state == ANSWERED ->
            reach(5, true);
            told[me] = ANSWERED;
            goto done
        :: row_state == UNKNOWN -> told[me] = UNKNOWN; goto done
        :: row_state == CLAIMED && !(row_owner == me && row_attempt == n) ||
           row_state == NOT_RUN && !(row_owner == me && row_attempt == n) ->
            came_late = true;
            n = 0;
            a = 0;
            i = 0;
            forget_seen();
            seen = row_attempt;
            seen_agent = row_agent;
            seen_incarnation = row_incarnation;
            seen_owner = row_owner;
            if
            :: row_state == NOT_RUN -> goto replace /* fenced already */
            :: row_state == NOT_RUN -> told[me] = NOT_RUN; goto done
            :: row_state == CLAIMED -> goto fence
            fi
        :: true -> /* the table can't be read */
#if MUTANT == 16
            decide_not_run(row_attempt);
            told[me] = NOT_RUN;
#else
            told[me] = UNKNOWN;
#endif
            goto done
        fi
    };

fence:
#if MUTANT == 5
    goto replace;
#endif
    withdraw[AT(seen, seen_agent, seen_incarnation)] = true;
    if
    :: not_started[AT(seen, seen_agent, seen_incarnation)] -> goto replace
    :: row_state != CLAIMED || row_attempt != seen -> goto read
    :: true -> goto give_up
    fi;

replace:
    /* Attempt+1 by compare-and-set on what was read. */
    atomic {
        if
        :: seen == attempts -> told[me] = UNKNOWN; goto done
        :: else
        fi;
        pick_agent();
        n = seen + 1;
        if
        :: row_attempt == seen && row_owner == seen_owner &&
           (row_state == CLAIMED || row_state == NOT_RUN) || MUTANT == 9 ->
            write_row(CLAIMED, n, a, i, me);
            if
            :: goto send
            :: goto read /* answer lost */
            fi
        :: else -> goto read
        :: true -> goto read /* not applied, no answer */
        fi
    };

send:
    atomic {
        dispatch[AT(n, a, i)] = true;
        forget_seen()
    };

wait:
    if
    :: answered[n] -> goto tell_answer
    :: not_started[AT(n, a, i)] -> goto refused
#if MUTANT == 8
    :: n > 1 && not_started[AT(n - 1, a, i)] -> goto refused
#endif
    :: true -> withdraw[AT(n, a, i)] = true; goto wait_withdrawn
    fi;

wait_withdrawn:
    if
    :: answered[n] -> goto tell_answer
    :: not_started[AT(n, a, i)] -> goto refused
#if MUTANT == 4
    :: true -> goto tell_not_run
#elif MUTANT == 13
    :: true -> goto refused
#endif
    :: true -> goto give_up
    fi;

refused:
    if
    :: goto tell_not_run
    :: n < attempts -> skip
    fi;
    /* Another upstream. */
    atomic {
        seen = n;
        seen_owner = me;
        if
        :: keyed -> goto replace
        :: else -> n++; pick_agent(); seen = 0; seen_owner = 0; goto send
        fi
    };

tell_not_run:
    atomic {
        if
        :: !keyed || MUTANT == 11 ->
            decide_not_run(n);
            told[me] = NOT_RUN;
            goto done
        :: keyed && row_state == CLAIMED && row_attempt == n &&
           row_owner == me ->
            decide_not_run(n);
#if MUTANT == 17
            write_row(FREE, 0, 0, 0, 0);
#else
            row_state = NOT_RUN;
#endif
            if
            :: told[me] = NOT_RUN; goto done
            :: goto read /* answer lost */
            fi
        :: keyed && !(row_state == CLAIMED && row_attempt == n &&
                      row_owner == me) ->
            goto read
        :: keyed -> told[me] = UNKNOWN; goto done /* the table is down */
        fi
    };

tell_answer:
    atomic {
        reach(1, !keyed && n == 2);
        reach(2, came_late);
        reach(3, keyed && not_run_up_to > 0);
        if
        :: keyed && row_state == CLAIMED && row_attempt == n &&
           row_owner == me ->
            row_state = ANSWERED
        :: true
        fi;
        told[me] = ANSWERED;
        goto done
    };

give_up:
    atomic {
        if
        :: keyed && row_state == CLAIMED &&
           (row_attempt == n && row_owner == me ||
            came_late && n == 0 && row_attempt == seen &&
            row_owner == seen_owner) ->
            row_state = UNKNOWN
        :: true
        fi;
        told[me] = UNKNOWN
    };

done:
    atomic {
        assert(told[me] != NONE);
        n = 0;
        a = 0;
        i = 0;
        forget_seen();
        came_late = false
    }
}

init
{
    atomic {
        incarnation[0] = 1;
        incarnation[1] = 1;
        memory[0] = NONE;
        memory[1] = NONE;
        memory[2] = NONE;
        memory[3] = NONE;
        memory[4] = NONE;
        memory[5] = NONE;
        if
        :: keyed = false; attempts = 3; restarts = 2
        :: keyed = true; attempts = 2; restarts = 2
        :: keyed = true; attempts = 3; restarts = 1
        fi;
        run entry(0);
        if
        :: keyed -> run entry(1)
        :: else
        fi;
        run agent(0);
        run agent(1)
    }
}
