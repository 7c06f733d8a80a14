/*
 * The configuration's head, as the files of the config task share it.
 *
 * The protocol is that of model/config.pml. Table "config":
 *
 *   head               {"epoch", "hash", "operator", "wall_ms", "changes"}
 *   history/<epoch>    {"epoch", "hash", "operator", "wall_ms", "write",
 *                       "lines"}, epoch in 16 digits, so that keys sort
 *
 * A change is one transaction: the head on the condition of the version that
 * was read together with the epoch that the operator saw, and the history row
 * of the next epoch, which must not exist. The document was stored before
 * under its hash, so whatever the head names can be fetched.
 */
#ifndef ENTRY_CONFIG_H
#define ENTRY_CONFIG_H

#include "entry.h"
#include "platform.h"

#define CONFIG_TABLE "config"
#define CONFIG_HEAD_KEY "head"
#define CONFIG_HISTORY_PREFIX "history/"
#define CONFIG_HISTORY_KEPT 256    /* rows; older ones go with a change */
#define CONFIG_HISTORY_LINES 64    /* of one change's difference */
#define CONFIG_HISTORY_KEY_SIZE 32 /* of its key, with the NUL */
#define CONFIG_DOCUMENT_MAX (4 << 20)

/* A read of the head each second, by each entry: 12 entries take 12 of the
 * table's two thousand reads a second, and a change is in force everywhere
 * within one second, a read and a fetch, which leaves room within 4 s for one
 * poll that is lost. */
#define CONFIG_POLL_MS 1000
#define CONFIG_CALL_TIMEOUT_MS 1500 /* one try of a call */
#define CONFIG_GIVE_UP_MS 4000      /* all tries of one write */
#define CONFIG_OUTCOME_TIMEOUT_MS                                             \
    20000 /* until a write without answer is `unknown`                        \
           */
#define CONFIG_READBACK_INTERVAL_MS                                           \
    250 /* between two tries to learn its outcome */
#define CONFIG_RETRY_AFTER_MS 2000
/* Shares of the table, a second: of the poll, and of the operators' changes,
 * which must not hold up the poll. */
#define CONFIG_POLL_READS_PER_S 8
#define CONFIG_CHANGE_READS_PER_S 80
#define CONFIG_CHANGE_WRITES_PER_S 40
#define CONFIG_SUBSCRIBERS_MAX 16

/* The head row, as read. */
struct config_head {
    uint64_t version; /* of the row; 0: there is none */
    uint64_t epoch;
    char hash[DIGEST_HEX_SIZE];
};

struct config_write;
TAILQ_HEAD(config_write_list, config_write);

/* Where the poll of the head is. */
enum config_poll { POLL_IDLE, POLL_HEAD, POLL_DOCUMENT, POLL_INITIAL };

/* config: the document in force. */
struct configs {
    struct task task;
    const struct entry_settings *settings;
    struct config_snapshot *active_config;
    const char *subscribers[CONFIG_SUBSCRIBERS_MAX];
    int subscriber_count;
    struct table *table;     /* of the poll; NULL: the platform has none */
    struct table *changes;   /* of operators' changes; likewise */
    struct objects *objects; /* likewise */
    ev_timer poll_timer;
    enum config_poll poll_state;
    struct config_head pending_head; /* the head that is being fetched */
    bool poll_pending;               /* poll once more at once */
    uint64_t unusable_epoch; /* epoch whose document can't be read here */
    int failed_polls;        /* in a row */
    int64_t head_read_at;    /* last head that was read; 0: never */
    struct config_snapshot
        *initial;         /* of the file, on its way into the table */
    bool initial_refused; /* the file is wrong, which has been said */
    struct config_write_list writes;
};

/* Makes a document of text; NULL when it is wrong. exact: its guarantees are
 * divided over the failure domains too, which is for documents that aren't
 * accepted yet. It is the dearest part by far (docs/design/
 * configuration-in-force.md), so those that the head names do without: the
 * entry that accepted them has done it. */
struct config_snapshot *config_snapshot_new(uint64_t epoch,
                                            const struct buf *text, bool exact,
                                            struct conf_errors *errors);
/* Puts a document in force if its epoch is higher; takes f. */
void config_adopt(struct configs *c, struct config_snapshot *f);
/* Reads the head at once, or once more after the present read. */
void config_poll_now(struct configs *c);
void config_poll_start(struct configs *c);
/* Reads a head row. ERR_OK (version 0: no row) or ERR_INVALID. */
int config_read_head(const struct table_row *row, struct config_head *head);
/* Writes the key of an epoch's history row; returns out. */
const char *config_history_key(uint64_t epoch,
                               char out[CONFIG_HISTORY_KEY_SIZE]);
/* Values of the two rows. */
void config_render_head(const struct config_snapshot *f,
                        const char *operator_name, size_t changes,
                        struct buf *out);
json_t *config_history_value(const struct config_snapshot *f,
                             const char *operator_name, const struct id *write,
                             const char *lines);

/* Drops what is under way; answers it as not run or unknown. */
void config_writes_free(struct configs *c);

/* Writes "epoch-hash" in quotes, the entity tag of a document. */
void config_etag(uint64_t epoch, const char *hash, struct buf *out);
/* Reads such a tag, with or without quotes. ERR_OK or ERR_INVALID. */
int config_parse_etag(const char *text, struct config_head *out);

#endif
