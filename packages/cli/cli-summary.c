#include "cli-lateness.h"
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WORD_SIZE 64
#define REASONS_MAX 24 /* of one table; the code has fewer */

/* How often something was said for a reason, and what it cost. */
struct tally {
    char reason[WORD_SIZE];
    int64_t count;
    double core_s; /* an accelerator counts as eight cores */
};

struct tallies {
    struct tally at[REASONS_MAX];
    size_t count;
};

/* A job as the logs tell of it. */
struct job_line {
    char id[WORD_SIZE];
    char queue[WORD_SIZE];
    char organisation[WORD_SIZE];
    char state[WORD_SIZE];
    struct milestones at;
    int64_t objective_ms; /* after its acceptance */
    int64_t runs;
    double thrown_core_s; /* of runs that ended otherwise than done */
    struct tallies over;  /* how its runs ended */
    RB_ENTRY(job_line) by_id;
};
RB_HEAD(job_line_tree, job_line);

struct summary {
    struct job_line_tree jobs;
    struct tallies over;    /* how runs ended */
    struct tallies stopped; /* why they were ordered to */
    struct tallies refused; /* calls of callers */
    struct tallies ages;    /* of runs that ended otherwise than done */
    struct tallies gained;  /* for which queue runs were stopped */
    struct tallies failed;  /* workers on which runs failed */
    struct tallies queues;  /* jobs, */
    struct tallies late;    /* those that were late, */
    struct tallies open;    /* and those that have not ended, by queue */
    int64_t late_ms[PHASES];
};

/* Order of jobs by id. */
static int
job_line_compare(struct job_line *a, struct job_line *b)
{
    return strcmp(a->id, b->id);
}

TREE_STATIC(job_line_tree, job_line, by_id, job_line_compare);

/* Copies the value of a key of a line; "" when it has none. */
static void
field(const char *line, const char *key, char out[WORD_SIZE])
{
    char name[WORD_SIZE];
    const char *at;
    size_t len;

    snprintf(name, sizeof(name), " %s=", key);
    out[0] = '\0';
    at = strstr(line, name);
    if (at == NULL || at[strlen(name)] == '"') {
        return;
    }
    at += strlen(name);
    len = strcspn(at, " ");
    if (len < WORD_SIZE) {
        memcpy(out, at, len);
        out[len] = '\0';
    }
}

/* The value of a key as a number; 0 when it has none. */
static int64_t
number(const char *line, const char *key)
{
    char text[WORD_SIZE];

    field(line, key, text);
    return strtoll(text, NULL, 10);
}

/* When a line was written; 0 when it does not say. */
static int64_t
time_of(const char *line)
{
    const char *at = strstr(line, "time=");
    struct tm tm = {0};
    const char *rest;

    rest = at != NULL ? strptime(at + 5, "%Y-%m-%dT%H:%M:%S", &tm) : NULL;
    if (rest == NULL || *rest != '.') {
        return 0;
    }
    return (int64_t)timegm(&tm) * 1000 + strtol(rest + 1, NULL, 10);
}

/* Counts one more for a reason. */
static void
count(struct tallies *t, const char *reason, double core_s)
{
    size_t i = 0;

    while (i < t->count && strcmp(t->at[i].reason, reason) != 0) {
        i++;
    }
    if (i == t->count) {
        if (i == REASONS_MAX) {
            return;
        }
        t->count++;
        Str_Copy(t->at[i].reason, sizeof(t->at[i].reason), reason);
    }
    t->at[i].count++;
    t->at[i].core_s += core_s;
}

/* The job that a line names under a key, or NULL. */
static struct job_line *
job_of(struct summary *s, const char *line, const char *name)
{
    struct job_line key, *j;

    field(line, name, key.id);
    if (key.id[0] == '\0') {
        return NULL;
    }
    j = RB_FIND(job_line_tree, &s->jobs, &key);
    if (j == NULL) {
        j = Mem_Zero(1, sizeof(*j));
        Str_Copy(j->id, sizeof(j->id), key.id);
        RB_INSERT(job_line_tree, &s->jobs, j);
    }
    return j;
}

