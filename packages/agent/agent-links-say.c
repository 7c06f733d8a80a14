#include "agent-links.h"

#include <string.h>

#define INITIAL_HEARTBEAT_MS 1000 /* until an entry sets the interval */
/* Longest interval while an entry has something in progress here. */
#define BUSY_HEARTBEAT_MS 1000
/* A link is silent when nothing was received on it for this many heartbeat
 * intervals and the margin, which allows for short delays of either side. */
#define SILENCE_HEARTBEATS 3
#define SILENCE_MARGIN_MS 500

static struct counter beats_total = {"parsleyfall_agent_beats_total",
                                     "Heartbeats sent.", NULL, COUNTER_TOTAL};

/* Sends a message to one entry. An error is only logged: a broken link is
 * detected by its silence and replaced. */
void
EntryLink_Send(struct entry_link *e, const struct wire_msg *m)
{
    int err = Link_Send(e->link, NULL, m);

    if (err != ERR_OK) {
        LOG_D("send_failed", KV("entry", e->address),
              KV("type", Wire_TypeName(m->type)), KV("error", Err_Name(err)));
    }
}

/* Sends a hello: the agent's identity, its services and its parts. */
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
    e->heartbeat_sent_at = hello->agent_clock;
    Wire_Free(&hello->msg);
}

/* Sends a heartbeat with the load of each service. */
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
    e->heartbeat_sent_at = heartbeat.agent_clock;
    Wire_Clear(&heartbeat.msg);
    Counter_Add(&beats_total, 1);
}

/* Opens a new connection to an entry and sends a hello on it. */
void
EntryLink_Open(struct links *l, struct entry_link *e)
{
    int64_t now = Clock_NowMs();

    Link_Free(e->link);
    e->link = Link_Connect(l->context, l->task.kernel->loop, e->address,
                           &l->keys, Links_Receive, e);
    if (e->link == NULL) {
        Fatal("cannot open a link to validated address %s", e->address);
    }
    e->welcomed = false;
    e->last_received_at = now;
    e->heartbeat_ms = INITIAL_HEARTBEAT_MS;
    EntryLink_SendHello(l, e);
}

/* Interval of the heartbeats to an entry: shorter while attempts of that entry
 * are in progress here. */
int64_t
EntryLink_HeartbeatInterval(const struct entry_link *e)
{
    if (e->busy > 0 && e->heartbeat_ms > BUSY_HEARTBEAT_MS) {
        return BUSY_HEARTBEAT_MS;
    }
    return e->heartbeat_ms;
}

/* True when nothing was received from an entry for too long. A device between
 * the two ends may have dropped its state of the connection: TCP then reports
 * no error and messages wait on it for ever, while a new connection works.
 * Only received messages count, so that a link which drops what the agent
 * sends is detected too. */
bool
EntryLink_IsSilent(const struct entry_link *e, int64_t now)
{
    return now - e->last_received_at >
           SILENCE_HEARTBEATS * EntryLink_HeartbeatInterval(e) +
               SILENCE_MARGIN_MS;
}
