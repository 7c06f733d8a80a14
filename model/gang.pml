/*
 * gang: from reservation to release, takeover to attempt+1.
 *
 * Protocol that the code is to implement. A job's row in the table service
 * holds (attempt, term of its writer, members with their incarnations); the
 * term row holds (owner, term).
 *  1. Prepare. The owner sends prepare(job, attempt, term, incarnation, R) to
 *     each member. An agent reserves for R on its own clock, counted from the
 *     arrival, and answers `prepared`. Nothing works yet. Prepares go out
 *     before a row names them: they do no work and lapse by themselves.
 *  2. Margin. The owner counts from its first prepare, on its own clock. It
 *     goes on only when R less that is more than C, the time that commit and
 *     release may take; otherwise it drops the try and takes a new rank.
 *  3. Commit. One transaction: the term row still names this owner and term,
 *     the job row still holds the attempt that was read; then the job row
 *     becomes (attempt+1, term, members). A lost answer is read back; without
 *     a certain answer nothing is released.
 *  4. Release to each member. An agent starts the task only when it holds the
 *     reservation of this very (attempt, term), not lapsed; it then has a gang
 *     lease of G, renewed as gang-lease.pml says: never later than G after a
 *     moment at which all members had worked within the last H. A refused
 *     release ends the attempt: the owner fences all members.
 *  5. A reservation that lapsed, was fenced or was replaced by one of a higher
 *     (attempt, term) is spent: later copies of its prepare and release are
 *     refused. The agent remembers the highest spent (attempt, term) of a job.
 *  6. Restart of an agent. Messages name the incarnation they were meant for;
 *     another refuses them, so nothing has to be remembered. The new one asks
 *     its worker what works, and adopts it (the worker ends it when its lease
 *     ends). Asked to fence an attempt of its earlier incarnation, it stops
 *     what works and may answer `fenced`: the question is what can work from
 *     now on, not what has worked.
 *  7. Takeover. The new owner takes the term row, then reads the job row. When
 *     that holds an attempt, it fences the attempt at its members. An agent
 *     answers `fenced` after the worker has stopped the task. The new owner
 *     goes on to prepare attempt+1 (rules 1 to 4) when
 *       a. all members have answered `fenced`, or
 *       b. at least one has, and max(H, R) + G have gone by since then on the
 *          new owner's clock: the fenced member is not heard any more, so that
 *          no lease is renewed after H and the last ends G later; a
 *          reservation made before the commit lapses within R, and one that is
 *          released just before ends G later as it can't be renewed.
 *     With no answer from any member the gang may be working whole and be
 *     renewed elsewhere: the job waits.
 *
 * Properties:
 *  two_attempts           no two attempts work at the same time;
 *  work_before_commit     a member works only for an attempt whose row is
 *                         written: a prepared task does no work;
 *  partial_without_fault  when commit and release took no longer than C, no
 *                         release meets a lapsed reservation: a gang starts in
 *                         part only after a pause or a loss;
 *  commit_unseen          once a new owner has read the rows to build its
 *                         accounts, no commit of an older owner appears.
 * The bound on the time in which some members work and others do not is
 * gang-lease.pml's: H + G.
 *
 * Time is explicit: one tick ages everything by one. Messages once sent may be
 * taken at any time, again, or never; an owner may stop between any two steps.
 * Clock rates are taken as equal: the code multiplies the wait of rule 7b by
 * (1 + drift).
 *
 * Bounds: 3 agents; owner 1 starts the gang on agents 0 and 1, owner 2 on 1
 * and 2 or again on 0 and 1; agent 1 restarts at most once; R = 3, C = 1,
 * G = 2, H = 1; time without end.
 */

// MUTANT 1: the lease margin is not checked before the commit => partial_without_fault
// MUTANT 2: a release after the reservation lapsed is taken => two_attempts
// MUTANT 3: attempt+1 starts without fencing => two_attempts
// MUTANT 4: the commit does not check the term row => commit_unseen
// MUTANT 5: members work on without renewal => two_attempts
// MUTANT 6: a late prepare reserves again after the lapse => two_attempts
// MUTANT 7: a restarted agent takes messages for its earlier incarnation => two_attempts
// MUTANT 8: a prepared task works at once => work_before_commit
// MUTANT 9: members are released before the row is written => work_before_commit
// MUTANT 10: the wait for a silent member leaves out the reservation => two_attempts
// MUTANT 11: the wait for silent members needs no fenced one => two_attempts
// MUTANT 12: fenced is answered before the task has stopped => two_attempts
// MUTANT 13: leases are renewed without hearing every member => two_attempts

// REACH 1: both members of attempt 1 work
// REACH 2: attempt 2 works whole after attempt 1 had worked whole
// REACH 3: attempt 2 works whole though a member was never asked

