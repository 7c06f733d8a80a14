#include "entry-peers.h"

#include <stdlib.h>
#include <string.h>

/* Compares two entries by name, for qsort. */
static int
compare_names(const void *a, const void *b)
{
    const struct peer_entry *x = a, *y = b;

    return strcmp(x->name, y->name);
}

/* Copies a string of a row. Returns false if it is missing or too long. */
static bool
copy_text(const json_t *o, const char *key, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(o, key));

    return text != NULL && Str_Copy(out, size, text) == ERR_OK;
}

/* Parses a row. Returns false if it is not a valid row of an entry. */
static bool
read_row(const struct table_row *row, struct peer_entry *out)
{
    json_t *o = json_loadb(row->value.data ? row->value.data : "",
                           row->value.len, 0, NULL);
    const char *hex = json_string_value(json_object_get(o, "incarnation"));
    char *end = NULL;
    bool good;

    *out = (struct peer_entry){0};
    good = copy_text(o, "name", out->name, sizeof(out->name)) &&
           copy_text(o, "region", out->region, sizeof(out->region)) &&
           copy_text(o, "links", out->links, sizeof(out->links)) &&
           copy_text(o, "http", out->http, sizeof(out->http)) &&
           strcmp(out->name, row->key) == 0 && Str_IsName(out->name) &&
           Str_IsName(out->region) && Settings_IsAddress(out->links) &&
           Settings_IsAddress(out->http) && hex != NULL;
    if (good) {
        out->incarnation = strtoull(hex, &end, 16);
    }
    good = good && end != hex && *end == '\0';
    json_decref(o);
    return good;
}

/* Returns the peer of that name; adds one if there is none. */
static struct peer *
find(struct peer_list *list, const char *name)
{
    struct peer *peer;

    TAILQ_FOREACH (peer, list, entry) {
        if (strcmp(peer->facts.name, name) == 0) {
            return peer;
        }
    }
    peer = Mem_Zero(1, sizeof(*peer));
    TAILQ_INSERT_TAIL(list, peer, entry);
    return peer;
}

/* Applies one row of a list. */
static void
apply_row(struct peer_list *list, const struct table_row *row)
{
    struct peer_entry facts;
    struct peer *peer;

    if (!read_row(row, &facts)) {
        Unreadable(UNREADABLE_ROW, row->key, "not the row of an entry");
        return;
    }
    peer = find(list, facts.name);
    peer->listed = true;
    if (peer->version == row->version) {
        peer->unchanged++;
        return;
    }
    peer->facts = facts;
    peer->version = row->version;
    peer->unchanged = 0;
}

/* Applies a complete list of rows. */
void
peers_apply_list(struct peer_list *list, const struct table_row *rows,
                 size_t count)
{
    struct peer *peer, *next;
    size_t i;

    TAILQ_FOREACH (peer, list, entry) {
        peer->listed = false;
    }
    for (i = 0; i < count; i++) {
        apply_row(list, &rows[i]);
    }
    TAILQ_FOREACH_SAFE (peer, list, entry, next) {
        if (!peer->listed) {
            TAILQ_REMOVE(list, peer, entry);
            free(peer);
        }
    }
}

/* Collects the entries that are alive. */
size_t
peers_alive(const struct peer_list *list, const struct peer_entry *self,
            struct peer_entry *out)
{
    const struct peer *peer;
    size_t n = 0;

    out[n++] = *self;
    TAILQ_FOREACH (peer, list, entry) {
        if (peer->unchanged < DROP_AFTER_LISTS && n <= PEERS_MAX &&
            strcmp(peer->facts.name, self->name) != 0) {
            out[n++] = peer->facts;
        }
    }
    qsort(out, n, sizeof(*out), compare_names);
    return n;
}

/* Frees all peers. */
void
peers_clear(struct peer_list *list)
{
    struct peer *peer, *next;

    TAILQ_FOREACH_SAFE (peer, list, entry, next) {
        TAILQ_REMOVE(list, peer, entry);
        free(peer);
    }
}
