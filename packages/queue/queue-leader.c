#include "queue-owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLAIM_PAUSE_MS 150

/* True when the row names this process. */
bool
Leader_IsOurs(const struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;

    return strcmp(o->row_name, s->name) == 0 &&
           o->row_incarnation == Queue_Incarnation();
}

/* Gives leadership up. */
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

/* Writes the owner row under the condition that it is as we know it. Whether
 * it took effect shows in the feed alone, so a lost answer and a write that
 * comes seconds late are no case of their own. */
void
Leader_Claim(struct owner *o, const char *name)
{
    struct buf value CLEANUP(Buf_Free) = {0};
    struct table_op op = {.verb = TABLE_PUT,
                          .table = Queue_Platform()->own_table,
                          .key = "owner",
                          .if_version = o->row_version};
    /* The term rises with each leadership, not with its rewrites. */
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

/* What each of the owner's transactions expects: a deposed owner, whose row is
 * another one, can so write nothing. */
struct table_op
Leader_OwnershipCheck(const struct owner *o)
{
    return (struct table_op){.verb = TABLE_CHECK,
                             .table = Queue_Platform()->own_table,
                             .key = "owner",
                             .if_version = o->version};
}

/* Asks for all rows, to build the scheduler. */
void
Leader_RequestRows(struct owner *o)
{
    struct rows_requested *m = Mem_Zero(1, sizeof(*m));

    o->rows_requested_ms = Clock_NowMs();
    Queue_Post(o->task.kernel, TASK_INTAKE, &m->base,
               &Queue_RowsRequestedKind);
}

/* The row names us: the rows come next. */
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

/* True when the leader has to be replaced.
 *
 * Load: urgent jobs of some hundred milliseconds, and a leader whose machine
 * is gone. Without the link as a second witness all of them wait for the time
 * that a slow store may hold a heartbeat up. A leader that speaks on its link
 * is given that time: it is the store that is slow. */
bool
Leader_IsSilent(int64_t row_ms, int64_t link_ms, int64_t feed_ms)
{
    return row_ms > OWNER_TIMEOUT_MS ||
           (row_ms > OWNER_LINK_TIMEOUT_MS &&
            link_ms > OWNER_LINK_TIMEOUT_MS && feed_ms < FEED_FRESH_MS);
}

/* Claims leadership when nobody holds it, or its holder shows no life.
 *
 * Failure: this entry was cut from the store for a while, and hears of it
 * again. Symptom: the owner's last heartbeat that it knows is old, and it
 * deposes a living owner. Silence therefore counts from the moment since when
 * the feed has come without a gap.
 *
 * Failure: an entry that has just begun has a configuration from another one,
 * and has not read which failure domains are emptied. Symptom: as the owner it
 * starts tasks there. It claims nothing before it knows. */
void
Leader_ClaimIfVacant(struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;
    int64_t now = Clock_NowMs();
    int64_t last_sign_ms = o->heartbeat_seen_ms > o->feed_since_ms
                               ? o->heartbeat_seen_ms
                               : o->feed_since_ms;
    /* Entries wait for different times, so that one is first. */
    int64_t stagger_ms = (int64_t)(Hash_Str(s->name, 0) % 300);
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
