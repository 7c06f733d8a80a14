#include "jobs-json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A field of a step: rows and checks go over this table. */
struct step_flag {
    const char *name;
    size_t offset;
};

#define FLAG(f)                                                               \
    {                                                                         \
#f, offsetof(struct jobs_step, f)                                     \
    }

static const struct step_flag flags[] = {FLAG(checkpoints), FLAG(gang),
                                         FLAG(same_rack),   FLAG(duplicates),
                                         FLAG(lasting),     FLAG(fills)};

/* Frees what a spec owns. */
void
JobsSpec_Clear(struct jobs_spec *s)
{
    free(s->payload);
    free(s->steps);
    memset(s, 0, sizeof(*s));
}

/* Appends a value as compact JSON and drops it. */
void
JobsJson_Append(json_t *o, struct buf *out)
{
    char *text = json_dumps(o, JSON_COMPACT);

    if (text == NULL) {
        Fatal("a row can't be written as JSON");
    }
    Buf_AppendStr(out, text);
    free(text);
    json_decref(o);
}

/* Says what is wrong with a spec. */
static int
wrong(char why[128], const char *what, uint32_t step)
{
    snprintf(why, 128, "steps[%u]: %s", step, what);
    return ERR_INVALID;
}

/* Checks one step. */
static int
check_step(const struct jobs_step *s, uint32_t at, char why[128])
{
    if (s->count == 0 || s->count > JOBS_TASKS_MAX) {
        return wrong(why, "count must be 1 to 4096", at);
    }
    if (s->need.millicores < 0 || s->need.memory_mb < 0 ||
        s->need.accelerators < 0) {
        return wrong(why, "needs can't be negative", at);
    }
    for (uint32_t i = 0; i < s->after_count; i++) {
        if (s->after[i] >= at) {
            return wrong(why, "after names a step that is not before", at);
        }
    }
    return ERR_OK;
}

/* Checks what a caller sent. */
int
JobsSpec_Check(const struct jobs_spec *s, char why[128])
{
    uint64_t tasks = 0;

    if (*s->id == '\0' || s->step_count == 0 ||
        s->step_count > JOBS_STEPS_MAX) {
        snprintf(why, 128, "a job has an id and 1 to 64 steps");
        return ERR_INVALID;
    }
    if (s->interval_ms < 0 || s->first_due_ms < 0 ||
        s->first_due_ms > JOBS_DUE_MAX_MS ||
        (s->repetitions > 0 &&
         s->interval_ms >
             (JOBS_DUE_MAX_MS - s->first_due_ms) / (int64_t)s->repetitions)) {
        snprintf(why, 128, "the due times are out of range");
        return ERR_INVALID;
    }
    for (uint32_t i = 0; i < s->step_count; i++) {
        if (check_step(&s->steps[i], i, why) != ERR_OK) {
            return ERR_INVALID;
        }
        tasks += s->steps[i].count;
    }
    if (tasks > JOBS_TASKS_MAX) {
        snprintf(why, 128, "a job has at most 4096 tasks");
        return ERR_INVALID;
    }
    return ERR_OK;
}

/* One step as JSON. */
static json_t *
encode_step(const struct jobs_step *s)
{
    json_t *o = json_object();
    json_t *after = json_array();

    json_put_number(o, "count", s->count);
    json_put_number(o, "millicores", s->need.millicores);
    json_put_number(o, "memory_mb", s->need.memory_mb);
    json_put_number(o, "accelerators", s->need.accelerators);
    json_put_number(o, "estimate_ms", s->estimate_ms);
    json_put_number(o, "spread", s->spread);
    json_put_number(o, "latency_target_ms", s->latency_target_ms);
    json_put_number(o, "max_unavailable", s->max_unavailable);
    json_put_text(o, "label", s->label);
    json_put_text(o, "rack", s->rack);
    json_put_text(o, "image", s->image);
    for (size_t i = 0; i < COUNT_OF(flags); i++) {
        if (*(const bool *)((const char *)s + flags[i].offset)) {
            json_object_set_new(o, flags[i].name, json_true());
        }
    }
    for (uint32_t i = 0; i < s->after_count; i++) {
        json_array_append_new(after, json_integer(s->after[i]));
    }
    json_object_set_new(o, "after", after);
    return o;
}

/* What a queue grants. */
void
JobsQos_FromQueue(const struct jobs_queue *q, struct jobs_qos *out)
{
    Str_Copy(out->service, sizeof(out->service), q->service);
    out->priority = q->priority;
    out->attempts = q->attempts;
    out->stretch = q->stretch;
    out->target_ms = q->target_ms;
    out->asks_advice = q->asks_advice;
}

/* Writes the row of a spec. */
void
JobsSpec_Encode(const struct jobs_spec *s, struct buf *out)
{
    json_t *o = json_object();
    json_t *steps = json_array();

    json_put_text(o, "id", s->id);
    json_put_text(o, "queue", s->queue);
    json_put_text(o, "organisation", s->organisation);
    json_object_set_new(o, "payload",
                        json_string(s->payload != NULL ? s->payload : ""));
    json_put_text(o, "service", s->qos.service);
    json_put_number(o, "priority", s->qos.priority);
    json_put_number(o, "attempts", s->qos.attempts);
    json_object_set_new(o, "stretch", json_real(s->qos.stretch));
    json_put_number(o, "target_ms", s->qos.target_ms);
    json_object_set_new(o, "asks_advice", json_boolean(s->qos.asks_advice));
    json_put_number(o, "repetitions", s->repetitions);
    json_put_number(o, "first_due_ms", s->first_due_ms);
    json_put_number(o, "interval_ms", s->interval_ms);
    json_put_number(o, "accepted_ms", s->accepted_ms);
    for (uint32_t i = 0; i < s->step_count; i++) {
        json_array_append_new(steps, encode_step(&s->steps[i]));
    }
    json_object_set_new(o, "steps", steps);
    JobsJson_Append(o, out);
}

