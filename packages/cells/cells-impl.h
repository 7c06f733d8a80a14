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
    int worker_count;    /* workers below it, itself included */
    int unbound_workers; /* workers of a rack without any binding */
    TAILQ_HEAD(node_list, node) children; /* by index */
    TAILQ_ENTRY(node) sibling;
};

struct worker {
    struct cells_worker_info info;
    enum cells_worker_state state;
    int index;
    struct node *node;
    uint64_t all;        /* its accelerators */
    uint64_t busy;       /* with a job */
    uint64_t guaranteed; /* with a guaranteed job */
    uint64_t bound;      /* in a cell's place */
    uint64_t binding_version;
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
    int in_use;       /* accelerators in use by guaranteed jobs */
    int workers_down; /* workers of the place that are not up */
    int size;         /* accelerators of the place */
    TAILQ_ENTRY(cell) org_entry;
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
    uint64_t generation;      /* changes with everything */
    uint64_t binding_version; /* changes with bindings */
};

/* ---- topo.c ------------------------------------------------------------ */

struct worker *Topo_Worker(const struct cells *c, int worker); /* or NULL */
struct node *Topo_Ancestor(struct node *n, enum cells_level level);
void Topo_RemoveLeaf(struct cells *c, struct node *n);
/* Makes node i of the copy as in the original, its parents first. */
void Topo_CloneInto(struct cells *to, const struct cells *from);
int Topo_AddRoot(struct cells *c);

/* ---- cells.c ----------------------------------------------------------- */

struct org *Org_Find(const struct cells *c, const char *name); /* or NULL */
struct org *Org_FindOrAdd(struct cells *c, const char *name);

/* ---- cells-bind.c ------------------------------------------------------ */

bool Shape_Valid(struct cells_shape shape);
bool Shape_Same(struct cells_shape a, struct cells_shape b);
int Shape_Rank(struct cells_shape shape); /* larger shapes have more */
uint64_t Block_Mask(int first, int n);
int Block_Enclosing(uint64_t all, uint64_t usable, int first, int n);
uint64_t Place_Mask(const struct cells *c, const struct place *p, int i);
void Bind_Set(struct cells *c, struct cell *cell, const struct place *place);
void Bind_Clear(struct cells *c, struct cell *cell);
/* The tightest unbound place of a shape. */
bool Bind_Find(const struct cells *c, struct cells_shape shape,
               bool only_healthy, struct place *out);

/* ---- cells-mend.c ------------------------------------------------------ */

/* Places pending cells and moves idle ones off workers that are not up;
 * with repack, by packing all idle cells anew where that helps. */
void Bind_RebindAll(struct cells *c, bool may_repack);

/* ---- cells-job.c ------------------------------------------------------- */

struct job *CellsJob_Find(const struct cells *c, uint64_t id); /* or NULL */
/* A job that is not on the account yet. */
struct job *CellsJob_New(struct cells *c, const struct cells_request *request,
                         const struct cells_part *part, int parts,
                         int64_t started_at);
void CellsJob_Add(struct cells *c, struct job *job);
void CellsJob_Remove(struct cells *c,
                     struct job *job); /* off its accelerators */
void CellsJob_Delete(struct cells *c, struct job *job); /* and frees it */
void CellsJob_MakeLent(struct cells *c,
                       struct job *job); /* no longer guaranteed */
void CellsJob_Describe(const struct job *job, struct cells_job_info *out);

/* ---- place-way.c, place-cell.c, place-tree.c, place-reclaim.c
 * ------------------------ */

/* Each victim counts as so many seconds of the whole request's run beside
 * its lost work: it queues and starts anew. */
#define VICTIM_COST_S 300

enum victim_rule {
    VICTIMS_NONE,
    VICTIMS_LENT, /* guaranteed: any lent job; lent: lower priorities of them
                   */
    VICTIMS_LENT_AND_OWN /* and lower priorities of the own organisation */
};

#define OWN_SHAPES_MAX 16 /* of one organisation that are told apart */

/* Own cells of one shape and size that could move. */
struct movable_cells {
    struct cells_shape shape;
    int size; /* accelerators of their places */
    int count;
};

/* One way of placing a request, tried on copies of the masks. */
struct candidate {
    const struct cells *c;
    const struct cells_request *req;
    const struct cells_weights *weights;
    int64_t now;
    struct org *org;   /* whose cells; NULL: lent */
    bool may_move;     /* bindings may move */
    bool unbound_only; /* lent: only on what no cell holds */
    bool skip_empty;   /* not on wholly free workers */
    int max_rank;      /* idle own cells of larger size stay closed */
    enum victim_rule victim_rule;
    /* Victims are ordered by what they lose for each accelerator that they
     * free, not by what they lose in all: finds the one gang that frees
     * enough, where the other order adds it to cheaper jobs. */
    bool cost_per_accelerator;
    uint64_t *allowed;   /* by worker: own cells, and those opened here */
    uint64_t *usable;    /* by worker: may be taken now */
    uint64_t *taken;     /* by worker */
    int *tasks;          /* by worker: tasks put there */
    int *cap;            /* by node: tasks that would fit */
    unsigned char *mark; /* by cell: enum cell_mark */
    struct job **victim;
    int victim_count;
    struct cells_move *move;
    int move_count;
    struct movable_cells movable[OWN_SHAPES_MAX]; /* the smallest first */
    int movable_kinds;
    int placed;
};

