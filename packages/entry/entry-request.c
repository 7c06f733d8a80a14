#include "entry-dispatch.h"

#include <string.h>

#define REFUSED_RETRY_MS 250

static struct counter hedges_total = {"parsleyfall_hedges_total",
                                      "Second attempts beside a late one.",
                                      NULL, COUNTER_TOTAL};

/* Records where the request goes, or why nowhere. */
static void
record_route(const struct request *r, const struct route_decision *d,
             const char *agent)
{
    json_t *inputs = d->judged ? Why_PackRoute(&d->inputs) : json_object();

    if (agent != NULL) {
        json_object_set_new(inputs, "agent", json_string(agent));
        json_object_set_new(
            inputs, "attempt",
            json_integer((json_int_t)r->attempt_base + r->try_count + 1));
    }
    Request_Record(r, agent != NULL ? "sent" : "not_sent",
                   Route_ReasonName(d->reason), inputs);
}

/* Picks an upstream that was not tried; when all were, and none of them has
 * the request now, one where it did not run. Attempts are bounded, so a
 * service of one upstream need not refuse for a refusal that may be over. One
 * where it may have run is left out: that would repeat work for no token of
 * the retry budget. */
static struct route_decision
pick(const struct request *r)
{
    int avoid[TRIES_MAX];
    struct route_request want = {
        .domain = r->dispatch->settings->failure_domain,
        .expected_ms = r->cost_ms,
        .repeatable = r->repeatable,
        .avoid = avoid,
        .avoid_count = Try_Handles(r, avoid),
    };

    struct route_decision d =
        Route_Pick(r->service->route, &want, Clock_NowMs(), Id_Random64());

    if (d.reason != ROUTE_NONE_UNTRIED || Try_AnyOut(r)) {
        return d;
    }
    want.avoid_count = Try_HandlesThatMayHaveRun(r, avoid);
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
    t = Try_New(r, d->handle, s, now);
    r->state = REQUEST_OUT;
    Route_Sent(route, d->handle, now);
    if (r->claim != NULL && r->claim->stage != STAGE_ANSWERED) {
        Claims_Write(r, t);
        return;
    }
    Try_Send(r, t, s);
    Request_SetTimer(r);
}

/* The end of a request that will not be sent any more. It is told as not run
 * only when no attempt may have run: an earlier one may have started and lost
 * its answer before the last was refused, and its caller, told not_run, would
 * have the work done a second time. */
static void
end_unsent(struct request *r, const char *reason, const char *detail,
           int64_t retry_after_ms)
{
    if (Try_AnyMayHaveRun(r)) {
        Request_ReplyUnknown(r, reason);
        return;
    }
    Request_ReplyNotRun(r, 503, reason, detail, retry_after_ms);
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
        end_unsent(r, Route_ReasonName(d.reason), "", REFUSED_RETRY_MS);
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
    Try_Settle(r, t, ROUTE_WITHDRAWN);
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
    Request_Record(r, d.allowed ? "retry" : "no_retry",
                   Retry_ReasonName(d.reason), Why_PackRetry(&d.inputs));
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
    bool may_have_run = Try_AnyMayHaveRun(r);

    if (Try_AnyOut(r)) {
        Request_SetTimer(r);
        return;
    }
    if (may_retry(r, cause, may_have_run)) {
        requeue(r);
        return;
    }
    end_unsent(r, reason, "no upstream took it", retry_after_ms);
}

/* An attempt is over and may have run. Only a request that may be repeated
 * is sent again; another gets its final answer at once. */
