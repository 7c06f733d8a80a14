#include "entry-dispatch.h"

#include <string.h>

/* An attempt of a request without a key may start within this time after it
 * was sent. */
#define START_WITHIN_MS 20000
/* A withdraw without a verdict is sent again after this time. */
#define WITHDRAW_RESEND_MS 500

/* Records a decision on the request with its inputs, which may be NULL. */
void
Request_Record(const struct request *r, const char *decision,
               const char *reason, json_t *inputs)
{
    Why_Record(r->dispatch->task.kernel, &r->id, decision, reason, inputs);
}

/* Returns the inputs that are recorded with an agent's message about an
 * attempt. */
json_t *
Attempt_Inputs(const struct request_attempt *a)
{
    return json_pack("{s:I, s:s, s:I}", "attempt", (json_int_t)a->number,
                     "agent", a->agent, "not_after", (json_int_t)a->not_after);
}

/* Ends an attempt and reports its outcome to the route. */
void
Attempt_End(struct request *r, struct request_attempt *a,
            enum route_outcome outcome)
{
    int64_t now = Clock_NowMs();

    if (a->state == ATTEMPT_ENDED) {
        return;
    }
    a->state = ATTEMPT_ENDED;
    Route_Settled(r->service->route, a->handle, outcome, now - a->sent_at,
                  r->cost_ms, now);
}

/* Returns the attempt of that number, or NULL. */
struct request_attempt *
Attempt_Find(struct request *r, uint64_t number)
{
    int i;

    for (i = 0; i < r->attempt_count; i++) {
        if (r->attempts[i].number == number) {
            return &r->attempts[i];
        }
    }
    return NULL;
}

/* True when an attempt has not ended. */
bool
Attempt_AnyOpen(const struct request *r)
{
    int i;

    for (i = 0; i < r->attempt_count; i++) {
        if (r->attempts[i].state != ATTEMPT_ENDED) {
            return true;
        }
    }
    return false;
}

/* True when any attempt may have run. */
bool
Attempt_AnyMayHaveRun(const struct request *r)
{
    int i;

    for (i = 0; i < r->attempt_count; i++) {
        if (r->attempts[i].may_have_run) {
            return true;
        }
    }
    return false;
}

/* Returns when a hedge is due, which is when the answer of the only attempt is
 * late; -1: never. */
int64_t
Request_HedgeAt(const struct request *r)
{
    int64_t after = Retry_HedgeAfterMs(r->service->retry);
    const struct request_attempt *a = &r->attempts[0];

    if (!r->repeatable || r->hedged || after < 0 || r->attempt_count != 1 ||
        a->state == ATTEMPT_ENDED) {
        return -1;
    }
    return a->sent_at + after;
}

/* Sets the request's timer to the next event that is due. */
void
Request_SetTimer(struct request *r)
{
    int64_t now = Clock_NowMs();
    int64_t due = r->deadline_at + ANSWER_GRACE_MS;
    int64_t hedge = Request_HedgeAt(r);
    int i;

    if (hedge >= 0 && hedge < due) {
        due = hedge;
    }

    for (i = 0; i < r->attempt_count; i++) {
        const struct request_attempt *a = &r->attempts[i];
        int64_t at = a->sent_at + ACCEPT_TIMEOUT_MS;

        if (a->state == ATTEMPT_WITHDRAWING) {
            at = now + WITHDRAW_RESEND_MS;
        }
        if ((a->state == ATTEMPT_SENT || a->state == ATTEMPT_WITHDRAWING) &&
            at < due) {
            due = at;
        }
    }
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer,
              due > now ? due - now : 0);
}

