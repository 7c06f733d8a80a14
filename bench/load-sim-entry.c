#include "load-sim-private.h"

#include <string.h>

/* Places for each slot in the bounded baseline. */
#define BOUNDED_PLACES 4
/* What the bounded baseline tells callers: a fixed time, as is usual. */
#define BOUNDED_RETRY_MS 1000

/* The result of a request's stream. */
static struct sim_stream_result *
result_of(struct sim *s, const struct request *q)
{
    return &s->result->stream[q->stream];
}

/* Ends a request that was answered. */
static void
answered(struct sim *s, struct request *q)
{
    struct sim_stream_result *r = result_of(s, q);

    q->done = true;
    sim_sample(&r->completion, s->now - q->first_at);
    if (s->now > q->deadline_at) {
        r->late++;
        return;
    }
    r->in_time++;
    r->work_in_time += (double)q->service_us / 1000;
}

/* Tells a caller to come back, which he does unless he has had enough. */
static void
refused(struct sim *s, struct request *q, int64_t retry_after_ms)
{
    struct sim_stream_result *r = result_of(s, q);

    r->refusals++;
    sim_sample(&r->refusal, s->now - q->offered_at);
    sim_sample(&r->retry_after, retry_after_ms * 1000);
    if (q->returns-- <= 0) {
        r->refused++;
        q->done = true;
        return;
    }
    sim_at(s, s->now + retry_after_ms * 1000, EVENT_OFFER, q->index);
}

/* Feeds the inputs of a decision to the judge again. */
static void
replay(struct sim *s, const struct admission_decision *d)
{
    struct admission_decision again = Admission_Judge(&d->inputs);

    s->result->replayed++;
    if (again.verdict != d->verdict || again.reason != d->reason ||
        again.retry_after_ms != d->retry_after_ms) {
        s->result->differed++;
    }
}

/* Offers a request to the chosen admission. */
static void
offer_policy(struct sim *s, struct entry *e, struct request *q)
{
    const struct sim_stream *stream = &s->config->streams[q->stream];
    struct admission_facts facts = {
        .id = q->id,
        .organisation = stream->organisation,
        .caller = stream->caller,
        .key = stream->key,
        .class_name = stream->class_name,
        .priority = stream->priority,
        .deadline_at = stream->deadline_ms > 0 ? q->deadline_at / 1000 : 0,
        .repeatable = stream->repeatable,
    };
    struct admission_decision d =
        Admission_Offer(e->admission, &facts, sim_ms(s), sim_random(s));

    replay(s, &d);
    if (d.verdict == ADMISSION_REFUSE) {
        refused(s, q, d.retry_after_ms);
    }
}

/* A caller offers a request. */
void
entry_offer(struct sim *s, struct request *q)
{
    const struct sim_config *c = s->config;
    struct entry *e = &s->entry[q->entry];
    int places = c->workers * c->slots * BOUNDED_PLACES / c->entries;

    q->offered_at = s->now;
    if (c->admit == SIM_ADMIT_POLICY) {
        offer_policy(s, e, q);
    }
    else if (c->admit == SIM_ADMIT_BOUNDED && e->queued >= places) {
        refused(s, q, BOUNDED_RETRY_MS);
    }
    else {
        TAILQ_INSERT_TAIL(&e->queue, q, queue);
        e->queued++;
    }
    entry_pump(s, q->entry);
}

/* Finds a request by its id. */
static struct request *
by_id(struct sim *s, const struct id *id)
{
    int index;

    memcpy(&index, id->b, sizeof(index));
    return s->request[index];
}

/* Takes the next request to dispatch, by the chosen admission. */
static struct request *
take_next(struct sim *s, struct entry *e)
{
    struct admission_next next;
    struct request *q;

    if (s->config->admit == SIM_ADMIT_POLICY) {
        if (Admission_Next(e->admission, sim_ms(s), &next) != ERR_OK) {
            return NULL;
        }
        q = by_id(s, &next.id);
        q->cost_ms = next.cost_ms;
        q->taken_at = s->now;
        return q;
    }
    q = TAILQ_FIRST(&e->queue);
    if (q != NULL) {
        TAILQ_REMOVE(&e->queue, q, queue);
        e->queued--;
        q->cost_ms = (int64_t)s->config->streams[q->stream].service_ms;
    }
    return q;
}

/* Puts a request back that found no slot. */
static void
put_back(struct sim *s, struct entry *e, struct request *q)
{
    if (s->config->admit == SIM_ADMIT_POLICY) {
        Admission_Return(e->admission, &q->id, sim_ms(s));
        return;
    }
    TAILQ_INSERT_HEAD(&e->queue, q, queue);
    e->queued++;
}

/* Time of a message between an entry and a worker. */
int64_t
sim_hop_us(const struct sim *s, const struct entry *e, int worker)
{
    bool remote = s->worker[worker].domain != e->domain;

    return NEAR_US + (remote ? s->config->hop_us : 0);
}

/* Sends a request to a worker. */
static void
send(struct sim *s, struct request *q, int worker)
{
    struct entry *e = &s->entry[q->entry];
    struct attempt *a;
    int64_t hop = sim_hop_us(s, e, worker);

    if (s->attempts == s->attempt_room) {
        s->attempt_room = s->attempt_room > 0 ? s->attempt_room * 2 : 1024;
        s->attempt = Mem_Grow(s->attempt,
                              (size_t)s->attempt_room * sizeof(*s->attempt));
    }
    a = &s->attempt[s->attempts];
    *a = (struct attempt){q, worker, s->now};
    s->result->cross_domain += hop > NEAR_US ? 1 : 0;
    s->result->attempts++;
    s->result->worker_attempts[worker]++;
    e->outstanding[worker]++;
    if (q->open++ == 0) {
        q->sent_at = s->now;
    }
    q->attempts++;
    if (q->tried_count < ATTEMPTS_MAX) {
        q->tried[q->tried_count++] = worker;
    }
    Route_Sent(e->route, worker, sim_ms(s));
    sim_at(s, s->now + hop, EVENT_REACH, s->attempts++);
}

