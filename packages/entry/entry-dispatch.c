#include "entry-dispatch.h"

#include <stdlib.h>
#include <string.h>

/* dispatch -> itself: this service may have a free slot. */
struct pump_note {
    struct message base;
    struct service *service;
};

static const struct message_kind pump_kind = {"pump", NULL};

static struct counter open_gauge = {"parsleyfall_requests_open",
                                    "Requests accepted and not ended.", NULL,
                                    COUNTER_GAUGE};

static int
compare_services(const struct service *a, const struct service *b)
{
    return strcmp(a->name, b->name);
}

static int
compare_agents(const struct dispatch_agent *a, const struct dispatch_agent *b)
{
    return strcmp(a->facts.name, b->facts.name);
}

static int
compare_requests(const struct request *a, const struct request *b)
{
    return Id_Compare(&a->id, &b->id);
}

TREE_STATIC(service_tree, service, entry, compare_services);
TREE_STATIC(dispatch_agent_tree, dispatch_agent, entry, compare_agents);
TREE_STATIC(request_tree, request, entry, compare_requests);

/* Finds an agent by its name. */
struct dispatch_agent *
Dispatch_FindAgent(struct dispatch *d, const char *agent)
{
    struct dispatch_agent key;

    Str_Copy(key.facts.name, sizeof(key.facts.name), agent);
    return RB_FIND(dispatch_agent_tree, &d->agents, &key);
}

/* Finds a request by its id. */
struct request *
Dispatch_FindRequest(struct dispatch *d, const struct id *id)
{
    struct request key = {.id = *id};

    return RB_FIND(request_tree, &d->requests, &key);
}

/* Files a request under another id. */
bool
Dispatch_Rekey(struct request *r, const struct id *id)
{
    struct dispatch *d = r->dispatch;
    struct request *other = Dispatch_FindRequest(d, id);

    if (other != NULL) {
        return other == r;
    }
    RB_REMOVE(request_tree, &d->requests, r);
    r->id = *id;
    RB_INSERT(request_tree, &d->requests, r);
    Why_Open(d->task.kernel, id, r->organisation);
    return true;
}

/* Finds a service, or adds it. */
static struct service *
find_or_add_service(struct dispatch *d, const char *name)
{
    struct service key, *s;

    Str_Copy(key.name, sizeof(key.name), name);
    s = RB_FIND(service_tree, &d->services, &key);
    if (s != NULL) {
        return s;
    }
    s = Mem_Zero(1, sizeof(*s));
    Str_Copy(s->name, sizeof(s->name), name);
    s->admission = Admission_New(NULL);
    s->route = Route_New(NULL);
    s->retry = Retry_New(NULL);
    RB_INSERT(service_tree, &d->services, s);
    return s;
}

/* Posts a pump message for the service, unless one is already pending. */
void
Dispatch_PumpSoon(struct dispatch *d, struct service *s)
{
    struct pump_note *note;

    if (s->pump_posted) {
        return;
    }
    s->pump_posted = true;
    note = Mem_Zero(1, sizeof(*note));
    note->service = s;
    Kernel_Post(&d->task, &note->base, &pump_kind);
}

/* Sets the timer to the earliest time at which a queued request can no longer
 * meet its deadline. */
static void
set_expire_timer(struct dispatch *d)
{
    int64_t now = Clock_NowMs();
    int64_t first = -1;
    struct service *s;

    RB_FOREACH (s, service_tree, &d->services) {
        int64_t at = Admission_ExpiresAt(s->admission);

        if (at >= 0 && (first < 0 || at < first)) {
            first = at;
        }
    }
    ev_timer_stop(d->task.kernel->loop, &d->expire);
    if (first >= 0) {
        Timer_Set(d->task.kernel->loop, &d->expire,
                  first > now ? first - now + 1 : 1);
    }
}

/* Refuses the queued requests that can't meet their deadlines any more. */
static void
expire(struct dispatch *d, struct service *s)
{
    struct admission_decision why;
    struct id id;

    while (Admission_Expire(s->admission, Clock_NowMs(), Id_Random64(), &id,
                            &why) == ERR_OK) {
        Request_Expire(Dispatch_FindRequest(d, &id), &why);
    }
}

