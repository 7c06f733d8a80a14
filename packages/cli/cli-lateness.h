/* Where a job's time went, by what its logs tell; private to the package. */
#ifndef CLI_LATENESS_H
#define CLI_LATENESS_H

#include <stdint.h>

/* The parts of a job's time, in their order. */
enum phase {
    PHASE_ACCEPTED,  /* accepted, and not known to the scheduler */
    PHASE_SCHEDULED, /* known to it, and nothing started */
    PHASE_RESTARTS,  /* from its first start to its last one */
    PHASE_LAST_RUN,  /* from its last start to its end */
    PHASES
};

/* Moments of a job, in milliseconds since 1970; 0: not in the logs. */
struct milestones {
    int64_t accepted_ms;
    int64_t scheduled_ms;
    int64_t first_start_ms; /* its first run was given */
    int64_t last_start_ms;  /* its last one */
    int64_t ended_ms;
};

const char *Phase_Name(enum phase phase);
/* Splits the time from acceptance to end; a moment that is missing, or out of
 * its order, adds its time to the phase after it. */
void Milestones_Split(const struct milestones *m, int64_t out_ms[PHASES]);

#endif