/* Reads a whole number from 0 to most; one that is left out is 0. */
static int
decode_number(const json_t *o, const char *key, int64_t most, int64_t *out)
{
    const json_t *value = json_object_get(o, key);

    *out = 0;
    return value != NULL ? Json_Whole(value, most, out) : ERR_OK;
}

/* As above, into 32 bits. */
static int
decode_count(const json_t *o, const char *key, uint32_t *out)
{
    int64_t n;
    int err = decode_number(o, key, INT32_MAX, &n);

    *out = err == ERR_OK ? (uint32_t)n : 0;
    return err;
}

/* Reads a text that is not cut; one that is left out is empty. */
static int
decode_text(const json_t *o, const char *key, char *out, size_t size)
{
    const json_t *value = json_object_get(o, key);

    return value != NULL && !json_is_string(value)
               ? ERR_INVALID
               : json_text(o, key, out, size);
}

/* Reads one step. */
static int
decode_step(const json_t *o, struct jobs_step *s)
{
    const json_t *after = json_object_get(o, "after");
    int err = json_is_object(o) ? ERR_OK : ERR_INVALID;

    err |= decode_count(o, "count", &s->count);
    err |= decode_number(o, "millicores", INT32_MAX, &s->need.millicores);
    err |= decode_number(o, "memory_mb", INT32_MAX, &s->need.memory_mb);
    err |= decode_number(o, "accelerators", INT32_MAX, &s->need.accelerators);
    err |= decode_number(o, "estimate_ms", INT32_MAX, &s->estimate_ms);
    err |= decode_count(o, "spread", &s->spread);
    err |= decode_number(o, "latency_target_ms", INT32_MAX,
                         &s->latency_target_ms);
    err |= decode_count(o, "max_unavailable", &s->max_unavailable);
    err |= decode_text(o, "label", s->label, sizeof(s->label));
    err |= decode_text(o, "rack", s->rack, sizeof(s->rack));
    err |= decode_text(o, "image", s->image, sizeof(s->image));
    for (size_t i = 0; i < COUNT_OF(flags); i++) {
        *(bool *)((char *)s + flags[i].offset) =
            json_is_true(json_object_get(o, flags[i].name));
    }
    if (json_array_size(after) > JOBS_STEPS_MAX) {
        return ERR_INVALID;
    }
    for (size_t i = 0; i < json_array_size(after); i++) {
        int64_t step;

        if (Json_Whole(json_array_get(after, i), JOBS_STEPS_MAX - 1, &step) !=
            ERR_OK) {
            return ERR_INVALID;
        }
        s->after[s->after_count++] = (uint32_t)step;
    }
    return err == ERR_OK ? ERR_OK : ERR_INVALID;
}

/* Reads the fields of a spec beside its steps. */
static int
decode_fields(const json_t *o, struct jobs_spec *s)
{
    const json_t *value = json_object_get(o, "payload");
    const char *payload = json_string_value(value);
    uint32_t priority = 0, attempts = 0;
    int err = value == NULL || payload != NULL ? ERR_OK : ERR_INVALID;

    err |= decode_text(o, "id", s->id, sizeof(s->id));
    err |= decode_text(o, "queue", s->queue, sizeof(s->queue));
    err |= decode_text(o, "organisation", s->organisation,
                       sizeof(s->organisation));
    err |= decode_text(o, "service", s->qos.service, sizeof(s->qos.service));
    err |= decode_count(o, "priority", &priority);
    err |= decode_count(o, "attempts", &attempts);
    err |= decode_number(o, "target_ms", JOBS_DUE_MAX_MS, &s->qos.target_ms);
    err |= decode_count(o, "repetitions", &s->repetitions);
    err |= decode_number(o, "first_due_ms", JOBS_DUE_MAX_MS, &s->first_due_ms);
    err |= decode_number(o, "interval_ms", JOBS_DUE_MAX_MS, &s->interval_ms);
    err |= decode_number(o, "accepted_ms", JOBS_DUE_MAX_MS, &s->accepted_ms);
    s->qos.priority = (int)priority;
    s->qos.attempts = (int)attempts;
    s->qos.stretch = json_number_value(json_object_get(o, "stretch"));
    s->qos.asks_advice = json_is_true(json_object_get(o, "asks_advice"));
    s->payload = Mem_Dup(payload != NULL ? payload : "");
    return err == ERR_OK ? ERR_OK : ERR_INVALID;
}

/* Reads the row of a spec. */
int
JobsSpec_Decode(const char *text, size_t len, struct jobs_spec *out)
{
    json_t *o = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
    json_t *steps = json_object_get(o, "steps");
    size_t n = json_array_size(steps);
    char why[128];
    int err;

    memset(out, 0, sizeof(*out));
    err = json_is_object(o) && n > 0 && n <= JOBS_STEPS_MAX
              ? decode_fields(o, out)
              : ERR_INVALID;
    if (err == ERR_OK) {
        out->steps = Mem_Zero(n, sizeof(*out->steps));
        out->step_count = (uint32_t)n;
        for (size_t i = 0; i < n && err == ERR_OK; i++) {
            err = decode_step(json_array_get(steps, i), &out->steps[i]);
        }
    }
    if (err == ERR_OK) {
        err = JobsSpec_Check(out, why);
    }
    if (err != ERR_OK) {
        JobsSpec_Clear(out);
    }
    json_decref(o);
    return err;
}
