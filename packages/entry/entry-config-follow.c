#include "entry-config.h"

#include <stdlib.h>
#include <string.h>

/* Follows the head: reads it each second, fetches its document if the epoch is
 * higher than the one in force, and writes the initial document while there is
 * no head. */

static struct counter poll_failed_total = {
    "parsleyfall_config_polls_failed_total",
    "Reads of the configuration's head that failed.", NULL, COUNTER_TOTAL};

static void read_head(struct configs *c);

/* Ends a poll, and starts another one if one was requested meanwhile. */
static void
finish_poll(struct configs *c)
{
    c->poll_state = POLL_IDLE;
    if (c->poll_pending) {
        c->poll_pending = false;
        read_head(c);
    }
}

/* Counts a failed poll; only the first of several in a row is logged. */
static void
poll_failed(struct configs *c, const char *what, int err)
{
    Counter_Add(&poll_failed_total, 1);
    if (c->failed_polls++ == 0) {
        LOG_W("config_unreadable", KV("what", what),
              KV("error", Err_Name(err)));
    }
    c->poll_pending = false;
    finish_poll(c);
}

/* Handles the fetched document. Its content must have the hash that the head
 * names. */
static void
on_document(void *arg, int err, struct buf *content)
{
    struct configs *c = arg;
    struct conf_errors *errors CLEANUP(Mem_FreeP) = NULL;
    struct buf why CLEANUP(Buf_Free) = {0};
    char hash[DIGEST_HEX_SIZE];
    struct config_snapshot *f;

    if (err != ERR_OK) {
        poll_failed(c, "document", err);
        return;
    }
    if (strcmp(Digest_Hex(content->data, content->len, hash),
               c->pending_head.hash) != 0) {
        poll_failed(c, "document", ERR_CUT);
        return;
    }
    errors = Mem_Zero(1, sizeof(*errors));
    f = config_snapshot_new(c->pending_head.epoch, content, false, errors);
    if (f == NULL) {
        c->unusable_epoch = c->pending_head.epoch;
        Conf_Render(errors, "document", &why);
        LOG_E("config_unusable", KV_INT("epoch", c->pending_head.epoch),
              KV("errors", why.data));
        finish_poll(c);
        return;
    }
    Str_Copy(f->hash, sizeof(f->hash), c->pending_head.hash);
    config_adopt(c, f);
    finish_poll(c);
}

/* Handles the outcome of writing the initial document. After a conflict,
 * another entry's document is in the table. */
static void
on_initial_written(void *arg, int err, size_t at UNUSED,
                   const uint64_t *versions UNUSED)
{
    struct configs *c = arg;

    LOG_I("config_first", KV("result", Err_Name(err)));
    c->poll_pending = err == ERR_OK || err == ERR_CONFLICT;
    finish_poll(c);
}

/* Writes the head once the initial document is stored, on the condition that
 * there still is no head. */
static void
on_initial_stored(void *arg, int err)
{
    struct configs *c = arg;
    struct id write = Id_Random();
    struct buf head CLEANUP(Buf_Free) = {0};
    char key[CONFIG_HISTORY_KEY_SIZE];
    json_t *history;
    char *text;

    if (err != ERR_OK) {
        poll_failed(c, "first document", err);
        return;
    }
    config_render_head(c->initial, "configuration_file", 1, &head);
    history = config_history_value(c->initial, "configuration_file", &write,
                                   "first document");
    text = json_dumps(history, JSON_COMPACT);
    const struct table_op ops[] = {
        {TABLE_PUT, CONFIG_TABLE, CONFIG_HEAD_KEY, 0, head.data, head.len},
        {TABLE_PUT, CONFIG_TABLE, config_history_key(1, key), 0, text,
         strlen(text)},
    };
    c->table->ops->commit(c->table, ops, COUNT_OF(ops), on_initial_written, c);
    free(text);
    json_decref(history);
}

/* Loads the document of the configuration file; logs its errors only once. */
static struct config_snapshot *
load_initial(struct configs *c)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct buf text CLEANUP(Buf_Free) = {0};
    struct buf why CLEANUP(Buf_Free) = {0};
    const char *path = c->settings->configuration_file;
    struct config_snapshot *f;
    int err;

    if (path == NULL || c->initial_refused) {
        return NULL;
    }
    err = File_Read(path, CONFIG_DOCUMENT_MAX, &text);
    f = err == ERR_OK ? config_snapshot_new(1, &text, true, errors) : NULL;
    if (f == NULL) {
        c->initial_refused = true;
        Conf_Render(errors, path, &why);
        LOG_E("config_file_refused", KV("file", path),
              KV("error", Err_Name(err)), KV("errors", why.data));
    }
    return f;
}

/* Writes this entry's file as the initial document of a table without head.
 *
 * Every entry of a new deployment has such a file, and the files stay on the
 * machines for years, so an old file could undo the operators' changes. The
 * head is therefore inserted only if it never existed (its version is 0 until
 * the first write and never again), so at most one file is ever used. */
static void
write_initial(struct configs *c)
{
    if (c->initial == NULL) {
        c->initial = load_initial(c);
    }
    if (c->initial == NULL) {
        finish_poll(c);
        return;
    }
    c->poll_state = POLL_INITIAL;
    c->objects->ops->put(c->objects, c->initial->hash, c->initial->text.data,
                         c->initial->text.len, on_initial_stored, c);
}

/* Handles the head row that was read. */
static void
on_head(void *arg, int err, struct table_row *row)
{
    struct configs *c = arg;
    struct config_head head = {0};

    if (err == ERR_OK) {
        err = config_read_head(row, &head);
    }
    if (err != ERR_OK) {
        poll_failed(c, "head", err);
        return;
    }
    if (c->failed_polls > 0) {
        LOG_I("config_readable", KV_INT("failed", c->failed_polls));
        c->failed_polls = 0;
    }
    c->head_read_at = Clock_NowMs();
    if (head.version == 0) {
        write_initial(c);
        return;
    }
    if (head.epoch == c->unusable_epoch ||
        (c->active_config != NULL && head.epoch <= c->active_config->epoch)) {
        finish_poll(c);
        return;
    }
    c->pending_head = head;
    c->poll_state = POLL_DOCUMENT;
    c->objects->ops->get(c->objects, head.hash, on_document, c);
}

/* Reads the head. */
static void
read_head(struct configs *c)
{
    c->poll_state = POLL_HEAD;
    c->table->ops->get(c->table, CONFIG_TABLE, CONFIG_HEAD_KEY, on_head, c);
}

/* Reads the head now, or once more after the read that is under way. */
void
config_poll_now(struct configs *c)
{
    if (c->poll_state != POLL_IDLE) {
        c->poll_pending = true;
        return;
    }
    read_head(c);
}

/* Polls the head. Only one poll runs at a time, so that a slow table service
 * does not get more calls for being slow. */
static void
on_poll(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct configs *c = w->data;

    if (c->poll_state == POLL_IDLE) {
        read_head(c);
    }
}

/* Starts to follow the head. Without a table service (a trial on one machine)
 * the file is the configuration. */
void
config_poll_start(struct configs *c)
{
    ev_init(&c->poll_timer, on_poll);
    c->poll_timer.data = c;
    if (c->table != NULL && c->objects != NULL) {
        Timer_Every(c->task.kernel->loop, &c->poll_timer, CONFIG_POLL_MS);
        read_head(c);
        return;
    }
    c->initial = load_initial(c);
    if (c->initial != NULL) {
        LOG_W("config_without_table",
              KV("file", c->settings->configuration_file));
        config_adopt(c, ConfigSnapshot_Ref(c->initial));
    }
}
