#include "entry-dispatch.h"

#include <string.h>

/* Sent to callers as the time to retry when no upstream took their request. */
#define REFUSED_RETRY_MS 250

static struct counter hedges_total = {"parsleyfall_hedges_total",
                                      "Second attempts beside a late one.",
                                      NULL, COUNTER_TOTAL};

/* Records the upstream that a request is sent to, or why it is sent to none.
 */
static void
record_route(const struct request *r, const struct route_decision *d,
             const char *agent)
{
    json_t *inputs = d->judged ? Why_PackRoute(&d->inputs) : json_object();

    if (agent != NULL) {
        json_object_set_new(inputs, "agent", json_string(agent));
        json_object_set_new(
            inputs, "attempt",
            json_integer((json_int_t)r->attempt_base + r->attempt_count + 1));
    }
    Request_Record(r, agent != NULL ? "sent" : "not_sent",
                   Route_ReasonName(d->reason), inputs);
}

/* Picks an upstream that was not tried. When all were tried and no attempt is
 * open, picks one where the request is known not to have run: attempts are
 * bounded, so a service with one upstream need not fail a request for a
 * refusal that may be over by now. Upstreams where it may have run are
 * excluded, as sending it there would repeat work without a token of the retry
 * budget. */
static struct route_decision
pick_upstream(const struct request *r)
{
    int avoid[REQUEST_ATTEMPTS_MAX];
    struct route_request want = {
        .domain = r->dispatch->settings->failure_domain,
        .expected_ms = r->cost_ms,
        .repeatable = r->repeatable,
        .avoid = avoid,
        .avoid_count = Attempt_Handles(r, avoid),
    };

    struct route_decision d =
        Route_Pick(r->service->route, &want, Clock_NowMs(), Id_Random64());

    if (d.reason != ROUTE_NONE_UNTRIED || Attempt_AnyOpen(r)) {
        return d;
    }
    want.avoid_count = Attempt_HandlesMayHaveRun(r, avoid);
    return Route_Pick(r->service->route, &want, Clock_NowMs(), Id_Random64());
}

/* Starts an attempt at the picked upstream. It is sent at once, or for a keyed
 * request when its claim has been written. */
static void
start_attempt(struct request *r, const struct route_decision *d)
{
    struct route *route = r->service->route;
    const char *name = Route_Name(route, d->handle);
    struct dispatch_agent *agent = Dispatch_FindAgent(r->dispatch, name);
    int64_t now = Clock_NowMs();
    struct request_attempt *a;

    if (agent == NULL) {
        Fatal("route names an unknown agent: %s", name);
    }
    record_route(r, d, name);
    a = Attempt_New(r, d->handle, agent, now);
    r->state = REQUEST_DISPATCHED;
    Route_Sent(route, d->handle, now);
    if (r->claim != NULL && r->claim->stage != STAGE_DONE) {
        Claims_WriteClaim(r, a);
        return;
    }
    Attempt_Send(r, a, agent);
    Request_SetTimer(r);
}

/* Ends a request that will not be sent any more. The outcome is not_run only
 * when no attempt may have run: an earlier attempt may have started and lost
 * its answer before the last one was refused, and a caller that receives
 * not_run has the work done a second time. */
static void
end_unsent(struct request *r, const char *reason, const char *detail,
           int64_t retry_after_ms)
{
    if (Attempt_AnyMayHaveRun(r)) {
        Request_ReplyUnknown(r, reason);
        return;
    }
    Request_ReplyNotRun(r, 503, reason, detail, retry_after_ms);
}

/* Picks an upstream and sends the request there. */
int
Request_Send(struct request *r)
{
    struct route_decision d = pick_upstream(r);

    if (d.handle == ROUTE_NONE && d.reason == ROUTE_NONE_FREE) {
        return ERR_BUSY;
    }
    if (d.handle == ROUTE_NONE) {
        record_route(r, &d, NULL);
        end_unsent(r, Route_ReasonName(d.reason), "", REFUSED_RETRY_MS);
        return ERR_OK;
    }
    start_attempt(r, &d);
    return ERR_OK;
}

/* Ends the last attempt, which was never sent, without a result for its
 * upstream. */
