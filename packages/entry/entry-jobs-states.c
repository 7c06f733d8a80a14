#include "entry-jobs.h"

#define BIT(state) (1U << (state))

/* Every state with its successors. The states of an ended job have none. */
static const struct {
    const char *name;
    unsigned next;
} states[JOB_STATE_COUNT] = {
    [JOB_QUEUED] = {"queued", BIT(JOB_STARTING) | BIT(JOB_CANCELLED) |
                                  BIT(JOB_CANNOT_RUN)},
    [JOB_STARTING] = {"starting", BIT(JOB_RUNNING) | BIT(JOB_STOPPING) |
                                      BIT(JOB_QUEUED) | BIT(JOB_DONE) |
                                      BIT(JOB_FAILED) | BIT(JOB_CANCELLED) |
                                      BIT(JOB_CANNOT_RUN)},
    [JOB_RUNNING] = {"running", BIT(JOB_STOPPING) | BIT(JOB_QUEUED) |
                                    BIT(JOB_DONE) | BIT(JOB_FAILED) |
                                    BIT(JOB_CANCELLED) | BIT(JOB_CANNOT_RUN)},
    [JOB_STOPPING] = {"stopping", BIT(JOB_CANCELLED) | BIT(JOB_DONE)},
    [JOB_DONE] = {"done", 0},
    [JOB_FAILED] = {"failed", 0},
    [JOB_CANCELLED] = {"cancelled", 0},
    [JOB_CANNOT_RUN] = {"cannot_run", 0},
};

/* Name of a state, in rows and responses. */
const char *
Job_StateName(enum job_state state)
{
    return states[state].name;
}

/* True for the state of an ended job, which never changes again. */
bool
Job_IsOver(enum job_state state)
{
    return states[state].next == 0;
}

/* True if a job may change from one state directly to the other. */
bool
Job_MayBecome(enum job_state from, enum job_state to)
{
    return (states[from].next & BIT(to)) != 0;
}