/* Sends a withdraw, which asks the agent not to start the attempt. */
void
Attempt_Withdraw(struct request *r, struct request_attempt *a)
{
    struct dispatch_agent *agent = Dispatch_FindAgent(r->dispatch, a->agent);
    struct wire_withdraw *m;

    if (a->state == ATTEMPT_SENT) {
        a->state = ATTEMPT_WITHDRAWING;
        Request_Record(r, "withdraw", "asked", Attempt_Inputs(a));
    }
    if (agent == NULL) {
        return;
    }
    m = Wire_New(WIRE_WITHDRAW);
    m->request = r->id;
    m->attempt = a->number;
    m->incarnation = a->incarnation;
    m->not_after = a->not_after;
    Entry_SendToAgent(&r->dispatch->task, &agent->facts.peer, &m->msg, false);
}

/* Withdraws the attempts that have not ended, when the caller gets its final
 * reply. */
void
Attempt_WithdrawAll(struct request *r)
{
    int i;

    for (i = 0; i < r->attempt_count; i++) {
        if (r->attempts[i].state != ATTEMPT_ENDED) {
            Attempt_Withdraw(r, &r->attempts[i]);
            Attempt_End(r, &r->attempts[i], ROUTE_WITHDRAWN);
        }
    }
}

/* Lists the handles of the upstreams that were tried, which routing avoids. */
int
Attempt_Handles(const struct request *r, int *handles)
{
    int i;

    for (i = 0; i < r->attempt_count; i++) {
        handles[i] = r->attempts[i].handle;
    }
    return r->attempt_count;
}

/* Lists the handles of the upstreams where the request may have run. */
int
Attempt_HandlesMayHaveRun(const struct request *r, int *handles)
{
    int i, n = 0;

    for (i = 0; i < r->attempt_count; i++) {
        if (r->attempts[i].may_have_run) {
            handles[n++] = r->attempts[i].handle;
        }
    }
    return n;
}

/* Returns the latest time, on this entry's clock, at which an attempt may
 * start. An agent keeps a record of each attempt until then, so the time is
 * limited for requests without a key: their dispatch is sent once, and one
 * that a link delays for longer is not worth starting. The attempt of a keyed
 * request may start until the deadline, because another entry may query it
 * that long after this one has died. */
static int64_t
latest_start(const struct request *r, int64_t now)
{
    if (r->claim != NULL || r->deadline_at - now < START_WITHIN_MS) {
        return r->deadline_at;
    }
    return now + START_WITHIN_MS;
}

/* Adds an attempt at an agent to the request. */
struct request_attempt *
Attempt_New(struct request *r, int handle, const struct dispatch_agent *agent,
            int64_t now)
{
    struct request_attempt *a = &r->attempts[r->attempt_count];

    *a = (struct request_attempt){
        .number = r->attempt_base + (uint64_t)++r->attempt_count,
        .handle = handle,
        .incarnation = agent->facts.incarnation,
        .not_after = latest_start(r, now) + agent->facts.clock_offset,
        .sent_at = now,
        .state = ATTEMPT_SENT,
        .may_have_run = true};
    Str_Copy(a->agent, sizeof(a->agent), agent->facts.name);
    return a;
}

/* Sends an attempt to its agent. */
void
Attempt_Send(struct request *r, const struct request_attempt *a,
             const struct dispatch_agent *agent)
{
    struct wire_dispatch *m = Wire_New(WIRE_DISPATCH);
    char hex[ID_HEX_SIZE];

    m->request = r->id;
    m->attempt = a->number;
    m->incarnation = a->incarnation;
    m->not_after = a->not_after;
    m->timeout_ms = r->deadline_at - a->sent_at;
    m->repeatable = r->repeatable;
    Str_Copy(m->service, sizeof(m->service), r->service->name);
    Str_Copy(m->content_type, sizeof(m->content_type), r->content_type);
    Buf_Append(&m->body, r->body.data, r->body.len);
    LOG_I("dispatch", KV("request", Id_Hex(&r->id, hex)),
          KV_INT("attempt", a->number), KV("agent", a->agent));
    Entry_SendToAgent(&r->dispatch->task, &agent->facts.peer, &m->msg, true);
}
