#include "jobs-scheduler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The row of what the scheduler has learned, for the next owner.
 *
 * Without it, a new owner counts every machine as of speed 1 and predicts
 * lengths from raw estimates: after the owner is killed in a burst, urgent
 * gangs are placed on slow machines until runs on each have ended again. */
#define FORMAT_VERSION 1
#define TERM_MAX ((int64_t)1 << 53) /* of exact whole numbers in JSON */
#define LINES_MAX 64                /* queues in the row */
/* Values are whole numbers: thousandths for machines, millionths for lines. */
#define MACHINE_SCALE 1000.0
#define LINE_SCALE 1e6
#define MACHINE_LOG_MAX 2079 /* of the factor 8, in thousandths */
#define MACHINE_WEIGHT_MAX 100000
/* Largest value of a line: 100 runs of weight, and squares of logarithms of
 * lengths up to 10^15 ms, are far below. */
#define LINE_VALUE_MAX ((int64_t)1000000000000)
/* An entry has to be written again when a value has changed by this part, or
 * by this number if it is small. */
#define CHANGE_PART 0.1

/* True when a value differs enough from the written one. */
static bool
differs(double now, double written)
{
    return fabs(now - written) > CHANGE_PART * fmax(1, fabs(written));
}

/* True when a line differs enough from the written one. */
static bool
line_differs(const struct size_line *l)
{
    for (size_t i = 0; i < SIZE_VALUES; i++) {
        if (differs(*Size_Value((struct size_line *)l, i), l->written[i])) {
            return true;
        }
    }
    return false;
}

/* True when some entry differs enough from the row last encoded. */
bool
Jobs_LearnedChanged(const struct jobs_scheduler *sched)
{
    const struct machine_speed *m;
    const struct size_line *l;

    TAILQ_FOREACH (m, &sched->speeds.list, entry) {
        if (differs(m->log_factor, m->written_log) ||
            differs(m->weight, m->written_weight)) {
            return true;
        }
    }
    SLIST_FOREACH (l, &sched->sizes, entry) {
        if (line_differs(l)) {
            return true;
        }
    }
    return false;
}

/* Encodes the lines of queues. */
static json_t *
encode_lines(struct jobs_scheduler *sched)
{
    json_t *list = json_array();
    struct size_line *l;

    SLIST_FOREACH (l, &sched->sizes, entry) {
        json_t *o = json_array();

        json_array_append_new(o, json_string(l->queue));
        for (size_t i = 0; i < SIZE_VALUES; i++) {
            double value = *Size_Value(l, i);

            l->written[i] = value;
            json_array_append_new(o,
                                  json_integer(llround(value * LINE_SCALE)));
        }
        if (json_array_size(list) < LINES_MAX) {
            json_array_append(list, o);
        }
        json_decref(o);
    }
    return list;
}

/* Orders machines by how much they differ from speed 1, the most first, and
 * then by agent. */
static int
machine_compare(const void *va, const void *vb)
{
    const struct machine_speed *const *a = va, *const *b = vb;
    long long da = llabs(llround((*a)->log_factor * MACHINE_SCALE));
    long long db = llabs(llround((*b)->log_factor * MACHINE_SCALE));

    if (da != db) {
        return da > db ? -1 : 1;
    }
    return strcmp((*a)->agent, (*b)->agent);
}

/* Returns the length of a value as JSON. */
static size_t
json_bytes(json_t *value)
{
    return json_dumpb(value, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY);
}

/* Adds a machine to those of its kind, unless the row would get too long.
 * used: the bytes of the row so far. */
static void
encode_machine(json_t *kinds, struct machine_speed *m, size_t *used)
{
    /* The row has two more bytes than the list of both names and the value,
     * and without a new kind at least five less than the list, and its name.
     */
    static const size_t more = 2, less = 5;
    json_t *kind = json_object_get(kinds, m->kind);
    json_t *value =
        json_pack("[I,I]", (json_int_t)llround(m->log_factor * MACHINE_SCALE),
                  (json_int_t)llround(m->weight * MACHINE_SCALE));
    /* NULL for names that are not UTF-8. */
    json_t *names = json_pack("[s,s]", m->agent, m->kind);
    size_t bytes = json_bytes(value) + json_bytes(names) + more -
                   (kind != NULL ? strlen(m->kind) + less : 0);

    if (names == NULL || *used + bytes > JOBS_LEARNED_MAX) {
        json_decref(names);
        json_decref(value);
        return;
    }
    json_decref(names);
    *used += bytes;
    if (kind == NULL) {
        kind = json_object();
        json_object_set_new(kinds, m->kind, kind);
    }
    json_object_set_new(kind, m->agent, value);
}

/* Encodes the speeds of machines, by kind and agent. Those that differ least
 * from speed 1 are left out when the row would get too long. */
static json_t *
encode_machines(struct jobs_scheduler *sched, size_t used)
{
    struct machine_speed **list CLEANUP(Mem_FreeP) =
        Mem_Zero(sched->speeds.count + 1, sizeof(*list));
    json_t *kinds = json_object();
    struct machine_speed *m;
    size_t count = 0;

    TAILQ_FOREACH (m, &sched->speeds.list, entry) {
        m->written_log = m->log_factor;
        m->written_weight = m->weight;
        if (m->weight > 0) {
            list[count++] = m;
        }
    }
    qsort(list, count, sizeof(struct machine_speed *), machine_compare);
    for (size_t i = 0; i < count; i++) {
        encode_machine(kinds, list[i], &used);
    }
    return kinds;
}

