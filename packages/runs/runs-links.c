#include "runs.h"

#include <stdlib.h>
#include <string.h>

/* Entries answer each report, and reports are sent twice a second. A link that
 * has brought nothing for this long is replaced, as a middlebox may have lost
 * its state for good while new connections work. */
#define SILENT_MS 2000
#define CHECK_MS 250
/* An entry that sends no orders gets a report this often: it only has to know
 * the worker when it takes over, and to see that the link works. With 60
 * entries, sending all reports to all of them took an agent 400 kB a
 * second. */
#define NON_OWNER_REPORT_MS 700
/* An entry that sent orders within this time counts as the owner and gets all
 * reports. */
#define OWNER_TIMEOUT_MS 1500
/* An entry that no other one lists any more is dropped after this time, unless
 * it still answers. */
#define UNLISTED_DROP_MS 15000

struct entry_link {
    struct links *links;
    char address[NAME_SIZE];
    struct link *link;
    int64_t received_ms; /* last message, or when the link was opened */
    /* When an entry last listed it, or it last sent a message. */
    int64_t listed_ms;
    int64_t orders_ms; /* when it last sent orders; 0: never */
    int64_t report_ms; /* when the last report was sent to it */
    /* Its latest stamp, to be returned; 0: none on this link. */
    int64_t stamp;
    uint64_t stamped_by;
    TAILQ_ENTRY(entry_link) entry;
};

struct links {
    struct task task;
    struct link_context *context;
    TAILQ_HEAD(, entry_link) entries;
    ev_timer check;
};

static void add_entry(struct links *l, const char *address);

/* Handles a message of an entry. */
static void
on_message(void *arg, const struct link_peer *from UNUSED, struct wire_msg **m)
{
    struct entry_link *e = arg;
    struct links *l = e->links;
    struct task *watch = Kernel_FindTask(l->task.kernel, TASK_WATCH);
    struct runs_wire_message *wrapper;

    e->received_ms = Clock_NowMs();
    e->listed_ms = e->received_ms;
    if ((*m)->type == WIRE_HAIL) {
        const struct wire_hail *hail = (const struct wire_hail *)*m;
        const struct wire_entry *list = hail->entries.items;

        if (e->stamp == 0) {
            e->report_ms = 0; /* entries ignore reports without a stamp */
        }
        e->stamp = hail->stamp;
        e->stamped_by = hail->incarnation;
        for (size_t i = 0; i < hail->entries.count; i++) {
            add_entry(l, list[i].address);
        }
        return;
    }
    if ((*m)->type != WIRE_ORDERS || watch == NULL) {
        LOG_W("message_unexpected", KV("type", Wire_TypeName((*m)->type)));
        return;
    }
    e->orders_ms = e->received_ms;
    wrapper = Mem_Zero(1, sizeof(*wrapper));
    wrapper->m = *m;
    *m = NULL;
    Kernel_Post(watch, &wrapper->base, &Runs_WireKind);
}

/* Opens a link, or replaces it. */
static void
open_link(struct entry_link *e)
{
    Link_Free(e->link);
    e->link = Link_Connect(e->links->context, e->links->task.kernel->loop,
                           e->address, NULL, on_message, e);
    e->received_ms = Clock_NowMs();
    e->stamp = 0;
    e->stamped_by = 0;
}

/* Adds an entry and opens a link to it, unless it is known. */
static void
add_entry(struct links *l, const char *address)
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

/* Removes an entry and closes its link. */
static void
drop_entry(struct entry_link *e)
{
    TAILQ_REMOVE(&e->links->entries, e, entry);
    Link_Free(e->link);
    free(e);
}

/* True when the settings list the address. */
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

/* Replaces silent links, and drops entries that no other one lists any more.
 * Seeds are kept, as all other entries may disappear at once. */
static void
on_check(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct links *l = w->data;
    struct entry_link *e, *next;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        if (now - e->listed_ms > UNLISTED_DROP_MS && !is_seed(l, e->address)) {
            LOG_I("entry_dropped", KV("address", e->address));
            drop_entry(e);
            continue;
        }
        if (now - e->received_ms > SILENT_MS) {
            open_link(e);
        }
    }
}

/* True when a report need not be sent to this entry now. */
static bool
may_skip_report(const struct entry_link *e, int64_t now)
{
    return now - e->orders_ms > OWNER_TIMEOUT_MS &&
           now - e->report_ms < NON_OWNER_REPORT_MS && e->stamp != 0;
}

/* Sends a message of the watch to every entry. */
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
        struct wire_msg *msg = ((struct runs_wire_message *)m)->m;

        if (msg->type == WIRE_REPORT && may_skip_report(e, now)) {
            continue;
        }
        if (msg->type == WIRE_REPORT) {
            e->report_ms = now;
            ((struct wire_report *)msg)->stamp = e->stamp;
            ((struct wire_report *)msg)->stamped_by = e->stamped_by;
        }
        if (e->link != NULL) {
            Link_Send(e->link, NULL, msg);
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
        drop_entry(e);
    }
    Link_ContextFree(l->context);
    free(l);
}

static const struct task_ops links_ops = {
    .name = TASK_RUNS_LINKS, .receive = receive, .free = links_free};

/* Opens links to the seeds. */
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
        add_entry(l, seeds[i]);
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
