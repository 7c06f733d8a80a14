/*
 * Inside of the cells package: the account's data, and what its files offer
 * each other. Topo_: the tree. Bind_: places of cells. Jobs_: who is where.
 * Way_: one way of placing a job, tried without effect on the account.
 */
#ifndef CELLS_IMPL_H
#define CELLS_IMPL_H

#include "cells.h"

struct cell;
struct job;
struct org;
struct worker;

/* What holds one accelerator: the guarantee, and the job. */
struct slot {
    struct cell *cell;
    struct job *job;
};

/* A node of the tree; a leaf has a worker. */
struct node {
    enum cells_level level;
    int index;
    char name[NAME_SIZE];
    struct node *parent;
    struct worker *worker;
    int below;   /* workers below it, itself included */
    int unbound; /* workers of a rack without any binding */
    TAILQ_HEAD(node_list, node) children; /* by index */
    TAILQ_ENTRY(node) sibling;
};

struct worker {
    struct cells_worker_info info;
    enum cells_worker_state state;
    int index;
    struct node *node;
    uint64_t all;   /* its accelerators */
    uint64_t busy;  /* with a job */
    uint64_t held;  /* with a guaranteed job */
    uint64_t bound; /* in a cell's place */
    uint64_t version;
    struct slot *slot;
};

/* Where a cell lies: one block of one worker, or whole workers of a rack. */
struct place {
    int workers;   /* 0: nowhere */
    uint64_t mask; /* of worker[0]; 0: the workers are whole */
    int worker[CELLS_RACK_MAX];
};

struct cell {
    int index;
    struct org *org;
    struct cells_shape shape;
    struct place place;
    int held; /* accelerators in use by guaranteed jobs */
    int down; /* workers of the place that are not up */
    int size; /* accelerators of the place */
    TAILQ_ENTRY(cell) of_org;
};

struct org {
    int index;
    char name[NAME_SIZE];
    TAILQ_HEAD(cell_list, cell) cells;
    TAILQ_ENTRY(org) entry;
};

struct job {
    struct cells_request request;
    struct org *org;
    bool guaranteed;
    int64_t started_at;
    int64_t checkpoint_at;
    struct cells_part *part;
    int parts;
    RB_ENTRY(job) entry;
};

RB_HEAD(job_tree, job);
RB_PROTOTYPE(job_tree, job, entry, job_compare)

struct cells {
    struct node **node;
    int nodes;
    struct node *root;
    struct worker **worker;
    int workers;
    TAILQ_HEAD(org_list, org) orgs;
    int org_count;
    struct cell **cell;
    int cells;
    struct job_tree jobs;
    int job_count;
    uint64_t state;   /* changes with everything */
    uint64_t version; /* changes with bindings */
};

/* ---- topo.c ------------------------------------------------------------ */

struct worker *Topo_Worker(const struct cells *c, int worker); /* or NULL */
struct node *Topo_Above(struct node *n, enum cells_level level);
void Topo_FreeNode(struct cells *c, struct node *n);
/* Makes node i of the copy as in the original, its parents first. */
void Topo_CloneInto(struct cells *to, const struct cells *from);
int Topo_AddRoot(struct cells *c);

/* ---- cells.c ----------------------------------------------------------- */

struct org *Org_Find(const struct cells *c, const char *name); /* or NULL */
struct org *Org_Get(struct cells *c, const char *name);

/* ---- cells-bind.c ------------------------------------------------------ */

bool Shape_Valid(struct cells_shape shape);
bool Shape_Same(struct cells_shape a, struct cells_shape b);
int Shape_Size(struct cells_shape shape); /* larger shapes have more */
uint64_t Block_Mask(int first, int n);
int Block_Enclosing(uint64_t all, uint64_t open, int first, int n);
uint64_t Place_Mask(const struct cells *c, const struct place *p, int i);
void Bind_Set(struct cells *c, struct cell *cell, const struct place *place);
void Bind_Clear(struct cells *c, struct cell *cell);
/* The tightest unbound place of a shape. */
bool Bind_Find(const struct cells *c, struct cells_shape shape,
               bool only_healthy, struct place *out);

/* ---- cells-mend.c ------------------------------------------------------ */

/* Places pending cells and moves idle ones off workers that are not up;
 * with repack, by packing all idle cells anew where that helps. */
void Bind_Mend(struct cells *c, bool repack);

/* ---- cells-job.c ------------------------------------------------------- */

struct job *Jobs_Find(const struct cells *c, uint64_t id); /* or NULL */
/* A job that is not on the account yet. */
struct job *CellsJob_New(struct cells *c, const struct cells_request *request,
                         const struct cells_part *part, int parts,
                         int64_t started_at);
void Jobs_Put(struct cells *c, struct job *job);
void Jobs_Take(struct cells *c, struct job *job); /* off its accelerators */
void Jobs_Drop(struct cells *c, struct job *job); /* and frees it */
void Jobs_Lend(struct cells *c, struct job *job); /* no longer guaranteed */
void Jobs_Info(const struct job *job, struct cells_job_info *out);

/* ---- place-way.c, place-cell.c, place-tree.c, place-reclaim.c
 * ------------------------ */

/* Each victim counts as so many seconds of the whole request's run beside
 * its lost work: it queues and starts anew. */
#define VICTIM_COST 300

enum way_victims {
    WAY_NO_VICTIMS,
    WAY_LENT, /* guaranteed: any lent job; lent: lower priorities of them */
    WAY_OWN   /* and lower priorities of the own organisation */
};

#define SHAPES_MAX 16 /* of one organisation that are told apart */

/* Own cells of one shape and size that could move. */
struct way_stock {
    struct cells_shape shape;
    int size; /* accelerators of their places */
    int left;
};

