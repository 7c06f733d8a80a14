/*
 * gang-lease: how the members of a gang go on only while all of them go on.
 *
 * gang.pml uses what is shown here as a rule: a member's lease ends at most G
 * after a moment at which every member had worked within the last H.
 *
 * Protocol. Every worker that works for a gang sends heartbeats to one entry,
 * the gang's renewer. Clocks are compared with themselves only:
 *  - A heartbeat carries the agent's own time of sending and echoes the newest
 *    stamp that the agent has from this incarnation of the renewer. It is sent
 *    only while the released task works.
 *  - The renewer's answer echoes the agent's time, carries the renewer's own
 *    time of sending as a new stamp, and says whether the lease is renewed.
 *  - The renewer counts a member as heard at the time of the stamp that its
 *    heartbeat echoed, not at the time when the heartbeat came in: one that
 *    waited in a queue while the renewer was paused proves nothing about now. A member
 *    whose first heartbeat has no stamp to echo gets a stamp and no renewal.
 *  - The renewer renews only when every member of the attempt was heard within
 *    the last H. It keeps no other state, and a restart may lose it.
 *  - The agent counts a renewed lease from its own time of sending that
 *    heartbeat:
 *    G after it the worker stops the task, by itself when the agent is dead or
 *    paused. An answer that comes late renews less, or nothing.
 *  - A release gives the first lease, G from its arrival; nothing renews it
 *    until all members work.
 *
 * Property: lone_member: whenever one member works and another does not, this
 * lasts at most H + G, whatever is lost, late, repeated, paused or restarted
 * (I2). Clock rates are taken as equal: the code takes (H + G) * (1 + drift).
 *
 * Time is explicit: one tick ages everything by one and ends leases. Ages stop
 * counting where they no longer matter. A message stands in a slot for each
 * member and direction; it may be read late, again or never, and a newer one
 * takes its place or is lost.
 *
 * Bounds: one renewer at a time (a lease is the longest of those granted, and
 * each keeps to the rule by itself), 2 members (the property is about pairs),
 * H = 2, G = 3, time without end.
 */

// MUTANT 1: a renewed lease counts from the answer's arrival => lone_member
// MUTANT 2: a heartbeat counts as heard when it comes in => lone_member
// MUTANT 3: the renewer renews without hearing every member => lone_member
// MUTANT 4: a member works on without renewal => lone_member
// MUTANT 5: a prepared member sends heartbeats => lone_member
// MUTANT 6: a restarted renewer takes its members as just heard => lone_member

// REACH 1: both members work longer than one lease
// REACH 2: a member works alone for as long as the bound
// REACH 3: both members work on after a restart of the renewer

#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef REACH
#define REACH 0
#endif

#define MEMBERS 2
#define H 2
#define G 3
#define OLD (H + 1) /* age of a stamp that proves nothing any more */
#define LONGER (H + G + 1)

mtype = { PREPARED, WORKS, STOPPED };

mtype phase[MEMBERS];
byte left[MEMBERS];      /* of the lease */
byte stamp_age[MEMBERS]; /* newest stamp that the agent has */
byte heard_age[MEMBERS]; /* newest stamp that came back to the renewer */

/* Heartbeats and answers under way: ages of what they carry. */
bool heartbeat[MEMBERS];
byte heartbeat_age[MEMBERS];
byte heartbeat_stamp_age[MEMBERS];
bool answer[MEMBERS];
byte answer_heartbeat_age[MEMBERS];
byte answer_stamp_age[MEMBERS];
bool answer_renews[MEMBERS];

/* For the properties only. */
byte alone;    /* how long member 0 has worked while member 1 has not */
byte together; /* how long both have worked */
bool restarted;
bool lone_member;
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

inline stop(m)
{
    phase[m] = STOPPED;
    left[m] = 0;
    stamp_age[m] = OLD;
    answer[m] = false;
    answer_heartbeat_age[m] = 0;
    answer_stamp_age[m] = 0;
    answer_renews[m] = false
}

