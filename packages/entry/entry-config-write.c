#include "entry-config.h"

#include <stdlib.h>
#include <string.h>

/* PUT /v1/config: an operator's change, from the request to the new head. */

static struct counter accepted_total = {"parsleyfall_config_writes_total",
                                        "Changes asked for, by outcome.",
                                        "outcome=\"accepted\"", COUNTER_TOTAL};
static struct counter refused_total = {
    "parsleyfall_config_writes_total", "Changes asked for, by outcome.",
    "outcome=\"changed_since\"", COUNTER_TOTAL};
static struct counter not_run_total = {"parsleyfall_config_writes_total",
                                       "Changes asked for, by outcome.",
                                       "outcome=\"not_run\"", COUNTER_TOTAL};
static struct counter unknown_total = {"parsleyfall_config_writes_total",
                                       "Changes asked for, by outcome.",
                                       "outcome=\"unknown\"", COUNTER_TOTAL};

struct config_write {
    struct configs *configs;
    struct http_exchange *ex;
    char operator_name[NAME_SIZE];
    struct id id;                /* stored in the history row of this write */
    struct config_head if_match; /* epoch and hash of If-Match */
    struct config_head current;  /* the head as read from the table */
    struct config_snapshot *proposed; /* the operator's new document */
    struct buf diff_lines; /* from the current document to the new one */
    size_t change_count;
    bool maybe_written; /* a write has taken effect, or may yet */
    int64_t outcome_deadline_at;
    ev_timer retry_timer;
    TAILQ_ENTRY(config_write) entry;
};

static void commit(struct config_write *w);

/* Frees a write after its reply. */
static void
write_free(struct config_write *w)
{
    struct configs *c = w->configs;

    ev_timer_stop(c->task.kernel->loop, &w->retry_timer);
    TAILQ_REMOVE(&c->writes, w, entry);
    ConfigSnapshot_Unref(w->proposed);
    Buf_Free(&w->diff_lines);
    free(w);
}

/* Frees all unfinished writes at the end of the process. */
void
config_writes_free(struct configs *c)
{
    struct config_write *w, *next;

    TAILQ_FOREACH_SAFE (w, &c->writes, entry, next) {
        write_free(w);
    }
}

/* Replies that nothing was changed and that nothing will be. */
static void
reply_not_run(struct config_write *w, const char *reason, const char *detail)
{
    Counter_Add(&not_run_total, 1);
    LOG_W("config_not_run", KV("operator", w->operator_name),
          KV("reason", reason));
    Front_Refuse(w->ex, 503, "not_run", reason, detail, CONFIG_RETRY_AFTER_MS,
                 NULL);
    write_free(w);
}

/* Replies that the outcome is unknown. */
static void
reply_unknown(struct config_write *w)
{
    Counter_Add(&unknown_total, 1);
    LOG_E("config_unknown", KV("operator", w->operator_name),
          KV_INT("epoch", w->proposed->epoch), KV("hash", w->proposed->hash));
    Front_Refuse(w->ex, 504, "unknown", "table_silent",
                 "the change may take effect; read the configuration before "
                 "changing it again",
                 CONFIG_RETRY_AFTER_MS, NULL);
    write_free(w);
}

/* Replies that the operator's document is in force, by this change or already
 * before. */
static void
reply_in_force(struct config_write *w, const char *outcome, uint64_t epoch)
{
    struct buf tag CLEANUP(Buf_Free) = {0};

    config_etag(epoch, w->proposed->hash, &tag);
    Http_ReplyHeader(w->ex, "ETag", tag.data);
    Front_ReplyJson(w->ex, 200,
                    json_pack("{s:s, s:I, s:s, s:I}", "outcome", outcome,
                              "epoch", (json_int_t)epoch, "hash",
                              w->proposed->hash, "changes",
                              (json_int_t)w->change_count));
    write_free(w);
}

/* Adopts the document at once, as the head names it, and then replies. */
static void
adopt_and_reply(struct config_write *w)
{
    struct configs *c = w->configs;

    Counter_Add(&accepted_total, 1);
    LOG_I("config_accepted", KV("operator", w->operator_name),
          KV_INT("epoch", w->proposed->epoch), KV("hash", w->proposed->hash),
          KV_INT("changes", w->change_count));
    config_adopt(c, ConfigSnapshot_Ref(w->proposed));
    reply_in_force(w, "accepted", w->proposed->epoch);
}

/* Builds one change of the reply from a history row. */
static json_t *
change_from_row(const struct table_row *row)
{
    json_t *o = json_loadb(row->value.data, row->value.len, 0, NULL);
    json_t *change = json_object();
    static const char *const keys[] = {"epoch", "operator", "wall_ms",
                                       "lines"};
    size_t i;

    for (i = 0; i < COUNT_OF(keys); i++) {
        json_object_set(change, keys[i], json_object_get(o, keys[i]));
    }
    json_decref(o);
    return change;
}

/* Replies 412 with the changes made since the operator's version. It is
 * certain without this list that the write is refused, so if the table service
 * fails here, the list is just marked as incomplete. */
