#include "queue-admission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Callers that have not come back this long after their time have given up. */
#define FORGET_MS 60000
/* Workers that are used less than this count as free: a job that has to wait
 * then waits for something else than capacity. */
#define FREE_PERMILLE 900

/* Adds up the longest chain of steps and all work of a spec. */
static void
add_steps(const struct jobs_spec *s, struct submitted_job *out)
{
    int64_t remaining_ms[JOBS_STEPS_MAX] = {0};

    for (uint32_t i = s->step_count; i-- > 0;) {
        const struct jobs_step *step = &s->steps[i];
        double length = (double)step->estimate_ms * step->count;

        remaining_ms[i] += step->estimate_ms;
        for (uint32_t k = 0; k < step->after_count; k++) {
            int64_t *before_ms = &remaining_ms[step->after[k]];

            *before_ms =
                remaining_ms[i] > *before_ms ? remaining_ms[i] : *before_ms;
        }
        if (remaining_ms[i] > out->length_ms) {
            out->length_ms = remaining_ms[i];
        }
        out->exempt = out->exempt || step->lasting;
        out->work[0] += length * (double)step->need.millicores;
        out->work[1] += length * (double)step->need.memory_mb;
        out->work[2] += length * (double)step->need.accelerators;
    }
}

/* Finds the most that a step needs at once. Tasks of a step that is no gang
 * can run one after the other. */
static void
find_widest(const struct jobs_spec *s, struct jobs_resources *widest)
{
    for (uint32_t i = 0; i < s->step_count; i++) {
        const struct jobs_resources *need = &s->steps[i].need;
        int64_t n = s->steps[i].gang ? s->steps[i].count : 1;

        if (n * need->millicores > widest->millicores) {
            widest->millicores = n * need->millicores;
        }
        if (n * need->memory_mb > widest->memory_mb) {
            widest->memory_mb = n * need->memory_mb;
        }
        if (n * need->accelerators > widest->accelerators) {
            widest->accelerators = n * need->accelerators;
        }
    }
}

/* Returns the accelerators that count against a guarantee (jobs-rank.c). */
static int64_t
peak_accelerators(const struct jobs_spec *s)
{
    int64_t peak = 0;

    for (uint32_t i = 0; i < s->step_count; i++) {
        int64_t n = (int64_t)s->steps[i].count * s->steps[i].need.accelerators;

        peak = n > peak ? n : peak;
    }
    return peak;
}

/* Reads what the decision needs. Every job of priority 0 that fits its
 * organisation's guarantee counts as guaranteed, as an entry doesn't know how
 * much of the guarantee is in use. */
void
QueueAdmission_ReadJob(const struct jobs_spec *s, int64_t guaranteed,
                       struct submitted_job *out)
{
    memset(out, 0, sizeof(*out));
    Str_Copy(out->id, sizeof(out->id), s->id);
    Str_Copy(out->service, sizeof(out->service), s->qos.service);
    out->priority = s->qos.priority;
    add_steps(s, out);
    find_widest(s, &out->widest);
    out->objective_ms =
        (int64_t)fmin(1e15, s->qos.stretch * (double)out->length_ms +
                                (double)s->qos.target_ms);
    out->exempt = out->exempt || s->repetitions > 0 ||
                  (s->qos.priority == 0 && guaranteed > 0 &&
                   peak_accelerators(s) <= guaranteed);
}

/* Returns the row that holds for a job, or NULL. */
static const struct jobs_forecast_row *
row_within(const struct queue_admission *a, const struct submitted_job *j,
           int64_t within_ms)
{
    return JobsForecast_Find(&a->forecast, j->service, j->priority, within_ms);
}

/* True when the widest step of a job would find room now, or will never find
 * any on these workers. */
static bool
has_room_or_never(const struct jobs_forecast_row *r,
                  const struct submitted_job *j)
{
    if (j->widest.millicores > r->capacity.millicores ||
        j->widest.memory_mb > r->capacity.memory_mb ||
        j->widest.accelerators > r->capacity.accelerators) {
        return true;
    }
    return r->busy_permille < FREE_PERMILLE &&
           j->widest.accelerators <= r->free_accelerators;
}

/* True when a job can't end within a time although its estimate may be too
 * high. */
