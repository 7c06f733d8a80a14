#include "entry.h"

enum field_type { FIELD_INT, FIELD_INT64, FIELD_UINT64, FIELD_BOOL };

/* A field of a decision's inputs, and its key in the JSON object. */
struct field {
    const char *name;
    enum field_type type;
    size_t offset;
};

#define FIELD(of, member, type)                                               \
    {                                                                         \
#member, type, offsetof(struct of, member)                            \
    }

static const struct field admission_fields[] = {
    FIELD(admission_inputs, now, FIELD_INT64),
    FIELD(admission_inputs, deadline_at, FIELD_INT64),
    FIELD(admission_inputs, cost_ms, FIELD_INT64),
    FIELD(admission_inputs, cost_high_ms, FIELD_INT64),
    FIELD(admission_inputs, ahead_ms, FIELD_INT64),
    FIELD(admission_inputs, org_ahead_ms, FIELD_INT64),
    FIELD(admission_inputs, caller_ahead_ms, FIELD_INT64),
    FIELD(admission_inputs, key_ahead_ms, FIELD_INT64),
    FIELD(admission_inputs, next_free_ms, FIELD_INT64),
    FIELD(admission_inputs, drain_milli, FIELD_INT64),
    FIELD(admission_inputs, org_share_milli, FIELD_INT64),
    FIELD(admission_inputs, caller_share_milli, FIELD_INT64),
    FIELD(admission_inputs, key_share_milli, FIELD_INT64),
    FIELD(admission_inputs, stretch_milli, FIELD_INT64),
    FIELD(admission_inputs, comeback_ms, FIELD_INT64),
    FIELD(admission_inputs, retry_min_ms, FIELD_INT64),
    FIELD(admission_inputs, retry_max_ms, FIELD_INT64),
    FIELD(admission_inputs, rnd, FIELD_UINT64),
    FIELD(admission_inputs, running, FIELD_INT),
    FIELD(admission_inputs, capacity, FIELD_INT),
    FIELD(admission_inputs, queued, FIELD_INT),
    FIELD(admission_inputs, queue_max, FIELD_INT),
    FIELD(admission_inputs, org_queued, FIELD_INT),
    FIELD(admission_inputs, caller_queued, FIELD_INT),
    FIELD(admission_inputs, duplicate, FIELD_BOOL),
    FIELD(admission_inputs, expired, FIELD_BOOL),
};

static const struct field route_fields[] = {
    FIELD(route_inputs, expected_ms, FIELD_INT64),
    FIELD(route_inputs, hop_us, FIELD_INT64),
};

static const struct field candidate_fields[] = {
    FIELD(route_candidate, handle, FIELD_INT),
    FIELD(route_candidate, remote, FIELD_BOOL),
    FIELD(route_candidate, slots, FIELD_INT),
    FIELD(route_candidate, load_milli, FIELD_INT64),
    FIELD(route_candidate, slowness_milli, FIELD_INT64),
};

static const struct field retry_fields[] = {
    {"cause", FIELD_INT, offsetof(struct retry_inputs, facts.cause)},
    {"repeatable", FIELD_BOOL,
     offsetof(struct retry_inputs, facts.repeatable)},
    {"started", FIELD_BOOL, offsetof(struct retry_inputs, facts.started)},
    {"attempts", FIELD_INT, offsetof(struct retry_inputs, facts.attempts)},
    {"sent_at", FIELD_INT64, offsetof(struct retry_inputs, facts.sent_at)},
    {"deadline_at", FIELD_INT64,
     offsetof(struct retry_inputs, facts.deadline_at)},
    {"expected_ms", FIELD_INT64,
     offsetof(struct retry_inputs, facts.expected_ms)},
    FIELD(retry_inputs, now, FIELD_INT64),
    FIELD(retry_inputs, tokens_milli, FIELD_INT64),
    FIELD(retry_inputs, p95_ms, FIELD_INT64),
    FIELD(retry_inputs, attempts_max, FIELD_INT),
    FIELD(retry_inputs, hedge, FIELD_BOOL),
};

/* Packs one field as JSON. */
static json_t *
pack_field(const struct field *f, const char *at)
{
    if (f->type == FIELD_BOOL) {
        return json_boolean(*(const bool *)at);
    }
    if (f->type == FIELD_INT) {
        return json_integer(*(const int *)at);
    }
    if (f->type == FIELD_UINT64) {
        return json_integer((json_int_t) * (const uint64_t *)at);
    }
    return json_integer(*(const int64_t *)at);
}

/* Packs the fields of a struct as a JSON object. */
static json_t *
pack(const struct field *fields, size_t count, const void *from)
{
    json_t *o = json_object();
    size_t i;

    for (i = 0; i < count; i++) {
        json_object_set_new(
            o, fields[i].name,
            pack_field(&fields[i], (const char *)from + fields[i].offset));
    }
    return o;
}

/* Unpacks one field. Returns false if the value is of another type. */
static bool
unpack_field(const struct field *f, const json_t *v, char *at)
{
    if (f->type == FIELD_BOOL) {
        *(bool *)at = json_is_true(v);
        return json_is_boolean(v);
    }
    if (f->type == FIELD_INT) {
        *(int *)at = (int)json_integer_value(v);
    }
    else if (f->type == FIELD_UINT64) {
        *(uint64_t *)at = (uint64_t)json_integer_value(v);
    }
    else {
        *(int64_t *)at = json_integer_value(v);
    }
    return json_is_integer(v);
}

/* Unpacks the fields of a struct. */
static int
unpack(const struct field *fields, size_t count, const json_t *from, void *to)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (!unpack_field(&fields[i], json_object_get(from, fields[i].name),
                          (char *)to + fields[i].offset)) {
            return ERR_INVALID;
        }
    }
    return ERR_OK;
}

/* Packs the inputs of an admission decision. */
json_t *
Why_PackAdmission(const struct admission_inputs *in)
{
    return pack(admission_fields, COUNT_OF(admission_fields), in);
}

/* Unpacks the inputs of an admission decision. */
int
Why_UnpackAdmission(const json_t *o, struct admission_inputs *out)
{
    return unpack(admission_fields, COUNT_OF(admission_fields), o, out);
}

/* Packs the inputs of a routing decision. */
json_t *
Why_PackRoute(const struct route_inputs *in)
{
    json_t *o = pack(route_fields, COUNT_OF(route_fields), in);
    json_t *list = json_array();
    size_t i;

    for (i = 0; i < ROUTE_CANDIDATES; i++) {
        json_array_append_new(list, pack(candidate_fields,
                                         COUNT_OF(candidate_fields),
                                         &in->candidates[i]));
    }
    json_object_set_new(o, "candidates", list);
    return o;
}

/* Unpacks the inputs of a routing decision. */
int
Why_UnpackRoute(const json_t *o, struct route_inputs *out)
{
    const json_t *list = json_object_get(o, "candidates");
    int err = unpack(route_fields, COUNT_OF(route_fields), o, out);
    size_t i;

    for (i = 0; err == ERR_OK && i < ROUTE_CANDIDATES; i++) {
        err = unpack(candidate_fields, COUNT_OF(candidate_fields),
                     json_array_get(list, i), &out->candidates[i]);
    }
    return err;
}

/* Packs the inputs of a retry decision. */
json_t *
Why_PackRetry(const struct retry_inputs *in)
{
    return pack(retry_fields, COUNT_OF(retry_fields), in);
}

/* Unpacks the inputs of a retry decision. */
int
Why_UnpackRetry(const json_t *o, struct retry_inputs *out)
{
    return unpack(retry_fields, COUNT_OF(retry_fields), o, out);
}
