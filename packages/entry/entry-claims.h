/* claims: the stored rows of requests with an Idempotency-Key. Private to the
 * files of dispatch. */
#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

#include "entry.h"

#define CLAIMS_TABLE "claims"
#define CLAIMS_KEEP_MS ((int64_t)24 * 3600 * 1000)
/* Larger answer bodies go to the object store, so that rows stay small. */
#define CLAIM_BODY_MAX 4096

enum claim_state {
    CLAIM_CLAIMED,  /* an attempt may have been sent */
    CLAIM_NOT_RUN,  /* no attempt up to this one ran; claimable */
    CLAIM_ANSWERED, /* final: the row holds the answer */
    CLAIM_UNKNOWN,  /* final: may have run, its answer is lost */
    CLAIM_STATE_COUNT
};

/* The row of one key. Its attempt number never decreases and the row is kept
 * for CLAIMS_KEEP_MS, so that fences of earlier attempts stay valid. */
struct claim_row {
    enum claim_state state;
    struct id request; /* the same for all attempts at all entries */
    uint64_t attempt;
    char entry[NAME_SIZE];
    char agent[NAME_SIZE];
    uint64_t incarnation;            /* of the agent */
    int64_t not_after;               /* on the agent's clock */
    int64_t at_ms;                   /* wall clock; only the sweep reads it */
    char body_hash[DIGEST_HEX_SIZE]; /* of the request's body */
    char reason[NAME_SIZE];
    /* The answer, in the state CLAIM_ANSWERED. */
    int status;
    char content_type[WIRE_TEXT_SIZE];
    char object[DIGEST_HEX_SIZE]; /* stored body; "": body holds it */
    struct buf body;
};

/* Writes the row as one line of JSON followed by the bytes of the body. */
void ClaimRow_Encode(const struct claim_row *row, struct buf *out);
/* Reads an encoded row. Returns ERR_OK or ERR_INVALID; the caller frees
 * out->body in both cases. */
int ClaimRow_Decode(const struct buf *text, struct claim_row *out);
/* Writes the row's key to out and returns it: a digest of the organisation,
 * the service and the Idempotency-Key. */
const char *ClaimRow_Key(const char *organisation, const char *service,
                         const char *key, char out[DIGEST_HEX_SIZE]);

#endif
