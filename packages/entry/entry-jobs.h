/*
 * jobs: gang-scheduled batch jobs, from submission to their end, as one task
 * of the entry ("gangs").
 *
 *   entry-owner.c        election of the entry that schedules the region
 *   entry-jobs-row.c     a job's row in the table service: encoding, parsing
 *   entry-jobs-states.c  state machine of a job
 *   entry-jobs-write.c   conditional writes of a row under the owner's term
 *   entry-jobs-load.c    rows read by the owner: all at takeover, then changes
 *   entry-jobs-submit.c  POST /v1/jobs
 *   entry-jobs-read.c    GET /v1/jobs and /v1/jobs/{id}
 *   entry-jobs-cancel.c  DELETE /v1/jobs/{id}
 *   entry-jobs-agents.c  handlers of member changes and agents' messages
 *   entry-jobs-ended.c   deletion of the rows of ended jobs
 *   entry-jobs-call.c    memory of calls in progress
 *   entry-gangs.c        prepare, commit and release of a gang
 *   entry-gangs-end.c    fencing, completion, preemption, cancellation
 *   entry-gangs-watch.c  reactions to part reports and deadlines; adoption
 *   entry-gangs-heard.c  liveness of gang members; renewal of leases
 *   entry-gangs-seen.c   latest report of each part
 *   entry-cells.c        placement state, built from the configuration
 *   entry-cells-place.c  scheduling pass: which job starts next
 *   entry-cells-health.c failures counted against jobs and workers
 *   entry-cells-store.c  bindings of cells, stored for the next owner
 *
 * Rows in the table service, by region: owners/REGION (the owner and its
 * term), owners/REGION/beat (the owner's heartbeat), bindings/REGION,
 * jobs/REGION/ID, and job-news/REGION/ID. The last one marks a job's row that
 * an entry other than the owner wrote: the owner polls these markers instead
 * of every row.
 */
#ifndef ENTRY_JOBS_H
#define ENTRY_JOBS_H

#include "cells.h"
#include "entry.h"
#include "platform.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- a job's row ------------------------------------------------------- */

enum job_state {
    JOB_QUEUED,
    JOB_STARTING, /* committed; releases are sent to its members */
    JOB_RUNNING,
    JOB_STOPPING, /* cancellation requested; its members are being fenced */
    JOB_DONE,
    JOB_FAILED,
    JOB_CANCELLED,
    JOB_CANNOT_RUN,
    JOB_STATE_COUNT
};

const char *Job_StateName(enum job_state state);
bool Job_IsOver(enum job_state state);
bool Job_MayBecome(enum job_state from, enum job_state to);

/* The part of a gang that is placed on one worker, with its agent. */
struct job_member {
    char agent[NAME_SIZE];
    uint64_t incarnation;
    uint64_t accelerators; /* bit i: accelerator i of the worker */
    int tasks;
};

#define JOB_SPEC_MAX 65536 /* bytes */

/* Content of a job's row. Its wall-clock times are informational; nothing is
 * decided by them. */
struct job_row {
    struct id id;
    char organisation[NAME_SIZE];
    char class_name[NAME_SIZE];
    int tasks;
    int accelerators; /* of one task */
    enum cells_level within;
    int64_t declared_ms; /* expected run time; 0: not declared */
    bool guaranteed;
    bool cancel; /* cancellation was requested during an attempt */
    struct buf spec;
    enum job_state state;
    uint64_t attempt; /* last committed attempt; 0: none */
    uint64_t term;    /* of the owner that committed this attempt */
    struct job_member *member;
    size_t members;
    char reason[NAME_SIZE];
    int64_t submitted_at; /* wall clock, ms since 1970 */
    int64_t ended_at;     /* wall clock, ms since 1970; 0: not ended */
};

/* Longest run time that a caller may declare. */
#define DECLARED_MAX_MS ((int64_t)400 * 24 * 3600 * 1000)

/* The caller owns the result. */
json_t *JobRow_ToJson(const struct job_row *row);
void JobRow_Render(const struct job_row *row, struct buf *out);
/* Returns ERR_OK or ERR_INVALID; the caller frees out in both cases. */
int JobRow_Parse(const char *text, size_t len, struct job_row *out);
/* Parses the body of a submission. Returns ERR_OK, or ERR_INVALID with *why
 * set to a static text about the first invalid field; the caller frees out in
 * both cases. */