static void
after_unknown(struct request *r, const char *reason)
{
    if (Try_AnyOut(r)) {
        Request_SetTimer(r);
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
    Try_Send(r, t, s);
    Request_SetTimer(r);
}

/* An agent has taken the request or refused it before anything started. Every
 * refusal is a proof that it has not started, also one by another incarnation
 * or after not_after: a dispatch is handed to one link once, links repeat
 * nothing, so what was refused was the only copy. */
void
Request_Taken(struct request *r, const struct wire_taken *m)
{
    struct try *t = Try_Find(r, m->attempt);

    if (t == NULL || t->state == TRY_OVER) {
        return;
    }
    Request_Record(r, m->taken ? "taken" : "refused_by_agent", m->reason,
                   Try_Inputs(t));
    if (m->taken) {
        t->state = TRY_TAKEN;
        Request_SetTimer(r);
        return;
    }
    t->may_run = false;
    Try_Settle(r, t, ROUTE_REFUSED);
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

    Try_Settle(r, t, failed ? ROUTE_FAILED : ROUTE_OK);
    if (failed && r->repeatable) {
        if (Try_AnyOut(r) || r->state == REQUEST_QUEUED) {
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
    Try_WithdrawAll(r);
    Admission_Finished(r->service->admission, &r->id, m->service_ms, !failed,
                       now);
    Request_ReplyAnswer(r, m);
}

/* An attempt has ended. Answers are matched by request and attempt; a late
 * answer of an earlier attempt is an answer to the same request. */
void
Request_Answer(struct request *r, struct wire_answer *m)
{
    struct try *t = Try_Find(r, m->attempt);

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
    Try_Settle(r, t, ROUTE_FAILED);
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
    struct try *t = Try_Find(r, m->attempt);

    if (t == NULL || t->state == TRY_OVER) {
        return;
    }
    Request_Record(r, "withdrawn", Request_WithdrawName(m->verdict),
                   Try_Inputs(t));
    if (m->verdict == WITHDRAW_STARTED) {
        t->state = TRY_TAKEN;
        Request_SetTimer(r);
        return;
    }
    Try_Settle(r, t, ROUTE_FAILED);
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
    struct try *t = Try_Find(r, attempt);

    if (type != WIRE_DISPATCH || t == NULL || t->state == TRY_OVER) {
        return;
    }
    t->may_run = false;
    Try_Settle(r, t, ROUTE_FAILED);
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
            Try_Withdraw(r, t);
        }
    }
    if (r->state == REQUEST_OUT) {
        Request_SetTimer(r);
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
            Try_Settle(r, t, ROUTE_FAILED);
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
        Try_Settle(r, last, ROUTE_FAILED);
        requeue(r);
    }
}

/* The caller of a keyed request is told, but its answer may still come: it is
 * awaited for as long as agents keep it, so that a repetition finds it. */
static void
tell_and_wait(struct request *r)
{
    Request_TellUnknown(r, "deadline");
    Admission_Finished(r->service->admission, &r->id, 0, false, Clock_NowMs());
    Dispatch_PumpSoon(r->dispatch, r->service);
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, CLAIM_AFTER_MS);
}

/* Final answer at the deadline: with no word from an agent nobody can say
 * that the request has not run. What may still be unstarted is withdrawn. */
static void
give_up(struct request *r)
{
    bool may_have_run = Try_AnyMayHaveRun(r);

    Try_WithdrawAll(r);
    if (may_have_run && r->claim != NULL && r->claim->stage == STAGE_OWN) {
        tell_and_wait(r);
        return;
    }
    end_unsent(r, "deadline", "", REFUSED_RETRY_MS);
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
    if (Request_HedgeAt(r) >= 0 && now >= Request_HedgeAt(r)) {
        hedge(r);
    }
    for (i = 0; i < r->try_count; i++) {
        struct try *t = &r->tries[i];

        if (t->state == TRY_ASKING ||
            (t->state == TRY_SENT && now >= t->sent_at + ACCEPT_MS)) {
            Try_Withdraw(r, t);
        }
    }
    Request_SetTimer(r);
}

/* A queued request that can't be answered in time any more is refused at
 * once. */
void
Request_Expire(struct request *r, const struct admission_decision *why)
{
    end_unsent(r, Admission_ReasonName(why->reason),
               "the deadline can't be met any more", why->retry_after_ms);
}
