/* Splits a job's latency into phases, from the times in its log lines; private
 * to the package. */
#ifndef CLI_LATENESS_H
#define CLI_LATENESS_H

#include <stdint.h>

/* The phases of a job's latency, in chronological order. */
enum phase {
    PHASE_ACCEPTED,  /* from acceptance until the scheduler has the job */
    PHASE_SCHEDULED, /* from then until its first run starts */
    PHASE_RESTARTS,  /* from the start of its first run to that of its last */
    PHASE_LAST_RUN,  /* from the start of its last run to the job's end */
    PHASES
};

/* Times of a job, in milliseconds since 1970; 0: not in the logs. */
struct milestones {
    int64_t accepted_ms;
    int64_t scheduled_ms;
    int64_t first_start_ms; /* its first run was dispatched */
    int64_t last_start_ms;  /* its last run was dispatched */
    int64_t ended_ms;
};

const char *Phase_Name(enum phase phase);
/* Splits the time from acceptance to end into phases. If a time is missing or
 * out of order, its phase is 0 and its duration counts for the next phase. */
void Milestones_Split(const struct milestones *m, int64_t out_ms[PHASES]);

#endif