/* One way of placing a request, tried on copies of the masks. */
struct way {
    const struct cells *c;
    const struct cells_request *q;
    const struct cells_weights *weights;
    int64_t now;
    struct org *org; /* whose cells; NULL: lent */
    bool moves;      /* bindings may move */
    bool unbound;    /* lent: only on what no cell holds */
    bool tight;      /* not on wholly free workers */
    int limit;       /* idle own cells of larger size stay closed */
    enum way_victims victims;
    /* Victims are ordered by what they lose for each accelerator that they
     * free, not by what they lose in all: finds the one gang that frees
     * enough, where the other order adds it to cheaper jobs. */
    bool by_accelerator;
    uint64_t *open;      /* by worker: own cells, and those opened here */
    uint64_t *usable;    /* by worker: may be taken now */
    uint64_t *taken;     /* by worker */
    int *tasks;          /* by worker: tasks put there */
    int *cap;            /* by node: tasks that would fit */
    unsigned char *mark; /* by cell: enum way_mark */
    struct job **victim;
    int victim_count;
    struct cells_move *move;
    int move_count;
    struct way_stock stock[SHAPES_MAX]; /* the smallest first */
    int stocks;
    int placed;
};

enum way_mark { WAY_UNTOUCHED, WAY_GIVEN, WAY_OPENED };

/* A place for a request that one cell holds. */
struct way_choice {
    struct cells_shape shape;
    struct cell *there; /* the cell there now; NULL: unbound */
    struct place place;
    bool own;
    int whole;    /* wholly free workers of its rack */
    int64_t cost; /* of those who would have to go */
};

#define WAY_CHOICES 4 /* that are tried */

/* The best choices for a shape, at most WAY_CHOICES; returns how many. */
int Way_Choices(const struct way *w, const int *whole,
                struct cells_shape shape, struct way_choice *list);
/* Whether the request fits into a cell like this one. */
bool Way_ShapeHolds(const struct way *w, const struct cell *cell);

/* Accelerators of a place. */
int Place_Size(const struct cells *c, const struct place *p);
/* An own idle cell that could move to a place of that many accelerators; one
 * whose present place is occupied by lent work first. */
struct cell *Way_Mover(const struct way *w, struct cells_shape shape,
                       int accelerators);
/* Notes that an own cell moves, and closes what it leaves. */
void Way_Move(struct way *w, struct cell *cell, const struct place *to,
              struct cell *partner);
/* Accelerators of a worker that own cells could move to. */
uint64_t Way_Movable(struct way *w, const struct worker *at);
void Way_CountStock(struct way *w);
/* Opens the cells under some accelerators, moving own cells there where they
 * are not the organisation's own. False: none can move there any more. */
bool Way_Open(struct way *w, struct worker *at, uint64_t mask);

void Way_Init(struct way *w); /* allocates and fills the masks */
struct way Way_Copy(const struct way *from);
/* The same with one place open only; false when no own cell can move to it.
 * To be cleared in both cases. */
bool Way_InitAt(struct way *w, const struct way_choice *choice);
void Way_Clear(struct way *w);
void Way_Caps(struct way *w); /* fills cap from usable */
/* Accelerators for one task on a worker out of `from`, opening cells as
 * needed. False: its bindings allow it no longer. */
bool Way_Take(struct way *w, struct worker *worker, uint64_t from);
uint64_t Way_Pick(uint64_t from, uint64_t prefer, int n);
void Way_Refresh(struct way *w, struct worker *worker);
void Way_RefreshPlace(struct way *w, const struct place *p);
bool Way_MayDisplace(const struct way *w, const struct job *job);
bool Way_IsVictim(const struct way *w, const struct job *job);
void Way_AddVictims(struct way *w, struct worker *worker, uint64_t mask);
/* What it costs that a job goes: its lost work, and its start anew. */
int64_t Way_Loss(const struct way *w, const struct job *job);

/* The lowest level with a node that holds all tasks, by cap; above ALL when
 * there is none. */
int Way_Lowest(const struct way *w);
/* Puts all tasks on free accelerators, near and tight. */
bool Way_Fill(struct way *w, const int *whole);
/* Puts all tasks below one node of a level, displacing the least work. */
bool Way_Reclaim(struct way *w, enum cells_level level);

/* ---- place-score.c ----------------------------------------------------- */

int Way_Free(const struct way *w); /* accelerators, without victims */
struct cells_score Way_Score(const struct way *w, const int *whole);
/* Why a request could be placed by no way. */
enum cells_reason Way_WhyNot(struct way *w); /* uses up its masks */

/* ---- place-try.c ------------------------------------------------------- */

/* One planning: the best way so far. */
struct planner {
    const struct cells *c;
    const struct cells_request *q;
    const struct cells_weights *weights;
    int64_t now;
    struct org *org;
    int *whole; /* by node: wholly free workers below it */
    struct way best;
    struct cells_score score;
    bool found;
    bool one_cell; /* found in a single cell, with nobody displaced */
    int ways;
};

/* A way with the request's data, its masks not made yet. */
struct way Planner_Way(const struct planner *p);
void Planner_TryGuaranteed(struct planner *p);
void Planner_TryLent(struct planner *p);

/* ---- place-forecast.c -------------------------------------------------- */

/* How long a job is expected to run. */
int64_t Place_RunTime(const struct cells_request *q);
/* As Place_Forecast; *then gets the account as it will be, to be freed, or
 * NULL. */
int64_t Place_ForecastThen(const struct cells *c,
                           const struct cells_request *q,
                           const struct cells_weights *weights, int64_t now,
                           struct cells **then);

#endif
