#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {"queued", "running", "completed",
                                          "failed", "cancelled"};

/* Returns the name of a state that callers see. */
const char *
Jobs_StateName(enum jobs_state state)
{
    return state_names[state];
}

/* Bytes of a row, without the texts and the longer numbers in it. */
#define HEAD_BYTES 160  /* the row's fixed fields */
#define RANGE_BYTES 8   /* a range of units that are done */
#define UNIT_BYTES 17   /* a unit that has run */
#define TASK_BYTES 14   /* a task that may be running */
#define WORKER_BYTES 10 /* a worker */
/* Digits of the numbers of a unit that still rise: its runs and failures. */
#define COUNT_DIGITS 6

/* Number of tasks of a job whose blame is kept in its row, at most 24 bytes
 * each: together with JOBS_ROW_MAX this keeps the row under the 64 KiB that
 * stores accept. Blame of further tasks is lost when another owner takes
 * over. */
#define BLAMED_MAX 160

/* What a row has of a unit's present run, in one number. Owners of earlier
 * versions take any number but 0 for ROW_BEGUN. */
#define ROW_BEGUN 1
#define ROW_FAILURE_COUNTED 2

/* The workers that a row refers to by number. */
struct row_workers {
    json_t *names;   /* [[agent, incarnation], ...] */
    json_t *numbers; /* by incarnation */
};

/* Returns the number of a worker in its row; adds the worker when it is
 * new. */
static json_int_t
number_of(struct row_workers *w, const struct jobs_worker *worker)
{
    json_t *known = json_object_get(w->numbers, worker->id);

    if (known == NULL) {
        known = json_integer((json_int_t)json_array_size(w->names));
        json_object_set_new(w->numbers, worker->id, known);
        json_array_append_new(w->names,
                              json_pack("[s,s]", worker->agent, worker->id));
    }
    return json_integer_value(known);
}

/* Returns the tasks of a unit that may be running, as [index, worker]. */
static json_t *
encode_tasks(const struct jobs_unit *u, struct row_workers *workers)
{
    json_t *tasks = json_array();

    for (uint32_t i = 0; i < u->task_count; i++) {
        const struct jobs_task *t = &u->tasks[i];

        if (t->worker != NULL) {
            json_array_append_new(tasks,
                                  json_pack("[i,I]", (int)t->index,
                                            number_of(workers, t->worker)));
        }
    }
    return tasks;
}

/* True for a unit that its row has only as part of a range of done units. That
 * holds for dropped ones too: when a job of thousands of done units is
 * cancelled or fails, a row of its own for each of them would exceed what
 * stores accept, and no owner could store anything any more. */
static bool
is_plain_done(const struct jobs_unit *u)
{
    return u->state == UNIT_DONE;
}

/* True for a done unit that extends the range of the unit before it. */
static bool
extends_range(const struct jobs_unit *u)
{
    const struct jobs_unit *before = TAILQ_PREV(u, unit_list, entry);

    return before != NULL && is_plain_done(before) && is_plain_done(u) &&
           before->occurrence == u->occurrence && before->step == u->step;
}

/* Returns the units that are done, as ranges [occurrence, step, first,
 * last]. */
static json_t *
encode_done(const struct jobs_job *j)
{
    json_t *ranges = json_array();
    const struct jobs_unit *u;
    json_t *range = NULL;

    TAILQ_FOREACH (u, &j->units, entry) {
        json_int_t last = u->tasks[0].index + u->task_count - 1;

        if (!is_plain_done(u)) {
            continue;
        }
        if (extends_range(u)) {
            json_array_set_new(range, 3, json_integer(last));
            continue;
        }
        range = json_pack("[i,i,i,I]", (int)u->occurrence, (int)u->step,
                          (int)u->tasks[0].index, last);
        json_array_append_new(ranges, range);
    }
    return ranges;
}