static bool
is_too_late(const struct jobs_forecast_row *r, const struct submitted_job *j,
            int64_t within_ms)
{
    return (double)r->wait_ms + (double)j->length_ms / FORECAST_ERROR >
           (double)within_ms;
}

/* Returns the verdict that accepts a job. */
static struct submit_decision
accept(const char *reason)
{
    return (struct submit_decision){.reason = reason};
}

/* Decides on a job. A job that can still meet its objective precedes those
 * that can't, so it is refused only if it is too late for both times. */
struct submit_decision
QueueAdmission_Decide(const struct queue_admission *a,
                      const struct submitted_job *j, uint64_t owner_term,
                      int64_t now_ms)
{
    int64_t objective_ms = j->objective_ms;
    const struct jobs_forecast_row *in_time = row_within(a, j, objective_ms);
    const struct jobs_forecast_row *of_use =
        row_within(a, j, USELESS_FACTOR * objective_ms);
    int64_t age_ms = now_ms - a->received_ms;

    if (j->exempt) {
        return accept("exempt");
    }
    if (a->received_ms == 0 || in_time == NULL || of_use == NULL) {
        return accept("no_forecast");
    }
    if (age_ms < 0 || age_ms > FORECAST_MAX_AGE_MS || a->term < owner_term) {
        return accept("old_forecast");
    }
    if (has_room_or_never(of_use, j)) {
        return accept("has_room");
    }
    if (!is_too_late(in_time, j, objective_ms) ||
        !is_too_late(of_use, j, USELESS_FACTOR * objective_ms)) {
        return accept("of_use");
    }
    return (struct submit_decision){
        .refused = true, .reason = "no_capacity", .wait_ms = of_use->wait_ms};
}

/* Removes a refusal. */
static void
drop(struct queue_admission *a, size_t at)
{
    a->refusals[at] = a->refusals[--a->refusal_count];
}

/* Finds the refusal of a job, or returns NULL. */
static struct refused_job *
find(struct queue_admission *a, const char *id)
{
    for (size_t i = 0; i < a->refusal_count; i++) {
        if (strcmp(a->refusals[i].job.id, id) == 0) {
            return &a->refusals[i];
        }
    }
    return NULL;
}

/* Forgets callers that have given up, and, when there are too many, the one
 * that came first. */
static void
drop_old(struct queue_admission *a, int64_t now_ms)
{
    size_t first = 0;

    for (size_t i = a->refusal_count; i-- > 0;) {
        if (now_ms - a->refusals[i].at_ms > FORGET_MS) {
            drop(a, i);
        }
    }
    for (size_t i = 0; i < a->refusal_count; i++) {
        if (a->refusals[i].first_ms < a->refusals[first].first_ms) {
            first = i;
        }
    }
    if (a->refusal_count == REFUSALS_MAX) {
        drop(a, first);
    }
}

/* Finds the refusal of a job, or adds one. */
static struct refused_job *
find_or_add(struct queue_admission *a, const struct submitted_job *j,
            int64_t now_ms)
{
    struct refused_job *r;

    drop_old(a, now_ms);
    r = find(a, j->id);
    if (r == NULL) {
        r = &a->refusals[a->refusal_count++];
        memset(r, 0, sizeof(*r));
        r->first_ms = now_ms;
    }
    r->job = *j;
    r->checked = false;
    return r;
}

/* Returns the time between two returns: what all workers of the service need
 * for the job's work, for as many entries as give out such times. */
static int64_t
pitch_ms(const struct jobs_forecast_row *row, const struct submitted_job *j,
         size_t entries)
{
    double capacity[3] = {(double)row->capacity.millicores,
                          (double)row->capacity.memory_mb,
                          (double)row->capacity.accelerators};
    double longest = 1;

    for (int i = 0; i < 3; i++) {
        if (capacity[i] > 0) {
            longest = fmax(longest, j->work[i] / capacity[i]);
        }
    }
    return (int64_t)fmin(RETURN_MAX_MS,
                         longest * (double)(entries > 0 ? entries : 1));
}

/* True when another refused caller of the service comes back about then. */
static bool
is_taken(const struct queue_admission *a, const struct refused_job *self,
         int64_t at_ms, int64_t pitch)
{
    for (size_t i = 0; i < a->refusal_count; i++) {
        const struct refused_job *r = &a->refusals[i];

        if (r != self && strcmp(r->job.service, self->job.service) == 0 &&
            llabs(r->at_ms - at_ms) * 2 < pitch) {
            return true;
        }
    }
    return false;
}

