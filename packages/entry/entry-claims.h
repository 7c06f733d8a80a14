/* claims: rows of keyed requests, private to dispatch's files. */
#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

#include "entry.h"

#define CLAIMS_TABLE "claims"
#define CLAIMS_KEEP_MS ((int64_t)24 * 3600 * 1000)
/* Larger answers go to the object store, so that rows stay small. */
#define CLAIM_BODY_MAX 4096

enum claim_state {
    CLAIM_CLAIMED,  /* an attempt may have been sent */
    CLAIM_NOT_RUN,  /* nothing has run up to this attempt: may be claimed */
    CLAIM_ANSWERED, /* final */
    CLAIM_UNKNOWN,  /* final: it may have run and its answer is lost */
    CLAIM_STATE_COUNT
};

/* The row of a key. Its attempt never falls and it is never emptied before
 * its time, so that fences of earlier attempts hold. */
struct claim_row {
    enum claim_state state;
    struct id request; /* the same for all attempts of all entries */
    uint64_t attempt;
    char entry[NAME_SIZE];
    char agent[NAME_SIZE];
    uint64_t incarnation;            /* of the agent */
    int64_t not_after;               /* on the agent's clock */
    int64_t at_ms;                   /* of the day, for the sweep alone */
    char body_hash[DIGEST_HEX_SIZE]; /* of the request */
    char reason[NAME_SIZE];
    /* The answer, when answered. */
    int status;
    char content_type[WIRE_TEXT_SIZE];
    char object[DIGEST_HEX_SIZE]; /* "": body holds it */
    struct buf body;
};

/* A line of JSON, then the body's bytes. */
void ClaimRow_Encode(const struct claim_row *row, struct buf *out);
/* ERR_OK or ERR_INVALID; out->body is to be freed in both cases. */
int ClaimRow_Decode(const struct buf *text, struct claim_row *out);
/* The row's key, out of what scopes an Idempotency-Key. */
const char *ClaimRow_Key(const char *organisation, const char *service,
                         const char *key, char out[DIGEST_HEX_SIZE]);

#endif
