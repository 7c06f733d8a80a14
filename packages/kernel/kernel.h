/*
 * kernel: one event loop, the tasks on it, and the plug-ins that start them.
 *
 * A process is a set of tasks on one libev loop in one thread. A task owns
 * its sockets, timers and state, and no other task accesses them. Tasks
 * communicate by messages, which are delivered one at a time, in the order in
 * which they were posted, and never from within Kernel_Post. Plug-ins register
 * themselves before main() and start their tasks in order of their rank, so
 * that a program consists of the packages linked into it.
 *
 * SIGTERM and SIGINT start a drain: the drain callback of every task is
 * called, and the loop ends when all tasks report that they are drained, or
 * after the drain time-out, of which tasks are notified first. SIGUSR1 writes
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

/* Type of a message. The name is for logs. */
struct message_kind {
    const char *name;
    void (*free)(struct message *); /* frees one; NULL: free() */
};

/* First member of every message. */
struct message {
    const struct message_kind *kind;
    struct task *to;
    TAILQ_ENTRY(message) entry;
};

/* Callbacks of a task. Each may be NULL, receive only in a task that gets no
 * messages. */
struct task_ops {
    const char *name;
    /* Processes a message, which the kernel frees after the call. */
    void (*receive)(struct task *, struct message *);
    /* Starts the drain: accept no new work, complete the work in
     * progress. */
    void (*drain)(struct task *);
    /* True when no work is in progress. NULL: always drained. */
    bool (*drained)(const struct task *);
    /* The drain has timed out and the process ends: answer what is open. No
     * message is delivered any more. */
    void (*drain_timeout)(struct task *);
    /* State shown to operators; the caller owns the result. */
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
    const void *settings; /* settings of the program, in its own type */
    const char *name;     /* name of the process, for logs and dumps */
    const char *profile;  /* selects plug-ins; "": those without a profile */
    struct task_list tasks;
    struct message_list mailbox;
    ev_idle pump; /* delivers the messages of the mailbox */
    ev_signal on_term, on_int, on_usr1, on_hup;
    ev_timer drain_timer;
    ev_prepare drain_check;
    int64_t drain_ms; /* longest time of a drain */
    bool draining;
};

#define PROFILE_ANY "*"

/* A part of a program. Its start callback adds tasks; an error from it ends
 * the program. */
struct plugin {
    const char *name;
    int rank; /* lower starts first */
    int (*start)(struct kernel *);
    /* The profile in which it starts; NULL: only in ""; PROFILE_ANY: in every
     * profile. */
    const char *profile;
    SLIST_ENTRY(plugin) entry;
};

void Kernel_Register(struct plugin *plugin);
#define KERNEL_PLUGIN(var)                                                    \
    __attribute__((constructor)) static void register_##var(void)             \
    {                                                                         \
        Kernel_Register(&(var));                                              \
    }

/* Ignores SIGHUP until the loop handles it, as the signal would end the
 * process during its start. A long-lived program calls it first. */
void Kernel_IgnoreHup(void);
/* Sets up the loop and the signal handlers. drain_ms bounds a drain. SIGHUP
 * means that the settings file has changed: it is only logged, as new settings
 * take effect when the process is replaced. */
void Kernel_Init(struct kernel *k, const char *name, const void *settings,
                 int64_t drain_ms);
/* Starts the registered plug-ins of the kernel's profile. Stops at the first
 * error and returns it. */
int Kernel_Start(struct kernel *k);
/* Runs the loop until the process is drained. Returns ERR_OK, or ERR_TIMEOUT
 * when drain_ms passed before every task was drained. */
int Kernel_Run(struct kernel *k);
/* Starts a drain, as SIGTERM does. */
void Kernel_Drain(struct kernel *k);
/* Frees the tasks in reverse order, undelivered messages and the loop. */
void Kernel_Free(struct kernel *k);

/* Runs a whole process: sets up the log, starts the registered plug-ins, runs
 * until drained and frees everything. Returns the result of Kernel_Start or
 * Kernel_Run. */
int Kernel_RunProcess(const char *name, const void *settings, int64_t drain_ms,
                      enum log_level level, uint64_t incarnation,
                      const char *profile);

void Kernel_AddTask(struct kernel *k, struct task *t,
                    const struct task_ops *ops);
/* Returns the task with the given name, or NULL. */
struct task *Kernel_FindTask(struct kernel *k, const char *name);
/* Queues a message for a task; the kernel owns the message from then on. */
void Kernel_Post(struct task *to, struct message *m,
                 const struct message_kind *kind);
/* Returns {"process": ..., "pid": ..., "draining": ..., TASK: STATE, ...},
 * which the caller owns. */
json_t *Kernel_State(const struct kernel *k);

/* Start or restart a one-shot or a repeating timer; ms in milliseconds. */
void Timer_Set(struct ev_loop *loop, ev_timer *w, int64_t ms);
void Timer_Every(struct ev_loop *loop, ev_timer *w, int64_t ms);

#ifdef __cplusplus
}
#endif

#endif