/* Adds the unit's tasks under which workers crashed to its row, as [index,
 * blame, crashes, run]. room: how many more tasks the job's row may have; it
 * is reduced by those added. */
static void
add_crashes(json_t *row, const struct jobs_unit *u, size_t *room)
{
    json_t *tasks = json_array();

    for (uint32_t i = 0; i < u->task_count; i++) {
        const struct jobs_task *t = &u->tasks[i];

        if (t->crashes > 0 && *room > 0) {
            (*room)--;
            json_array_append_new(
                tasks, json_pack("[i,i,i,I]", (int)t->index, (int)t->blame,
                                 (int)t->crashes, (json_int_t)t->crashed_run));
        }
    }
    if (json_array_size(tasks) > 0) {
        json_array_append(row, tasks);
    }
    json_decref(tasks);
}

/* Returns the flags of a unit's present run. That its failure is counted must
 * not be forgotten: other members of a gang may still be listed as failed, and
 * the next owner would count them as further runs. */
static int
run_flags(const struct jobs_unit *u)
{
    return (u->begun ? ROW_BEGUN : 0) |
           (u->failure_counted ? ROW_FAILURE_COUNTED : 0);
}

/* Writes the progress of a job. Units that never started are left out, done
 * units are written as ranges, and workers as numbers, so that a job of
 * thousands of tasks fits into a row. */
void
Row_Encode(const struct jobs_job *j, struct buf *out)
{
    struct row_workers workers = {json_array(), json_object()};
    json_t *o = json_object();
    json_t *units = json_array();
    json_t *row;
    const struct jobs_unit *u;
    bool begun = j->first_occurrence > 0;
    size_t blamed_room = BLAMED_MAX;

    TAILQ_FOREACH (u, &j->units, entry) {
        begun = begun || u->begun;
        if ((u->run == 0 && u->state == UNIT_WAITING) || is_plain_done(u)) {
            continue;
        }
        row = json_pack("[i,i,i,i,I,i,i,s,o]", (int)u->occurrence,
                        (int)u->step, (int)u->tasks[0].index, (int)u->state,
                        (json_int_t)u->run, (int)u->failures, run_flags(u),
                        u->checkpoint, encode_tasks(u, &workers));
        add_crashes(row, u, &blamed_room);
        json_array_append_new(units, row);
    }
    json_object_set_new(o, "state", json_string(state_names[j->state]));
    json_object_set_new(o, "begun", json_boolean(begun));
    json_object_set_new(o, "first", json_integer(j->first_occurrence));
    json_object_set_new(o, "occurrences", json_integer(j->occurrences));
    json_object_set_new(o, "workers", workers.names);
    json_object_set_new(o, "done", encode_done(j));
    json_object_set_new(o, "units", units);
    json_decref(workers.numbers);
    JobsJson_Append(o, out);
}

/* Returns the length of a number. */
static size_t
count_digits(uint64_t n)
{
    size_t digits = 1;

    while (n >= 10) {
        n /= 10;
        digits++;
    }
    return digits;
}

/* Returns the bytes that a range with one done unit takes up. A row has at
 * most one for each unit that is done. */
static size_t
range_bytes(const struct jobs_unit *u)
{
    size_t last = u->tasks[0].index + u->task_count - 1;

    return RANGE_BYTES + count_digits(u->occurrence) + count_digits(u->step) +
           2 * count_digits(last);
}

/* Returns the bytes of a row that a started unit takes up, without the names
 * of its workers. Once it is done, a range takes up less. */
static size_t
unit_bytes(const struct jobs_unit *u)
{
    size_t checkpoint = Unit_Step(u)->checkpoints ? sizeof(u->checkpoint)
                                                  : strlen(u->checkpoint);

    return UNIT_BYTES + count_digits(u->occurrence) + count_digits(u->step) +
           count_digits(u->tasks[0].index) + 2 * COUNT_DIGITS + checkpoint +
           u->task_count * TASK_BYTES;
}