/* Appends the row. */
void
Jobs_EncodeLearned(struct jobs_scheduler *sched, int64_t wall_ms,
                   struct buf *out)
{
    static const size_t around_machines = 32; /* bytes, with their key */
    json_t *row = json_pack("{s:i,s:I,s:I,s:o}", "v", FORMAT_VERSION, "term",
                            (json_int_t)sched->limits.term, "at_ms",
                            (json_int_t)wall_ms, "lines", encode_lines(sched));

    json_object_set_new(
        row, "machines",
        encode_machines(sched, json_bytes(row) + around_machines));
    JobsJson_Append(row, out);
}

/* Reads a whole number within a range. */
static bool
read_number(const json_t *list, size_t at, int64_t least, int64_t most,
            int64_t *out)
{
    const json_t *n = json_array_get(list, at);

    *out = json_integer_value(n);
    return json_is_integer(n) && *out >= least && *out <= most;
}

/* Reads the line of a queue. */
static bool
read_line(const json_t *o, struct size_line *l)
{
    const char *queue = json_string_value(json_array_get(o, 0));
    int64_t n;

    *l = (struct size_line){0};
    if (queue == NULL || json_array_size(o) != SIZE_VALUES + 1 ||
        Str_Copy(l->queue, sizeof(l->queue), queue) != ERR_OK) {
        return false;
    }
    for (size_t i = 0; i < SIZE_VALUES; i++) {
        if (!read_number(o, i + 1, -LINE_VALUE_MAX, LINE_VALUE_MAX, &n)) {
            return false;
        }
        *Size_Value(l, i) = (double)n / LINE_SCALE;
        l->written[i] = *Size_Value(l, i);
    }
    return l->runs >= 0 && l->sxx >= 0;
}

/* Reads the lines of queues. sched: NULL to check them only. */
static bool
read_lines(const json_t *list, struct jobs_scheduler *sched)
{
    struct size_line line;

    if (!json_is_array(list) || json_array_size(list) > LINES_MAX) {
        return false;
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (!read_line(json_array_get(list, i), &line)) {
            return false;
        }
        if (sched != NULL) {
            Size_Restore(&sched->sizes, &line);
        }
    }
    return true;
}

/* Reads a machine. sched: NULL to check it only. */
static bool
read_machine(const char *kind, const char *agent, const json_t *o,
             struct jobs_scheduler *sched)
{
    int64_t log_factor, weight;

    if (strlen(kind) >= JOBS_TEXT_SIZE || strlen(agent) >= NAME_SIZE ||
        *agent == '\0' || json_array_size(o) != 2 ||
        !read_number(o, 0, -MACHINE_LOG_MAX, MACHINE_LOG_MAX, &log_factor) ||
        !read_number(o, 1, 0, MACHINE_WEIGHT_MAX, &weight)) {
        return false;
    }
    if (sched != NULL) {
        Speed_Restore(&sched->speeds, agent, kind,
                      (double)log_factor / MACHINE_SCALE,
                      (double)weight / MACHINE_SCALE);
    }
    return true;
}

/* Reads the speeds of machines. sched: NULL to check them only. */
static bool
read_machines(json_t *kinds, struct jobs_scheduler *sched)
{
    const char *kind, *agent;
    json_t *machines, *o;

    if (!json_is_object(kinds)) {
        return false;
    }
    json_object_foreach(kinds, kind, machines)
    {
        if (!json_is_object(machines)) {
            return false;
        }
        json_object_foreach(machines, agent, o)
        {
            if (!read_machine(kind, agent, o, sched)) {
                return false;
            }
        }
    }
    return true;
}

/* True when a row has this format and was written by an earlier owner. */
static bool
is_valid(const json_t *row, const struct jobs_scheduler *sched)
{
    int64_t term = json_number(row, "term"), at = json_number(row, "at_ms");

    return json_is_object(row) && json_number(row, "v") == FORMAT_VERSION &&
           term > 0 && term < TERM_MAX &&
           (uint64_t)term < sched->limits.term &&
           json_is_integer(json_object_get(row, "at_ms")) && at >= 0 &&
           at <= JOBS_DUE_MAX_MS &&
           read_lines(json_object_get(row, "lines"), NULL) &&
           read_machines(json_object_get(row, "machines"), NULL);
}

/* Takes the row of an earlier owner, or nothing of it when any part of it is
 * invalid. */
int
Jobs_DecodeLearned(struct jobs_scheduler *sched, const char *text, size_t len)
{
    json_t *row;

    if (text == NULL || len > JOBS_LEARNED_MAX) {
        return ERR_INVALID;
    }
    row = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
    if (!is_valid(row, sched)) {
        json_decref(row);
        return ERR_INVALID;
    }
    read_lines(json_object_get(row, "lines"), sched);
    if (sched->limits.parts.speeds) {
        read_machines(json_object_get(row, "machines"), sched);
    }
    json_decref(row);
    return ERR_OK;
}
