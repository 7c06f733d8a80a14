#include "queue-forecast.h"

#include "queue-intake.h"
#include "queue-links.h"
#include "queue-owner.h"

#include <stdlib.h>
#include <string.h>

/* A new owner knows all workers by then: agents report twice a second, and
 * with fewer workers than there are the waits would seem too long. */
#define FIRST_FORECAST_MS 3000
/* Bounds of what a forecast can say: a day, and the priorities of queues. */
#define WAIT_MAX_MS 86400000
#define PRIORITY_MAX 1000

static struct counter sent_total = {
    "parsleyfall_queue_forecasts_sent_total",
    "Forecasts of waits that this entry sent to others as the owner.", NULL,
    COUNTER_TOTAL};
static struct counter could_run_total = {
    "parsleyfall_queue_refused_could_run_total",
    "Refused jobs for which there was room when they would have started.",
    NULL, COUNTER_TOTAL};

/* Frees a forecast between tasks. */
static void
free_forecast(struct message *m)
{
    struct wire_forecast *forecast = ((struct forecast_made *)m)->m;

    if (forecast != NULL) {
        Wire_Free(&forecast->msg);
    }
    free(m);
}

const struct message_kind Queue_ForecastKind = {"forecast", free_forecast};

/* Returns the message with a forecast. */
struct wire_forecast *
Forecast_Message(const struct jobs_forecast *f, uint64_t term, uint64_t number)
{
    struct wire_forecast *m = Wire_New(WIRE_FORECAST);

    m->term = term;
    m->number = number;
    for (size_t i = 0; i < f->count; i++) {
        const struct jobs_forecast_row *r = &f->rows[i];
        struct wire_forecast_row *w = Wire_ListAdd(&m->rows, sizeof(*w));

        Str_Copy(w->service, sizeof(w->service), r->service);
        w->priority = r->priority;
        w->within_ms = r->within_ms;
        w->wait_ms = r->wait_ms;
        w->busy_permille = r->busy_permille;
        w->free_accelerators = r->free_accelerators;
        w->millicores = r->capacity.millicores;
        w->memory_mb = r->capacity.memory_mb;
        w->accelerators = r->capacity.accelerators;
    }
    return m;
}

/* True for a row with possible values. */
static bool
is_possible(const struct wire_forecast_row *w)
{
    return w->priority >= 0 && w->priority <= PRIORITY_MAX &&
           w->within_ms > 0 && w->wait_ms >= 0 && w->wait_ms <= WAIT_MAX_MS &&
           w->busy_permille >= 0 && w->free_accelerators >= 0 &&
           w->millicores >= 0 && w->memory_mb >= 0 && w->accelerators >= 0;
}

/* Reads the rows of a message. */
void
Forecast_Read(const struct wire_forecast *m, struct jobs_forecast *out)
{
    const struct wire_forecast_row *w = m->rows.items;

    *out = (struct jobs_forecast){0};
    out->rows = Mem_Zero(m->rows.count + 1, sizeof(*out->rows));
    for (size_t i = 0; i < m->rows.count; i++) {
        struct jobs_forecast_row *r = &out->rows[out->count];

        if (!is_possible(&w[i])) {
            Unreadable(UNREADABLE_MESSAGE, "forecast", "impossible values");
            continue;
        }
        Str_Copy(r->service, sizeof(r->service), w[i].service);
        r->priority = w[i].priority;
        r->within_ms = w[i].within_ms;
        r->wait_ms = w[i].wait_ms;
        r->busy_permille = w[i].busy_permille;
        r->free_accelerators = w[i].free_accelerators;
        r->capacity = (struct jobs_resources){w[i].millicores, w[i].memory_mb,
                                              w[i].accelerators};
        out->count++;
    }
}

/* Posts a forecast to a task of this process. */
static void
post(struct kernel *k, const char *task, struct wire_forecast *m)
{
    struct forecast_made *note = Mem_Zero(1, sizeof(*note));

    note->m = m;
    Queue_Post(k, task, &note->base, &Queue_ForecastKind);
}

/* True when new jobs of some kind have to wait. */
static bool
has_wait(const struct jobs_forecast *f)
{
    for (size_t i = 0; i < f->count; i++) {
        if (f->rows[i].wait_ms > 0) {
            return true;
        }
    }
    return false;
}

/* Sends a forecast when it is due: at each interval while jobs have to wait,
 * and once after that. */
void
Forecast_Tick(struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;
    struct jobs_forecast f CLEANUP(JobsForecast_Clear) = {0};
    int64_t now = Clock_NowMs();
    bool waits;

    if (!s->hosted.scheduling.admission || o->scheduler == NULL ||
        o->released || now - o->elected_ms < FIRST_FORECAST_MS ||
        now - o->forecast_ms < FORECAST_INTERVAL_MS) {
        return;
    }
    o->forecast_ms = now;
    Jobs_Forecast(o->scheduler, now, &f);
    waits = has_wait(&f);
    if (waits || o->forecast_waits) {
        o->forecast_number++;
        Counter_Add(&sent_total, 1);
        post(o->task.kernel, TASK_LINKS,
             Forecast_Message(&f, o->term, o->forecast_number));
        post(o->task.kernel, TASK_INTAKE,
             Forecast_Message(&f, o->term, o->forecast_number));
    }
    o->forecast_waits = waits;
}

/* Keeps the owner's forecast for the entries that are linked to this one. */
void
Forecast_Keep(struct links *l, struct forecast_made *note)
{
    if (l->forecast != NULL) {
        Wire_Free(&l->forecast->msg);
    }
    l->forecast = note->m;
    l->forecast_ms = Clock_NowMs();
    note->m = NULL;
}

/* Answers the status message of another entry, which comes twice a second,
 * with the forecast while that is new. */
void
Forecast_Answer(struct links *l, const struct link_peer *to)
{
    if (l->forecast != NULL &&
        Clock_NowMs() - l->forecast_ms < 2 * FORECAST_INTERVAL_MS) {
        Link_Send(l->listening, to, &l->forecast->msg);
    }
}

/* Posts a forecast that another entry sent to the intake. */
void
Forecast_Forward(struct links *l, struct wire_msg **m)
{
    post(l->task.kernel, TASK_INTAKE, (struct wire_forecast *)*m);
    *m = NULL;
}

/* Takes a forecast for decisions on submitted jobs. */
void
Forecast_Take(struct intake *in, const struct wire_forecast *m)
{
    struct jobs_forecast f;

    if (in->admission == NULL) {
        return;
    }
    Forecast_Read(m, &f);
    Counter_Add(&could_run_total,
                (int64_t)QueueAdmission_TakeForecast(
                    in->admission, &f, m->term, m->number, Clock_NowMs()));
}

/* Returns the highest term of an owner that this entry knows. */
uint64_t
Queue_OwnerTerm(struct kernel *k)
{
    const struct owner *o =
        (const struct owner *)Kernel_FindTask(k, TASK_OWNER);

    return o != NULL ? o->row_term : 0;
}
