#include "cli-lateness.h"
#include "cli-picture.h"
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WORD_SIZE 64
/* Most rows per table. There are fewer reasons than this in the code; events
 * of queues or workers beyond this number are not counted. */
#define MAX_REASONS 24

/* The number of events for a reason, and their cost. */
struct tally {
    char reason[WORD_SIZE];
    int64_t count;
    double core_s; /* an accelerator counts as eight cores */
};

struct tallies {
    struct tally rows[MAX_REASONS];
    size_t count;
};

/* Messages of one kind on links, in one direction. */
struct traffic {
    char kind[WORD_SIZE];
    char direction[WORD_SIZE];
    int64_t bytes;
    int64_t messages;
};

/* The data on a job that its log lines give. */
struct job_summary {
    char id[WORD_SIZE];
    char queue[WORD_SIZE];
    char organisation[WORD_SIZE];
    char state[WORD_SIZE];
    struct milestones times;
    int64_t objective_ms; /* from its acceptance */
    int64_t runs;
    int64_t accelerators;    /* of each task of its first step */
    int64_t first_step;      /* accelerators of all tasks of that step */
    double wasted_core_s;    /* of runs that did not complete */
    struct tallies run_ends; /* how its runs ended */
    RB_ENTRY(job_summary) by_id;
};
RB_HEAD(job_summary_tree, job_summary);

struct summary {
    struct job_summary_tree jobs;
    struct tallies run_ends;         /* how runs ended */
    struct tallies stop_reasons;     /* why runs were ordered to stop */
    struct tallies refused_calls;    /* why calls were refused */
    struct tallies wasted_by_age;    /* runs that did not complete */
    struct tallies preempted_for;    /* queue for which runs were stopped */
    struct tallies failed_by_worker; /* worker on which runs failed */
    struct tallies jobs_by_queue;    /* all jobs */
    struct tallies late_by_queue;    /* jobs that missed their objective */
    struct tallies open_by_queue;    /* jobs that have not ended */
    struct tallies links_opened;     /* why links were opened */
    struct traffic traffic[MAX_REASONS];
    size_t traffic_count;
    int64_t late_ms[PHASES];
    struct picture picture;
};

/* Orders jobs by id. */
static int
job_summary_compare(struct job_summary *a, struct job_summary *b)
{
    return strcmp(a->id, b->id);
}

TREE_STATIC(job_summary_tree, job_summary, by_id, job_summary_compare);

/* Copies the value of a key of a line; "" if the line lacks the key, or its
 * value is quoted or too long. */
static void
read_field(const char *line, const char *key, char out[WORD_SIZE])
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

/* Returns the value of a key as a number, or 0 if the line lacks the key. */
static int64_t
read_number(const char *line, const char *key)
{
    char text[WORD_SIZE];

    read_field(line, key, text);
    return strtoll(text, NULL, 10);
}

/* Returns the time of a line in milliseconds since 1970, or 0 if it has none.
 */
static int64_t
read_time(const char *line)
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

/* Counts one event for a reason and adds its cost. */
static void
count_reason(struct tallies *t, const char *reason, double core_s)
{
    size_t i = 0;

    while (i < t->count && strcmp(t->rows[i].reason, reason) != 0) {
        i++;
    }
    if (i == t->count) {
        if (i == MAX_REASONS) {
            return;
        }
        t->count++;
        Str_Copy(t->rows[i].reason, sizeof(t->rows[i].reason), reason);
    }
    t->rows[i].count++;
    t->rows[i].core_s += core_s;
}

/* Returns the job whose id is the value of a key of a line, and adds the job
 * if it is new. NULL: the line lacks the key. */
static struct job_summary *
get_job(struct summary *s, const char *line, const char *name)
{
    struct job_summary key, *j;

    read_field(line, name, key.id);
    if (key.id[0] == '\0') {
        return NULL;
    }
    j = RB_FIND(job_summary_tree, &s->jobs, &key);
    if (j == NULL) {
        j = Mem_Zero(1, sizeof(*j));
        Str_Copy(j->id, sizeof(j->id), key.id);
        RB_INSERT(job_summary_tree, &s->jobs, j);
    }
    return j;
}

