#include "agent-parts.h"

#include <stdio.h>
#include <string.h>

/* Writes the label of a task, for the agent process that adopts it: term, size
 * of the gang, grace and guarantee. */
void
Parts_Label(const struct part *part, char out[RUNNER_LABEL_SIZE])
{
    snprintf(out, RUNNER_LABEL_SIZE, "1 %llu %llu %llu %lld %d %s",
             (unsigned long long)part->term, (unsigned long long)part->members,
             (unsigned long long)part->tasks, (long long)part->grace_ms,
             part->guaranteed, part->organisation);
}

/* Reads a label. A label that can't be read leaves a part with 0 members,
 * which no entry can renew, so that the part stops when its lease ends. */
static void
read_label(struct part *part, const char *label)
{
    unsigned long long term, members, tasks;
    long long grace;
    int guaranteed, at = 0;

    part->grace_ms = PARTS_ADOPTED_GRACE_MS;
    if (sscanf(label, "1 %llu %llu %llu %lld %d %n", &term, &members, &tasks,
               &grace, &guaranteed, &at) != 5 ||
        at == 0) {
        return;
    }
    part->term = term;
    part->members = members;
    part->tasks = tasks;
    part->grace_ms = grace;
    part->guaranteed = guaranteed != 0;
    Str_Copy(part->organisation, sizeof(part->organisation), label + at);
}

/* The state and the reason of a part for each state of its task at the runner.
 */
static const struct {
    bool ended;
    enum part_state state;
    const char *reason;
} runner_states[] = {
    [RUNNER_RUNNING] = {false, PART_RUNNING, "adopted"},
    [RUNNER_THROTTLED] = {false, PART_RUNNING, "adopted"},
    [RUNNER_CHECKPOINTING] = {false, PART_RUNNING, "adopted"},
    [RUNNER_ENDED_WELL] = {true, PART_DONE, "ended"},
    [RUNNER_FAILED] = {true, PART_FAILED, "failed"},
    [RUNNER_STOPPED] = {true, PART_STOPPED, "stopped"},
};

/* Updates a part from the runner's list. */
static void
record_task(struct part *part, const struct runner_task *task, int64_t now)
{
    if (part->start != START_CONFIRMED) {
        part->start = START_CONFIRMED;
        part->confirmed_at = now;
    }
    part->checkpoint_ms = task->checkpoint_ms;
    part->usage_permille = task->usage_permille;
}

/* Adds a part for a task that this process did not start. Its lease is the
 * rest of the lease at the worker, counted from the time at which the list was
 * requested, so that a restart never extends a lease. */
static struct part *
adopt(struct parts *p, const struct runner_task *task, int64_t clock,
      int64_t requested_at, int64_t now)
{
    struct part *part = Mem_Zero(1, sizeof(*part));
    int64_t left = task->until - clock;

    part->job = task->job;
    part->attempt = task->attempt;
    part->accelerators = task->accelerators;
    part->throttled = task->state == RUNNER_THROTTLED;
    part->throttle_reported = part->throttled;
    read_label(part, task->label);
    part->lease_until =
        requested_at + (left < GANG_LEASE_MS ? left : GANG_LEASE_MS);
    part->lease_reported = part->lease_until;
    record_task(part, task, now);
    TAILQ_INSERT_TAIL(&p->list, part, entry);
    if (runner_states[task->state].ended) {
        Part_End(p, part, runner_states[task->state].state,
                 runner_states[task->state].reason, now);
    }
    else {
        Part_SetState(part, PART_RUNNING, runner_states[task->state].reason);
    }
    return part;
}

/* Score of a part as the record of a listed task: parts that hold accelerators
 * come first, then those whose start is better known. */
static int
match_score(const struct part *part)
{
    return (Parts_HoldsAccelerators(part) ? START_CONFIRMED + 1 : 0) +
           (int)part->start;
}

/* Finds the part of a listed task by job and attempt. The runner does not know
 * terms, so several parts may match: the one with the best score is taken. */
static struct part *
find_matching(struct parts *p, const struct runner_task *task)
{
    struct part *part, *found = NULL;

    TAILQ_FOREACH (part, &p->list, entry) {
        if (part->attempt == task->attempt &&
            Id_Compare(&part->job, &task->job) == 0 &&
            (found == NULL || match_score(part) > match_score(found))) {
            found = part;
        }
    }
    return found;
}