static void
on_changes(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct config_write *w = arg;
    json_t *changes = json_array();
    size_t i;

    for (i = 0; err == ERR_OK && i < count; i++) {
        json_array_append_new(changes, change_from_row(&rows[i]));
    }
    Counter_Add(&refused_total, 1);
    LOG_I("config_changed_since", KV("operator", w->operator_name),
          KV_INT("if_match_epoch", w->if_match.epoch),
          KV_INT("changes", count));
    config_poll_now(w->configs);
    Front_ReplyJson(
        w->ex, 412,
        json_pack("{s:s, s:s, s:s, s:o, s:b}", "outcome", "not_run", "reason",
                  "changed_since", "detail",
                  "the configuration is not the one that If-Match names",
                  "changes", changes, "whole", err == ERR_OK && !more));
    write_free(w);
}

/* Refuses the write, as the head is not the version that the operator changed,
 * and reads the changes made since. */
static void
refuse_changed_since(struct config_write *w)
{
    struct table *t = w->configs->write_table;
    char key[CONFIG_HISTORY_KEY_SIZE];

    t->ops->list(t, CONFIG_TABLE, CONFIG_HISTORY_PREFIX,
                 config_history_key(w->if_match.epoch, key),
                 CONFIG_HISTORY_KEPT, on_changes, w);
}

/* True if this write inserted the history row. */
static bool
is_own(const struct config_write *w, const struct table_row *row)
{
    json_t *o = json_loadb(row->value.data, row->value.len, 0, NULL);
    const char *text = json_string_value(json_object_get(o, "write"));
    struct id id = {0};
    bool own = text != NULL && Id_Parse(text, &id) == ERR_OK &&
               Id_Compare(&id, &w->id) == 0;

    json_decref(o);
    return own;
}

/* Retries after a delay, or replies that the outcome is unknown once the
 * deadline has passed. */
static void
retry_later(struct config_write *w)
{
    if (Clock_NowMs() >= w->outcome_deadline_at) {
        reply_unknown(w);
        return;
    }
    Timer_Set(w->configs->task.kernel->loop, &w->retry_timer,
              CONFIG_READBACK_INTERVAL_MS);
}

/* Decides the outcome by the history row of the new epoch. Without a row
 * nothing is decided, and the write is sent again. */
static void
on_history(void *arg, int err, struct table_row *row)
{
    struct config_write *w = arg;

    if (err != ERR_OK || row->version == 0) {
        retry_later(w);
    }
    else if (is_own(w, row)) {
        adopt_and_reply(w);
    }
    else {
        refuse_changed_since(w);
    }
}

/* Handles the outcome of the transaction, if it is known.
 *
 * If the response to a write is lost after it took effect, the retry conflicts
 * with its own head. The operator would then be refused because of their own
 * change, and would submit it again or go on with the old document. Only the
 * history row of the new epoch shows which write made it: history rows are
 * inserted once, never changed, and carry the id of their write. So every
 * outcome but ERR_OK is read back from that row. If there is no row, nothing
 * is decided and the same write is sent again under the same two conditions:
 * at most one of its copies can take effect. */
static void
on_committed(void *arg, int err, size_t at UNUSED,
             const uint64_t *versions UNUSED)
{
    struct config_write *w = arg;
    struct table *t = w->configs->write_table;
    char key[CONFIG_HISTORY_KEY_SIZE];
    bool nothing_done = err == ERR_UNREACHABLE || err == ERR_BUSY;

    if (err == ERR_OK) {
        adopt_and_reply(w);
        return;
    }
    if (nothing_done && !w->maybe_written) {
        reply_not_run(w, err == ERR_BUSY ? "busy" : "table_down",
                      "the head of the configuration could not be written");
        return;
    }
    if (err == ERR_INVALID && !w->maybe_written) {
        reply_not_run(w, "table_refused",
                      "the table service refused the write");
        return;
    }
    LOG_W("config_undecided", KV("operator", w->operator_name),
          KV_INT("epoch", w->proposed->epoch), KV("error", Err_Name(err)));
    w->maybe_written = true;
    t->ops->get(t, CONFIG_TABLE, config_history_key(w->proposed->epoch, key),
                on_history, w);
}

/* Writes the head and the history row in one transaction, which also deletes
 * the history row that is older than CONFIG_HISTORY_KEPT epochs. */
static void
commit(struct config_write *w)
{
    struct table *t = w->configs->write_table;
    json_t *value = config_history_value(w->proposed, w->operator_name, &w->id,
                                         w->diff_lines.data);
    char *text = json_dumps(value, JSON_COMPACT);
    struct buf head CLEANUP(Buf_Free) = {0};
    char key[CONFIG_HISTORY_KEY_SIZE], old[CONFIG_HISTORY_KEY_SIZE];
    uint64_t epoch = w->proposed->epoch;
    bool full = epoch > CONFIG_HISTORY_KEPT;

    config_render_head(w->proposed, w->operator_name, w->change_count, &head);
    const struct table_op ops[] = {
        {TABLE_PUT, CONFIG_TABLE, CONFIG_HEAD_KEY, w->current.version,
         head.data, head.len},
        {TABLE_PUT, CONFIG_TABLE, config_history_key(epoch, key), 0, text,
         strlen(text)},
        {TABLE_DELETE, CONFIG_TABLE,
         config_history_key(full ? epoch - CONFIG_HISTORY_KEPT : 0, old),
         TABLE_ANY, NULL, 0},
    };
    t->ops->commit(t, ops, full ? 3 : 2, on_committed, w);
    free(text);
    json_decref(value);
}

