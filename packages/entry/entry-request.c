#include "entry-dispatch.h"

#include <string.h>

#define ACCEPT_MS 1000   /* an agent says taken or refused within this */
#define ASK_AGAIN_MS 500 /* a withdraw without a word is sent again */
#define LATE_MS 250      /* an answer may be this late after the deadline */
#define REFUSED_RETRY_MS 250
#define AFTER_MS 10000 /* agents keep an answer so long after a deadline */

static struct counter hedges_total = {"parsleyfall_hedges_total",
                                      "Second attempts beside a late one.",
                                      NULL, COUNTER_TOTAL};

/* Records a decision on the request, with its inputs or NULL. */
static void
record(const struct request *r, const char *decision, const char *reason,
       json_t *inputs)
{
    Why_Record(r->dispatch->task.kernel, &r->id, decision, reason, inputs);
}

/* What is recorded with what an agent said of an attempt. */
static json_t *
try_inputs(const struct try *t)
{
    return json_pack("{s:I, s:s, s:I}", "attempt", (json_int_t)t->number,
                     "agent", t->agent, "not_after", (json_int_t)t->not_after);
}

/* How an attempt that ended counts for its upstream. */
static void
settle(struct request *r, struct try *t, enum route_outcome outcome)
{
    int64_t now = Clock_NowMs();

    if (t->state == TRY_OVER) {
        return;
    }
    t->state = TRY_OVER;
    Route_Settled(r->service->route, t->handle, outcome, now - t->sent_at,
                  r->cost_ms, now);
}

/* The attempt of that number, or NULL. */
static struct try *
find_try(struct request *r, uint64_t number)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        if (r->tries[i].number == number) {
            return &r->tries[i];
        }
    }
    return NULL;
}

/* True when an attempt is still out. */
static bool
any_out(const struct request *r)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        if (r->tries[i].state != TRY_OVER) {
            return true;
        }
    }
    return false;
}

/* True when an attempt that is over may have run. */
static bool
any_may_have_run(const struct request *r)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        if (r->tries[i].may_run) {
            return true;
        }
    }
    return false;
}

/* When a second try is worth asking for: the answer of the only one is late.
 * -1: never. */
static int64_t
hedge_at(const struct request *r)
{
    int64_t after = Retry_HedgeAfterMs(r->service->retry);
    const struct try *t = &r->tries[0];

    if (!r->repeatable || r->hedged || after < 0 || r->try_count != 1 ||
        t->state == TRY_OVER) {
        return -1;
    }
    return t->sent_at + after;
}

/* Sets the timer of the request to what is due next. */
static void
set_timer(struct request *r)
{
    int64_t now = Clock_NowMs();
    int64_t due = r->deadline_at + LATE_MS;
    int64_t hedge = hedge_at(r);
    int i;

    if (hedge >= 0 && hedge < due) {
        due = hedge;
    }

    for (i = 0; i < r->try_count; i++) {
        const struct try *t = &r->tries[i];
        int64_t at = t->sent_at + ACCEPT_MS;

        if (t->state == TRY_ASKING) {
            at = now + ASK_AGAIN_MS;
        }
        if ((t->state == TRY_SENT || t->state == TRY_ASKING) && at < due) {
            due = at;
        }
    }
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer,
              due > now ? due - now : 0);
}

/* Asks the agent of an attempt not to start it any more. */
static void
withdraw(struct request *r, struct try *t)
{
    struct server *s = Dispatch_FindServer(r->dispatch, t->agent);
    struct wire_withdraw *m;

    if (t->state == TRY_SENT) {
        t->state = TRY_ASKING;
        record(r, "withdraw", "asked", try_inputs(t));
    }
    if (s == NULL) {
        return;
    }
    m = Wire_New(WIRE_WITHDRAW);
    m->request = r->id;
    m->attempt = t->number;
    m->incarnation = t->incarnation;
    m->not_after = t->not_after;
    Entry_Say(&r->dispatch->task, &s->facts.peer, &m->msg, false);
}