/* Updates a part from its listed task, and ends it when the task has ended. */
static void
reconcile_part(struct parts *p, struct part *part,
               const struct runner_task *task, int64_t now)
{
    const char *reason = part->state == PART_STOPPING
                             ? part->reason
                             : runner_states[task->state].reason;
    char copy[NAME_SIZE];

    record_task(part, task, now);
    if (runner_states[task->state].ended) {
        Str_Copy(copy, sizeof(copy), reason);
        Part_End(p, part, runner_states[task->state].state, copy, now);
    }
}

/* Stops a listed task that works without a part that holds accelerators: its
 * start reached the runner late, or another agent started it. It is adopted as
 * a part, which holds the accelerators until the task has stopped. */
static void
stop_stray(struct parts *p, const struct runner_task *task, int64_t clock,
           int64_t requested_at, int64_t now)
{
    struct part *part = adopt(p, task, clock, requested_at, now);

    part->fenced = Spent_Covers(p, &part->job, part->attempt, part->term);
    Part_StopBy(p, part, "stray", now, now);
}

/* Reconciles one listed task. */
static void
reconcile_task(struct parts *p, const struct runner_task *task, int64_t clock,
               int64_t requested_at, int64_t now)
{
    struct part *part = find_matching(p, task);
    bool ended = runner_states[task->state].ended;
    bool unknown = part == NULL || part->ended_at < requested_at;

    if (part != NULL && Parts_HoldsAccelerators(part) &&
        part->start != START_NOT_REQUESTED) {
        reconcile_part(p, part, task, now);
    }
    else if (part == NULL && !p->ready) {
        adopt(p, task, clock, requested_at, now);
    }
    else if (unknown && !ended) {
        stop_stray(p, task, clock, requested_at, now);
    }
}

/* True when the list contains the task of a part. */
static bool
is_listed(const struct part *part, const struct runner_task *tasks,
          size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (tasks[i].attempt == part->attempt &&
            Id_Compare(&tasks[i].job, &part->job) == 0) {
            return true;
        }
    }
    return false;
}

/* Reconciles a part whose task is not listed. A confirmed task is lost if the
 * list was requested after the confirmation. A task whose start is not
 * confirmed may still start until its lease is over, when the worker begins to
 * refuse it; the part ends if the list was requested after that. */
static void
reconcile_unlisted(struct parts *p, struct part *part, int64_t requested_at,
                   int64_t now)
{
    if (part->start == START_CONFIRMED && requested_at > part->confirmed_at) {
        Part_End(p, part, PART_STOPPED, "lost", now);
    }
    else if (part->start == START_REQUESTED &&
             requested_at > part->lease_until) {
        Part_End(p, part, PART_STOPPED, "never_started", now);
    }
}

/* Reconciles all parts with the runner's list. */
void
Parts_Reconcile(struct parts *p, const struct runner_task *tasks, size_t count,
                int64_t clock, int64_t requested_at, int64_t now)
{
    struct part *part, *next;

    for (size_t i = 0; i < count; i++) {
        reconcile_task(p, &tasks[i], clock, requested_at, now);
    }
    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        if ((part->state == PART_RUNNING || part->state == PART_STOPPING) &&
            !is_listed(part, tasks, count)) {
            reconcile_unlisted(p, part, requested_at, now);
        }
    }
    p->ready = true;
}

/* Records the outcome of a start call. A refusal shows that the task does not
 * run, unless the outcome of an earlier call is unknown: a late copy of that
 * call may still start the task, so only a list can show what runs. */
void
Parts_RecordStart(struct parts *p, struct part *part, int err, int64_t now)
{
    if (part->start != START_REQUESTED) {
        return;
    }
    if (err == ERR_OK) {
        part->start = START_CONFIRMED;
        part->confirmed_at = now;
        return;
    }
    if (err == ERR_STALE || err == ERR_UNKNOWN) {
        part->start_uncertain = true;
    }
    if (part->start_uncertain) {
        return;
    }
    part->start = START_NOT_REQUESTED;
    if (err == ERR_INVALID) {
        Part_End(p, part, PART_FAILED, "refused_by_runner", now);
    }
    else if (part->state == PART_STOPPING) {
        Part_End(p, part, PART_STOPPED, "never_started", now);
    }
}
