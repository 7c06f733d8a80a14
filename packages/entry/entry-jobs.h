/*
 * jobs: long work, from its submission to its end, as one task ("gangs").
 *
 *   entry-owner.c        which entry schedules the region: term and renewal
 *   entry-jobs-row.c     a job as its row in the table service holds it
 *   entry-jobs-states.c  which state may follow which
 *   entry-jobs-write.c   conditional writes of a row under the owner's term
 *   entry-jobs-load.c    rows read by the owner: all at takeover, then news
 *   entry-jobs-submit.c  POST /v1/jobs
 *   entry-jobs-read.c    GET
 *   entry-jobs-cancel.c  DELETE
 *   entry-jobs-agents.c  what members and agents tell the task
 *   entry-jobs-ended.c   rows that are over, and when they go
 *   entry-jobs-call.c    what open calls hold
 *   entry-gangs*.c       prepare, commit, release, end; renewal of leases
 *   entry-cells.c        accounts, from the configuration
 *   entry-cells-place.c  what starts next
 *   entry-cells-health.c how tasks end, counted against jobs and workers
 *   entry-cells-store.c  the bindings of cells, kept for the next owner
 *
 * Rows of tables, by region: owners/REGION (who, which term) and
 * owners/REGION/beat (that it lives), bindings/REGION, jobs/REGION/ID, and
 * job-news/REGION/ID: a marker of a row that others than the owner wrote, so
 * that the owner's poll reads what changed and not every row.
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
    JOB_STARTING, /* committed; its members are released */
    JOB_RUNNING,
    JOB_STOPPING, /* to be cancelled once its members are fenced */
    JOB_DONE,
    JOB_FAILED,
    JOB_CANCELLED,
    JOB_CANNOT_RUN,
    JOB_STATE_COUNT
};

const char *Job_StateName(enum job_state state);
bool Job_IsOver(enum job_state state);
bool Job_MayBecome(enum job_state from, enum job_state to);

struct job_member {
    char agent[NAME_SIZE];
    uint64_t incarnation;
    uint64_t accelerators; /* bits */
    int tasks;
};

#define JOB_SPEC_MAX 65536

/* What the row holds. Times of the day are for people to read only. */
struct job_row {
    struct id id;
    char organisation[NAME_SIZE];
    char class_name[NAME_SIZE];
    int tasks;
    int accelerators; /* of one task */
    enum cells_level within;
    int64_t declared_ms; /* 0: not declared */
    bool guaranteed;
    bool cancel; /* asked for while it had an attempt */
    struct buf spec;
    enum job_state state;
    uint64_t attempt; /* the last that was committed; 0: none */
    uint64_t term;    /* of the owner that committed it */
    struct job_member *member;
    size_t members;
    char reason[NAME_SIZE];
    int64_t submitted_at; /* ms since 1970 */
    int64_t ended_at;     /* likewise; 0: not ended */
};

/* The caller owns the result. */
json_t *JobRow_ToJson(const struct job_row *row);
void JobRow_Render(const struct job_row *row, struct buf *out);
/* ERR_OK or ERR_INVALID; out is to be freed in both cases. */
int JobRow_Parse(const char *text, size_t len, struct job_row *out);
/* Reads the body of a submission; *why names the first mistake. */
int JobRow_ParseSubmission(const json_t *body, struct job_row *out,
                           bool *attached, const char **why);
void JobRow_Copy(struct job_row *dst, const struct job_row *src);
void JobRow_Free(struct job_row *row); /* fit for CLEANUP */
#define JOB_KEY_SIZE (NAME_SIZE + ID_HEX_SIZE + 1)
const char *JobRow_Key(const char *region, const struct id *id,
                       char out[JOB_KEY_SIZE]);

/* ---- who was heard when (entry-gangs-heard.c) -------------------------- */

struct heard;
RB_HEAD(heard_tree, heard);

/* The renewer's memory: members by the stamps that they echoed. Empty is a
 * good beginning, so a restart may lose it. */
struct heard_table {
    struct heard_tree tree;
    int count;
};

void Heard_Init(struct heard_table *b);
/* The member had worked at that reading of the renewer's own clock. */
void Heard_Note(struct heard_table *b, const struct wire_working *w,
                const char *agent, int64_t stamp);
