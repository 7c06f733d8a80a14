#include "queue-relay.h"

#include <stdlib.h>

/* Returns the store as the tasks of this process call it. */
struct table *
Queue_Store(struct kernel *k)
{
    return &((struct store_task *)Kernel_FindTask(k, TASK_STORE))->table;
}

/* Milliseconds since the store answered on the own connection; -1: never. */
int64_t
Queue_StoreAge(struct kernel *k)
{
    const struct store_task *s =
        (const struct store_task *)Kernel_FindTask(k, TASK_STORE);

    return s->direct_ok_ms != 0 ? Clock_NowMs() - s->direct_ok_ms : -1;
}

/* True while neither the own connection nor a relay reaches the store. */
bool
Queue_StoreUnreachable(struct kernel *k)
{
    const struct store_task *s =
        (const struct store_task *)Kernel_FindTask(k, TASK_STORE);

    return s->direct_failures >= UNREACHABLE_FAILURES &&
           (*s->relay_address == '\0' ||
            s->relay_failures >= UNREACHABLE_FAILURES);
}

/* Handles relayed calls, their answers and the choice of the relay entry. */
static void
receive(struct task *t, struct message *m)
{
    struct store_task *s = (struct store_task *)t;

    if (m->kind == &Queue_RelayEntryKind) {
        Str_Copy(s->relay_address, sizeof(s->relay_address),
                 ((struct relay_entry *)m)->address);
    }
    else if (m->kind == &Queue_StoreInboundKind) {
        struct store_inbound *in = (struct store_inbound *)m;

        if (in->m->type == WIRE_STORE_CALL) {
            Relay_Serve(s, &in->from, (struct wire_store_call *)in->m);
        }
        else {
            Relay_TakeAnswer(s, (struct wire_store_answer *)in->m);
        }
    }
}

/* Frees the connection and its open calls. */
static void
store_free(struct task *t)
{
    struct store_task *s = (struct store_task *)t;

    s->direct->ops->free(s->direct);
    Relay_Free(s);
    RelayServe_Free(s);
    free(s);
}

static const struct task_ops store_ops = {
    .name = TASK_STORE, .receive = receive, .free = store_free};

/* Opens the store. Its rank makes this the first task. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct store_task *t;

    if (Queue_Platform() == NULL) {
        LOG_E("no_platform",
              KV("allowed", "a program that links a platform adapter"));
        return ERR_INVALID;
    }
    t = Mem_Zero(1, sizeof(*t));
    t->direct = Queue_Platform()->open_store(k->loop, &s->hosted);
    Relay_Init(t);
    Kernel_AddTask(k, &t->task, &store_ops);
    return ERR_OK;
}

static struct plugin store_plugin = {
    .name = "store", .rank = 5, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(store_plugin)
