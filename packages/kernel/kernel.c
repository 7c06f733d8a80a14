#include "kernel.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Messages delivered before the loop handles sockets and timers again. */
#define MESSAGES_PER_TURN 512

/* Frees a message by its kind. */
static void
free_message(struct message *m)
{
    if (m->kind->free != NULL) {
        m->kind->free(m);
        return;
    }
    free(m);
}

/* Delivers queued messages in order. Those that receivers post meanwhile go to
 * the end of the queue. */
static void
on_pump(struct ev_loop *loop, ev_idle *w, int events UNUSED)
{
    struct kernel *k = w->data;
    int budget = MESSAGES_PER_TURN;
    struct message *m;

    while (budget-- > 0 && (m = TAILQ_FIRST(&k->mailbox)) != NULL) {
        TAILQ_REMOVE(&k->mailbox, m, entry);
        m->to->ops->receive(m->to, m);
        free_message(m);
    }
    if (TAILQ_EMPTY(&k->mailbox)) {
        ev_idle_stop(loop, w);
    }
}

/* True when the mailbox is empty and every task is drained. */
static bool
all_drained(const struct kernel *k)
{
    const struct task *t;

    if (!TAILQ_EMPTY(&k->mailbox)) {
        return false;
    }
    TAILQ_FOREACH (t, &k->tasks, entry) {
        if (t->ops->drained != NULL && !t->ops->drained(t)) {
            return false;
        }
    }
    return true;
}