/* Withdraws whatever is still out, as the caller has its final answer. */
static void
withdraw_all(struct request *r)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        if (r->tries[i].state != TRY_OVER) {
            withdraw(r, &r->tries[i]);
            settle(r, &r->tries[i], ROUTE_WITHDRAWN);
        }
    }
}

/* The handles that were tried, for routing to avoid. */
static int
tried(const struct request *r, int *handles)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        handles[i] = r->tries[i].handle;
    }
    return r->try_count;
}

/* Records a new attempt at an agent. */
static struct try *
new_try(struct request *r, int handle, const struct server *s, int64_t now)
{
    struct try *t = &r->tries[r->try_count];

    *t = (struct try){.number = r->attempt_base + (uint64_t)++r->try_count,
                      .handle = handle,
                      .incarnation = s->facts.incarnation,
                      .not_after = r->deadline_at + s->facts.clock_offset,
                      .sent_at = now,
                      .state = TRY_SENT,
                      .may_run = true};
    Str_Copy(t->agent, sizeof(t->agent), s->facts.name);
    return t;
}

/* Sends an attempt to its agent. */
static void
send_try(struct request *r, const struct try *t, const struct server *s)
{
    struct wire_dispatch *m = Wire_New(WIRE_DISPATCH);
    char hex[ID_HEX_SIZE];

    m->request = r->id;
    m->attempt = t->number;
    m->incarnation = t->incarnation;
    m->not_after = t->not_after;
    m->timeout_ms = r->deadline_at - t->sent_at;
    m->repeatable = r->repeatable;
    Str_Copy(m->service, sizeof(m->service), r->service->name);
    Str_Copy(m->content_type, sizeof(m->content_type), r->content_type);
    Buf_Append(&m->body, r->body.data, r->body.len);
    LOG_I("dispatch", KV("request", Id_Hex(&r->id, hex)),
          KV_INT("attempt", t->number), KV("agent", t->agent));
    Entry_Say(&r->dispatch->task, &s->facts.peer, &m->msg, true);
}

/* Records where the request goes, or why nowhere. */
static void
record_route(const struct request *r, const struct route_decision *d,
             const char *agent)
{
    json_t *inputs = d->judged ? Why_FromRoute(&d->inputs) : json_object();

    if (agent != NULL) {
        json_object_set_new(inputs, "agent", json_string(agent));
        json_object_set_new(inputs, "attempt", json_integer(r->try_count + 1));
    }
    record(r, agent != NULL ? "sent" : "not_sent", Route_ReasonName(d->reason),
           inputs);
}

/* Picks an upstream that was not tried. */
static struct route_decision
pick(const struct request *r)
{
    int avoid[TRIES_MAX];
    struct route_request want = {
        .domain = r->dispatch->settings->failure_domain,
        .expected_ms = r->cost_ms,
        .repeatable = r->repeatable,
        .avoid = avoid,
        .avoid_count = tried(r, avoid),
    };

    return Route_Pick(r->service->route, &want, Clock_NowMs(), Id_Random64());
}

/* Starts an attempt at the upstream that was picked: at once, or when its
 * claim has been written. */
static void
start_try(struct request *r, const struct route_decision *d)
{
    struct route *route = r->service->route;
    const char *agent = Route_Name(route, d->handle);
    struct server *s = Dispatch_FindServer(r->dispatch, agent);
    int64_t now = Clock_NowMs();
    struct try *t;

    if (s == NULL) {
        Fatal("route names an agent that is not known: %s", agent);
    }
    record_route(r, d, agent);
    t = new_try(r, d->handle, s, now);
    r->state = REQUEST_OUT;
    Route_Sent(route, d->handle, now);
    if (r->claim != NULL && r->claim->stage != STAGE_TOLD) {
        Claims_Write(r, t);
        return;
    }
    send_try(r, t, s);
    set_timer(r);
}

/* Picks an upstream and sends the request there. */
int
Request_Send(struct request *r)
{
    struct route_decision d = pick(r);

    if (d.handle == ROUTE_NONE && d.reason == ROUTE_NONE_FREE) {
        return ERR_BUSY;
    }
    if (d.handle == ROUTE_NONE) {
        record_route(r, &d, NULL);
        Request_ReplyNotRun(r, 503, Route_ReasonName(d.reason), "",
                            REFUSED_RETRY_MS);
        return ERR_OK;
    }
    start_try(r, &d);
    return ERR_OK;
}

