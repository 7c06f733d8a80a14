/*
 * Internal header of the cells package: the data of the cluster state, and
 * the functions that its files share. Topo_: the tree. Bind_: bindings of
 * cells to places. CellsJob_: running jobs. Cand_: one candidate placement of
 * a job, built without changing the state.
 */
#ifndef CELLS_IMPL_H
#define CELLS_IMPL_H

#include "cells.h"

struct cell;
struct job;
struct org;
struct worker;

/* One accelerator: the cell bound to it and the job on it, each or NULL. */
struct slot {
    struct cell *cell;
    struct job *job;
};

/* A node of the tree. Only a leaf has a worker. */
struct node {
    enum cells_level level;
    int index;
    char name[NAME_SIZE];
    struct node *parent;
    struct worker *worker;
    int worker_count;    /* workers at or below this node */
    int unbound_workers; /* of a rack: workers without any binding */
    TAILQ_HEAD(node_list, node) children; /* by index */
    TAILQ_ENTRY(node) sibling;
};

struct worker {
    struct cells_worker_info info;
    enum cells_worker_state state;
    int index;
    struct node *node;
    uint64_t all;        /* mask of its accelerators */
    uint64_t busy;       /* with a job */
    uint64_t guaranteed; /* with a guaranteed job */
    uint64_t bound;      /* in a cell's place */
    uint64_t binding_version;
    struct slot *slot;
};

/* The accelerators of a cell: one block of one worker, or whole workers of one
 * rack. */
struct place {
    int workers;   /* 0: none, the cell is pending */
    uint64_t mask; /* on worker[0]; 0: whole workers */
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
    uint64_t generation;      /* changes whenever plans become stale */
    uint64_t binding_version; /* changes with each binding */
};

/* ---- topo.c ------------------------------------------------------------ */

struct worker *Topo_Worker(const struct cells *c, int worker); /* or NULL */
struct node *Topo_Ancestor(struct node *n, enum cells_level level);
void Topo_RemoveLeaf(struct cells *c, struct node *n);
/* Copies nodes and workers, each to the same index as in the original. */
void Topo_CloneInto(struct cells *to, const struct cells *from);
int Topo_AddRoot(struct cells *c);

/* ---- cells.c ----------------------------------------------------------- */

struct org *Org_Find(const struct cells *c, const char *name); /* or NULL */
struct org *Org_FindOrAdd(struct cells *c, const char *name);

/* ---- cells-bind.c ------------------------------------------------------ */

bool Shape_Valid(struct cells_shape shape);
bool Shape_Same(struct cells_shape a, struct cells_shape b);
int Shape_Rank(struct cells_shape shape); /* larger for larger shapes */
uint64_t Block_Mask(int first, int n);
int Block_Enclosing(uint64_t all, uint64_t usable, int first, int n);
uint64_t Place_Mask(const struct cells *c, const struct place *p, int i);
void Bind_Set(struct cells *c, struct cell *cell, const struct place *place);
void Bind_Clear(struct cells *c, struct cell *cell);
/* Finds the tightest unbound place of a shape. */
bool Bind_Find(const struct cells *c, struct cells_shape shape,
               bool only_healthy, struct place *out);

/* ---- cells-mend.c ------------------------------------------------------ */

/* Binds pending cells and moves idle ones off workers that are not up; with
 * may_repack, by packing all idle cells again if that helps. */
void Bind_RebindAll(struct cells *c, bool may_repack);

/* ---- cells-job.c ------------------------------------------------------- */

struct job *CellsJob_Find(const struct cells *c, uint64_t id); /* or NULL */
/* Creates a job without adding it to the state. */
struct job *CellsJob_New(struct cells *c, const struct cells_request *request,
                         const struct cells_part *part, int parts,
                         int64_t started_at);
