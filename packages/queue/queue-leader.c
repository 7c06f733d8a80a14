#include "queue-owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLAIM_PAUSE_MS 150 /* between two claims */

/* True when the owner row names this process. */
bool
Leader_IsOurs(const struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;

    return strcmp(o->row_name, s->name) == 0 &&
           o->row_incarnation == Queue_Incarnation();
}

/* Ends leadership, in this process only; the owner row is not written. */
void
Leader_StepDown(struct owner *o, const char *why)
{
    if (o->leadership != LEADER_NONE) {
        LOG_W("owner_leaves", KV("why", why), KV_INT("term", o->term));
    }
    o->leadership = LEADER_NONE;
    o->term = 0;
    Jobs_Free(o->scheduler);
    o->scheduler = NULL;
    o->heartbeat_seen_ms = Clock_NowMs();
    Queue_Post(o->task.kernel, TASK_INTAKE,
               Mem_Zero(1, sizeof(struct leadership_ended)),
               &Queue_LeadershipEndedKind);
    Rows_LeadershipEnded();
}

/* Handles the result of a claim. */
static void
on_claimed(void *arg, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    struct owner *o = arg;

    o->claim_pending = false;
    o->next_claim_ms = Clock_NowMs() + CLAIM_PAUSE_MS;
    if (err != ERR_OK && err != ERR_CONFLICT) {
        LOG_W("claim_failed", KV("error", Err_Name(err)));
    }
}

/* Writes the owner row under the condition that it has the version we know.
 * Only the feed shows whether the write took effect, so a lost answer or a
 * write that takes effect seconds later needs no special handling. */
void
Leader_Claim(struct owner *o, const char *name)
{
    struct buf value CLEANUP(Buf_Free) = {0};
    struct table_op op = {.verb = TABLE_PUT,
                          .table = Queue_Platform()->own_table,
                          .key = "owner",
                          .if_version = o->row_version};
    /* The term rises with each new leadership, not when an owner rewrites its
     * row. */
    uint64_t term = Leader_IsOurs(o) ? o->row_term : o->row_term + 1;

    if (o->claim_pending || Clock_NowMs() < o->next_claim_ms) {
        return;
    }
    Buf_Printf(&value, "{\"name\":\"%s\",\"incarnation\":%llu,\"term\":%llu}",
               name, (unsigned long long)Queue_Incarnation(),
               (unsigned long long)term);
    op.value = value.data;
    op.len = value.len;
    o->claim_pending = true;
    o->store->ops->commit(o->store, &op, 1, on_claimed, o);
}

/* The condition of every transaction of the owner: a deposed owner, whose row
 * has another version, can write nothing. */
struct table_op
Leader_OwnershipCheck(const struct owner *o)
{
    return (struct table_op){.verb = TABLE_CHECK,
                             .table = Queue_Platform()->own_table,
                             .key = "owner",
                             .if_version = o->version};
}

/* Requests all rows from the intake, to build the scheduler. */
void
Leader_RequestRows(struct owner *o)
{
    struct rows_requested *m = Mem_Zero(1, sizeof(*m));

    o->rows_requested_ms = Clock_NowMs();
    Queue_Post(o->task.kernel, TASK_INTAKE, &m->base,
               &Queue_RowsRequestedKind);
}

/* Begins leadership, as the owner row names this process. */
void
Leader_Begin(struct owner *o)
{
    o->leadership = LEADER_LOADING;
    o->elected_ms = Clock_NowMs();
    o->term = o->row_term;
    o->version = o->row_version;
    o->confirmed_ms = Clock_NowMs();
    LOG_I("owner_elected", KV_INT("term", o->term),
          KV_INT("version", o->version));
    Leader_RequestRows(o);
}

/* True when the owner counts as dead and has to be replaced.
 *
 * The link is checked in addition to the store because urgent jobs take some
 * hundred milliseconds: with the store alone, all of them would wait for a
 * failed owner for as long as a slow store may delay a heartbeat. An owner
 * that still sends on its link is given that longer time, as only the store is
 * slow. */
bool
Leader_IsSilent(int64_t row_ms, int64_t link_ms, int64_t feed_ms)
{
    return row_ms > OWNER_TIMEOUT_MS ||
           (row_ms > OWNER_LINK_TIMEOUT_MS &&
            link_ms > OWNER_LINK_TIMEOUT_MS && feed_ms < FEED_FRESH_MS);
}

/* Claims leadership when there is no owner, or it counts as dead.
 *
 * After this entry was cut off from the store, the last heartbeat that it has
 * seen is old, and it would depose a living owner. The owner's silence is
 * therefore counted from the end of the last gap in the feed's answers if that
 * is later.
 *
 * An entry that has just started may have a configuration from another entry
 * before it has read which failure domains are emptied; as the owner it would
 * start tasks there. It claims nothing until it knows them.
 *
 * Deciding and hearing all agents takes more processor time than most entries
 * may have, so coordinators claim first. */
void
Leader_ClaimIfVacant(struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;
    int64_t now = Clock_NowMs();
    int64_t last_sign_ms = o->heartbeat_seen_ms > o->feed_since_ms
                               ? o->heartbeat_seen_ms
                               : o->feed_since_ms;
    /* Entries wait for different times, so that one claims first. */
    int64_t stagger_ms = (int64_t)(Hash_Str(s->name, 0) % 300) +
                         (Queue_Role(o->task.kernel) == ROLE_COORDINATOR
                              ? 0
                              : ORDINARY_CLAIM_DELAY_MS);
    bool vacant = o->row_version == 0 || o->row_name[0] == '\0';
    bool held_by_earlier_process =
        strcmp(o->row_name, s->name) == 0 && !Leader_IsOurs(o);

    if (o->draining || o->feed_answer_ms == 0 ||
        now - o->feed_answer_ms > FEED_GAP_MS || o->config == NULL ||
        o->emptied.position == 0) {
        return;
    }
    if (held_by_earlier_process ||
        (vacant && now - last_sign_ms > stagger_ms) ||
        Leader_IsSilent(now - last_sign_ms - stagger_ms,
                        Queue_PeerAge(o->task.kernel, o->row_name),
                        now - o->feed_answer_ms)) {
        Leader_Claim(o, s->name);
    }
}