/* The last try was never sent: its upstream owes nothing. */
void
Request_Unsend(struct request *r)
{
    struct try *t = &r->tries[r->try_count - 1];

    t->may_run = false;
    settle(r, t, ROUTE_WITHDRAWN);
}

/* The facts of a retry decision for this request as it stands. */
static struct retry_facts
retry_facts(const struct request *r, enum retry_cause cause, bool started)
{
    return (struct retry_facts){
        .cause = cause,
        .repeatable = r->repeatable,
        .started = started,
        .attempts = r->try_count,
        .sent_at = r->tries[r->try_count - 1].sent_at,
        .deadline_at = r->deadline_at,
        .expected_ms = r->cost_ms,
    };
}

/* True when the request may be sent once more. */
static bool
may_retry(struct request *r, enum retry_cause cause, bool started)
{
    struct retry_facts facts = retry_facts(r, cause, started);
    struct retry_decision d =
        Retry_Ask(r->service->retry, &facts, Clock_NowMs());
    char hex[ID_HEX_SIZE];

    LOG_I("retry", KV("request", Id_Hex(&r->id, hex)),
          KV("reason", Retry_ReasonName(d.reason)),
          KV_INT("allowed", d.allowed));
    record(r, d.allowed ? "retry" : "no_retry", Retry_ReasonName(d.reason),
           Why_FromRetry(&d.inputs));
    return d.allowed && r->try_count < TRIES_MAX;
}

/* Sends a second try beside the first, whose answer is late. Whichever ends
 * first is the answer; the other is withdrawn. */
static void
hedge(struct request *r)
{
    struct route_decision d;

    r->hedged = true;
    if (!may_retry(r, RETRY_HEDGE, true)) {
        return;
    }
    d = pick(r);
    if (d.handle != ROUTE_NONE) {
        Counter_Add(&hedges_total, 1);
        start_try(r, &d);
    }
}

/* Puts a request back to the head of its queue, to be sent elsewhere. */
static void
requeue(struct request *r)
{
    struct service *s = r->service;

    ev_timer_stop(r->dispatch->task.kernel->loop, &r->timer);
    r->state = REQUEST_QUEUED;
    if (Admission_Return(s->admission, &r->id, Clock_NowMs()) != ERR_OK) {
        Fatal("a request that was out is not on the account of admission");
    }
    Dispatch_PumpSoon(r->dispatch, s);
}

/* An attempt is over and did not run. Unless another one is out, the request
 * goes elsewhere or ends as not run; but where an earlier attempt may have
 * run, the outcome is unknown. */
static void
after_not_run(struct request *r, enum retry_cause cause, const char *reason,
              int64_t retry_after_ms)
{
    bool may_have_run = any_may_have_run(r);

    if (any_out(r)) {
        set_timer(r);
        return;
    }
    if (may_retry(r, cause, may_have_run)) {
        requeue(r);
        return;
    }
    if (may_have_run) {
        Request_ReplyUnknown(r, reason);
        return;
    }
    Request_ReplyNotRun(r, 503, reason, "no upstream took it", retry_after_ms);
}

/* An attempt is over and may have run. Only a request that may be repeated
 * is sent again; another gets its final answer at once. */
static void
after_unknown(struct request *r, const char *reason)
{
    if (any_out(r)) {
        set_timer(r);
        return;
    }
    if (may_retry(r, RETRY_FAILED, true)) {
        requeue(r);
        return;
    }
    Request_ReplyUnknown(r, reason);
}

/* The last try's claim is in the row, so it may be sent, unless its agent
 * has restarted meanwhile. */
void
Request_Claimed(struct request *r)
{
    struct try *t = &r->tries[r->try_count - 1];
    struct server *s = Dispatch_FindServer(r->dispatch, t->agent);

    if (s == NULL || s->facts.incarnation != t->incarnation) {
        Request_Unsend(r);
        after_not_run(r, RETRY_REFUSED, "agent_restarted", REFUSED_RETRY_MS);
        return;
    }
    t->sent_at = Clock_NowMs();
    send_try(r, t, s);
    set_timer(r);
}