/* Sends queued requests while slots are free. */
static void
pump(struct dispatch *d, struct service *s)
{
    struct admission_next next;

    expire(d, s);
    while (Admission_Next(s->admission, Clock_NowMs(), &next) == ERR_OK) {
        struct request *r = Dispatch_FindRequest(d, &next.id);

        r->cost_ms = next.cost_ms;
        if (Request_Send(r) == ERR_BUSY) {
            Admission_Return(s->admission, &next.id, Clock_NowMs());
            break;
        }
    }
    set_expire_timer(d);
}

/* Handles the pump message that dispatch posts to itself. */
static void
handle_pump(struct task *t, struct message *m)
{
    struct service *s = ((struct pump_note *)m)->service;

    s->pump_posted = false;
    pump((struct dispatch *)t, s);
}

/* Removes a request from admission and frees it. */
void
Dispatch_Drop(struct dispatch *d, struct request *r)
{
    struct service *s = r->service;

    if (Admission_Cancel(s->admission, &r->id) != ERR_OK) {
        Admission_Finished(s->admission, &r->id, 0, false, Clock_NowMs());
    }
    RB_REMOVE(request_tree, &d->requests, r);
    ev_timer_stop(d->task.kernel->loop, &r->timer);
    Buf_Free(&r->body);
    Claims_Free(r->claim);
    d->replied -= r->ex == NULL;
    free(r);
    d->open--;
    Counter_Set(&open_gauge, (int64_t)d->open);
    Dispatch_PumpSoon(d, s);
}

static void
on_request_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    Request_Timer(w->data);
}

/* Creates a request from an offer. */
static struct request *
new_request(struct dispatch *d, struct service *s, struct offer *o,
            int64_t now)
{
    struct request *r = Mem_Zero(1, sizeof(*r));

    r->dispatch = d;
    r->id = o->id;
    r->ex = o->ex;
    r->service = s;
    Str_Copy(r->organisation, sizeof(r->organisation), o->organisation);
    Str_Copy(r->class_name, sizeof(r->class_name), o->class_name);
    Str_Copy(r->content_type, sizeof(r->content_type), o->content_type);
    r->repeatable = o->repeatable && o->key[0] == '\0';
    Buf_Move(&r->body, &o->body);
    r->claim = Claims_New(o, &r->body);
    r->accepted_at = now;
    r->deadline_at = now + o->timeout_ms;
    ev_init(&r->timer, on_request_timer);
    r->timer.data = r;
    RB_INSERT(request_tree, &d->requests, r);
    d->open++;
    Counter_Set(&open_gauge, (int64_t)d->open);
    return r;
}

/* Collects what admission decides by. */
static struct admission_facts
make_facts(const struct offer *o, const struct request *r)
{
    return (struct admission_facts){
        .id = r->id,
        .organisation = o->organisation,
        .caller = o->caller[0] != '\0' ? o->caller : NULL,
        .class_name = o->class_name,
        .priority = o->priority,
        .cost_hint_ms = o->cost_hint_ms,
        .deadline_at = r->deadline_at,
        .repeatable = r->repeatable,
    };
}

/* Replies to a request that admission refused: 429 when the organisation or
 * its caller has used up its own share, 503 when the service is full or lacks
 * upstreams. */
static void
refuse(struct request *r, const struct admission_decision *d)
{
    static const bool over_quota[ADMISSION_REASON_COUNT] = {
        [REFUSE_ORG_SHARE] = true,    [REFUSE_CALLER_SHARE] = true,
        [REFUSE_KEY_SHARE] = true,    [REFUSE_ORG_QUEUE] = true,
        [REFUSE_CALLER_QUEUE] = true,
    };

    if (r->claim != NULL && !Claims_Fenced(r)) {
        r->claim->stage = STAGE_DONE;
    }
    Request_ReplyNotRun(r, over_quota[d->reason] ? 429 : 503,
                        Admission_ReasonName(d->reason), "",
                        d->retry_after_ms);
}