enum cell_mark { CELL_UNTOUCHED, CELL_MOVED, CELL_USED };

/* A place for a request that one cell holds. */
struct place_choice {
    struct cells_shape shape;
    struct cell *bound_cell; /* the cell there now; NULL: unbound */
    struct place place;
    bool own;
    int empty_workers; /* wholly free workers of its rack */
    int64_t cost;      /* of those who would have to go */
};

#define PLACE_CHOICES_MAX 4 /* that are tried */

/* The best choices for a shape, at most PLACE_CHOICES_MAX; returns how many.
 */
int Cand_ListPlaces(const struct candidate *cand, const int *empty_workers,
                    struct cells_shape shape, struct place_choice *list);
/* Whether the request fits into a cell like this one. */
bool Cand_FitsCell(const struct candidate *cand, const struct cell *cell);

/* Accelerators of a place. */
int Place_Size(const struct cells *c, const struct place *p);
/* An own idle cell that could move to a place of that many accelerators; one
 * whose present place is occupied by lent work first. */
struct cell *Cand_FindMovableCell(const struct candidate *cand,
                                  struct cells_shape shape, int accelerators);
/* Notes that an own cell moves, and closes what it leaves. */
void Cand_MoveCell(struct candidate *cand, struct cell *cell,
                   const struct place *to, struct cell *partner);
/* Accelerators of a worker that own cells could move to. */
uint64_t Cand_MoveTargets(struct candidate *cand, const struct worker *w);
void Cand_CountMovable(struct candidate *cand);
/* Opens the cells under some accelerators, moving own cells there where they
 * are not the organisation's own. False: none can move there any more. */
bool Cand_UseCells(struct candidate *cand, struct worker *w, uint64_t mask);

void Cand_Init(struct candidate *cand); /* allocates and fills the masks */
struct candidate Cand_Copy(const struct candidate *from);
/* The same with one place open only; false when no own cell can move to it.
 * To be cleared in both cases. */
bool Cand_InitAtPlace(struct candidate *cand,
                      const struct place_choice *choice);
void Cand_Clear(struct candidate *cand);
void Cand_UpdateCaps(struct candidate *cand); /* fills cap from usable */
/* Accelerators for one task on a worker out of `from`, opening cells as
 * needed. False: its bindings allow it no longer. */
bool Cand_PlaceTask(struct candidate *cand, struct worker *w, uint64_t from);
uint64_t Cand_PickAccelerators(uint64_t from, uint64_t prefer, int n);
void Cand_UpdateUsable(struct candidate *cand, struct worker *w);
void Cand_UpdatePlace(struct candidate *cand, const struct place *p);
bool Cand_MayDisplace(const struct candidate *cand, const struct job *job);
bool Cand_IsVictim(const struct candidate *cand, const struct job *job);
void Cand_AddVictims(struct candidate *cand, struct worker *w, uint64_t mask);
/* What it costs that a job goes: its lost work, and its start anew. */
int64_t Cand_VictimCost(const struct candidate *cand, const struct job *job);

/* The lowest level with a node that holds all tasks, by cap; above ALL when
 * there is none. */
int Cand_LowestLevel(const struct candidate *cand);
/* Puts all tasks on free accelerators, near and tight. */
bool Cand_PlaceOnFree(struct candidate *cand, const int *empty_workers);
/* Puts all tasks below one node of a level, displacing the least work. */
bool Cand_PlaceWithVictims(struct candidate *cand, enum cells_level level);

/* ---- place-score.c ----------------------------------------------------- */

int Cand_FreeAccelerators(
    const struct candidate *cand); /* accelerators, without victims */
struct cells_score Cand_Score(const struct candidate *cand,
                              const int *empty_workers);
/* Why a request could be placed by no way. */
enum cells_reason
Cand_UnplacedReason(struct candidate *cand); /* uses up its masks */

/* ---- place-try.c ------------------------------------------------------- */

/* One planning: the best way so far. */
struct planner {
    const struct cells *c;
    const struct cells_request *req;
    const struct cells_weights *weights;
    int64_t now;
    struct org *org;
    int *empty_workers; /* by node: wholly free workers below it */
    struct candidate best;
    struct cells_score score;
    bool found;
    bool in_one_cell; /* found in a single cell, with nobody displaced */
    int candidates;
};

/* A way with the request's data, its masks not made yet. */
struct candidate Planner_NewCandidate(const struct planner *p);
void Planner_TryGuaranteed(struct planner *p);
void Planner_TryLent(struct planner *p);

/* ---- place-forecast.c -------------------------------------------------- */

/* How long a job is expected to run. */
int64_t Place_RunTime(const struct cells_request *req);
/* As Place_Forecast; *then gets the account as it will be, to be freed, or
 * NULL. */
int64_t Place_ForecastState(const struct cells *c,
                            const struct cells_request *req,
                            const struct cells_weights *weights, int64_t now,
                            struct cells **future);

#endif
