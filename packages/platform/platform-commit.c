#include "platform-table.h"

#include <stdlib.h>

/* The fields of a sent op that are needed to interpret a conflict. */
struct sent_op {
    enum table_verb verb;
    uint64_t if_version;
};

struct commit_call {
    struct call call;
    struct id token;
    struct sent_op *ops;
    size_t count;
    table_committed done;
    void *arg;
};

/* The current row of an op, as reported by the service in a conflict. */
struct current_row {
    uint64_t version; /* 0: the row does not exist */
    struct id writer;
};

static const char *const verb_names[] = {
    [TABLE_CHECK] = "check", [TABLE_PUT] = "put", [TABLE_DELETE] = "delete"};

/* Reads the versions in the response to a successful commit. */
static bool
read_versions(const struct commit_call *c, const json_t *o, uint64_t *versions)
{
    const json_t *list = json_object_get(o, "versions");
    int64_t version;
    size_t i;

    if (json_array_size(list) != c->count || !json_is_array(list)) {
        return false;
    }
    for (i = 0; i < c->count; i++) {
        if (Json_ToInt(json_array_get(list, i), &version) != ERR_OK) {
            return false;
        }
        versions[i] = (uint64_t)version;
    }
    return true;
}

/* Reads a conflict response: the index of the op whose condition failed, and
 * the current row of each op. */
static bool
read_conflict(const struct commit_call *c, const json_t *o, size_t *at,
              struct current_row *current)
{
    const json_t *rows = json_object_get(o, "rows");
    int64_t index, version;
    size_t i;

    if (Json_Whole(json_object_get(o, "at"), (int64_t)c->count - 1, &index) !=
            ERR_OK ||
        json_array_size(rows) != c->count) {
        return false;
    }
    *at = (size_t)index;
    for (i = 0; i < c->count; i++) {
        const json_t *row = json_array_get(rows, i);

        if (Json_ToInt(json_object_get(row, "version"), &version) != ERR_OK) {
            return false;
        }
        current[i].version = (uint64_t)version;
        if (version != 0 && Json_ToId(json_object_get(row, "writer"),
                                      &current[i].writer) != ERR_OK) {
            return false;
        }
    }
    return true;
}

/* True when an op requires an existing row at a given version. */
static bool
expects_version(const struct sent_op *op)
{
    return op->if_version != 0 && op->if_version != TABLE_ANY;
}

/* True when this commit wrote the current version of a row. */
static bool
has_own_token(const struct commit_call *c, const struct current_row *row)
{
    return row->version != 0 && Id_Compare(&row->writer, &c->token) == 0;
}

/* True when the row of an op proves that the commit has not been applied: the
 * row still has the required version, or another commit wrote the version
 * that follows it, which this commit would have written. */
static bool
proves_not_written(const struct commit_call *c, const struct sent_op *op,
                   const struct current_row *row)
{
    if (op->verb == TABLE_CHECK || !expects_version(op)) {
        return false;
    }
    return row->version == op->if_version ||
           (row->version == op->if_version + 1 && !has_own_token(c, row));
}

/* Decides whether a conflict means that the commit failed, succeeded in an
 * earlier try, or has an unknown outcome.
 *
 * When an earlier try was applied and its response lost, the retry conflicts
 * with the commit's own rows. Reporting that as a conflict would make the
 * winner of a race act as its loser (two owners, or a job both accepted and
 * refused); or, after another writer overwrote the rows, would report that
 * nothing was written.
 *
 * If no earlier try can have taken effect, the conflict is real. Otherwise, a
 * row with this token proves that the whole commit was applied, as commits
 * are atomic and a token is used once. The absence of the token proves
 * nothing, as another writer may have overwritten or deleted the row since. A
 * conflict is certain only if a row proves that the commit has not been
 * applied, and an earlier request that is still in flight can't be applied
 * later either. The latter holds if the failed condition names a version,
 * since versions never recur, while a row may cease to exist again. In all
 * other cases the outcome is unknown, and the caller must read the rows. */
static int
resolve_conflict(const struct commit_call *c, size_t at,
                 const struct current_row *rows)
{
    bool unwritten = false;
    size_t i;

    if (!c->call.maybe_applied) {
        return ERR_CONFLICT;
    }
    for (i = 0; i < c->count; i++) {
        if (c->ops[i].verb == TABLE_PUT && has_own_token(c, &rows[i])) {
            return ERR_OK;
        }
        unwritten = unwritten || proves_not_written(c, &c->ops[i], &rows[i]);
    }
    return unwritten && expects_version(&c->ops[at]) ? ERR_CONFLICT
                                                     : ERR_UNKNOWN;
}

