#include "entry-dispatch.h"

#include <string.h>

/* Time from sending in which an attempt without a claim may start. */
#define START_WITHIN_MS 20000
#define ASK_AGAIN_MS 500 /* a withdraw without a word is sent again */

/* Records a decision on the request, with its inputs or NULL. */
void
Request_Record(const struct request *r, const char *decision,
               const char *reason, json_t *inputs)
{
    Why_Record(r->dispatch->task.kernel, &r->id, decision, reason, inputs);
}

/* What is recorded with what an agent said of an attempt. */
json_t *
Try_Inputs(const struct try *t)
{
    return json_pack("{s:I, s:s, s:I}", "attempt", (json_int_t)t->number,
                     "agent", t->agent, "not_after", (json_int_t)t->not_after);
}

/* How an attempt that ended counts for its upstream. */
void
Try_Settle(struct request *r, struct try *t, enum route_outcome outcome)
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
struct try *
Try_Find(struct request *r, uint64_t number)
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
bool
Try_AnyOut(const struct request *r)
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
bool
Try_AnyMayHaveRun(const struct request *r)
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
int64_t
Request_HedgeAt(const struct request *r)
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
void
Request_SetTimer(struct request *r)
{
    int64_t now = Clock_NowMs();
    int64_t due = r->deadline_at + LATE_MS;
    int64_t hedge = Request_HedgeAt(r);
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
void
Try_Withdraw(struct request *r, struct try *t)
{
    struct server *s = Dispatch_FindServer(r->dispatch, t->agent);
    struct wire_withdraw *m;

    if (t->state == TRY_SENT) {
        t->state = TRY_ASKING;
        Request_Record(r, "withdraw", "asked", Try_Inputs(t));
    }
    if (s == NULL) {
        return;
    }
    m = Wire_New(WIRE_WITHDRAW);
    m->request = r->id;
    m->attempt = t->number;
    m->incarnation = t->incarnation;
    m->not_after = t->not_after;
    Entry_SendToAgent(&r->dispatch->task, &s->facts.peer, &m->msg, false);
}

/* Withdraws whatever is still out, as the caller has its final answer. */
void
Try_WithdrawAll(struct request *r)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        if (r->tries[i].state != TRY_OVER) {
            Try_Withdraw(r, &r->tries[i]);
            Try_Settle(r, &r->tries[i], ROUTE_WITHDRAWN);
        }
    }
}

/* The handles that were tried, for routing to avoid. */
int
Try_Handles(const struct request *r, int *handles)
{
    int i;

    for (i = 0; i < r->try_count; i++) {
        handles[i] = r->tries[i].handle;
    }
    return r->try_count;
}

/* The handles where it may have run. */
int
Try_HandlesThatMayHaveRun(const struct request *r, int *handles)
{
    int i, n = 0;

    for (i = 0; i < r->try_count; i++) {
        if (r->tries[i].may_run) {
            handles[n++] = r->tries[i].handle;
        }
    }
    return n;
}

/* Until when an attempt may start, on our clock. An agent remembers every
 * attempt until then, so it is bound for requests without a key: the dispatch
 * goes out once, and what a link holds back for longer is not worth starting.
 * An attempt with a key may be asked about by another entry after this one
 * has died, for as long as the deadline lasts. */
static int64_t
start_by(const struct request *r, int64_t now)
{
    if (r->claim != NULL || r->deadline_at - now < START_WITHIN_MS) {
        return r->deadline_at;
    }
    return now + START_WITHIN_MS;
}

/* Records a new attempt at an agent. */
struct try *
Try_New(struct request *r, int handle, const struct server *s, int64_t now)
{
    struct try *t = &r->tries[r->try_count];

    *t = (struct try){.number = r->attempt_base + (uint64_t)++r->try_count,
                      .handle = handle,
                      .incarnation = s->facts.incarnation,
                      .not_after = start_by(r, now) + s->facts.clock_offset,
                      .sent_at = now,
                      .state = TRY_SENT,
                      .may_run = true};
    Str_Copy(t->agent, sizeof(t->agent), s->facts.name);
    return t;
}

/* Sends an attempt to its agent. */
void
Try_Send(struct request *r, const struct try *t, const struct server *s)
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
    Entry_SendToAgent(&r->dispatch->task, &s->facts.peer, &m->msg, true);
}