static void
on_accepted(struct summary *s, struct job_summary *j, const char *line,
            const char *reason UNUSED)
{
    j->accelerators = read_number(line, "accelerators");
    j->first_step = read_number(line, "tasks") * j->accelerators;
    Picture_Add(&s->picture, read_time(line), PICTURE_WAITING, 1,
                &j->first_step);
    j->times.accepted_ms = read_time(line);
    read_field(line, "queue", j->queue);
    read_field(line, "organisation", j->organisation);
}

static void
on_scheduled(struct summary *s UNUSED, struct job_summary *j, const char *line,
             const char *reason UNUSED)
{
    if (j->times.scheduled_ms == 0) {
        j->times.scheduled_ms = read_time(line);
    }
}

static void
on_run_started(struct summary *s, struct job_summary *j, const char *line,
               const char *reason UNUSED)
{
    int64_t objective = read_number(line, "objective_ms");

    if (j->runs == 0) {
        Picture_Add(&s->picture, read_time(line), PICTURE_WAITING, -1,
                    &j->first_step);
    }
    Picture_Add(&s->picture, read_time(line), PICTURE_IN_USE, 1,
                &j->accelerators);
    j->runs++;
    j->times.last_start_ms = read_time(line);
    if (j->times.first_start_ms == 0) {
        j->times.first_start_ms = j->times.last_start_ms;
    }
    j->objective_ms = objective != 0 ? objective : j->objective_ms;
}

static void
on_run_stopped(struct summary *s, struct job_summary *j, const char *line,
               const char *reason)
{
    const struct job_summary *other = get_job(s, line, "other");

    count_reason(&s->stop_reasons, reason, 0);
    if (other != NULL) {
        Picture_Add(&s->picture, read_time(line), PICTURE_EVICTED, 1,
                    &j->accelerators);
        count_reason(&s->preempted_for,
                     *other->queue != '\0' ? other->queue : "unknown", 0);
    }
}

/* Returns the name of the range that a run's age falls into. */
static const char *
age_range(int64_t ms)
{
    static const struct {
        int64_t below_ms;
        const char *word;
    } ranges[] = {{300, "below_0.3s"},
                  {1000, "below_1s"},
                  {2000, "below_2s"},
                  {4000, "below_4s"},
                  {INT64_MAX, "4s_or_more"}};
    size_t i = 0;

    while (ms >= ranges[i].below_ms) {
        i++;
    }
    return ranges[i].word;
}

/* Counts a run that did not complete by its age, and a failed run by its
 * worker as well. */
static void
count_wasted_run(struct summary *s, const char *line, const char *reason,
                 double core_s)
{
    char worker[WORD_SIZE];

    count_reason(&s->wasted_by_age, age_range(read_number(line, "ms")),
                 core_s);
    read_field(line, "worker", worker);
    if (strcmp(reason, "failed") == 0 && *worker != '\0') {
        count_reason(&s->failed_by_worker, worker, core_s);
    }
}

static void
on_run_ended(struct summary *s, struct job_summary *j, const char *line,
             const char *reason)
{
    double core_s = (double)read_number(line, "ms") *
                    (double)read_number(line, "weight") / 1e6;

    Picture_Add(&s->picture, read_time(line), PICTURE_IN_USE, -1,
                &j->accelerators);
    count_reason(&s->run_ends, reason, core_s);
    count_reason(&j->run_ends, reason, core_s);
    if (strcmp(reason, "done") != 0) {
        j->wasted_core_s += core_s;
        count_wasted_run(s, line, reason, core_s);
    }
}

static void
on_job_state(struct summary *s UNUSED, struct job_summary *j, const char *line,
             const char *reason)
{
    Str_Copy(j->state, sizeof(j->state), reason);
    if (strcmp(reason, "running") != 0) {
        j->times.ended_ms = read_time(line);
    }
}