int JobRow_ParseSubmission(const json_t *body, struct job_row *out,
                           bool *attached, const char **why);
void JobRow_Copy(struct job_row *dst, const struct job_row *src);
void JobRow_Free(struct job_row *row); /* usable with CLEANUP */
#define JOB_KEY_SIZE (NAME_SIZE + ID_HEX_SIZE + 1)
const char *JobRow_Key(const char *region, const struct id *id,
                       char out[JOB_KEY_SIZE]);

/* ---- liveness of gang members (entry-gangs-heard.c) --------------------- */

struct liveness;
RB_HEAD(liveness_tree, liveness);

/* The newest stamp that each gang member echoed to this entry, which renews
 * leases. It is kept in memory only, as losing it is safe: after a restart the
 * renewer starts with an empty table, and renews a gang once all its members
 * have echoed again. */
struct liveness_table {
    struct liveness_tree tree;
    int count;
};

void Liveness_Init(struct liveness_table *table);
/* Records that the member was running when the renewer's own clock read
 * stamp. */
void Liveness_Record(struct liveness_table *table,
                     const struct wire_working *w, const char *agent,
                     int64_t stamp);
/* True when the newest stamp of every member is at most GANG_PULSE_MAX_AGE_MS
 * old. */
bool Liveness_AllRecent(struct liveness_table *table,
                        const struct wire_working *w, int64_t now);
void Liveness_Prune(struct liveness_table *table, int64_t now);
void Liveness_Free(struct liveness_table *table);
/* Records a pulse and returns the response for its agent, which renews the
 * leases of all gangs in it whose members are all live. The caller frees the
 * response. */
struct wire_renew *Liveness_AnswerPulse(struct liveness_table *table,
                                        const struct wire_pulse *pulse,
                                        uint64_t renewer, int64_t now);

/* ---- part reports (entry-gangs-seen.c) --------------------------------- */

/* The latest report about a part, by job and agent. Every entry keeps these,
 * as any of them may become the owner and adopt the gangs. */
struct part_report {
    char agent[NAME_SIZE];
    uint64_t incarnation;
    struct wire_part part;
    int64_t received_at; /* own clock */
    RB_ENTRY(part_report) entry;
};

RB_HEAD(part_report_tree, part_report);

void PartReports_Record(struct part_report_tree *tree, const char *agent,
                        uint64_t incarnation, const struct wire_part *part,
                        int64_t now);
/* The latest report of that agent about its part of the job, or NULL. */
const struct part_report *PartReports_Find(struct part_report_tree *tree,
                                           const struct id *job,
                                           const char *agent);
void PartReports_Prune(struct part_report_tree *tree, int64_t now);
void PartReports_Free(struct part_report_tree *tree);

/* ---- the task ---------------------------------------------------------- */

enum gang_phase {
    GANG_WAITING,          /* in the queue */
    GANG_AWAITING_VICTIMS, /* placed; the jobs it preempts still stop */
    GANG_PREPARING,        /* reservations requested */
    GANG_COMMITTING,       /* write of the row in progress */
    GANG_RELEASED,         /* members start and run */
    GANG_ADOPTING,         /* taken over; reports of its members awaited */
    GANG_PREEMPTED,        /* checkpoints and stops within its grace period */
    GANG_FENCING,          /* waits until no member can run any more */
    GANG_WRITING_OUTCOME,  /* fenced; write of its row in progress */
    GANG_COMPLETING        /* all members done; write of its row in progress */
};

/* A member of the current attempt, or of the current try. A try is an attempt
 * whose row is not written yet. */
struct gang_member {
    struct job_member assigned; /* worker, accelerators and tasks */
    bool granted;               /* its agent granted the reservation */
    bool fenced;                /* its agent confirmed the fence */
    enum part_state state;
};

