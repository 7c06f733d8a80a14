#include "cli-lateness.h"

static const char *const phase_names[] = {[PHASE_ACCEPTED] = "accepted",
                                          [PHASE_SCHEDULED] = "scheduled",
                                          [PHASE_RESTARTS] = "restarts",
                                          [PHASE_LAST_RUN] = "last_run"};

/* Returns a phase's name as printed by the summary. */
const char *
Phase_Name(enum phase phase)
{
    return phase_names[phase];
}

/* Splits the latency of a job that has ended into phases. */
void
Milestones_Split(const struct milestones *m, int64_t out_ms[PHASES])
{
    const int64_t ends[PHASES] = {m->scheduled_ms, m->first_start_ms,
                                  m->last_start_ms, m->ended_ms};
    int64_t at = m->accepted_ms;

    for (int i = 0; i < PHASES; i++) {
        out_ms[i] = ends[i] > at ? ends[i] - at : 0;
        at += out_ms[i];
    }
}
