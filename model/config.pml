/*
 * config: the configuration's head, its writers, and the nodes that follow.
 *
 * Protocol that the code is to implement.
 *  1. A document is checked, then put into the object store under its content
 *     hash, and only then written: one transaction on the condition that the
 *     head's epoch is the one that the operator saw sets the head to
 *     (epoch+1, hash) and inserts the history row epoch+1 with (hash, writer's
 *     token). History rows are never changed.
 *  2. A write without an answer may still take effect later. The writer reads
 *     history row seen+1: its own token means accepted, another's means
 *     refused for good (the condition can never hold again). No such row means
 *     that it is not decided: the writer sends the very same write again, or
 *     tells the operator `unknown`. It never says `refused` then, and never
 *     writes at a newer epoch by itself.
 *  3. A node takes a head from the table service or from a peer's message only
 *     when its epoch is higher than its own, and only once it has the
 *     document. A writer's own entry takes it no sooner than anybody.
 *  4. A restarted node knows nothing: it reads the table service and asks its
 *     peers, takes the highest epoch that it hears, and until then serves
 *     nothing that needs the configuration.
 *
 * Reads of the table may come late; a node's message may come late, again or
 * never; the table service may be down at any time (a step that needs it need
 * not be taken); writes may take effect late and, as they were sent again,
 * twice.
 *
 * Properties (I8):
 *  accepted_twice    a document that its writer submitted once is in the
 *                    history at most once;
 *  false_accepted    a write answered `accepted` is in the history;
 *  false_refused     a write answered `refused` never is;
 *  head_lost         a history row never changes and the head never falls;
 *  went_back         within an incarnation no node goes to a lower epoch;
 *  not_accepted      no node takes a document that is not in the history at
 *                    that epoch;
 *  no_document       whatever the head names is in the object store;
 *  served_nothing    a node that knows no configuration serves nothing.
 *
 * Bounds: 3 writers of one document each and 1 node, or 2 writers and 2 nodes;
 * a node restarts at most once.
 */

// MUTANT 1: the head is written without a condition => accepted_twice
// MUTANT 2: a write without an answer counts as refused => false_refused
// MUTANT 3: a write without an answer counts as accepted => false_accepted
// MUTANT 4: a write without an answer is sent anew at the newer epoch => accepted_twice
// MUTANT 5: read-back without a row counts as refused => false_refused
// MUTANT 6: read-back takes any row as its own => false_accepted
// MUTANT 7: a node takes a lower epoch => went_back
// MUTANT 8: the writer's entry takes its document before the answer => not_accepted
// MUTANT 9: the head is written before the document is stored => no_document
// MUTANT 10: a node that knows nothing serves => served_nothing
// MUTANT 11: read-back compares the head instead of the history => false_refused
// MUTANT 12: only the writer's token is compared, not the epoch => head_lost

// REACH 1: all three documents are accepted
// REACH 2: an accepted write is recognised by read-back after a later one
// REACH 3: a restarted node learns the configuration from its peer alone

#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef REACH
#define REACH 0
#endif

#define WRITERS 3
#define NODES 2
#define EPOCHS 3

mtype = { WORKING, ACCEPTED, REFUSED, UNKNOWN };

/* The table service: head and history; a document is known by its writer,
 * counted from 1, which is also the writer's token. */
byte head;
byte history[EPOCHS + 1];
bool stored[WRITERS + 1];

/* Writes under way: sent on the condition that the head is seen[w]. */
bool sent[WRITERS + 1];
byte seen[WRITERS + 1];
bool answer_applied[WRITERS + 1];
bool answer_conflict[WRITERS + 1];
mtype outcome[WRITERS + 1] = WORKING;

/* The nodes: epoch and document, 0 for none; what they have told others. */
byte epoch[NODES];
byte document[NODES];
byte restarts[NODES];
bool said[NODES * (EPOCHS + 1)];

/* For the properties only. */
bool accepted_twice;
bool false_accepted;
bool false_refused;
bool head_lost;
bool went_back;
bool not_accepted;
bool no_document;
bool served_nothing;
bool reached;

inline reach(number, condition)
{
    reached = REACH == number && (condition);
    assert(!reached)
}

#define IN_HISTORY(w)                                                         \
    (history[1] == (w) || history[2] == (w) || history[3] == (w))