/* A job in the memory of the region's owner. */
struct job {
    struct sched *sched;
    struct job_row row;
    uint64_t version;  /* of its row; 0: it has no row */
    uint64_t cells_id; /* id in struct cells */
    bool attached; /* has no row; lasts as long as its caller's connection */
    struct http_exchange *ex; /* of the caller, when attached */
    bool writing;             /* a write of its row is in progress */
    enum gang_phase phase;
    uint64_t try_attempt; /* number of the current or last try */
    struct gang_member *member;
    size_t members;
    struct id *victim; /* jobs that it preempts */
    size_t victims;
    enum job_state next_state; /* to be set by Gang_WriteOutcome */
    int64_t submitted_ms;      /* own clock */
    /* Start of the phase, or of the last try to write its row; own clock. */
    int64_t since;
    int64_t deadline;      /* of the phase, own clock; INT64_MAX: none */
    int64_t fence_sent_at; /* last time, own clock */
    int64_t first_fenced_at;
    int64_t retry_at;      /* end of the back-off after a dropped try */
    uint64_t prev_attempt; /* while committing: of the row before this try */
    uint64_t prev_term;
    const char *wait_reason; /* last recorded; NULL: none yet */
    bool preempted;          /* by another job, in the current attempt */
    bool row_outdated;       /* state "running" has yet to be written */
    int64_t started_at;      /* of the attempt, own clock */
    RB_ENTRY(job) entry;
};

RB_HEAD(sched_jobs, job);
RB_PROTOTYPE(sched_jobs, job, entry, )

/* A worker of this region, as its agent reports it. */
struct worker {
    char name[NAME_SIZE];
    uint64_t incarnation;
    struct link_peer peer;
    bool up;      /* its agent sends heartbeats */
    bool leaving; /* gets no new jobs; what runs there goes on */
    struct health health;
    uint64_t bindings_term; /* of the bindings sent last */
    uint64_t bindings_version;
    RB_ENTRY(worker) entry;
};

RB_HEAD(worker_tree, worker);
RB_PROTOTYPE(worker_tree, worker, entry, )

/* The owner of the region, as far as this entry knows. */
struct owner {
    bool self;                  /* this entry is the owner */
    bool table_down;            /* the last call to the table failed */
    bool loaded;                /* as the owner it has read all rows */
    uint64_t term;              /* highest known */
    uint64_t row_version;       /* of the owner row, as read or written last */
    uint64_t heartbeat_version; /* of the heartbeat row, as read last */
    int64_t heartbeat_at;       /* last change of that version, own clock */
    char name[NAME_SIZE];
    char http[NAME_SIZE]; /* "ip:port" of the owner's HTTP server */
    bool busy;            /* a call to the table is in progress */
    ev_timer timer;
};

struct sched_call;
struct ended_job;
TAILQ_HEAD(sched_call_list, sched_call);
TAILQ_HEAD(ended_list, ended_job);

struct sched {
    struct task task;
    const struct entry_settings *settings;
    struct config_snapshot *active_config;
    struct table *table; /* NULL: none */
    struct http_client *client;
    struct owner owner;
    struct cells *cells;
    struct order *order;
    struct sched_jobs jobs;
    struct worker_tree workers;
    struct liveness_table liveness;
    struct part_report_tree part_reports;
    bool polling;         /* a poll or the load of all rows is in progress */
    bool placement_due;   /* a change may let jobs start */
    uint64_t config_hash; /* of the sections that cells was built from */
    uint64_t rebuilds;    /* how often cells was built */
    int64_t placed_at;    /* last scheduling pass, own clock */
    struct buf bindings;  /* of cells, as JSON; last stored or read */
    uint64_t stored_version; /* of the bindings in the last write; 0: none */
    bool storing;            /* a write of the bindings is in progress */
    struct sched_call_list calls;
    struct ended_list ended;
    ev_timer poll;
    ev_timer tick;
};

/* First member of the context of a call in progress. */
struct sched_call {
    struct sched *sched;
    void (*clear)(struct sched_call *); /* frees its members; may be NULL */
    TAILQ_ENTRY(sched_call) entry;
};

void *SchedCall_New(struct sched *s, size_t size,
                    void (*clear)(struct sched_call *));
void SchedCall_Free(struct sched_call *c);
void SchedCall_FreeAll(struct sched *s);

/* Logs and records a decision about a job, with its reason and the inputs that
 * led to it; takes ownership of inputs. */
void Sched_RecordDecision(struct sched *s, const struct id *job,
                          const char *decision, const char *reason,
                          json_t *inputs);

/* ---- owner (entry-owner.c) --------------------------------------------- */

