/*
 * kernel: one event loop, the tasks on it, and the plug-ins that start them.
 *
 * A process is a set of tasks on one libev loop in one thread. A task owns
 * its sockets, timers and state, and nobody else touches them; tasks talk by
 * messages, which are delivered one at a time, in the order they were posted,
 * never from inside the poster. Plug-ins register themselves before main()
 * and start their tasks in order of their rank, so that a program is the sum
 * of the packages linked into it.
 *
 * SIGTERM and SIGINT drain: every task is asked to finish, and the loop ends
 * when all say that they have, or when the drain time is over. SIGUSR1 writes
 * the state of every task to standard output as one JSON document.
 */
#ifndef KERNEL_H
#define KERNEL_H

#include "base.h"

#include <ev.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

struct kernel;
struct message;
struct task;

/* What all messages of a kind share. The name is for logs. */
struct message_kind {
    const char *name;
    void (*free)(struct message *); /* NULL: free() */
};

/* First member of every message. */
struct message {
    const struct message_kind *kind;
    struct task *to;
    TAILQ_ENTRY(message) entry;
};

/* What a task does. Only name is required. */
struct task_ops {
    const char *name;
    /* Takes a message, which is freed after the call. */
    void (*receive)(struct task *, struct message *);
    /* Begins to finish: take nothing new, end what was begun. */
    void (*drain)(struct task *);
    /* True when nothing is left to finish. NULL: always. */
    bool (*drained)(const struct task *);
    /* The state for operators; the caller owns the result. */
    json_t *(*state)(const struct task *);
    /* Frees the task at the end of the process. */
    void (*free)(struct task *);
};

/* First member of every task. */
struct task {
    const struct task_ops *ops;
    struct kernel *kernel;
    TAILQ_ENTRY(task) entry;
};

TAILQ_HEAD(message_list, message);
TAILQ_HEAD(task_list, task);

struct kernel {
    struct ev_loop *loop;
    const void *settings; /* of the program that runs */
    const char *name;     /* of the process, for logs and dumps */
    const char *profile;  /* which plug-ins run; "": those that name none */
    struct task_list tasks;
    struct message_list mailbox;
    ev_idle pump;
    ev_signal on_term, on_int, on_usr1, on_hup;
    ev_timer drain_timer;
    ev_prepare drain_check;
    int64_t drain_ms;
    bool draining;
};

#define PROFILE_ANY "*"

/* A part of a program. Its start adds tasks; an error ends the program. */
struct plugin {
    const char *name;
    int rank; /* lower starts first */
    int (*start)(struct kernel *);
    /* Starts only in that one; NULL: in "" alone; PROFILE_ANY: in all. */
    const char *profile;
    SLIST_ENTRY(plugin) entry;
};

void Kernel_Register(struct plugin *plugin);
#define KERNEL_PLUGIN(var)                                                    \
    __attribute__((constructor)) static void register_##var(void)             \
    {                                                                         \
        Kernel_Register(&(var));                                              \
    }

/* Lets the process live through a SIGHUP that comes before its loop watches
 * for it: the first thing that a long-lived program does. */
void Kernel_IgnoreHup(void);
/* SIGHUP says that the settings file has changed; what differs takes effect
 * when the process is replaced. Prepares the loop and the signals. drain_ms
 * bounds a drain. */
void Kernel_Init(struct kernel *k, const char *name, const void *settings,
                 int64_t drain_ms);
/* Starts every registered plug-in. Returns the first error. */
int Kernel_Start(struct kernel *k);
/* Runs until drained. Returns ERR_OK, or ERR_TIMEOUT when the drain time
 * was over before every task had finished. */
int Kernel_Run(struct kernel *k);
/* Begins to drain, as SIGTERM does. */
void Kernel_Drain(struct kernel *k);
/* Frees the tasks in reverse order, undelivered messages and the loop. */
void Kernel_Free(struct kernel *k);

/* All of a process: sets up the log, starts the registered plug-ins, runs
 * until drained and frees everything. Returns as Kernel_Start or Kernel_Run.
 */
int Kernel_RunProcess(const char *name, const void *settings, int64_t drain_ms,
                      enum log_level level, uint64_t incarnation,
                      const char *profile);

void Kernel_AddTask(struct kernel *k, struct task *t,
                    const struct task_ops *ops);
/* The task of that name, or NULL. */
struct task *Kernel_FindTask(struct kernel *k, const char *name);
/* Hands a message over; the kernel owns it from here on. */
void Kernel_Post(struct task *to, struct message *m,
                 const struct message_kind *kind);
/* {"process": ..., "draining": ..., TASK: STATE, ...}; the caller owns it. */
json_t *Kernel_State(const struct kernel *k);

/* One-shot and repeating timers in milliseconds. */
void Timer_Set(struct ev_loop *loop, ev_timer *w, int64_t ms);
void Timer_Every(struct ev_loop *loop, ev_timer *w, int64_t ms);

#ifdef __cplusplus
}
#endif

#endif
