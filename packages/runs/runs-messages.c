#include "runs.h"

#include <stdlib.h>

static const struct runs_platform *the_platform;

/* Sets the constructors of the platform. */
void
Runs_SetPlatform(const struct runs_platform *platform)
{
    the_platform = platform;
}

/* Returns the constructors of the platform; NULL when no adapter is linked
 * in. */
const struct runs_platform *
Runs_Platform(void)
{
    return the_platform;
}

/* Frees a message with the wire message in it. */
static void
free_wire(struct message *m)
{
    Wire_Free(((struct runs_wire_message *)m)->m);
    free(m);
}

const struct message_kind Runs_WorkerStatusKind = {"worker-said", NULL};
const struct message_kind Runs_WireKind = {"wire", free_wire};
