/* Units that could not be placed in the pass under way.
 *
 * Assumed load: a thousand units wait for full workers, most of them alike but
 * of different jobs. Each attempt examines every worker, so the time of a pass
 * would grow with workers times units. During a pass the room that a unit may
 * use only shrinks, unless a run is stopped for another one. So once a unit
 * finds no room, or only room that may not be reserved for it, neither does
 * one that needs as much or more and may use no more. A shorter unit may use
 * room that is reserved from a later time on. */
#include "jobs-scheduler.h"

#include <string.h>

/* True when it depends on nothing but the step which workers the unit may use
 * or should avoid, and no room is kept for it because of earlier evictions. */
static bool
is_plain(const struct jobs_unit *u)
{
    return !u->job->qos.asks_advice && Unit_Step(u)->spread == 0 &&
           !u->suspect && u->failures == 0 && u->crashed_agent_hash == 0 &&
           !u->has_evicted && *u->avoid_worker == '\0';
}

/* True when u needs at least as much as f, in each task and in all. */
static bool
needs_as_much(const struct jobs_unit *u, const struct jobs_unit *f)
{
    const struct jobs_resources *a = &Unit_Step(u)->need;
    const struct jobs_resources *b = &Unit_Step(f)->need;

    return u->task_count >= f->task_count &&
           a->accelerators >= b->accelerators &&
           a->millicores >= b->millicores && a->memory_mb >= b->memory_mb;
}

/* True when both units may run on the same workers and racks. */
static bool
has_same_workers(const struct jobs_unit *a, const struct jobs_unit *b)
{
    const struct jobs_step *s = Unit_Step(a), *t = Unit_Step(b);

    return s->fills == t->fills && s->lasting == t->lasting &&
           s->same_rack == t->same_rack && strcmp(s->rack, t->rack) == 0 &&
           strcmp(s->label, t->label) == 0 &&
           strcmp(a->job->qos.service, b->job->qos.service) == 0;
}

/* True when u needs exactly as much as f, so that both need workers in
 * quarantine, or neither does. */
static bool
needs_the_same(const struct jobs_unit *u, const struct jobs_unit *f)
{
    return needs_as_much(u, f) && needs_as_much(f, u);
}

/* True when placing unit u would change nothing because the failed one found
 * no room. Room of runs that end by themselves matters only where it may be
 * reserved, or where runs are stopped if there is none.
 *
 * With the part preemption, an urgent unit has found no room only if evicting
 * all that may be evicted beside room that ends within its scope's wait was
 * not enough; that doesn't depend on prices. One for which an eviction was
 * declined is pending, and covers no other urgent unit. */
static bool
covers(const struct jobs_scheduler *sched, const struct failed_unit *f,
       const struct jobs_unit *u, const struct place_scope *scope,
       bool may_reserve)
{
    bool ending_matters = may_reserve || scope->evicts;

    if (sched->has_long_quarantine &&
        (!needs_the_same(u, f->unit) ||
         scope->impatient > f->scope.impatient)) {
        return false;
    }
    if (!needs_as_much(u, f->unit) || scope->remote > f->scope.remote ||
        scope->unpreferred > f->scope.unpreferred ||
        scope->length_ms < f->scope.length_ms ||
        !has_same_workers(f->unit, u)) {
        return false;
    }
    return !ending_matters ||
           (!f->is_pending && scope->wait_ms <= f->scope.wait_ms &&
            scope->evicts <= f->scope.evicts &&
            (!scope->evicts || u->job->rank >= f->unit->job->rank));
}

/* Forgets all failed units. */
static void
clear(struct jobs_scheduler *sched)
{
    sched->failed_count = 0;
    sched->failed_stops = sched->stops;
}

/* Prepares a pass. */
void
Failed_BeginPass(struct jobs_scheduler *sched, int64_t now_ms)
{
    struct jobs_worker *w;

    clear(sched);
    sched->has_unpreferred = false;
    sched->has_long_quarantine = false;
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        sched->has_long_quarantine =
            sched->has_long_quarantine || Trust_IsInLongQuarantine(w, now_ms);
        sched->has_unpreferred =
            sched->has_unpreferred || Place_IsSlow(w, now_ms, true);
    }
}

/* Returns which room a plain unit may use. */
static struct place_scope
scope_of(const struct jobs_scheduler *sched, const struct jobs_unit *u,
         int64_t now_ms)
{
    struct place_scope scope = Place_Scope(sched, u, now_ms);

    scope.unpreferred = scope.unpreferred && sched->has_unpreferred;
    return scope;
}

/* True when placing the unit would certainly change nothing. */
bool
Failed_Covers(struct jobs_scheduler *sched, const struct jobs_unit *u,
              int64_t now_ms, bool may_reserve)
{
    struct place_scope scope;

    if (sched->failed_stops != sched->stops) {
        clear(sched);
    }
    if (sched->failed_count == 0 || !is_plain(u)) {
        return false;
    }
    scope = scope_of(sched, u, now_ms);
    for (size_t i = 0; i < sched->failed_count; i++) {
        if (covers(sched, &sched->failed[i], u, &scope, may_reserve)) {
            return true;
        }
    }
    return false;
}

/* Remembers a unit that found no room. */
void
Failed_Add(struct jobs_scheduler *sched, const struct jobs_unit *u,
           int64_t now_ms, bool is_pending)
{
    struct failed_unit *f;

    if (!is_plain(u) || sched->failed_stops != sched->stops) {
        return;
    }
    /* The first ones are of higher rank and cover the most. */
    if (sched->failed_count == FAILED_UNITS_MAX) {
        sched->failed_count--;
    }
    f = &sched->failed[sched->failed_count++];
    f->unit = u;
    f->is_pending = is_pending;
    f->scope = scope_of(sched, u, now_ms);
    /* A unit that waits for room was tried there only on free room. */
    f->scope.unpreferred = f->scope.unpreferred && !is_pending;
}
