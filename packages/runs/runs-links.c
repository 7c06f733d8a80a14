#include "members.h"
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
/* An entry that has not answered on its link gets the next report after the
 * first of these, then after twice as long each time, up to the second. When a
 * whole fleet starts, a few seeds get the reports of all agents; at the pace
 * of the agents' polls they would be kept from answering any. */
#define UNANSWERED_REPORT_MIN_MS 100
#define UNANSWERED_REPORT_MAX_MS 1600
/* An entry that sent orders within this time counts as the owner and gets all
 * reports. */
#define OWNER_TIMEOUT_MS 1500
/* A link to an entry that is not listed any more is closed after this time,
 * once a listed one answers. */
#define UNLISTED_DROP_MS 2000
/* Interval at which the seeds are read again while no entry answers. */
#define SEEDS_READ_MS 1000
/* Entries kept of one list, beside MEMBERS_RESERVES reserves. Entries of older
 * versions list all entries, and expect a link to each. */
#define ACTIVE_MAX 256

/* The entries that one entry listed. */
struct entry_list {
    char (*addresses)[NAME_SIZE];
    size_t count;
    size_t active; /* the first ones, to which links are held */
    uint64_t version;
};

struct entry_link {
    struct links *links;
    char address[NAME_SIZE];
    struct link *link;
    int64_t received_ms; /* last message, or when the link was opened */
    bool listed;       /* to be held, by the lists of the entries or a seed */
    int64_t listed_ms; /* when it last was */
    int64_t orders_ms; /* when it last sent orders; 0: never */
    int64_t report_ms; /* when the last report was sent to it */
    uint32_t unanswered; /* reports since the last message */
    /* Its latest stamp, to be returned; 0: none on this link. */
    int64_t stamp;
    uint64_t stamped_by;
    struct entry_list list; /* that it last sent */
    struct redial redial;
    TAILQ_ENTRY(entry_link) entry;
};

struct links {
    struct task task;
    struct link_context *context;
    TAILQ_HEAD(, entry_link) entries;
    /* The last list of any entry, for when no link works. */
    struct entry_list last_list;
    struct conf_list seeds; /* read since the start; empty: those of then */
    int64_t seeds_read_ms;
    struct redial_budget redials;
    ev_timer check;
};

#define OPENED(reason)                                                        \
    {                                                                         \
        "parsleyfall_link_opened_total",                                      \
            "Links that this process opened, by reason.",                     \
            "reason=\"" reason "\"", COUNTER_TOTAL                            \
    }

static struct counter opened_new = OPENED("new");
static struct counter opened_silent = OPENED("silent");

/* Replaces a list by a copy of the one in a message, without what is not an
 * address. */
static void
copy_list(struct entry_list *to, const struct wire_hail *hail)
{
    const struct wire_entry *e = hail->entries.items;
    size_t count = hail->entries.count;
    size_t active = hail->reserves < count ? count - hail->reserves : count;
    size_t left[2] = {MEMBERS_RESERVES, ACTIVE_MAX}; /* reserves, active */

    free(to->addresses);
    *to = (struct entry_list){.version = hail->entries_version};
    to->addresses = Mem_Zero((active < ACTIVE_MAX ? active : ACTIVE_MAX) +
                                 MEMBERS_RESERVES,
                             NAME_SIZE);
    for (size_t i = 0; i < count; i++) {
        bool is_active = i < active;

        if (left[is_active] == 0) {
            continue;
        }
        if (!Settings_IsAddress(e[i].address)) {
            Unreadable(UNREADABLE_MESSAGE, e[i].address,
                       "not the address of an entry");
            continue;
        }
        left[is_active]--;
        Str_Copy(to->addresses[to->count++], NAME_SIZE, e[i].address);
        to->active += is_active;
    }
}

/* Handles the answer of an entry to a report. */
static void
take_hail(struct entry_link *e, const struct wire_hail *hail)
{
    if (e->stamp == 0) {
        e->report_ms = 0; /* entries ignore reports without a stamp */
    }
    e->stamp = hail->stamp;
    e->stamped_by = hail->incarnation;
    if (hail->entries.count > 0) {
        copy_list(&e->list, hail);
        copy_list(&e->links->last_list, hail);
    }
}

/* Handles a message of an entry. */
static void
on_message(void *arg, const struct link_peer *from UNUSED, struct wire_msg **m)
{
    struct entry_link *e = arg;
    struct links *l = e->links;
    struct task *watch = Kernel_FindTask(l->task.kernel, TASK_WATCH);
    struct runs_wire_message *wrapper;

    e->received_ms = Clock_NowMs();
    e->unanswered = 0;
    Redial_Received(&e->redial);
    if ((*m)->type == WIRE_HAIL) {
        take_hail(e, (const struct wire_hail *)*m);
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
open_link(struct entry_link *e, struct counter *opened)
{
    Link_Free(e->link);
    e->link = Link_Connect(e->links->context, e->links->task.kernel->loop,
                           e->address, NULL, on_message, e);
    e->received_ms = Clock_NowMs();
    e->stamp = 0;
    e->stamped_by = 0;
    e->unanswered = 0;
    e->list.version = 0;
    Counter_Add(opened, 1);
    LOG_I("link_opened", KV("address", e->address),
          KV("reason", opened == &opened_new ? "new" : "silent"));
}

/* Finds the entry at an address, or adds it and opens a link to it. */
static struct entry_link *
find_or_add(struct links *l, const char *address)
{
    const struct agent_settings *s = l->task.kernel->settings;
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (strcmp(e->address, address) == 0) {
            return e;
        }
    }
    e = Mem_Zero(1, sizeof(*e));
    e->links = l;
    Str_Copy(e->address, sizeof(e->address), address);
    e->redial.seed = Hash_Str(address, Hash_Str(s->name, 0));
    TAILQ_INSERT_TAIL(&l->entries, e, entry);
    LOG_I("entry_linked", KV("address", address));
    open_link(e, &opened_new);
    return e;
}

/* Marks an entry as one to hold a link to. */
static void
hold(struct links *l, const char *address)
{
    struct entry_link *e = find_or_add(l, address);

    e->listed = true;
    e->listed_ms = Clock_NowMs();
}

/* Marks the first addresses of a list. */
static void
hold_list(struct links *l, const struct entry_list *list, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        hold(l, list->addresses[i]);
    }
}