static const struct {
    const char *event;
    void (*handle)(struct summary *s, struct job_summary *j, const char *line,
                   const char *reason);
} events[] = {{"job_accepted", on_accepted}, {"job_taken", on_scheduled},
              {"run_given", on_run_started}, {"run_stopped", on_run_stopped},
              {"run_over", on_run_ended},    {"job_state", on_job_state}};

/* Adds the traffic of one line. */
static void
add_traffic(struct summary *s, const char *line)
{
    struct traffic t, *at;
    size_t i = 0;

    read_field(line, "kind", t.kind);
    read_field(line, "direction", t.direction);
    while (i < s->traffic_count &&
           (strcmp(s->traffic[i].kind, t.kind) != 0 ||
            strcmp(s->traffic[i].direction, t.direction) != 0)) {
        i++;
    }
    if (i == MAX_REASONS) {
        return;
    }
    at = &s->traffic[i];
    if (i == s->traffic_count) {
        *at = t;
        at->bytes = at->messages = 0;
        s->traffic_count++;
    }
    at->bytes += read_number(line, "bytes");
    at->messages += read_number(line, "messages");
}

/* Adds the event of one line to the summary; other lines are ignored. */
static void
add_line(const char *line, void *arg)
{
    struct summary *s = arg;
    char event[WORD_SIZE], reason[WORD_SIZE];
    struct job_summary *j;

    read_field(line, "event", event);
    read_field(line, "reason", reason);
    if (strcmp(event, "call_refused") == 0) {
        count_reason(&s->refused_calls, reason, 0);
        return;
    }
    if (strcmp(event, "link_opened") == 0) {
        count_reason(&s->links_opened, reason, 0);
        return;
    }
    if (strcmp(event, "link_traffic") == 0) {
        add_traffic(s, line);
        return;
    }
    for (size_t i = 0; i < COUNT_OF(events); i++) {
        if (strcmp(event, events[i].event) == 0 &&
            (j = get_job(s, line, "job")) != NULL) {
            events[i].handle(s, j, line, reason);
        }
    }
}

/* Prints one table, one line per row. The label of a row's key is `by`:
 * reason, queue, worker or age. */
static void
print_tallies(const char *what, const char *by, const struct tallies *t)
{
    for (size_t i = 0; i < t->count; i++) {
        printf("total %s %s=%s count=%lld core_s=%.1f\n", what, by,
               t->rows[i].reason, (long long)t->rows[i].count,
               t->rows[i].core_s);
    }
}

/* Prints the links that were opened, and their traffic. */
static void
print_links(const struct summary *s)
{
    print_tallies("link_opened", "reason", &s->links_opened);
    for (size_t i = 0; i < s->traffic_count; i++) {
        printf("total link_traffic kind=%s direction=%s bytes=%lld "
               "messages=%lld\n",
               s->traffic[i].kind, s->traffic[i].direction,
               (long long)s->traffic[i].bytes,
               (long long)s->traffic[i].messages);
    }
}

/* True for a job that ended after its latency objective. */
static bool
is_late(const struct job_summary *j)
{
    return j->times.accepted_ms != 0 && j->times.ended_ms != 0 &&
           j->objective_ms > 0 &&
           j->times.ended_ms - j->times.accepted_ms > j->objective_ms;
}

/* Adds the phases of a late job to the totals. */
static void
count_phases(struct summary *s, const struct job_summary *j)
{
    int64_t ms[PHASES];

    Milestones_Split(&j->times, ms);
    for (int i = 0; i < PHASES; i++) {
        s->late_ms[i] += ms[i];
    }
}

/* Prints the total time that late jobs spent in each phase. */
static void
print_phases(const struct summary *s)
{
    for (int i = 0; i < PHASES; i++) {
        printf("total late_time phase=%s ms=%lld\n", Phase_Name(i),
               (long long)s->late_ms[i]);
    }
}