void CellsJob_Add(struct cells *c, struct job *job);
/* Removes a job from its accelerators without freeing it. */
void CellsJob_Remove(struct cells *c, struct job *job);
/* Removes a job from its accelerators and frees it. */
void CellsJob_Delete(struct cells *c, struct job *job);
/* Makes a guaranteed job lent; it keeps its accelerators. */
void CellsJob_MakeLent(struct cells *c, struct job *job);
void CellsJob_Describe(const struct job *job, struct cells_job_info *out);

/* ---- place-way.c, -move.c, -cell.c, -tree.c, -reclaim.c ---------------- */

/* Cost of each victim beside its lost work, as seconds of the whole request's
 * run: the victim has to queue and start again. */
#define VICTIM_COST_S 300

enum victim_rule {
    VICTIMS_NONE,
    /* Lent jobs; for a lent request only those of lower priority. */
    VICTIMS_LENT,
    /* Lent jobs, and guaranteed jobs of lower priority of the request's own
     * organisation. */
    VICTIMS_LENT_AND_OWN
};

#define OWN_SHAPES_MAX 16 /* distinguished shapes of one organisation */

/* Own cells of one shape and size that can move. */
struct movable_cells {
    struct cells_shape shape;
    int size; /* accelerators of each place */
    int count;
};

/* One candidate placement of a request, built on copies of the masks. */
struct candidate {
    const struct cells *c;
    const struct cells_request *req;
    const struct cells_weights *weights;
    int64_t now;
    struct org *org;   /* whose cells are used; NULL: lent request */
    bool may_move;     /* own cells may move */
    bool unbound_only; /* lent: only accelerators that no cell is bound to */
    bool skip_empty;   /* use no empty workers */
    int max_rank; /* leaves idle own cells with a larger Shape_Rank alone */
    enum victim_rule victim_rule;
    /* Orders victims by the loss per freed accelerator instead of the total
     * loss. This finds a single gang that frees enough, where the other order
     * adds that gang to cheaper jobs. */
    bool cost_per_accelerator;
    /* By worker: accelerators of own cells after the moves so far, or what a
     * lent request may use. */
    uint64_t *allowed;
    uint64_t *usable;    /* by worker: what the next task can take */
    uint64_t *taken;     /* by worker: what the tasks placed so far take */
    int *tasks;          /* by worker: tasks placed so far */
    int *cap;            /* by node: tasks that would fit */
    unsigned char *mark; /* by cell: enum cell_mark */
    struct job **victim;
    int victim_count;
    struct cells_move *move;
    int move_count;
    /* Sorted by shape, the smallest first. */
    struct movable_cells movable[OWN_SHAPES_MAX];
    int movable_kinds;
    int placed; /* tasks */
};

enum cell_mark { CELL_UNTOUCHED, CELL_MOVED, CELL_USED };

/* A place for a request that fits into one cell. */
struct place_choice {
    struct cells_shape shape;
    struct cell *bound_cell; /* cell bound to the place, or NULL */
    struct place place;
    bool own;          /* bound_cell is the organisation's own */
    int empty_workers; /* empty workers of its rack */
    int64_t cost;      /* of displacing the lent jobs on it */
};

#define PLACE_CHOICES_MAX 4 /* places tried for a shape */

/* Lists the best places for a shape, at most PLACE_CHOICES_MAX; returns how
 * many. */
int Cand_ListPlaces(const struct candidate *cand, const int *empty_workers,
                    struct cells_shape shape, struct place_choice *list);
/* Whether the request fits into a cell of this shape. */
bool Cand_FitsCell(const struct candidate *cand, const struct cell *cell);

/* Number of accelerators of a place. */
int Place_Size(const struct cells *c, const struct place *p);
/* Returns an own idle cell that can move to a place with that many
 * accelerators, preferably one whose present place is occupied by lent jobs;
 * or NULL. */
struct cell *Cand_FindMovableCell(const struct candidate *cand,
                                  struct cells_shape shape, int accelerators);
