#include "load-sim-private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Shape of heavy service times: infinite variance, as file and job sizes
 * have; cut at HEAVY_MAX times the mean. */
#define HEAVY_SHAPE 1.5
#define HEAVY_MAX 100.0

/* Present time in the unit of the modules. */
int64_t
sim_ms(const struct sim *s)
{
    return s->now / 1000;
}

/* Next random number (SplitMix64). */
uint64_t
sim_random(struct sim *s)
{
    uint64_t z = s->random += 0x9e3779b97f4a7c15u;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

/* Next random number in (0, 1]. */
double
sim_uniform(struct sim *s)
{
    return (double)((sim_random(s) >> 11) + 1) / 9007199254740992.0;
}

/* Draws a service time. */
int64_t
sim_service_us(struct sim *s, const struct sim_stream *stream)
{
    double mean = stream->service_ms * 1000;
    double factor = 1;

    if (stream->service == SIM_EXPONENTIAL) {
        factor = -log(sim_uniform(s));
    }
    if (stream->service == SIM_HEAVY) {
        factor = (HEAVY_SHAPE - 1) / HEAVY_SHAPE *
                 pow(sim_uniform(s), -1 / HEAVY_SHAPE);
        factor = fmin(factor, HEAVY_MAX);
    }
    return (int64_t)fmax(1000, mean * factor);
}

/* True when a comes before b. */
static bool
before(const struct event *a, const struct event *b)
{
    return a->at != b->at ? a->at < b->at : a->serial < b->serial;
}

/* Adds an event. */
void
sim_at(struct sim *s, int64_t at, enum event_kind kind, int index)
{
    struct event e = {at, s->serial++, kind, index};
    size_t i = s->events++;

    if (i == s->room) {
        s->room = s->room > 0 ? s->room * 2 : 1024;
        s->heap = Mem_Grow(s->heap, s->room * sizeof(e));
    }
    while (i > 0 && before(&e, &s->heap[(i - 1) / 2])) {
        s->heap[i] = s->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    s->heap[i] = e;
}

/* Takes the earliest event out. */
bool
sim_next(struct sim *s, struct event *out)
{
    struct event last;
    size_t i = 0, child;

    if (s->events == 0) {
        return false;
    }
    *out = s->heap[0];
    last = s->heap[--s->events];
    while ((child = 2 * i + 1) < s->events) {
        if (child + 1 < s->events &&
            before(&s->heap[child + 1], &s->heap[child])) {
            child++;
        }
        if (!before(&s->heap[child], &last)) {
            break;
        }
        s->heap[i] = s->heap[child];
        i = child;
    }
    s->heap[i] = last;
    return true;
}

/* Adds a sample. */
void
sim_sample(struct sim_samples *samples, int64_t us)
{
    if (samples->count == samples->room) {
        samples->room = samples->room > 0 ? samples->room * 2 : 256;
        samples->at = Mem_Grow(samples->at, samples->room * sizeof(int64_t));
    }
    samples->at[samples->count++] = us;
}

/* Order of qsort. */
static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Sorts the samples and looks one up. */
double
Sim_Percentile(struct sim_samples *samples, double part)
{
    size_t at;

    if (samples->count == 0) {
        return 0;
    }
    qsort(samples->at, samples->count, sizeof(int64_t), compare);
    at = (size_t)((double)(samples->count - 1) * part + 0.5);
    return (double)samples->at[at] / 1000;
}

/* The demand of one caller of an organisation, and what it got. */
struct party {
    const char *organisation;
    const char *caller;
    double offered;
    double got;
    double due;
};

/* Sums the streams up by organisation and caller; returns their number. */
static int
gather(const struct sim_config *config, const struct sim_result *result,
       struct party *party)
{
    int i, j, count = 0;

    for (i = 0; i < result->count; i++) {
        const struct sim_stream *s = &config->streams[i];

        j = 0;
        while (j < count && (strcmp(party[j].organisation, s->organisation) ||
                             strcmp(party[j].caller, s->caller))) {
            j++;
        }
        if (j == count) {
            party[count++] = (struct party){s->organisation, s->caller};
        }
        party[j].offered += result->stream[i].work_offered;
        party[j].got += result->stream[i].work_in_time;
    }
    return count;
}

/* Divides work by max-min: nobody gets more than he asked for, and what one
 * leaves is divided among the others. */
static void
divide(struct party *party, int count, double work)
{
    bool settled = false;
    int i, open = count;

    while (!settled && open > 0) {
        double share = work / open;

        settled = true;
        for (i = 0; i < count; i++) {
            if (party[i].due == 0 && party[i].offered <= share) {
                party[i].due = party[i].offered;
                work -= party[i].offered;
                open--;
                settled = false;
            }
        }
    }
    for (i = 0; i < count; i++) {
        if (party[i].due == 0) {
            party[i].due = work / open;
        }
    }
}

/* Compares what parties got with what was due to them. */
struct sim_fairness
Sim_Fairness(const struct sim_config *config, const struct sim_result *result,
             double seconds)
{
    struct party *party CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)result->count, sizeof(*party));
    int i, count = gather(config, result, party);
    struct sim_fairness f = {1, 1};
    double sum = 0, squares = 0;

    divide(party, count, config->workers * config->slots * seconds * 1000);
    for (i = 0; i < count; i++) {
        double x = party[i].due > 0 ? party[i].got / party[i].due : 1;

        x = fmin(x, 1);
        f.worst = fmin(f.worst, x);
        sum += x;
        squares += x * x;
    }
    if (squares > 0) {
        f.jain = sum * sum / (count * squares);
    }
    return f;
}

/* Frees all samples. */
void
Sim_Free(struct sim_result *result)
{
    int i;

    for (i = 0; i < result->count; i++) {
        free(result->stream[i].completion.at);
        free(result->stream[i].refusal.at);
        free(result->stream[i].retry_after.at);
    }
    free(result->stream);
    free(result->worker_attempts);
}