void
Request_CancelUnsent(struct request *r)
{
    struct request_attempt *a = &r->attempts[r->attempt_count - 1];

    a->may_have_run = false;
    Attempt_End(r, a, ROUTE_WITHDRAWN);
}

/* Collects the inputs of a retry decision for the request as it stands. */
static struct retry_facts
retry_facts(const struct request *r, enum retry_cause cause, bool started)
{
    return (struct retry_facts){
        .cause = cause,
        .repeatable = r->repeatable,
        .started = started,
        .attempts = r->attempt_count,
        .sent_at = r->attempts[r->attempt_count - 1].sent_at,
        .deadline_at = r->deadline_at,
        .expected_ms = r->cost_ms,
    };
}

/* Decides whether the request may be sent once more, and records why. */
static bool
may_retry(struct request *r, enum retry_cause cause, bool started)
{
    struct retry_facts facts = retry_facts(r, cause, started);
    struct retry_decision d =
        Retry_Request(r->service->retry, &facts, Clock_NowMs());
    char hex[ID_HEX_SIZE];

    LOG_I("retry", KV("request", Id_Hex(&r->id, hex)),
          KV("reason", Retry_ReasonName(d.reason)),
          KV_INT("allowed", d.allowed));
    Request_Record(r, d.allowed ? "retry" : "no_retry",
                   Retry_ReasonName(d.reason), Why_PackRetry(&d.inputs));
    return d.allowed && r->attempt_count < REQUEST_ATTEMPTS_MAX;
}

/* Sends a second attempt when the answer of the first is late. The first
 * answer to arrive is used and the other attempt is withdrawn. */
static void
hedge(struct request *r)
{
    struct route_decision d;

    r->hedged = true;
    if (!may_retry(r, RETRY_HEDGE, true)) {
        return;
    }
    d = pick_upstream(r);
    if (d.handle != ROUTE_NONE) {
        Counter_Add(&hedges_total, 1);
        start_attempt(r, &d);
    }
}

/* Returns a request to the head of its queue, to be sent to another upstream.
 */
static void
requeue(struct request *r)
{
    struct service *s = r->service;

    ev_timer_stop(r->dispatch->task.kernel->loop, &r->timer);
    r->state = REQUEST_QUEUED;
    if (Admission_Return(s->admission, &r->id, Clock_NowMs()) != ERR_OK) {
        Fatal("a dispatched request is not known to admission");
    }
    Dispatch_PumpSoon(r->dispatch, s);
}

/* Continues after an attempt that ended without running. Unless another
 * attempt is open, the request is retried or ends as not_run; it ends as
 * unknown when an earlier attempt may have run. */
static void
after_not_run(struct request *r, enum retry_cause cause, const char *reason,
              int64_t retry_after_ms)
{
    bool may_have_run = Attempt_AnyMayHaveRun(r);

    if (Attempt_AnyOpen(r)) {
        Request_SetTimer(r);
        return;
    }
    if (may_retry(r, cause, may_have_run)) {
        requeue(r);
        return;
    }
    end_unsent(r, reason, "no upstream took it", retry_after_ms);
}

/* Continues after an attempt that ended and may have run. A repeatable request
 * is retried; any other gets its final reply at once. */
static void
after_unknown(struct request *r, const char *reason)
{
    if (Attempt_AnyOpen(r)) {
        Request_SetTimer(r);
        return;
    }
    if (may_retry(r, RETRY_FAILED, true)) {
        requeue(r);
        return;
    }
    Request_ReplyUnknown(r, reason);
}

/* Sends the last attempt, whose claim is now in the row, unless its agent has
 * restarted meanwhile. */
void
Request_Claimed(struct request *r)
{
    struct request_attempt *a = &r->attempts[r->attempt_count - 1];
    struct dispatch_agent *agent = Dispatch_FindAgent(r->dispatch, a->agent);

    if (agent == NULL || agent->facts.incarnation != a->incarnation) {
        Request_CancelUnsent(r);
        after_not_run(r, RETRY_REFUSED, "agent_restarted", REFUSED_RETRY_MS);
        return;
    }
    a->sent_at = Clock_NowMs();
    Attempt_Send(r, a, agent);
    Request_SetTimer(r);
}

/* Handles an agent's taken message: the dispatch was accepted, or refused
 * before anything started. Every refusal proves that the attempt has not
 * started, even one from another incarnation or after not_after: a dispatch is
 * passed to one link once and links never resend, so the refused copy was the
 * only one. */
