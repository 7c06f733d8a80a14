#include "queue.h"

#include <stdlib.h>
#include <string.h>

static const struct queue_platform *the_platform;

/* Registers the platform. */
void
Queue_SetPlatform(const struct queue_platform *platform)
{
    the_platform = platform;
}

/* Returns the platform, or NULL when none is linked in. */
const struct queue_platform *
Queue_Platform(void)
{
    return the_platform;
}

/* Returns a random number that distinguishes this process from earlier ones of
 * its name. */
uint64_t
Queue_Incarnation(void)
{
    static uint64_t incarnation;

    if (incarnation == 0) {
        incarnation = Id_Random64() >> 1; /* fits JSON's signed integers */
    }
    return incarnation;
}

/* Adds a reference to a configuration. */
struct queue_config *
QueueConfig_Ref(struct queue_config *c)
{
    c->refs++;
    return c;
}

/* Drops a reference to a configuration; NULL is allowed. */
void
QueueConfig_Unref(struct queue_config *c)
{
    if (c != NULL && --c->refs == 0) {
        JobsConfig_Clear(&c->jobs);
        free(c);
    }
}

/* Creates a call that starts now. */
struct queue_call *
QueueCall_New(enum queue_verb verb)
{
    struct queue_call *c = Mem_Zero(1, sizeof(*c));

    c->verb = verb;
    c->started_ms = Clock_NowMs();
    c->reason = "";
    c->host = Mem_Dup("");
    c->path = Mem_Dup("");
    c->key = Mem_Dup("");
    return c;
}

/* Moves the content of a call into a new one. */
struct queue_call *
QueueCall_Move(struct queue_call *from)
{
    struct queue_call *c = Mem_Alloc(sizeof(*c));

    *c = *from;
    from->spec = (struct jobs_spec){0};
    from->host = NULL;
    from->path = NULL;
    from->key = NULL;
    return c;
}

/* Sets a text of a call. */
void
QueueCall_SetText(char **field, const char *text)
{
    free(*field);
    *field = Mem_Dup(text);
}

/* Frees a call. */
static void
free_call(struct message *m)
{
    struct queue_call *c = (struct queue_call *)m;

    JobsSpec_Clear(&c->spec);
    free(c->host);
    free(c->path);
    free(c->key);
    free(c);
}

static void
free_config(struct message *m)
{
    struct config_changed *note = (struct config_changed *)m;

    QueueConfig_Unref(note->config);
    Buf_Free(&note->text);
    free(m);
}

static void
free_rows(struct message *m)
{
    struct rows_changed *r = (struct rows_changed *)m;

    for (size_t i = 0; i < r->count; i++) {
        free(r->rows[i].key);
        Buf_Free(&r->rows[i].value);
    }
    free(r->rows);
    free(r);
}

static void
free_agent_inbound(struct message *m)
{
    Wire_Free(((struct agent_inbound *)m)->m);
    free(m);
}

static void
free_row_written(struct message *m)
{
    Wire_Free(&((struct row_written *)m)->row->msg);
    free(m);
}

static void
free_agent_outbound(struct message *m)
{
    Wire_Free(((struct agent_outbound *)m)->m);
    free(m);
}

static void
free_store_inbound(struct message *m)
{
    Wire_Free(((struct store_inbound *)m)->m);
    free(m);
}

static void
free_entry_outbound(struct message *m)
{
    Wire_Free(((struct entry_outbound *)m)->m);
    free(m);
}

static void
free_document(struct message *m)
{
    Buf_Free(&((struct peer_document *)m)->text);
    free(m);
}

static void
free_entries(struct message *m)
{
    free(((struct entries_listed *)m)->members);
    free(m);
}

static void
free_ids(struct message *m)
{
    free(((struct job_ids *)m)->ids);
    free(m);
}

const struct message_kind Queue_UnfinishedKind = {"unfinished", free_ids};
const struct message_kind Queue_UnscheduledKind = {"unscheduled", free_ids};
const struct message_kind Queue_CallKind = {"call", free_call};
const struct message_kind Queue_ConfigKind = {"config", free_config};
const struct message_kind Queue_RowsKind = {"rows", free_rows};
const struct message_kind Queue_RowsRequestedKind = {"rows-wanted", NULL};
const struct message_kind Queue_RowWrittenKind = {"row-written",
                                                  free_row_written};
const struct message_kind Queue_LeadershipEndedKind = {"leadership-ended",
                                                       NULL};
const struct message_kind Queue_AgentInboundKind = {"agent-said",
                                                    free_agent_inbound};
const struct message_kind Queue_AgentOutboundKind = {"say-agent",
                                                     free_agent_outbound};
const struct message_kind Queue_DocumentKind = {"document", free_document};
const struct message_kind Queue_EntriesKind = {"entries", free_entries};
const struct message_kind Queue_StoreInboundKind = {"store-said",
                                                    free_store_inbound};
const struct message_kind Queue_EntryOutboundKind = {"say-entry",
                                                     free_entry_outbound};
const struct message_kind Queue_RelayEntryKind = {"best-entry", NULL};
const struct message_kind Queue_OperatorTableKind = {"operators-read", NULL};
const struct message_kind Queue_DelegationKind = {"reading-left", NULL};
const struct message_kind Queue_EmptiedKind = {"emptied", NULL};

/* Posts a message to a task by its name. */
void
Queue_Post(struct kernel *k, const char *task, struct message *m,
           const struct message_kind *kind)
{
    struct task *t = Kernel_FindTask(k, task);

    if (t != NULL) {
        Kernel_Post(t, m, kind);
        return;
    }
    m->kind = kind;
    if (kind->free != NULL) {
        kind->free(m);
        return;
    }
    free(m);
}

/* Posts a call to the intake. */
void
Queue_Call(struct kernel *k, struct queue_call *call)
{
    Queue_Post(k, TASK_INTAKE, &call->base, &Queue_CallKind);
}