/* Removes an entry and closes its link. */
static void
drop_entry(struct entry_link *e)
{
    TAILQ_REMOVE(&e->links->entries, e, entry);
    Link_Free(e->link);
    free(e->list.addresses);
    free(e);
}

/* True when an entry has answered on the present link, and lately. */
static bool
answers(const struct entry_link *e, int64_t now)
{
    return e->stamp != 0 && now - e->received_ms <= SILENT_MS;
}

/* True when one of the listed entries answers. */
static bool
has_answering(const struct links *l, int64_t now)
{
    const struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (e->listed && answers(e, now)) {
            return true;
        }
    }
    return false;
}

/* Reads the seeds again, at intervals.
 *
 * All entries may be replaced at other addresses at once. No entry is left to
 * list the new ones, and the addresses of the start lead nowhere; only the
 * settings file names entries that are alive. */
static void
read_seeds(struct links *l, int64_t now)
{
    const struct agent_settings *s = l->task.kernel->settings;
    int err;

    if (now - l->seeds_read_ms < SEEDS_READ_MS) {
        return;
    }
    l->seeds_read_ms = now;
    err = Settings_ReadAgentSeeds(s->file, &l->seeds);
    if (err != ERR_OK) {
        LOG_W("seeds_unreadable", KV("file", s->file),
              KV("error", Err_Name(err)));
    }
}

/* Marks the seeds, and all entries of the last list. */
static void
hold_everything_known(struct links *l)
{
    const struct agent_settings *s = l->task.kernel->settings;
    const struct conf_list *seeds = l->seeds.count > 0 ? &l->seeds : &s->seeds;

    for (size_t i = 0; i < seeds->count; i++) {
        hold(l, *CONFIG_AT(*seeds, char *, i));
    }
    hold_list(l, &l->last_list, l->last_list.count);
}

/* Marks the entries to hold links to: those that the answering entries list.
 *
 * All listed entries may disappear at once. While none of them answers, the
 * agent tries the reserves and its seeds, which it reads again, too; whichever
 * answers has a list of those that are alive. */
static void
mark_listed(struct links *l, int64_t now)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        e->listed = false;
    }
    TAILQ_FOREACH (e, &l->entries, entry) {
        if (answers(e, now)) {
            hold_list(l, &e->list, e->list.active);
        }
    }
    if (!has_answering(l, now)) {
        read_seeds(l, now);
        hold_everything_known(l);
    }
}

/* True when the link to an entry is of no use any more. An entry that sends
 * orders is the owner, listed or not. */
static bool
is_removable(const struct entry_link *e, int64_t now)
{
    return !e->listed && now - e->listed_ms > UNLISTED_DROP_MS &&
           now - e->orders_ms > OWNER_TIMEOUT_MS;
}

/* Opens and closes links by the entries' lists, and replaces silent ones. */
static void
on_check(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct links *l = w->data;
    struct entry_link *e, *next;
    int64_t now = Clock_NowMs();
    bool drop;

    Link_LogTraffic(now);
    mark_listed(l, now);
    drop = has_answering(l, now);
    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        if (drop && is_removable(e, now)) {
            LOG_I("entry_dropped", KV("address", e->address));
            drop_entry(e);
            continue;
        }
        if (Redial_Try(&e->redial, &l->redials, SILENT_MS,
                       now - e->received_ms, now)) {
            open_link(e, &opened_silent);
        }
    }
}

/* Returns how long after a report to an entry the next one follows. */
static int64_t
report_interval_ms(const struct entry_link *e, int64_t now)
{
    int64_t ms = UNANSWERED_REPORT_MIN_MS;

    if (now - e->orders_ms <= OWNER_TIMEOUT_MS) {
        return 0;
    }
    if (e->stamp != 0) {
        return NON_OWNER_REPORT_MS;
    }
    for (uint32_t i = 1; i < e->unanswered && ms < UNANSWERED_REPORT_MAX_MS;
         i++) {
        ms *= 2;
    }
    return ms;
}

/* Sends a report to an entry, with its stamp and the version of its list. */
static void
send_report(struct entry_link *e, struct wire_report *m, int64_t now)
{
    m->stamp = e->stamp;
    m->stamped_by = e->stamped_by;
    m->entries_version = e->list.version;
    if (Link_Send(e->link, NULL, &m->msg) == ERR_OK) {
        e->report_ms = now;
        e->unanswered++;
    }
}

/* Sends a message of the watch to the entries. */
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

        if (e->link == NULL) {
            continue;
        }
        if (msg->type != WIRE_REPORT) {
            Link_Send(e->link, NULL, msg);
        }
        else if (now - e->report_ms >= report_interval_ms(e, now)) {
            send_report(e, (struct wire_report *)msg, now);
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
    free(l->last_list.addresses);
    Settings_FreeSeeds(&l->seeds);
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

    TAILQ_INIT(&l->entries);
    l->redials.per_s = s->hosted.redials_per_s;
    l->seeds_read_ms = Clock_NowMs();
    l->context = Link_ContextNew();
    Kernel_AddTask(k, &l->task, &links_ops);
    hold_everything_known(l);
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