static void
on_accepted(struct summary *s UNUSED, struct job_line *j, const char *line,
            const char *reason UNUSED)
{
    j->at.accepted_ms = time_of(line);
    field(line, "queue", j->queue);
    field(line, "organisation", j->organisation);
}

static void
on_taken(struct summary *s UNUSED, struct job_line *j, const char *line,
         const char *reason UNUSED)
{
    if (j->at.scheduled_ms == 0) {
        j->at.scheduled_ms = time_of(line);
    }
}

static void
on_given(struct summary *s UNUSED, struct job_line *j, const char *line,
         const char *reason UNUSED)
{
    int64_t objective = number(line, "objective_ms");

    j->runs++;
    j->at.last_begun_ms = time_of(line);
    if (j->at.begun_ms == 0) {
        j->at.begun_ms = j->at.last_begun_ms;
    }
    j->objective_ms = objective != 0 ? objective : j->objective_ms;
}

static void
on_stopped(struct summary *s, struct job_line *j UNUSED, const char *line,
           const char *reason)
{
    const struct job_line *other = job_of(s, line, "other");

    count(&s->stopped, reason, 0);
    if (other != NULL) {
        count(&s->gained, *other->queue != '\0' ? other->queue : "unknown", 0);
    }
}

/* The word for a run's age. */
static const char *
age_of(int64_t ms)
{
    static const struct {
        int64_t below_ms;
        const char *word;
    } ages[] = {{300, "below_0.3s"},
                {1000, "below_1s"},
                {2000, "below_2s"},
                {4000, "below_4s"},
                {INT64_MAX, "4s_or_more"}};
    size_t i = 0;

    while (ms >= ages[i].below_ms) {
        i++;
    }
    return ages[i].word;
}

/* Counts what a run that did not end as done tells. */
static void
count_lost(struct summary *s, const char *line, const char *reason,
           double core_s)
{
    char worker[WORD_SIZE];

    count(&s->ages, age_of(number(line, "ms")), core_s);
    field(line, "worker", worker);
    if (strcmp(reason, "failed") == 0 && *worker != '\0') {
        count(&s->failed, worker, core_s);
    }
}

static void
on_over(struct summary *s, struct job_line *j, const char *line,
        const char *reason)
{
    double core_s =
        (double)number(line, "ms") * (double)number(line, "weight") / 1e6;

    count(&s->over, reason, core_s);
    count(&j->over, reason, core_s);
    if (strcmp(reason, "done") != 0) {
        j->thrown_core_s += core_s;
        count_lost(s, line, reason, core_s);
    }
}

static void
on_state(struct summary *s UNUSED, struct job_line *j, const char *line,
         const char *reason)
{
    Str_Copy(j->state, sizeof(j->state), reason);
    if (strcmp(reason, "running") != 0) {
        j->at.ended_ms = time_of(line);
    }
}

static const struct {
    const char *event;
    void (*take)(struct summary *s, struct job_line *j, const char *line,
                 const char *reason);
} events[] = {{"job_accepted", on_accepted}, {"job_taken", on_taken},
              {"run_given", on_given},       {"run_stopped", on_stopped},
              {"run_over", on_over},         {"job_state", on_state}};

/* Takes one line. */
static void
take(const char *line, void *arg)
{
    struct summary *s = arg;
    char event[WORD_SIZE], reason[WORD_SIZE];
    struct job_line *j;

    field(line, "event", event);
    field(line, "reason", reason);
    if (strcmp(event, "call_refused") == 0) {
        count(&s->refused, reason, 0);
        return;
    }
    for (size_t i = 0; i < COUNT_OF(events); i++) {
        if (strcmp(event, events[i].event) == 0 &&
            (j = job_of(s, line, "job")) != NULL) {
            events[i].take(s, j, line, reason);
        }
    }
}

/* Says one table: a line for each reason, or whatever else it is by. */
static void
say_tallies(const char *what, const char *by, const struct tallies *t)
{
    for (size_t i = 0; i < t->count; i++) {
        printf("total %s %s=%s count=%lld core_s=%.1f\n", what, by,
               t->at[i].reason, (long long)t->at[i].count, t->at[i].core_s);
    }
}