/* An agent has taken the request or refused it before anything started. */
void
Request_Taken(struct request *r, const struct wire_taken *m)
{
    struct try *t = find_try(r, m->attempt);

    if (t == NULL || t->state == TRY_OVER) {
        return;
    }
    record(r, m->taken ? "taken" : "refused_by_agent", m->reason,
           try_inputs(t));
    if (m->taken) {
        t->state = TRY_TAKEN;
        set_timer(r);
        return;
    }
    t->may_run = false;
    settle(r, t, ROUTE_REFUSED);
    after_not_run(r, RETRY_REFUSED, m->reason, m->retry_after_ms);
}

/* True when an answer says by its status that the upstream failed. */
static bool
is_failure(const struct wire_answer *m)
{
    return m->status >= 500;
}

/* The upstream's whole answer. A failure of a repeatable request may be
 * tried elsewhere; all else goes to the caller as it is. */
static void
take_whole(struct request *r, struct try *t, struct wire_answer *m)
{
    int64_t now = Clock_NowMs();
    bool failed = is_failure(m);

    settle(r, t, failed ? ROUTE_FAILED : ROUTE_OK);
    if (failed && r->repeatable) {
        if (any_out(r) || r->state == REQUEST_QUEUED) {
            return;
        }
        if (may_retry(r, RETRY_FAILED, true)) {
            requeue(r);
            return;
        }
    }
    if (!failed) {
        Retry_Success(r->service->retry, now - t->sent_at, now);
    }
    withdraw_all(r);
    Admission_Finished(r->service->admission, &r->id, m->service_ms, !failed,
                       now);
    Request_ReplyAnswer(r, m);
}

/* An attempt has ended. Answers are matched by request and attempt; a late
 * answer of an earlier attempt is an answer to the same request. */
void
Request_Answer(struct request *r, struct wire_answer *m)
{
    struct try *t = find_try(r, m->attempt);

    if (t == NULL) {
        return;
    }
    if (m->kind == ANSWER_WHOLE) {
        take_whole(r, t, m);
        return;
    }
    if (t->state == TRY_OVER) {
        return;
    }
    settle(r, t, ROUTE_FAILED);
    if (m->kind == ANSWER_NOT_RUN) {
        t->may_run = false;
        after_not_run(r, RETRY_FAILED, m->reason, REFUSED_RETRY_MS);
        return;
    }
    after_unknown(r, m->reason);
}

/* Word of an agent's verdict on a withdraw. */
const char *
Request_WithdrawName(uint64_t verdict)
{
    static const char *const names[] = {[WITHDRAW_NOT_STARTED] = "not_started",
                                        [WITHDRAW_STARTED] = "started",
                                        [WITHDRAW_STRANGER] =
                                            "incarnation_gone"};

    return verdict < COUNT_OF(names) ? names[verdict] : "unnamed";
}

/* The agent says whether a withdrawn attempt had started. */
void
Request_Withdrawn(struct request *r, const struct wire_withdrawn *m)
{
    struct try *t = find_try(r, m->attempt);

    if (t == NULL || t->state == TRY_OVER) {
        return;
    }
    record(r, "withdrawn", Request_WithdrawName(m->verdict), try_inputs(t));
    if (m->verdict == WITHDRAW_STARTED) {
        t->state = TRY_TAKEN;
        set_timer(r);
        return;
    }
    settle(r, t, ROUTE_FAILED);
    if (m->verdict == WITHDRAW_NOT_STARTED) {
        t->may_run = false;
        after_not_run(r, RETRY_REFUSED, "withdrawn", REFUSED_RETRY_MS);
        return;
    }
    after_unknown(r, "agent_restarted");
}