/* Submits an offered request to admission, which queues or refuses it. */
static void
admit(struct request *r, const struct offer *o)
{
    struct service *s = r->service;
    struct admission_facts facts = make_facts(o, r);
    struct admission_decision decision;

    Retry_SetHedge(s->retry, o->hedge);
    Admission_SetQueueMax(s->admission, o->queue_max);
    Admission_SetWeight(s->admission, o->organisation, o->weight);
    decision =
        Admission_Offer(s->admission, &facts, Clock_NowMs(), Id_Random64());
    Why_Record(r->dispatch->task.kernel, &r->id,
               decision.verdict == ADMISSION_REFUSE ? "refused" : "admitted",
               Admission_ReasonName(decision.reason),
               Why_PackAdmission(&decision.inputs));
    if (decision.verdict == ADMISSION_REFUSE) {
        refuse(r, &decision);
        return;
    }
    r->state = REQUEST_QUEUED;
    ev_timer_stop(r->dispatch->task.kernel->loop, &r->timer);
    Dispatch_PumpSoon(r->dispatch, s);
}

/* Submits a keyed request whose row permits it to run. */
void
Dispatch_Admit(struct request *r)
{
    admit(r, &r->claim->offer);
}

/* Handles a new request: it goes to admission and, when admitted, waits in the
 * queue. A request with a key reads its row first. */
static void
handle_offer(struct task *t, struct message *m)
{
    struct dispatch *d = (struct dispatch *)t;
    struct offer *o = (struct offer *)m;
    struct request *r;

    r = new_request(d, find_or_add_service(d, o->service), o, Clock_NowMs());
    Why_Open(t->kernel, &o->id, o->organisation);
    if (r->claim != NULL) {
        Claims_Open(r);
        return;
    }
    admit(r, o);
}

/* Finds the request that an agent's message refers to; NULL when it has ended.
 */
static struct request *
request_of_message(struct dispatch *d, const struct wire_msg *m)
{
    static const size_t offsets[WIRE_TYPE_LAST] = {
        [WIRE_TAKEN] = offsetof(struct wire_taken, request),
        [WIRE_ANSWER] = offsetof(struct wire_answer, request),
        [WIRE_WITHDRAWN] = offsetof(struct wire_withdrawn, request),
        [WIRE_DISPATCH] = offsetof(struct wire_dispatch, request),
    };

    return Dispatch_FindRequest(
        d, (const struct id *)((const char *)m + offsets[m->type]));
}

/* Sends settled to an agent, also for an answer that is not used. */
void
Dispatch_SendSettled(struct dispatch *d, const struct link_peer *peer,
                     const struct wire_answer *a)
{
    struct wire_settled *m = Wire_New(WIRE_SETTLED);

    m->request = a->request;
    m->attempt = a->attempt;
    Entry_SendToAgent(&d->task, peer, &m->msg, false);
}

/* Handles an answer. The agent keeps the answer of a keyed request until the
 * row holds it, because it would be lost if this entry died before. */
static void
handle_answer(struct dispatch *d, struct request *r, struct inbound *in)
{
    struct wire_answer *a = (struct wire_answer *)in->m;

    if (r == NULL || r->claim == NULL || r->claim->stage == STAGE_DONE) {
        Dispatch_SendSettled(d, &in->peer, a);
    }
    else {
        r->claim->answer_peer = in->peer;
        r->claim->agent_keeps_answer = true;
    }
    if (r != NULL) {
        Request_Answer(r, a);
    }
}

/* Passes an agent's message to the request that it refers to. */
static void
handle_inbound(struct task *t, struct message *m)
{
    struct dispatch *d = (struct dispatch *)t;
    struct inbound *in = (struct inbound *)m;
    struct request *r = request_of_message(d, in->m);

    if (r != NULL && r->state == REQUEST_CLAIM) {
        Claims_Inbound(r, in);
    }
    else if (in->m->type == WIRE_ANSWER) {
        handle_answer(d, r, in);
    }
    else if (r != NULL && in->m->type == WIRE_TAKEN) {
        Request_Taken(r, (struct wire_taken *)in->m);
    }
    else if (r != NULL) {
        Request_Withdrawn(r, (struct wire_withdrawn *)in->m);
    }
}