void
Request_Taken(struct request *r, const struct wire_taken *m)
{
    struct request_attempt *a = Attempt_Find(r, m->attempt);

    if (a == NULL || a->state == ATTEMPT_ENDED) {
        return;
    }
    Request_Record(r, m->taken ? "taken" : "refused_by_agent", m->reason,
                   Attempt_Inputs(a));
    if (m->taken) {
        a->state = ATTEMPT_TAKEN;
        Request_SetTimer(r);
        return;
    }
    a->may_have_run = false;
    Attempt_End(r, a, ROUTE_REFUSED);
    after_not_run(r, RETRY_REFUSED, m->reason, m->retry_after_ms);
}

/* True when the status of an answer means that the upstream failed. */
static bool
is_failure(const struct wire_answer *m)
{
    return m->status >= 500;
}

/* Handles a complete answer of an upstream. A failed repeatable request may be
 * retried elsewhere; any other answer goes to the caller unchanged. */
static void
handle_whole_answer(struct request *r, struct request_attempt *a,
                    struct wire_answer *m)
{
    int64_t now = Clock_NowMs();
    bool failed = is_failure(m);

    Attempt_End(r, a, failed ? ROUTE_FAILED : ROUTE_OK);
    if (failed && r->repeatable) {
        if (Attempt_AnyOpen(r) || r->state == REQUEST_QUEUED) {
            return;
        }
        if (may_retry(r, RETRY_FAILED, true)) {
            requeue(r);
            return;
        }
    }
    if (!failed) {
        Retry_Success(r->service->retry, now - a->sent_at, now);
    }
    Attempt_WithdrawAll(r);
    Admission_Finished(r->service->admission, &r->id, m->service_ms, !failed,
                       now);
    Request_ReplyAnswer(r, m);
}

/* Handles an answer, which ends its attempt. Answers are matched by request
 * and attempt; a late answer of an earlier attempt still answers the request.
 */
void
Request_Answer(struct request *r, struct wire_answer *m)
{
    struct request_attempt *a = Attempt_Find(r, m->attempt);

    if (a == NULL) {
        return;
    }
    if (m->kind == ANSWER_COMPLETE) {
        handle_whole_answer(r, a, m);
        return;
    }
    if (a->state == ATTEMPT_ENDED) {
        return;
    }
    Attempt_End(r, a, ROUTE_FAILED);
    if (m->kind == ANSWER_NOT_RUN) {
        a->may_have_run = false;
        after_not_run(r, RETRY_FAILED, m->reason, REFUSED_RETRY_MS);
        return;
    }
    after_unknown(r, m->reason);
}

/* Returns the name of an agent's verdict on a withdraw, as recorded in why. */
const char *
Request_VerdictName(uint64_t verdict)
{
    static const char *const names[] = {[WITHDRAW_NOT_STARTED] = "not_started",
                                        [WITHDRAW_STARTED] = "started",
                                        [WITHDRAW_OTHER_INCARNATION] =
                                            "incarnation_gone"};

    return verdict < COUNT_OF(names) ? names[verdict] : "unnamed";
}

/* Handles an agent's verdict on a withdraw: whether the attempt had started.
 */
void
Request_Withdrawn(struct request *r, const struct wire_withdrawn *m)
{
    struct request_attempt *a = Attempt_Find(r, m->attempt);

    if (a == NULL || a->state == ATTEMPT_ENDED) {
        return;
    }
    Request_Record(r, "withdrawn", Request_VerdictName(m->verdict),
                   Attempt_Inputs(a));
    if (m->verdict == WITHDRAW_STARTED) {
        a->state = ATTEMPT_TAKEN;
        Request_SetTimer(r);
        return;
    }
    Attempt_End(r, a, ROUTE_FAILED);
    if (m->verdict == WITHDRAW_NOT_STARTED) {
        a->may_have_run = false;
        after_not_run(r, RETRY_REFUSED, "withdrawn", REFUSED_RETRY_MS);
        return;
    }
    after_unknown(r, "agent_restarted");
}