/* Counts a job in the tables by queue, unless its queue is unknown. */
static void
count_job(struct summary *s, const struct job_summary *j)
{
    if (*j->queue == '\0') {
        return;
    }
    count_reason(&s->jobs_by_queue, j->queue, j->wasted_core_s);
    if (is_late(j)) {
        count_reason(&s->late_by_queue, j->queue, j->wasted_core_s);
        count_phases(s, j);
    }
    if (j->times.ended_ms == 0) {
        count_reason(&s->open_by_queue, j->queue, j->wasted_core_s);
    }
}

/* Prints one job; -1 stands for a duration that the logs don't give. */
static void
print_job(const struct job_summary *j)
{
    int64_t from = j->times.accepted_ms;
    int64_t wait = from != 0 && j->times.first_start_ms != 0
                       ? j->times.first_start_ms - from
                       : -1;
    int64_t took =
        from != 0 && j->times.ended_ms != 0 ? j->times.ended_ms - from : -1;
    bool late = is_late(j);
    int64_t phases[PHASES];

    Milestones_Split(&j->times, phases);
    printf(
        "job=%s queue=%s organisation=%s state=%s wait_ms=%lld took_ms=%lld "
        "objective_ms=%lld late=%s runs=%lld thrown_core_s=%.1f",
        j->id, j->queue, j->organisation,
        *j->state != '\0' ? j->state : "queued", (long long)wait,
        (long long)took, (long long)j->objective_ms, late ? "yes" : "no",
        (long long)j->runs, j->wasted_core_s);
    for (size_t i = 0; i < j->run_ends.count; i++) {
        printf(" %s=%lld", j->run_ends.rows[i].reason,
               (long long)j->run_ends.rows[i].count);
    }
    for (int i = 0; i < PHASES && took >= 0; i++) {
        printf(" %s_ms=%lld", Phase_Name(i), (long long)phases[i]);
    }
    puts("");
}

/* Writes the picture to a file; returns the exit code. */
static int
write_picture(struct summary *s, const struct cli_args *args)
{
    struct buf text CLEANUP(Buf_Free) = {0};
    FILE *f = fopen(args->picture, "w");
    bool ok;

    if (f == NULL) {
        perror(args->picture);
        return CLI_FAILED;
    }
    Picture_Render(&s->picture, &text);
    ok = fwrite(text.data, 1, text.len, f) == text.len;
    if (fclose(f) != 0 || !ok) {
        perror(args->picture);
        return CLI_FAILED;
    }
    return CLI_WELL;
}

/* Prints every job in the logs, and totals over all of them. */
int
Cli_Summary(const struct cli_args *args)
{
    struct summary *s CLEANUP(Mem_FreeP) = Mem_Zero(1, sizeof(*s));
    struct job_summary *j, *next;
    int64_t jobs = 0;
    int code;

    RB_INIT(&s->jobs);
    code = Cli_ForEachLine(args, add_line, s);
    if (code == CLI_WELL && args->picture != NULL) {
        code = write_picture(s, args);
    }
    Picture_Clear(&s->picture);
    RB_FOREACH_SAFE (j, job_summary_tree, &s->jobs, next) {
        if (code == CLI_WELL) {
            print_job(j);
            count_job(s, j);
        }
        jobs++;
        RB_REMOVE(job_summary_tree, &s->jobs, j);
        free(j);
    }
    if (code == CLI_WELL && jobs == 0) {
        fprintf(stderr, "%s: no line tells of a job\n", args->program);
        return CLI_FAILED;
    }
    if (code == CLI_WELL) {
        print_tallies("run_over", "reason", &s->run_ends);
        print_tallies("run_stopped", "reason", &s->stop_reasons);
        print_tallies("call_refused", "reason", &s->refused_calls);
        print_tallies("run_lost", "age", &s->wasted_by_age);
        print_tallies("run_stopped_for", "queue", &s->preempted_for);
        print_tallies("run_failed", "worker", &s->failed_by_worker);
        print_tallies("jobs", "queue", &s->jobs_by_queue);
        print_tallies("jobs_late", "queue", &s->late_by_queue);
        print_tallies("jobs_open", "queue", &s->open_by_queue);
        print_phases(s);
        print_links(s);
    }
    return code;
}