/* Handles a dispatch message that the links task could not deliver. */
static void
handle_undelivered(struct task *t, struct message *m)
{
    struct dispatch *d = (struct dispatch *)t;
    struct undelivered *back = (struct undelivered *)m;
    struct request *r = request_of_message(d, back->m);

    if (r != NULL && r->state != REQUEST_CLAIM) {
        Request_Undelivered(r, back->m->type,
                            ((struct wire_dispatch *)back->m)->attempt);
    }
}

/* Adds an agent's services to their routes, or removes them. */
static void
update_routes(struct dispatch *d, const struct member_facts *f, bool in_use)
{
    const struct wire_service *list = f->services.items;
    size_t i;

    for (i = 0; i < f->services.count; i++) {
        struct service *s = find_or_add_service(d, list[i].name);
        struct route_facts facts = {f->name, f->domain, (int)list[i].slots,
                                    (int)list[i].connections};
        int handle = Route_Find(s->route, f->name);

        if (in_use && list[i].healthy) {
            Route_Upsert(s->route, &facts);
        }
        else if (handle != ROUTE_NONE) {
            f->leaving ? Route_Leaving(s->route, handle)
                       : Route_Remove(s->route, handle);
        }
        Admission_SetCapacity(s->admission, Route_Slots(s->route));
        Dispatch_PumpSoon(d, s);
    }
}

/* Records the current facts of an agent. */
static struct dispatch_agent *
update_agent(struct dispatch *d, const struct member_facts *f)
{
    struct dispatch_agent *agent = Dispatch_FindAgent(d, f->name);

    if (agent == NULL) {
        agent = Mem_Zero(1, sizeof(*agent));
        Str_Copy(agent->facts.name, sizeof(agent->facts.name), f->name);
        RB_INSERT(dispatch_agent_tree, &d->agents, agent);
    }
    agent->facts = *f;
    agent->facts.services = (struct wire_list){0};
    agent->facts.parts = (struct wire_list){0};
    return agent;
}

/* Notifies each open request of an agent's change. */
static void
notify_requests(struct dispatch *d, const struct member_note *n)
{
    struct request *r, *next;

    RB_FOREACH_SAFE (r, request_tree, &d->requests, next) {
        if (r->attempt_count == 0 || r->state == REQUEST_CLAIM) {
            continue;
        }
        if (n->change == MEMBER_RETURNED) {
            Request_Resync(r, n->facts.name);
        }
        else if (n->change == MEMBER_JOINED) {
            Request_AgentLost(r, n->facts.name, n->facts.incarnation);
        }
        else if (n->change == MEMBER_SILENT) {
            Request_AgentSilent(r, n->facts.name);
        }
    }
}

/* Handles an agent that joined, changed or left. */
static void
handle_member(struct task *t, struct message *m)
{
    struct dispatch *d = (struct dispatch *)t;
    struct member_note *n = (struct member_note *)m;
    struct dispatch_agent *agent = update_agent(d, &n->facts);

    agent->silent = n->change == MEMBER_SILENT || n->change == MEMBER_GONE;
    update_routes(d, &n->facts, !agent->silent && !n->facts.leaving);
    notify_requests(d, n);
}

/* Updates routes by the load that an agent reports for its services. */
static void
handle_load(struct task *t, struct message *m)
{
    struct dispatch *d = (struct dispatch *)t;
    struct load_note *n = (struct load_note *)m;
    const struct wire_service *list = n->services.items;
    const uint64_t *own = n->own.items;
    size_t i;

    for (i = 0; i < n->services.count; i++) {
        struct service *s = find_or_add_service(d, list[i].name);
        int handle = Route_Find(s->route, n->name);
        struct route_report report = {
            .busy = (int)list[i].busy,
            .own = i < n->own.count ? (int)own[i] : 0,
            .connections = (int)list[i].busy,
        };

        if (handle == ROUTE_NONE) {
            continue;
        }
        Route_Report(s->route, handle, &report, Clock_NowMs());
        Dispatch_PumpSoon(d, s);
    }
}

static const struct {
    const struct message_kind *kind;
    void (*handle)(struct task *, struct message *);
} handlers[] = {
    {&pump_kind, handle_pump},        {&Entry_Offer, handle_offer},
    {&Entry_Inbound, handle_inbound}, {&Entry_Undelivered, handle_undelivered},
    {&Entry_Member, handle_member},   {&Entry_Load, handle_load},
};

