#include "entry-jobs.h"

#include <string.h>

#define QUEUE_SHOWN_MAX 200 /* shows at most this many waiting jobs */

/* The jobs' part of GET /v1/overview. Only the region's owner knows which jobs
 * hold which accelerators and which jobs wait. Any other entry names the
 * owner, and shows "?" for each accelerator rather than show it as free. */

/* Finds the item of a list that has this "name"; NULL if there is none. */
static json_t *
find_named(json_t *list, const char *name)
{
    json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        const char *item_name =
            json_string_value(json_object_get(item, "name"));

        if (item_name != NULL && strcmp(item_name, name) == 0) {
            return item;
        }
    }
    return NULL;
}

/* Adds n to a counter of an organisation. */
static void
add_to_organisation(json_t *view, const char *organisation, const char *key,
                    int n)
{
    json_t *o =
        find_named(json_object_get(view, "organisations"), organisation);

    if (o != NULL) {
        json_int_t old = json_integer_value(json_object_get(o, key));

        json_object_set_new(o, key, json_integer(old + n));
    }
}

/* Sets the text of the given accelerators (bits) of a worker. */
static void
mark_accelerators(json_t *worker, uint64_t accelerators, const char *text)
{
    json_t *list = json_object_get(worker, "accelerators");
    size_t i, n = json_array_size(list);

    for (i = 0; i < n; i++) {
        if ((accelerators >> i & 1) != 0) {
            json_array_set_new(list, i, json_string(text));
        }
    }
}

/* Marks the accelerators that a job holds with its id. */
static void
add_held(json_t *view, const struct job *j)
{
    json_t *workers = json_object_get(view, "workers");
    char hex[ID_HEX_SIZE];
    size_t i;

    Id_Hex(&j->row.id, hex);
    for (i = 0; i < j->members; i++) {
        const struct job_member *at = &j->member[i].assigned;

        mark_accelerators(find_named(workers, at->agent), at->accelerators,
                          hex);
        add_to_organisation(view, j->row.organisation, "used",
                            __builtin_popcountll(at->accelerators));
    }
}

/* Adds a waiting job to the queue. */
static void
add_waiting(json_t *view, const struct job *j, int64_t now)
{
    char hex[ID_HEX_SIZE];

    json_array_append_new(
        json_object_get(view, "queue"),
        json_pack("{s:s, s:s, s:s, s:i, s:I, s:s}", "id",
                  Id_Hex(&j->row.id, hex), "organisation", j->row.organisation,
                  "class", j->row.class_name, "tasks", j->row.tasks,
                  "waiting_ms", (json_int_t)(now - j->submitted_ms), "reason",
                  j->wait_reason != NULL ? j->wait_reason : j->row.reason));
}

/* Adds the waiting jobs in the order in which they will be tried, without
 * those that are delayed after a failure. */
static void
add_queue(struct sched *s, json_t *view, int64_t now)
{
    struct order_job next;
    struct id last;
    const struct id *after = NULL;
    int n;

    for (n = 0; n < QUEUE_SHOWN_MAX &&
                Order_Next(s->order, after, now, &next) == ERR_OK;
         n++) {
        const struct job *j = JobSet_Find(s, &next.id);

        if (j != NULL && j->phase == GANG_WAITING) {
            add_waiting(view, j, now);
        }
        last = next.id;
        after = &last;
    }
}

/* Returns the accelerators (bits) of a worker that jobs of other organisations
 * hold. */
static uint64_t
held_by_others(struct sched *s, const char *agent, const char *organisation)
{
    uint64_t held = 0;
    struct job *j;
    size_t i;

    RB_FOREACH (j, sched_jobs, &s->jobs) {
        for (i = 0; i < j->members; i++) {
            if (strcmp(j->member[i].assigned.agent, agent) == 0 &&
                strcmp(j->row.organisation, organisation) != 0) {
                held |= j->member[i].assigned.accelerators;
            }
        }
    }
    return held;
}

/* Counts the accelerators of guaranteed cells that other organisations use
 * now. */
static void
add_lent(struct sched *s, json_t *view)
{
    struct cells_binding b;
    int i, w;

    for (i = 0; Cells_Binding(s->cells, i, &b); i++) {
        for (w = 0; w < b.workers; w++) {
            const struct cells_worker_info *info =
                Cells_Worker(s->cells, b.worker[w]);
            uint64_t lent =
                b.mask[w] & held_by_others(s, info->name, b.organisation);

            add_to_organisation(view, b.organisation, "lent",
                                __builtin_popcountll(lent));
        }
    }
}

/* Marks all accelerators as unknown. */
static void
mark_unknown(json_t *view)
{
    json_t *worker;
    size_t i;

    json_array_foreach(json_object_get(view, "workers"), i, worker)
    {
        mark_accelerators(worker, UINT64_MAX, "?");
    }
}

/* Adds the owner's name and, if this entry is the owner, its jobs. */
static void
fill_jobs(struct kernel *k, const struct config *doc UNUSED, json_t *view)
{
    struct sched *s = (struct sched *)Kernel_FindTask(k, "gangs");
    int64_t now = Clock_NowMs();
    struct job *j;

    json_object_set_new(view, "owner", json_string(s->owner.name));
    if (!s->owner.self || !s->owner.loaded || s->cells == NULL) {
        mark_unknown(view);
        return;
    }
    RB_FOREACH (j, sched_jobs, &s->jobs) {
        if (j->phase != GANG_WAITING) {
            add_held(view, j);
        }
    }
    add_queue(s, view, now);
    add_lent(s, view);
}

static struct overview_part jobs_part = {10, fill_jobs, {0}};
OVERVIEW_PART(jobs_part)