/* Returns how many bytes a unit adds to its job's row at most by starting; one
 * that has run before adds no more than the names of its workers. */
size_t
Row_StartBytes(const struct jobs_unit *u)
{
    return (u->run == 0 ? unit_bytes(u) : 0) +
           u->task_count * (WORKER_BYTES + NAME_SIZE + JOBS_TEXT_SIZE);
}

/* Returns the bytes of the names of a unit's workers that this row has not
 * counted yet. */
static size_t
names_bytes(const struct jobs_unit *u, uint64_t mark)
{
    size_t sum = 0;

    for (uint32_t i = 0; i < u->task_count; i++) {
        struct jobs_worker *w = u->tasks[i].worker;

        if (w != NULL && w->row_mark != mark) {
            w->row_mark = mark;
            sum += WORKER_BYTES + strlen(w->agent) + strlen(w->id);
        }
    }
    return sum;
}

/* Returns a bound on the length of a job's row. */
size_t
Row_Bytes(struct jobs_scheduler *sched, const struct jobs_job *j)
{
    const struct jobs_unit *u;
    size_t sum = HEAD_BYTES;

    sched->row_mark++;
    TAILQ_FOREACH (u, &j->units, entry) {
        if (is_plain_done(u)) {
            sum += extends_range(u) ? 0 : range_bytes(u);
        }
        else if (u->run != 0 || u->state != UNIT_WAITING) {
            sum += unit_bytes(u) + names_bytes(u, sched->row_mark);
        }
    }
    return sum;
}

/* Reads the state from a row. */
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

/* Reads the part of a progress row that callers see. */
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

/* True for a valid id of a worker's incarnation. */
static bool
is_incarnation_id(const char *worker)
{
    return *worker != '\0' && strlen(worker) < JOBS_TEXT_SIZE;
}

/* Assigns the tasks of a unit to the workers that the row has for them. */
static int
decode_tasks(struct jobs_scheduler *sched, struct jobs_unit *u,
             const json_t *tasks, const json_t *workers)
{
    const char *agent, *worker;
    json_int_t number;
    size_t i;
    json_t *row;
    int index;

    json_array_foreach(tasks, i, row)
    {
        struct jobs_task *t;

        if (json_unpack(row, "[i,I]", &index, &number) != 0 || number < 0 ||
            json_unpack(json_array_get(workers, (size_t)number), "[s,s]",
                        &agent, &worker) != 0 ||
            !is_incarnation_id(worker) || strlen(agent) >= NAME_SIZE ||
            (uint32_t)index < u->tasks[0].index ||
            (uint32_t)index >= u->tasks[0].index + u->task_count) {
            return ERR_INVALID;
        }
        t = &u->tasks[(uint32_t)index - u->tasks[0].index];
        if (t->worker != NULL) {
            return ERR_INVALID; /* a task has one run, on one worker */
        }
        Worker_AddTask(Scheduler_GetWorker(sched, worker, agent), t);
    }
    return json_is_array(tasks) ? ERR_OK : ERR_INVALID;
}

/* Reads the tasks under which workers crashed; older rows have none. This
 * comes before the tasks that run are read, as runs of a suspect are on
 * probation. */
static int
decode_crashes(struct jobs_unit *u, const json_t *tasks)
{
    int index, blame, crashes;
    json_int_t run;
    size_t i;
    json_t *row;

    json_array_foreach(tasks, i, row)
    {
        struct jobs_task *t;

        if (json_unpack(row, "[i,i,i,I]", &index, &blame, &crashes, &run) !=
                0 ||
            (uint32_t)index < u->tasks[0].index ||
            (uint32_t)index >= u->tasks[0].index + u->task_count ||
            blame < 0 || crashes < 0 || run < 0) {
            return ERR_INVALID;
        }
        t = &u->tasks[(uint32_t)index - u->tasks[0].index];
        Blame_Set(t, (uint32_t)blame);
        t->crashes = (uint32_t)crashes;
        t->crashed_run = (uint64_t)run;
    }
    return tasks == NULL || json_is_array(tasks) ? ERR_OK : ERR_INVALID;
}