/* Passes a message to the handler of its kind. */
static void
dispatch_receive(struct task *t, struct message *m)
{
    size_t i;

    for (i = 0; i < COUNT_OF(handlers); i++) {
        if (handlers[i].kind == m->kind) {
            handlers[i].handle(t, m);
            return;
        }
    }
    Fatal("dispatch got a message of kind %s", m->kind->name);
}

/* Refuses expired requests of all services. */
static void
on_expire(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct dispatch *d = w->data;
    struct service *s;

    RB_FOREACH (s, service_tree, &d->services) {
        expire(d, s);
    }
    set_expire_timer(d);
}

/* True when every caller has its reply. */
static bool
dispatch_drained(const struct task *t)
{
    const struct dispatch *d = (const struct dispatch *)t;

    return d->open == d->replied;
}

/* Replies to the callers that still wait, as the process ends. */
static void
dispatch_drain_timeout(struct task *t)
{
    struct dispatch *d = (struct dispatch *)t;
    struct request *r, *next;

    RB_FOREACH_SAFE (r, request_tree, &d->requests, next) {
        if (r->ex != NULL) {
            Request_ReplyStopping(r);
        }
    }
}

/* Returns the services with their queues, for operators. */
static json_t *
dispatch_state(const struct task *t)
{
    struct dispatch *d = (struct dispatch *)(uintptr_t)t;
    json_t *list = json_array();
    struct service *s;

    RB_FOREACH (s, service_tree, &d->services) {
        json_array_append_new(list, Dispatch_ServiceState(s));
    }
    return json_pack("{s:I, s:o}", "open", (json_int_t)d->open, "services",
                     list);
}

/* Frees everything. */
static void
dispatch_free(struct task *t)
{
    struct dispatch *d = (struct dispatch *)t;
    struct request *r, *rn;
    struct service *s, *sn;
    struct dispatch_agent *agent, *an;
    struct claim_op *op, *on;

    RB_FOREACH_SAFE (r, request_tree, &d->requests, rn) {
        RB_REMOVE(request_tree, &d->requests, r);
        ev_timer_stop(t->kernel->loop, &r->timer);
        Buf_Free(&r->body);
        Claims_Free(r->claim);
        free(r);
    }
    LIST_FOREACH_SAFE(op, &d->claim_ops, entry, on)
    {
        free(op);
    }
    RB_FOREACH_SAFE (s, service_tree, &d->services, sn) {
        RB_REMOVE(service_tree, &d->services, s);
        Admission_Free(s->admission);
        Route_Free(s->route);
        Retry_Free(s->retry);
        free(s);
    }
    RB_FOREACH_SAFE (agent, dispatch_agent_tree, &d->agents, an) {
        RB_REMOVE(dispatch_agent_tree, &d->agents, agent);
        free(agent);
    }
    ev_timer_stop(t->kernel->loop, &d->expire);
    free(d);
}

static const struct task_ops dispatch_ops = {
    .name = "dispatch",
    .receive = dispatch_receive,
    .drained = dispatch_drained,
    .drain_timeout = dispatch_drain_timeout,
    .state = dispatch_state,
    .free = dispatch_free,
};

/* Starts without services; they are added as agents and requests name them. */
static int
start(struct kernel *k)
{
    struct dispatch *d = Mem_Zero(1, sizeof(*d));

    d->settings = k->settings;
    RB_INIT(&d->services);
    RB_INIT(&d->agents);
    RB_INIT(&d->requests);
    LIST_INIT(&d->claim_ops);
    d->table = Entry_Table(k);
    d->objects = Entry_Objects(k);
    Kernel_AddTask(k, &d->task, &dispatch_ops);
    ev_init(&d->expire, on_expire);
    d->expire.data = d;
    Members_Subscribe(k, "dispatch");
    return ERR_OK;
}

static struct plugin dispatch_plugin = {
    .name = "dispatch", .rank = 40, .start = start};
KERNEL_PLUGIN(dispatch_plugin)