/* True when all members were heard within GANG_HEARD_MS. */
bool Heard_IsWhole(struct heard_table *b, const struct wire_working *w,
                   int64_t now);
void Heard_Prune(struct heard_table *b, int64_t now);
void Heard_Free(struct heard_table *b);
/* The answer to a pulse, to be sent to its agent. */
struct wire_renew *Heard_Answer(struct heard_table *b,
                                const struct wire_pulse *pulse,
                                uint64_t renewer, int64_t now);

/* ---- parts as agents reported them (entry-gangs-seen.c) ----------------- */

/* A part as last heard of. Kept by every entry, for the day it takes over. */
struct seen {
    char agent[NAME_SIZE];
    uint64_t incarnation;
    struct wire_part part;
    int64_t at;
    RB_ENTRY(seen) entry;
};

RB_HEAD(seen_tree, seen);

void Seen_Note(struct seen_tree *tree, const char *agent, uint64_t incarnation,
               const struct wire_part *part, int64_t now);
/* The last word on that job's part of that agent, or NULL. */
const struct seen *Seen_Find(struct seen_tree *tree, const struct id *job,
                             const char *agent);
void Seen_Prune(struct seen_tree *tree, int64_t now);
void Seen_Free(struct seen_tree *tree);

/* ---- the task ---------------------------------------------------------- */

enum gang_phase {
    GANG_WAITING,    /* in the queue */
    GANG_CLEARING,   /* placed; those it displaces still leave */
    GANG_PREPARING,  /* reservations asked for */
    GANG_COMMITTING, /* row under way */
    GANG_RELEASED,   /* members start and work */
    GANG_ADOPTING,   /* found at takeover; its members are looked for */
    GANG_YIELDING,   /* displaced: checkpoints and stops within its grace */
    GANG_FENCING,    /* no member may work any more */
    GANG_SETTLING,   /* fenced; its row is being written */
    GANG_ENDING      /* all members are done; its row is being written */
};

/* A member of the present attempt. */
struct gang_member {
    struct job_member at;
    bool granted;
    bool fenced;
    enum part_state state;
};

/* A job as its owner knows it. */
struct job {
    struct sched *sched;
    struct job_row row;
    uint64_t version; /* of its row; 0: none */
    uint64_t number;  /* in the accounts */
    bool attached;
    struct http_exchange *ex; /* of an attached one */
    bool writing;
    enum gang_phase phase;
    uint64_t try_attempt; /* of the present or last try */
    struct gang_member *member;
    size_t members;
    struct id *victim;
    size_t victims;
    enum job_state after;  /* fencing: what follows */
    int64_t submitted_ms;  /* own clock */
    int64_t since;         /* phase, own clock */
    int64_t deadline;      /* of the phase; INT64_MAX: none */
    int64_t fence_sent_at; /* last time */
    int64_t first_fenced_at;
    int64_t not_before;      /* back-off of tries that were refused */
    uint64_t before_attempt; /* committing: of the row that it replaces */
    uint64_t before_term;
    const char *wait;   /* why it waits, as last recorded; NULL: not yet */
    bool yielded;       /* displaced by another job */
    bool row_behind;    /* "running" is to be written again */
    int64_t started_at; /* own clock */
    RB_ENTRY(job) entry;
};

RB_HEAD(sched_jobs, job);
RB_PROTOTYPE(sched_jobs, job, entry, )

/* An agent of this region. */
struct worker {
    char name[NAME_SIZE];
    uint64_t incarnation;
    struct link_peer peer;
    bool up;
    bool leaving;
    struct health health;
    uint64_t bound_term; /* bindings that were sent last */
    uint64_t bound_version;
    RB_ENTRY(worker) entry;
};

RB_HEAD(worker_tree, worker);
RB_PROTOTYPE(worker_tree, worker, entry, )

