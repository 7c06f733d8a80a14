#include "entry-jobs.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Values of "within" in JSON. */
static const struct {
    const char *name;
    enum cells_level level;
} levels[] = {{"worker", CELLS_LEVEL_WORKER},
              {"rack", CELLS_LEVEL_RACK},
              {"domain", CELLS_LEVEL_DOMAIN},
              {"region", CELLS_LEVEL_REGION},
              {"any", CELLS_LEVEL_ALL}};

/* The value of "within" for a level. */
static const char *
level_name(enum cells_level level)
{
    size_t i;

    for (i = 0; i < COUNT_OF(levels); i++) {
        if (levels[i].level == level) {
            return levels[i].name;
        }
    }
    return "any";
}

/* Parses a value of "within". */
static int
parse_level(const char *name, enum cells_level *out)
{
    size_t i;

    for (i = 0; i < COUNT_OF(levels); i++) {
        if (strcmp(levels[i].name, name) == 0) {
            *out = levels[i].level;
            return ERR_OK;
        }
    }
    return ERR_INVALID;
}

/* A 64-bit number as hex text, as the integers of the JSON library are signed.
 */
static json_t *
hex64(uint64_t n)
{
    char text[20];

    snprintf(text, sizeof(text), "%" PRIx64, n);
    return json_string(text);
}

/* Parses a 64-bit number from hex text; 0 if it is no text. */
static uint64_t
parse_hex64(const json_t *value)
{
    const char *text = json_string_value(value);

    return text != NULL ? strtoull(text, NULL, 16) : 0;
}

/* The members as JSON, each with its agent's incarnation. */
static json_t *
members_json(const struct job_row *row)
{
    json_t *list = json_array();
    size_t i;

    for (i = 0; i < row->members; i++) {
        const struct job_member *m = &row->member[i];

        json_array_append_new(
            list,
            json_pack("{s:s, s:o, s:o, s:i}", "agent", m->agent, "incarnation",
                      hex64(m->incarnation), "accelerators",
                      hex64(m->accelerators), "tasks", m->tasks));
    }
    return list;
}

/* The row as JSON. */
json_t *
JobRow_ToJson(const struct job_row *row)
{
    json_t *spec =
        json_loadb(row->spec.data ? row->spec.data : "null",
                   row->spec.data ? row->spec.len : 4, JSON_DECODE_ANY, NULL);

    return json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:s, s:i, s:i, s:s, s:I, s:b, s:b, s:o, "
        "s:o, s:I, s:I}",
        "organisation", row->organisation, "class", row->class_name, "state",
        Job_StateName(row->state), "attempt", (json_int_t)row->attempt, "term",
        (json_int_t)row->term, "reason", row->reason, "tasks", row->tasks,
        "accelerators", row->accelerators, "within", level_name(row->within),
        "declared_ms", (json_int_t)row->declared_ms, "guaranteed",
        (int)row->guaranteed, "cancel", (int)row->cancel, "members",
        members_json(row), "spec", spec != NULL ? spec : json_null(),
        "submitted_at", (json_int_t)row->submitted_at, "ended_at",
        (json_int_t)row->ended_at);
}

/* Appends the row as JSON text, as it is written to the table. */
void
JobRow_Render(const struct job_row *row, struct buf *out)
{
    json_t *o = JobRow_ToJson(row);
    char *text = json_dumps(o, JSON_COMPACT);

    Buf_AppendStr(out, text);
    free(text);
    json_decref(o);
}

/* Parses the members. */
static int
parse_members(const json_t *list, struct job_row *out)
{
    size_t i;
    json_t *item;
    int64_t tasks;

    if (json_array_size(list) > (size_t)out->tasks) {
        return ERR_INVALID;
    }
    out->member = Mem_Zero(json_array_size(list) + 1, sizeof(*out->member));
    json_array_foreach(list, i, item)
    {
        struct job_member *m = &out->member[out->members++];
        const char *agent = json_string_value(json_object_get(item, "agent"));

        if (agent == NULL || !Str_IsName(agent) ||
            Json_Whole(json_object_get(item, "tasks"), out->tasks, &tasks) !=
                ERR_OK) {
            return ERR_INVALID;
        }
        Str_Copy(m->agent, sizeof(m->agent), agent);
        m->incarnation = parse_hex64(json_object_get(item, "incarnation"));
        m->accelerators = parse_hex64(json_object_get(item, "accelerators"));
        m->tasks = (int)tasks;
    }
    return ERR_OK;
}

/* Parses the name of a state. */
static int
parse_state(const char *name, enum job_state *out)
{
    int i;

    for (i = 0; i < JOB_STATE_COUNT; i++) {
        if (strcmp(Job_StateName((enum job_state)i), name) == 0) {
            *out = (enum job_state)i;
            return ERR_OK;
        }
    }
    return ERR_INVALID;
}

/* Stores the spec, any JSON value, as text. */
static void
dump_spec(const json_t *spec, struct buf *out)
{
    char *text = json_dumps(spec, JSON_COMPACT | JSON_ENCODE_ANY);

    if (text != NULL) {
        Buf_Set(out, text, strlen(text));
    }
    free(text);
}

/* Reads the numbers of a row. They size lists, and are counted on, so one out
 * of range makes the row invalid. */