void Owner_Start(struct sched *s);
void Owner_StepDown(struct sched *s, const char *reason);
/* The condition that every write of the owner carries: its term still holds.
 * The key points into the settings of s. */
struct table_op Owner_Check(const struct sched *s);

/* ---- jobs -------------------------------------------------------------- */

/* The job with that id, or NULL. */
struct job *JobSet_Find(struct sched *s, const struct id *id);
struct job *JobSet_FindByCellsId(struct sched *s, uint64_t cells_id);
/* Adds a job; the row is copied. */
struct job *JobSet_Add(struct sched *s, const struct job_row *row,
                       uint64_t version);
/* Removes a job from memory and frees it; its row stays. */
void JobSet_Drop(struct job *j);
void JobSet_DropAll(struct sched *s);
bool JobSet_AnyAttached(struct sched *s);
/* Reads all rows of the region after this entry became the owner. */
void JobSet_Load(struct sched *s);
/* Reads the rows that other entries have written since the last poll. */
void JobSet_Poll(struct sched *s);
/* The operation that a write of a row for a caller carries, so that the owner
 * learns of the row: the check of the term when this entry is the owner,
 * otherwise the write of a job-news marker. */
struct table_op JobSet_NotifyOwnerOp(const struct sched *s, const char *key);
/* The list of ended jobs whose rows are to be deleted after a time. */
void Ended_Add(struct sched *s, const struct id *id);
void Ended_Sweep(struct sched *s, int64_t now);
void Ended_Free(struct sched *s);
/* Merges a row that this entry wrote for a caller and runs a scheduling pass,
 * when this entry is the owner. */
void JobSet_RowWritten(struct sched *s, const struct job_row *row,
                       uint64_t version);
/* Merges a row from the table: adds the job, or applies a cancellation. */
void JobSet_MergeRow(struct sched *s, const struct job_row *row,
                     uint64_t version);

typedef void (*job_written)(struct job *j, int err);
/* Writes the job's row if the term still holds. done gets ERR_OK, ERR_CONFLICT
 * (another entry wrote the row; its cancellation and version are in j now) or
 * ERR_UNREACHABLE (the write may still take effect; repeat it). done is not
 * called when the term is over. For an attached job, which has no row, done is
 * called at once with ERR_OK. */
void Job_Write(struct job *j, job_written done);

/* The authenticated caller of a request: an operator, an organisation or
 * both. */
struct principal {
    bool is_operator;
    const struct config_organisation *organisation; /* or NULL */
};

/* Identifies the caller by its bearer token. Returns false after it has
 * refused the request. */
bool Principal_Authenticate(struct sched *s, struct http_exchange *ex,
                            struct principal *out);
bool Principal_MayRead(const struct principal *principal,
                       const char *organisation);
/* The row as JSON with the job's id, as callers get it. The caller owns the
 * result. */
json_t *Job_View(const struct job_row *row);

/* A caller's request in progress that reads, cancels or lists jobs. */
struct job_request {
    struct sched_call call;
    struct http_exchange *ex;
    struct id id;
    bool is_operator;
    char organisation[NAME_SIZE];
    struct job_row row;
    int tries;      /* of a cancellation */
    ev_timer pause; /* before the next try */
};

/* Starts a request for the job in the path. Returns NULL after it has refused
 * the request. Sets *attached to the job if it is an attached one of this
 * entry, which has no row, and otherwise to NULL. */
struct job_request *JobRequest_Begin(struct sched *s, struct http_exchange *ex,
                                     const char *segment,
                                     const struct job **attached);
void JobRequest_GetRow(struct job_request *r, table_got done);
/* Parses the row into r->row. Returns false after it has refused the request.
 */
bool JobRequest_ParseRow(struct job_request *r, int err,
                         const struct table_row *row);
void JobRequest_RefuseUnavailable(struct http_exchange *ex, int err);
/* Frees a request whose response has been sent. */
void JobRequest_End(struct job_request *r);

/* ---- gangs ------------------------------------------------------------- */