/* Whether this entry schedules its region, or who does. */
struct owner {
    bool self;
    bool table_down; /* the last call to the table failed */
    bool loaded;     /* all rows are read */
    uint64_t term;
    uint64_t row_version;
    uint64_t heartbeat_version; /* seen by a watcher */
    int64_t heartbeat_at;       /* when it last changed, on own clock */
    char name[NAME_SIZE];
    char http[NAME_SIZE]; /* "ip:port" of the owner's front */
    bool busy;            /* a call is under way */
    ev_timer timer;
};

struct sched_call;
struct ended;
TAILQ_HEAD(sched_call_list, sched_call);
TAILQ_HEAD(ended_list, ended);

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
    struct heard_table heard;
    struct seen_tree seen;
    bool polling;
    bool account_changed;
    uint64_t account_hash;  /* of what the accounts were built from */
    uint64_t account_count; /* of times that they were built */
    int64_t placed_at;
    struct buf bindings; /* of cells, as stored last or as read */
    uint64_t stored_version;
    bool storing;
    struct sched_call_list calls;
    struct ended_list ended;
    ev_timer poll;
    ev_timer tick;
};

/* First member of what an open call needs when it ends. */
struct sched_call {
    struct sched *sched;
    void (*clear)(struct sched_call *); /* NULL: holds nothing */
    TAILQ_ENTRY(sched_call) entry;
};

void *SchedCall_New(struct sched *s, size_t size,
                    void (*clear)(struct sched_call *));
void SchedCall_Free(struct sched_call *c);
void SchedCall_FreeAll(struct sched *s);

/* Logs and records a decision about a job, with its typed reason; takes
 * inputs. */
void Sched_Decided(struct sched *s, const struct id *job, const char *decision,
                   const char *reason, json_t *inputs);

/* ---- owner (entry-owner.c) --------------------------------------------- */

void Owner_Start(struct sched *s);
void Owner_StepDown(struct sched *s, const char *reason);
/* The condition of every write under this term. key is kept by s. */
struct table_op Owner_Check(const struct sched *s);

/* ---- jobs -------------------------------------------------------------- */

/* The job of that id, or NULL. */
struct job *JobSet_Find(struct sched *s, const struct id *id);
struct job *JobSet_OfNumber(struct sched *s, uint64_t number);
/* Enters a job; the row is copied. */
struct job *JobSet_Add(struct sched *s, const struct job_row *row,
                       uint64_t version);
void JobSet_Drop(struct job *j);
void JobSet_DropAll(struct sched *s);
bool JobSet_AnyAttached(struct sched *s);
/* Reads all rows of the region, at takeover. */
void JobSet_Load(struct sched *s);
/* Reads what others wrote since. */
void JobSet_Poll(struct sched *s);
/* What goes into the transaction that writes a row for the owner to see: the
 * term's check when this entry is the owner, the marker of news otherwise. */
struct table_op JobSet_Announce(const struct sched *s, const char *key);
/* Rows of jobs that are over, until they are deleted. */
void Ended_Note(struct sched *s, const struct id *id);
void Ended_Sweep(struct sched *s, int64_t now);
void Ended_Free(struct sched *s);
/* Takes in a row that this entry wrote for a caller, if it is the owner. */
void JobSet_Wrote(struct sched *s, const struct job_row *row,
                  uint64_t version);
/* Takes in a row as it was read from the table. */
void JobSet_Absorb(struct sched *s, const struct job_row *row,
                   uint64_t version);

typedef void (*job_written)(struct job *j, int err);
/* Writes the row under the term. done gets ERR_OK, ERR_CONFLICT (others wrote
 * it; their wish and its version are taken in) or ERR_UNREACHABLE (may still
 * come; say it again). Not called when the term is over. Without a row
 * (attached) it is done at once. */
void Job_Write(struct job *j, job_written done);

/* Who asks: an operator, an organisation, or neither. */
struct asker {
    bool is_operator;
    const struct config_organisation *organisation;
};

/* False when it was refused already. */
bool Asker_Find(struct sched *s, struct http_exchange *ex, struct asker *out);
bool Asker_MaySee(const struct asker *a, const char *organisation);
/* The row with its id, for callers. */
json_t *Job_View(const struct job_row *row);

/* What a caller waits for, who asked for one row or for a list. */
struct reader {
    struct sched_call call;
    struct http_exchange *ex;
    struct id id;
    bool is_operator;
    char organisation[NAME_SIZE];
    struct job_row row;
    int tries;
    ev_timer pause;
};