inline tick_member(m)
{
    older(stamp_age[m], OLD);
    older(heard_age[m], OLD);
    if
    :: heartbeat[m] ->
        older(heartbeat_age[m], G);
        older(heartbeat_stamp_age[m], OLD)
    :: else
    fi;
    if
    :: answer[m] ->
        older(answer_heartbeat_age[m], G);
        older(answer_stamp_age[m], OLD)
    :: else
    fi;
    if
    :: phase[m] == WORKS && MUTANT != 4 ->
        left[m]--;
        if
        :: left[m] == 0 -> stop(m)
        :: else
        fi
    :: else
    fi
}

inline send_heartbeat(m)
{
    heartbeat[m] = true;
    heartbeat_age[m] = 0;
    heartbeat_stamp_age[m] = stamp_age[m]
}

inline take_heartbeat(m)
{
    if
    :: MUTANT == 2 -> heard_age[m] = 0
    :: MUTANT != 2 && heartbeat_stamp_age[m] < heard_age[m] ->
        heard_age[m] = heartbeat_stamp_age[m]
    :: else
    fi;
    answer[m] = true;
    answer_heartbeat_age[m] = heartbeat_age[m];
    answer_stamp_age[m] = 0;
    answer_renews[m] = (heard_age[0] <= H && heard_age[1] <= H) || MUTANT == 3
}

inline take_answer(m)
{
    if
    :: answer_stamp_age[m] < stamp_age[m] ->
        stamp_age[m] = answer_stamp_age[m]
    :: else
    fi;
    if
    :: phase[m] == WORKS && answer_renews[m] && MUTANT == 1 -> left[m] = G
    :: phase[m] == WORKS && answer_renews[m] && MUTANT != 1 &&
       G - answer_heartbeat_age[m] > left[m] ->
        left[m] = G - answer_heartbeat_age[m]
    :: else
    fi
}

inline forget_stamps(m)
{
    /* Stamps of another incarnation of the renewer are ignored. */
    stamp_age[m] = OLD;
    heartbeat_stamp_age[m] = (heartbeat[m] -> OLD : 0);
    answer_stamp_age[m] = (answer[m] -> OLD : 0);
    heard_age[m] = (MUTANT == 6 -> 0 : OLD)
}

proctype member(byte m)
{
end:
    do
    :: atomic {
        phase[m] == PREPARED ->
        phase[m] = WORKS;
        left[m] = G;
        alone = 0
    }
    :: atomic { phase[m] != STOPPED -> stop(m) }
    :: atomic {
        phase[m] == WORKS || MUTANT == 5 && phase[m] == PREPARED ->
        send_heartbeat(m)
    }
    :: atomic { answer[m] && phase[m] != STOPPED -> take_answer(m) }
    od
}

proctype renewer()
{
end:
    do
    :: atomic { heartbeat[0] -> take_heartbeat(0) }
    :: atomic { heartbeat[1] -> take_heartbeat(1) }
    :: atomic {
        restarted = true;
        forget_stamps(0);
        forget_stamps(1);
        together = 0
    }
    od
}

proctype time()
{
end:
    do
    :: atomic {
        if
        :: phase[0] == WORKS && phase[1] != WORKS -> alone++
        :: else -> alone = 0
        fi;
        if
        :: phase[0] == WORKS && phase[1] == WORKS -> older(together, LONGER)
        :: else -> together = 0
        fi;
        lone_member = alone > H + G;
        assert(!lone_member);
        reach(1, together > G);
        reach(2, alone == H + G);
        reach(3, restarted && together > G);
        tick_member(0);
        tick_member(1)
    }
    od
}

init
{
    atomic {
        phase[0] = PREPARED;
        phase[1] = PREPARED;
        stamp_age[0] = OLD;
        stamp_age[1] = OLD;
        heard_age[0] = OLD;
        heard_age[1] = OLD;
        run member(0);
        run member(1);
        run renewer();
        run time()
    }
}