/* Fills in the versions of a commit that its token shows to be applied, as far
 * as the rows and conditions give them. */
static void
infer_versions(const struct commit_call *c, const struct current_row *rows,
               uint64_t *versions)
{
    size_t i;

    for (i = 0; i < c->count; i++) {
        const struct sent_op *op = &c->ops[i];

        if (has_own_token(c, &rows[i])) {
            versions[i] = rows[i].version;
        }
        else if (expects_version(op)) {
            versions[i] = op->if_version + (op->verb != TABLE_CHECK);
        }
    }
}

/* Ends a commit that got a conflict response. False: it is malformed. */
static bool
end_conflict(struct commit_call *c, const json_t *o, uint64_t *versions)
{
    struct current_row *rows CLEANUP(Mem_FreeP) =
        Mem_Zero(c->count + 1, sizeof(*rows));
    size_t at;
    int err;

    if (!read_conflict(c, o, &at, rows)) {
        return false;
    }
    err = resolve_conflict(c, at, rows);
    if (err == ERR_OK) {
        infer_versions(c, rows, versions);
    }
    c->done(c->arg, err, at, versions);
    return true;
}

/* Reports the outcome of a commit to the caller. */
static bool
commit_on_response(struct call *call, struct http_result *result)
{
    struct commit_call *c = (struct commit_call *)call;
    uint64_t *versions CLEANUP(Mem_FreeP) =
        Mem_Zero(c->count + 1, sizeof(*versions));
    json_t *o = Json_FromResult(result);
    bool ok = false;

    if (result->status == 200) {
        ok = read_versions(c, o, versions);
        if (ok) {
            c->done(c->arg, ERR_OK, 0, versions);
        }
    }
    else if (result->status == 409) {
        ok = end_conflict(c, o, versions);
    }
    else {
        ok = true;
        c->done(c->arg, call->maybe_applied ? ERR_UNKNOWN : ERR_INVALID, 0,
                versions);
    }
    json_decref(o);
    return ok;
}

static void
commit_on_failure(struct call *call, int err)
{
    struct commit_call *c = (struct commit_call *)call;

    c->done(c->arg, err, 0, NULL);
}

static void
commit_free(struct call *call)
{
    free(((struct commit_call *)call)->ops);
}

static const struct call_ops commit_ops = {.on_response = commit_on_response,
                                           .on_failure = commit_on_failure,
                                           .free = commit_free};

/* Encodes an op as JSON. */
static json_t *
op_json(const struct table_op *op)
{
    json_t *o = json_pack("{s:s,s:s,s:s}", "verb", verb_names[op->verb],
                          "table", op->table, "key", op->key);

    if (op->if_version != TABLE_ANY) {
        json_object_set_new(o, "if_version",
                            json_integer((json_int_t)op->if_version));
    }
    if (op->verb == TABLE_PUT) {
        json_object_set_new(o, "value", Json_Bytes(op->value, op->len));
    }
    return o;
}

/* Sends a commit under a new token. It costs one token of the budget per row
 * to write, and at least one. */
void
Table_HttpCommit(struct table *table, const struct table_op *ops, size_t count,
                 table_committed done, void *arg)
{
    struct http_table *t = (struct http_table *)table;
    struct commit_call *c =
        Call_New(&t->http, sizeof(*c), &commit_ops, "POST", "/table/commit");
    json_t *list = json_array();
    char hex[ID_HEX_SIZE];
    size_t i;

    c->token = Id_Random();
    c->ops = Mem_Zero(count + 1, sizeof(*c->ops));
    c->count = count;
    c->done = done;
    c->arg = arg;
    c->call.write = true;
    c->call.cost = 0;
    for (i = 0; i < count; i++) {
        c->ops[i].verb = ops[i].verb;
        c->ops[i].if_version = ops[i].if_version;
        c->call.cost += ops[i].verb != TABLE_CHECK;
        json_array_append_new(list, op_json(&ops[i]));
    }
    c->call.cost += c->call.cost == 0;
    Call_SetJson(&c->call, json_pack("{s:s,s:o}", "token",
                                     Id_Hex(&c->token, hex), "ops", list));
    Call_Start(&c->call);
}