/* Records that an own cell moves; its old place becomes unusable. */
void Cand_MoveCell(struct candidate *cand, struct cell *cell,
                   const struct place *to, struct cell *partner);
/* Accelerators of a worker that own cells could move to. */
uint64_t Cand_MoveTargets(struct candidate *cand, const struct worker *w);
void Cand_CountMovable(struct candidate *cand);
/* Marks the own cells of some accelerators as used, and moves own cells to
 * those accelerators that are not the organisation's. False: no cell can move
 * there any more. */
bool Cand_UseCells(struct candidate *cand, struct worker *w, uint64_t mask);

void Cand_Init(struct candidate *cand); /* allocates and fills the masks */
struct candidate Cand_Copy(const struct candidate *from);
/* Allocates the masks and allows only one place, moving an own cell there if
 * none is bound to it. False: no own cell can move there. Needs Cand_Clear in
 * both cases. */
bool Cand_InitAtPlace(struct candidate *cand,
                      const struct place_choice *choice);
void Cand_Clear(struct candidate *cand);
void Cand_UpdateCaps(struct candidate *cand); /* fills cap from usable */
/* Takes accelerators out of `from` for one task on a worker, using and moving
 * cells as needed. False: there are too few, or no own cell can move to them.
 */
bool Cand_PlaceTask(struct candidate *cand, struct worker *w, uint64_t from);
uint64_t Cand_PickAccelerators(uint64_t from, uint64_t prefer, int n);
void Cand_UpdateUsable(struct candidate *cand, struct worker *w);
void Cand_UpdatePlace(struct candidate *cand, const struct place *p);
bool Cand_MayDisplace(const struct candidate *cand, const struct job *job);
bool Cand_IsVictim(const struct candidate *cand, const struct job *job);
void Cand_AddVictims(struct candidate *cand, struct worker *w, uint64_t mask);
/* Cost of displacing a job: its lost work and its restart. */
int64_t Cand_VictimCost(const struct candidate *cand, const struct job *job);

/* The lowest level that has a node with room for all tasks, by cap; above
 * CELLS_LEVEL_ALL when there is none. */
int Cand_LowestLevel(const struct candidate *cand);
/* Places all tasks on free accelerators, close together and tightly packed. */
bool Cand_PlaceOnFree(struct candidate *cand, const int *empty_workers);
/* Places all tasks below one node of a level, displacing the least work. */
bool Cand_PlaceWithVictims(struct candidate *cand, enum cells_level level);

/* ---- place-score.c ----------------------------------------------------- */

/* Free accelerators that the request may use without victims or moves. */
int Cand_FreeAccelerators(const struct candidate *cand);
struct cells_score Cand_Score(const struct candidate *cand,
                              const int *empty_workers);
/* Why no candidate could place the request; overwrites the masks of this one.
 */
enum cells_reason Cand_UnplacedReason(struct candidate *cand);

/* ---- place-try.c ------------------------------------------------------- */

/* One call of Cells_Plan: the best candidate so far. */
struct planner {
    const struct cells *c;
    const struct cells_request *req;
    const struct cells_weights *weights;
    int64_t now;
    struct org *org;
    int *empty_workers; /* by node: empty workers below it */
    struct candidate best;
    struct cells_score score;
    bool found;
    bool in_one_cell; /* found in a single cell without victims */
    int candidates;
};

/* A candidate with the request's data, without masks. */
struct candidate Planner_NewCandidate(const struct planner *p);
void Planner_TryGuaranteed(struct planner *p);
void Planner_TryLent(struct planner *p);

/* ---- place-forecast.c -------------------------------------------------- */

/* How long a job is expected to run. */
int64_t Place_RunTime(const struct cells_request *req);
/* Place_Forecast that also sets *future to the expected state at that time,
 * which the caller frees, or to NULL. */
int64_t Place_ForecastState(const struct cells *c,
                            const struct cells_request *req,
                            const struct cells_weights *weights, int64_t now,
                            struct cells **future);

#endif
