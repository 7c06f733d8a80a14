#include "queue-relay.h"

#include <string.h>

/* The timeout of a commit while other entries reach the store is COMMIT_FACTOR
 * times what commits took lately, but at least COMMIT_TIMEOUT_MIN_MS. A commit
 * has no timeout if that would be COMMIT_TIMEOUT_MAX_MS or more, or if it has
 * more than COMMIT_TIMEOUT_BYTES_MAX, which may take long on a slow link. */
#define COMMIT_TIMEOUT_MIN_MS 600
#define COMMIT_FACTOR 3
#define COMMIT_TIMEOUT_MAX_MS 1500
#define COMMIT_TIMEOUT_BYTES_MAX 65536

static struct counter given_up_total = {
    "parsleyfall_queue_commits_given_up_total",
    "Commits that were given up while other entries reached the store.", NULL,
    COUNTER_TOTAL};

/* Milliseconds that a commit may wait for an answer; 0: no limit. */
int64_t
Relay_CommitTimeout(int64_t slowest_ms, size_t bytes)
{
    int64_t limit = COMMIT_FACTOR * slowest_ms;

    if (bytes > COMMIT_TIMEOUT_BYTES_MAX || limit >= COMMIT_TIMEOUT_MAX_MS) {
        return 0;
    }
    return limit > COMMIT_TIMEOUT_MIN_MS ? limit : COMMIT_TIMEOUT_MIN_MS;
}

/* Reports failure to the caller of a call that stays open on the own
 * connection; a later answer is dropped. */
static void
give_up(struct table_call *call, int err)
{
    call->given_up = true;
    Relay_Fail(call, err);
}

/* Gives up the reads on the own connection that another entry can make. */
static void
give_up_reads(struct store_task *s)
{
    struct table_call *call, *next;

    TAILQ_FOREACH_SAFE (call, &s->direct_calls, entry, next) {
        if (call->request.verb != WIRE_STORE_COMMIT && !call->given_up &&
            strcmp(call->request.table, Queue_Platform()->config_table) != 0) {
            give_up(call, ERR_TIMEOUT);
        }
    }
}

/* Gives up a commit that the own connection has not answered, if another entry
 * reaches the store.
 *
 * The store may be silent towards the owner's machine only. Without this
 * timeout every start and every accepted job would wait for the timeout of the
 * call, five times the objective of an urgent job. The outcome is unknown, as
 * after that timeout. Reads are given up too, as only the feed shows the owner
 * that it may write again. */
static void
on_commit_timeout(struct ev_loop *loop UNUSED, ev_timer *timer,
                  int events UNUSED)
{
    struct table_call *call = timer->data;
    struct store_task *s = call->store;

    if (*s->relay_address == '\0') {
        return;
    }
    Counter_Add(&given_up_total, 1);
    Relay_NoteDirect(s, ERR_TIMEOUT);
    give_up(call, ERR_UNKNOWN);
    give_up_reads(s);
}

/* Starts the timeout of a commit on the own connection. */
void
Relay_StartCommitTimeout(struct table_call *call)
{
    const struct wire_store_op *ops = call->request.ops.items;
    size_t bytes = 0;
    int64_t ms;

    for (size_t i = 0; i < call->request.ops.count; i++) {
        bytes += ops[i].value.len;
    }
    ms = Relay_CommitTimeout(call->store->recent_commit_ms, bytes);
    call->started_ms = Clock_NowMs();
    ev_init(&call->timeout, on_commit_timeout);
    call->timeout.data = call;
    if (ms > 0) {
        Timer_Set(call->store->task.kernel->loop, &call->timeout, ms);
    }
}

/* Records how long a commit took, and stops its timeout. */
void
Relay_NoteCommit(struct table_call *call, int err)
{
    struct store_task *s = call->store;
    int64_t took = Clock_NowMs() - call->started_ms;
    int64_t before = s->recent_commit_ms - s->recent_commit_ms / 8;

    ev_timer_stop(s->task.kernel->loop, &call->timeout);
    if (Relay_IsAnswer(err)) {
        s->recent_commit_ms = took > before ? took : before;
    }
}