/* The table service takes a write: the present one of writer w. */
inline apply(w)
{
    if
    :: head == seen[w] || MUTANT == 1 ||
       MUTANT == 12 && !IN_HISTORY(w) ->
        accepted_twice = IN_HISTORY(w);
        assert(!accepted_twice);
        head_lost = seen[w] + 1 <= head || history[seen[w] + 1] != 0;
        assert(!head_lost);
        false_refused = outcome[w] == REFUSED;
        assert(!false_refused);
        no_document = !stored[w];
        assert(!no_document);
        head = seen[w] + 1;
        history[head] = w;
        answer_applied[w] = true;
        reach(1, head == 3)
    :: else -> answer_conflict[w] = true
    fi
}

inline tell(w, what)
{
    outcome[w] = what;
    false_accepted = what == ACCEPTED && !IN_HISTORY(w);
    assert(!false_accepted);
    false_refused = what == REFUSED && IN_HISTORY(w);
    assert(!false_refused)
}

proctype table()
{
    byte w;

end:
    do
    :: atomic { sent[1] -> w = 1; apply(w); w = 0 }
    :: atomic { sent[2] -> w = 2; apply(w); w = 0 }
    :: atomic { sent[3] -> w = 3; apply(w); w = 0 }
    od
}

proctype writer(byte w)
{
    /* What the operator saw, perhaps some time ago. */
    atomic {
        if
        :: head < EPOCHS -> seen[w] = head
        fi
    };
#if MUTANT != 9
    stored[w] = true;
#endif
    sent[w] = true;
#if MUTANT == 9
    stored[w] = true;
#endif

wait:
    if
    :: atomic { answer_applied[w] -> tell(w, ACCEPTED) }; goto done
    :: atomic { answer_conflict[w] && !answer_applied[w] ->
        goto read_back /* an earlier copy may have taken effect */
    }
    :: goto read_back /* no answer */
    fi;

read_back:
    atomic {
        if
        :: MUTANT == 2 -> tell(w, REFUSED); goto done
        :: MUTANT == 3 -> tell(w, ACCEPTED); goto done
        :: MUTANT == 4 && head < EPOCHS -> seen[w] = head; goto wait
        :: MUTANT == 11 && history[head] != w && head > seen[w] ->
            tell(w, REFUSED);
            goto done
        :: MUTANT == 6 && head > seen[w] -> tell(w, ACCEPTED); goto done
        :: MUTANT == 5 && history[seen[w] + 1] == 0 ->
            tell(w, REFUSED);
            goto done
        :: history[seen[w] + 1] == w ->
            reach(2, head > seen[w] + 1);
            tell(w, ACCEPTED);
            goto done
        :: history[seen[w] + 1] != w && history[seen[w] + 1] != 0 ->
            tell(w, REFUSED);
            goto done
        :: history[seen[w] + 1] == 0 -> goto wait /* sent again */
        :: tell(w, UNKNOWN) /* the table service is down */
        fi
    };

done:
    skip
}

inline adopt(n, e, d)
{
    if
    :: e > epoch[n] || MUTANT == 7 && e > 0 ->
        went_back = e < epoch[n];
        assert(!went_back);
        not_accepted = e > head || history[e] != d;
        assert(!not_accepted);
        no_document = !stored[d];
        assert(!no_document);
        epoch[n] = e;
        document[n] = d
    :: else
    fi
}

proctype node(byte n)
{
    byte read_epoch; /* a read of the table under way */
    byte read_document;
    byte e;

end:
    do
    :: atomic {
        read_epoch = head;
        read_document = history[head]
    }
    :: atomic {
        read_epoch > 0 ->
        adopt(n, read_epoch, read_document);
        read_epoch = 0;
        read_document = 0
    }
    :: atomic { epoch[n] > 0 -> said[n * (EPOCHS + 1) + epoch[n]] = true }
    :: atomic {
        /* What the other node once said, of any age. */
        if
        :: e = 1
        :: e = 2
        :: e = 3
        fi;
        if
        :: said[(1 - n) * (EPOCHS + 1) + e] ->
            reach(3, restarts[n] == 1 && epoch[n] == 0);
            adopt(n, e, history[e])
        :: else
        fi;
        e = 0
    }
#if MUTANT == 8
    :: atomic { sent[1] && n == 0 -> adopt(n, seen[1] + 1, 1) }
#endif
    :: atomic {
        epoch[n] > 0 || MUTANT == 10 ->
        served_nothing = document[n] == 0;
        assert(!served_nothing)
    }
    :: atomic {
        restarts[n] < 1 ->
        restarts[n]++;
        epoch[n] = 0;
        document[n] = 0;
        read_epoch = 0;
        read_document = 0
    }
    od
}

init
{
    atomic {
        outcome[1] = WORKING;
        outcome[2] = WORKING;
        outcome[3] = WORKING;
        run table();
        run writer(1);
        run writer(2);
        run node(0);
        if
        :: run writer(3)
        :: run node(1)
        fi
    }
}