/* Asks to be woken when the answer is late enough for a hedge. */
static void
plan_hedge(struct sim *s, struct request *q)
{
    struct entry *e = &s->entry[q->entry];
    int64_t after = Retry_HedgeAfterMs(e->retry[q->stream]);

    if (s->config->retry == SIM_RETRY_HEDGE && after >= 0) {
        sim_at(s, s->now + after * 1000, EVENT_HEDGE, q->index);
    }
}

/* Refuses what can't meet its deadline any more. */
static void
expire(struct sim *s, struct entry *e)
{
    struct admission_decision d;
    struct id id;

    while (Admission_Expire(e->admission, sim_ms(s), sim_random(s), &id, &d) ==
           ERR_OK) {
        replay(s, &d);
        refused(s, by_id(s, &id), d.retry_after_ms);
    }
}

/* Dispatches while there is work and a slot that is thought to be free. */
void
entry_pump(struct sim *s, int index)
{
    struct entry *e = &s->entry[index];
    struct request *q;
    int worker;

    if (s->config->admit == SIM_ADMIT_POLICY) {
        Admission_SetCapacity(e->admission, Route_Slots(e->route));
        expire(s, e);
    }
    while ((q = take_next(s, e)) != NULL) {
        q->tried_count = 0;
        worker = sim_choose(s, e, q);
        if (worker == ROUTE_NONE) {
            put_back(s, e, q);
            return;
        }
        send(s, q, worker);
        plan_hedge(s, q);
    }
}

/* Ends a request for its entry's account. */
static void
account(struct sim *s, struct request *q, bool ok)
{
    struct entry *e = &s->entry[q->entry];

    if (s->config->admit == SIM_ADMIT_POLICY) {
        Admission_Finished(e->admission, &q->id, (s->now - q->taken_at) / 1000,
                           ok, sim_ms(s));
    }
}

/* Asks for one more attempt, by the chosen rule. */
static bool
may_retry(struct sim *s, struct request *q, enum retry_cause cause)
{
    struct retry_facts facts = {
        .cause = cause,
        .repeatable = s->config->streams[q->stream].repeatable,
        .started = cause != RETRY_REFUSED,
        .attempts = q->attempts,
        .sent_at = q->sent_at / 1000,
        .deadline_at = q->deadline_at / 1000,
        .expected_ms = q->cost_ms,
    };

    if (s->config->retry == SIM_RETRY_ALWAYS) {
        return q->attempts < ATTEMPTS_MAX &&
               (facts.repeatable || !facts.started);
    }
    return Retry_Request(s->entry[q->entry].retry[q->stream], &facts,
                         sim_ms(s))
        .allowed;
}

/* Sends a request again after a failed attempt, or ends it. One that no
 * worker took goes back to the queue. Returns true when the queue is worth
 * another look. */
static bool
again(struct sim *s, struct request *q, enum retry_cause cause)
{
    struct entry *e = &s->entry[q->entry];
    bool allowed = may_retry(s, q, cause);
    int worker = allowed ? sim_choose(s, e, q) : ROUTE_NONE;

    if (worker != ROUTE_NONE) {
        send(s, q, worker);
        return true;
    }
    if (allowed || cause == RETRY_REFUSED) {
        q->attempts -= cause == RETRY_REFUSED ? 1 : 0;
        put_back(s, e, q);
        return false;
    }
    account(s, q, false);
    result_of(s, q)->failed++;
    q->done = true;
    return true;
}

/* The result of an attempt reaches its entry. */
void
entry_reply(struct sim *s, int index)
{
    struct attempt a = s->attempt[index];
    struct request *q = a.request;
    struct entry *e = &s->entry[q->entry];
    int64_t latency_ms = (s->now - a.sent_at) / 1000;

    e->outstanding[a.worker]--;
    q->open--;
    Route_Settled(e->route, a.worker, a.outcome, latency_ms, q->cost_ms,
                  sim_ms(s));
    sim_hear(s, q->entry, a.worker, a.others, sim_hop_us(s, e, a.worker));
    if (q->done) {
        entry_pump(s, q->entry);
        return;
    }
    if (a.outcome == ROUTE_OK) {
        Retry_Success(e->retry[q->stream], latency_ms, sim_ms(s));
        account(s, q, true);
        answered(s, q);
    }
    else if (q->open == 0 &&
             !again(s, q,
                    a.outcome == ROUTE_REFUSED ? RETRY_REFUSED
                                               : RETRY_FAILED)) {
        return;
    }
    entry_pump(s, q->entry);
}

/* An answer is late: sends the request to a second worker if allowed. */
void
entry_hedge(struct sim *s, struct request *q)
{
    int worker;

    if (q->done || q->open != 1 || !may_retry(s, q, RETRY_HEDGE)) {
        return;
    }
    worker = sim_choose(s, &s->entry[q->entry], q);
    if (worker != ROUTE_NONE) {
        send(s, q, worker);
    }
}

/* A caller gives up: what is queued goes, what runs runs on. */
void
entry_cancel(struct sim *s, struct request *q)
{
    struct entry *e = &s->entry[q->entry];

    if (q->done || q->open > 0) {
        return;
    }
    if (s->config->admit == SIM_ADMIT_POLICY) {
        Admission_Cancel(e->admission, &q->id);
        q->done = true;
        result_of(s, q)->cancelled++;
    }
}