/* Handles a dispatch that was not sent because no link accepted it. */
void
Request_Undelivered(struct request *r, enum wire_type type, uint64_t attempt)
{
    struct request_attempt *a = Attempt_Find(r, attempt);

    if (type != WIRE_DISPATCH || a == NULL || a->state == ATTEMPT_ENDED) {
        return;
    }
    a->may_have_run = false;
    Attempt_End(r, a, ROUTE_FAILED);
    after_not_run(r, RETRY_REFUSED, "unreachable", REFUSED_RETRY_MS);
}

/* Sends the agent a withdraw for each open attempt there, to learn how it
 * stands. Messages on the previous connection may be lost, among them a taken,
 * an answer or this entry's dispatch. */
void
Request_Resync(struct request *r, const char *agent)
{
    int i;

    for (i = 0; i < r->attempt_count; i++) {
        struct request_attempt *a = &r->attempts[i];

        if (a->state != ATTEMPT_ENDED && strcmp(a->agent, agent) == 0) {
            Attempt_Withdraw(r, a);
        }
    }
    if (r->state == REQUEST_DISPATCHED) {
        Request_SetTimer(r);
    }
}

/* Ends attempts whose agent process is gone together with its records. The
 * upstream may have run them or may still be running them. */
void
Request_AgentLost(struct request *r, const char *agent, uint64_t incarnation)
{
    bool lost = false;
    int i;

    for (i = 0; i < r->attempt_count; i++) {
        struct request_attempt *a = &r->attempts[i];

        if (a->state != ATTEMPT_ENDED && a->incarnation != incarnation &&
            strcmp(a->agent, agent) == 0) {
            Attempt_End(r, a, ROUTE_FAILED);
            lost = true;
        }
    }
    if (lost) {
        after_unknown(r, "agent_restarted");
    }
}

/* Retries a repeatable request when its agent has become silent. The answer of
 * the attempt there is still used if it arrives first. */
void
Request_AgentSilent(struct request *r, const char *agent)
{
    struct request_attempt *last = &r->attempts[r->attempt_count - 1];

    if (r->state != REQUEST_DISPATCHED || !r->repeatable ||
        last->state == ATTEMPT_ENDED || strcmp(last->agent, agent) != 0) {
        return;
    }
    if (may_retry(r, RETRY_FAILED, true)) {
        Attempt_End(r, last, ROUTE_FAILED);
        requeue(r);
    }
}

/* Replies unknown to the caller of a keyed request and keeps waiting for the
 * answer for as long as agents keep it, so that a repetition of the request
 * finds it in the row. */
static void
reply_and_await_answer(struct request *r)
{
    Request_ReplyUnknownEarly(r, "deadline");
    Admission_Finished(r->service->admission, &r->id, 0, false, Clock_NowMs());
    Dispatch_PumpSoon(r->dispatch, r->service);
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, ANSWER_KEPT_MS);
}

/* Sends the final reply at the deadline. Without a message from the agent the
 * request may have run. Attempts that may not have started are withdrawn. */
static void
end_at_deadline(struct request *r)
{
    bool may_have_run = Attempt_AnyMayHaveRun(r);

    Attempt_WithdrawAll(r);
    if (may_have_run && r->claim != NULL && r->claim->stage == STAGE_CLAIMED) {
        reply_and_await_answer(r);
        return;
    }
    end_unsent(r, "deadline", "", REFUSED_RETRY_MS);
}

/* Handles the request's timer: a dispatch or a withdraw without a reply, a
 * hedge that is due, or the deadline. */
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
    if (now >= r->deadline_at + ANSWER_GRACE_MS) {
        end_at_deadline(r);
        return;
    }
    if (Request_HedgeAt(r) >= 0 && now >= Request_HedgeAt(r)) {
        hedge(r);
    }
    for (i = 0; i < r->attempt_count; i++) {
        struct request_attempt *a = &r->attempts[i];

        if (a->state == ATTEMPT_WITHDRAWING ||
            (a->state == ATTEMPT_SENT &&
             now >= a->sent_at + ACCEPT_TIMEOUT_MS)) {
            Attempt_Withdraw(r, a);
        }
    }
    Request_SetTimer(r);
}

/* Refuses a queued request as soon as it can't be answered in time any more.
 */
void
Request_Expire(struct request *r, const struct admission_decision *why)
{
    end_unsent(r, Admission_ReasonName(why->reason),
               "the deadline can't be met any more", why->retry_after_ms);
}
