#include "queue-owner.h"

/* After a question without an answer, the next one waits so long, and twice as
 * long after each further one: the adviser is full, or away. */
#define BACKOFF_MS 100
#define BACKOFF_MAX_MS 1600

static struct counter asked_total = {"parsleyfall_queue_advice_total",
                                     "Questions to the adviser.", NULL,
                                     COUNTER_TOTAL};
static struct counter answer_ms = {"parsleyfall_queue_advice_ms",
                                   "Time until the adviser answered.", NULL,
                                   COUNTER_LATENCY};

/* No answer: the next question waits. */
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

/* An answer. Its tickets count from when it was asked for: they may have been
 * made at once, and the answer may have been on its way for long. */
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
        Jobs_Advised(o->scheduler, &o->question, approvals, count,
                     o->question_ms + validity_ms);
        Owner_SchedulePass(o);
    }
}

/* Asks what the scheduler wants to know, one question at a time: the adviser
 * takes this machine's questions in turn anyway. */
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
