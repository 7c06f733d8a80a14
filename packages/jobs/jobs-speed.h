/* Estimates how fast machines run tasks.
 *
 * Machines of one fleet differ in speed by a factor of 2 and more. With one
 * length for all of them, a run on a usual machine looks slow beside one on a
 * fast machine, and is moved for nothing.
 *
 * For each machine, the estimate is the logarithm of a factor: how many times
 * as long as on a machine of speed 1 a run takes. Each observation moves it by
 * a part of the difference, which shrinks with the weight of the earlier ones;
 * these lose weight with each new one. The fleet's mean is kept at speed 1. */
#ifndef JOBS_SPEED_H
#define JOBS_SPEED_H

#include "jobs.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Speeds from 1/8 to 8 are valid. */
#define SPEED_FACTOR_MAX 8.0

/* The estimate of one machine, identified by its agent. It starts anew when
 * the machine's kind changes, and outlives incarnations of its worker. */
struct machine_speed {
    char agent[NAME_SIZE];
    char kind[JOBS_TEXT_SIZE]; /* first label; "": it has none */
    double log_factor;
    double factor;       /* exp(log_factor) */
    int band;            /* of like speeds */
    double weight;       /* of its observations */
    double reported_log; /* log_factor in its last event */
    double written_log;  /* log_factor in the last row, and the weight */
    double written_weight;
    size_t workers; /* incarnations that refer to it */
    TAILQ_ENTRY(machine_speed) entry;
};

struct machine_speeds {
    TAILQ_HEAD(, machine_speed) list; /* the longest known first */
    size_t count;
    int64_t ignored; /* invalid observations */
    int64_t chosen;  /* units whose workers were chosen by speed */
};

void Speed_Init(struct machine_speeds *s);
/* Returns the machine's estimate, new at speed 1 if there is none of that
 * kind; NULL when there are too many machines. */
struct machine_speed *Speed_Machine(struct machine_speeds *s,
                                    const char *agent, const char *kind);
/* Adds an observation: the logarithm of the factor by which a run there took
 * longer than it would at speed 1. weight: above 0, and 1 at most. */
void Speed_Observe(struct machine_speeds *s, struct machine_speed *m,
                   double log_factor, double weight);
/* Sets the estimate of a machine to one that an earlier owner had. */
void Speed_Restore(struct machine_speeds *s, const char *agent,
                   const char *kind, double log_factor, double weight);
/* Returns the factor of a machine; 1 when m is NULL. */
double Speed_Factor(const struct machine_speed *m);
/* Returns the band of like speeds that a machine is in: 0 around speed 1,
 * lower for faster ones. */
int Speed_Band(const struct machine_speed *m);
/* Returns the slowest band on which runs take at most factor times as long as
 * at speed 1. factor: above 0. */
int Speed_SlowestBand(double factor);
/* Returns the factor by which the estimate may still be wrong; 1 after enough
 * observations. */
double Speed_Doubt(const struct machine_speed *m);
void Speed_Clear(struct machine_speeds *s);

#ifdef __cplusplus
}
#endif

#endif
