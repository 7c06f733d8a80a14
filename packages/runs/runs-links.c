#include "runs.h"

#include <stdlib.h>
#include <string.h>

/* An entry answers each report, and reports go out twice a second; a link that
 * has brought nothing for so long is replaced. Something between the two ends
 * may have lost track of it for good while new connections work. */
#define SILENT_MS 2000
#define CHECK_MS 250
/* An entry that gives no orders hears a report so often: it must know the
 * worker when it takes over, and see the link alive, and nothing more. At 60
 * entries all reports to all of them were 400 kB a second for an agent. */
#define OTHERS_MS 700
/* An entry that gave orders within this is the owner: it hears all reports. */
#define ORDERS_MS 1500
/* An entry that no other one lists any more is dropped after this, unless it
 * still answers. */
#define DROP_MS 15000

struct entry_link {
    struct links *links;
    char address[NAME_SIZE];
    struct link *link;
    int64_t heard_ms;  /* last answer, or when the link was opened */
    int64_t listed_ms; /* last time that somebody named it */
    int64_t orders_ms; /* its last orders; 0: none */
    int64_t said_ms;   /* last report that it was sent */
    int64_t stamp;     /* its newest, to be echoed; 0: none on this link */
    uint64_t stamped_by;
    TAILQ_ENTRY(entry_link) entry;
};

struct links {
    struct task task;
    struct link_context *context;
    TAILQ_HEAD(, entry_link) entries;
    ev_timer check;
};

static void want(struct links *l, const char *address);

/* What an entry says. */
static void
on_heard(void *arg, const struct link_peer *from UNUSED, struct wire_msg **m)
{
    struct entry_link *e = arg;
    struct links *l = e->links;
    struct task *watch = Kernel_FindTask(l->task.kernel, TASK_WATCH);
    struct runs_wire_message *note;

    e->heard_ms = Clock_NowMs();
    e->listed_ms = e->heard_ms;
    if ((*m)->type == WIRE_HAIL) {
        const struct wire_hail *hail = (const struct wire_hail *)*m;
        const struct wire_entry *list = hail->entries.items;

        if (e->stamp == 0) {
            e->said_ms = 0; /* what was said without a stamp is not taken */
        }
        e->stamp = hail->stamp;
        e->stamped_by = hail->incarnation;
        for (size_t i = 0; i < hail->entries.count; i++) {
            want(l, list[i].address);
        }
        return;
    }
    if ((*m)->type != WIRE_ORDERS || watch == NULL) {
        LOG_W("message_unexpected", KV("type", Wire_TypeName((*m)->type)));
        return;
    }
    e->orders_ms = e->heard_ms;
    note = Mem_Zero(1, sizeof(*note));
    note->m = *m;
    *m = NULL;
    Kernel_Post(watch, &note->base, &Runs_WireKind);
}

/* Opens a link, or opens it anew. */
static void
open_link(struct entry_link *e)
{
    Link_Free(e->link);
    e->link = Link_Connect(e->links->context, e->links->task.kernel->loop,
                           e->address, NULL, on_heard, e);
    e->heard_ms = Clock_NowMs();
    e->stamp = 0;
    e->stamped_by = 0;
}

/* Links to an entry, once. */
static void
want(struct links *l, const char *address)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (strcmp(e->address, address) == 0) {
            e->listed_ms = Clock_NowMs();
            return;
        }
    }
    e = Mem_Zero(1, sizeof(*e));
    e->links = l;
    Str_Copy(e->address, sizeof(e->address), address);
    e->listed_ms = Clock_NowMs();
    TAILQ_INSERT_TAIL(&l->entries, e, entry);
    LOG_I("entry_linked", KV("address", address));
    open_link(e);
}

/* Drops a link. */
static void
drop(struct entry_link *e)
{
    TAILQ_REMOVE(&e->links->entries, e, entry);
    Link_Free(e->link);
    free(e);
}

/* True when the settings name the address. */
static bool
is_seed(const struct links *l, const char *address)
{
    const struct agent_settings *s = l->task.kernel->settings;
    char *const *seeds = s->seeds.items;

    for (size_t i = 0; i < s->seeds.count; i++) {
        if (strcmp(seeds[i], address) == 0) {
            return true;
        }
    }
    return false;
}

/* Replaces silent links, and drops those that nobody names any more. Seeds
 * stay: all else may be gone at once. */
static void
on_check(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct links *l = w->data;
    struct entry_link *e, *next;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        if (now - e->listed_ms > DROP_MS && !is_seed(l, e->address)) {
            LOG_I("entry_dropped", KV("address", e->address));
            drop(e);
            continue;
        }
        if (now - e->heard_ms > SILENT_MS) {
            open_link(e);
        }
    }
}

/* True when a report need not be said to this entry now. */
static bool
may_wait(const struct entry_link *e, int64_t now)
{
    return now - e->orders_ms > ORDERS_MS && now - e->said_ms < OTHERS_MS &&
           e->stamp != 0;
}

/* Says to every entry what the watch has for them. */
static void
receive(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;
    struct entry_link *e;
    int64_t now = Clock_NowMs();

    if (m->kind != &Runs_WireKind) {
        return;
    }
    TAILQ_FOREACH (e, &l->entries, entry) {
        struct wire_msg *said = ((struct runs_wire_message *)m)->m;

        if (said->type == WIRE_REPORT && may_wait(e, now)) {
            continue;
        }
        if (said->type == WIRE_REPORT) {
            e->said_ms = now;
            ((struct wire_report *)said)->stamp = e->stamp;
            ((struct wire_report *)said)->stamped_by = e->stamped_by;
        }
        if (e->link != NULL) {
            Link_Send(e->link, NULL, said);
        }
    }
}

/* Frees the task. */
static void
links_free(struct task *t)
{
    struct links *l = (struct links *)t;
    struct entry_link *e, *next;

    ev_timer_stop(t->kernel->loop, &l->check);
    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        drop(e);
    }
    Link_ContextFree(l->context);
    free(l);
}

static const struct task_ops links_ops = {
    .name = TASK_RUNS_LINKS, .receive = receive, .free = links_free};

/* Links to the seeds. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    struct links *l = Mem_Zero(1, sizeof(*l));
    char *const *seeds = s->seeds.items;

    TAILQ_INIT(&l->entries);
    l->context = Link_ContextNew();
    Kernel_AddTask(k, &l->task, &links_ops);
    for (size_t i = 0; i < s->seeds.count; i++) {
        want(l, seeds[i]);
    }
    ev_init(&l->check, on_check);
    l->check.data = l;
    Timer_Every(k->loop, &l->check, CHECK_MS);
    return ERR_OK;
}

static struct plugin links_plugin = {.name = "runs-links",
                                     .rank = 10,
                                     .profile = PROFILE_HOSTED,
                                     .start = start};
KERNEL_PLUGIN(links_plugin)