/* Counts the callers of the service that came before and are still to come
 * back. */
static int64_t
count_before(const struct queue_admission *a, const struct refused_job *self,
             int64_t now_ms)
{
    int64_t n = 0;

    for (size_t i = 0; i < a->refusal_count; i++) {
        const struct refused_job *r = &a->refusals[i];

        n += r != self && strcmp(r->job.service, self->job.service) == 0 &&
             r->at_ms > now_ms && r->first_ms <= self->first_ms;
    }
    return n;
}

/* Returns a time within the bounds. Callers for whom there is no time of their
 * own within them are spread over the second half by their ids. */
static int64_t
bounded(int64_t after_ms, const char *id, int64_t now_ms)
{
    if (after_ms > RETURN_MAX_MS) {
        uint64_t spread = Hash_Str(id, (uint64_t)now_ms);

        return RETURN_MAX_MS - (int64_t)(spread % (RETURN_MAX_MS / 2));
    }
    return after_ms < RETURN_MIN_MS ? RETURN_MIN_MS : after_ms;
}

/* Notes that a job is refused, and returns after which time its caller should
 * come back: when it is expected to be of use, and then each in turn. */
int64_t
QueueAdmission_Refuse(struct queue_admission *a, const struct submitted_job *j,
                      size_t entries, int64_t now_ms)
{
    const struct jobs_forecast_row *row =
        row_within(a, j, USELESS_FACTOR * j->objective_ms);
    struct refused_job *r = find_or_add(a, j, now_ms);
    int64_t pitch = row != NULL ? pitch_ms(row, j, entries) : RETURN_MIN_MS;
    int64_t wait_ms = row != NULL ? row->wait_ms : 0;
    int64_t first_ms =
        wait_ms + j->length_ms - USELESS_FACTOR * j->objective_ms;
    int64_t after_ms = first_ms > RETURN_MIN_MS ? first_ms : RETURN_MIN_MS;

    r->start_ms = now_ms + wait_ms;
    after_ms += count_before(a, r, now_ms) * pitch;
    if (r->first_ms < now_ms) {
        after_ms += pitch / 2; /* between two of those that came later */
    }
    while (r->first_ms == now_ms && after_ms <= RETURN_MAX_MS &&
           is_taken(a, r, now_ms + after_ms, pitch)) {
        after_ms += pitch;
    }
    after_ms = bounded(after_ms, j->id, now_ms);
    r->at_ms = now_ms + after_ms;
    return after_ms;
}

/* Counts the refused jobs whose start was due and that would find room now. */
static size_t
check_refusals(struct queue_admission *a, int64_t now_ms)
{
    size_t n = 0;

    for (size_t i = 0; i < a->refusal_count; i++) {
        struct refused_job *r = &a->refusals[i];
        const struct jobs_forecast_row *row;

        if (r->checked || r->start_ms > now_ms) {
            continue;
        }
        r->checked = true;
        row = row_within(a, &r->job, USELESS_FACTOR * r->job.objective_ms);
        n += row != NULL && row->wait_ms == 0 &&
             row->busy_permille < FREE_PERMILLE &&
             r->job.widest.accelerators <= row->free_accelerators;
    }
    return n;
}

/* Takes a forecast. */
size_t
QueueAdmission_TakeForecast(struct queue_admission *a, struct jobs_forecast *f,
                            uint64_t term, uint64_t number, int64_t now_ms)
{
    if (term < a->term || (term == a->term && number <= a->number)) {
        JobsForecast_Clear(f);
        return 0;
    }
    JobsForecast_Clear(&a->forecast);
    a->forecast = *f;
    *f = (struct jobs_forecast){0};
    a->term = term;
    a->number = number;
    a->received_ms = now_ms;
    return check_refusals(a, now_ms);
}

/* Forgets a refusal. */
void
QueueAdmission_Forget(struct queue_admission *a, const char *id)
{
    struct refused_job *r = find(a, id);

    if (r != NULL) {
        drop(a, (size_t)(r - a->refusals));
    }
}

/* Frees the forecast. */
void
QueueAdmission_Clear(struct queue_admission *a)
{
    JobsForecast_Clear(&a->forecast);
}
