#include "entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct links {
    struct task task;
    struct link_context *context;
    struct link *link;
    struct link_keys keys;
};

static struct counter undelivered_total = {
    "parsleyfall_entry_messages_undelivered_total",
    "Messages that no link took.", NULL, COUNTER_TOTAL};

/* The task that handles each type of message. */
static const struct {
    enum wire_type type;
    const char *task;
} message_routes[] = {
    {WIRE_HELLO, "members"},   {WIRE_HEARTBEAT, "members"},
    {WIRE_LEAVE, "members"},   {WIRE_TAKEN, "dispatch"},
    {WIRE_ANSWER, "dispatch"}, {WIRE_WITHDRAWN, "dispatch"},
    {WIRE_PREPARED, "gangs"},  {WIRE_TASK, "gangs"},
    {WIRE_FENCED, "gangs"},    {WIRE_PULSE, "gangs"},
};

/* Passes a received message to the task that handles its type. */
static void
on_receive(void *arg, const struct link_peer *peer, struct wire_msg **m)
{
    struct links *l = arg;
    struct inbound *in;
    size_t i;

    for (i = 0; i < COUNT_OF(message_routes); i++) {
        struct task *t;

        if (message_routes[i].type != (*m)->type) {
            continue;
        }
        t = Kernel_FindTask(l->task.kernel, message_routes[i].task);
        if (t == NULL) {
            return;
        }
        in = Mem_Zero(1, sizeof(*in));
        in->peer = *peer;
        in->m = *m;
        *m = NULL;
        Kernel_Post(t, &in->base, &Entry_Inbound);
        return;
    }
    LOG_W("unexpected_message", KV("type", Wire_TypeName((*m)->type)));
}

/* Sends a task's message to an agent, or returns it to that task as
 * undelivered. */
static void
links_receive(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;
    struct outbound *out = (struct outbound *)m;
    struct undelivered *undelivered;
    int err = Link_Send(l->link, &out->peer, out->m);

    if (err == ERR_OK) {
        return;
    }
    Counter_Add(&undelivered_total, 1);
    LOG_D("undelivered", KV("type", Wire_TypeName(out->m->type)),
          KV("error", Err_Name(err)));
    if (out->reply_to == NULL) {
        return;
    }
    undelivered = Mem_Zero(1, sizeof(*undelivered));
    undelivered->err = err;
    undelivered->m = out->m;
    out->m = NULL;
    Kernel_Post(out->reply_to, &undelivered->base, &Entry_Undelivered);
}

/* Closes the socket and frees the task. */
static void
links_free(struct task *t)
{
    struct links *l = (struct links *)t;

    Link_Free(l->link);
    Link_ContextFree(l->context);
    free(l);
}

static const struct task_ops links_ops = {
    .name = "links",
    .receive = links_receive,
    .free = links_free,
};

/* Returns the "ip:port" that agents connect to. */
const char *
Links_Address(struct kernel *k)
{
    return Link_Address(((struct links *)Kernel_FindTask(k, "links"))->link);
}

/* Loads the keys and listens for agents. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct links *l = Mem_Zero(1, sizeof(*l));
    char address[NAME_SIZE];
    int err = Link_LoadKeys(s->link_keys.public_file, s->link_keys.secret_file,
                            &l->keys);

    if (err != ERR_OK) {
        free(l);
        return err;
    }
    snprintf(address, sizeof(address), "%s:%d", s->listen.address,
             (int)s->listen.link_port);
    l->context = Link_ContextNew();
    l->link =
        Link_Listen(l->context, k->loop, address, &l->keys, on_receive, l);
    if (l->link == NULL) {
        LOG_E("listen_failed", KV("links", address));
        Link_ContextFree(l->context);
        free(l);
        return ERR_IO;
    }
    Kernel_AddTask(k, &l->task, &links_ops);
    return ERR_OK;
}

static struct plugin links_plugin = {
    .name = "links", .rank = 10, .start = start};
KERNEL_PLUGIN(links_plugin)
