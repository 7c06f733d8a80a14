#include "queue-owner.h"

/* Pause after a question without an answer; it doubles with each further one,
 * as the adviser is overloaded or unreachable. */
#define BACKOFF_MS 100
#define BACKOFF_MAX_MS 1600

static struct counter asked_total = {"parsleyfall_queue_advice_total",
                                     "Questions to the adviser.", NULL,
                                     COUNTER_TOTAL};
static struct counter answer_ms = {"parsleyfall_queue_advice_ms",
                                   "Time until the adviser answered.", NULL,
                                   COUNTER_LATENCY};

/* Delays the next question after one without an answer. */
static void
back_off(struct owner *o, int err)
{
    o->question_backoff_ms =
        o->question_backoff_ms == 0 ? BACKOFF_MS : 2 * o->question_backoff_ms;
    if (o->question_backoff_ms > BACKOFF_MAX_MS) {
        o->question_backoff_ms = BACKOFF_MAX_MS;
    }
    o->next_question_ms = Clock_NowMs() + o->question_backoff_ms;
    LOG_W("advice_failed", KV("job", o->question.job),
          KV("error", Err_Name(err)),
          KV_INT("pause_ms", o->question_backoff_ms));
}

/* Handles an answer. The validity of its tickets counts from when the question
 * was sent: the adviser may have issued them at once, and the answer may have
 * been delayed. */
static void
on_advised(void *arg, int err, const struct jobs_approval *approvals,
           size_t count, int64_t validity_ms)
{
    struct owner *o = arg;
    int64_t took_ms = Clock_NowMs() - o->question_ms;

    o->question_pending = false;
    if (err != ERR_OK) {
        back_off(o, err);
        return;
    }
    o->question_backoff_ms = 0;
    Counter_Observe(&answer_ms, took_ms);
    LOG_I("advice_given", KV("job", o->question.job),
          KV_INT("step", o->question.step), KV_INT("asked", o->question.count),
          KV_INT("approved", count), KV_INT("validity_ms", validity_ms),
          KV_INT("ms", took_ms));
    if (o->scheduler != NULL) {
        Jobs_AdviceReceived(o->scheduler, &o->question, approvals, count,
                            o->question_ms + validity_ms);
        Owner_SchedulePass(o);
    }
}

/* Sends the scheduler's question, one at a time: the adviser serves the
 * questions of a machine in turn anyway. */
void
Advice_Ask(struct owner *o)
{
    const struct jobs_question *q = Jobs_Question(o->scheduler);

    if (q == NULL || o->question_pending || o->adviser == NULL ||
        Clock_NowMs() < o->next_question_ms) {
        return;
    }
    o->question_pending = true;
    o->question = *q;
    o->question_ms = Clock_NowMs();
    Counter_Add(&asked_total, 1);
    o->adviser->ops->ask(o->adviser, &o->question, on_advised, o);
}
