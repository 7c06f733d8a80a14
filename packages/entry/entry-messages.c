#include "entry.h"

#include <stdlib.h>

/* Frees an inbound message with what it carries. */
static void
free_inbound(struct message *m)
{
    struct inbound *in = (struct inbound *)m;

    Wire_Free(in->m);
    free(in);
}

/* Frees an outbound message with what it carries. */
static void
free_outbound(struct message *m)
{
    struct outbound *out = (struct outbound *)m;

    Wire_Free(out->m);
    free(out);
}

/* Frees a returned message with what it carries. */
static void
free_undelivered(struct message *m)
{
    struct undelivered *undelivered = (struct undelivered *)m;

    Wire_Free(undelivered->m);
    free(undelivered);
}

/* Frees a member note. */
static void
free_member(struct message *m)
{
    struct member_note *note = (struct member_note *)m;

    free(note->facts.services.items);
    free(note->facts.parts.items);
    free(note);
}

/* Frees a load note. */
static void
free_load(struct message *m)
{
    struct load_note *note = (struct load_note *)m;

    free(note->services.items);
    free(note->own.items);
    free(note);
}

/* Frees an offer. Its HTTP exchange is not freed here: it has its reply, or
 * belongs to a request. */
static void
free_offer(struct message *m)
{
    struct offer *offer = (struct offer *)m;

    Buf_Free(&offer->body);
    free(offer);
}

/* Frees a list of entries. */
static void
free_peers(struct message *m)
{
    struct peers_note *note = (struct peers_note *)m;

    free(note->entries);
    free(note);
}

const struct message_kind Entry_Inbound = {"inbound", free_inbound};
const struct message_kind Entry_Outbound = {"outbound", free_outbound};
const struct message_kind Entry_Undelivered = {"undelivered",
                                               free_undelivered};
const struct message_kind Entry_Member = {"member", free_member};
const struct message_kind Entry_Load = {"load", free_load};
/* Frees a config note and releases its document. */
static void
free_config(struct message *m)
{
    struct config_note *note = (struct config_note *)m;

    ConfigSnapshot_Unref(note->active_config);
    free(note);
}

const struct message_kind Entry_Config = {"config", free_config};
const struct message_kind Entry_Http = {"http", NULL};
const struct message_kind Entry_Offer = {"offer", free_offer};
const struct message_kind Entry_Peers = {"peers", free_peers};

/* Sends a message to an agent by the links task. */
void
Entry_SendToAgent(struct task *from, const struct link_peer *peer,
                  struct wire_msg *m, bool return_undelivered)
{
    struct outbound *out = Mem_Zero(1, sizeof(*out));

    out->peer = *peer;
    out->reply_to = return_undelivered ? from : NULL;
    out->m = m;
    Kernel_Post(Kernel_FindTask(from->kernel, "links"), &out->base,
                &Entry_Outbound);
}

/* Returns the name of a change, for logs. */
const char *
Entry_MemberChangeName(enum member_change change)
{
    static const char *const names[] = {"joined",  "changed", "returned",
                                        "leaving", "silent",  "gone"};

    return names[change];
}

/* Returns a random number that is drawn once per process. */
uint64_t
Entry_Incarnation(void)
{
    static uint64_t incarnation;

    if (incarnation == 0) {
        incarnation = Id_Random64();
    }
    return incarnation;
}

/* Adds a reference to a document. */
struct config_snapshot *
ConfigSnapshot_Ref(struct config_snapshot *f)
{
    f->refs++;
    return f;
}

/* Drops a reference; the last one frees the document. */
void
ConfigSnapshot_Unref(struct config_snapshot *f)
{
    if (f == NULL || --f->refs > 0) {
        return;
    }
    Config_Free(&f->doc);
    Buf_Free(&f->text);
    free(f);
}
