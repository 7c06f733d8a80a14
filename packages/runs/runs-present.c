#include "runs-watch.h"

#include <stdlib.h>
#include <string.h>

/* Finds a run that the worker has, or may have. */
static struct present_run *
find(const struct watch *w, const char *task, uint64_t run)
{
    struct present_run *p;

    TAILQ_FOREACH (p, &w->present, entry) {
        if (p->run == run && strcmp(p->task, task) == 0) {
            return p;
        }
    }
    return NULL;
}

/* Finds a run or adds it. */
static struct present_run *
find_or_add(struct watch *w, const char *task, uint64_t run)
{
    struct present_run *p = find(w, task, run);

    if (p == NULL) {
        p = Mem_Zero(1, sizeof(*p));
        Str_Copy(p->task, sizeof(p->task), task);
        p->run = run;
        TAILQ_INSERT_TAIL(&w->present, p, entry);
    }
    return p;
}

/* Forgets one run. */
static void
forget(struct watch *w, struct present_run *p)
{
    TAILQ_REMOVE(&w->present, p, entry);
    free(p);
}

/* The worker has acknowledged a start. */
void
Present_Started(struct watch *w, const char *task, uint64_t run)
{
    struct present_run *p = find_or_add(w, task, run);

    if (!p->acknowledged) {
        p->acknowledged = true;
        p->begun_ms = Clock_NowMs();
    }
}

/* A start found no answer: it may have been carried out, or may yet be. */
void
Present_Unanswered(struct watch *w, const char *task, uint64_t run)
{
    find_or_add(w, task, run);
}

/* The run is not there, and its start is refused from now on. */
void
Present_Stopped(struct watch *w, const char *task, uint64_t run)
{
    struct present_run *p = find(w, task, run);

    if (p != NULL) {
        forget(w, p);
    }
}

/* Takes the lists of a report that was asked for at that time. What was there
 * before and is not listed any more has ended; a start without an answer may
 * still be carried out. */
void
Present_Listed(struct watch *w, const struct runs_poll_result *seen,
               int64_t sent_ms)
{
    struct present_run *p, *next;
    int64_t now = Clock_NowMs();

    for (size_t i = 0; i < seen->running_count; i++) {
        p = find_or_add(w, seen->running[i].task, seen->running[i].run);
        if (p->begun_ms == 0) {
            p->begun_ms = now;
        }
        p->listed_ms = now;
    }
    for (size_t i = 0; i < seen->ended_count; i++) {
        p = find(w, seen->ended[i].task, seen->ended[i].run);
        if (p != NULL) {
            p->ended = true;
        }
    }
    TAILQ_FOREACH_SAFE (p, &w->present, entry, next) {
        if (p->ended || (p->listed_ms != now && p->begun_ms != 0 &&
                         p->begun_ms < sent_ms)) {
            forget(w, p);
        }
    }
}

/* How long a run was seen at work. */
static int64_t
worked_ms(const struct present_run *p)
{
    return p->listed_ms > p->begun_ms ? p->listed_ms - p->begun_ms : 0;
}

/* An owner has answered: from now on crashes are reported for a while, so that
 * one that takes over hears of them too. */
void
Crashes_Heard(struct watch *w)
{
    if (w->crashed.count > 0 && w->crashes_heard_ms == 0) {
        w->crashes_heard_ms = Clock_NowMs();
    }
}

/* Forgets crashes that have been reported for long enough. */
void
Crashes_Expire(struct watch *w)
{
    static const int64_t keep_ms = 20000;

    if (w->crashes_heard_ms != 0 &&
        Clock_NowMs() - w->crashes_heard_ms > keep_ms) {
        free(w->crashed.items);
        w->crashed = (struct wire_list){0};
        w->crashes_heard_ms = 0;
    }
}

/* Notes a run that was on a worker when that crashed, to be reported. */
static void
note_crash(struct watch *w, const struct present_run *p)
{
    struct wire_crash *c = Wire_ListAdd(&w->crashed, sizeof(*c));

    Str_Copy(c->worker, sizeof(c->worker), w->said.incarnation);
    Str_Copy(c->task, sizeof(c->task), p->task);
    c->run = p->run;
    c->acknowledged = p->acknowledged;
    c->worked_ms = worked_ms(p);
    LOG_W("worker_crashed", KV("worker", c->worker), KV("task", c->task),
          KV_INT("run", c->run),
          KV("acknowledged", p->acknowledged ? "yes" : "no"),
          KV_INT("worked_ms", c->worked_ms));
}

/* The worker has crashed: tells what was there. */
void
Present_Crashed(struct watch *w)
{
    const struct present_run *p;

    Crashes_Expire(w);
    TAILQ_FOREACH (p, &w->present, entry) {
        note_crash(w, p);
        w->crashes_heard_ms = 0;
    }
}

/* Forgets all runs. */
void
Present_Clear(struct watch *w)
{
    struct present_run *p;

    while ((p = TAILQ_FIRST(&w->present)) != NULL) {
        TAILQ_REMOVE(&w->present, p, entry);
        free(p);
    }
}