/* A reader of the row that the path names; NULL when it was refused already.
 * *attached: the job, when this entry has it and there is no row. */
struct reader *Reader_BeginOne(struct sched *s, struct http_exchange *ex,
                               const char *segment,
                               const struct job **attached);
void Reader_GetRow(struct reader *r, table_got done);
/* Takes in the row; false when the exchange has been refused. */
bool Reader_TakeRow(struct reader *r, int err, const struct table_row *row);
void Reader_NotRead(struct http_exchange *ex, int err);
/* Frees a reader whose exchange has its reply. */
void Reader_End(struct reader *r);

/* ---- gangs ------------------------------------------------------------- */

struct worker *Workers_Find(struct sched *s, const char *name);
/* An agent of the region came, changed or went. */
void Sched_TakeMember(struct sched *s, const struct member_note *note);
/* Hands what an agent said to the one whom it concerns. */
void Sched_TakeInbound(struct sched *s, const struct inbound *in);
void Gang_Start(struct job *j, const struct cells_plan *plan);
/* Prepares once those that it displaces are gone. */
void Gang_Clear(struct job *j);
/* Back to the queue before anything was committed. */
void Gang_DropTry(struct job *j, const char *reason, const char *agent);
void Gang_End(struct job *j);
void Gang_Repeat(struct job *j, int64_t now);
void Gang_Cancel(struct job *j);
void Gang_Adopt(struct job *j);
/* Ends the attempt: fences all members, then the job is `after`. */
void Gang_Fence(struct job *j, enum job_state after, const char *reason);
void Gang_SendFences(struct job *j);
void Gang_Yield(struct job *j, const struct cells_victim *victim);
void Gang_SetPhase(struct job *j, enum gang_phase phase, int64_t within_ms);
/* The row is to be written again. */
void Gang_Settle(struct job *j);
void Gang_Tick(struct sched *s);
void Gang_MemberRestarted(struct job *j, const struct worker *w);
/* What agents say. */
void Gang_TakePrepared(struct sched *s, const struct wire_prepared *m);
void Gang_TakeFenced(struct sched *s, const struct wire_fenced *m,
                     const char *agent);
/* A part as it stands now; one that is nobody's is fenced. */
void Gang_TakePart(struct sched *s, const struct worker *w,
                   const struct wire_part *part, const char *reason);
/* Ends an attached job's exchange. */
void Job_ReplyAttached(struct job *j);

/* ---- accounts (entry-cells.c) ------------------------------------------ */

/* Builds the accounts anew from the configuration, with all running jobs. */
void Account_Rebuild(struct sched *s);
void Account_SetWorker(struct sched *s, const struct worker *w);
/* Tells the accounts of all workers, once what runs has been taken in: the
 * idle cells of a worker that is down move, those in use must not. */
void Account_SetWorkers(struct sched *s);
/* The bindings of cells (entry-cells-store.c): noted, taken over by fresh
 * accounts, and stored when they changed. */
void Account_Remember(struct sched *s);
void Account_Recall(struct sched *s);
void Account_Store(struct sched *s);
/* True when the bindings as they are have been given to the table. */
bool Account_IsStored(const struct sched *s);
int Account_Adopt(struct job *j);
/* How the accounts are to see a worker. */
enum cells_worker_state Account_StateOf(const struct worker *w);
/* Lets workers that were out of use for their time take a job again. */
void Account_Probe(struct sched *s, int64_t now);
/* The class of a job; NULL when the document has it no more. */
const struct config_class *Job_Class(const struct job *j);
/* What the accounts are asked for a job. */
struct cells_request Account_Request(const struct job *j, int64_t estimate_ms);
void Account_Release(struct job *j);
void Account_Enqueue(struct job *j);
void Account_Dequeue(struct job *j);
/* Starts what can start, and tells agents of changed bindings. */
void Account_Place(struct sched *s);
/* A start or a run failed on a worker. True when the job can't run. */
bool Account_Failed(struct job *j, const char *worker, bool job_fault);
void Account_Done(struct job *j);

#ifdef __cplusplus
}
#endif

#endif
