/*
 * The configuration task, private to its files.
 *
 * The protocol is that of model/config.pml. Rows of the table "config":
 *
 *   head               {"epoch", "hash", "operator", "wall_ms", "changes"}
 *   history/<epoch>    {"epoch", "hash", "operator", "wall_ms", "write",
 *                       "lines"}, epoch in 16 digits, so that keys sort
 *
 * A change is one transaction: it writes the head, on the condition that its
 * version is the one read with the epoch that the operator's If-Match names,
 * and inserts the history row of the next epoch, which must not exist. The
 * document was stored under its hash before, so any document that the head
 * names can be fetched.
 */
#ifndef ENTRY_CONFIG_H
#define ENTRY_CONFIG_H

#include "entry.h"
#include "platform.h"

#define CONFIG_TABLE "config"
#define CONFIG_HEAD_KEY "head"
#define CONFIG_HISTORY_PREFIX "history/"
#define CONFIG_HISTORY_KEPT 256 /* rows; each change deletes one older row */
#define CONFIG_HISTORY_LINES 64 /* lines of one change's difference */
/* Bytes of a history row's key, with the NUL. */
#define CONFIG_HISTORY_KEY_SIZE 32
#define CONFIG_DOCUMENT_MAX (4 << 20)

/* Each entry reads the head once a second: 12 entries take 12 of the table's
 * two thousand reads a second. A change is in force everywhere after at most
 * one second plus a read and a fetch, so one poll may fail and the change
 * still be in force within 4 s. */
#define CONFIG_POLL_MS 1000
#define CONFIG_CALL_TIMEOUT_MS 1500 /* one attempt of a call */
#define CONFIG_GIVE_UP_MS 4000      /* all attempts of one write */
/* After this time a write without a known outcome is `unknown`. */
#define CONFIG_OUTCOME_TIMEOUT_MS 20000
/* Interval of attempts to find out the outcome of a write. */
#define CONFIG_READBACK_INTERVAL_MS 250
#define CONFIG_RETRY_AFTER_MS 2000
/* Shares of the table's calls, per second. Operators' changes have a budget of
 * their own, so that they can't delay the poll. */
#define CONFIG_POLL_READS_PER_S 8
#define CONFIG_CHANGE_READS_PER_S 80
#define CONFIG_CHANGE_WRITES_PER_S 40
#define CONFIG_SUBSCRIBERS_MAX 16

/* The head row, or the head that an entity tag names. */
struct config_head {
    uint64_t version; /* of the row; 0: there is no row */
    uint64_t epoch;
    char hash[DIGEST_HEX_SIZE];
};

struct config_write;
TAILQ_HEAD(config_write_list, config_write);

/* What the poll of the head waits for. */
enum config_poll { POLL_IDLE, POLL_HEAD, POLL_DOCUMENT, POLL_INITIAL };

/* The task "config", which holds the document in force. */
struct configs {
    struct task task;
    const struct entry_settings *settings;
    struct config_snapshot *active_config;
    const char *subscribers[CONFIG_SUBSCRIBERS_MAX];
    int subscriber_count;
    struct table *table;       /* for the poll; NULL: no platform */
    struct table *write_table; /* for changes; NULL: no platform */
    struct objects *objects;   /* NULL: no platform */
    ev_timer poll_timer;
    enum config_poll poll_state;
    struct config_head pending_head; /* its document is being fetched */
    bool poll_pending;               /* poll again as soon as this poll ends */
    uint64_t unusable_epoch; /* the document of this epoch is invalid here */
    int failed_polls;        /* since the last one that succeeded */
    int64_t head_read_at;    /* when a head was last read; 0: never */
    struct config_snapshot *initial; /* the document of the file */
    bool initial_refused; /* the file is invalid; it was logged once */
    struct config_write_list writes;
};

/* Parses a document; NULL if it is invalid. check_feasible also divides its
 * guarantees over the failure domains, for documents that no entry has
 * accepted yet. That check is by far the most expensive part
 * (docs/design/configuration-in-force.md), so documents that the head names
 * skip it: the entry that accepted them has done it. */
struct config_snapshot *config_snapshot_new(uint64_t epoch,
                                            const struct buf *text,
                                            bool check_feasible,
                                            struct conf_errors *errors);
/* Puts a document in force if its epoch is higher; takes ownership of f. */
void config_adopt(struct configs *c, struct config_snapshot *f);
/* Reads the head now, or once more after the read that is under way. */
void config_poll_now(struct configs *c);
void config_poll_start(struct configs *c);
/* Parses a head row. ERR_OK (version 0: no row) or ERR_INVALID. */
int config_read_head(const struct table_row *row, struct config_head *head);
/* Writes the key of an epoch's history row; returns out. */
const char *config_history_key(uint64_t epoch,
                               char out[CONFIG_HISTORY_KEY_SIZE]);
/* Build the values of the head row and of a history row. */
void config_render_head(const struct config_snapshot *f,
                        const char *operator_name, size_t changes,
                        struct buf *out);
json_t *config_history_value(const struct config_snapshot *f,
                             const char *operator_name, const struct id *write,
                             const char *lines);

/* Frees all writes that are not finished, without a reply. */
void config_writes_free(struct configs *c);

/* Writes "epoch-hash" in quotes, the entity tag of a document. */
void config_etag(uint64_t epoch, const char *hash, struct buf *out);
/* Parses an entity tag, with or without quotes. ERR_OK or ERR_INVALID. */
int config_parse_etag(const char *text, struct config_head *out);

#endif