/* True for a job that ended after its objective. */
static bool
is_late(const struct job_line *j)
{
    return j->at.accepted_ms != 0 && j->at.ended_ms != 0 &&
           j->objective_ms > 0 &&
           j->at.ended_ms - j->at.accepted_ms > j->objective_ms;
}

/* Adds where a late job's time went. */
static void
count_phases(struct summary *s, const struct job_line *j)
{
    int64_t ms[PHASES];

    Milestones_Split(&j->at, ms);
    for (int i = 0; i < PHASES; i++) {
        s->late_ms[i] += ms[i];
    }
}

/* Says where the time of late jobs went. */
static void
say_phases(const struct summary *s)
{
    for (int i = 0; i < PHASES; i++) {
        printf("total late_time phase=%s ms=%lld\n", Phase_Name(i),
               (long long)s->late_ms[i]);
    }
}

/* Counts a job for its queue. */
static void
count_job(struct summary *s, const struct job_line *j)
{
    if (*j->queue == '\0') {
        return;
    }
    count(&s->queues, j->queue, j->thrown_core_s);
    if (is_late(j)) {
        count(&s->late, j->queue, j->thrown_core_s);
        count_phases(s, j);
    }
    if (j->at.ended_ms == 0) {
        count(&s->open, j->queue, j->thrown_core_s);
    }
}

/* Says one job; -1 stands for what the logs don't tell. */
static void
say_job(const struct job_line *j)
{
    int64_t from = j->at.accepted_ms;
    int64_t wait =
        from != 0 && j->at.begun_ms != 0 ? j->at.begun_ms - from : -1;
    int64_t took =
        from != 0 && j->at.ended_ms != 0 ? j->at.ended_ms - from : -1;
    bool late = is_late(j);
    int64_t phases[PHASES];

    Milestones_Split(&j->at, phases);
    printf(
        "job=%s queue=%s organisation=%s state=%s wait_ms=%lld took_ms=%lld "
        "objective_ms=%lld late=%s runs=%lld thrown_core_s=%.1f",
        j->id, j->queue, j->organisation,
        *j->state != '\0' ? j->state : "queued", (long long)wait,
        (long long)took, (long long)j->objective_ms, late ? "yes" : "no",
        (long long)j->runs, j->thrown_core_s);
    for (size_t i = 0; i < j->over.count; i++) {
        printf(" %s=%lld", j->over.at[i].reason,
               (long long)j->over.at[i].count);
    }
    for (int i = 0; i < PHASES && took >= 0; i++) {
        printf(" %s_ms=%lld", Phase_Name(i), (long long)phases[i]);
    }
    puts("");
}

/* Every job of the logs, and the sums over them. */
int
Cli_Summary(const struct cli_args *args)
{
    struct summary *s CLEANUP(Mem_FreeP) = Mem_Zero(1, sizeof(*s));
    struct job_line *j, *next;
    int64_t jobs = 0;
    int code;

    RB_INIT(&s->jobs);
    code = Cli_EachLine(args, take, s);
    RB_FOREACH_SAFE (j, job_line_tree, &s->jobs, next) {
        if (code == CLI_WELL) {
            say_job(j);
            count_job(s, j);
        }
        jobs++;
        RB_REMOVE(job_line_tree, &s->jobs, j);
        free(j);
    }
    if (code == CLI_WELL && jobs == 0) {
        fprintf(stderr, "%s: no line tells of a job\n", args->program);
        return CLI_FAILED;
    }
    if (code == CLI_WELL) {
        say_tallies("run_over", "reason", &s->over);
        say_tallies("run_stopped", "reason", &s->stopped);
        say_tallies("call_refused", "reason", &s->refused);
        say_tallies("run_lost", "age", &s->ages);
        say_tallies("run_stopped_for", "queue", &s->gained);
        say_tallies("run_failed", "worker", &s->failed);
        say_tallies("jobs", "queue", &s->queues);
        say_tallies("jobs_late", "queue", &s->late);
        say_tallies("jobs_open", "queue", &s->open);
        say_phases(s);
    }
    return code;
}
