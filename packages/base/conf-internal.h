/* Functions and types that the files of Conf share. */
#ifndef CONF_INTERNAL_H
#define CONF_INTERNAL_H

#include "base.h"

#include <yaml.h>

/* Limits of a document, checked before its tree is built. The largest planned
 * document (780 workers, 87 organisations) has some 10,000 values in 9 levels.
 * CONF_NODES_MAX list items that each fill a struct of 1 KiB need about
 * 200 MB. */
#define CONF_BYTES_MAX (4 * 1024 * 1024)
#define CONF_DEPTH_MAX 32
#define CONF_NODES_MAX 200000

/* State of reading a document: the document, the list to which mistakes are
 * added, and the path of the value that is being read. */
struct conf_reader {
    yaml_document_t *doc;
    struct conf_errors *errors;
    struct buf path;
};

/* A scalar value. plain is false when it is quoted in the document. */
struct conf_text {
    const char *data;
    size_t len;
    bool plain;
    int line;
};

/* Checks syntax and limits. Returns ERR_OK, or ERR_INVALID after adding the
 * reason to errors. */
int conf_scan(const char *text, size_t len, struct conf_errors *errors);

/* Reads a scalar value into the field at; a mistake is added to the reader's
 * errors. */
void conf_read_text(struct conf_reader *r, const struct conf_key *key,
                    const struct conf_text *text, void *at);

/* Fills a struct from a map node; node is NULL for an empty document. */
void conf_read_map(struct conf_reader *r, const struct conf_table *table,
                   const yaml_node_t *node, void *out);

/* Describes the allowed values of a key, such as "a whole number, 1..64". */
void conf_describe_allowed(const struct conf_key *key, char out[192]);

/* Length of the longest prefix of s of at most max bytes that does not end
 * within a UTF-8 character. */
size_t conf_utf8_prefix(const char *s, size_t max);

/* Handles a key that the map lacks: reads its fallback, or adds a mistake when
 * it is required. */
void conf_read_missing(struct conf_reader *r, const struct conf_key *key,
                       int line, void *at);
/* Reads a node by the type of its key. */
void conf_read_node(struct conf_reader *r, const struct conf_key *key,
                    const yaml_node_t *node, void *at);
/* push appends a key to the path and returns the path's length before; pop
 * truncates the path to that length. */
size_t conf_path_push(struct conf_reader *r, const char *name);
void conf_path_pop(struct conf_reader *r, size_t before);

/* Returns the key of the table most similar to a mistyped one, or NULL. */
const char *conf_nearest(const struct conf_table *table, const char *name);

#endif