/* Sends the same write again. */
static void
on_retry(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    commit(timer->data);
}

/* Writes the head once the document is stored under its hash. */
static void
on_stored(void *arg, int err)
{
    struct config_write *w = arg;

    if (err != ERR_OK) {
        reply_not_run(w, "objects_down", "the object store did not take it");
        return;
    }
    commit(w);
}

/* Computes the difference and stores the new document. */
static void
store_document(struct config_write *w, const struct config *before)
{
    struct objects *o = w->configs->objects;

    w->change_count = Config_Diff(before, &w->proposed->doc, &w->diff_lines);
    o->ops->put(o, w->proposed->hash, w->proposed->text.data,
                w->proposed->text.len, on_stored, w);
}

/* Handles the current document, which was fetched to compute the difference.
 */
static void
on_current_document(void *arg, int err, struct buf *content)
{
    struct config_write *w = arg;
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct config_snapshot *before =
        err == ERR_OK
            ? config_snapshot_new(w->current.epoch, content, false, errors)
            : NULL;

    if (before == NULL) {
        reply_not_run(w, "objects_down", "the present document can't be read");
        return;
    }
    store_document(w, &before->doc);
    ConfigSnapshot_Unref(before);
}

/* Compares the head that was read with the version that If-Match names. */
static void
on_head(void *arg, int err, struct table_row *row)
{
    struct config_write *w = arg;
    struct configs *c = w->configs;

    if (err == ERR_OK) {
        err = config_read_head(row, &w->current);
    }
    if (err != ERR_OK) {
        reply_not_run(w, err == ERR_BUSY ? "busy" : "table_down",
                      "the head of the configuration could not be read");
        return;
    }
    if (w->current.epoch != w->if_match.epoch ||
        strcmp(w->current.hash, w->if_match.hash) != 0) {
        refuse_changed_since(w);
        return;
    }
    if (strcmp(w->current.hash, w->proposed->hash) == 0) {
        reply_in_force(w, "unchanged", w->current.epoch);
        return;
    }
    if (c->active_config->epoch == w->current.epoch) {
        store_document(w, &c->active_config->doc);
        return;
    }
    c->objects->ops->get(c->objects, w->current.hash, on_current_document, w);
}

/* Parses the document of the request; returns NULL after a 422. */
static struct config_snapshot *
read_document(struct http_exchange *ex, uint64_t epoch)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct buf body CLEANUP(Buf_Free) = {0};
    struct config_snapshot *f =
        config_snapshot_new(epoch, Http_Body(ex), true, errors);

    if (f == NULL) {
        Config_RenderErrors(errors, &body);
        Http_Reply(ex, 422, "application/json", body.data, body.len);
    }
    return f;
}

/* PUT /v1/config */
static void
put_config(struct task *t, struct http_exchange *ex,
           const char *segment UNUSED)
{
    struct configs *c = (struct configs *)t;
    const char *who = Operators_Identify(c->active_config, ex);
    const char *tag = Http_Header(ex, "If-Match");
    struct config_head if_match = {0};
    struct config_write *w;
    struct config_snapshot *next;

    if (who == NULL) {
        return;
    }
    if (tag == NULL || config_parse_etag(tag, &if_match) != ERR_OK) {
        Front_Refuse(ex, tag ? 400 : 428, "not_run", "if_match",
                     "If-Match is the ETag of the document that you changed",
                     -1, NULL);
        return;
    }
    if (c->write_table == NULL || c->objects == NULL) {
        Front_Refuse(ex, 503, "not_run", "no_table",
                     "this entry's settings name no platform", -1, NULL);
        return;
    }
    next = read_document(ex, if_match.epoch + 1);
    if (next == NULL) {
        return;
    }
    w = Mem_Zero(1, sizeof(*w));
    w->configs = c;
    w->ex = ex;
    Str_Copy(w->operator_name, sizeof(w->operator_name), who);
    w->id = Id_Random();
    w->if_match = if_match;
    w->proposed = next;
    w->outcome_deadline_at = Clock_NowMs() + CONFIG_OUTCOME_TIMEOUT_MS;
    ev_init(&w->retry_timer, on_retry);
    w->retry_timer.data = w;
    TAILQ_INSERT_TAIL(&c->writes, w, entry);
    c->write_table->ops->get(c->write_table, CONFIG_TABLE, CONFIG_HEAD_KEY,
                             on_head, w);
}

static struct front_route put_route = {
    "PUT", "/v1/config", "config", put_config, {0}};
FRONT_ROUTE(put_route)
