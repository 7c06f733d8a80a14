#include "runs.h"

#include <stdlib.h>

static const struct runs_site *the_site;

/* Sets what the platform brings. */
void
Runs_SetSite(const struct runs_site *site)
{
    the_site = site;
}

/* What the platform brings. */
const struct runs_site *
Runs_Site(void)
{
    return the_site;
}

static void
free_wire(struct message *m)
{
    Wire_Free(((struct wire_note *)m)->m);
    free(m);
}

const struct message_kind Runs_SaidKind = {"worker-said", NULL};
const struct message_kind Runs_WireKind = {"wire", free_wire};
