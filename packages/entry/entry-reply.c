#include "entry-dispatch.h"

#include <stdio.h>

/* Sent to callers as the time to retry, at another entry, when this one
 * stops. */
#define STOPPING_RETRY_MS 250

static struct counter answered_total = {"parsleyfall_requests_total",
                                        "Requests by outcome.",
                                        "outcome=\"answered\"", COUNTER_TOTAL};
static struct counter not_run_total = {"parsleyfall_requests_total",
                                       "Requests by outcome.",
                                       "outcome=\"not_run\"", COUNTER_TOTAL};
static struct counter unknown_total = {"parsleyfall_requests_total",
                                       "Requests by outcome.",
                                       "outcome=\"unknown\"", COUNTER_TOTAL};
static struct counter answer_ms = {"parsleyfall_request_ms",
                                   "Time from acceptance to the whole answer.",
                                   NULL, COUNTER_LATENCY};

/* Logs and records the end of a request. */
static void
log_end(const struct request *r, const char *outcome, const char *reason)
{
    char hex[ID_HEX_SIZE];

    LOG_I("request_end", KV("request", Id_Hex(&r->id, hex)),
          KV("service", r->service->name), KV("organisation", r->organisation),
          KV("outcome", outcome), KV("reason", reason),
          KV_INT("attempts", r->attempt_count),
          KV_INT("ms", Clock_NowMs() - r->accepted_at));
    Why_Record(r->dispatch->task.kernel, &r->id, outcome, reason,
               json_pack("{s:i, s:I}", "attempts", r->attempt_count, "ms",
                         (json_int_t)(Clock_NowMs() - r->accepted_at)));
}

/* Sends the upstream's whole answer to the caller unchanged. */
static void
reply_answer(struct request *r, const struct wire_answer *m)
{
    char hex[ID_HEX_SIZE], attempt[24];

    Counter_Add(&answered_total, 1);
    Counter_Observe(&answer_ms, Clock_NowMs() - r->accepted_at);
    log_end(r, "answered", "answered");
    snprintf(attempt, sizeof(attempt), "%llu", (unsigned long long)m->attempt);
    Http_ReplyHeader(r->ex, "X-Request-Id", Id_Hex(&m->request, hex));
    Http_ReplyHeader(r->ex, "X-Attempt", attempt);
    Http_ReplyHeader(r->ex, "X-Outcome", "answered");
    Http_Reply(r->ex, (int)m->status, m->content_type, m->body.data,
               m->body.len);
}

/* Ends a request with an upstream's answer. */
void
Request_ReplyAnswer(struct request *r, const struct wire_answer *m)
{
    struct claim_final final = {.kind = FINAL_ANSWER, .answer = m};

    if (Claims_Defer(r, &final)) {
        return;
    }
    if (r->ex != NULL) {
        reply_answer(r, m);
    }
    Dispatch_Drop(r->dispatch, r);
}

/* Marks the caller as replied to; the request stays open for its row. */
static void
detach_caller(struct request *r)
{
    r->ex = NULL;
    r->dispatch->replied++;
}

/* Sends the answer to the caller before the row holds it. */
void
Request_ReplyAnswerEarly(struct request *r, const struct wire_answer *m)
{
    reply_answer(r, m);
    detach_caller(r);
}

/* Ends a request that has not run and will not. The refusal holds a time after
 * which the caller may retry. */
void
Request_ReplyNotRun(struct request *r, int status, const char *reason,
                    const char *detail, int64_t retry_after_ms)
{
    struct claim_final final = {.kind = FINAL_NOT_RUN,
                                .status = status,
                                .retry_after_ms = retry_after_ms};

    Str_Copy(final.reason, sizeof(final.reason), reason);
    Str_Copy(final.detail, sizeof(final.detail), detail);
    if (Claims_Defer(r, &final)) {
        return;
    }
    if (r->ex == NULL) {
        Dispatch_Drop(r->dispatch, r);
        return;
    }
    Counter_Add(&not_run_total, 1);
    log_end(r, "not_run", reason);
    Http_ReplyHeader(r->ex, "X-Outcome", "not_run");
    Front_Refuse(r->ex, status, "not_run", reason, detail, retry_after_ms,
                 &r->id);
    Dispatch_Drop(r->dispatch, r);
}

/* Replies that the request may or may not have run. There is no time to retry,
 * as a blind repetition may run it twice. */
static void
reply_unknown(struct request *r, const char *reason)
{
    Counter_Add(&unknown_total, 1);
    log_end(r, "unknown", reason);
    Http_ReplyHeader(r->ex, "X-Outcome", "unknown");
    Front_Refuse(r->ex, 504, "unknown", reason,
                 "the request may have run; its answer is lost", -1, &r->id);
}

/* Ends a request that may have run. */
void
Request_ReplyUnknown(struct request *r, const char *reason)
{
    struct claim_final final = {.kind = FINAL_UNKNOWN};

    Str_Copy(final.reason, sizeof(final.reason), reason);
    if (Claims_Defer(r, &final)) {
        return;
    }
    if (r->ex != NULL) {
        reply_unknown(r, reason);
    }
    Dispatch_Drop(r->dispatch, r);
}

/* Replies unknown to the caller while the row is still open. */
void
Request_ReplyUnknownEarly(struct request *r, const char *reason)
{
    reply_unknown(r, reason);
    detach_caller(r);
}

/* Replies to the caller of a request that is open when the process ends.
 * Nothing is sent any more, so the request does not run unless an attempt may
 * have run. For a keyed request the row may hold an earlier one that ran. */
void
Request_ReplyStopping(struct request *r)
{
    if (r->claim != NULL || Attempt_AnyMayHaveRun(r)) {
        Request_ReplyUnknownEarly(r, "stopping");
        return;
    }
    Request_ReplyNotRun(r, 503, "stopping", "this entry leaves",
                        STOPPING_RETRY_MS);
}

/* Ends a keyed request that was not sent because the table is down. When its
 * row could not be read, or its claim may have been written, the outcome is
 * unknown because another request with the key may run. The key makes a
 * repetition safe either way, so there is a time to retry. */
void
Request_ReplyTableDown(struct request *r, bool may_have_run,
                       int64_t retry_after_ms)
{
    const char *outcome = may_have_run ? "unknown" : "not_run";

    Counter_Add(may_have_run ? &unknown_total : &not_run_total, 1);
    log_end(r, outcome, "table_down");
    Http_ReplyHeader(r->ex, "X-Outcome", outcome);
    Front_Refuse(r->ex, 503, outcome, "table_down",
                 may_have_run ? "this request was not sent; an earlier one "
                                "with its key may have run"
                              : "",
                 retry_after_ms, &r->id);
    Dispatch_Drop(r->dispatch, r);
}

/* Ends a request whose key was used before with another body, an error of the
 * caller. */
void
Request_ReplyKeyReused(struct request *r)
{
    Counter_Add(&not_run_total, 1);
    log_end(r, "not_run", "key_reused");
    Http_ReplyHeader(r->ex, "X-Outcome", "not_run");
    Front_Refuse(r->ex, 422, "not_run", "key_reused",
                 "this Idempotency-Key was used with another body", -1,
                 &r->id);
    Dispatch_Drop(r->dispatch, r);
}
