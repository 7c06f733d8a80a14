#include "jobs-speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight that earlier observations keep with each new one: the last five or so
 * count, so that a changed machine is recognised after a few runs. */
#define WEIGHT_DECAY 0.8
/* Weight of speed 1, in observations. Machines differ by about as much as the
 * lengths of two runs of a step. */
#define PRIOR_WEIGHT 1.0
/* Weight from which an estimate counts as known. */
#define KNOWN_WEIGHT 3.0
/* Factor between machines of unknown speed: 1.2 and 0.55 of the usual time
 * have been measured. */
#define UNKNOWN_FACTOR 2.2
/* An observation that differs by more than this factor from the estimate
 * counts less: a passing slowdown would turn the estimate otherwise. */
#define OUTLIER_FACTOR 2.5
#define OUTLIER_WEIGHT 0.25
/* Part of the fleet's mean by which each observation moves its machine, which
 * keeps that mean at speed 1. Runs only compare machines with each other. */
#define CENTRE_PART 0.02
/* Width of a band of like speeds: a fifth, twice the estimates' usual error.
 */
#define BAND_WIDTH 0.2
/* Machines with an estimate. Beyond, those without a worker are dropped. */
#define MACHINES_MAX 4096

/* Initialises an empty set. */
void
Speed_Init(struct machine_speeds *s)
{
    *s = (struct machine_speeds){0};
    TAILQ_INIT(&s->list);
}

/* Sets the estimate of a machine, within the valid range. The band follows
 * from thousandths, as the stored row has them, so that an owner that reads
 * the row places units in the same bands. */
static void
set_log_factor(struct machine_speed *m, double log_factor)
{
    double most = log(SPEED_FACTOR_MAX);

    m->log_factor = fmax(-most, fmin(most, log_factor));
    m->factor = exp(m->log_factor);
    m->band = (int)lround(round(m->log_factor * 1000) / (1000 * BAND_WIDTH));
}

/* Sets a machine to speed 1, without observations. */
static void
reset(struct machine_speed *m, const char *kind)
{
    Str_Copy(m->kind, sizeof(m->kind), kind);
    m->reported_log = 0;
    m->weight = 0;
    set_log_factor(m, 0);
}

/* Removes the longest known machine without a worker; false if all have
 * one. */
static bool
drop_unused(struct machine_speeds *s)
{
    struct machine_speed *m;

    TAILQ_FOREACH (m, &s->list, entry) {
        if (m->workers == 0) {
            TAILQ_REMOVE(&s->list, m, entry);
            s->count--;
            free(m);
            return true;
        }
    }
    return false;
}

/* Finds the estimate of a machine, or adds one at speed 1. */
struct machine_speed *
Speed_Machine(struct machine_speeds *s, const char *agent, const char *kind)
{
    struct machine_speed *m;

    TAILQ_FOREACH (m, &s->list, entry) {
        if (strcmp(m->agent, agent) == 0) {
            if (strcmp(m->kind, kind) != 0) {
                reset(m, kind);
            }
            return m;
        }
    }
    if (s->count >= MACHINES_MAX && !drop_unused(s)) {
        return NULL;
    }
    m = Mem_Zero(1, sizeof(*m));
    Str_Copy(m->agent, sizeof(m->agent), agent);
    reset(m, kind);
    TAILQ_INSERT_TAIL(&s->list, m, entry);
    s->count++;
    return m;
}

/* Returns the mean of all machines that have been observed. */
static double
fleet_mean(const struct machine_speeds *s)
{
    const struct machine_speed *m;
    double sum = 0;
    size_t n = 0;

    TAILQ_FOREACH (m, &s->list, entry) {
        if (m->weight > 0) {
            sum += m->log_factor;
            n++;
        }
    }
    return n > 0 ? sum / (double)n : 0;
}

/* Adds an observation of a machine. */
void
Speed_Observe(struct machine_speeds *s, struct machine_speed *m,
              double log_factor, double weight)
{
    double most = log(SPEED_FACTOR_MAX), limit = log(OUTLIER_FACTOR), off;

    if (!isfinite(log_factor) || fabs(log_factor) > most) {
        s->ignored++;
        return;
    }
    off = log_factor - m->log_factor;
    if (fabs(off) > limit) {
        off = off > 0 ? limit : -limit;
        weight *= OUTLIER_WEIGHT;
    }
    m->weight = WEIGHT_DECAY * m->weight + weight;
    m->log_factor += off * weight / (m->weight + PRIOR_WEIGHT);
    set_log_factor(m, m->log_factor - CENTRE_PART * fleet_mean(s));
}

/* Sets the estimate of a machine to one that an earlier owner had. */
void
Speed_Restore(struct machine_speeds *s, const char *agent, const char *kind,
              double log_factor, double weight)
{
    struct machine_speed *m = Speed_Machine(s, agent, kind);

    if (m != NULL) {
        set_log_factor(m, log_factor);
        m->weight = weight;
        m->reported_log = m->written_log = m->log_factor;
        m->written_weight = weight;
    }
}

/* Returns the factor of a machine. */
double
Speed_Factor(const struct machine_speed *m)
{
    return m != NULL ? m->factor : 1;
}

/* Returns the band of like speeds that a machine is in. */
int
Speed_Band(const struct machine_speed *m)
{
    return m != NULL ? m->band : 0;
}

/* Returns the slowest band within a factor. */
int
Speed_SlowestBand(double factor)
{
    double most = log(SPEED_FACTOR_MAX);

    return (int)floor(fmax(-most, fmin(most, log(factor))) / BAND_WIDTH);
}

/* Returns the factor by which an estimate may be wrong. */
double
Speed_Doubt(const struct machine_speed *m)
{
    double known = m != NULL ? m->weight / KNOWN_WEIGHT : 0;

    return known >= 1 ? 1 : pow(UNKNOWN_FACTOR, 1 - known);
}

/* Frees all estimates. */
void
Speed_Clear(struct machine_speeds *s)
{
    struct machine_speed *m;

    while ((m = TAILQ_FIRST(&s->list)) != NULL) {
        TAILQ_REMOVE(&s->list, m, entry);
        free(m);
    }
    s->count = 0;
}
