#include "entry-jobs.h"

#include <stdlib.h>

/* Results of tasks, counted for jobs and workers. */

/* Counts the result of a task for its worker. A worker on which every task
 * fails is ejected for a time, but never more than a share of all workers at
 * once. */
static void
update_health(struct sched *s, const char *name, bool ok)
{
    struct worker *w = Workers_Find(s, name);
    struct health_inputs in = {.ok = ok, .now = Clock_NowMs()};
    struct health_decision d;
    struct worker *other;

    if (w == NULL) {
        return;
    }
    RB_FOREACH (other, worker_tree, &s->workers) {
        in.total++;
        in.out_of_use += other != w && other->health.state != HEALTH_GOOD;
    }
    in.before = w->health;
    d = Health_Judge(&in);
    if (d.reason != HEALTH_UNCHANGED) {
        LOG_W("worker_health", KV("agent", name),
              KV("reason", Health_ReasonName(d.reason)),
              KV_INT("out", in.out_of_use), KV_INT("total", in.total));
    }
    w->health = d.after;
    Placement_SetWorker(s, w);
}

/* Allows a trial job on each ejected worker whose ejection time is over. */
void
Placement_ProbeWorkers(struct sched *s, int64_t now)
{
    struct worker *w;

    RB_FOREACH (w, worker_tree, &s->workers) {
        if (w->health.state == HEALTH_EJECTED &&
            Health_MayProbe(&w->health, now)) {
            w->health.state = HEALTH_PROBING;
            Placement_SetWorker(s, w);
        }
    }
}

/* Counts a failure against the job and, if its task failed, the worker. */
bool
Placement_JobFailed(struct job *j, const char *worker, bool job_fault)
{
    struct sched *s = j->sched;
    const struct worker *w = Workers_Find(s, worker);
    bool suspect = w != NULL && w->health.state != HEALTH_GOOD;
    enum order_failure_kind kind = !job_fault ? ORDER_WORKER_LOST
                                   : suspect  ? ORDER_WORKER_SUSPECT
                                              : ORDER_JOB_FAILED;
    struct order_failure f;
    struct worker *candidate;
    int usable = 0;

    RB_FOREACH (candidate, worker_tree, &s->workers) {
        usable += Placement_WorkerState(candidate) == CELLS_WORKER_UP;
    }
    f = Order_Failed(s->order, &j->row.id, worker, usable, kind, Clock_NowMs(),
                     Id_Random64());
    Sched_RecordDecision(s, &j->row.id, f.cannot_run ? "cannot_run" : "again",
                         Order_ReasonName(f.reason),
                         json_pack("{s:s, s:i, s:i}", "agent", worker, "fails",
                                   f.inputs.fails, "workers",
                                   f.inputs.workers));
    if (job_fault) {
        update_health(s, worker, false);
    }
    return f.cannot_run;
}

/* Counts a job that has ended well: for the health of its workers, and with
 * its run time for the estimates of its class. */
void
Placement_JobDone(struct job *j)
{
    size_t i;

    for (i = 0; i < j->members; i++) {
        update_health(j->sched, j->member[i].assigned.agent, true);
    }
    Order_Done(j->sched->order, &j->row.id, j->row.class_name,
               j->row.declared_ms, Clock_NowMs() - j->started_at);
}
