#include "agent-parts.h"

#define REPORT_RETRY_MS 2000 /* interval of reports of an unfenced end */

static const char *const state_names[] = {
    [PART_RESERVED] = "reserved", [PART_RUNNING] = "running",
    [PART_STOPPING] = "stopping", [PART_STOPPED] = "stopped",
    [PART_FAILED] = "failed",     [PART_DONE] = "done",
};

static struct counter ended_total = {"parsleyfall_agent_parts_ended_total",
                                     "Parts and reservations that have ended.",
                                     NULL, COUNTER_TOTAL};
static struct counter held = {"parsleyfall_agent_parts_held",
                              "Parts that hold accelerators.", NULL,
                              COUNTER_GAUGE};

/* Sends the state of one part. */
void
PartsReport_Task(struct parts_task *t, const char *origin,
                 const struct part *part)
{
    struct wire_task *m = Wire_New(WIRE_TASK);

    m->job = part->job;
    m->attempt = part->attempt;
    m->term = part->term;
    m->incarnation = t->parts.incarnation;
    m->state = part->state;
    m->checkpoint_ms = part->checkpoint_ms;
    Str_Copy(m->reason, sizeof(m->reason), part->reason);
    Agent_Send(t->task.kernel, origin, &m->msg);
}

/* Sends the grant of a reservation. */
static void
send_granted(struct parts_task *t, struct part *part)
{
    struct wire_prepared *m = Wire_New(WIRE_PREPARED);

    part->grant_sent = true;
    m->job = part->job;
    m->attempt = part->attempt;
    m->term = part->term;
    m->incarnation = t->parts.incarnation;
    m->granted = 1;
    Str_Copy(m->reason, sizeof(m->reason), "granted");
    Agent_Send(t->task.kernel, part->origin, &m->msg);
}

/* Posts the parts to the task "links", for the next hello. */
static void
post_parts(struct parts_task *t)
{
    struct parts_note *note = Mem_Zero(1, sizeof(*note));
    const struct part *part;
    int64_t n = 0;

    TAILQ_FOREACH (part, &t->parts.list, entry) {
        struct wire_part *w = Wire_ListAdd(&note->parts, sizeof(*w));

        w->job = part->job;
        w->attempt = part->attempt;
        w->term = part->term;
        w->state = part->state;
        w->accelerators = part->accelerators;
        n += Parts_HoldsAccelerators(part);
    }
    note->adopted = t->adopted;
    t->adopted = false;
    Counter_Set(&held, n);
    Kernel_Post(Kernel_FindTask(t->task.kernel, "links"), &note->base,
                &Agent_Parts);
}

/* Logs a change of state and sends it to all entries. A reservation is not
 * sent; only the entry that made it receives its grant. */
static void
report_change(struct parts_task *t, struct part *part, int64_t now)
{
    char hex[ID_HEX_SIZE];

    part->changed = false;
    part->reported_at = now;
    LOG_I("part", KV("job", Id_Hex(&part->job, hex)),
          KV_INT("attempt", part->attempt), KV_INT("term", part->term),
          KV("state", state_names[part->state]), KV("reason", part->reason),
          KV_INT("accelerators", part->accelerators));
    if (part->state != PART_RESERVED) {
        PartsReport_Task(t, "", part);
    }
    Counter_Add(&ended_total, !Parts_HoldsAccelerators(part));
}

/* True when a change is to be reported. A released part is reported as running
 * only when the runner has confirmed the start, as its owner relies on it. */
static bool
needs_report(const struct part *part)
{
    return part->changed &&
           (part->state != PART_RUNNING || part->start == START_CONFIRMED);
}

/* True for an ended part that needs no further reports: its owner has fenced
 * it, or its task never started, which the owner also learns when its release
 * is refused. */
static bool
can_be_removed(const struct part *part)
{
    return !Parts_HoldsAccelerators(part) &&
           (part->fenced || part->start == START_NOT_REQUESTED);
}

/* Reports changed parts, grants reservations whose accelerators have become
 * free, and repeats the report of an end until its owner has fenced it. A
 * report may be lost, or sent while no entry owns the job, and without the
 * repetition the job would wait for its end for ever. */
void
PartsReport_Changes(struct parts_task *t, int64_t now)
{
    struct part *part, *next;
    bool changed = false;

    TAILQ_FOREACH_SAFE (part, &t->parts.list, entry, next) {
        if (needs_report(part)) {
            changed = true;
            report_change(t, part, now);
        }
        if (part->state == PART_RESERVED && !part->grant_sent &&
            Parts_AcceleratorsFree(&t->parts, part)) {
            send_granted(t, part);
        }
        if (can_be_removed(part)) {
            changed = true;
            Parts_Remove(&t->parts, part);
        }
        else if (!Parts_HoldsAccelerators(part) &&
                 now - part->reported_at >= REPORT_RETRY_MS) {
            part->reported_at = now;
            PartsReport_Task(t, "", part);
        }
    }
    if (changed) {
        post_parts(t);
    }
}

/* One part as JSON, for operators. */
static json_t *
part_state(const struct part *part, int64_t now)
{
    char hex[ID_HEX_SIZE];

    return json_pack(
        "{s:s, s:I, s:I, s:s, s:s, s:I, s:I, s:b, s:s, s:I, s:I, s:I}", "job",
        Id_Hex(&part->job, hex), "attempt", (json_int_t)part->attempt, "term",
        (json_int_t)part->term, "state", state_names[part->state], "reason",
        part->reason, "accelerators", (json_int_t)part->accelerators,
        "members", (json_int_t)part->members, "guaranteed", part->guaranteed,
        "organisation", part->organisation, "lease_ms",
        (json_int_t)(part->lease_until - now), "checkpoint_ms",
        (json_int_t)part->checkpoint_ms, "usage_permille",
        (json_int_t)part->usage_permille);
}

/* The parts and the renewers as JSON, for operators. */
json_t *
PartsReport_State(const struct parts_task *t)
{
    const struct parts *p = &t->parts;
    json_t *list = json_array(), *renewers = json_array();
    const struct part *part;
    const struct renewer *r;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH (part, &p->list, entry) {
        json_array_append_new(list, part_state(part, now));
    }
    TAILQ_FOREACH (r, &t->renewers, link) {
        json_array_append_new(
            renewers,
            json_pack("{s:s, s:s, s:i}", "name", r->entry.name, "address",
                      r->entry.address, "unanswered", r->unanswered));
    }
    return json_pack("{s:o, s:o, s:I, s:I, s:I, s:i, s:b, s:b, s:b}", "parts",
                     list, "renewers", renewers, "term", (json_int_t)p->term,
                     "spent", (json_int_t)p->spent_count, "binding_version",
                     (json_int_t)p->binding_version, "bindings", p->bindings,
                     "runner", t->runner != NULL, "ready", p->ready, "leaving",
                     p->leaving);
}
