#include "runs.h"

#include <stdlib.h>

static const struct runs_platform *the_site;

/* Sets what the platform brings. */
void
Runs_SetPlatform(const struct runs_platform *site)
{
    the_site = site;
}

/* What the platform brings. */
const struct runs_platform *
Runs_Platform(void)
{
    return the_site;
}

static void
free_wire(struct message *m)
{
    Wire_Free(((struct runs_wire_message *)m)->m);
    free(m);
}

const struct message_kind Runs_WorkerStatusKind = {"worker-said", NULL};
const struct message_kind Runs_WireKind = {"wire", free_wire};
