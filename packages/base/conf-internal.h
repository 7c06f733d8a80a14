/* Parts of Conf that its own files share. */
#ifndef CONF_INTERNAL_H
#define CONF_INTERNAL_H

#include "base.h"

#include <yaml.h>

/* Limits of a document, checked before a tree of it is built. The largest
 * one planned (780 workers, 87 organisations) has some 10,000 values in
 * 9 levels; a list item of 1 KiB times the limit stays near 200 MB. */
#define CONF_BYTES_MAX (4 * 1024 * 1024)
#define CONF_DEPTH_MAX 32
#define CONF_NODES_MAX 200000

/* A walk over one document: where it is, and where mistakes go. */
struct conf_reader {
    yaml_document_t *doc;
    struct conf_errors *errors;
    struct buf path;
};

/* A value as text. plain is false when it stood in quotes. */
struct conf_text {
    const char *data;
    size_t len;
    bool plain;
    int line;
};

/* Checks syntax and limits. Returns ERR_OK, or ERR_INVALID with the reason
 * in errors. */
int conf_scan(const char *text, size_t len, struct conf_errors *errors);

/* Fills one value that is text; a mistake goes to the walk's errors. */
void conf_read_text(struct conf_reader *r, const struct conf_key *key,
                    const struct conf_text *text, void *at);

/* Fills a map from a node; root may be NULL for an empty document. */
void conf_read_map(struct conf_reader *r, const struct conf_table *table,
                   const yaml_node_t *node, void *out);

/* Says what a key takes, as "a whole number, 1..64". */
void conf_describe_allowed(const struct conf_key *key, char out[192]);

/* Length of the start of s, at most max bytes, that ends with a whole UTF-8
 * character. */
size_t conf_utf8_prefix(const char *s, size_t max);

/* Gives a key that the map does not have its fallback, or reports it. */
void conf_read_missing(struct conf_reader *r, const struct conf_key *key,
                       int line, void *at);
/* Reads a node by the type of its key. */
void conf_read_node(struct conf_reader *r, const struct conf_key *key,
                    const yaml_node_t *node, void *at);
/* Goes down to a key, and back up to what it returned. */
size_t conf_path_push(struct conf_reader *r, const char *name);
void conf_path_pop(struct conf_reader *r, size_t before);

/* The name of the table nearest to a mistyped one, or NULL. */
const char *conf_nearest(const struct conf_table *table, const char *name);

#endif