/* Ends the loop as soon as a drain is complete. */
static void
on_drain_check(struct ev_loop *loop, ev_prepare *w, int events UNUSED)
{
    if (all_drained(w->data)) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* Ends the loop when a drain has lasted for drain_ms. */
static void
on_drain_timer(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct kernel *k = w->data;
    struct task *t;

    LOG_W("drain_timeout", KV_INT("drain_ms", k->drain_ms));
    TAILQ_FOREACH (t, &k->tasks, entry) {
        if (t->ops->drain_timeout != NULL) {
            t->ops->drain_timeout(t);
        }
    }
    ev_break(loop, EVBREAK_ALL);
}

/* SIGTERM and SIGINT: starts a drain. */
static void
on_stop_signal(struct ev_loop *loop UNUSED, ev_signal *w, int events UNUSED)
{
    Kernel_Drain(w->data);
}

/* SIGUSR1: writes the state to standard output. */
static void
on_dump_signal(struct ev_loop *loop UNUSED, ev_signal *w, int events UNUSED)
{
    json_t *state = Kernel_State(w->data);

    json_dumpf(state, stdout, JSON_INDENT(1));
    fputc('\n', stdout);
    fflush(stdout);
    json_decref(state);
}

/* SIGHUP: logs that the settings file has changed. Without a handler the
 * signal would end the process and abort its work in progress. The file is
 * read again only by a task that needs its present state. */
static void
on_hup_signal(struct ev_loop *loop UNUSED, ev_signal *w, int events UNUSED)
{
    const struct kernel *k = w->data;

    LOG_I("settings_changed", KV("process", k->name),
          KV("effect", "when the process is replaced"));
}

/* Ignores SIGHUP; Kernel_Init replaces this by a handler. */
void
Kernel_IgnoreHup(void)
{
    signal(SIGHUP, SIG_IGN);
}

/* Starts watching a signal. */
static void
watch_signal(struct kernel *k, ev_signal *w,
             void (*cb)(struct ev_loop *, ev_signal *, int), int signum)
{
    ev_signal_init(w, cb, signum);
    w->data = k;
    ev_signal_start(k->loop, w);
}

/* Prepares the loop, the mailbox and the signals. */
void
Kernel_Init(struct kernel *k, const char *name, const void *settings,
            int64_t drain_ms)
{
    memset(k, 0, sizeof(*k));
    k->loop = ev_loop_new(EVFLAG_AUTO);
    if (k->loop == NULL) {
        Fatal("can't create the event loop");
    }
    k->name = name;
    k->settings = settings;
    k->profile = "";
    k->drain_ms = drain_ms;
    TAILQ_INIT(&k->tasks);
    TAILQ_INIT(&k->mailbox);
    ev_idle_init(&k->pump, on_pump);
    ev_set_priority(&k->pump, EV_MAXPRI);
    k->pump.data = k;
    ev_prepare_init(&k->drain_check, on_drain_check);
    k->drain_check.data = k;
    ev_timer_init(&k->drain_timer, on_drain_timer, 0., 0.);
    k->drain_timer.data = k;
    signal(SIGPIPE, SIG_IGN);
    watch_signal(k, &k->on_term, on_stop_signal, SIGTERM);
    watch_signal(k, &k->on_int, on_stop_signal, SIGINT);
    watch_signal(k, &k->on_usr1, on_dump_signal, SIGUSR1);
    watch_signal(k, &k->on_hup, on_hup_signal, SIGHUP);
}

/* Runs the loop until a drain ends it. */
int
Kernel_Run(struct kernel *k)
{
    ev_run(k->loop, 0);
    return all_drained(k) ? ERR_OK : ERR_TIMEOUT;
}

/* Calls the drain callback of every task and starts the drain timer. */
void
Kernel_Drain(struct kernel *k)
{
    struct task *t;

    if (k->draining) {
        return;
    }
    k->draining = true;
    LOG_I("drain", KV_INT("drain_ms", k->drain_ms));
    TAILQ_FOREACH (t, &k->tasks, entry) {
        if (t->ops->drain != NULL) {
            t->ops->drain(t);
        }
    }
    Timer_Set(k->loop, &k->drain_timer, k->drain_ms);
    ev_prepare_start(k->loop, &k->drain_check);
}

/* Frees everything. Tasks are freed in reverse order, as later ones may use
 * earlier ones. */
void
Kernel_Free(struct kernel *k)
{
    struct message *m;
    struct task *t;

    while ((m = TAILQ_FIRST(&k->mailbox)) != NULL) {
        TAILQ_REMOVE(&k->mailbox, m, entry);
        free_message(m);
    }
    while ((t = TAILQ_LAST(&k->tasks, task_list)) != NULL) {
        TAILQ_REMOVE(&k->tasks, t, entry);
        if (t->ops->free != NULL) {
            t->ops->free(t);
        }
    }
    ev_signal_stop(k->loop, &k->on_term);
    ev_signal_stop(k->loop, &k->on_int);
    ev_signal_stop(k->loop, &k->on_usr1);
    ev_signal_stop(k->loop, &k->on_hup);
    ev_loop_destroy(k->loop);
}

/* Runs a process from its start to the end of its drain. */
int
Kernel_RunProcess(const char *name, const void *settings, int64_t drain_ms,
                  enum log_level level, uint64_t incarnation,
                  const char *profile)
{
    struct kernel k;
    int err;

    Log_SetProcess(name);
    Log_SetLevel(level);
    Kernel_Init(&k, name, settings, drain_ms);
    k.profile = profile;
    LOG_I("start", KV("version", PF_VERSION),
          KV_INT("incarnation", incarnation));
    err = Kernel_Start(&k);
    if (err == ERR_OK) {
        err = Kernel_Run(&k);
    }
    LOG_I("stop", KV("result", Err_Name(err)));
    Kernel_Free(&k);
    return err;
}

/* Adds a task to the process. */
void
Kernel_AddTask(struct kernel *k, struct task *t, const struct task_ops *ops)
{
    t->ops = ops;
    t->kernel = k;
    TAILQ_INSERT_TAIL(&k->tasks, t, entry);
}

/* Finds a task by its name. */
struct task *
Kernel_FindTask(struct kernel *k, const char *name)
{
    struct task *t;

    TAILQ_FOREACH (t, &k->tasks, entry) {
        if (strcmp(t->ops->name, name) == 0) {
            return t;
        }
    }
    return NULL;
}

/* Queues a message for its task. */
void
Kernel_Post(struct task *to, struct message *m,
            const struct message_kind *kind)
{
    struct kernel *k = to->kernel;

    m->kind = kind;
    m->to = to;
    TAILQ_INSERT_TAIL(&k->mailbox, m, entry);
    ev_idle_start(k->loop, &k->pump);
}

/* Collects the states of all tasks. */
json_t *
Kernel_State(const struct kernel *k)
{
    json_t *states = json_object();
    const struct task *t;

    json_object_set_new(states, "process", json_string(k->name));
    json_object_set_new(states, "pid", json_integer(getpid()));
    json_object_set_new(states, "draining", json_boolean(k->draining));
    TAILQ_FOREACH (t, &k->tasks, entry) {
        if (t->ops->state != NULL) {
            json_object_set_new(states, t->ops->name, t->ops->state(t));
        }
    }
    return states;
}
