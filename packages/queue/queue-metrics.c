#include "queue-admission.h"
#include "queue.h"

#include <stdio.h>
#include <string.h>

/* Largest number of event and reason pairs counted. Reasons are constants of
 * the scheduler, some thirty; further ones share the last counter. */
#define REASONS_MAX 64

/* Counter of the events of one kind with one reason. */
struct reason {
    enum jobs_event_kind kind;
    const char *reason;
    char labels[128];
    struct counter counter;
};

static struct reason reasons[REASONS_MAX];
static size_t reason_count;

static struct counter first_start_ms = {
    "parsleyfall_queue_first_start_ms",
    "Time from a job's acceptance to its first start.", NULL, COUNTER_LATENCY};

static struct counter no_use_total = {
    "parsleyfall_queue_accepted_no_use_total",
    "Jobs that were completed after more than three times their objective.",
    NULL, COUNTER_TOTAL};

#define JOB_MS(word)                                                          \
    {                                                                         \
        "parsleyfall_queue_job_ms",                                           \
            "Time from a job's acceptance to its end.", "state=\"" word "\"", \
            COUNTER_LATENCY                                                   \
    }
static struct counter job_ms[] = {JOB_MS("completed"), JOB_MS("failed"),
                                  JOB_MS("cancelled")};

#define CALL_MS(word)                                                         \
    {                                                                         \
        "parsleyfall_queue_call_ms", "Time of a caller's call.",              \
            "outcome=\"" word "\"", COUNTER_LATENCY                           \
    }
static struct counter call_ms[] = {[QUEUE_OK] = CALL_MS("ok"),
                                   [QUEUE_WAITING] = CALL_MS("waiting"),
                                   [QUEUE_NO_QUEUE] = CALL_MS("no_queue"),
                                   [QUEUE_NO_KEY] = CALL_MS("no_key"),
                                   [QUEUE_NO_JOB] = CALL_MS("gone"),
                                   [QUEUE_INVALID] = CALL_MS("invalid"),
                                   [QUEUE_RETRY_LATER] = CALL_MS("later"),
                                   [QUEUE_NO_CAPACITY] =
                                       CALL_MS("no_capacity"),
                                   [QUEUE_CANCELLED] = CALL_MS("cancelled"),
                                   [QUEUE_UNKNOWN] = CALL_MS("unknown")};

/* Finds or adds the counter of an event. */
static struct counter *
counter_of(const struct jobs_event *e)
{
    struct reason *r;

    for (size_t i = 0; i < reason_count; i++) {
        if (reasons[i].kind == e->kind &&
            strcmp(reasons[i].reason, e->reason) == 0) {
            return &reasons[i].counter;
        }
    }
    if (reason_count == REASONS_MAX) {
        return &reasons[REASONS_MAX - 1].counter;
    }
    r = &reasons[reason_count++];
    r->kind = e->kind;
    r->reason = e->reason;
    snprintf(r->labels, sizeof(r->labels), "event=\"%s\",reason=\"%s\"",
             Jobs_EventName(e->kind), e->reason);
    r->counter =
        (struct counter){"parsleyfall_queue_events_total",
                         "Decisions and facts of the owner's scheduler.",
                         r->labels, COUNTER_TOTAL};
    return &r->counter;
}

/* Counts a scheduler event by its reason, and observes job times. */
void
QueueMetrics_Event(const struct jobs_event *e)
{
    Counter_Add(counter_of(e), 1);
    if (e->kind != JOBS_JOB_STATE) {
        return;
    }
    if (strcmp(e->reason, Jobs_StateName(JOB_RUNNING)) == 0) {
        Counter_Observe(&first_start_ms, e->number);
    }
    if (strcmp(e->reason, Jobs_StateName(JOB_COMPLETED)) == 0 &&
        !e->periodic && e->objective_ms > 0 &&
        e->number > USELESS_FACTOR * e->objective_ms) {
        Counter_Add(&no_use_total, 1);
    }
    for (int i = JOB_COMPLETED; i <= JOB_CANCELLED; i++) {
        if (strcmp(e->reason, Jobs_StateName((enum jobs_state)i)) == 0) {
            Counter_Observe(&job_ms[i - JOB_COMPLETED], e->number);
        }
    }
}

/* Observes the duration of a caller's call. */
void
QueueMetrics_Call(enum queue_outcome outcome, int64_t ms)
{
    Counter_Observe(&call_ms[outcome], ms);
}
