#include "jobs-book.h"

#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {"queued", "running", "completed",
                                          "failed", "cancelled"};

/* The word that callers see. */
const char *
Jobs_StateName(enum jobs_state state)
{
    return state_names[state];
}

/* The tasks of a unit that may run, as [index, agent, worker]. */
static json_t *
encode_tasks(const struct jobs_unit *u)
{
    json_t *tasks = json_array();

    for (uint32_t i = 0; i < u->task_count; i++) {
        const struct jobs_task *t = &u->tasks[i];

        if (t->worker != NULL) {
            json_array_append_new(tasks,
                                  json_pack("[i,s,s]", (int)t->index,
                                            t->worker->agent, t->worker->id));
        }
    }
    return tasks;
}

/* Writes the progress of a job; units that never started are left out. */
void
Row_Encode(const struct jobs_job *j, struct buf *out)
{
    json_t *o = json_object();
    json_t *units = json_array();
    const struct jobs_unit *u;
    bool begun = false;

    TAILQ_FOREACH (u, &j->units, entry) {
        begun = begun || u->begun;
        if (u->run == 0 && u->state == UNIT_WAITING) {
            continue;
        }
        json_array_append_new(
            units,
            json_pack("[i,i,i,i,I,i,i,s,o]", (int)u->occurrence, (int)u->step,
                      (int)u->tasks[0].index, (int)u->state,
                      (json_int_t)u->run, (int)u->failures, (int)u->begun,
                      u->checkpoint, encode_tasks(u)));
    }
    json_object_set_new(o, "state", json_string(state_names[j->state]));
    json_object_set_new(o, "begun", json_boolean(begun));
    json_object_set_new(o, "occurrences", json_integer(j->occurrences));
    json_object_set_new(o, "units", units);
    JobsJson_Append(o, out);
}

/* Reads the state word of a row. */
static int
decode_state(const json_t *o, enum jobs_state *state)
{
    const char *word = json_string_value(json_object_get(o, "state"));

    for (size_t i = 0; word != NULL && i < COUNT_OF(state_names); i++) {
        if (strcmp(word, state_names[i]) == 0) {
            *state = (enum jobs_state)i;
            return ERR_OK;
        }
    }
    return ERR_INVALID;
}

/* Reads what callers are shown. */
int
Jobs_ReadProgress(const char *text, size_t len, enum jobs_state *state,
                  bool *started)
{
    json_t *o = json_loadb(text, len, 0, NULL);
    int err = decode_state(o, state);

    *started = json_is_true(json_object_get(o, "begun"));
    json_decref(o);
    return err;
}

/* Puts the tasks of a unit on the workers that the row names. */
static void
decode_tasks(struct jobs_book *b, struct jobs_unit *u, const json_t *tasks)
{
    const char *agent, *worker;
    size_t i;
    json_t *row;
    int index;

    json_array_foreach(tasks, i, row)
    {
        if (json_unpack(row, "[i,s,s]", &index, &agent, &worker) != 0 ||
            (uint32_t)index < u->tasks[0].index ||
            (uint32_t)index >= u->tasks[0].index + u->task_count) {
            continue;
        }
        Worker_Take(Book_Worker(b, worker, agent),
                    &u->tasks[(uint32_t)index - u->tasks[0].index]);
    }
}

/* Finds the unit that a row speaks of. */
static struct jobs_unit *
find_unit(struct jobs_job *j, int occurrence, int step, int first)
{
    struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        if (u->occurrence == (uint32_t)occurrence &&
            u->step == (uint32_t)step &&
            u->tasks[0].index == (uint32_t)first) {
            return u;
        }
    }
    return NULL;
}

/* Reads one unit of a row. */
static int
decode_unit(struct jobs_book *b, struct jobs_job *j, json_t *row)
{
    int occurrence, step, first, state, failures, begun;
    const char *checkpoint;
    struct jobs_unit *u;
    json_int_t run;
    json_t *tasks;

    if (json_unpack(row, "[i,i,i,i,I,i,i,s,o]", &occurrence, &step, &first,
                    &state, &run, &failures, &begun, &checkpoint,
                    &tasks) != 0 ||
        (u = find_unit(j, occurrence, step, first)) == NULL) {
        return ERR_INVALID;
    }
    u->state = (enum unit_state)state;
    u->run = (uint64_t)run;
    u->failures = (uint32_t)failures;
    u->begun = begun != 0;
    Str_Copy(u->checkpoint, sizeof(u->checkpoint), checkpoint);
    decode_tasks(b, u, tasks);
    return ERR_OK;
}

/* Reads the progress of a job into its units. */
int
Row_Decode(struct jobs_book *b, struct jobs_job *j, const char *text,
           size_t len)
{
    json_t *o = json_loadb(text, len, 0, NULL);
    uint32_t occurrences = (uint32_t)json_number(o, "occurrences");
    int err = decode_state(o, &j->state);
    json_t *row;
    size_t i;

    while (err == ERR_OK && j->occurrences < occurrences &&
           j->occurrences < j->spec.repetitions) {
        Book_AddOccurrence(j);
    }
    json_array_foreach(json_object_get(o, "units"), i, row)
    {
        err = err == ERR_OK ? decode_unit(b, j, row) : err;
    }
    j->cancelled = j->state == JOB_CANCELLED;
    json_decref(o);
    return err;
}
