#include "agent.h"

#include <stdlib.h>

/* Frees an inbound message and its wire message. */
static void
free_inbound(struct message *m)
{
    struct inbound *in = (struct inbound *)m;

    Wire_Free(in->m);
    free(in);
}

/* Frees an outbound message and its wire message. */
static void
free_outbound(struct message *m)
{
    struct outbound *out = (struct outbound *)m;

    Wire_Free(out->m);
    free(out);
}

/* Frees a note of the services. */
static void
free_services(struct message *m)
{
    struct services_note *note = (struct services_note *)m;

    free(note->services.items);
    free(note);
}

/* Frees a note of the parts. */
static void
free_parts(struct message *m)
{
    struct parts_note *note = (struct parts_note *)m;

    free(note->parts.items);
    free(note);
}

/* Frees a note of an entry's work in progress. */
static void
free_busy(struct message *m)
{
    struct busy_note *note = (struct busy_note *)m;

    free(note->own.items);
    free(note);
}

/* Frees a note of the reachable entries. */
static void
free_reachable(struct message *m)
{
    struct reachable_note *note = (struct reachable_note *)m;

    free(note->entries.items);
    free(note);
}

const struct message_kind Agent_Inbound = {"inbound", free_inbound};
const struct message_kind Agent_Outbound = {"outbound", free_outbound};
const struct message_kind Agent_Services = {"services", free_services};
const struct message_kind Agent_Busy = {"busy", free_busy};
const struct message_kind Agent_Parts = {"parts", free_parts};
const struct message_kind Agent_Reachable = {"contact", free_reachable};
const struct message_kind Agent_Upstream = {"upstream", NULL};

/* Posts a message for an entry to the task "links". */
void
Agent_Send(struct kernel *k, const char *origin, struct wire_msg *m)
{
    struct outbound *out = Mem_Zero(1, sizeof(*out));

    Str_Copy(out->origin, sizeof(out->origin), origin);
    out->m = m;
    Kernel_Post(Kernel_FindTask(k, "links"), &out->base, &Agent_Outbound);
}

/* Draws the incarnation at the first call. */
uint64_t
Agent_Incarnation(void)
{
    static uint64_t incarnation;

    if (incarnation == 0) {
        incarnation = Id_Random64();
    }
    return incarnation;
}