/* A dispatch that no link took has not been sent. */
void
Request_Undelivered(struct request *r, enum wire_type type, uint64_t attempt)
{
    struct try *t = find_try(r, attempt);

    if (type != WIRE_DISPATCH || t == NULL || t->state == TRY_OVER) {
        return;
    }
    t->may_run = false;
    settle(r, t, ROUTE_FAILED);
    after_not_run(r, RETRY_REFUSED, "unreachable", REFUSED_RETRY_MS);
}

/* Messages on the old connection may be lost, a taken, an answer or our own
 * dispatch among them: asks the agent how each attempt stands. */
void
Request_Resync(struct request *r, const char *agent)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        struct try *t = &r->tries[i];

        if (t->state != TRY_OVER && strcmp(t->agent, agent) == 0) {
            withdraw(r, t);
        }
    }
    if (r->state == REQUEST_OUT) {
        set_timer(r);
    }
}

/* The process that had the attempt is no more, and its record with it. The
 * upstream may have run it, or may still run it. */
void
Request_AgentLost(struct request *r, const char *agent, uint64_t incarnation)
{
    bool lost = false;
    int i;

    for (i = 0; i < r->try_count; i++) {
        struct try *t = &r->tries[i];

        if (t->state != TRY_OVER && t->incarnation != incarnation &&
            strcmp(t->agent, agent) == 0) {
            settle(r, t, ROUTE_FAILED);
            lost = true;
        }
    }
    if (lost) {
        after_unknown(r, "agent_restarted");
    }
}

/* A repeatable request need not wait for a silent agent. The attempt there
 * stays out, so that its answer still counts if it comes first. */
void
Request_AgentSilent(struct request *r, const char *agent)
{
    struct try *last = &r->tries[r->try_count - 1];

    if (r->state != REQUEST_OUT || !r->repeatable || last->state == TRY_OVER ||
        strcmp(last->agent, agent) != 0) {
        return;
    }
    if (may_retry(r, RETRY_FAILED, true)) {
        settle(r, last, ROUTE_FAILED);
        requeue(r);
    }
}

/* The caller of a keyed request is told, but its answer may still come: it is
 * awaited for as long as agents keep it, so that a repetition finds it. */
static void
tell_and_wait(struct request *r)
{
    Request_TellUnknown(r, "deadline");
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, AFTER_MS);
}

/* Final answer at the deadline: with no word from an agent nobody can say
 * that the request has not run. What may still be unstarted is withdrawn. */
static void
give_up(struct request *r)
{
    bool may_have_run = any_may_have_run(r);

    withdraw_all(r);
    if (may_have_run && r->claim != NULL && r->claim->stage == STAGE_OWN) {
        tell_and_wait(r);
        return;
    }
    if (may_have_run) {
        Request_ReplyUnknown(r, "deadline");
        return;
    }
    Request_ReplyNotRun(r, 503, "deadline", "", REFUSED_RETRY_MS);
}

/* The request's timer: no word on a dispatch, no word on a withdraw, or the
 * deadline. */
void
Request_Timer(struct request *r)
{
    int64_t now = Clock_NowMs();
    int i;

    if (r->state == REQUEST_CLAIM) {
        Claims_Timer(r);
        return;
    }
    if (r->ex == NULL) {
        Dispatch_Drop(r->dispatch, r);
        return;
    }
    if (now >= r->deadline_at + LATE_MS) {
        give_up(r);
        return;
    }
    if (hedge_at(r) >= 0 && now >= hedge_at(r)) {
        hedge(r);
    }
    for (i = 0; i < r->try_count; i++) {
        struct try *t = &r->tries[i];

        if (t->state == TRY_ASKING ||
            (t->state == TRY_SENT && now >= t->sent_at + ACCEPT_MS)) {
            withdraw(r, t);
        }
    }
    set_timer(r);
}

/* A queued request that can't be answered in time any more is refused at
 * once, unless an earlier attempt may have run. */
void
Request_Expire(struct request *r, const struct admission_decision *why)
{
    if (any_may_have_run(r)) {
        Request_ReplyUnknown(r, Admission_ReasonName(why->reason));
        return;
    }
    Request_ReplyNotRun(r, 503, Admission_ReasonName(why->reason),
                        "the deadline can't be met any more",
                        why->retry_after_ms);
}
