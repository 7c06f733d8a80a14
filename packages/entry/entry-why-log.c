#include "entry-why.h"

#include <stdlib.h>
#include <string.h>

static int
compare(const struct why_subject *a, const struct why_subject *b)
{
    return Id_Compare(&a->id, &b->id);
}

TREE_STATIC(why_tree, why_subject, node, compare);

/* Initialises an empty log. */
void
WhyLog_Init(struct why_log *log, size_t bytes_max)
{
    memset(log, 0, sizeof(*log));
    RB_INIT(&log->tree);
    TAILQ_INIT(&log->ages);
    log->bytes_max = bytes_max;
}

/* Finds a subject; NULL if it is not in the log. */
struct why_subject *
WhyLog_Find(struct why_log *log, const struct id *id)
{
    struct why_subject key = {.id = *id};

    return RB_FIND(why_tree, &log->tree, &key);
}

/* Removes a record from its subject and frees it. */
static void
drop_record(struct why_log *log, struct why_subject *s, struct why_record *r)
{
    TAILQ_REMOVE(&s->records, r, entry);
    log->bytes -= r->bytes;
    s->count--;
    free(r->decision);
    free(r->reason);
    free(r->inputs);
    free(r);
}

/* Removes a subject from the log and frees it with its records. */
static void
drop_subject(struct why_log *log, struct why_subject *s)
{
    struct why_record *r, *next;

    TAILQ_FOREACH_SAFE (r, &s->records, entry, next) {
        drop_record(log, s, r);
    }
    RB_REMOVE(why_tree, &log->tree, s);
    TAILQ_REMOVE(&log->ages, s, age);
    log->bytes -= sizeof(*s);
    free(s);
}

/* Frees all subjects. */
void
WhyLog_Free(struct why_log *log)
{
    struct why_subject *s, *next;

    TAILQ_FOREACH_SAFE (s, &log->ages, age, next) {
        drop_subject(log, s);
    }
}

/* Drops the least recently written subjects until the log fits its bound; the
 * newest one is always kept. */
static void
make_room(struct why_log *log)
{
    struct why_subject *s, *next;

    TAILQ_FOREACH_SAFE (s, &log->ages, age, next) {
        if (log->bytes <= log->bytes_max || next == NULL) {
            return;
        }
        drop_subject(log, s);
        log->subjects_dropped++;
    }
}

/* Finds or adds a subject. */
struct why_subject *
WhyLog_Open(struct why_log *log, const struct id *id, const char *organisation)
{
    struct why_subject *s = WhyLog_Find(log, id);

    if (s != NULL) {
        return s;
    }
    s = Mem_Zero(1, sizeof(*s));
    s->id = *id;
    Str_Copy(s->organisation, sizeof(s->organisation), organisation);
    TAILQ_INIT(&s->records);
    RB_INSERT(why_tree, &log->tree, s);
    TAILQ_INSERT_TAIL(&log->ages, s, age);
    log->bytes += sizeof(*s);
    make_room(log);
    return s;
}

/* Adds a record and makes its subject the most recently written one. */
void
WhyLog_Add(struct why_log *log, const struct id *id, int64_t at_ms,
           const char *decision, const char *reason, const json_t *inputs)
{
    struct why_subject *s = WhyLog_Open(log, id, "");
    struct why_record *r = Mem_Zero(1, sizeof(*r));

    r->at_ms = at_ms;
    r->decision = Mem_Dup(decision);
    r->reason = Mem_Dup(reason);
    r->inputs = inputs != NULL ? json_dumps(inputs, JSON_COMPACT) : NULL;
    if (r->inputs == NULL) {
        r->inputs = Mem_Dup("{}");
    }
    r->bytes =
        sizeof(*r) + strlen(decision) + strlen(reason) + strlen(r->inputs);
    TAILQ_INSERT_TAIL(&s->records, r, entry);
    s->count++;
    log->bytes += r->bytes;
    if (s->count > WHY_RECORDS_MAX) {
        drop_record(log, s, TAILQ_FIRST(&s->records));
        s->dropped++;
    }
    TAILQ_REMOVE(&log->ages, s, age);
    TAILQ_INSERT_TAIL(&log->ages, s, age);
    make_room(log);
}

/* Builds the JSON of a subject, as GET /v1/why/{id} returns it. */
json_t *
WhyLog_Json(const struct why_subject *s)
{
    json_t *list = json_array();
    const struct why_record *r;
    char hex[ID_HEX_SIZE];

    TAILQ_FOREACH (r, &s->records, entry) {
        json_array_append_new(list, json_pack("{s:I, s:s, s:s, s:o}", "at_ms",
                                              (json_int_t)r->at_ms, "decision",
                                              r->decision, "reason", r->reason,
                                              "inputs",
                                              json_loads(r->inputs, 0, NULL)));
    }
    return json_pack("{s:s, s:I, s:o}", "id", Id_Hex(&s->id, hex), "dropped",
                     (json_int_t)s->dropped, "records", list);
}
