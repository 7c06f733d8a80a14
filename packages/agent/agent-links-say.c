#include "agent-links.h"

#include <string.h>

#define INITIAL_HEARTBEAT_MS 1000 /* until an entry sets the pace */
#define BUSY_HEARTBEAT_MS                                                     \
    1000 /* while an entry has something in progress here */
#define SILENCE_HEARTBEATS                                                    \
    3 /* heartbeats without a word: the link is silent                        \
       */
#define SILENCE_MARGIN_MS 500 /* beside those heartbeats, for slow moments */

static struct counter beats_total = {"parsleyfall_agent_beats_total",
                                     "Heartbeats sent.", NULL, COUNTER_TOTAL};

/* Sends to one entry; a link that can't take it is seen by its silence. */
void
EntryLink_Send(struct entry_link *e, const struct wire_msg *m)
{
    int err = Link_Send(e->link, NULL, m);

    if (err != ERR_OK) {
        LOG_D("send_failed", KV("entry", e->address),
              KV("type", Wire_TypeName(m->type)), KV("error", Err_Name(err)));
    }
}

/* Says who we are and what we hold. */
void
EntryLink_SendHello(struct links *l, struct entry_link *e)
{
    const struct agent_settings *s = l->settings;
    struct wire_hello *hello = Wire_New(WIRE_HELLO);

    Str_Copy(hello->agent, NAME_SIZE, s->name);
    Str_Copy(hello->region, NAME_SIZE, s->region);
    Str_Copy(hello->domain, NAME_SIZE, s->failure_domain);
    Str_Copy(hello->rack, NAME_SIZE, s->rack);
    hello->incarnation = Agent_Incarnation();
    hello->accelerators = (uint64_t)s->accelerators;
    hello->agent_clock = Clock_NowMs();
    hello->leaving = l->leaving;
    Wire_ListCopy(&hello->services, &l->services, sizeof(struct wire_service));
    Wire_ListCopy(&hello->parts, &l->parts, sizeof(struct wire_part));
    EntryLink_Send(e, &hello->msg);
    e->heartbeat_at = hello->agent_clock;
    Wire_Free(&hello->msg);
}

/* Says that we are here, with the load of each service. */
void
EntryLink_SendHeartbeat(struct links *l, struct entry_link *e)
{
    struct wire_heartbeat heartbeat = {.msg = {WIRE_HEARTBEAT}};
    size_t i;

    heartbeat.incarnation = Agent_Incarnation();
    heartbeat.seq = ++e->seq;
    heartbeat.agent_clock = Clock_NowMs();
    heartbeat.leaving = l->leaving;
    for (i = 0; i < l->services.count; i++) {
        const struct wire_service *s = l->services.items;
        uint64_t *busy = Wire_ListAdd(&heartbeat.busy, sizeof(*busy));

        *busy = s[i].busy;
    }
    Wire_ListCopy(&heartbeat.own, &e->running, sizeof(uint64_t));
    EntryLink_Send(e, &heartbeat.msg);
    e->heartbeat_at = heartbeat.agent_clock;
    Wire_Clear(&heartbeat.msg);
    Counter_Add(&beats_total, 1);
}

/* Opens a fresh connection to an entry and says hello on it. */
void
EntryLink_Open(struct links *l, struct entry_link *e)
{
    int64_t now = Clock_NowMs();

    Link_Free(e->link);
    e->link = Link_Connect(l->context, l->task.kernel->loop, e->address,
                           &l->keys, Links_Receive, e);
    if (e->link == NULL) {
        Fatal("an address that was checked can't be used: %s", e->address);
    }
    e->welcomed = false;
    e->last_received_at = now;
    e->heartbeat_ms = INITIAL_HEARTBEAT_MS;
    EntryLink_SendHello(l, e);
}

/* Time between two heartbeats to an entry. */
int64_t
EntryLink_HeartbeatInterval(const struct entry_link *e)
{
    if (e->busy > 0 && e->heartbeat_ms > BUSY_HEARTBEAT_MS) {
        return BUSY_HEARTBEAT_MS;
    }
    return e->heartbeat_ms;
}

/* True when an entry has been silent for too long. Something between the two
 * ends may have lost track of the connection: TCP then reports nothing, ours
 * wait on it for good, while a new connection works. Only a word from the
 * other end counts, so a link that swallows what we send is found as well. */
bool
EntryLink_IsSilent(const struct entry_link *e, int64_t now)
{
    return now - e->last_received_at >
           SILENCE_HEARTBEATS * EntryLink_HeartbeatInterval(e) +
               SILENCE_MARGIN_MS;
}