#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef REACH
#define REACH 0
#endif

#define AGENTS 3
#define R 3
#define C 1
#define G 2
#define H 1
#define OLD (H + 1)
#define WAIT (MUTANT == 10 -> H + G : R + G) /* max(H, R) + G */

/* A try of owner 1 has rank 1, one of owner 2 rank 2: (attempt, term). */
#define RANKS 3
#define OF(rank, a) ((rank) * AGENTS + (a))

mtype = { FREE, PREPARED, WORKS };

/* The table service. */
byte term = 1;
byte row_rank; /* 0: the job is queued and has no attempt */

/* Messages, and the incarnation that each is meant for. */
bool member[RANKS * AGENTS];
byte meant_for[RANKS * AGENTS];
bool prepare[RANKS];
bool release[RANKS];
bool fence;
bool prepared[RANKS * AGENTS];
bool fenced[AGENTS];

/* The agents and their workers. */
mtype phase[AGENTS];
byte rank_of[AGENTS]; /* of the reservation or the task */
byte left[AGENTS];
byte spent[AGENTS];
byte incarnation[AGENTS];

/* Ages: since a member last worked, since an owner's steps. */
byte worked_age[RANKS * AGENTS];
byte prepare_age[RANKS];
byte check_age[RANKS];
byte fenced_age;

/* For the properties only. */
bool lapsed[RANKS * AGENTS];
bool accounts_read;
bool attempt_1_worked;
bool two_attempts;
bool work_before_commit;
bool partial_without_fault;
bool commit_unseen;
bool reached;

inline reach(number, condition)
{
    reached = REACH == number && (condition);
    assert(!reached)
}

inline older(age, limit)
{
    if
    :: age < limit -> age++
    :: else
    fi
}

#define WORKS_FOR(a, rank) (phase[a] == WORKS && rank_of[a] == (rank))
#define ANY_WORKS(rank)                                                       \
    (WORKS_FOR(0, rank) || WORKS_FOR(1, rank) || WORKS_FOR(2, rank))
#define HEARD(rank, x)                                                        \
    (!member[OF(rank, x)] || WORKS_FOR(x, rank) ||                            \
     worked_age[OF(rank, x)] <= H)
#define ALL_WORK(rank)                                                        \
    ((!member[OF(rank, 0)] || WORKS_FOR(0, rank)) &&                          \
     (!member[OF(rank, 1)] || WORKS_FOR(1, rank)) &&                          \
     (!member[OF(rank, 2)] || WORKS_FOR(2, rank)) && ANY_WORKS(rank))

inline start(a, rank)
{
    phase[a] = WORKS;
    rank_of[a] = rank;
    left[a] = G;
    work_before_commit = row_rank < rank;
    assert(!work_before_commit);
    two_attempts = ANY_WORKS(1) && ANY_WORKS(2);
    assert(!two_attempts);
    if
    :: ALL_WORK(1) -> attempt_1_worked = true
    :: else
    fi;
    reach(1, ALL_WORK(1));
    reach(2, ALL_WORK(2) && attempt_1_worked);
    reach(3, ALL_WORK(2) && row_rank == 2 && fence && !fenced[0] &&
                 incarnation[1] == 1)
}

inline end_task(a)
{
    if
    :: phase[a] == WORKS -> worked_age[OF(rank_of[a], a)] = 0
    :: else
    fi;
    phase[a] = FREE;
    rank_of[a] = 0;
    left[a] = 0
}

inline spend(a, rank)
{
    if
    :: spent[a] < rank -> spent[a] = rank
    :: else
    fi
}

inline take_prepare(a, rank)
{
    if
    :: spent[a] >= rank || phase[a] == WORKS || rank_of[a] > rank
    :: else ->
        if
        :: rank_of[a] != rank ->
            spend(a, rank_of[a]);
            phase[a] = PREPARED;
            rank_of[a] = rank;
            left[a] = R;
            prepared[OF(rank, a)] = true
        :: else
        fi;
#if MUTANT == 8
        start(a, rank)
#endif
    fi
}

inline take_release(a, rank)
{
    if
    :: phase[a] == PREPARED && rank_of[a] == rank -> start(a, rank)
    :: phase[a] == FREE && lapsed[OF(rank, a)] ->
        partial_without_fault = check_age[rank] <= C;
        assert(!partial_without_fault);
#if MUTANT == 2
        start(a, rank)
#endif
    :: else
    fi
}

inline take_fence(a)
{
    if
    :: MUTANT != 12 && rank_of[a] == 1 -> end_task(a)
    :: else
    fi;
    spend(a, 1);
    if
    :: !fenced[a] && !fenced[0] && !fenced[1] -> fenced_age = 0
    :: else
    fi;
    fenced[a] = true
}