struct worker *Workers_Find(struct sched *s, const char *name);
/* Handles an agent that has joined, changed or left. */
void Sched_HandleMember(struct sched *s, const struct member_note *note);
/* Passes an agent's message to the handler of its type. */
void Sched_HandleInbound(struct sched *s, const struct inbound *in);
/* Starts a try on the workers of a plan that is committed in struct cells. */
void Gang_Start(struct job *j, const struct cells_plan *plan);
/* Sends the prepares if all jobs that this one preempts have been fenced. */
void Gang_CheckVictims(struct job *j);
/* Ends a try before its row is written and puts the job back in the queue.
 * agent: whose answer ended it, or "". */
void Gang_DropTry(struct job *j, const char *reason, const char *agent);
/* Writes that the job is done, after all its members are. */
void Gang_Complete(struct job *j);
/* Repeats fences without an answer and writes that failed. */
void Gang_RetryPending(struct job *j, int64_t now);
void Gang_Cancel(struct job *j);
/* Takes over a gang that an earlier owner committed. */
void Gang_Adopt(struct job *j);
/* Ends the attempt: fences all members, then sets the job's state to after. */
void Gang_Fence(struct job *j, enum job_state after, const char *reason);
void Gang_SendFences(struct job *j);
void Gang_Preempt(struct job *j, const struct cells_victim *victim);
void Gang_SetPhase(struct job *j, enum gang_phase phase, int64_t timeout_ms);
/* Writes the state that follows a fenced attempt, j->next_state. */
void Gang_WriteOutcome(struct job *j);
void Gang_Tick(struct sched *s);
void Gang_MemberRestarted(struct job *j, const struct worker *w);
/* Handlers of the agents' answers to prepare and fence. */
void Gang_HandlePrepared(struct sched *s, const struct wire_prepared *m);
void Gang_HandleFenced(struct sched *s, const struct wire_fenced *m,
                       const char *agent);
/* Handles an agent's report of a part; fences a part that belongs to no
 * current attempt. */
void Gang_HandlePartReport(struct sched *s, const struct worker *w,
                           const struct wire_part *part, const char *reason);
/* Sends the response of an attached job, with its final state. */
void Job_ReplyAttached(struct job *j);

/* ---- placement (entry-cells*.c) ---------------------------------------- */

/* Rebuilds struct cells from the configuration, with all jobs that are placed,
 * if the sections it depends on have changed. */
void Placement_Rebuild(struct sched *s);
void Placement_SetWorker(struct sched *s, const struct worker *w);
/* Sets the states of all workers in struct cells. The running jobs must be
 * adopted before: the idle cells of a worker that is down move to other
 * workers, but cells in use must not. */
void Placement_SetAllWorkers(struct sched *s);
/* Bindings of cells (entry-cells-store.c): written to s->bindings as JSON,
 * restored from there into a new struct cells, and stored in the table when
 * they have changed. */
void Placement_SerializeBindings(struct sched *s);
void Placement_RestoreBindings(struct sched *s);
void Placement_StoreBindings(struct sched *s);
/* True when the last write to the table, which may still be in progress, has
 * the current bindings. */
bool Placement_AreBindingsStored(const struct sched *s);
/* Adds a running gang to struct cells. Returns ERR_OK, or ERR_CONFLICT or
 * ERR_EXISTS if its accelerators can't be assigned to it. */
int Placement_Adopt(struct job *j);
/* The state that struct cells is to have for a worker. */
enum cells_worker_state Placement_WorkerState(const struct worker *w);
/* Allows a trial job on each ejected worker whose ejection time is over. */
void Placement_ProbeWorkers(struct sched *s, int64_t now);
/* The class of a job; NULL when the configuration no longer has it. */
const struct config_class *Job_Class(const struct job *j);
/* The request to struct cells for a job. estimate_ms: expected run time, 0 if
 * unknown. */
struct cells_request Placement_Request(const struct job *j,
                                       int64_t estimate_ms);
void Placement_Release(struct job *j);
void Placement_Enqueue(struct job *j);
void Placement_Dequeue(struct job *j);
/* Runs a scheduling pass: starts the jobs that can start, and sends agents the
 * bindings that have changed. */
void Placement_Run(struct sched *s);
/* Counts a failure on a worker. Returns true if the job must not be tried
 * again. job_fault: the task itself failed. */
bool Placement_JobFailed(struct job *j, const char *worker, bool job_fault);
/* Counts a job that has ended well for its workers and its class. */
void Placement_JobDone(struct job *j);

#ifdef __cplusplus
}
#endif

#endif
