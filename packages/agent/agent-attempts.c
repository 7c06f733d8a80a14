#include "agent.h"

#include <stdlib.h>
#include <string.h>

/* Order of the tree: request, then attempt. */
int
Attempts_Compare(const struct attempt *a, const struct attempt *b)
{
    int c = Id_Compare(&a->request, &b->request);

    if (c != 0) {
        return c;
    }
    return (a->number > b->number) - (a->number < b->number);
}

RB_GENERATE(attempt_tree, attempt, entry, Attempts_Compare)

/* Initialises an empty record. */
void
Attempts_Init(struct attempts *a)
{
    memset(a, 0, sizeof(*a));
    RB_INIT(&a->tree);
}

/* Removes all attempts. */
void
Attempts_Free(struct attempts *a)
{
    struct attempt *at, *next;

    RB_FOREACH_SAFE (at, attempt_tree, &a->tree, next) {
        Attempts_Remove(a, at);
    }
}

/* Finds the record of an attempt. */
struct attempt *
Attempts_Find(struct attempts *a, const struct id *request, uint64_t number)
{
    struct attempt key = {.request = *request, .number = number};

    return RB_FIND(attempt_tree, &a->tree, &key);
}

/* Removes an attempt, cancels its call and frees its answer. */
void
Attempts_Remove(struct attempts *a, struct attempt *at)
{
    RB_REMOVE(attempt_tree, &a->tree, at);
    a->count--;
    if (at->call != NULL) {
        Http_Cancel(at->call);
    }
    if (at->answer != NULL) {
        Wire_Free(&at->answer->msg);
    }
    free(at->context);
    free(at);
}

/* Adds a record. */
static struct attempt *
add(struct attempts *a, const struct id *request, uint64_t number,
    enum attempt_state state, int64_t not_after)
{
    struct attempt *at = Mem_Zero(1, sizeof(*at));

    at->request = *request;
    at->number = number;
    at->state = state;
    at->not_after = not_after;
    RB_INSERT(attempt_tree, &a->tree, at);
    a->count++;
    return at;
}

/* Verdict on a dispatch whose attempt is on record. */
static enum take_verdict
known_verdict(const struct attempt *at)
{
    static const enum take_verdict verdicts[] = {
        [ATTEMPT_FENCED] = TAKE_FENCED,
        [ATTEMPT_RUNNING] = TAKE_RUNNING,
        [ATTEMPT_DONE] = TAKE_ANSWERED,
        [ATTEMPT_SETTLED] = TAKE_SETTLED};

    return verdicts[at->state];
}

/* A dispatch to an earlier incarnation is refused: that incarnation may have
 * taken the attempt, and its upstream may still work on it, while this one has
 * no record of it and would run it a second time. A dispatch that arrives at
 * its not_after or later is refused, as its fence may have been dropped. */
enum take_verdict
Attempts_Take(struct attempts *a, const struct wire_dispatch *m,
              uint64_t incarnation, int64_t now, struct attempt **out)
{
    struct attempt *at = Attempts_Find(a, &m->request, m->attempt);

    *out = NULL;
    if (m->incarnation != incarnation) {
        return TAKE_STALE;
    }
    if (at != NULL) {
        *out = at;
        return known_verdict(at);
    }
    if (now >= m->not_after) {
        return TAKE_EXPIRED;
    }
    if (a->count >= ATTEMPTS_MAX) {
        return TAKE_FULL;
    }
    at = add(a, &m->request, m->attempt, ATTEMPT_RUNNING, m->not_after);
    at->started_at = now;
    Str_Copy(at->service, sizeof(at->service), m->service);
    *out = at;
    return TAKE_NEW;
}

/* A withdraw that names another incarnation gets WITHDRAW_OTHER_INCARNATION,
 * as this one does not know what the other has started. An unknown attempt
 * whose not_after has passed gets it too: the attempt may have run before its
 * record was dropped, and an entry that receives "not started" would run it
 * again. Before not_after no record is dropped, so an unknown attempt has not
 * started, and the fence prevents its start for as long as a copy of the
 * dispatch could be taken. */
enum withdraw_verdict
Attempts_Withdraw(struct attempts *a, const struct wire_withdraw *m,
                  uint64_t incarnation, int64_t now, struct attempt **out)
{
    struct attempt *at = Attempts_Find(a, &m->request, m->attempt);

    *out = NULL;
    if (m->incarnation != incarnation) {
        return WITHDRAW_OTHER_INCARNATION;
    }
    if (at == NULL && now >= m->not_after) {
        return WITHDRAW_OTHER_INCARNATION;
    }
    if (at == NULL) {
        add(a, &m->request, m->attempt, ATTEMPT_FENCED, m->not_after);
        return WITHDRAW_NOT_STARTED;
    }
    if (at->state == ATTEMPT_FENCED) {
        return WITHDRAW_NOT_STARTED;
    }
    *out = at;
    return WITHDRAW_STARTED;
}

/* Fences a recorded attempt that has not been sent to its upstream. */
void
Attempts_Fence(struct attempt *at)
{
    at->state = ATTEMPT_FENCED;
}

/* Drops the answer; the record stays, so that the attempt is known to have
 * run. */
void
Attempts_Settle(struct attempt *at)
{
    at->state = ATTEMPT_SETTLED;
    if (at->answer != NULL) {
        Wire_Free(&at->answer->msg);
        at->answer = NULL;
    }
}

/* Drops fenced and settled attempts whose not_after is over: no copy of their
 * dispatch can be taken any more, and a withdraw is answered in the same way
 * as for an unknown attempt. */
size_t
Attempts_Sweep(struct attempts *a, int64_t now)
{
    struct attempt *at, *next;
    size_t dropped = 0;

    RB_FOREACH_SAFE (at, attempt_tree, &a->tree, next) {
        bool over =
            at->state == ATTEMPT_FENCED || at->state == ATTEMPT_SETTLED;

        if (over && now >= at->not_after) {
            Attempts_Remove(a, at);
            dropped++;
        }
    }
    return dropped;
}

/* Name of a verdict, as it is sent to entries. */
const char *
Attempts_VerdictName(enum take_verdict verdict)
{
    static const char *const names[] = {
        [TAKE_NEW] = "taken",         [TAKE_RUNNING] = "taken",
        [TAKE_ANSWERED] = "answered", [TAKE_SETTLED] = "settled",
        [TAKE_FENCED] = "withdrawn",  [TAKE_STALE] = "stale_incarnation",
        [TAKE_EXPIRED] = "expired",   [TAKE_FULL] = "attempts_full",
    };

    return names[verdict];
}