static int
read_numbers(const json_t *o, struct job_row *out)
{
    int64_t tasks, accelerators, attempt, term;

    if (Json_Whole(json_object_get(o, "tasks"), CELLS_TASKS_MAX, &tasks) !=
            ERR_OK ||
        Json_Whole(json_object_get(o, "accelerators"), CELLS_ACCELERATORS_MAX,
                   &accelerators) != ERR_OK ||
        Json_Whole(json_object_get(o, "attempt"), JSON_COUNTER_MAX,
                   &attempt) != ERR_OK ||
        Json_Whole(json_object_get(o, "term"), JSON_COUNTER_MAX, &term) !=
            ERR_OK ||
        Json_Whole(json_object_get(o, "declared_ms"), DECLARED_MAX_MS,
                   &out->declared_ms) != ERR_OK ||
        tasks == 0 || accelerators == 0) {
        return ERR_INVALID;
    }
    out->tasks = (int)tasks;
    out->accelerators = (int)accelerators;
    out->attempt = (uint64_t)attempt;
    out->term = (uint64_t)term;
    return ERR_OK;
}

/* Fills a row from its JSON object. */
static int
from_json(json_t *o, struct job_row *out)
{
    const char *organisation, *class_name, *state, *reason, *within;
    int guaranteed, cancel;
    json_t *members, *spec;
    json_int_t submitted, ended;

    if (json_unpack(
            o, "{s:s, s:s, s:s, s:s, s:s, s:b, s:b, s:o, s:o, s:I, s:I}",
            "organisation", &organisation, "class", &class_name, "state",
            &state, "reason", &reason, "within", &within, "guaranteed",
            &guaranteed, "cancel", &cancel, "members", &members, "spec", &spec,
            "submitted_at", &submitted, "ended_at", &ended) != 0 ||
        read_numbers(o, out) != ERR_OK ||
        parse_state(state, &out->state) != ERR_OK ||
        parse_level(within, &out->within) != ERR_OK) {
        return ERR_INVALID;
    }
    Str_Copy(out->organisation, sizeof(out->organisation), organisation);
    Str_Copy(out->class_name, sizeof(out->class_name), class_name);
    Str_Copy(out->reason, sizeof(out->reason), reason);
    out->guaranteed = guaranteed != 0;
    out->cancel = cancel != 0;
    out->submitted_at = submitted;
    out->ended_at = ended;
    dump_spec(spec, &out->spec);
    return parse_members(members, out);
}

/* Parses the text of a row. */
int
JobRow_Parse(const char *text, size_t len, struct job_row *out)
{
    json_t *o = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
    int err;

    memset(out, 0, sizeof(*out));
    if (o == NULL) {
        return ERR_INVALID;
    }
    err = from_json(o, out);
    json_decref(o);
    return err;
}

/* Reads an integer field, or its fallback if it is missing. Returns false if
 * it is no integer or out of bounds. */
static bool
read_number(const json_t *body, const char *key, int64_t min, int64_t max,
            int64_t fallback, int64_t *out)
{
    const json_t *value = json_object_get(body, key);

    *out = value != NULL ? json_integer_value(value) : fallback;
    return (value == NULL || json_is_integer(value)) && *out >= min &&
           *out <= max;
}

/* Parses the body of a submission. */
int
JobRow_ParseSubmission(const json_t *body, struct job_row *out, bool *attached,
                       const char **why)
{
    const json_t *class_name = json_object_get(body, "class");
    const json_t *within = json_object_get(body, "within");
    const json_t *spec = json_object_get(body, "spec");
    int64_t tasks, accelerators;

    memset(out, 0, sizeof(*out));
    out->within = CELLS_LEVEL_ALL;
    *why = NULL;
    if (!json_is_string(class_name)) {
        *why = "class: the name of a class of jobs";
    }
    else if (!read_number(body, "tasks", 1, CELLS_TASKS_MAX, 0, &tasks)) {
        *why = "tasks: 1 to 1024";
    }
    else if (!read_number(body, "accelerators", 1, CELLS_ACCELERATORS_MAX, 0,
                          &accelerators)) {
        *why = "accelerators: of one task, 1 to 64";
    }
    else if (!read_number(body, "run_ms", 0, DECLARED_MAX_MS, 0,
                          &out->declared_ms)) {
        *why = "run_ms: expected milliseconds, or 0";
    }
    else if (within != NULL && (!json_is_string(within) ||
                                parse_level(json_string_value(within),
                                            &out->within) != ERR_OK)) {
        *why = "within: worker, rack, domain, region or any";
    }
    if (*why != NULL) {
        return ERR_INVALID;
    }
    if (spec != NULL) {
        dump_spec(spec, &out->spec);
    }
    if (out->spec.len > JOB_SPEC_MAX) {
        *why = "spec: at most 65536 bytes";
        return ERR_INVALID;
    }
    Str_Copy(out->class_name, sizeof(out->class_name),
             json_string_value(class_name));
    out->tasks = (int)tasks;
    out->accelerators = (int)accelerators;
    out->guaranteed = json_is_true(json_object_get(body, "guaranteed"));
    *attached = json_is_true(json_object_get(body, "attached"));
    return ERR_OK;
}

/* Makes a deep copy. */
void
JobRow_Copy(struct job_row *dst, const struct job_row *src)
{
    *dst = *src;
    dst->spec = (struct buf){0};
    Buf_Set(&dst->spec, src->spec.data ? src->spec.data : "null",
            src->spec.data ? src->spec.len : 4);
    dst->member = Mem_Zero(src->members + 1, sizeof(*dst->member));
    if (src->members > 0) {
        memcpy(dst->member, src->member, src->members * sizeof(*dst->member));
    }
}

/* Frees the memory of the row's fields. */
void
JobRow_Free(struct job_row *row)
{
    Buf_Free(&row->spec);
    free(row->member);
    row->member = NULL;
    row->members = 0;
}

/* Formats the key of a job's row in the tables jobs and job-news. */
const char *
JobRow_Key(const char *region, const struct id *id, char out[JOB_KEY_SIZE])
{
    char hex[ID_HEX_SIZE];

    snprintf(out, JOB_KEY_SIZE, "%s/%s", region, Id_Hex(id, hex));
    return out;
}