/* Reads one unit from a row. */
static int
decode_unit(struct jobs_scheduler *sched, struct jobs_job *j, json_t *row,
            const json_t *workers)
{
    int occurrence, step, first, state, failures, flags;
    const char *checkpoint;
    struct jobs_unit *u;
    json_int_t run;
    json_t *tasks;

    if (json_unpack(row, "[i,i,i,i,I,i,i,s,o]", &occurrence, &step, &first,
                    &state, &run, &failures, &flags, &checkpoint,
                    &tasks) != 0 ||
        state < 0 || state > UNIT_FAILED || run < 0 ||
        run > JSON_COUNTER_MAX || failures < 0 ||
        strlen(checkpoint) >= JOBS_TEXT_SIZE ||
        (u = Scheduler_FindUnit(j, (uint32_t)occurrence, (uint32_t)step,
                                (uint32_t)first)) == NULL ||
        decode_crashes(u, json_array_get(row, 9)) != ERR_OK) {
        return ERR_INVALID;
    }
    u->state = (enum unit_state)state;
    u->run = (uint64_t)run;
    u->failures = (uint32_t)failures;
    u->begun = (flags & ROW_BEGUN) != 0;
    u->failure_counted = (flags & ROW_FAILURE_COUNTED) != 0;
    Str_Copy(u->checkpoint, sizeof(u->checkpoint), checkpoint);
    return decode_tasks(sched, u, tasks, workers);
}

/* Reads a range of units that are done. */
static int
decode_done(struct jobs_job *j, json_t *row)
{
    json_int_t occurrence, step, first, last;
    struct jobs_unit *u;

    if (json_unpack(row, "[I,I,I,I]", &occurrence, &step, &first, &last) !=
        0) {
        return ERR_INVALID;
    }
    TAILQ_FOREACH (u, &j->units, entry) {
        if (u->occurrence == (uint32_t)occurrence &&
            u->step == (uint32_t)step && u->tasks[0].index >= first &&
            u->tasks[0].index <= last) {
            u->state = UNIT_DONE;
            u->begun = true;
        }
    }
    return ERR_OK;
}

/* Creates the units of the occurrences that a row covers. */
static int
decode_occurrences(struct jobs_job *j, int64_t first, int64_t until)
{
    if (first < 0 || first > until || until > j->spec.repetitions) {
        return ERR_INVALID;
    }
    j->first_occurrence = (uint32_t)first;
    j->occurrences = (uint32_t)first;
    while (j->occurrences < until) {
        if (!Scheduler_AddOccurrence(j)) {
            return ERR_INVALID;
        }
    }
    return ERR_OK;
}

/* Reads the progress of a job into its units. */
int
Row_Decode(struct jobs_scheduler *sched, struct jobs_job *j, const char *text,
           size_t len)
{
    json_t *o = json_loadb(text, len, 0, NULL);
    const json_t *workers = json_object_get(o, "workers");
    int err = decode_state(o, &j->state);
    json_t *row;
    size_t i;

    if (!json_is_array(workers) ||
        !json_is_array(json_object_get(o, "done")) ||
        !json_is_array(json_object_get(o, "units"))) {
        err = ERR_INVALID;
    }
    if (err == ERR_OK && j->spec.repetitions > 0) {
        err = decode_occurrences(j, json_number(o, "first"),
                                 json_number(o, "occurrences"));
    }
    json_array_foreach(json_object_get(o, "done"), i, row)
    {
        err = err == ERR_OK ? decode_done(j, row) : err;
    }
    json_array_foreach(json_object_get(o, "units"), i, row)
    {
        err = err == ERR_OK ? decode_unit(sched, j, row, workers) : err;
    }
    j->cancelled = j->state == JOB_CANCELLED;
    json_decref(o);
    return err;
}