#define MEANT(rank, a)                                                        \
    (member[OF(rank, a)] &&                                                   \
     (meant_for[OF(rank, a)] == incarnation[a] || MUTANT == 7))

proctype agent(byte a)
{
end:
    do
    :: atomic { prepare[1] && MEANT(1, a) -> take_prepare(a, 1) }
    :: atomic { prepare[2] && MEANT(2, a) -> take_prepare(a, 2) }
    :: atomic { release[1] && MEANT(1, a) -> take_release(a, 1) }
    :: atomic { release[2] && MEANT(2, a) -> take_release(a, 2) }
    :: atomic { fence && member[OF(1, a)] && !fenced[a] -> take_fence(a) }
    :: atomic {
        phase[a] == WORKS && left[a] < G &&
        (HEARD(rank_of[a], 0) && HEARD(rank_of[a], 1) &&
         HEARD(rank_of[a], 2) || MUTANT == 13) ->
        left[a] = G
    }
    :: atomic {
        a == 1 && incarnation[a] == 1 ->
        incarnation[a] = 2;
        spent[a] = 0;
        if
        :: phase[a] == PREPARED -> end_task(a)
        :: else
        fi
    }
    od
}

inline tick_rank(rank)
{
    if
    :: prepare[rank] ->
        older(prepare_age[rank], R);
        older(check_age[rank], C + 1)
    :: else
    fi
}

inline tick_agent(a)
{
    if
    :: phase[a] == PREPARED || phase[a] == WORKS && MUTANT != 5 ->
        left[a]--;
        if
        :: left[a] == 0 ->
            lapsed[OF(rank_of[a], a)] =
                lapsed[OF(rank_of[a], a)] || phase[a] == PREPARED;
#if MUTANT != 6
            spend(a, rank_of[a]);
#endif
            end_task(a)
        :: else
        fi
    :: else
    fi;
    older(worked_age[OF(1, a)], OLD);
    older(worked_age[OF(2, a)], OLD)
}

proctype time()
{
end:
    do
    :: atomic {
        tick_rank(1);
        tick_rank(2);
        if
        :: fenced[0] || fenced[1] || MUTANT == 11 && fence ->
            older(fenced_age, WAIT)
        :: else
        fi;
        tick_agent(0);
        tick_agent(1);
        tick_agent(2)
    }
    od
}

/* What an owner knows of an agent's incarnation may be out of date. */
inline name_member(rank, a)
{
    member[OF(rank, a)] = true;
    if
    :: meant_for[OF(rank, a)] = 1
    :: incarnation[a] == 2 -> meant_for[OF(rank, a)] = 2
    fi
}

#define ALL_PREPARED(rank)                                                    \
    ((!member[OF(rank, 0)] || prepared[OF(rank, 0)]) &&                       \
     (!member[OF(rank, 1)] || prepared[OF(rank, 1)]) &&                       \
     (!member[OF(rank, 2)] || prepared[OF(rank, 2)]))

proctype owner(byte rank)
{
    byte seen;

    if
    :: rank == 2 ->
        term = 2;
        atomic { seen = row_rank; accounts_read = true };
        if
        :: seen == 1 && MUTANT != 3 ->
            fence = true;
            (fenced[0] && fenced[1]) ||
                (fenced[0] || fenced[1] || MUTANT == 11) &&
                    fenced_age >= WAIT
        :: else
        fi
    :: else
    fi;
    atomic {
        if
        :: name_member(rank, 0); name_member(rank, 1)
        :: rank == 2 -> name_member(rank, 1); name_member(rank, 2)
        fi;
        prepare[rank] = true
    };
    atomic {
        ALL_PREPARED(rank) && (R - prepare_age[rank] > C || MUTANT == 1) ->
        check_age[rank] = 0
    };
#if MUTANT == 9
    release[rank] = true;
#endif
    atomic {
        row_rank == seen && (term == rank || MUTANT == 4) ->
        row_rank = rank;
        commit_unseen = rank == 1 && accounts_read;
        assert(!commit_unseen)
    };
    release[rank] = true
}

init
{
    atomic {
        phase[0] = FREE;
        phase[1] = FREE;
        phase[2] = FREE;
        incarnation[0] = 1;
        incarnation[1] = 1;
        incarnation[2] = 1;
        worked_age[OF(1, 0)] = OLD;
        worked_age[OF(1, 1)] = OLD;
        worked_age[OF(1, 2)] = OLD;
        worked_age[OF(2, 0)] = OLD;
        worked_age[OF(2, 1)] = OLD;
        worked_age[OF(2, 2)] = OLD;
        run owner(1);
        run owner(2);
        run agent(0);
        run agent(1);
        run agent(2);
        run time()
    }
}
